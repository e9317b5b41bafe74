package relay_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// rejected is the header field with which replicas reject a request.
const rejected = "Not-Executed: 1\r\n"

// TestSelfReportsAreApplied checks that replicas which requested a backoff or announced their
// departure, and addresses of replaced replicas, get no further requests.
func TestSelfReportsAreApplied(t *testing.T) {
	t.Run("backoff", testBackoff)
	t.Run("departure", testDeparture)
	t.Run("replaced", testReplaced)
}

// testReplaced uses a replica that terminated and was replaced by another one at its address, while
// its entry is still there. Only the first request may reach the address. It is rejected there, and
// retried if the route allows more than one replica. Later requests must go elsewhere, also those of
// another daemon that received this daemon's reports.
func testReplaced(t *testing.T) {
	for name, route := range map[string]routing.Route{"idempotent": idempotent, "at most once": atMostOnce} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			former := startReplica("former", func(a *receivedRequest) bool { return respond(a, 421, "Replica-Id: other\r\n", "") })
			living := startReplica("living", respondOK)
			t.Cleanup(func() { former.crash(); living.crash() })
			w := newFixture(route, former, living)
			for i := range 40 {
				w.serve(w.call(fmt.Sprint(i), "POST", "x"))
			}
			if n := former.count(); n > 1 {
				t.Errorf("%d requests went to the address of the replaced replica, want at most one", n)
			}
			reports := w.relay.Placer.Departures.TakeReports(10, time.Now())
			if len(reports) != 1 {
				t.Fatalf("%d reports for other daemons, want one", len(reports))
			}
			other := newFixture(route, former, living)
			other.relay.Placer.Departures.Observe(reports, time.Now())
			for i := range 40 {
				other.serve(other.call(fmt.Sprint("other ", i), "POST", "x"))
			}
			if n := former.count(); n > 1 {
				t.Errorf("%d requests from another daemon after it received the report, want none", n-1)
			}
		})
	}
}

// testBackoff reproduces the incident of internal/soak's TestDaemonsHonorRequestedBackoffs at a
// single daemon: a replica rejects a request and requests a backoff. It is the only replica, so
// that no other rule, such as ejection, keeps requests from it.
func testBackoff(t *testing.T) {
	for name, route := range map[string]routing.Route{"idempotent": idempotent, "at most once": atMostOnce, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", func(a *receivedRequest) bool { return respond(a, 503, rejected+"Retry-After: 30\r\n", "") })
			t.Cleanup(func() { r.crash() })
			w := newFixture(route, r)
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

// testDeparture uses a replica that announces its departure in a response, while its entry still
// says that it is ready.
func testDeparture(t *testing.T) {
	for name, script := range map[string]func(a *receivedRequest) bool{
		"in a success response": func(a *receivedRequest) bool { return respond(a, 200, sealed+"Server-Leaving: 1\r\n", "fine") },
		"in an error response":  func(a *receivedRequest) bool { return respond(a, 500, sealed+"Server-Leaving: 1\r\n", "") },
		"in a rejection":        func(a *receivedRequest) bool { return respond(a, 503, rejected+"Server-Leaving: 1\r\n", "") },
		"in a late response to an earlier request": func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n")
			return respondOK(a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", script)
			t.Cleanup(func() { r.crash() })
			w := newFixture(atMostOnce, r)
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

// TestEligibilityIsRecheckedBeforeWriting checks that a request is not sent if a backoff or a
// departure becomes known during connection setup.
func TestEligibilityIsRecheckedBeforeWriting(t *testing.T) {
	for name, learn := range map[string]func(w *fixture, r *replica){
		"backoff": func(w *fixture, r *replica) {
			w.relay.Placer.Backoffs.Record(&r.Replica, time.Minute, "other", time.Now())
		},
		"departure": func(w *fixture, r *replica) { w.relay.Placer.Departures.RecordAnnounced(&r.Replica, time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			r := startReplica("r", respondOK)
			t.Cleanup(func() { r.crash() })
			w := newFixture(atMostOnce, r)
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
