package routes

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// These tests cover how the control loop handles what replicas report about themselves in responses.

// applyEntries applies replica entries, given as values by key, to a control loop.
func applyEntries(c *control, at feed.Revision, now time.Time, values map[string]string) {
	items := []feed.Item{{Key: "config", Revision: 1}}
	for key, value := range values {
		items = append(items, feed.Item{Key: key, Value: []byte(value), Revision: at})
	}
	c.apply(c.catalog.feed.Apply(items), "store", now)
}

// TestAnnouncedDepartureIsFinal checks that a replica that announced its departure gets no requests until
// it restarts, even if its entry says ready, disappears and reappears, or is part of a new list.
func TestAnnouncedDepartureIsFinal(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	applyEntries(c, 2, now, map[string]string{"replica-1": "born=1", "replica-2": "born=1"})
	r := c.view.Load().Pool("s").Ready[0]
	c.departures.RecordAnnounced(&r, now)
	<-c.departures.Waiting()
	c.publish(now)
	check := func(when string, ready int) {
		t.Helper()
		if n := len(c.view.Load().Pool("s").Ready); n != ready {
			t.Errorf("%s: %d replicas are ready, want %d", when, n, ready)
		}
	}
	check("after its announcement", 1)
	applyEntries(c, 3, now, map[string]string{"replica-1": "born=1"})
	check("after its entry was written again", 1)
	c.apply(c.catalog.feed.Apply([]feed.Item{{Key: "replica-1", Revision: 4, Deleted: true}}), "store", now)
	check("without its entry", 1)
	for range 3 * int(time.Second/heartbeatInterval) {
		now = now.Add(heartbeatInterval)
		c.tick(context.Background(), now)
	}
	applyEntries(c, 5, now, map[string]string{"replica-1": "born=1"})
	check("after its entry reappeared", 1)
	c.apply(c.catalog.feed.ApplyList([]feed.Item{{Key: "config", Revision: 1}, {Key: "replica-1", Value: []byte("born=1"), Revision: 6}, {Key: "replica-2", Value: []byte("born=1"), Revision: 6}}, 6), "store", now)
	check("after a list", 1)
	if len(c.view.Load().Pool("s").Draining) != 1 {
		t.Error("it is not among the draining replicas, from which prompts are copied")
	}
	applyEntries(c, 7, now, map[string]string{"replica-1": "born=2"})
	check("after it restarted", 2)
}

// TestDepartureOfAnEntryWithoutStartTimeLeavesTheView guards against a view that keeps a replica among the draining ones although
// its departure no longer counts.
func TestDepartureOfAnEntryWithoutStartTimeLeavesTheView(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	applyEntries(c, 2, now, map[string]string{"replica-1": "", "replica-2": ""})
	r := c.view.Load().Pool("s").Ready[0]
	c.departures.RecordAnnounced(&r, now)
	for _, s := range []struct {
		ticks time.Duration
		want  int
	}{{9 * time.Minute, 1}, {2 * time.Minute, 2}} {
		for end := now.Add(s.ticks); now.Before(end); now = now.Add(heartbeatInterval) {
			c.viewStale = c.viewStale || now.Equal(time.Unix(1_000_000, 0)) // as when the departure becomes known
			c.tick(t.Context(), now)
		}
		if n := len(c.view.Load().Pool("s").Ready); n != s.want {
			t.Errorf("%v after it said so %d replicas are ready, want %d", now.Sub(time.Unix(1_000_000, 0)), n, s.want)
		}
	}
}

