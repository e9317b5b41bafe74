package routes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

// textDocuments parses configurations whose version is their text, and replicas whose text begins
// with "draining" or "ready".
type textDocuments struct{ fakeDocuments }

func (textDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	v, err := strconv.Atoi(string(it.Value))
	if err != nil {
		return nil, err
	}
	return routing.NewTable(&routing.Config{Version: routing.ConfigVersion(v), Services: []routing.Service{{Name: "s"}}})
}

func (textDocuments) ParseReplica(it feed.Item) (routing.Replica, error) {
	return routing.NewReplica(routing.Replica{
		ID: routing.ReplicaID(it.Key), Service: "s", Draining: strings.HasPrefix(string(it.Value), "draining"),
	}), nil
}

func (textDocuments) Version(it feed.Item) feed.Version {
	if it.Key != "config" {
		return feed.Version{Known: true, Final: strings.HasPrefix(string(it.Value), "draining")}
	}
	v, err := strconv.ParseUint(string(it.Value), 10, 64)
	return feed.Version{Known: err == nil, Sequence: v}
}

// config and replica return documents in the format of textDocuments.
func config(version int, at feed.Revision) feed.Item {
	return feed.Item{Key: "config", Value: []byte(strconv.Itoa(version)), Revision: at}
}

func replica(id int, state string, at feed.Revision) feed.Item {
	return feed.Item{Key: "replica-" + strconv.Itoa(id), Value: []byte(state), Revision: at}
}

// newRestoredPair returns a daemon that reads the store (peer) and one that fetches from it (daemon),
// both at revision 29 of the store's first era.
func newRestoredPair(t *testing.T) *syncedPair {
	p := newSyncedPair(t)
	for _, c := range []*control{p.daemon, p.peer} {
		c.catalog = newCatalog(textDocuments{}, c.log)
	}
	for _, c := range []*control{p.daemon, p.peer} {
		c.handle(context.Background(), storeListed{
			items: []feed.Item{config(23, 29), replica(1, "ready", 3), replica(2, "ready", 4)}, at: feed.Position{Era: 1, Revision: 29},
		}, p.now)
	}
	return p
}

// list simulates that the peer lists the store.
func (p *syncedPair) list(era feed.Era, at feed.Revision, items ...feed.Item) {
	p.peer.handle(context.Background(), storeListed{items: items, at: feed.Position{Era: era, Revision: at}}, p.now)
}

// watch simulates that the peer receives a change from the store.
func (p *syncedPair) watch(era feed.Era, it feed.Item) {
	p.peer.handle(context.Background(), storeChanged{Changes: feed.Changes{Items: []feed.Item{it}, At: feed.Position{Era: era, Revision: it.Revision}}}, p.now)
}

// TestChangeWithReusedRevisionIsAppliedEverywhere guards against refusing a confirmed route,
// and sending to a draining replica, after the store was restored from a backup and assigns revisions
// again that were used before.
func TestChangeWithReusedRevisionIsAppliedEverywhere(t *testing.T) {
	p := newRestoredPair(t)
	p.list(2, 26, config(20, 25), replica(1, "ready", 3), replica(2, "ready", 4))
	p.watch(2, replica(2, "draining", 27))
	p.watch(2, config(25, 28))
	p.exchangeHeartbeat()
	for name, c := range map[string]*control{"the reader": p.peer, "its peer": p.daemon} {
		v := c.view.Load()
		if got := v.Table.Version; got != 25 {
			t.Errorf("%s uses configuration %d, want 25", name, got)
		}
		if got := len(v.Pool("s").Ready); got != 1 {
			t.Errorf("%s has %d ready replicas, want 1: the other one is draining", name, got)
		}
	}
}

