package routes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// strictDocuments counts the configurations that it parses, and rejects those with the text "unreadable".
type strictDocuments struct {
	fakeDocuments
	parsed *int
}

func (d strictDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	*d.parsed++
	if string(it.Value) == "unreadable" {
		return nil, errors.New("can't be read")
	}
	return d.fakeDocuments.ParseConfig(it)
}

// oddWorld is a control loop to which other writers' documents are applied.
type oddWorld struct {
	*control
	out      bytes.Buffer
	metrics  *Metrics
	parsed   int
	revision feed.Revision
}

func newOddWorld() *oddWorld {
	w := &oddWorld{metrics: newMetrics()}
	w.control = newTestControl(newLog(&w.out, "info", "d", w.metrics), strictDocuments{parsed: &w.parsed})
	w.heartbeats.send = func(membership.Address, []byte) {}
	return w
}

// write applies documents with the same content as one change.
func (w *oddWorld) write(value string, keys ...string) {
	var items []feed.Item
	for _, key := range keys {
		items = append(items, feed.Item{Key: key, Value: []byte(value)})
	}
	w.change(items)
}

// change applies documents as one change.
func (w *oddWorld) change(items []feed.Item) {
	for i := range items {
		w.revision++
		items[i].Revision = w.revision
	}
	w.apply(w.catalog.feed.Apply(items), "store", time.Unix(1_000_000, 0))
}

// lines closes the log and returns how many of its lines contain a text.
func (w *oddWorld) lines(text string) int {
	w.log.Close()
	return strings.Count(w.out.String(), text)
}

// TestOddEntryIsLoggedOncePerContent guards against a writer that writes the same odd entries over and over: their lines
// displaced others in the log.
func TestOddEntryIsLoggedOncePerContent(t *testing.T) {
	w := newOddWorld()
	for range 20 {
		w.write("unreadable", "replica-1", "replica-2")
		w.write("", "replica-2")
	}
	w.write("unreadable=2", "replica-1")
	if n := w.metrics.UnusableEntries.Count(); n != 41 {
		t.Errorf("%d changes counted, want 41", n)
	}
	if n := w.lines("entry names no replica"); n != 3 {
		t.Errorf("%d lines, want one for each of two keys and one for another content", n)
	}
}

// TestManyOddEntriesAreSummarized guards against thousands of odd entries that arrive at once: their lines filled the
// buffer of the log, which drops what does not fit.
func TestManyOddEntriesAreSummarized(t *testing.T) {
	w := newOddWorld()
	var keys []string
	for i := range 5000 {
		keys = append(keys, fmt.Sprintf("replica-%d", i))
	}
	w.write("", "config")
	w.write("", "replica-sound")
	w.write("unreadable", keys...)
	if n := len(w.view.Load().Pool("s").Ready); n != 1 {
		t.Errorf("%d replicas, want the sound one", n)
	}
	if n := w.lines("entry names no replica"); n != maxReplicaLogLines {
		t.Errorf("%d lines, want %d", n, maxReplicaLogLines)
	}
	if n := w.lines(`"entries":4900`); n != 1 {
		t.Errorf("%d lines with the number of the others, want 1", n)
	}
}

// TestRejectedConfigurationIsParsedOnce guards against an odd configuration that is parsed and logged again with each change
// of another document.
func TestRejectedConfigurationIsParsedOnce(t *testing.T) {
	w := newOddWorld()
	w.write("", "config")
	w.write("unreadable", "config")
	for range 20 {
		w.write("", "replica-1")
	}
	w.write("unreadable", "config")
	if w.parsed != 2 || w.catalog.table.Version != 7 {
		t.Errorf("parsed %d times, version %d in force; want 2 and 7", w.parsed, w.catalog.table.Version)
	}
	w.write("other", "config")
	if _, ok := w.catalog.table.Service("other"); !ok {
		t.Error("a valid configuration after a rejected one is not in force")
	}
	if n := w.lines("document is rejected"); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
}

// TestManyVersionsLeaveDocumentsReadable guards against entries of thousands of services and versions: the history of
// versions, which peers are sent in a header, exceeded what they read, and no peer got documents any more.
func TestManyVersionsLeaveDocumentsReadable(t *testing.T) {
	for _, c := range []struct {
		services int
		history  bool
	}{{100, true}, {5000, false}} {
		w := newOddWorld()
		var items []feed.Item
		for i := range c.services {
			items = append(items, feed.Item{Key: fmt.Sprintf("replica-%d", i), Value: fmt.Appendf(nil, "service=%0200d", i)})
		}
		w.change(items)
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			a := w.respond(&documentsRequest{}, time.Unix(1_000_000, 0))
			writeResponse(rw, &a)
		}))
		p, err := openPeers("127.0.0.1:0", newMetrics())
		if err != nil {
			t.Fatal(err)
		}
		a, err := p.fetch(context.Background(), membership.Address(server.Listener.Addr().String()), documentsRequest{})
		if err != nil || len(a.documents.Items) != c.services || (a.versions != nil) != c.history {
			t.Errorf("%d services: %d documents, history %v, %v", c.services, len(a.documents.Items), a.versions != nil, err)
		}
		_ = p.socket.Close()
		server.Close()
		w.log.Close()
	}
}
