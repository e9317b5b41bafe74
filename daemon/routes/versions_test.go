package routes

import (
	"context"
	"errors"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
)

// onlyVersion reports whether a daemon takes service s for one of a single version.
func onlyVersion(c *control) bool {
	_, ok := streamOrigins{control: c}.OnlyVersion("s")
	return ok
}

// applyRelease has a daemon read a replica of version v2 at a time, after the last one of v1 is gone.
func applyRelease(c *control, at time.Time) {
	applyEntries(c, 9, at, map[string]string{"replica-2": "version=v2"})
}

// confirm has a daemon read the store without changes at a time.
func confirm(c *control, at time.Time) {
	c.handle(context.Background(), storeConfirmed{c.catalog.feed.Position(), at}, at)
	c.updateLease(at)
}

// keepUpToDate has a daemon read the store every second, from a time until another.
func keepUpToDate(c *control, from, until time.Time) {
	for at := from; at.Before(until); at = at.Add(time.Second) {
		confirm(c, at)
	}
	confirm(c, until)
}

// TestStartedDaemonDoesNotKnowOfOnlyOneVersion guards against a daemon that starts after the entries of a version
// are gone, and takes the service for one that has only ever had the version that is left.
func TestStartedDaemonDoesNotKnowOfOnlyOneVersion(t *testing.T) {
	c := newQuietControl(t)
	applyRelease(c, clock.Now())
	confirm(c, clock.Now())
	if onlyVersion(c) {
		t.Error("takes the only version that it sees for the only one that there was")
	}
	old := newQuietControl(t)
	applyRelease(old, clock.Now().Add(-11*time.Second))
	keepUpToDate(old, clock.Now().Add(-11*time.Second), clock.Now())
	if !onlyVersion(old) {
		t.Error("does not know of one version after it has seen no other for longer than a stream can last")
	}
}

// TestHistoryOfVersionsIsTold guards against a daemon that refuses to resume streams after a start although a peer
// knows that there was one version, or resumes them although a peer knows of another.
func TestHistoryOfVersionsIsTold(t *testing.T) {
	for _, c := range []struct {
		name     string
		ran      time.Duration                      // of the peer
		before   map[string]string                  // the peer's entries at its start
		peerAt   feed.Revision                      // of the peer's documents when it is asked
		previous bool                               // the peer's build tells no history
		several  bool                               // the daemon knows of several versions
		only     bool                               // the daemon knows of one
		meddle   func(p *syncedPair, now time.Time) // between the peer's start and the release
	}{
		{name: "one version", ran: time.Minute, peerAt: 9, only: true},
		{name: "another version that has left", ran: time.Minute, before: map[string]string{"replica-1": "version=v1"}, peerAt: 9, several: true},
		{name: "the peer has just started too", ran: time.Second, peerAt: 9},
		{name: "the peer lacks the newest documents", ran: time.Minute, peerAt: 5},
		{name: "the peer is of the previous build", ran: time.Minute, before: map[string]string{"replica-1": "version=v1"}, peerAt: 9, previous: true},
		{name: "the peer was paused", ran: time.Minute, peerAt: 9, meddle: func(p *syncedPair, now time.Time) {
			p.peer.tick(t.Context(), now.Add(-20*time.Second))
			p.peer.tick(t.Context(), now.Add(-2*time.Second))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSyncedPair(t)
			now := clock.Now()
			p.now, p.tellsHistory = now, !c.previous
			p.daemon.roster = membership.NewRoster(membership.Member{Address: "10.0.0.2:1"}, nil)
			start := now.Add(-c.ran)
			applyEntries(p.peer, 2, start, map[string]string{"replica-2": "version=v2"})
			applyEntries(p.peer, 3, start, c.before)
			if c.meddle != nil {
				c.meddle(p, now)
			}
			for key := range c.before {
				p.peer.apply(p.peer.catalog.feed.Apply([]feed.Item{{Key: key, Revision: 4, Deleted: true}}), sourceStore, now.Add(-time.Second))
			}
			p.peer.apply(p.peer.catalog.feed.Apply([]feed.Item{{Key: "config", Revision: c.peerAt}}), sourceStore, now)
			applyRelease(p.daemon, now)
			p.daemon.observeMembers(new(p.peer.newHeartbeat(now)), now)
			p.daemon.learnHistory(t.Context(), now)
			p.finishRequests()
			confirm(p.daemon, now)
			if got := p.daemon.view.Load().HasSeveralVersions("s"); got != c.several {
				t.Errorf("the daemon knows of several versions: %t, want %t", got, c.several)
			}
			if got := onlyVersion(p.daemon); got != c.only {
				t.Errorf("the daemon knows of only one version: %t, want %t", got, c.only)
			}
		})
	}
}

// TestHistoryComesWithTheFirstDocuments guards against a daemon that has documents from a peer, and accepts callers,
// before it knows which versions services had.
func TestHistoryComesWithTheFirstDocuments(t *testing.T) {
	p := newSyncedPair(t)
	now := clock.Now()
	p.now, p.tellsHistory = now, true
	applyRelease(p.peer, now.Add(-time.Minute))
	p.exchangeHeartbeat()
	p.daemon.handle(t.Context(), syncDue{}, now.Add(firstSyncDelay))
	p.finishRequests()
	confirm(p.daemon, now)
	if !onlyVersion(p.daemon) {
		t.Error("has documents, but no history")
	}
}

