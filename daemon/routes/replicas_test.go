package routes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// These tests cover how the control loop handles crashes of replicas, replicas that restart with
// the same id, and unusable entries.

// newQuietControl returns a control loop whose datagrams and log are discarded.
func newQuietControl(t *testing.T) *control {
	l := newLog(io.Discard, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	c := newTestControl(l, fakeDocuments{})
	c.heartbeats.send = func(membership.Address, []byte) {}
	return c
}

// TestStartingDaemonIsSentKnownCrashes simulates a peer that is newly found, keeps running, and
// restarts while it is still considered live. It must be sent the known crashes when it is found and
// after its restart.
func TestStartingDaemonIsSentKnownCrashes(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	var kinds []bool // for each datagram to the peer, whether it contains crash reports
	c.heartbeats.send = func(_ membership.Address, payload []byte) { kinds = append(kinds, gossip.IsCrashes(payload)) }
	for i := range 3 {
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
		c.crashes.ReportCrash(5, "w", &r, now)
	}
	peer := testMember(1)
	receive := func() int {
		kinds = nil
		now = now.Add(heartbeatInterval)
		peer.Heartbeats++
		c.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: peer, Partial: true}, now)
		n := 0
		for _, isCrashes := range kinds {
			if isCrashes {
				n++
			}
		}
		return n
	}
	if receive() != 1 || !kinds[0] {
		t.Error("a newly found daemon is not sent the known crashes first")
	}
	if receive() != 0 {
		t.Error("a daemon that keeps running is sent the known crashes again")
	}
	peer.Incarnation++
	peer.Heartbeats = 0
	if receive() != 1 {
		t.Error("a restarted daemon is not sent the known crashes")
	}
	tick := func() {
		now = now.Add(heartbeatInterval)
		c.tick(context.Background(), now)
	}
	tick() // sends the new reports
	kinds = nil
	for range 3 * reportRepeatTicks {
		tick()
	}
	repeated := len(slices.DeleteFunc(kinds, func(isCrashes bool) bool { return !isCrashes }))
	if repeated != 3 {
		t.Errorf("%d datagrams repeat the known crashes in 3 s, want 3", repeated)
	}
}

// TestPeerThatMissedAReleaseIsToldOfIt guards against a daemon that was cut off while an operator released a content, and
// keeps it quarantined: nobody repeats the release to it any more.
func TestPeerThatMissedAReleaseIsToldOfIt(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	for i := range 3 {
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
		c.crashes.ReportCrash(5, "w", &r, now)
	}
	known, _ := c.crashes.All(0, gossip.MaxCrashes, now)
	c.crashes.Clear(5, now)
	now = now.Add(90 * time.Second)
	c.crashes.Forget(now)
	for i := range known {
		known[i].Age += 90 * time.Second
	}
	sent := make(map[membership.Address][]routing.CrashReport)
	c.heartbeats.send = func(to membership.Address, payload []byte) {
		reports, err := gossip.DecodeCrashes(payload)
		if err != nil {
			t.Error(err)
		}
		sent[to] = append(sent[to], reports...)
	}
	c.handle(context.Background(), crashesReceived{reports: known, from: "10.0.0.9:1"}, now)
	if got := sent["10.0.0.9:1"]; len(sent) != 1 || len(got) != 1 || !got[0].Clears || got[0].Content != 5 || got[0].Age != 90*time.Second {
		t.Errorf("sent %v", sent)
	}
	if c.crashes.Quarantined(5, now) {
		t.Error("the content is quarantined again")
	}
}

// TestReplicaReportedAsTerminatedGetsNoRequests checks that a replica gets no requests after a peer reported
// its crash.
func TestReplicaReportedAsTerminatedGetsNoRequests(t *testing.T) {
	c := newQuietControl(t)
	r := routing.NewReplica(routing.Replica{ID: "replica-1", Service: "s"})
	now := time.Unix(1_000_000, 0)
	c.handle(context.Background(), crashesReceived{reports: []routing.CrashReport{{Content: 5, Replica: r.LoadKey()}}}, now)
	if _, why := c.health.Explain(&r, now); why == "" {
		t.Error("a replica whose crash was reported by a peer gets requests")
	}
}

