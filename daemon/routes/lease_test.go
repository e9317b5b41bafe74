package routes

import (
	"context"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// TestOnlyVersionIsKnownForTheLease guards against a daemon that hears nothing, from which nothing takes its belief that a
// service has one version, and which resumes streams of another one that it does not know.
func TestOnlyVersionIsKnownForTheLease(t *testing.T) {
	for _, c := range []struct {
		confirmed time.Duration // before
		want      bool
	}{{membership.VersionLease - time.Second, true}, {membership.VersionLease, false}} {
		d := newQuietControl(t)
		now := clock.Now()
		applyRelease(d, now.Add(-time.Minute))
		keepUpToDate(d, now.Add(-time.Minute), now.Add(-c.confirmed))
		d.tickedAt.Store(&now)
		if got := onlyVersion(d); got != c.want {
			t.Errorf("confirmed %v before: knows of one version: %t, want %t", c.confirmed, got, c.want)
		}
	}
}

// TestShortLapseKeepsTheHistory guards against a history of versions that begins anew, so that streams of before are refused,
// although nothing can have been missed; and against one that does not although something can.
func TestShortLapseKeepsTheHistory(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // between two confirmations
		want bool          // the history is kept
	}{{membership.VersionLease - time.Millisecond, true}, {membership.VersionLease, false}} {
		d := newQuietControl(t)
		now := clock.Now()
		applyRelease(d, now.Add(-time.Minute))
		keepUpToDate(d, now.Add(-time.Minute), now.Add(-c.gap))
		d.updateLease(now) // nothing was confirmed
		confirm(d, now)
		if got := onlyVersion(d); got != c.want {
			t.Errorf("%v between two confirmations: the history is kept: %t, want %t", c.gap, got, c.want)
		}
	}
}

// TestFirstDocumentsCountFromTheirConfirmation guards against a daemon that starts beside one that has been cut off for some seconds: from
// the last confirmation of the other one's documents until the own first read of the store a version may have come, been
// established and gone, but only the time from the start was counted.
func TestFirstDocumentsCountFromTheirConfirmation(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration // of the other daemon's confirmation
		want bool          // its history is kept
	}{{100 * time.Millisecond, true}, {2800 * time.Millisecond, false}} {
		d := newQuietControl(t)
		now := clock.Now()
		start := now.Add(-2500 * time.Millisecond)
		applyRelease(d, start)
		d.handle(context.Background(), peerHeartbeat(d.catalog.feed.Position(), false, c.age)(start), start)
		d.updateLease(start)
		told := routing.VersionReport{At: d.catalog.feed.Position(), Complete: time.Minute}
		d.mergeHistory(&told, "peer", start)
		confirm(d, now)
		if got := onlyVersion(d); got != c.want {
			t.Errorf("confirmed %v before the start, then 2.5 s after it: the history is kept: %t, want %t", c.age, got, c.want)
		}
	}
}

// TestHeartbeatConfirmsDocumentsOnceTheyAreInTheView guards against a lease that a heartbeat renews before the documents
// that its sender has are visible to requests: they may name another version.
func TestHeartbeatConfirmsDocumentsOnceTheyAreInTheView(t *testing.T) {
	c := newQuietControl(t)
	c.syncs.newer = make(map[membership.Address]newerPeer)
	c.syncs.inFlight = true // no request is sent
	now := clock.Now()
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now.Add(-2*time.Second))
	c.planReads(now)
	own := c.catalog.feed.Position()
	c.handle(context.Background(), peerHeartbeat(feed.Position{Era: own.Era, Revision: own.Revision + 1}, false, time.Millisecond)(now), now)
	c.updateLease(now)
	if got := c.documents.ages(now).Confirmed; got != 2*time.Second {
		t.Errorf("confirmed %v before by a heartbeat that tells of documents that the daemon lacks", got)
	}
	c.apply(c.catalog.feed.ApplyChanges([]feed.Item{{Key: "replica-3", Value: []byte("version=v3"), Revision: own.Revision + 1}}, own.Revision+1), "peer", now)
	if got := c.documents.ages(now).Confirmed; got != 2*time.Second {
		t.Errorf("confirmed %v before the event is handled", got)
	}
	c.updateLease(now)
	if got := c.documents.ages(now).Confirmed; got > time.Second {
		t.Errorf("not confirmed by documents that a heartbeat told of: %v", got)
	}
	if !c.view.Load().HasSeveralVersions("s") {
		t.Error("the second version is not in the view")
	}
}

