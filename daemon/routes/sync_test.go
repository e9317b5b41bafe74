package routes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// versionedDocuments parses configurations whose version is the revision of their document.
type versionedDocuments struct{ fakeDocuments }

func (versionedDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	return routing.NewTable(&routing.Config{Version: routing.ConfigVersion(it.Revision), Services: []routing.Service{{Name: "s"}}})
}

// syncedPair is a daemon and a peer from which it fetches documents. There is no network between them,
// but messages are encoded and decoded.
type syncedPair struct {
	daemon, peer  *control
	now           time.Time
	asked         int // requests
	failNext      int // number of the next requests that fail
	sent          int // bytes of the responses
	items         int // documents in the responses
	acceptsDigest bool
	tellsHistory  bool // responses contain the peer's history of versions
}

func newSyncedPair(t *testing.T) *syncedPair {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	p := &syncedPair{now: time.Unix(1_000_000, 0), acceptsDigest: true}
	for _, c := range []**control{&p.daemon, &p.peer} {
		*c = newTestControl(l, versionedDocuments{})
		(*c).events = make(chan event, eventQueue)
		(*c).heartbeats.send = func(membership.Address, []byte) {}
		(*c).syncs.newer = make(map[membership.Address]newerPeer)
		(*c).planReads(p.now)
		(*c).setReadPlan(membership.ReadPlan{}) // neither reads the store
	}
	p.daemon.syncs.fetch = func(_ context.Context, _ membership.Address, q documentsRequest) (documentsResponse, error) {
		return p.answer(q)
	}
	return p
}

func (p *syncedPair) answer(q documentsRequest) (documentsResponse, error) {
	p.asked++
	if p.failNext > 0 {
		p.failNext--
		return documentsResponse{}, errors.New("no response")
	}
	query, err := url.ParseQuery(q.encode())
	if err != nil {
		return documentsResponse{}, err
	}
	if !p.acceptsDigest {
		query.Del(paramDigest) // as in requests of the previous build
	}
	asked, err := decodeRequest(query)
	if err != nil {
		return documentsResponse{}, err
	}
	a := p.peer.respond(&asked, p.now)
	status, payload, err := a.encode()
	if err != nil {
		return a, err
	}
	got, err := decodeResponse(payload, status == statusDigest)
	p.sent, p.items = p.sent+len(payload), p.items+len(got.documents.Items)
	if !p.tellsHistory || err != nil {
		return got, err
	}
	header := make(http.Header)
	if err := addVersions(header, a.versions); err != nil {
		return got, err
	}
	got.versions, err = decodeVersions(header)
	return got, err
}

// exchangeHeartbeat has the daemon process a heartbeat of the peer and the responses to all requests
// that follow from it.
func (p *syncedPair) exchangeHeartbeat() {
	h := p.peer.newHeartbeat(p.now)
	p.daemon.observePosition(context.Background(), &h, p.now)
	p.finishRequests()
}

// finishRequests has the daemon process the responses to all requests on their way.
func (p *syncedPair) finishRequests() {
	for p.daemon.syncs.inFlight {
		p.daemon.handle(context.Background(), <-p.daemon.events, p.now)
	}
}

func fleetEntries(n int) []feed.Item {
	out := []feed.Item{{Key: "config", Revision: 1}}
	for i := range n {
		out = append(out, feed.Item{Key: fmt.Sprintf("replica-%05d", i), Value: []byte(fmt.Sprintf("born=%d-%d", i+1, 7*i)), Revision: feed.Revision(i + 2)})
	}
	return out
}

// TestListAfterLostHistorySendsOnlyChanges simulates a peer that listed the store again because the
// store's history was lost. The daemon must be sent only what differs, and not ten thousand entries.
func TestListAfterLostHistorySendsOnlyChanges(t *testing.T) {
	for _, replicas := range []int{100, 10000} {
		p := newSyncedPair(t)
		all := fleetEntries(replicas)
		at := feed.Revision(replicas + 1)
		for _, c := range []*control{p.daemon, p.peer} {
			c.apply(c.catalog.feed.ApplyList(all, at), sourceStore, p.now)
		}
		all[0].Revision = at + 1
		p.peer.apply(p.peer.catalog.feed.ApplyList(append(all[:5:5], all[6:]...), at+3), sourceStore, p.now) // one entry is gone
		p.exchangeHeartbeat()
		if got := p.daemon.catalog.feed.Revision(); got != at+3 {
			t.Fatalf("%d replicas: at revision %d, want %d", replicas, got, at+3)
		}
		if got := p.daemon.catalog.table.Version; got != routing.ConfigVersion(at+1) {
			t.Errorf("%d replicas: configuration %d is active, want %d", replicas, got, at+1)
		}
		if got := len(p.daemon.view.Load().Pool("s").Ready); got != replicas-1 {
			t.Errorf("%d ready replicas, want %d", got, replicas-1)
		}
		if p.items > 100 || p.asked != 2 {
			t.Errorf("%d replicas: %d documents in %d responses, %d bytes", replicas, p.items, p.asked, p.sent)
		}
	}
}

// TestDaemonOfPreviousBuildIsSentAllDocuments checks that a daemon of the previous build, which accepts no
// digest, is up to date after one response.
func TestDaemonOfPreviousBuildIsSentAllDocuments(t *testing.T) {
	p := newSyncedPair(t)
	p.acceptsDigest = false
	p.daemon.apply(p.daemon.catalog.feed.ApplyList(fleetEntries(20), 21), sourceStore, p.now)
	p.peer.apply(p.peer.catalog.feed.ApplyList(fleetEntries(30), 40), sourceStore, p.now)
	p.exchangeHeartbeat()
	if got := p.daemon.catalog.feed.Revision(); got != 40 || p.asked != 1 {
		t.Fatalf("at revision %d after %d responses", got, p.asked)
	}
}