// TestRestoreDoesNotRevertConfiguration guards against using the older configuration of the
// backup, both at daemons that ran before the restore and at one that starts after it and reads the
// backup's configuration first.
func TestRestoreDoesNotRevertConfiguration(t *testing.T) {
	p := newRestoredPair(t)
	p.list(2, 26, config(20, 25), replica(1, "ready", 3), replica(2, "ready", 4))
	if got := p.peer.version(); got != 23 {
		t.Fatalf("the reader uses configuration %d, want 23", got)
	}
	p.start(t)
	p.daemon.handle(context.Background(), storeListed{items: []feed.Item{config(20, 25), replica(1, "ready", 3)}, at: feed.Position{Era: 2, Revision: 26}}, p.now)
	if got := p.daemon.version(); got != 20 {
		t.Fatalf("a daemon that knows only the backup uses configuration %d, want 20", got)
	}
	p.exchangeHeartbeat()
	if got := p.daemon.version(); got != 23 {
		t.Errorf("after a peer's heartbeat it uses configuration %d, want 23", got)
	}
	p.peer.handle(context.Background(), storeChanged{Changes: feed.Changes{Items: []feed.Item{config(25, 27)}, At: feed.Position{Era: 2, Revision: 27}}}, p.now)
	p.exchangeHeartbeat()
	if got := p.daemon.version(); got != 25 {
		t.Errorf("after a new configuration it uses %d, want 25", got)
	}
}

// start replaces the daemon by one that has just started and has no documents.
func (p *syncedPair) start(t *testing.T) {
	started := newSyncedPair(t)
	started.daemon.catalog = newCatalog(textDocuments{}, started.daemon.log)
	started.daemon.syncs.fetch = p.daemon.syncs.fetch
	p.daemon = started.daemon
}

// TestDaemonStartedAfterRestoreLearnsDrainingReplicas guards against requests to a replica that is gone or
// draining, from a daemon whose first documents are those of the backup.
func TestDaemonStartedAfterRestoreLearnsDrainingReplicas(t *testing.T) {
	p := newRestoredPair(t)
	p.watch(1, replica(1, "draining", 30))
	copied := []feed.Item{config(23, 20), replica(1, "ready", 3), replica(2, "ready", 4)}
	p.list(2, 26, copied...)
	p.start(t)
	p.daemon.handle(context.Background(), storeListed{items: copied, at: feed.Position{Era: 2, Revision: 26}}, p.now)
	p.exchangeHeartbeat()
	if got := len(p.daemon.view.Load().Pool("s").Ready); got != 1 {
		t.Errorf("%d ready replicas, want 1: the other one is draining", got)
	}
	asked := p.asked
	p.exchangeHeartbeat()
	if p.asked != asked {
		t.Error("it sends another request although nothing has changed")
	}
}

// TestEraWithoutChangesReachesPeers guards against peers that stay in the old era because the restore
// itself changed no document. They would take the next change for an older one.
func TestEraWithoutChangesReachesPeers(t *testing.T) {
	p := newRestoredPair(t)
	sent := 0
	p.peer.heartbeats.send = func(membership.Address, []byte) { sent++ }
	p.peer.roster.Observe([]membership.Member{testMember(1)}, p.now)
	p.list(2, 29, config(23, 29), replica(1, "ready", 3), replica(2, "ready", 4))
	if sent == 0 {
		t.Error("the era is not sent to peers")
	}
	p.exchangeHeartbeat()
	if got := p.daemon.catalog.feed.Position(); got != (feed.Position{Era: 2, Revision: 29}) {
		t.Errorf("the peer is at %v", got)
	}
	if p.items > 3 {
		t.Errorf("%d documents were sent although none changed", p.items)
	}
}

// TestPreRestoreDocumentsExpire covers entries that the backup lacks or has older versions of. The
// known entries must stay in use while they may be rewritten, and then yield to the store's.
func TestPreRestoreDocumentsExpire(t *testing.T) {
	p := newRestoredPair(t)
	p.watch(1, replica(3, "ready", 30))
	p.watch(1, replica(2, "draining", 31))
	p.list(2, 26, config(20, 20), replica(1, "ready", 3), replica(2, "ready", 4))
	for _, step := range []struct {
		after   time.Duration
		ready   int
		version routing.ConfigVersion
	}{
		{0, 2, 23}, // 1 and 3
		{2900 * time.Millisecond, 2, 23},
		{3100 * time.Millisecond, 1, 23},
		{9900 * time.Millisecond, 1, 23},
		{10100 * time.Millisecond, 2, 23}, // 2 has not written again that it is draining
	} {
		p.peer.expirePreRestore(p.now.Add(step.after))
		if got := len(p.peer.view.Load().Pool("s").Ready); got != step.ready || p.peer.version() != step.version {
			t.Errorf("after %v: %d ready replicas and configuration %d, want %d and %d", step.after, got, p.peer.version(), step.ready, step.version)
		}
	}
}