// TestHeartbeatsTellTheAgeOfTheConfirmation guards against a daemon that was confirmed by a peer and tells others that it read
// the store itself, so that confirmations that are passed on never get old.
func TestHeartbeatsTellTheAgeOfTheConfirmation(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	if age, ok := new(c.newHeartbeat(now)).Confirmed.Age(); !ok || age < time.Minute {
		t.Errorf("tells an age of %v, %t, before anything was confirmed", age, ok)
	}
	c.handle(context.Background(), peerHeartbeat(feed.Position{}, false, time.Second)(now), now)
	want := gossip.NewConfirmedAge(1500*time.Millisecond+membership.MaxSocketWait, true)
	if got := c.newHeartbeat(now.Add(500 * time.Millisecond)).Confirmed; got != want {
		t.Errorf("tells %v, want %v", got, want)
	}
}

// TestOnlyReadsOfTheStoreTellEntries guards against an entry that counts as current since all daemons are heard, while the store
// is away: a replica that has started again can't have written its entry.
func TestOnlyReadsOfTheStoreTellEntries(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	if got := c.documents.ages(now).Read; got != relay.UnknownAge {
		t.Errorf("read %v before, though nothing was", got)
	}
	applyRelease(c, now.Add(-time.Minute))
	keepUpToDate(c, now.Add(-time.Minute), now.Add(-2*time.Second))
	c.tickLease(now) // this daemon is the whole fleet
	if got := c.documents.ages(now); got.Confirmed != 0 || got.Read != 2*time.Second {
		t.Errorf("confirmed %v and read %v before, want 0 and 2 s", got.Confirmed, got.Read)
	}
	confirm(c, now)
	if got := c.documents.ages(now).Read; got != 0 {
		t.Errorf("read %v before, want 0", got)
	}
}

// emptyStore is a store without documents, whose watches return nothing after their wait.
type emptyStore struct{ watched func() }

func (s emptyStore) List(context.Context, string, transport.Timeouts) (feed.Page, error) {
	time.Sleep(2 * time.Millisecond)
	return feed.Page{At: feed.Position{Revision: 7}}, nil
}

func (s emptyStore) Watch(_ context.Context, _ feed.Revision, wait time.Duration, _ transport.Timeouts) (feed.Changes, error) {
	s.watched()
	time.Sleep(wait + 2*time.Millisecond)
	return feed.Changes{At: feed.Position{Revision: 8}}, nil
}

func (emptyStore) CloseIdleConnections() {}

// TestReaderTellsWhatItsReadsConfirm guards against a read of the store that confirms a time after the one at which the store
// replied, and against what it read being lost when the plan of reads is replaced at that moment.
func TestReaderTellsWhatItsReadsConfirm(t *testing.T) {
	c := newQuietControl(t)
	c.events = make(chan event, eventQueue)
	c.publish(clock.Now())
	ctx, cancel := context.WithCancel(context.Background())
	r := &reader{store: emptyStore{watched: cancel}, control: c, countCall: func() {}, countOlder: func() {}}
	begun := clock.Now()
	if err := r.list(ctx); err != nil {
		t.Fatal(err)
	}
	listed := clock.Now()
	if e := takeEvent[storeListed](t, c); e.sent.Before(begun) || !e.sent.Before(listed.Add(-time.Millisecond)) {
		t.Errorf("a list of %v to %v confirms %v", begun, listed, e.sent)
	}
	if err := r.watch(ctx, &readPlan{ReadPlan: membership.ReadPlan{Wait: 20 * time.Millisecond}}); err != nil {
		t.Fatal(err)
	}
	ended := clock.Now()
	if e := takeEvent[storeConfirmed](t, c); !e.confirms.After(listed) || !e.confirms.Before(ended.Add(-time.Millisecond)) {
		t.Errorf("a watch of %v to %v confirms %v", listed, ended, e.confirms)
	}
}

