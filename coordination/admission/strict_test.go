package admission

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// strictTest is a strict coordinator of one replica with two slots, and one daemon that asks it.
type strictTest struct {
	*Coordinator
	request PermitRequest
	now     time.Time
}

func newStrictTest(limit int) *strictTest {
	now := time.Unix(1_000_000, 0)
	c := NewCoordinator(membership.Member{Address: "10.0.0.1:1"}, "s", "", 1)
	c.setStrict(true, limit, false, now)
	c.SetReplicas([]Replica{{Key: 1, Slots: 2}}, now)
	return &strictTest{Coordinator: c, request: PermitRequest{From: "10.0.0.2:1", Incarnation: 1, Service: "s"}, now: now}
}

// send sends a message with new asks and finished permits, and returns the permits that are granted.
func (s *strictTest) send(asks int, finished ...Finished) []PermitID {
	s.request.Sequence++
	for range asks {
		id := PermitID(100*int(s.request.Sequence) + len(s.request.Pending))
		s.request.Pending = append(s.request.Pending, Ask{ID: id, UntilTarget: 5 * time.Second, UntilDeadline: 9 * time.Second})
	}
	for _, f := range finished {
		s.request.Held = slices.DeleteFunc(s.request.Held, func(id PermitID) bool { return id == f.ID })
	}
	r := s.request
	r.Pending, r.Held, r.Finished = slices.Clone(s.request.Pending), slices.Clone(s.request.Held), finished
	s.Receive(&r, "z", s.now)
	return s.granted()
}

// granted returns the permits that were granted since the last call.
func (s *strictTest) granted() []PermitID {
	var out []PermitID
	for _, reply := range s.Replies(s.now) {
		for _, d := range reply.Reply.Decisions {
			if _, ok := d.(Granted); ok && !slices.Contains(s.request.Held, d.Permit()) {
				out = append(out, d.Permit())
				s.request.Held = append(s.request.Held, d.Permit())
				s.request.Pending = slices.DeleteFunc(s.request.Pending, func(a Ask) bool { return a.ID == d.Permit() })
			}
		}
	}
	return out
}

// wait lets time pass with a message each 40 ms, and returns the permits that are granted.
func (s *strictTest) wait(d time.Duration) []PermitID {
	var out []PermitID
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(askingEvery, end.Sub(s.now)))
		s.Tick(s.now)
		out = append(append(out, s.granted()...), s.send(0)...)
	}
	return out
}

// TestBrittleReplicaHasAPlaceForEachSlotOnly guards against requests that a brittle replica has to reject because
// the coordinator counts on its queue.
func TestBrittleReplicaHasAPlaceForEachSlotOnly(t *testing.T) {
	s := newStrictTest(3)
	if n := len(s.send(4)); n != 2 {
		t.Errorf("%d permits while the replica is brittle, want 2", n)
	}
	s.setStrict(false, 0, false, s.now)
	if n := len(s.wait(20 * time.Millisecond)); n != extraPlaces {
		t.Errorf("%d more permits after the spell, want %d", n, extraPlaces)
	}
}

// TestNewCoordinatorOfBrittleReplicasLearnsFirst guards against a coordinator that takes over and grants places
// that permits of the former one occupy.
func TestNewCoordinatorOfBrittleReplicasLearnsFirst(t *testing.T) {
	s := newStrictTest(3)
	s.setStrict(true, 3, true, s.now)
	if n := len(s.send(2)); n != 0 {
		t.Fatalf("%d permits at once, want none", n)
	}
	other := PermitRequest{From: "10.0.0.3:1", Incarnation: 1, Sequence: 1, Service: "s", Unpermitted: []routing.LoadCount{{Replica: 1, Requests: 1}}}
	s.Receive(&other, "z", s.now)
	if n := len(s.wait(learnTime - time.Millisecond)); n != 0 {
		t.Fatalf("%d permits before the permits of all daemons are known, want none", n)
	}
	if n := len(s.wait(10 * time.Millisecond)); n != 1 {
		t.Errorf("%d permits beside a request of another daemon, want 1", n)
	}
}

// TestGivenUpRequestKeepsItsPlace guards against a place that is granted again while the replica still runs the
// request that was given up.
func TestGivenUpRequestKeepsItsPlace(t *testing.T) {
	s := newStrictTest(3)
	usual := s.speed.usual()
	first := s.send(3)
	if n := len(s.send(0, Finished{ID: first[0], Took: usual / 3, Result: Abandoned})); n != 0 {
		t.Errorf("%d permits right after a request was given up, want none", n)
	}
	if n := len(s.wait(usual)); n != 1 {
		t.Errorf("%d permits after the usual time, want 1", n)
	}
}