// TestResponseFromEarlierEraIsIgnored guards against responses that were in flight when the
// store was restored.
func TestResponseFromEarlierEraIsIgnored(t *testing.T) {
	p := newRestoredPair(t)
	before := p.peer.catalog.respond(&documentsRequest{knowsEras: true})
	_, payload, err := before.encode()
	if err != nil {
		t.Fatal(err)
	}
	late, err := decodeResponse(payload, false)
	if err != nil {
		t.Fatal(err)
	}
	p.daemon.handle(context.Background(), storeListed{items: []feed.Item{config(23, 20), replica(1, "draining", 21)}, at: feed.Position{Era: 2, Revision: 22}}, p.now)
	p.daemon.handle(context.Background(), syncCompleted{response: late}, p.now)
	if got := p.daemon.catalog.feed.Position(); got != (feed.Position{Era: 2, Revision: 22}) {
		t.Errorf("at position %v", got)
	}
	if got := len(p.daemon.view.Load().Pool("s").Ready); got != 1 {
		t.Errorf("%d ready replicas, want 1: the one that the backup lacks", got)
	}
}

// TestRevisionWithoutEraIsLastResort simulates a peer of the previous build, which
// does not support eras. Its revisions may be from before a restore and would then hide later changes,
// while the version of its configuration can always be compared.
func TestRevisionWithoutEraIsLastResort(t *testing.T) {
	p := newRestoredPair(t)
	eraless := func(revision feed.Revision, version routing.ConfigVersion) (asks int) {
		asked := p.asked
		h := p.peer.newHeartbeat(p.now)
		h.Era, h.Revision, h.Version = 0, revision, version
		p.daemon.observePosition(context.Background(), &h, p.now)
		for p.daemon.syncs.inFlight {
			p.daemon.handle(context.Background(), <-p.daemon.events, p.now)
		}
		return p.asked - asked
	}
	if eraless(30, 23) != 0 {
		t.Error("a daemon that can read the store fetches a revision without an era")
	}
	p.daemon.storeUnreachable = true
	if eraless(31, 23) != 1 {
		t.Error("a later revision is not fetched although no daemon that names an era can read the store")
	}
	reader := testMember(1)
	p.daemon.roster.Observe([]membership.Member{reader}, p.now)
	p.daemon.roster.ObserveEra(reader.Address, 1, p.now)
	if eraless(32, 23) != 0 {
		t.Error("a revision without an era is fetched although a daemon that names an era can read the store")
	}
	if eraless(32, 24) != 1 {
		t.Error("a later configuration is not fetched")
	}
	p.daemon.roster.ObserveEra(reader.Address, 0, p.now)
	p.daemon.handle(context.Background(), storeListed{items: []feed.Item{config(23, 20)}, at: feed.Position{Era: 2, Revision: 26}}, p.now)
	if eraless(33, 23) != 0 {
		t.Error("a revision without an era is fetched after the store was restored")
	}
}

// TestRestoreSendsOnlyChangedDocuments checks that the number of documents sent to a
// daemon after a restore does not depend on the number of entries.
func TestRestoreSendsOnlyChangedDocuments(t *testing.T) {
	for _, replicas := range []int{100, 10000, 20000} {
		p := newRestoredPair(t)
		items := []feed.Item{config(23, 1)}
		for i := range replicas {
			items = append(items, replica(i, "ready", feed.Revision(i+2)))
		}
		at := feed.Revision(replicas + 2)
		for _, c := range []*control{p.daemon, p.peer} {
			c.handle(context.Background(), storeListed{items: items, at: feed.Position{Era: 1, Revision: at + 100}}, p.now)
		}
		items[7] = replica(6, "draining", at-1)
		p.asked, p.sent, p.items = 0, 0, 0
		p.list(2, at, items...)
		p.exchangeHeartbeat()
		if got, want := p.daemon.catalog.feed.Position(), (feed.Position{Era: 2, Revision: at}); got != want {
			t.Errorf("%d entries: at position %v, want %v", replicas, got, want)
		}
		if got := len(p.daemon.view.Load().Pool("s").Ready); got != replicas-1 {
			t.Errorf("%d entries: %d ready replicas", replicas, got)
		}
		if p.asked != 2 || p.items > 100 {
			t.Errorf("%d entries: %d documents and %d bytes in %d responses", replicas, p.items, p.sent, p.asked)
		}
		t.Logf("%d entries: %d documents and %d bytes in %d responses", replicas, p.items, p.sent, p.asked)
	}
}