// TestConfigurationSpreadsBeforeListCompletes simulates a peer that lists the store after its history was
// lost. The first page has a new configuration, which must become active immediately and be fetched by
// the daemon once, although the list is not complete and the revision has not changed.
func TestConfigurationSpreadsBeforeListCompletes(t *testing.T) {
	p := newSyncedPair(t)
	for _, c := range []*control{p.daemon, p.peer} {
		c.apply(c.catalog.feed.ApplyList(fleetEntries(200), 201), sourceStore, p.now)
	}
	page := storePageRead{items: []feed.Item{{Key: "config", Revision: 300}}, upTo: "config", at: feed.Position{Revision: 310}}
	p.peer.handle(context.Background(), page, p.now)
	p.failNext = 1
	p.exchangeHeartbeat()
	p.asked = 0
	p.exchangeHeartbeat()
	if got := p.daemon.catalog.table.Version; got != 300 {
		t.Fatalf("configuration %d is active, want 300", got)
	}
	p.exchangeHeartbeat()
	if p.asked != 1 || p.items > 1 {
		t.Errorf("%d requests and %d documents", p.asked, p.items)
	}
	if got := p.daemon.catalog.feed.Revision(); got != 201 {
		t.Errorf("at revision %d although the list is not complete", got)
	}
}

// TestDaemonWithoutDocumentsWaitsForCompleteList checks that a daemon that has just started accepts no
// callers after the first page, which has the configuration but hardly any replicas.
func TestDaemonWithoutDocumentsWaitsForCompleteList(t *testing.T) {
	p := newSyncedPair(t)
	p.daemon.handle(context.Background(), storePageRead{items: fleetEntries(3), upTo: "replica-00002", at: feed.Position{Revision: 310}}, p.now)
	if v := p.daemon.view.Load(); v != nil && v.Table != nil {
		t.Fatal("a configuration is active after one page")
	}
	p.daemon.handle(context.Background(), storeListed{items: fleetEntries(200), at: feed.Position{Revision: 310}}, p.now)
	if v := p.daemon.view.Load(); v.Table == nil || len(v.Pool("s").Ready) != 200 {
		t.Fatal("the list is not active")
	}
}

// TestInvalidDocumentsRequestsAreRejected checks that invalid requests are rejected.
func TestInvalidDocumentsRequestsAreRejected(t *testing.T) {
	for _, query := range []string{"", "after=x", "after=5&parts=zz", "after=5&parts=", "after=5&parts=010203"} {
		v, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeRequest(v); err == nil {
			t.Errorf("%q is accepted", query)
		}
	}
}

// TestSnapshotIsEncodedOnce checks that daemons which request all documents share one encoding, and
// that no daemon is sent an encoding from before a change.
func TestSnapshotIsEncodedOnce(t *testing.T) {
	p := newSyncedPair(t)
	c := p.peer.catalog
	p.peer.apply(c.feed.ApplyList(fleetEntries(50), 51), sourceStore, p.now)
	first, second := c.respond(&documentsRequest{}), c.respond(&documentsRequest{})
	if first.snapshot == nil || first.snapshot != second.snapshot {
		t.Fatal("the same documents were encoded twice")
	}
	p.peer.apply(c.feed.Apply([]feed.Item{{Key: "replica-00007", Revision: 60, Deleted: true}}), sourceStore, p.now)
	_, payload, err := func() (int, []byte, error) { a := c.respond(&documentsRequest{}); return a.encode() }()
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeResponse(payload, false)
	if err != nil || got.documents.Revision != 60 || !got.documents.Whole {
		t.Fatalf("at revision %d, whole %t, %v", got.documents.Revision, got.documents.Whole, err)
	}
	c.feed.Advance(70)
	if a := c.respond(&documentsRequest{}); a.snapshot.documents.Revision != 70 {
		t.Fatal("the encoding is of an earlier revision")
	}
}

// BenchmarkSnapshotResponse measures answering requests for all documents, as hundreds of daemons send
// when a whole fleet starts: the first request, and those after it.
func BenchmarkSnapshotResponse(b *testing.B) {
	for _, replicas := range []int{100, 1000, 10000, 20000} {
		var out bytes.Buffer
		l := newLog(&out, "info", "d", newMetrics())
		b.Cleanup(l.Close)
		c := newCatalog(versionedDocuments{}, l)
		c.feed.ApplyList(fleetEntries(replicas), feed.Revision(replicas+1))
		answer := func(b *testing.B) {
			a := c.respond(&documentsRequest{})
			if _, _, err := a.encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("first/%d", replicas), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c.snapshot = nil
				answer(b)
			}
		})
		b.Run(fmt.Sprintf("next/%d", replicas), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				answer(b)
			}
		})
	}
}

// BenchmarkDocumentsMemory reports the memory that a daemon uses for a fleet's entries: the documents,
// the parsed state, and one view.
func BenchmarkDocumentsMemory(b *testing.B) {
	for _, replicas := range []int{100, 1000, 10000, 20000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var out bytes.Buffer
			l := newLog(&out, "info", "d", newMetrics())
			defer l.Close()
			for range b.N {
				before := heapBytes()
				c := newCatalog(versionedDocuments{}, l)
				c.apply(c.feed.ApplyList(fleetEntries(replicas), feed.Revision(replicas+1)), sourceStore, false, time.Unix(1, 0))
				v := c.view(routing.NewDepartures(), time.Unix(1, 0))
				b.ReportMetric(float64(heapBytes()-before)/float64(replicas), "B/replica")
				runtime.KeepAlive(v)
				runtime.KeepAlive(c)
			}
		})
	}
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
