package admission

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestWindowOpensAfterBurstOfRejections guards against a brittle replica that gets no permit for up to 30 s after it
// rejected several requests within milliseconds, and against a window without places beside requests that run.
func TestWindowOpensAfterBurstOfRejections(t *testing.T) {
	const slots = 6
	for _, c := range []struct{ limit, burst int }{{3, 6}, {3, 3}, {4, 6}, {0, 6}} {
		s := newStrictTest(c.limit)
		s.SetReplicas([]Replica{{Key: 1, Slots: slots}}, s.now)
		ids := s.send(slots)
		for _, id := range ids[:c.burst] {
			s.now = s.now.Add(2 * time.Millisecond)
			s.send(0, Finished{ID: id, Took: time.Millisecond, Result: Rejected})
		}
		if c.burst < slots && s.known[1].window.size == 0 {
			t.Errorf("limit %d, %d rejected: no places beside running requests", c.limit, c.burst)
		}
		s.now = s.now.Add(100 * time.Millisecond)
		for _, id := range ids[c.burst:] {
			s.send(0, Finished{ID: id, Took: 100 * time.Millisecond, Result: Completed})
		}
		free := s.now
		for granted := 0; granted == 0; {
			s.request.Pending = nil
			granted = len(s.send(1)) + len(s.wait(100*time.Millisecond))
			if closed := s.now.Sub(free); closed > maxClosedAfterRejection+200*time.Millisecond {
				t.Errorf("limit %d, %d rejected: no permit for %v", c.limit, c.burst, closed)
				break
			}
		}
	}
}

// TestLateTickRefusesNoAskThatMayNotWait guards against an ask for a place at one replica that is refused although all
// places are free, because the coordinator's tick came late.
func TestLateTickRefusesNoAskThatMayNotWait(t *testing.T) {
	s := newStrictTest(3)
	g := &running{Coordinator: s.Coordinator}
	g.scope = ReplicaScope(1)
	g.tick = s.now
	s.now = s.now.Add(pausedAfter)
	g.take(&PermitRequest{
		From: "10.0.0.2:1", Incarnation: 1, Sequence: 1, Service: "s",
		Pending: []Ask{{ID: 1, UntilTarget: time.Second}},
	}, "z", 0, s.now)
	for _, r := range s.Replies(s.now) {
		for _, d := range r.Reply.Decisions {
			if _, ok := d.(Refused); ok {
				t.Error("refused, though all places are free")
			}
		}
	}
}

// TestMarkOfQueuedAskIsSent guards against the mark of a queued ask that is cut off because more than [MaxTried] replicas
// would be listed.
func TestMarkOfQueuedAskIsSent(t *testing.T) {
	c := &client{asks: []*pendingAsk{{Ask: Ask{ID: 1, Tried: []routing.LoadKey{1, 2, 3}}, wasQueued: true}}}
	got := c.listAsks(1, time.Time{})[0].Tried
	if len(got) > MaxTried || got[len(got)-1] != queuedMark {
		t.Errorf("lists %v, want at most %d replicas with the mark as the last one", got, MaxTried)
	}
}
