package routes

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/clock"
)

// TestOriginsFollowTheirHolders guards against streams that can't be resumed since the daemons that hold their origins have shut down:
// the daemon of a stream sends its origin to those that take over, once, until the stream is complete.
func TestOriginsFollowTheirHolders(t *testing.T) {
	c, now := newQuietControl(t), clock.Now()
	sent := make(map[membership.Address][]routing.StreamOrigin)
	c.heartbeats.send = func(to membership.Address, payload []byte) {
		if gossip.IsOrigins(payload) {
			origins, err := gossip.DecodeOrigins(payload)
			if err != nil {
				t.Fatal(err)
			}
			sent[to] = append(sent[to], origins...)
		}
	}
	var members []membership.Member
	for i := range 6 {
		m := testMember(i + 1)
		m.Domain = []state.FailureDomain{c.roster.Self().Domain, "b", "c"}[i%3]
		members = append(members, m)
	}
	c.roster.Observe(members, now)
	const complete = 40
	for i := range routing.StreamKey(60) {
		c.handle(t.Context(), streamBegan{routing.NewStreamOrigin(i+1, 37, 10*time.Second)}, now)
		if i < complete {
			c.handle(t.Context(), streamCompleted{i + 1}, now)
		}
	}
	clear(sent)
	leaving := members[1]
	leaving.Leaving, leaving.Heartbeats = true, 2
	c.roster.Observe([]membership.Member{leaving}, now)
	later := now.Add(time.Second)
	c.keepOrigins(later)
	for s := range routing.StreamKey(60) {
		for _, holder := range c.others(c.roster.Holders(uint64(s+1), now)) {
			got := slices.ContainsFunc(sent[holder], func(o routing.StreamOrigin) bool { return o.Stream == s+1 })
			if got && s < complete {
				t.Errorf("the origin of stream %d is sent though it is complete", s+1)
			}
		}
	}
	took := sent[members[4].Address] // the other daemon of the failure domain
	if len(took) == 0 || len(sent) != 1 {
		t.Fatalf("origins were sent to %d daemons, %d of them to the one that takes over", len(sent), len(took))
	}
	if left := took[0].Left; left != 39*time.Second {
		t.Errorf("an origin is sent with %v left a second later, want 39 s", left)
	}
	clear(sent)
	c.keepOrigins(later)
	if len(sent) > 0 {
		t.Error("origins are sent again")
	}
}

// TestEventsAreHandledBeforeTheEnd guards against origins of streams that are broken off by the daemon's end, and that are lost since
// the control loop ends first.
func TestEventsAreHandledBeforeTheEnd(t *testing.T) {
	c := newQuietControl(t)
	c.events = make(chan event, 100)
	for i := range routing.StreamKey(50) {
		streamOrigins{c}.Record(routing.NewStreamOrigin(i+1, 37, time.Second))
	}
	go func() {
		for range 51 {
			c.handle(t.Context(), <-c.events, clock.Now())
		}
	}()
	c.awaitHandled(t.Context(), time.Minute)
	if n := c.origins.Len(); n != 50 {
		t.Errorf("%d of 50 origins were recorded", n)
	}
}
