// Two coordinators of one brittle replica, as on both sides of a cut fleet, in virtual time.

package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// contest is one replica and the coordinators that grant its places, with asks that always wait.
type contest struct {
	slots, limit int
	queue        int // requests that the replica queues
	now          time.Time
	rng          *rand.Rand
	sides        []*contestSide
	running      []contestRun // the first ones are in the slots, the others queue
	rejections   []time.Time
	served       int
	used         float64 // share of the slots, in mostInASecond
}

// contestSide is a coordinator and its daemon.
type contestSide struct {
	strictTest
	reports []Finished // rejections that the daemon has not reported yet
}

// contestRun is a request at the replica.
type contestRun struct {
	side *contestSide
	id   PermitID
	left time.Duration
}

const (
	contestSlots   = 6
	contestTakes   = 160 * time.Millisecond
	contestStep    = 2 * time.Millisecond // a round trip between daemons
	contestWaiting = 12                   // asks that wait on each side
)

func newContest(seed uint64, sides, slots, limit, queue int) *contest {
	w := &contest{slots: slots, limit: limit, queue: queue, now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range sides {
		w.add(i)
	}
	return w
}

// add adds a coordinator that grants all places of the replica.
func (w *contest) add(i int) *contestSide {
	self := membership.Member{Address: membership.Address(fmt.Sprintf("10.0.%d.1:1", i))}
	c := NewCoordinator(self, "s", ReplicaScope(1), 1)
	c.setStrict(true, w.limit, false, w.now)
	c.SetReplicas([]Replica{{Key: 1, Slots: w.slots}}, w.now)
	request := PermitRequest{From: membership.Address(fmt.Sprintf("10.0.%d.2:1", i)), Incarnation: 1, Service: "s"}
	s := &contestSide{strictTest: strictTest{Coordinator: c, request: request, now: w.now}}
	w.sides = append(w.sides, s)
	return s
}

// run lets time pass.
func (w *contest) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(contestStep)
		w.serve()
		w.rng.Shuffle(len(w.sides), func(i, j int) { w.sides[i], w.sides[j] = w.sides[j], w.sides[i] })
		for _, s := range w.sides {
			s.now = w.now
			done := s.reports
			s.reports = nil
			s.Tick(w.now)
			for _, id := range append(s.granted(), s.send(contestWaiting-len(s.request.Pending), done...)...) {
				w.arrive(s, id)
			}
		}
	}
}

// serve runs the requests in the slots.
func (w *contest) serve() {
	var rest []contestRun
	for i, r := range w.running {
		if i < w.slots {
			r.left -= contestStep
		}
		if r.left > 0 {
			rest = append(rest, r)
			continue
		}
		w.served++
		r.side.reports = append(r.side.reports, Finished{ID: r.id, Took: contestTakes, Result: Completed})
	}
	w.running = rest
}

// arrive lets a request arrive at the replica.
func (w *contest) arrive(s *contestSide, id PermitID) {
	if len(w.running) >= w.slots+w.queue {
		w.rejections = append(w.rejections, w.now)
		s.reports = append(s.reports, Finished{ID: id, Took: time.Millisecond, Result: Rejected})
		return
	}
	takes := time.Duration((0.5 + w.rng.Float64()) * float64(contestTakes))
	w.running = append(w.running, contestRun{s, id, takes})
}

// mostInASecond lets time pass, records the share of the slots that was used, and returns the highest number of
// rejections within a second.
func (w *contest) mostInASecond(d time.Duration) int {
	before := w.served
	w.run(d)
	w.used = float64(w.served-before) * contestTakes.Seconds() / (float64(w.slots) * d.Seconds())
	most := 0
	for i, last := range w.rejections {
		first := slices.IndexFunc(w.rejections, func(at time.Time) bool { return last.Sub(at) <= time.Second })
		most = max(most, i+1-first)
	}
	return most
}

// contests are the numbers of coordinators of one replica, and its limit and queue.
var contests = []struct{ sides, limit, queue int }{{2, 3, 1}, {2, 3, 0}, {2, 4, 0}, {3, 3, 0}, {3, 4, 1}}

// TestCoordinatorsOfACutFleetShareABrittleReplica guards against a brittle replica that terminates because two
// or three coordinators grant all its places from when its queue is cut, and against one that they leave unused.
// Of replicas with the same trouble a tenth may terminate.
func TestCoordinatorsOfACutFleetShareABrittleReplica(t *testing.T) {
	const replicas, lasts = 20, 10 * time.Second
	for _, c := range contests {
		t.Run(fmt.Sprintf("%d coordinators, limit %d, queue %d", c.sides, c.limit, c.queue), func(t *testing.T) {
			most, falls, used := 0, 0, 1.0
			for seed := range uint64(replicas) {
				w := newContest(seed, c.sides, contestSlots, c.limit, contestSlots*c.sides)
				w.run(time.Second)
				if len(w.rejections) > 0 {
					t.Fatalf("%d rejections before the queue is cut", len(w.rejections))
				}
				w.queue = c.queue
				n := w.mostInASecond(lasts)
				most, used = max(most, n), min(used, w.used)
				if n > c.limit {
					falls++
				}
			}
			t.Logf("%d rejections within a second at most, %d replicas fall, %.2f of the slots used at least", most, falls, used)
			if falls > replicas/10 || c.sides == 2 && falls > 0 {
				t.Errorf("%d of %d replicas fall; %d rejections within a second, a replica survives %d", falls, replicas, most, c.limit)
			}
			if used < 0.6 {
				t.Errorf("%.2f of the slots are used, want .60", used)
			}
		})
	}
}

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
