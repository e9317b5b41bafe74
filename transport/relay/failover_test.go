package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
)

var _ = Describe("A replica that is silent for a moment", func() {
	allEvents := event(1) + event(2) + event(3)
	const silence = 1100 * time.Millisecond

	// pausing sends the first event, is silent for a while, and then sends the rest.
	pausing := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1)+"id: 2\nda")
		time.Sleep(silence)
		chunk(a, "ta: 2\n\n"+event(3))
		return streamEnd(a)
	}
	// late begins its response after the silence.
	late := func(a *receivedRequest) bool {
		time.Sleep(silence)
		streamHead(a)
		chunk(a, allEvents)
		return streamEnd(a)
	}
	rejecting := func(a *receivedRequest) bool { return respond(a, 503, "Not-Executed: 1\r\n", "") }

	// serveFrom serves a stream that begins at the first replica, and goes on there in the end.
	serveFrom := func(w *fixture) {
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Outcome).To(HaveField("Status", 200))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	}

	// A stream was broken off, and its caller's connection closed, although its replica went on a moment later.
	DescribeTable("goes on with its stream if there is no other replica for it", func(script func(*receivedRequest) bool) {
		serveFrom(newFixture(resumable, startReplica("r1", script)))
	},
		Entry("after the first event", pausing),
		Entry("before the first event", late),
	)

	It("goes on with its stream if the others are of another version", func() {
		w := newFixture(resumable, startVersion("r1", "v1", pausing))
		other := startVersion("r2", "v2", late)
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(BeZero())
	})

	It("goes on with its stream if the others want no requests", func() {
		w := newFixture(resumable, startReplica("r1", pausing))
		other := startReplica("r2", late)
		w.relay.Placer.Backoffs.Record(&other.Replica, time.Minute, "b", time.Now())
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(BeZero())
	})

	It("goes on with its stream if the budget has no retry", func() {
		w := newFixture(resumable, startReplica("r1", pausing))
		w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Window: time.Second}, 1)
		other := startReplica("r2", late)
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(BeZero())
	})

	DescribeTable("goes on with its stream if another one rejects it", func(script func(*receivedRequest) bool) {
		w := newFixture(resumable, startReplica("r1", script))
		other := startReplica("r2", rejecting)
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(Equal(1))
	},
		Entry("after the first event", pausing),
		Entry("before the first event", late),
	)

	It("goes on with its stream if another one can't be reached", func() {
		w := newFixture(resumable, startReplica("r1", pausing))
		other := startReplica("r2", rejecting)
		other.crash()
		w.onceBegun(other)
		serveFrom(w)
	})

	It("goes on with its stream if another one breaks off before its first event", func() {
		w := newFixture(resumable, startReplica("r1", pausing))
		other := startReplica("r2", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, "id: 2\nda")
			return reset(a.conn)
		})
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(Equal(1))
	})

	It("goes on with its stream if it speaks before another one", func() {
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+"id: 2\nda")
			time.Sleep(650 * time.Millisecond) // .15 s after the event timeout
			chunk(a, "ta: 2\n\n"+event(3))
			return streamEnd(a)
		}))
		gone := make(chan struct{}, 1)
		other := startReplica("r2", func(a *receivedRequest) bool {
			defer func() { gone <- struct{}{} }()
			return awaitClose(a)
		})
		w.onceBegun(other)
		serveFrom(w)
		Expect(other.count()).To(Equal(1))
		Eventually(gone, time.Second).Should(Receive(), "the attempt at it has ended")
	})

	// A stream was left to a second replica that had not rejected it, but was only silent too, and rejected it later.
	It("goes on with its stream if another one is silent on all its streams", func() {
		other := startReplica("r2", func(a *receivedRequest) bool {
			if a.id() != "a" {
				streamHead(a)
				chunk(a, event(1))
				return awaitClose(a)
			}
			time.Sleep(500 * time.Millisecond)
			return rejecting(a)
		})
		first := startReplica("r1", pausing)
		w := newFixture(resumable, first)
		defer w.beginStreams(other, "b", "c")()
		w.onceBegun(other)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Attempts).To(HaveLen(2))
		Expect(other.count()).To(Equal(3))
		Expect(first.count()).To(Equal(1), "the call does not leave it")
	})

	// A stream was left to a second replica that sent nothing at all, and the first one, which had paused, was not asked again.
	It("gets its stream back if another one without other streams says nothing", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return pausing(a)
			}
			streamHead(a)
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		})
		w := newFixture(resumable, first)
		began, gone := make(chan time.Time, 1), make(chan time.Time, 1)
		other := startReplica("r2", func(a *receivedRequest) bool {
			began <- time.Now()
			defer func() { gone <- time.Now() }()
			return awaitClose(a)
		})
		w.onceBegun(other)
		serveFrom(w)
		Expect(first.count()).To(Equal(2), "the call goes back to it")
		Expect((<-gone).Sub(<-began)).To(BeNumerically("<", 2*time.Second))
	})

	// A daemon of a large fleet has no other streams at most replicas, and a replica that reads a long prompt takes a while.
	It("is left to another one that responds late and has no other streams", func() {
		w := newFixture(resumable, startReplica("r1", hangInStream))
		other := startReplica("r2", sendRest(600*time.Millisecond))
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
	})

	// A stream that ends with its connection looked complete although it was reset, since the watch had read the reset.
	It("is broken off if its connection is reset while another one is asked", func() {
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"\r\n"+event(1))
			time.Sleep(580 * time.Millisecond) // .08 s after the event timeout
			return reset(a.conn)
		}))
		w.onceBegun(startReplica("r2", func(a *receivedRequest) bool {
			time.Sleep(150 * time.Millisecond)
			return rejecting(a)
		}))
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(event(1)))
		Expect(to.broken).To(BeTrue())
	})

	// lateRejection rejects a request when the first replica has been closed for it.
	lateRejection := func(a *receivedRequest) bool {
		time.Sleep(400 * time.Millisecond)
		return rejecting(a)
	}

	// wellThenLate sends events of other streams meanwhile, so that the silent replica's stream is left to it.
	wellThenLate := func(a *receivedRequest) bool {
		if a.id() == "a" {
			return lateRejection(a)
		}
		streamHead(a)
		for i := 1; ; i++ {
			if !write(a, fmt.Sprintf("%x\r\n%s\r\n", len(event(i)), event(i))) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}

	// The stream of a replica that has ended must not be kept from one that is well and takes a while until its header.
	It("is left to another one that responds late, if that alone sends events of other streams", func() {
		gone, began := make(chan time.Time, 1), make(chan time.Time, 1)
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+"id: 2\nda")
			defer func() { gone <- time.Now() }()
			return awaitClose(a)
		}))
		other := startReplica("r2", func(a *receivedRequest) bool {
			if a.id() != "a" {
				return wellThenLate(a)
			}
			began <- time.Now()
			time.Sleep(600 * time.Millisecond)
			streamHead(a)
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		})
		end := w.beginStreams(other, "b")
		defer end()
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect((<-gone).Sub(<-began)).To(BeNumerically("<", 310*time.Millisecond))
	})

	// A stream was broken off because a second replica rejected it after the silent one had been closed.
	It("gets its stream back if another one rejects it late", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			if a.request.Header.Get("Last-Event-Id") == "1" {
				chunk(a, event(2)+event(3))
				return streamEnd(a)
			}
			chunk(a, event(1)+"id: 2\nda")
			return awaitClose(a)
		})
		w := newFixture(resumable, first)
		other, third := startReplica("r2", lateRejection), startReplica("r3", respondOK)
		w.onceBegun(other)
		time.AfterFunc(800*time.Millisecond, func() { w.setReplicas(first, other, third) })
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(first.count()).To(Equal(2))
		Expect(other.count()).To(Equal(1))
		Expect(third.count()).To(BeZero(), "the route allows two replicas")
	})

	// A stream ended although a third replica had room, because the silent one that it had left could not get it back.
	DescribeTable("does not get its stream back, but a third one does, after another one rejects it late", func(isCoordinated bool, change func(w *fixture, first, other, third *replica)) {
		first := startReplica("r1", hangInStream)
		w := newFixture(resumable, first)
		other, third := startReplica("r2", wellThenLate), startReplica("r3", sendRest(0))
		if isCoordinated {
			w.relay.Permits = &scriptedPermits{needed: true, acquire: grants(other, first, other, third)}
		}
		defer w.beginStreams(other, "b")()
		w.onceBegun(other)
		time.AfterFunc(800*time.Millisecond, func() { change(w, first, other, third) })
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{1, 2, 1}))
	},
		Entry("if it has left", false, func(w *fixture, _, other, third *replica) { w.setReplicas(other, third) }),
		Entry("if it wants no requests", false, func(w *fixture, first, other, third *replica) {
			w.relay.Placer.Backoffs.Record(&first.Replica, time.Minute, "c", time.Now())
			w.setReplicas(first, other, third)
		}),
		Entry("if a coordinator chooses the replicas of its service", true, func(w *fixture, first, other, third *replica) {
			w.setReplicas(first, other, third)
		}),
	)

	// A request that the silent replica may have run was refused as not run, because another one rejected it.
	It("is not forgotten in the response to a plain request that another one rejects late", func() {
		first := startReplica("r1", awaitClose)
		w := newFixture(idempotent, first)
		other := startReplica("r2", lateRejection)
		w.onceBegun(other)
		time.AfterFunc(600*time.Millisecond, func() { w.setReplicas(other) })
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(other.count()).To(Equal(1))
		Expect(to.refusal).To(beMayHaveRun())
	})

	It("is left to another one that goes on, as soon as that has an event", func() {
		w := newFixture(resumable, startReplica("r1", hangInStream))
		other := startReplica("r2", sendRest(0))
		w.onceBegun(other)
		c := w.call("a", "POST", "x")
		to, s := w.serve(c)
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveLen(2))
		Expect([]routing.ReplicaID{s.Attempts[0].Replica, s.Attempts[1].Replica}).To(Equal([]routing.ReplicaID{"r1", "r2"}))
		Expect(s.Attempts[0].Duration).To(BeNumerically("<", 600*time.Millisecond), "the event timeout")
		Expect(s.Total).To(BeNumerically("<", 700*time.Millisecond))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})

	It("answers a plain request if another one rejects it", func() {
		w := newFixture(idempotent, startReplica("r1", func(a *receivedRequest) bool {
			time.Sleep(silence)
			return respondOK(a)
		}))
		other := startReplica("r2", rejecting)
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(to.status).To(Equal(200))
		Expect(other.count()).To(Equal(1))
	})

	It("goes on after a second one that was silent too, and keeps its permit meanwhile", func() {
		r1, r2 := startReplica("r1", func(a *receivedRequest) bool {
			time.Sleep(400 * time.Millisecond)
			streamHead(a)
			chunk(a, allEvents)
			return streamEnd(a)
		}), startReplica("r2", awaitClose)
		w := newFixture(resumable, r1, r2)
		p := &scriptedPermits{needed: true, acquire: grants(r1, r2)}
		w.relay.Permits = p
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Completed}), "the second one's first")
	})
})

