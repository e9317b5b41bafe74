package routes

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/daemon"
)

// logLine is a line of the log.
type logLine map[string]any

// linesOf closes a log and returns its lines.
func linesOf(t *testing.T, l *Log, out *bytes.Buffer) []logLine {
	t.Helper()
	l.Close()
	var lines []logLine
	for text := range strings.Lines(out.String()) {
		var line logLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%v in %s", err, text)
		}
		lines = append(lines, line)
	}
	return lines
}

// TestPanicsFillNoLog guards against a daemon whose requests all panic: the stacks would fill the buffer of the
// log, and other lines would be dropped.
func TestPanicsFillNoLog(t *testing.T) {
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	const panics = 300
	value, stack := errors.New(strings.Repeat("v", 1<<20)), bytes.Repeat([]byte("s"), 1<<20)
	started := time.Now()
	for range panics {
		l.Panicked("r1", value, stack)
	}
	most := 2 + int(time.Since(started)/time.Second)
	lines := linesOf(t, l, &out)
	if len(lines) != panics || m.Panics.Count() != panics {
		t.Fatalf("%d lines and %d counted, want %d", len(lines), m.Panics.Count(), panics)
	}
	stacks := 0
	for _, line := range lines {
		if line["request"] != "r1" || len(line["panic"].(string)) != maxPanicText {
			t.Fatalf("got %v", line)
		}
		if n := len(line["stack"].(string)); n > 0 {
			stacks++
			if n > maxStackText {
				t.Errorf("stack of %d bytes, want at most %d", n, maxStackText)
			}
		}
	}
	if stacks < 1 || stacks > most {
		t.Errorf("%d stacks, want one a second, %d at most", stacks, most)
	}
}

// listenForTest opens a listener that writes to a log, until the test's end.
func listenForTest(t *testing.T, l *Log) *daemon.Listener {
	t.Helper()
	server, err := listen("127.0.0.1:0", l, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// TestServersReportPanics guards against a panic of a handler for peers, operators or scrapers that leaves no trace:
// net/http recovers it, and the messages of net/http were all discarded.
func TestServersReportPanics(t *testing.T) {
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	server := listenForTest(t, l)
	server.Server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("broken handler")
	})
	failed := make(chan error, 1)
	go server.Serve(failed)
	client := http.Client{Timeout: 5 * time.Second}
	for _, path := range []string{"/abort", "/panic"} {
		if resp, err := client.Get("http://" + server.Address() + path); err == nil {
			resp.Body.Close()
			t.Errorf("%s: a response, want a closed connection", path)
		}
	}
	lines := linesOf(t, l, &out)
	if len(lines) != 1 || m.Panics.Count() != 1 {
		t.Fatalf("got %d lines and %d counted, want 1: %v", len(lines), m.Panics.Count(), lines)
	}
	text, stack := lines[0]["panic"].(string), lines[0]["stack"].(string)
	if !strings.HasSuffix(text, "broken handler") || !strings.Contains(stack, "panic_test.go") || lines[0]["listener"] != server.Address() {
		t.Errorf("got %v", lines[0])
	}
}
