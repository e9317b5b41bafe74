package relay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// Guards against callers that get no response at the end of a daemon's grace period, though their requests only waited there, and against
// requests that are sent when there is no time left to serve them.
var _ = Describe("Relay whose daemon shuts down", func() {
	const keep = 100 * time.Millisecond
	notRun := And(BeAssignableToTypeOf(coordination.NotRun{}), HaveField("Reason", coordination.ReasonShutdown), HaveField("RetryAfter", BeNumerically(">", 0)))
	mayHaveRun := And(BeAssignableToTypeOf(coordination.MayHaveRun{}), HaveField("Reason", coordination.ReasonShutdown))

	// newStopping returns a fixture and a function that begins the shutdown, with some time until its end.
	newStopping := func(route routing.Route, replicas ...*replica) (*fixture, func(left time.Duration)) {
		w := newFixture(route, replicas...)
		w.relay.Shutdown = relay.NewShutdown()
		return w, func(left time.Duration) {
			w.relay.Shutdown.Begin(routing.Shutdown{End: clock.Now().Add(left), Keep: keep})
		}
	}
	// serve serves a call in the background.
	serve := func(w *fixture, c *relay.Call) (chan *relay.Summary, *recordingSink) {
		done, to := make(chan *relay.Summary, 1), &recordingSink{}
		go func() { done <- w.relay.Serve(context.Background(), c, to) }()
		return done, to
	}
	waits := func(ctx context.Context, _ []routing.LoadKey) relay.Permit {
		<-ctx.Done()
		return relay.PermitExpired{}
	}

	It("refuses a request that waits for a permit, as not run, while its caller can still go elsewhere", func() {
		r := startReplica("r", respondOK)
		w, begin := newStopping(atMostOnce, r)
		w.relay.Permits = &scriptedPermits{needed: true, acquire: waits}
		done, to := serve(w, w.call("1", "POST", "x"))
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		begin(400 * time.Millisecond)
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
		var s *relay.Summary
		Eventually(done).Should(Receive(&s))
		Expect(to.refusal).To(notRun)
		Expect(s.Attempts).To(BeEmpty())
		Expect(s.CallerGone).To(BeFalse())
	})

	It("refuses one earlier if its route's requests usually take longer, and one that has just arrived at once", func() {
		w, begin := newStopping(atMostOnce, startReplica("r", respondOK))
		w.relay.Times.Record(w.route, 2*time.Second, clock.Now())
		w.relay.Permits = &scriptedPermits{needed: true, acquire: waits}
		done, to := serve(w, w.call("1", "POST", "x"))
		Consistently(done, 50*time.Millisecond).ShouldNot(Receive())
		begin(time.Second)
		Eventually(done, 500*time.Millisecond).Should(Receive())
		Expect(to.refusal).To(notRun)
		late, s := w.serve(w.call("2", "POST", "x"))
		Expect(late.refusal).To(notRun)
		Expect(s.Attempts).To(BeEmpty())
	})

	It("lets one wait whose deadline comes first", func() {
		w, begin := newStopping(atMostOnce, startReplica("r", respondOK))
		w.relay.Permits = &scriptedPermits{needed: true, acquire: waits}
		c := w.call("1", "POST", "x")
		c.Deadline = time.Now().Add(300 * time.Millisecond)
		done, _ := serve(w, c)
		begin(320 * time.Millisecond)
		Consistently(done, 200*time.Millisecond).ShouldNot(Receive())
	})

	It("does not send a request whose permit is granted when it is too late", func() {
		r := startReplica("r", respondOK)
		w, begin := newStopping(atMostOnce, r)
		granted := grants(r)
		p := &scriptedPermits{needed: true, acquire: func(ctx context.Context, tried []routing.LoadKey) relay.Permit {
			<-ctx.Done()
			return granted(ctx, tried)
		}}
		w.relay.Permits = p
		done, to := serve(w, w.call("1", "POST", "x"))
		begin(200 * time.Millisecond)
		Eventually(done).Should(Receive())
		Expect(to.refusal).To(notRun)
		Expect(r.count()).To(BeZero())
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned}))
	})

	It("serves requests while there is time", func() {
		w, begin := newStopping(atMostOnce, startReplica("r", respondOK))
		begin(5 * time.Second)
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.status).To(Equal(200))
	})

	It("tells the caller of a request that is still running that it may have run", func() {
		begun := make(chan struct{}, 1)
		r := startReplica("r", func(*receivedRequest) bool {
			begun <- struct{}{}
			time.Sleep(time.Second)
			return false
		})
		w, begin := newStopping(idempotent, r)
		done, to := serve(w, w.call("1", "POST", "x"))
		Eventually(begun).Should(Receive())
		begin(50 * time.Millisecond)
		Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
		w.relay.Shutdown.End()
		Eventually(done).Should(Receive())
		Expect(to.refusal).To(mayHaveRun)
		Expect(to.broken).To(BeFalse())
	})

	It("breaks off a stream that has begun, and records where it began", func() {
		r := startVersion("r", "v1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(time.Second)
			return false
		})
		w, begin := newStopping(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		w.relay.Origins = origins
		c := w.call("1", "POST", "x")
		done, to := make(chan struct{}), &recordingSink{wrote: make(chan struct{}, 1)}
		go func() {
			defer close(done)
			w.relay.Serve(context.Background(), c, to)
		}()
		Eventually(to.wrote).Should(Receive())
		begin(50 * time.Millisecond)
		w.relay.Shutdown.End()
		Eventually(done).Should(BeClosed())
		Expect(to.broken).To(BeTrue())
		Expect(origins.list()).To(HaveLen(1))
	})
})
