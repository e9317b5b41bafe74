package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// fourEvents is the body of a complete stream.
var fourEvents = event(1) + event(2) + event(3) + event(4)

// soon is when a connection breaks, or a replica crashes, after its last event.
const soon = 100 * time.Millisecond

// resumeAfterThree sends the rest of a stream of which the caller has three events.
func resumeAfterThree(a *receivedRequest) bool {
	streamHead(a)
	if a.request.Header.Get("Last-Event-Id") == "3" {
		chunk(a, event(4))
	}
	return streamEnd(a)
}

// silentOnce sends nothing for its first request.
func silentOnce(a *receivedRequest) bool {
	if a.index == 0 {
		return awaitClose(a)
	}
	return resumeAfterThree(a)
}

// breaksAfterThree sends three events, and resets the connection soon after.
func breaksAfterThree(a *receivedRequest) bool {
	streamHead(a)
	chunk(a, event(1)+event(2)+event(3))
	time.Sleep(soon)
	return reset(a.conn)
}

// reject rejects a request without running it.
func reject(a *receivedRequest) bool { return respond(a, 503, "Not-Executed: 1\r\n", "") }

// Guards against streams that are broken off although the replica which had them first could go on: it was silent for a
// moment, another one took the stream over, and the connection to that one broke, when the route allows no further replica.
var _ = Describe("A stream whose second replica's connection breaks", func() {
	It("goes on at the first one after the last event, and at no third one", func() {
		first, other, third := startReplica("r1", silentOnce), startReplica("r2", breaksAfterThree), startReplica("r3", respondOK)
		w := newFixture(resumable, first)
		w.onceBegun(other)
		time.AfterFunc(300*time.Millisecond, func() { w.setReplicas(first, other, third) })
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(fourEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Outcome).To(HaveField("Status", 200))
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{2, 1, 0}))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})

	It("goes on at the first one if that was silent inside the stream", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return hangInStream(a)
			}
			return resumeAfterThree(a)
		})
		other := startReplica("r2", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(2)+event(3))
			time.Sleep(soon)
			return reset(a.conn)
		})
		w := newFixture(resumable, first)
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(fourEvents))
		Expect(to.broken).To(BeFalse())
	})

	// Calls that returned again and again ran four times where the route allows two replicas.
	DescribeTable("returns once", func(again func(a *receivedRequest) bool) {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return awaitClose(a)
			}
			return again(a)
		})
		other, third := startReplica("r2", breaksAfterThree), startReplica("r3", respondOK)
		w := newFixture(resumable, first)
		w.onceBegun(other)
		time.AfterFunc(300*time.Millisecond, func() { w.setReplicas(first, other, third) })
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(2 * time.Second)
		to, _ := w.serve(c)
		Expect(to.broken).To(BeTrue())
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{2, 1, 0}))
	},
		Entry("if the first one breaks its connection before it responds", func(a *receivedRequest) bool { return reset(a.conn) }),
		Entry("if the first one breaks its connection inside the response", func(a *receivedRequest) bool {
			streamHead(a)
			time.Sleep(soon)
			return reset(a.conn)
		}),
		Entry("if the first one rejects it", reject),
		Entry("if the first one is silent again", awaitClose),
	)

	// doesNotReturn plays a stream that the first replica must not get again.
	doesNotReturn := func(w *fixture, first, other *replica) {
		GinkgoHelper()
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
		Expect(to.broken).To(BeTrue())
		Expect([]int{first.count(), other.count()}).To(Equal([]int{1, 1}))
	}

	It("does not return to a replica of another version than the events have", func() {
		first := startVersion("r1", "v1", silentOnce)
		doesNotReturn(newFixture(resumable, first), first, startVersion("r2", "v2", breaksAfterThree))
	})

	It("does not return without a retry in the budget", func() {
		first := startReplica("r1", silentOnce)
		w := newFixture(resumable, first)
		w.relay.Budgets = routing.NewRetryBudgets(routing.RetryRule{Extra: 1.5, Window: 10 * time.Second}, 1) // one retry
		doesNotReturn(w, first, startReplica("r2", breaksAfterThree))
	})

	// The second replica may have crashed on the request, and the first one fallen silent on it.
	It("does not return if the second replica crashed", func() {
		first := startReplica("r1", silentOnce)
		var other *replica
		other = startReplica("r2", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			time.Sleep(soon)
			return other.crash()
		})
		doesNotReturn(newFixture(resumable, first), first, other)
	})

	It("is sent to a further replica if the route allows one", func() {
		route := resumable
		route.MaxAttempts = 3
		first, other := startReplica("r1", silentOnce), startReplica("r2", breaksAfterThree)
		third := startReplica("r3", resumeAfterThree)
		w := newFixture(route, first)
		w.onceBegun(other)
		time.AfterFunc(300*time.Millisecond, func() { w.setReplicas(first, other, third) })
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(fourEvents))
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{1, 1, 1}))
	})
})