// takeEvent returns the first event of a type that was posted.
func takeEvent[E event](t *testing.T, c *control) E {
	t.Helper()
	for {
		select {
		case e := <-c.events:
			if e, ok := e.(E); ok {
				return e
			}
		default:
			t.Fatal("no such event was posted")
		}
	}
}

// TestResumeWaitsForARenewedLease guards against streams that are refused although the only version of their service is known
// again a moment later, and against requests that wait where that would tell nothing.
func TestResumeWaitsForARenewedLease(t *testing.T) {
	newLapsed := func(gap time.Duration) *control {
		c := newQuietControl(t)
		now := clock.Now()
		applyRelease(c, now.Add(-time.Minute))
		keepUpToDate(c, now.Add(-time.Minute), now.Add(-gap))
		c.updateLease(now)
		return c
	}
	await := func(c *control) (bool, time.Duration) {
		begun := clock.Now()
		_, ok := streamOrigins{control: c}.AwaitOnlyVersion(context.Background(), "s")
		return ok, clock.Since(begun)
	}
	c := newLapsed(membership.VersionLease)
	go func() {
		time.Sleep(10 * time.Millisecond)
		c.lease.confirmations.ObserveRead(clock.Now().Add(-time.Second))
		c.updateLease(clock.Now())
	}()
	if ok, _ := await(c); !ok {
		t.Error("refused although the lease was renewed")
	}
	if ok, took := await(newLapsed(membership.VersionLease)); ok || took < renewalTimeout {
		t.Errorf("known without a lease: %t, after %v", ok, took)
	}
	several := newLapsed(membership.VersionLease)
	applyEntries(several, 12, clock.Now(), map[string]string{"replica-5": "version=v5"})
	if ok, took := await(several); ok || took >= renewalTimeout {
		t.Errorf("waited %v, known %t, though the service has several versions", took, ok)
	}
}

// TestHoldersTellThePositionWithTheirReply guards against a daemon whose lease has ended that is not told by those that it asks
// what they know, and against one such heartbeat for each of many streams that are resumed at once.
func TestHoldersTellThePositionWithTheirReply(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	applyRelease(c, now)
	var told []gossip.Heartbeat
	c.heartbeats.send = func(to membership.Address, payload []byte) {
		if h, err := gossip.DecodeHeartbeat(payload); err == nil && to == "10.0.0.7:1" {
			told = append(told, h)
		}
	}
	ask := []gossip.OriginRequest{{ID: 1, From: "10.0.0.7:1", Stream: 5}}
	c.answerOrigins(ask, now)
	c.answerOrigins(ask, now.Add(time.Millisecond))
	if len(told) != 1 || told[0].Revision != c.catalog.feed.Revision() {
		t.Fatalf("told %+v, want one heartbeat", told)
	}
	c.answerOrigins(ask, now.Add(heartbeatInterval))
	if len(told) != 2 {
		t.Errorf("told %d times, want 2", len(told))
	}
}

// TestTerminatedReplicaIsHeldWhileNobodyReadsTheStore guards against a daemon that does not read the store, hears none that
// does, and lets go of a terminated replica after 3 s: the replica may have restarted cold, which the daemon can't know.
func TestTerminatedReplicaIsHeldWhileNobodyReadsTheStore(t *testing.T) {
	for _, heard := range []bool{true, false} {
		c := newQuietControl(t)
		c.heartbeats.send = func(membership.Address, []byte) {}
		now := time.Unix(1_000_000, 0)
		applyRelease(c, now)
		r := c.view.Load().Pool("s").Ready[0]
		tick := func(d time.Duration, confirmed bool) {
			for end := now.Add(d); now.Before(end); now = now.Add(heartbeatInterval) {
				if confirmed {
					confirm(c, now)
				}
				c.tick(t.Context(), now)
			}
		}
		tick(5*time.Second, true)
		c.health.ReportTermination(&r, now)
		tick(5*time.Second, heard)
		if held := c.health.HasTerminated(&r, now); held == heard {
			t.Errorf("a reader of the store is heard: %t; the replica is held 5 s after it terminated: %t", heard, held)
		}
	}
}
