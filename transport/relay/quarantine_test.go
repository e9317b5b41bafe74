package relay_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

var _ = Describe("A request that crashes replicas", func() {
	gone := 0
	reportCrashes := func(w *fixture, c *relay.Call, crashes int) {
		for range crashes {
			gone++
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("gone", gone))})
			w.relay.Crashes.ReportCrash(c.Content, c.Workspace, &r, time.Now())
		}
	}

	It("is refused at once as not run, with a long Retry-After, when it is quarantined", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		reportCrashes(w, c, 3)
		to, s := w.serve(c)
		refusal, ok := to.refusal.(coordination.NotRun)
		Expect(ok).To(BeTrue())
		Expect(refusal.Reason).To(Equal(coordination.ReasonQuarantined))
		Expect(refusal.RetryAfter).To(BeNumerically(">=", 10*time.Second))
		Expect(s.Attempts).To(BeEmpty(), "no replica is chosen and no connection is opened")
		Expect(r.connections()).To(BeZero())
		other, _ := w.serve(w.call("b", "POST", "y"))
		Expect(other.status).To(Equal(200))
	})

	It("is refused at once as not run if a part of its prompt is quarantined, whatever else it holds", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		w.relay.PartCrashes = routing.NewPartCrashes()
		now := time.Now()
		for i := range 5 {
			gone++
			replica := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("gone", gone))})
			q := &routing.Request{Content: routing.ContentKey(i + 1), Prompt: []routing.PromptPart{{ID: "first"}, {ID: "bad"}, {ID: fmt.Sprint("own", i)}}}
			w.relay.PartCrashes.ReportPartCrashes(q, "w", &replica, -1, now)
		}
		w.relay.PartCrashes.RecordSound(&routing.Request{Prompt: []routing.PromptPart{{ID: "first"}, {ID: "own"}}}, now)
		w.relay.PartCrashes.QuarantineParts(now.Add(time.Second), func(routing.ContentKey) bool { return false })
		send := func(id string, parts ...string) (*recordingSink, *relay.Summary) {
			c := w.call(id, "POST", id)
			for _, p := range parts {
				c.Prompt = append(c.Prompt, routing.PromptPart{ID: p, Tokens: 10})
			}
			return w.serve(c)
		}
		to, s := send("a", "other", "bad", "x")
		Expect(to.refusal).To(And(HaveField("Reason", coordination.ReasonPartQuarantined), HaveField("RetryAfter", BeNumerically(">=", 10*time.Second))))
		Expect(s.QuarantinedPart).To(Equal("bad"))
		Expect(r.connections()).To(BeZero())
		to, _ = send("b", "first", "other", "x")
		Expect(to.status).To(Equal(200))
		to, _ = send("c", "first", "bad")
		Expect(to.status).To(Equal(200), "the last part is the request's own")
	})

	It("is not sent again once the fifth crash quarantined a part of its prompt", func() {
		var replicas []*replica
		for i := range 7 {
			var r *replica
			r = startReplica(fmt.Sprint("r", i), func(*receivedRequest) bool { return r.crash() })
			replicas = append(replicas, r)
		}
		w := newFixture(resumable, replicas...)
		w.relay.PartCrashes = routing.NewPartCrashes()
		sent := func() (n int) {
			for _, r := range replicas {
				n += r.count()
			}
			return n
		}
		for i := range 3 {
			c := w.call(fmt.Sprint(i), "POST", fmt.Sprint(i))
			c.Prompt = []routing.PromptPart{{ID: "bad", Tokens: 10}, {ID: fmt.Sprint("own", i), Tokens: 10}}
			w.serve(c)
		}
		Expect(sent()).To(Equal(6))
		w.relay.PartCrashes.QuarantineParts(time.Now().Add(time.Second), func(routing.ContentKey) bool { return false })
		c := w.call("z", "POST", "z")
		c.Prompt = []routing.PromptPart{{ID: "bad", Tokens: 10}, {ID: "ownz", Tokens: 10}}
		to, _ := w.serve(c)
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonPartQuarantined))
		Expect(sent()).To(Equal(6))
	})

	It("is refused as not run when another daemon reports the third crash during connection setup", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		reportCrashes(w, c, 2)
		views := 0
		w.relay.View = func() *routing.View {
			if views++; views == 2 { // the attempt has started
				reportCrashes(w, c, 1)
			}
			return w.view
		}
		to, _ := w.serve(c)
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonQuarantined))
		Expect(r.count()).To(BeZero())
		w.serve(w.call("b", "POST", "y"))
		Expect(r.connections()).To(Equal(1), "the connection is kept for the next request")
	})

	It("is reported as possibly run, and not retried, after the third crash", func() {
		first, second := startReplica("a", nil), startReplica("b", nil)
		for _, r := range []*replica{first, second} {
			r.script = func(*receivedRequest) bool { return r.crash() }
		}
		w := newFixture(idempotent, first, second)
		c := w.call("x", "POST", "x")
		reportCrashes(w, c, 2)
		to, _ := w.serve(c)
		Expect(to.refusal).To(beMayHaveRun())
		Expect(first.count() + second.count()).To(Equal(1))
		Expect(w.observer.quarantined).To(ConsistOf(c.Content))
	})

	It("is not resumed at another replica when the third crash breaks its stream", func() {
		first, second := startReplica("a", nil), startReplica("b", nil)
		for _, r := range []*replica{first, second} {
			r.script = func(a *receivedRequest) bool {
				streamHead(a)
				chunk(a, event(1))
				time.Sleep(20 * time.Millisecond)
				return r.crash()
			}
		}
		w := newFixture(resumable, first, second)
		c := w.call("x", "POST", "x")
		reportCrashes(w, c, 2)
		to, _ := w.serve(c)
		Expect(to.broken).To(BeTrue(), "the caller must not take the stream as complete")
		Expect(first.count() + second.count()).To(Equal(1))
	})

	It("is sent again after a complete response has cleared earlier crashes", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		reportCrashes(w, c, 2)
		w.serve(c)
		reportCrashes(w, c, 2)
		to, _ := w.serve(w.call("b", "POST", "x"))
		Expect(to.status).To(Equal(200))
	})

	It("is not cleared by an error response", func() {
		r := startReplica("r", func(a *receivedRequest) bool { return respond(a, 500, sealed, "") })
		w := newFixture(atMostOnce, r)
		c := w.call("a", "POST", "x")
		reportCrashes(w, c, 2)
		w.serve(c)
		late := routing.NewReplica(routing.Replica{ID: "late"})
		w.relay.Crashes.ReportCrash(c.Content, c.Workspace, &late, time.Now())
		Expect(w.relay.Crashes.Quarantined(c.Content, time.Now())).To(BeTrue())
	})
})