// signalingSink closes a channel when a stream begins.
type signalingSink struct {
	recordingSink
	begun chan struct{}
}

// Begin implements [relay.Sink].
func (s *signalingSink) Begin(int, http.Header) error {
	close(s.begun)
	return nil
}

// setReplicas replaces the replicas of the view.
func (w *fixture) setReplicas(replicas ...*replica) {
	changed, pool := *w.currentView(), &routing.Pool{}
	for _, r := range replicas {
		pool.Ready = append(pool.Ready, r.Replica)
	}
	changed.Pools = map[routing.ServiceName]*routing.Pool{"s": pool}
	w.setView(&changed)
}

// beginStreams begins streams at a replica that is not in the view. The result ends them.
func (w *fixture) beginStreams(at *replica, ids ...string) (end func()) {
	defer w.setView(w.currentView())
	w.setReplicas(at)
	ctx, cancel := context.WithCancel(context.Background())
	for _, id := range ids {
		c, begun := w.call(id, "POST", "x"), make(chan struct{})
		c.Route = &stream
		go w.relay.Serve(ctx, c, &signalingSink{begun: begun})
		Eventually(begun, time.Second).Should(BeClosed())
	}
	return cancel
}

// onceBegun adds a replica to the view when the only one so far has got its request.
func (w *fixture) onceBegun(other *replica) {
	first := w.view.Pools["s"].Ready[0]
	changed := *w.view
	changed.Pools = map[routing.ServiceName]*routing.Pool{"s": {Ready: []routing.Replica{first, other.Replica}}}
	time.AfterFunc(150*time.Millisecond, func() { w.setView(&changed) })
}
