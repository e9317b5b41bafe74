package routes

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// newReleaseControl returns the control loop of a daemon that has known version v1 of service s for a minute, and some peers.
func newReleaseControl(t *testing.T, now time.Time, peers int) (*control, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	c := newTestControl(l, fakeDocuments{})
	c.heartbeats.send = func(membership.Address, []byte) {}
	c.syncs.newer = make(map[membership.Address]newerPeer)
	c.planReads(now)
	applyEntries(c, 9, now.Add(-time.Minute), map[string]string{"replica-1": "version=v1", "replica-2": "version=v1"})
	for i := range peers {
		tell(c, i, 9, now)
	}
	return c, &out
}

// tell has a daemon receive a peer's heartbeat with a revision.
func tell(c *control, peer int, at feed.Revision, now time.Time) {
	m := testMember(peer)
	m.Heartbeats = uint64(now.UnixMilli())
	c.syncs.inFlight = true // no request is sent
	h := gossip.Heartbeat{Sender: m, Era: c.catalog.feed.Position().Era, Revision: at}
	c.receiveHeartbeat(context.Background(), &h, now)
}

// newVersions returns how many versions of service s are new in the view.
func newVersions(c *control) int { return len(c.view.Load().NewVersions["s"]) }

// TestVersionIsEstablishedOnceAllPeersHaveIt guards against streams that avoid a version for seconds although all daemons know
// it, and against one at which streams begin before.
func TestVersionIsEstablishedOnceAllPeersHaveIt(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 3)
	applyEntries(c, 12, now, map[string]string{"replica-3": "version=v2"})
	if newVersions(c) != 1 {
		t.Fatal("the version is not new in the first view that has it")
	}
	applyEntries(c, 14, now, map[string]string{"replica-1": "version=v1"})
	for i, told := range []feed.Revision{12, 14, 11} {
		now = now.Add(20 * time.Millisecond)
		tell(c, i, told, now)
		if newVersions(c) != 1 {
			t.Errorf("established although a peer is at revision 11: %d peers told", i+1)
		}
	}
	tell(c, 2, 12, now)
	if newVersions(c) != 0 {
		t.Error("not established with the heartbeat of the last peer")
	}
	if c.catalog.versions.AwaitsEstablishment() {
		t.Error("looks for established versions although none is new")
	}
}

// TestPeerBeyondTheOwnDocumentsMayLackTheVersion guards against streams that begin at a version whose entry is gone, at a daemon that
// has not read that yet: a peer that has may never have known the version.
func TestPeerBeyondTheOwnDocumentsMayLackTheVersion(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 2)
	applyEntries(c, 12, now, map[string]string{"replica-3": "version=v2"})
	tell(c, 0, 12, now)
	now = now.Add(20 * time.Millisecond)
	tell(c, 1, 30, now)
	if newVersions(c) != 1 {
		t.Fatal("established by a peer at revision 30, in which the version may have left")
	}
	applyEntries(c, 30, now, map[string]string{"replica-1": "version=v1"})
	if newVersions(c) != 0 {
		t.Error("not established although the version is in the documents of revision 30 too")
	}
}

// TestPeerMayLackAnEntryThatWasWrittenAgain guards against a peer that has told a position between two writes of a version's only
// entry, and counts as knowing the version: the entry may have been gone then.
func TestPeerMayLackAnEntryThatWasWrittenAgain(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 1)
	applyEntries(c, 12, now, map[string]string{"replica-3": "version=v2"})
	// Between these the entry may have been removed and written again.
	applyEntries(c, 20, now, map[string]string{"replica-3": "version=v2"})
	tell(c, 0, 15, now)
	if newVersions(c) != 1 {
		t.Error("established by a peer at revision 15, between two writes of the entry")
	}
	tell(c, 0, 20, now.Add(20*time.Millisecond))
	if newVersions(c) != 0 {
		t.Error("not established by a peer at revision 20")
	}
}

// TestPeerMayLackADocumentFromBeforeTheRestore guards against a version that counts as known to a peer at the own position, although
// its entry is from before the store was restored and only this daemon has been sent it.
func TestPeerMayLackADocumentFromBeforeTheRestore(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 0)
	c.applyList([]feed.Item{{Key: "config", Revision: 1}, {Key: "replica-1", Value: []byte("version=v1"), Revision: 2}}, feed.Position{Era: 4, Revision: 5}, sourceStore, now)
	c.roster.Observe([]membership.Member{testMember(0)}, now)
	tell(c, 0, 5, now.Add(20*time.Millisecond))
	c.apply(c.catalog.feed.ApplyChanges([]feed.Item{{Key: "replica-3", Value: []byte("version=v2")}}, 5), "peer", now)
	if newVersions(c) != 1 {
		t.Error("established although the peer's position does not tell of documents from before the restore")
	}
	c.tick(t.Context(), now.Add(3600*time.Millisecond))
	if newVersions(c) != 0 {
		t.Error("not established after 3.6 s")
	}
}

