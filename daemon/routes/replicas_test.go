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

// These tests hold what the control loop does with ends of replicas, with replicas that start
// again under their id, and with entries that name none.

// quietControl returns a control loop with few documents that talks to nobody and whose log
// nobody reads.
func quietControl(t *testing.T) *control {
	l := newLog(io.Discard, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	c := newTestControl(l, fewDocuments{})
	c.heartbeats.send = func(membership.Address, []byte) {}
	return c
}

// TestDaemonThatStartsIsSentWhatIsHeldBack plays a peer that is found, that goes on, and that
// starts again within the time in which it still counts as live.
func TestDaemonThatStartsIsSentWhatIsHeldBack(t *testing.T) {
	c := quietControl(t)
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	var kinds []bool // of the datagrams to the peer: whether each carries reports of ends
	c.heartbeats.send = func(_ membership.Address, payload []byte) { kinds = append(kinds, gossip.IsCrashes(payload)) }
	for i := range 3 {
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
		c.crashes.ReportEnd(5, "w", &r, now)
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
		t.Error("a daemon that is found is not sent what is held back, before all else")
	}
	if receive() != 0 {
		t.Error("a daemon that goes on is sent it again")
	}
	peer.Incarnation++
	peer.Heartbeats = 0
	if receive() != 1 {
		t.Error("a daemon that started again is not sent it")
	}
	tick := func() {
		now = now.Add(heartbeatInterval)
		c.tick(context.Background(), now)
	}
	tick() // sends what is new
	kinds = nil
	for range 3 * repeatTicks {
		tick()
	}
	repeated := len(slices.DeleteFunc(kinds, func(isCrashes bool) bool { return !isCrashes }))
	if repeated != 3 {
		t.Errorf("%d datagrams repeat what is known in 3 s, want 3", repeated)
	}
}

// TestReplicasThatOthersSawEndGetNothing plays a peer's report of an end.
func TestReplicasThatOthersSawEndGetNothing(t *testing.T) {
	c := quietControl(t)
	r := routing.NewReplica(routing.Replica{ID: "replica-1", Service: "s"})
	now := time.Unix(1_000_000, 0)
	c.handle(context.Background(), crashesReceived{reports: []routing.CrashReport{{Content: 5, Replica: r.LoadKey()}}}, now)
	if _, why := c.health.Explain(&r, now); why == "" {
		t.Error("a replica that has ended by a peer's report gets requests")
	}
}

// TestReplicaThatStartsAgainUnderItsIdIsKnownForNothing plays a replica that comes back under
// its id: what was known of its former incarnation, here and at peers, is not held of the new
// one, also where a peer's older news arrives later. What daemons say that know no incarnations
// holds as before.
func TestReplicaThatStartsAgainUnderItsIdIsKnownForNothing(t *testing.T) {
	c := quietControl(t)
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
		t.Errorf("what the start that said nothing of itself had cached is not dropped: %v", keys)
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
			t.Errorf("%s: it holds %d requests", when, n)
		}
		if _, why := c.health.Explain(&r, now); why != "" {
			t.Errorf("%s: it gets no requests: %s", when, why)
		}
		if c.view.Load().IsReady(&former) || !c.view.Load().IsReady(&r) {
			t.Errorf("%s: the view does not tell the two apart", when)
		}
	}
	check("after the restart")
	peerSays(former.LoadKey())
	check("after a peer's older news")
	write("born=1-written-before")
	if got := c.view.Load().Pool("s").Ready[0]; got.StartTime != 1 {
		t.Errorf("the newest entry does not hold: %+v", got)
	}
	r = write("born=2")
	c.apply(c.catalog.feed.Apply([]feed.Item{{Key: "replica-1", Value: []byte("born=1"), Revision: revision - 1}}), "10.0.0.9:1", now)
	if got := c.view.Load().Pool("s").Ready[0]; got.StartTime != 2 {
		t.Errorf("an older entry that came late replaced a newer one: %+v", got)
	}
	byID := routing.NewReplica(routing.Replica{ID: r.ID})
	if id, ok := c.view.Load().ReplicaID(byID.LoadKey()); !ok || id != r.ID {
		t.Error("what a daemon says that knows no incarnations names nothing")
	}
}

// TestEntriesOfOtherWritersNameNoReplica overwrites good entries with one that can't be read and
// writes ones of unknown services beside them.
func TestEntriesOfOtherWritersNameNoReplica(t *testing.T) {
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	c := newTestControl(l, fewDocuments{})
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
		t.Fatalf("%d replicas of a page of 500 with one that can't be read", ready())
	}
	change := func(key, value string, at feed.Revision) {
		c.apply(c.catalog.feed.Apply([]feed.Item{{Key: key, Value: []byte(value), Revision: at}}), "store", now)
	}
	change("replica-007", "unreadable", 3)
	if ready() != 498 || len(c.view.Load().Pool("s").Expired) != 0 {
		t.Errorf("%d replicas after a good entry was overwritten, %d to copy from", ready(), len(c.view.Load().Pool("s").Expired))
	}
	listed := 0
	for _, a := range c.replicaAnswers(now) {
		if a.State == stateUnusable && a.Ejected && a.Why != "" {
			listed++
		}
	}
	if listed != 2 || m.UnusableEntries.Count() != 2 {
		t.Errorf("operators see %d entries that name no replica, the counter %d, want 2", listed, m.UnusableEntries.Count())
	}
	change("replica-007", "", 4)
	if ready() != 499 {
		t.Errorf("%d replicas after the good entry came again", ready())
	}
	change("replica-900", "service=later", 5)
	if len(c.view.Load().Pool("later").Ready) != 0 {
		t.Error("a service that no configuration names has a replica")
	}
	change("config", "later", 6)
	if len(c.view.Load().Pool("later").Ready) != 1 {
		t.Error("the entry is not usable once a configuration names its service")
	}
	l.Close()
	if n := strings.Count(out.String(), "entry names no replica"); n != 2 {
		t.Errorf("%d lines, want one for each entry and change", n)
	}
}
