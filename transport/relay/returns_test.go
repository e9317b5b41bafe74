package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

var _ = Describe("A call that two replicas have had", func() {
	slow := func(d time.Duration) func(*receivedRequest) bool {
		return func(a *receivedRequest) bool {
			time.Sleep(d)
			return respondOK(a)
		}
	}
	// Sound replicas that take 1.9 s were closed after 1.25 s, and ran the call twice each until its deadline.
	It("is not sent back if it is a plain request that takes long", func() {
		first, other := startReplica("r1", slow(1900*time.Millisecond)), startReplica("r2", slow(1900*time.Millisecond))
		w := newFixture(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, first, other)
		c := w.call("a", "GET", "")
		c.Deadline = time.Now().Add(3500 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(first.count() + other.count()).To(Equal(2))
		Expect(to.status).To(Equal(200))
	})

	// The same happened to streams before their header.
	It("is not sent back if it is a stream that has not begun", func() {
		head := func(a *receivedRequest) bool {
			time.Sleep(1900 * time.Millisecond)
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			return streamEnd(a)
		}
		first, other := startReplica("r1", head), startReplica("r2", head)
		w := newFixture(resumable, first, other)
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(3500 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(first.count() + other.count()).To(Equal(2))
		Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
	})

	// The second one was closed for the first one, which hangs for good.
	It("stays at the second one, which is slow, if the first one says nothing after the return", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return hangInStream(a)
			}
			return awaitClose(a)
		})
		other := startReplica("r2", sendRest(2*time.Second))
		w := newFixture(resumable, first)
		w.onceBegun(other)
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(4500 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
		Expect(other.count()).To(Equal(1))
	})

	// The route allows two replicas: what can't return must not go to another one.
	DescribeTable("is not sent to a third replica in place of a return", func(change func(w *fixture, first, other, third *replica)) {
		first := startReplica("r1", hangInStream)
		other := startReplica("r2", awaitClose)
		third := startReplica("r3", sendRest(0))
		w := newFixture(resumable, first)
		w.onceBegun(other)
		time.AfterFunc(1000*time.Millisecond, func() { change(w, first, other, third) })
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(4500 * time.Millisecond)
		w.serve(c)
		Expect(third.count()).To(Equal(0))
	},
		Entry("left", func(w *fixture, _, other, third *replica) { w.setReplicas(other, third) }),
		Entry("backs off", func(w *fixture, first, other, third *replica) {
			w.relay.Placer.Backoffs.Record(&first.Replica, time.Minute, "c", time.Now())
			w.setReplicas(first, other, third)
		}),
		Entry("ended", func(w *fixture, first, other, third *replica) {
			first.listener.Close()
			w.setReplicas(first, other, third)
		}),
	)

	// A sound response that paused for .5 s was thrown away, and the call lost at its deadline.
	DescribeTable("keeps a plain response whose body is slow", func(attempts int) {
		slowBody := func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"Content-Length: 4\r\n\r\nfi")
			time.Sleep(700 * time.Millisecond)
			return write(a, "ne")
		}
		r1, r2, r3 := startReplica("r1", slowBody), startReplica("r2", slowBody), startReplica("r3", slowBody)
		w := newFixture(routing.Route{Kind: routing.Idempotent, MaxAttempts: attempts}, r1, r2, r3)
		c := w.call("a", "GET", "")
		c.Deadline = time.Now().Add(900 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(to.status).To(Equal(200))
	}, Entry("two attempts", 2), Entry("three attempts", 3))

	// The second one was closed since the first one sent events of other streams.
	It("goes on at the second one if only its own stream hangs at the first one", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			if a.id() == "a" {
				chunk(a, event(1)+"id: 2\nda")
				return awaitClose(a)
			}
			for i := 1; ; i++ {
				if !write(a, fmt.Sprintf("%x\r\n%s\r\n", len(event(i)), event(i))) {
					return false
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		other := startReplica("r2", sendRest(600*time.Millisecond))
		w := newFixture(resumable, first)
		b, begun := w.call("b", "POST", "x"), make(chan struct{})
		b.Route = &stream
		go w.relay.Serve(GinkgoT().Context(), b, &signalingSink{begun: begun})
		Eventually(begun, time.Second).Should(BeClosed())
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
	})

	// Events that had arrived were dropped with the chunk that held them.
	It("gets the complete events of a chunk that stalls until the deadline", func() {
		w := newFixture(stream, startReplica("r1", func(a *receivedRequest) bool {
			return stall(a, chunkedHead(a.id())+"40\r\n"+event(1))
		}))
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(800 * time.Millisecond)
		to, _ := w.serve(c)
		Expect(string(to.body)).To(Equal(event(1)))
	})

	// The retry that was reserved for a return is spent on a further replica later.
	It("is not sent to a third replica after a return for which a retry was reserved", func() {
		first := startReplica("r1", hangInStream)
		other := startReplica("r2", func(a *receivedRequest) bool {
			time.Sleep(2500 * time.Millisecond)
			return reset(a.conn)
		})
		third := startReplica("r3", sendRest(0))
		w := newFixture(resumable, first)
		w.onceBegun(other)
		time.AfterFunc(1000*time.Millisecond, func() { first.listener.Close() })
		time.AfterFunc(2300*time.Millisecond, func() { w.setReplicas(first, other, third) })
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(4500 * time.Millisecond)
		w.serve(c)
		Expect(third.count()).To(Equal(0))
	})

	// Both replicas answer a plain request with 500 while the first is silent: the answer must not take until the deadline
	// once nobody works on the request.
	It("gets an error response once the silent replica has ended", func() {
		first := startReplica("r1", func(a *receivedRequest) bool { time.Sleep(700 * time.Millisecond); return reset(a.conn) })
		other := startReplica("r2", func(a *receivedRequest) bool { return respond(a, 500, "", "bad") })
		w := newFixture(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, first)
		w.onceBegun(other)
		to, s := w.serve(w.call("a", "GET", ""))
		Expect(to.status).To(Equal(500))
		Expect(s.Total).To(BeNumerically("<", 1500*time.Millisecond))
	})
})

// hangInStream sends the first event of a stream and a part of the second one, and nothing more.
func hangInStream(a *receivedRequest) bool {
	streamHead(a)
	chunk(a, event(1)+"id: 2\nda")
	return awaitClose(a)
}

// sendRest returns a script that resumes the stream after its first event, after a time.
func sendRest(wait time.Duration) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool {
		time.Sleep(wait)
		streamHead(a)
		chunk(a, event(2)+event(3))
		return streamEnd(a)
	}
}
