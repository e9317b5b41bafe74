package relay_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// notRun is the header with which replicas turn a request away.
const notRun = "Not-Executed: 1\r\n"

// TestWhatReplicasSayOfThemselvesIsObeyed plays replicas that ask for rest, and that leave.
func TestWhatReplicasSayOfThemselvesIsObeyed(t *testing.T) {
	t.Run("rest", testRest)
	t.Run("leaving", testLeaving)
	t.Run("another at the address", testReplaced)
}

// testReplaced plays a replica that ended and came back under another id, while its entry is still
// the former one: the first request finds out, and those after it go elsewhere, here and, by what
// this daemon reports, at others. A route that allows one replica has that one refused.
func testReplaced(t *testing.T) {
	for name, route := range map[string]routing.Route{"may run more than once": repeatable, "runs once": once} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			former := startReplica("former", func(a *arrival) bool { return answer(a, 421, "Replica-Id: other\r\n", "") })
			living := startReplica("living", good)
			t.Cleanup(func() { former.end(); living.end() })
			w := newWorld(route, former, living)
			for i := range 40 {
				w.serve(w.call(fmt.Sprint(i), "POST", "x"))
			}
			if n := former.count(); n > 1 {
				t.Errorf("%d requests went to the address of the replica that has gone, want one", n)
			}
			reports := w.relay.Placer.Departures.TakeReports(10, time.Now())
			if len(reports) != 1 {
				t.Fatalf("%d reports to other daemons, want one", len(reports))
			}
			other := newWorld(route, former, living)
			other.relay.Placer.Departures.Observe(reports, time.Now())
			for i := range 40 {
				other.serve(other.call(fmt.Sprint("other ", i), "POST", "x"))
			}
			if n := former.count(); n > 1 {
				t.Errorf("%d requests of another daemon that was told", n-1)
			}
		})
	}
}

// testRest is the incident of internal/soak's
// TestReplicasThatAskForRestAreLeftAlone at one daemon: a replica turns a request away and asks
// for rest, and is the only one, so that all that stands in for rest is void.
func testRest(t *testing.T) {
	for name, route := range map[string]routing.Route{"may run more than once": repeatable, "runs once": once, "may go on elsewhere": resumable} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", func(a *arrival) bool { return answer(a, 503, notRun+"Retry-After: 30\r\n", "") })
			t.Cleanup(func() { r.end() })
			w := newWorld(route, r)
			for i := range 8 {
				to, _ := w.serve(w.call(fmt.Sprint(i), "POST", "x"))
				if to.refusal == nil {
					t.Errorf("request %d got status %d, want a refusal", i, to.status)
				}
			}
			if n := r.count(); n != 1 {
				t.Errorf("%d requests reached the replica, want only the one that it turned away", n)
			}
		})
	}
}

// testLeaving plays one that says so in an answer, and whose entry
// goes on saying that it is ready.
func testLeaving(t *testing.T) {
	for name, script := range map[string]func(a *arrival) bool{
		"in a success": func(a *arrival) bool { return answer(a, 200, sealed+"Server-Leaving: 1\r\n", "fine") },
		"in a failure": func(a *arrival) bool { return answer(a, 500, sealed+"Server-Leaving: 1\r\n", "") },
		"in a refusal": func(a *arrival) bool { return answer(a, 503, notRun+"Server-Leaving: 1\r\n", "") },
		"in a late answer": func(a *arrival) bool {
			raw(a, "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			return good(a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", script)
			t.Cleanup(func() { r.end() })
			w := newWorld(once, r)
			w.serve(w.call("first", "POST", "x"))
			for i := range 4 {
				w.serve(w.call(fmt.Sprint(i), "POST", "x"))
			}
			if n := r.count(); n != 1 {
				t.Errorf("%d requests reached the replica, want only the one that it answered", n)
			}
		})
	}
}

// TestRestIsLookedAtAgainBeforeTheFirstByte plays a rest and a leaving that are learnt while the
// connection comes up.
func TestRestIsLookedAtAgainBeforeTheFirstByte(t *testing.T) {
	for name, learn := range map[string]func(w *world, r *replica){
		"rest": func(w *world, r *replica) {
			w.relay.Placer.Backoffs.Record(&r.Replica, time.Minute, "other", time.Now())
		},
		"leaving": func(w *world, r *replica) { w.relay.Placer.Departures.RecordAnnounced(&r.Replica, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", good)
			t.Cleanup(func() { r.end() })
			w := newWorld(once, r)
			views := 0
			w.relay.View = func() *routing.View {
				if views++; views == 2 { // the attempt has begun
					learn(w, r)
				}
				return w.view
			}
			to, _ := w.serve(w.call("a", "POST", "x"))
			if r.count() != 0 {
				t.Errorf("%d requests reached the replica", r.count())
			}
			if _, ok := to.refusal.(coordination.NotRun); !ok {
				t.Errorf("the caller got %#v, want a refusal that says not run", to.refusal)
			}
		})
	}
}
