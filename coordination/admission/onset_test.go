// A load that sets in while the service is not saturated yet: what daemons send before they ask for permits.

package admission

import (
	"testing"
	"time"
)

// onset is the load of the soak's crowded service, seed 2 (internal/soak/crowded.go): three replicas of 6 slots, 160 ms
// of work, a target of 600 ms, waves of 5.9 s. cutAfter is when the fleet is cut.
func onset(daemons int, level float64, cutAfter time.Duration) loadCase {
	c := crowded(level)
	c.daemons, c.cutAfter = daemons, cutAfter
	c.timing = loadTiming{
		work: 160 * time.Millisecond, varied: true, target: 600 * time.Millisecond, wave: 5900 * time.Millisecond,
		heartbeats: 200 * time.Millisecond, heartbeatsOver: 200 * time.Millisecond, heartbeatDelay: time.Millisecond, handles: loadSlots / .16,
	}
	return c
}

// Guards against replicas that get far more requests than they have places before the first response shows that the
// service is saturated: that one comes three quarters of the target late, and in a fleet that is cut meanwhile each
// side has to wait for its own.
func TestRequestsWithoutPermitsAtTheOnsetOfALoad(t *testing.T) {
	t.Parallel()
	// PLACES of the soak while daemons are disturbed. The two sides of a cut grant that many, so that a request without a
	// permit is beyond it.
	const allowed, allowedCut = 2*(loadSlots+extraPlaces) + .25, 2*(loadSlots+extraPlaces) + 1
	for _, c := range []loadCase{
		onset(1, 1.13, 0), onset(3, 1.13, 0), onset(5, 1.13, 0), onset(8, 1.13, 0),
		onset(3, 2.5, 0), onset(8, 2.5, 0), // the workspace that sends eight times its usual rate
		onset(3, 1.13, time.Millisecond), onset(3, 1.13, 300*time.Millisecond), onset(3, 1.13, 500*time.Millisecond),
	} {
		most := allowed
		if c.cutAfter > 0 {
			most = allowedCut
		}
		if r := c.playSeeds(t, seeds(2, 24)); r.crowding > most {
			t.Errorf("%v, cut after %v: a replica held %.1f requests on average of %v, want at most %.2f", c, c.cutAfter, r.crowding, crowdingWindow, most)
		}
	}
}

// Guards against calls that wait and are refused long before their deadline (QUEUED of the soak) when a workspace sends far more
// than the service can handle, and the sides of a fleet that was cut for 5 s hear each other again. Load: 3 and 7 times what the
// service can handle, from two urgencies.
func TestNoCallWaitsAndIsRefusedAfterACut(t *testing.T) {
	t.Parallel()
	const cutAt, joinedAt = 1500 * time.Millisecond, 6500 * time.Millisecond
	for _, daemons := range []int{3, 5} {
		for _, level := range []float64{3, 7} {
			c := onset(daemons, level, cutAt)
			c.urgencies, c.lasts = 2, 12*time.Second
			c.starts = func(s *loadSim) {
				s.startLongAgo()
				s.after(joinedAt, func() { s.cutAfter = 0 })
			}
			if r := c.playSeeds(t, seeds(2, 24)); r.heldEarly > 0 {
				t.Errorf("%v: %d calls waited for more than %v and were refused before their deadline", c, r.heldEarly, heldTime)
			}
		}
	}
}