// TestPauseInterruptsTheHistoryOfVersions guards against a daemon that was paused while a version came and went, and
// goes on with streams that began at it, also before it has noticed the pause.
func TestPauseInterruptsTheHistoryOfVersions(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now.Add(-2*pauseThreshold))
	c.tick(t.Context(), now.Add(-2*pauseThreshold))
	if onlyVersion(c) {
		t.Error("knows of one version although its last tick is long ago")
	}
	c.tick(t.Context(), now)
	if onlyVersion(c) {
		t.Error("knows of one version right after a pause")
	}
	c.tickedAt.Store(new(clock.Now()))
	applyRelease(c, now)
	c.catalog.versions.Merge(&routing.VersionReport{At: c.catalog.feed.Position(), Complete: time.Minute}, now)
	c.publish(now)
	if !onlyVersion(c) {
		t.Error("does not know of one version although a peer told it")
	}
}

// newCutOffControl returns the control loop of a daemon that has known its documents for a minute, and since the length of a
// lease hears neither the store nor the other daemon.
func newCutOffControl(t *testing.T, now time.Time) *control {
	t.Helper()
	c := newQuietControl(t)
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now.Add(-membership.VersionLease))
	c.roster = membership.NewRoster(membership.Member{Address: "10.0.0.1:1"}, []membership.Address{"10.0.0.1:1", "10.0.0.9:1"})
	c.roster.SetStoreUnreachable(true)
	return c
}

// TestCutOffDaemonTellsNoHistory guards against a history of a daemon that may lack what others know.
func TestCutOffDaemonTellsNoHistory(t *testing.T) {
	now := clock.Now()
	c := newCutOffControl(t, now)
	c.tickLease(now)
	if onlyVersion(c) {
		t.Error("knows of one version although a seed that was never heard may know another")
	}
	answer := c.respond(&documentsRequest{}, now)
	if answer.versions.Complete > 0 {
		t.Errorf("tells a history of %v", answer.versions.Complete)
	}
}

// TestPausedDaemonTellsNoHistory guards against a daemon that was paused while a version came and went, and that is asked for its
// documents before it has noticed: a daemon that has just started would take the history for complete.
func TestPausedDaemonTellsNoHistory(t *testing.T) {
	now := clock.Now()
	c := newQuietControl(t)
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now.Add(-5*time.Second))
	for _, last := range []time.Duration{5 * time.Second, pauseThreshold, heartbeatInterval} {
		c.tickedAt.Store(new(now.Add(-last)))
		if told, want := c.respond(&documentsRequest{}, now).versions.Complete > 0, last < pauseThreshold; told != want {
			t.Errorf("tells its history %v after its last tick: %t, want %t", last, told, want)
		}
	}
}

// TestCutOffDaemonKeepsItsView guards against a view that is built on every tick while a daemon is cut off, and against
// one that still counts the history of before when that ends.
func TestCutOffDaemonKeepsItsView(t *testing.T) {
	now := clock.Now()
	c := newCutOffControl(t, now)
	before := c.view.Load()
	for range 3 {
		now = now.Add(100 * time.Millisecond)
		c.tickLease(now)
	}
	if c.view.Load() != before {
		t.Error("built a view while it was cut off")
	}
	if onlyVersion(c) {
		t.Error("knows of one version while it is cut off")
	}
	c.roster.SetStoreUnreachable(false)
	now = now.Add(100 * time.Millisecond)
	confirm(c, now)
	if got := c.view.Load().VersionsSince; !got.Equal(now) {
		t.Errorf("counts the history since %v after a cut that ended at %v", got, now)
	}
}

// TestDaemonThatLacksDocumentsDoesNotKnowOfOnlyOneVersion guards against a daemon that goes on with streams at the only
// version of its own documents, although a peer's heartbeat has told of newer ones, which it can't fetch.
func TestDaemonThatLacksDocumentsDoesNotKnowOfOnlyOneVersion(t *testing.T) {
	c := newQuietControl(t)
	c.syncs.newer = make(map[membership.Address]newerPeer)
	now := clock.Now()
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now)
	own := c.catalog.feed.Position()
	receive := func(at feed.Position) {
		c.syncs.inFlight = true // no request is sent
		c.observePosition(t.Context(), &gossip.Heartbeat{Sender: testMember(1), Era: at.Era, Revision: at.Revision}, now)
		c.updateLacksDocuments(now)
	}
	receive(own)
	if !onlyVersion(c) {
		t.Fatal("does not know of one version although no peer has newer documents")
	}
	receive(feed.Position{Era: own.Era, Revision: own.Revision + 1})
	c.finishSync(t.Context(), &syncCompleted{from: testMember(1).Address, err: errors.New("the peer does not answer")}, now)
	c.updateLacksDocuments(now)
	if onlyVersion(c) {
		t.Error("knows of one version although a peer has newer documents")
	}
	c.updateLacksDocuments(now.Add(c.catalog.table.StreamLife() + time.Second))
	if c.lacksDocuments.Load() {
		t.Error("lacks documents of a peer that is not heard any more")
	}
	receive(feed.Position{Era: own.Era, Revision: own.Revision + 1})
	c.apply(c.catalog.feed.ApplyChanges(nil, own.Revision+1), "peer", now)
	c.updateLacksDocuments(now)
	if !onlyVersion(c) {
		t.Error("does not know of one version although it has the documents of its peer")
	}
}