// TestRestartedReplicaInheritsNoState checks that load and health of a replica's
// former incarnation, from this daemon and from peers, are not attributed to its new one, even if a
// peer's outdated report arrives later. Reports of daemons that do not distinguish incarnations
// must still be understood.
func TestRestartedReplicaInheritsNoState(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	c.heartbeats.send = func(membership.Address, []byte) {}
	revision := feed.Revision(0)
	write := func(value string) routing.Replica {
		revision++
		items := []feed.Item{{Key: "config", Revision: 1}, {Key: "replica-1", Value: []byte(value), Revision: revision}, {Key: "replica-2", Value: []byte("born=9"), Revision: 1}}
		c.apply(c.catalog.feed.Apply(items), "store", now)
		return c.view.Load().Pool("s").Ready[0]
	}
	unsaid := write("")
	if keys := c.catalog.apply([]feed.Item{{Key: "replica-1", Value: []byte("born=1"), Revision: 2}}, "store", false, now); !slices.Contains(keys, unsaid.LoadKey()) {
		t.Errorf("the cache of the incarnation without a start time is not dropped: %v", keys)
	}
	revision++
	former := write("born=1")
	peerSays := func(key routing.LoadKey) {
		c.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: testMember(1), Loads: []routing.LoadCount{{Replica: key, Requests: 7}}}, now)
	}
	peerSays(former.LoadKey())
	c.health.Report(&former, routing.ResultUnreachable, now)
	if c.loads.Estimate(former.LoadKey(), now) != 7 {
		t.Fatal("the peer's loads are not known")
	}

	r := write("born=2")
	if r.ID != former.ID || r.LoadKey() == former.LoadKey() || r.Hash != former.Hash {
		t.Fatalf("%+v after %+v", r, former)
	}
	check := func(when string) {
		t.Helper()
		if n := c.loads.Estimate(r.LoadKey(), now); n != 0 {
			t.Errorf("%s: its load is %d", when, n)
		}
		if _, why := c.health.Explain(&r, now); why != "" {
			t.Errorf("%s: it gets no requests: %s", when, why)
		}
		if c.view.Load().IsReady(&former) || !c.view.Load().IsReady(&r) {
			t.Errorf("%s: the view does not distinguish the two incarnations", when)
		}
	}
	check("after the restart")
	peerSays(former.LoadKey())
	check("after a peer's outdated report")
	write("born=1-written-before")
	if got := c.view.Load().Pool("s").Ready[0]; got.StartTime != 1 {
		t.Errorf("the newest entry is not used: %+v", got)
	}
	r = write("born=2")
	c.apply(c.catalog.feed.Apply([]feed.Item{{Key: "replica-1", Value: []byte("born=1"), Revision: revision - 1}}), "10.0.0.9:1", now)
	if got := c.view.Load().Pool("s").Ready[0]; got.StartTime != 2 {
		t.Errorf("an older entry that arrived late replaced a newer one: %+v", got)
	}
	byID := routing.NewReplica(routing.Replica{ID: r.ID})
	if id, ok := c.view.Load().ReplicaID(byID.LoadKey()); !ok || id != r.ID {
		t.Error("a report of a daemon that does not distinguish incarnations matches no replica")
	}
}

// TestUnusableEntriesAddNoReplicas checks that entries which can't be parsed and entries of
// unknown services add no replicas, and become usable once they are corrected or the service is
// configured. Such entries come from other writers to the store.
func TestUnusableEntriesAddNoReplicas(t *testing.T) {
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	c := newTestControl(l, fakeDocuments{})
	now := time.Unix(1_000_000, 0)
	c.heartbeats.send = func(membership.Address, []byte) {}
	items := []feed.Item{{Key: "config", Revision: 1}}
	for i := range 500 {
		items = append(items, feed.Item{Key: fmt.Sprintf("replica-%03d", i), Revision: 2})
	}
	items[200].Value = []byte("unreadable")
	c.apply(c.catalog.feed.ApplyList(items, 2), "store", now)
	ready := func() int { return len(c.view.Load().Pool("s").Ready) }
	if ready() != 499 {
		t.Fatalf("%d replicas from 500 entries of which one can't be parsed", ready())
	}
	change := func(key, value string, at feed.Revision) {
		c.apply(c.catalog.feed.Apply([]feed.Item{{Key: key, Value: []byte(value), Revision: at}}), "store", now)
	}
	change("replica-007", "unreadable", 3)
	if ready() != 498 || len(c.view.Load().Pool("s").Expired) != 0 {
		t.Errorf("%d ready and %d expired replicas after a valid entry was overwritten", ready(), len(c.view.Load().Pool("s").Expired))
	}
	listed := 0
	for _, a := range c.replicaAnswers(now) {
		if a.State == stateUnusable && a.Ejected && a.Why != "" {
			listed++
		}
	}
	if listed != 2 || m.UnusableEntries.Count() != 2 {
		t.Errorf("operators see %d unusable entries, the metric is %d, want 2", listed, m.UnusableEntries.Count())
	}
	change("replica-007", "", 4)
	if ready() != 499 {
		t.Errorf("%d replicas after the valid entry was restored", ready())
	}
	change("replica-900", "service=later", 5)
	if len(c.view.Load().Pool("later").Ready) != 0 {
		t.Error("a service that is not configured has a replica")
	}
	change("config", "later", 6)
	if len(c.view.Load().Pool("later").Ready) != 1 {
		t.Error("the entry is not used once its service is configured")
	}
	l.Close()
	if n := strings.Count(out.String(), "entry names no replica"); n != 2 {
		t.Errorf("%d log lines, want one for each change to an unusable entry", n)
	}
}
