package admission

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// takeoverTest is the coordinator of a failure domain that was not asked before, of one replica with 8 places. The
// requests of its daemon take 80 ms.
type takeoverTest struct {
	*testing.T
	g        *running
	asks     PermitID // that each message lists
	sequence Sequence
}

func newTakeoverTest(t *testing.T) *takeoverTest {
	c := NewCoordinator(newWorld(1, 1).nodes[0].m, svc, "d0", 1)
	c.SetReplicas([]Replica{{Key: 1, Domain: "d0", Slots: 6}}, start)
	return &takeoverTest{T: t, g: &running{Coordinator: c}, asks: 12}
}

// ask lets a daemon ask for permits. inFlight is the number of its requests that others granted.
func (c *takeoverTest) ask(from membership.Address, queued bool, inFlight uint16, now time.Time) {
	c.sequence++
	r := &PermitRequest{From: from, Incarnation: 1, Sequence: c.sequence, Service: svc, Scope: "d0",
		Unpermitted: []routing.LoadCount{{Replica: 1, Requests: inFlight}}}
	for id := range c.asks {
		a := Ask{ID: id + 1, UntilTarget: ms(1000), UntilDeadline: ms(2500)}
		if queued {
			a.Tried = []routing.LoadKey{queuedMark}
		}
		r.Pending = append(r.Pending, a)
	}
	c.g.take(r, "d0", ms(80), now)
	c.g.tick = time.Time{} // it is not late: the test calls Tick itself
}

// expectGranted checks how many permits the coordinator has granted.
func (c *takeoverTest) expectGranted(want int, now time.Time) {
	c.Helper()
	c.g.Tick(now)
	if got := c.g.replicas[0].permits; got != want {
		c.Errorf("%d permits are granted %v after the first ask, want %d", got, now.Sub(start), want)
	}
}

// Guards against double grants in a pause of the service's coordinator that is over soon, and against asks that wait
// longer than that when its places were free.
func TestTheCoordinatorOfADomainWaitsForTheEndOfAShortPause(t *testing.T) {
	c := newTakeoverTest(t)
	c.ask("10.0.0.9:1", false, 0, start)
	c.expectGranted(0, start.Add(takeoverTime-1))
	c.expectGranted(8, start.Add(takeoverTime))
}

// Guards against a second grant of places that are occupied by requests of daemons that ask elsewhere. The other
// coordinator has granted none for 15 ms, in which one of eight requests of 80 ms ends.
func TestPlacesOfAFullCoordinatorBecomeFreeAsItsRequestsEnd(t *testing.T) {
	c := newTakeoverTest(t)
	c.ask("10.0.0.9:1", true, 0, start)
	for i := range 8 {
		if at := ms(float64(10*(i+1) - 15)); at >= takeoverTime {
			c.expectGranted(i, start.Add(at-1))
			c.expectGranted(i+1, start.Add(at))
		}
	}
}

// Guards against places that stay unused because a request is both presumed and reported.
func TestAReportedRequestIsOneOfThosePresumed(t *testing.T) {
	c := newTakeoverTest(t)
	c.ask("10.0.0.9:1", true, 0, start)
	c.ask("10.0.0.8:1", true, 7, start.Add(ms(5)))
	c.expectGranted(1, start.Add(takeoverTime))
	c.ask("10.0.0.8:1", true, 0, start.Add(ms(20)))
	c.expectGranted(8, start.Add(ms(20)))
}

// Guards against a coordinator in use that grants nothing for a while because an ask comes from another one.
func TestACoordinatorInUseTakesNothingOver(t *testing.T) {
	c := newTakeoverTest(t)
	c.ask("10.0.0.9:1", false, 0, start)
	for at := ms(0); at < stayFor; at += ms(40) {
		c.ask("10.0.0.9:1", false, 4, start.Add(at))
	}
	c.expectGranted(4, start.Add(ms(80)))
	c.ask("10.0.0.8:1", true, 2, start.Add(stayFor))
	c.ask("10.0.0.9:1", true, 0, start.Add(stayFor))
	c.expectGranted(6, start.Add(stayFor))
}

// Guards against double grants of a coordinator of a domain whose daemons leave it, and come back because the service's
// coordinator is paused again.
func TestACoordinatorTakesOverAgain(t *testing.T) {
	c := newTakeoverTest(t)
	c.ask("10.0.0.9:1", true, 0, start)
	c.asks = 0
	c.ask("10.0.0.9:1", true, 0, start.Add(ms(1)))
	c.expectGranted(0, start.Add(ms(50)))
	c.asks = 12
	c.ask("10.0.0.9:1", true, 0, start.Add(ms(50)))
	c.expectGranted(0, start.Add(ms(50)+takeoverTime-1))
	c.expectGranted(2, start.Add(ms(50)+takeoverTime)) // of 8, in 15 + 10 of 80 ms
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
