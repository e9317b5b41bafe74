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
}

var plants = []plant{
	{"sends again what may have run", "TWICE", "coordination/routing/retry.go", "\tif coordination.MayRetry(o) {\n\t\treturn true", "\tif o != nil {\n\t\treturn true"},
	{"takes every third configuration not", "CONFIG", "daemon/routes/catalog.go", "c.table, c.tableRevision = t, it.Revision", "if c.table == nil || it.Revision%3 != 0 {\n\t\tc.table = t\n\t}\n\tc.tableRevision = it.Revision"},
	{"passes on an answer to another request", "MIXED", "transport/relay/exchange.go", "if x.head.Request == x.call.ID {", "if x.head.Request != \"\" {"},
	{"sends work to leaving replicas", "DRAIN", "daemon/routes/catalog.go", "if r.Draining {\n\t\t\tp.Draining", "if r.Draining && r.ID == \"\" {\n\t\t\tp.Draining"},
	{"goes on for a caller that left", "GONE", "transport/relay/exchange.go", "func() { _ = x.conn.Close() })", "func() {})"},
	{"stops without waiting", "LOST", "daemon/routes/run.go", "_ = d.callers.Server.Shutdown(wait)", "_, _ = wait.Deadline()\n\t_ = d.callers.Server.Close()"},
	{"says not run of what may have run", "REFUSED", "platform/front.go", "status := http.StatusBadGateway", "status := http.StatusServiceUnavailable"},
	{"takes a broken stream as whole", "ORDER", "transport/relay/answer.go", "return x.broken(ctx, eris.Wrap(err, \"read stream\"))", "break"},
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
