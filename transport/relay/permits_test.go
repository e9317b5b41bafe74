package relay_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// scriptedPermits is a Permits whose decisions are scripted by a test.
type scriptedPermits struct {
	needed bool
	// atReplica decides about permits at single replicas; nil: none are needed.
	atReplica func(r *routing.Replica, mayWait bool) relay.Permit
	acquire   func(ctx context.Context, tried []routing.LoadKey) relay.Permit

	mu        sync.Mutex
	tried     [][]routing.LoadKey
	released  []admission.Result
	took      []time.Duration
	saturated int
}

func (p *scriptedPermits) Needed(routing.ServiceName) bool { return p.needed }

func (p *scriptedPermits) NeededAtReplica(routing.ServiceName) bool { return p.atReplica != nil }

func (p *scriptedPermits) AcquireAt(_ context.Context, _ *relay.Call, r *routing.Replica, mayWait bool) relay.Permit {
	return p.atReplica(r, mayWait)
}

func (p *scriptedPermits) Acquire(ctx context.Context, _ *relay.Call, tried []routing.LoadKey) relay.Permit {
	p.mu.Lock()
	p.tried = append(p.tried, append([]routing.LoadKey(nil), tried...))
	p.mu.Unlock()
	return p.acquire(ctx, tried)
}

func (p *scriptedPermits) Release(_ relay.PermitGranted, took time.Duration, result admission.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released, p.took = append(p.released, result), append(p.took, took)
}

func (p *scriptedPermits) ReportSaturated(routing.ServiceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saturated++
}

func (p *scriptedPermits) reports() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.saturated
}

// grants returns an acquire function that grants the replicas in turn, and the last one from then on.
func grants(replicas ...*replica) func(context.Context, []routing.LoadKey) relay.Permit {
	n := 0
	return func(context.Context, []routing.LoadKey) relay.Permit {
		n++
		r := replicas[min(n, len(replicas))-1]
		return relay.PermitGranted{Service: "s", ID: admission.PermitID(n), Replica: r.LoadKey()}
	}
}

// panickingSink is a Sink that panics when events are written.
type panickingSink struct{ *recordingSink }

func (panickingSink) Write([]byte) error { panic("write") }

// brokenSink is a Sink whose writes of events fail.
type brokenSink struct{ *recordingSink }

func (brokenSink) Write([]byte) error { return errors.New("write failed") }

func respondRejected(a *receivedRequest) bool {
	return respond(a, 503, "Not-Executed: full\r\n", "full")
}