// TestDepartureIsReportedToOtherDaemons checks with two control loops that an announced departure is sent to the
// other daemon immediately and when that daemon restarts, and takes effect there.
func TestDepartureIsReportedToOtherDaemons(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	here, there := newQuietControl(t), newQuietControl(t)
	var sent [][]byte
	here.heartbeats.send = func(_ membership.Address, payload []byte) {
		if gossip.IsDepartures(payload) {
			sent = append(sent, payload)
		}
	}
	here.planReads(now)
	for _, c := range []*control{here, there} {
		applyEntries(c, 2, now, map[string]string{"replica-1": "born=1", "replica-2": "born=1"})
	}
	peer := testMember(1)
	here.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: peer, Partial: true}, now)
	r := here.view.Load().Pool("s").Ready[0]
	here.departures.RecordAnnounced(&r, now)
	here.handle(context.Background(), departuresDue{}, now)
	if len(sent) != 1 {
		t.Fatalf("%d datagrams, want 1 immediately", len(sent))
	}
	e, err := decodeDatagram(sent[0])
	if err != nil {
		t.Fatal(err)
	}
	there.handle(context.Background(), e, now)
	<-there.departures.Waiting()
	there.publish(now)
	if p := there.view.Load().Pool("s"); len(p.Ready) != 1 || len(p.Draining) != 1 {
		t.Errorf("%d ready and %d draining at the other daemon, want 1 and 1", len(p.Ready), len(p.Draining))
	}
	sent = nil
	peer.Incarnation++
	here.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: peer, Partial: true}, now)
	if len(sent) != 1 {
		t.Errorf("%d datagrams to a restarted daemon, want 1", len(sent))
	}
	sent = nil
	for range 3 * reportRepeatTicks {
		now = now.Add(heartbeatInterval)
		here.tick(context.Background(), now)
	}
	if len(sent) < 2 {
		t.Errorf("%d datagrams repeat the report in 3 s, want one a second", len(sent))
	}
}

// TestOperatorsSeeAndLiftBackoffs checks that operators see the backoffs that replicas requested and can end
// them.
func TestOperatorsSeeAndLiftBackoffs(t *testing.T) {
	c := newQuietControl(t)
	now := time.Unix(1_000_000, 0)
	applyEntries(c, 2, now, map[string]string{"replica-1": "born=1", "replica-2": "born=1"})
	r := c.view.Load().Pool("s").Ready[0]
	c.backoffs.Record(&r, 90*time.Second, "q", now)
	resting := func() (out []ReplicaAnswer) {
		for _, a := range c.replicaAnswers(now) {
			if a.BackoffMS > 0 {
				out = append(out, a)
			}
		}
		return out
	}
	if got := resting(); len(got) != 1 || got[0].BackoffMS != 90_000 || got[0].BackoffBy != "q" || !got[0].Ejected || got[0].Why != whyBackingOff {
		t.Errorf("operators see %+v", got)
	}
	lift := func(id string) int {
		d := &Daemon{control: c}
		c.events = make(chan event, 1)
		go func() { c.handle(context.Background(), <-c.events, now) }()
		w := httptest.NewRecorder()
		d.liftBackoff(w, httptest.NewRequest(http.MethodPost, PathLift+"?replica="+id, nil))
		return w.Code
	}
	if code := lift("other"); code != http.StatusNotFound {
		t.Errorf("status %d for a replica without a backoff", code)
	}
	if code := lift(string(r.ID)); code != http.StatusNoContent || len(resting()) != 0 {
		t.Errorf("status %d, and %d replicas still have a backoff", code, len(resting()))
	}
}

// TestIdleConnectionsToDepartingReplicasAreClosed checks to which replicas idle connections are kept.
func TestIdleConnectionsToDepartingReplicasAreClosed(t *testing.T) {
	named := func(id string) routing.Replica { return routing.NewReplica(routing.Replica{ID: routing.ReplicaID(id)}) }
	p := &routing.Pool{
		Ready: []routing.Replica{named("ready")}, Draining: []routing.Replica{named("draining")},
		Evacuated: []routing.Replica{named("evacuated")}, Expired: []routing.Replica{named("expired")},
	}
	p.Sort()
	v := &routing.View{Pools: map[routing.ServiceName]*routing.Pool{"s": p}}
	for id, want := range map[routing.ReplicaID]bool{"ready": true, "evacuated": true, "draining": false, "expired": false} {
		if v.KeepsConnections(routing.Incarnation{ID: id}) != want {
			t.Errorf("connections to the %s replica are kept: %t, want %t", id, !want, want)
		}
	}
}