// TestRejectionsCloseABrittleReplica guards against daemons that go on sending to a brittle replica that rejects
// permitted requests, from two sides of a fleet that is cut or one by one.
func TestRejectionsCloseABrittleReplica(t *testing.T) {
	for _, c := range []struct {
		limit  int
		share  float64
		closed time.Duration
	}{
		{4, 1, 500 * time.Millisecond},
		{1, 1, 2 * time.Second},
		{0, 1, maxClosedAfterRejection},
		{6, 1.0 / 3, time.Second},
		{6, 1.0 / 986, maxClosedAfterRejection},
	} {
		s := newStrictTest(c.limit)
		s.share = c.share
		first := s.send(4)
		if n := len(s.send(0, Finished{ID: first[0], Took: time.Millisecond, Result: Rejected})); n != 0 {
			t.Errorf("limit %d, share %.3f: a permit right after a rejection", c.limit, c.share)
		}
		s.paused = time.Time{} // what a part of a place has to wait for
		if n := len(s.wait(c.closed - 10*time.Millisecond)); n != 0 {
			t.Errorf("limit %d, share %.3f: %d permits within %v, want none", c.limit, c.share, n, c.closed)
		}
		if n := len(s.wait(60 * time.Millisecond)); n != 1 {
			t.Errorf("limit %d, share %.3f: %d permits after %v, want 1", c.limit, c.share, n, c.closed)
		}
	}
}

// TestPlacesAreBackWithTheDaemonsOfAnotherCoordinator guards against places that stay unused for seconds after a cut,
// because of the rejections that the other coordinator caused.
func TestPlacesAreBackWithTheDaemonsOfAnotherCoordinator(t *testing.T) {
	s := newStrictTest(1)
	first := s.send(4)
	s.send(0, Finished{ID: first[0], Took: time.Millisecond, Result: Rejected})
	back := PermitRequest{From: "10.0.0.3:1", Incarnation: 1, Sequence: 1, Service: "s", Unpermitted: []routing.LoadCount{{Replica: 1, Requests: 1}}}
	s.Receive(&back, "z", s.now)
	back.Sequence, back.Unpermitted = 2, nil
	s.Receive(&back, "z", s.now)
	if n := len(s.wait(learnTime - time.Millisecond)); n != 0 {
		t.Errorf("%d permits before all daemons are back, want none", n)
	}
	if n := len(s.wait(10 * time.Millisecond)); n != 1 {
		t.Errorf("%d permits when they are, want 1", n)
	}
}

// TestCoordinatorThatOthersReplacedLearnsAgain guards against a coordinator that was paused or cut off, and
// grants the places of permits that another one has granted in its place.
func TestCoordinatorThatOthersReplacedLearnsAgain(t *testing.T) {
	s := newStrictTest(3)
	back := PermitRequest{From: "10.0.0.3:1", Incarnation: 1, Sequence: 1, Service: "s", Unpermitted: []routing.LoadCount{{Replica: 1, Requests: 1}}}
	s.Receive(&back, "z", s.now)
	if n := len(s.send(2)); n != 0 {
		t.Errorf("%d permits before all daemons are back, want none", n)
	}
	if n := len(s.wait(learnTime)); n != 1 {
		t.Errorf("%d permits beside the request of another coordinator, want 1", n)
	}
	back.Sequence++
	s.Receive(&back, "z", s.now)
	if s.isPaused(s.now) {
		t.Error("learns again with each message")
	}

	d := NewDaemon(membership.Member{Address: "10.0.0.1:1"})
	now := time.Unix(1_000_000, 0)
	d.SetMembers([]membership.Member{{Address: "10.0.0.2:1"}}, 2, now)
	d.SetBrittle("s", true, 3, now)
	d.SetReplica("s", Replica{Key: 1, Slots: 2})
	ask := PermitRequest{From: "10.0.0.2:1", Incarnation: 1, Sequence: 1, Service: "s", Scope: ReplicaScope(1)}
	d.ReceiveRequest(&ask, now)
	g := d.coordinators[0]
	now = now.Add(learnReplicaTime)
	d.Tick(now)
	g.strict.learningUntil = time.Time{}
	d.Tick(now.Add(replicaTick))
	if g.isPaused(now.Add(replicaTick)) {
		t.Error("learns again although the process was not paused")
	}
	d.Tick(now.Add(5 * time.Second))
	if !g.isPaused(now.Add(5 * time.Second)) {
		t.Error("does not learn again after a pause of the process")
	}
}