var _ = Describe("Relay with permits", func() {
	It("sends to the same replicas as without permits while the service is not saturated", func() {
		// Guards against a change of the usual choices.
		var replicas []*replica
		for i := range 4 {
			replicas = append(replicas, startReplica(fmt.Sprint("r", i), respondOK))
		}
		plain, withPermits := newFixture(idempotent, replicas...), newFixture(idempotent, replicas...)
		p := &scriptedPermits{}
		withPermits.relay.Permits = p
		for i := range 40 {
			id := fmt.Sprint("a", i)
			_, before := plain.serve(plain.call(id, "GET", ""))
			_, after := withPermits.serve(withPermits.call(id, "GET", ""))
			Expect(after.Attempts).To(HaveLen(1))
			Expect(after.Attempts[0].Replica).To(Equal(before.Attempts[0].Replica))
			Expect(after.PermitWait).To(BeZero())
		}
		Expect(p.tried).To(BeEmpty())
		Expect(p.released).To(BeEmpty())
	})

	It("sends to the granted replica and releases the permit with the time taken", func() {
		const work = 20 * time.Millisecond
		a, b := startReplica("a", respondOK), startReplica("b", nil)
		w := newFixture(atMostOnce, a, b)
		b.script = func(r *receivedRequest) bool {
			if n := len(w.relay.Placer.Loads.LocalUnpermitted(w.view.Pool("s"))); n != 0 {
				return false
			}
			time.Sleep(work)
			return respondOK(r)
		}
		p := &scriptedPermits{needed: true, acquire: grants(b)}
		w.relay.Permits = p
		for range 5 {
			to, s := w.serve(w.call("x", "GET", ""))
			Expect(to.status).To(Equal(200))
			Expect(s.Attempts[0].Replica).To(Equal(routing.ReplicaID("b")))
		}
		Expect(p.released).To(HaveEach(admission.Completed))
		Expect(p.took).To(And(HaveLen(5), HaveEach(BeNumerically(">=", work))))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})

	It("sends nothing if the permit is refused, and gives the time to come back", func() {
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		w.relay.Permits = &scriptedPermits{needed: true, acquire: func(context.Context, []routing.LoadKey) relay.Permit {
			return relay.PermitRefused{RetryAfter: 170 * time.Millisecond}
		}}
		to, s := w.serve(w.call("x", "GET", ""))
		want := coordination.NotRun{Reason: coordination.ReasonUpstreamsFull, RetryAfter: 170 * time.Millisecond}
		Expect(to.refusal).To(Equal(want))
		Expect(s.Outcome).To(Equal(want))
		Expect(s.Attempts).To(BeEmpty())
		Expect(r.count()).To(BeZero())
		Expect(want.Reason.Remedy()).NotTo(BeEmpty())
	})

	It("does not say that a request has not run if an earlier attempt may have run it", func() {
		r := startReplica("r", func(a *receivedRequest) bool { return reset(a.conn) })
		other := startReplica("o", respondOK)
		w := newFixture(idempotent, r, other)
		asks := 0
		w.relay.Permits = &scriptedPermits{needed: true, acquire: func(ctx context.Context, tried []routing.LoadKey) relay.Permit {
			if asks++; asks > 1 {
				return relay.PermitRefused{RetryAfter: time.Second}
			}
			return relay.PermitGranted{Service: "s", ID: 1, Replica: r.LoadKey()}
		}}
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.refusal).To(beMayHaveRun())
	})

	It("ends the wait at once when the caller disconnects", func() {
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		waiting := make(chan struct{})
		p := &scriptedPermits{needed: true, acquire: func(ctx context.Context, _ []routing.LoadKey) relay.Permit {
			close(waiting)
			<-ctx.Done()
			return relay.PermitExpired{}
		}}
		w.relay.Permits = p
		ctx, disconnect := context.WithCancel(context.Background())
		ended := make(chan *relay.Summary, 1)
		go func() { ended <- w.relay.Serve(ctx, w.call("x", "GET", ""), &recordingSink{}) }()
		<-waiting
		disconnect()
		var s *relay.Summary
		Eventually(ended, time.Second).Should(Receive(&s))
		Expect(s.CallerGone).To(BeTrue())
		Expect(r.count()).To(BeZero())
	})

	It("does not send if the caller disconnected or the deadline passed before the grant", func() {
		// Guards against a permit that is neither used nor given back.
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		p := &scriptedPermits{needed: true}
		w.relay.Permits = p
		ctx, disconnect := context.WithCancel(context.Background())
		p.acquire = func(context.Context, []routing.LoadKey) relay.Permit {
			disconnect()
			return grants(r)(ctx, nil)
		}
		w.relay.Serve(ctx, w.call("x", "GET", ""), &recordingSink{})
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned}))
		c := w.call("y", "GET", "")
		p.acquire = func(context.Context, []routing.LoadKey) relay.Permit {
			c.Deadline = time.Now()
			return grants(r)(ctx, nil)
		}
		to, _ := w.serve(c)
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonDeadline))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Abandoned}))
		Expect(r.count()).To(BeZero())
	})

	It("counts the wait as part of the call's time", func() {
		const wait = 30 * time.Millisecond
		r := startReplica("r", respondOK)
		w := newFixture(idempotent, r)
		w.relay.Permits = &scriptedPermits{needed: true, acquire: func(ctx context.Context, _ []routing.LoadKey) relay.Permit {
			time.Sleep(wait)
			return grants(r)(ctx, nil)
		}}
		_, s := w.serve(w.call("x", "GET", ""))
		Expect(s.PermitWait).To(BeNumerically(">=", wait))
		Expect(s.Total).To(BeNumerically(">=", s.PermitWait))
		Expect(s.FirstByte).To(BeNumerically(">=", s.PermitWait))
	})

	It("asks again for a retry, with the replicas that were tried", func() {
		full, free := startReplica("full", respondRejected), startReplica("free", respondOK)
		w := newFixture(atMostOnce, full, free)
		p := &scriptedPermits{needed: true, acquire: grants(full, free)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(p.tried).To(Equal([][]routing.LoadKey{nil, {full.LoadKey()}}))
		Expect(p.released).To(Equal([]admission.Result{admission.Rejected, admission.Completed}))
		Expect(p.saturated).To(Equal(1))
	})

	It("asks for no permit for a retry that the budget denies", func() {
		full := startReplica("full", respondRejected)
		other := startReplica("other", respondOK)
		w := newFixture(atMostOnce, full, other)
		w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Ratio: 0, Extra: 0, Window: time.Second}, 1)
		p := &scriptedPermits{needed: true, acquire: grants(full, other)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonUpstreamBusy))
		Expect(p.tried).To(HaveLen(1))
	})

	It("asks twice more if the granted replica may not be used, and then chooses itself", func() {
		gone, ready := startReplica("gone", respondOK), startReplica("ready", respondOK)
		w := newFixture(atMostOnce, ready)
		p := &scriptedPermits{needed: true, acquire: grants(gone)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(ready.count()).To(Equal(1))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Abandoned, admission.Abandoned}))
		Expect(p.took).To(HaveEach(BeZero()))
	})

	It("asks for another replica than those that it may not use", func() {
		// Guards against requests without permits while a coordinator that is not cut off from them grants
		// replicas that this daemon may not use: all of them would go to the others.
		first, second, ready := startReplica("first", respondOK), startReplica("second", respondOK), startReplica("ready", respondOK)
		w := newFixture(atMostOnce, ready)
		p := &scriptedPermits{needed: true}
		p.acquire = func(_ context.Context, tried []routing.LoadKey) relay.Permit {
			for _, r := range []*replica{first, second, ready} {
				if !slices.Contains(tried, r.LoadKey()) {
					return relay.PermitGranted{Service: "s", Replica: r.LoadKey()}
				}
			}
			return relay.PermitRefused{}
		}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(p.tried).To(Equal([][]routing.LoadKey{nil, {first.LoadKey()}, {first.LoadKey(), second.LoadKey()}}))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Abandoned, admission.Completed}))
	})

	It("releases the permit of a broken attempt as failed", func() {
		r := startReplica("r", func(a *receivedRequest) bool { return reset(a.conn) })
		w := newFixture(atMostOnce, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		w.serve(w.call("x", "GET", ""))
		Expect(p.released).To(Equal([]admission.Result{admission.Failed}))
		Expect(p.saturated).To(BeZero())
	})

	It("does not blame a replica that is abandoned because a response is slow", func() {
		// Guards against a replica that gets one permit at a time because of one long request.
		slow := startReplica("slow", func(a *receivedRequest) bool {
			time.Sleep(400 * time.Millisecond)
			return respondOK(a)
		})
		fast := startReplica("fast", respondOK)
		w := newFixture(idempotent, slow, fast)
		p := &scriptedPermits{needed: true, acquire: grants(slow, fast)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Completed}))
	})

	It("releases the permit of an error response as failed", func() {
		// Guards against a replica that gets most of the requests because it fails them fast.
		r := startReplica("r", func(a *receivedRequest) bool { return respond(a, 500, sealed, "no") })
		w := newFixture(atMostOnce, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("x", "GET", ""))
		Expect(to.status).To(Equal(500))
		Expect(p.released).To(Equal([]admission.Result{admission.Failed}))
	})

	It("releases the permit of a replica that can't be connected to as failed", func() {
		r := startReplica("r", respondOK)
		w := newFixture(atMostOnce, r)
		_ = r.listener.Close()
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		w.serve(w.call("x", "GET", ""))
		Expect(p.released).To(ContainElement(admission.Failed))
	})

	It("releases the permit at the end of a stream", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		w.serve(w.call("x", "GET", ""))
		Expect(p.released).To(Equal([]admission.Result{admission.Completed}))
	})

	It("releases the permit if a panic ends the call", func() {
		// Guards against a place that is occupied for good: the HTTP server recovers panics of its
		// handlers, and the daemon would list the permit as held from then on.
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		serve := func() { w.relay.Serve(context.Background(), w.call("x", "GET", ""), panickingSink{&recordingSink{}}) }
		Expect(serve).To(Panic())
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned}))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})

	It("does not blame a replica if the write to the caller fails", func() {
		// Guards against a replica that gets one permit at a time because of a caller that does not
		// read its response.
		r := startReplica("r", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return streamEnd(a)
		})
		w := newFixture(stream, r)
		p := &scriptedPermits{needed: true, acquire: grants(r)}
		w.relay.Permits = p
		w.relay.Serve(context.Background(), w.call("x", "GET", ""), brokenSink{&recordingSink{}})
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned}))
	})

	DescribeTable("reports the service as saturated by the requests in flight", func(before []int, rejects bool, want int) {
		// Guards against requests without permits until the first late response, while all replicas are full.
		script := respondOK
		if rejects {
			script = func(a *receivedRequest) bool { return reset(a.conn) }
		}
		a, b := startReplica("a", script), startReplica("b", respondOK)
		w := newFixture(idempotent, a, b)
		p := &scriptedPermits{}
		w.relay.Permits = p
		for i, r := range []*replica{a, b} {
			for range before[i] {
				w.relay.Placer.Loads.Begin(r.LoadKey())
			}
		}
		w.serve(w.call("x", "GET", ""))
		Expect(p.reports()).To(Equal(want))
	},
		Entry("if no replica has a free place", []int{10, 11}, false, 1),
		Entry("not if one has", []int{9, 11}, false, 0),
		Entry("not for an attempt that leaves out a replica with free places", []int{0, 20}, true, 0),
	)

	DescribeTable("reports the service as saturated", func(target time.Duration, script func(a *receivedRequest) bool, want int) {
		r := startReplica("r", script)
		w := newFixture(routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1, FirstByteTarget: target}, r)
		p := &scriptedPermits{}
		w.relay.Permits = p
		w.serve(w.call("x", "GET", ""))
		Expect(p.reports()).To(Equal(want))
	},
		Entry("if a replica rejects a request", time.Minute, respondRejected, 1),
		Entry("not if it asks for a backoff", time.Minute, func(a *receivedRequest) bool {
			return respond(a, 503, "Not-Executed: full\r\nRetry-After: 1\r\n", "")
		}, 0),
		Entry("not if another replica responds", time.Minute, func(a *receivedRequest) bool {
			return respond(a, 421, "Not-Executed: full\r\n", "")
		}, 0),
		Entry("if a response is later than three quarters of the target", 80*time.Millisecond, func(a *receivedRequest) bool {
			time.Sleep(70 * time.Millisecond)
			return respondOK(a)
		}, 1),
		Entry("not if it is sooner", time.Minute, respondOK, 0),
		Entry("not if the connection breaks", time.Minute, func(a *receivedRequest) bool { return reset(a.conn) }, 0),
	)
})