// TestCrashingRequestIsQuarantined reproduces the incident of internal/soak's
// TestCrashingRequestsReachFewReplicas at a single daemon: requests with the same content, each
// under a new id, crash every replica that receives one. The incident happened because crashes
// were not remembered across ids.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const tries, allowed = 10, 6 // three crashes, and three requests received after them
	for name, route := range map[string]routing.Route{"idempotent": idempotent, "at most once": atMostOnce, "resumable": resumable} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			var replicas []*replica
			for i := range 2 * tries {
				var r *replica
				r = startReplica(fmt.Sprint(i), func(a *receivedRequest) bool {
					if string(a.body) != "crash" {
						return respondOK(a)
					}
					if route.Kind == routing.Stream {
						streamHead(a)
						chunk(a, event(1))
					}
					return r.crash()
				})
				t.Cleanup(func() { r.crash() })
				replicas = append(replicas, r)
			}
			w := newFixture(route, replicas...)
			for i := range tries {
				w.serve(w.call(fmt.Sprint(i), "POST", "crash"))
			}
			arrived := 0
			for _, r := range replicas {
				arrived += r.count()
			}
			if arrived < 3 || arrived > allowed {
				t.Errorf("the request reached %d replicas in %d tries, want 3 to %d", arrived, tries, allowed)
			}
			to, _ := w.serve(w.call("other", "POST", "fine"))
			if to.status != 200 && route.Kind != routing.Stream {
				t.Errorf("another request got status %d and %#v, want 200", to.status, to.refusal)
			}
		})
	}
}
