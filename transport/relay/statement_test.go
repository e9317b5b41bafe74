package relay_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// notRun is the header field with which replicas reject a request.
const notRun = "Not-Executed: 1\r\n"

// TestWhatReplicasSayOfThemselvesIsObeyed checks that replicas which requested a backoff or
// announced their departure, and addresses of replaced replicas, get no further requests.
func TestWhatReplicasSayOfThemselvesIsObeyed(t *testing.T) {
	t.Run("backoff", testRest)
	t.Run("departure", testLeaving)
	t.Run("replaced", testReplaced)
}

// testReplaced uses a replica that terminated and was replaced by another one at its address, while
// its entry is still there. Only the first request may reach the address; later ones must go
// elsewhere, also those of another daemon that received this daemon's reports.
func testReplaced(t *testing.T) {
	for name, route := range map[string]routing.Route{"idempotent": repeatable, "at most once": once} {
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
				t.Errorf("%d requests went to the address of the replaced replica, want at most one", n)
			}
			reports := w.relay.Placer.Leavings.TakeReports(10, time.Now())
			if len(reports) != 1 {
				t.Fatalf("%d reports for other daemons, want one", len(reports))
			}
			other := newWorld(route, former, living)
			other.relay.Placer.Leavings.Observe(reports, time.Now())
			for i := range 40 {
				other.serve(other.call(fmt.Sprint("other ", i), "POST", "x"))
			}
			if n := former.count(); n > 1 {
				t.Errorf("%d requests from another daemon after it received the report, want none", n-1)
			}
		})
	}
}

// testRest reproduces the incident of internal/soak's TestReplicasThatAskForRestAreLeftAlone at a
// single daemon: a replica rejects a request and requests a backoff. It is the only replica, so
// that no other rule, such as ejection, keeps requests from it.
func testRest(t *testing.T) {
	for name, route := range map[string]routing.Route{"idempotent": repeatable, "at most once": once, "resumable": resumable} {
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
				t.Errorf("%d requests reached the replica, want only the one that it rejected", n)
			}
		})
	}
}

// testLeaving uses a replica that announces its departure in a response, while its entry still
// says that it is ready.
func testLeaving(t *testing.T) {
	for name, script := range map[string]func(a *arrival) bool{
		"in a success response": func(a *arrival) bool { return answer(a, 200, sealed+"Server-Leaving: 1\r\n", "fine") },
		"in an error response":  func(a *arrival) bool { return answer(a, 500, sealed+"Server-Leaving: 1\r\n", "") },
		"in a rejection":        func(a *arrival) bool { return answer(a, 503, notRun+"Server-Leaving: 1\r\n", "") },
		"in a late response to an earlier request": func(a *arrival) bool {
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
				t.Errorf("%d requests reached the replica, want only the one that it responded to", n)
			}
		})
	}
}

// TestRestIsLookedAtAgainBeforeTheFirstByte checks that a request is not sent if a backoff or a
// departure becomes known during connection setup.
func TestRestIsLookedAtAgainBeforeTheFirstByte(t *testing.T) {
	for name, learn := range map[string]func(w *world, r *replica){
		"backoff": func(w *world, r *replica) {
			w.relay.Placer.Rests.Ask(&r.Replica, time.Minute, "other", time.Now())
		},
		"departure": func(w *world, r *replica) { w.relay.Placer.Leavings.Say(&r.Replica, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", good)
			t.Cleanup(func() { r.end() })
			w := newWorld(once, r)
			views := 0
			w.relay.View = func() *routing.View {
				if views++; views == 2 { // the attempt has started
					learn(w, r)
				}
				return w.view
			}
			to, _ := w.serve(w.call("a", "POST", "x"))
			if r.count() != 0 {
				t.Errorf("%d requests reached the replica, want none", r.count())
			}
			if _, ok := to.refusal.(coordination.NotRun); !ok {
				t.Errorf("the caller got %#v, want a refusal as not run", to.refusal)
			}
		})
	}
}