// TestVersionIsEstablishedOnATick guards against a version that stays new while no heartbeat arrives.
func TestVersionIsEstablishedOnATick(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 3)
	c.tick(t.Context(), now)
	applyEntries(c, 12, now, map[string]string{"replica-3": "version=v2"})
	for passed := heartbeatInterval; passed < 3600*time.Millisecond; passed += heartbeatInterval {
		c.tick(t.Context(), now.Add(passed))
		if newVersions(c) != 1 {
			t.Fatalf("established after %v", passed)
		}
	}
	c.tick(t.Context(), now.Add(3600*time.Millisecond))
	if newVersions(c) != 0 {
		t.Error("not established after 3.6 s")
	}
}

// TestPageOfAListIsNotOlderThanItsDocuments guards against a version that counts as known to all peers because they hold the
// position that this daemon had before it began to list the store.
func TestPageOfAListIsNotOlderThanItsDocuments(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 1)
	p := storePageRead{items: []feed.Item{{Key: "replica-3", Value: []byte("version=v2"), Revision: 12}}, after: "replica-2", upTo: "replica-4", at: feed.Position{Revision: 14}}
	p.at.Era = c.catalog.feed.Position().Era
	c.applyPage(&p, now)
	if newVersions(c) != 1 {
		t.Error("a peer at revision 9 counts as knowing a document of revision 12")
	}
	tell(c, 0, 12, now)
	if newVersions(c) != 0 {
		t.Error("a peer at revision 12 does not count as knowing it")
	}
}

// TestNoViewWhileNothingIsNew guards against a cost on each heartbeat and tick.
func TestNoViewWhileNothingIsNew(t *testing.T) {
	now := clock.Now()
	c, _ := newReleaseControl(t, now, 3)
	c.tick(t.Context(), now)
	before := c.view.Load()
	for i := range 3 {
		tell(c, i, 9, now)
	}
	c.tick(t.Context(), now.Add(heartbeatInterval))
	if c.view.Load() != before {
		t.Error("built a view although nothing has changed")
	}
	if allocated := testing.AllocsPerRun(100, func() { c.establishVersions(now) }); allocated > 0 {
		t.Errorf("%v allocations", allocated)
	}
}

// TestChangesOfVersionsAreLogged guards against a release of which the log does not tell for how long streams avoided it.
func TestChangesOfVersionsAreLogged(t *testing.T) {
	now := clock.Now()
	c, out := newReleaseControl(t, now, 1)
	applyEntries(c, 12, now, map[string]string{"replica-3": "version=v2", "replica-4": "version=v2"})
	tell(c, 0, 12, now.Add(150*time.Millisecond))
	c.log.Close()
	for _, want := range []string{
		`"service":"s","version":"v2","replicas":2,"known_ms":0,"established_by":""`,
		`"service":"s","version":"v2","replicas":2,"known_ms":150,"established_by":"members"`,
	} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("%d lines with %s in\n%s", strings.Count(out.String(), want), want, out)
		}
	}
}

// TestStartedDaemonLearnsWhichVersionIsNew guards against a daemon that starts during a release and begins streams at the
// version that joins, since it came with the first documents.
func TestStartedDaemonLearnsWhichVersionIsNew(t *testing.T) {
	p := newSyncedPair(t)
	now := clock.Now()
	p.now, p.tellsHistory = now, true
	applyEntries(p.peer, 2, now.Add(-time.Minute), map[string]string{"replica-1": "version=v1"})
	applyEntries(p.peer, 9, now.Add(-time.Second), map[string]string{"replica-2": "version=v2"})
	// The daemon knows of a second peer, which has told nothing.
	p.daemon.roster.Observe([]membership.Member{testMember(7)}, now)
	p.exchangeHeartbeat()
	p.daemon.handle(t.Context(), syncDue{}, now.Add(firstSyncDelay))
	p.finishRequests()
	want := p.daemon.view.Load().Pool("s").Ready[1]
	if got := p.daemon.view.Load().NewVersions["s"]; len(got) != 1 || got[0] != want.VersionKey() || want.Version != "v2" {
		t.Fatalf("new versions %v, want that of %s", got, want.ID)
	}
	p.daemon.tick(t.Context(), now.Add(2500*time.Millisecond))
	if newVersions(p.daemon) != 1 {
		t.Error("established 3.5 s after the peer learned of it")
	}
	p.daemon.tick(t.Context(), now.Add(2700*time.Millisecond))
	if newVersions(p.daemon) != 0 {
		t.Error("new 3.7 s after the peer learned of it")
	}
}

// TestStreamsAtNewVersionsAreCounted guards against a release whose first streams ran the risk of another version unnoticed.
func TestStreamsAtNewVersionsAreCounted(t *testing.T) {
	m := newMetrics()
	m.finished(&relay.Call{}, &relay.Summary{Attempts: []relay.Attempt{{}, {NewVersion: true}}})
	if n := m.NewVersionStreams.Count(); n != 1 {
		t.Errorf("%d streams are counted, want 1", n)
	}
}