// restoringStore is restored from a backup between two pages of a list, and during a watch.
type restoringStore struct {
	pages   []feed.Page
	watches []feed.Changes
	lists   int
	done    chan struct{}
}

func (s *restoringStore) List(context.Context, string, transport.Timeouts) (feed.Page, error) {
	page := s.pages[min(s.lists, len(s.pages)-1)]
	s.lists++
	return page, nil
}

func (s *restoringStore) Watch(ctx context.Context, _ feed.Revision, _ time.Duration, _ transport.Timeouts) (feed.Changes, error) {
	if len(s.watches) == 0 {
		close(s.done)
		<-ctx.Done()
		return feed.Changes{}, ctx.Err()
	}
	c := s.watches[0]
	s.watches = s.watches[1:]
	return c, nil
}

func (s *restoringStore) CloseIdleConnections() {}

// TestListDoesNotMixEras guards against lists that mix documents from before and after a restore,
// and against changes of a new era that a watch started in the old one returns.
func TestListDoesNotMixEras(t *testing.T) {
	page := func(era feed.Era, at feed.Revision, next string, key string) feed.Page {
		return feed.Page{Items: []feed.Item{{Key: key, Revision: 5}}, At: feed.Position{Era: era, Revision: at}, Next: next}
	}
	store := &restoringStore{
		pages: []feed.Page{
			page(1, 20, "a", "a"), page(2, 12, "", "b"), // the second is of another era
			page(2, 12, "a", "c"), page(2, 13, "", "d"),
			page(3, 9, "", "e"),
		},
		watches: []feed.Changes{
			{Items: []feed.Item{{Key: "f", Revision: 14}}, At: feed.Position{Era: 2, Revision: 14}},
			{Items: []feed.Item{{Key: "g", Revision: 15}}, At: feed.Position{Era: 3, Revision: 15}},
		},
		done: make(chan struct{}),
	}
	c := &control{events: make(chan event, eventQueue)}
	c.readPlan.Store(&readPlan{ReadPlan: membership.ReadPlan{Reads: true, Wait: time.Second}, ended: make(chan struct{})})
	r := &reader{store: store, control: c, historyGone: errors.New("gone"), countCall: func() {}, countOlder: func() {}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go r.run(ctx)
	select {
	case <-store.done:
	case <-ctx.Done():
		t.Fatal("the reader does not reach the last watch")
	}
	var got []string
	for len(c.events) > 0 {
		switch e := (<-c.events).(type) {
		case storeListed:
			for _, it := range e.items {
				got = append(got, fmt.Sprint("list ", it.Key, " in ", e.at.Era))
			}
		case storeChanged:
			got = append(got, fmt.Sprint("change ", e.Items[0].Key, " in ", e.At.Era))
		}
	}
	want := []string{"list c in 2", "list d in 2", "change f in 2", "list e in 3"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestOlderResponsesAreRejected guards against an old copy of the store that is served in
// parallel.
func TestOlderResponsesAreRejected(t *testing.T) {
	older := 0
	c := &control{events: make(chan event, eventQueue)}
	c.view.Store(&routing.View{Position: feed.Position{Era: 3, Revision: 4}})
	store := &restoringStore{pages: []feed.Page{{At: feed.Position{Era: 2, Revision: 50}}}}
	r := &reader{store: store, control: c, countCall: func() {}, countOlder: func() { older++ }, after: feed.Position{Era: 3, Revision: 9}}
	err := r.list(context.Background())
	var e *OlderResponseError
	if !errors.As(err, &e) || older != 1 || !strings.Contains(err.Error(), "era 2, revision 50, after era 3, revision 9") {
		t.Errorf("%v, counted %d", err, older)
	}
	for len(c.events) > 0 {
		if _, ok := (<-c.events).(storeListed); ok {
			t.Error("the list is applied")
		}
	}
}
