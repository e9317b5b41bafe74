package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// plant is a fault: a text of a source file and what takes its place.
type plant struct {
	name, promise string
	file          string
	text, instead string
	steady        bool // found by steady runs
}

var plants = []plant{
	{"sends again what may have run", "TWICE", "coordination/routing/retry.go", "\tif coordination.MayRetry(o) {\n\t\treturn true", "\tif o != nil {\n\t\treturn true", false},
	{"takes every third configuration not", "CONFIG", "daemon/routes/catalog.go", "c.table, c.tableRevision = t, it.Revision", "if c.table == nil || it.Revision%3 != 0 {\n\t\tc.table = t\n\t}\n\tc.tableRevision = it.Revision", false},
	{"passes on an answer to another request", "MIXED", "transport/relay/exchange.go", "if x.head.Request == x.call.ID {", "if x.head.Request != \"\" {", false},
	{"sends work to leaving replicas", "DRAIN", "daemon/routes/catalog.go", "if r.Draining {\n\t\t\tp.Draining", "if r.Draining && r.ID == \"\" {\n\t\t\tp.Draining", false},
	{"goes on for a caller that left", "GONE", "transport/relay/exchange.go", "func() { _ = x.conn.Close() })", "func() {})", false},
	{"stops without waiting", "LOST", "daemon/routes/run.go", "_ = d.callers.Server.Shutdown(wait)", "_, _ = wait.Deadline()\n\t_ = d.callers.Server.Close()", false},
	{"says not run of what may have run", "REFUSED", "platform/front.go", "status := http.StatusBadGateway", "status := http.StatusServiceUnavailable", false},
	{"takes a broken stream as whole", "ORDER", "transport/relay/answer.go", "return x.broken(ctx, eris.Wrap(err, \"read stream\"))", "break", false},
	{"sends work to evacuated domains", "EVAC", "coordination/routing/evacuate.go", "if !e.evacuated[r.Domain] {", "if r.ID != \"\" || !e.evacuated[r.Domain] {", false},
	{"takes cold replicas for warm ones", "FAILBACK", "coordination/routing/cold.go", "return now.Before(r.ColdUntil)", "return now.Before(r.ColdUntil) && r.ID == \"\"", false},
	{"does not see crowded replicas", "LIMIT", "coordination/routing/crowd.go", "|| float64(held) <= most {", "|| float64(held) >= 0 {", true},
}

// TestPlantsFitTheSources holds that each planted fault still finds its place: the
// run that plays them is long and not part of each test run.
func TestPlantsFitTheSources(t *testing.T) {
	for _, p := range plants {
		source, err := os.ReadFile(filepath.Join("..", "..", p.file))
		if err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(string(source), p.text); n != 1 {
			t.Errorf("%s: its text stands %d times in %s, want once; name the place where the mechanism is now", p.name, n, p.file)
		}
	}
}
