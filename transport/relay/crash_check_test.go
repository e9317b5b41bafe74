package relay_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// startCrashingReplica starts a replica that crashes once it has so many requests.
func startCrashingReplica(requests int) *replica {
	var arrived sync.WaitGroup
	arrived.Add(requests)
	var r *replica
	r = startReplica("r", func(*receivedRequest) bool {
		arrived.Done()
		arrived.Wait()
		return r.crash()
	})
	return r
}

var _ = Describe("A crash of a replica", func() {
	It("is recorded for all requests in flight after a single refused connection", func() {
		const requests = 6
		r := startCrashingReplica(requests)
		w := newFixture(atMostOnce, r)
		var served sync.WaitGroup
		for i := range requests {
			served.Go(func() { w.serve(w.call(string(rune('a'+i)), "POST", "x")) })
		}
		served.Wait()
		Expect(w.observer.crashedDuring).To(ConsistOf(routing.RequestID("a"), routing.RequestID("b"), routing.RequestID("c"), routing.RequestID("d"), routing.RequestID("e"), routing.RequestID("f")))
		_, why := w.relay.Placer.Health.Explain(&r.Replica, time.Now())
		Expect(why).To(ContainSubstring("ended"))
		to, s := w.serve(w.call("g", "POST", "y"))
		Expect(to.refusal).To(beNotRun())
		Expect(s.Attempts).To(ConsistOf(HaveField("Cold", true)), "no other replica is left, so it is tried as if it were cold")
		other := startReplica("other", respondOK)
		w.view.Pools["s"].Ready = append(w.view.Pools["s"].Ready, other.Replica)
		w.view.Pools["s"].Sort()
		for i := range 8 {
			to, s := w.serve(w.call(fmt.Sprint(i), "POST", "y"))
			Expect(to.status).To(Equal(200))
			Expect(s.Attempts).To(HaveLen(1), "it gets no requests while another replica is available")
		}
	})

	DescribeTable("is not recorded if the replica goes on running", func(script func(a *receivedRequest) bool) {
		r := startReplica("r", script)
		w := newFixture(atMostOnce, r)
		w.serve(w.call("a", "POST", "x"))
		Expect(w.observer.crashedDuring).To(BeEmpty())
		w.serve(w.call("b", "POST", "x"))
		Expect(r.connections()).To(BeNumerically("<=", 3), "the connection opened for the check is reused")
	},
		Entry("connection reset", func(a *receivedRequest) bool { return reset(a.conn) }),
		Entry("truncated response", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"Content-Length: 9\r\n\r\nx")
			return false
		}),
		Entry("malformed response", func(a *receivedRequest) bool { write(a, "none\r\n\r\n"); return false }),
		Entry("complete response", respondOK),
	)

	// findCarrier makes the check of a replica that refuses connections call a function, which looks for another daemon.
	findCarrier := func(w *fixture, find func()) {
		w.relay.Pool.UseDetours(&relay.Detours{Carriers: routing.NewCarriers(), Find: func(context.Context, routing.Search) (routing.Carrier, bool) {
			find()
			return routing.Carrier{}, false
		}})
	}

	// The others waited for the result of a check that had ended without one, until the process ended.
	It("ends the calls that wait for a check that panics", func() {
		const requests = 3
		var served sync.WaitGroup
		r := startCrashingReplica(requests)
		w := newFixture(atMostOnce, r)
		findCarrier(w, func() {
			time.Sleep(100 * time.Millisecond) // all requests wait
			panic("check")
		})
		panics := make(chan any, requests)
		for i := range requests {
			served.Go(func() {
				defer func() { panics <- recover() }()
				w.serve(w.call(string(rune('a'+i)), "POST", "x"))
			})
		}
		ended := make(chan struct{})
		go func() { served.Wait(); close(ended) }()
		Eventually(ended, 2*time.Second).Should(BeClosed())
		close(panics)
		var values []any
		for v := range panics {
			values = append(values, v)
		}
		Expect(values).To(ConsistOf("check", nil, nil), "one of them reports it")
		Expect(w.observer.crashedDuring).To(BeEmpty())
		Expect(w.relay.Pool.OpenConns()).To(Equal(w.relay.Pool.Idle()), "the connection that was to be opened is not counted")
	})

	// The first replica's stream waited for the check of the second one, although the call had gone back to the first.
	It("is recorded although the call does not wait for the check of a second replica, since the first one goes on", func() {
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			time.Sleep(700 * time.Millisecond) // .2 s after the event timeout
			chunk(a, event(2))
			return streamEnd(a)
		}))
		var other *replica
		other = startReplica("r2", func(*receivedRequest) bool { return other.crash() })
		findCarrier(w, func() { time.Sleep(time.Second) })
		w.onceBegun(other)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(event(1) + event(2)))
		Expect(other.count()).To(Equal(1))
		Expect(s.Total).To(BeNumerically("<", time.Second))
		crashes := func() []routing.RequestID {
			w.observer.mu.Lock()
			defer w.observer.mu.Unlock()
			return w.observer.crashedDuring
		}
		Eventually(crashes, 3*time.Second).Should(Equal([]routing.RequestID{"a"}), "it is evidence against the request")
	})

	It("is not waited for past the deadline", func() {
		var r *replica
		r = startReplica("r", func(*receivedRequest) bool { return r.crash() })
		w := newFixture(atMostOnce, r)
		findCarrier(w, func() { time.Sleep(time.Second) })
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived.Add(200 * time.Millisecond)
		_, s := w.serve(c)
		Expect(s.Total).To(BeNumerically("<", 500*time.Millisecond))
	})

	// The panic left no trace in any log: nobody waited for the check any more.
	It("reports the panic of a check that ends after its call", func() {
		var r *replica
		r = startReplica("r", func(*receivedRequest) bool { return r.crash() })
		w := newFixture(atMostOnce, r)
		findCarrier(w, func() {
			time.Sleep(400 * time.Millisecond) // twice as long as the call
			panic("check")
		})
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived.Add(200 * time.Millisecond)
		w.serve(c)
		panicked := func() []routing.RequestID {
			w.observer.mu.Lock()
			defer w.observer.mu.Unlock()
			return w.observer.panicked
		}
		Eventually(panicked, 2*time.Second).Should(Equal([]routing.RequestID{"a"}))
	})

	It("is not recorded for a request whose caller disconnected", func() {
		var r *replica
		arrived := make(chan struct{})
		r = startReplica("r", func(a *receivedRequest) bool {
			_ = r.listener.Close() // accepts no new connections but goes on with the request
			close(arrived)
			time.Sleep(50 * time.Millisecond)
			return r.crash()
		})
		w := newFixture(atMostOnce, r)
		ctx, disconnect := context.WithCancel(context.Background())
		go func() { <-arrived; disconnect() }()
		w.relay.Serve(ctx, w.call("a", "POST", "x"), &recordingSink{})
		Expect(w.observer.crashedDuring).To(BeEmpty())
	})
})

var _ = Describe("Connections", func() {
	It("to a replica's former incarnation are not used after it restarts under the same id", func() {
		r := startReplica("r", respondOK)
		r.Replica.StartTime = 1
		r.Replica = routing.NewReplica(r.Replica)
		w := newFixture(atMostOnce, r)
		w.serve(w.call("a", "POST", "x"))
		w.serve(w.call("b", "POST", "x"))
		Expect(r.connections()).To(Equal(1))
		again := *w.view
		r.Replica.StartTime = 2
		again.Pools = map[routing.ServiceName]*routing.Pool{"s": {Ready: []routing.Replica{routing.NewReplica(r.Replica)}}}
		w.view = &again
		w.serve(w.call("c", "POST", "x"))
		Expect(r.connections()).To(Equal(2))
	})
})
