package relay_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// Guards against streams that end, or leave a replica, although a replica that had them could go on: orders of events around
// a return.
var _ = Describe("A stream that may return", func() {
	// A return that could not be made was forgotten: the first replica backed off when the second one was slow, and no more
	// when the second one's connection broke.
	It("returns after a break though an earlier return was not possible", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return hangInStream(a)
			}
			return resumeAfterThree(a)
		})
		other := startReplica("r2", func(a *receivedRequest) bool {
			time.Sleep(1700 * time.Millisecond)
			streamHead(a)
			chunk(a, event(2)+event(3))
			time.Sleep(soon)
			return reset(a.conn)
		})
		w := newFixture(resumable, first)
		w.onceBegun(other)
		time.AfterFunc(time.Second, func() {
			w.relay.Placer.Backoffs.Record(&first.Replica, 900*time.Millisecond, "b", time.Now())
		})
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(5 * time.Second)
		to, _ := w.serve(c)
		Expect(other.count()).To(Equal(1))
		Expect(string(to.body)).To(Equal(fourEvents))
	})

	// A replica that paused was closed for one that had been silent before, since a third one rejected the stream.
	It("stays at a replica that pauses if another one rejects it, and the first one had been silent", func() {
		route := resumable
		route.MaxAttempts = 3
		first := startReplica("r1", awaitClose)
		other := startReplica("r2", func(a *receivedRequest) bool {
			if a.index > 0 {
				return resumeAfterThree(a)
			}
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			time.Sleep(1500 * time.Millisecond)
			chunk(a, event(4))
			return streamEnd(a)
		})
		third := startReplica("r3", reject)
		w := newFixture(route, first)
		w.onceBegun(other)
		time.AfterFunc(700*time.Millisecond, func() { w.setReplicas(first, other, third) })
		c := w.call("a", "POST", "x")
		c.Deadline = time.Now().Add(5 * time.Second)
		to, _ := w.serve(c)
		Expect(string(to.body)).To(Equal(fourEvents))
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{1, 1, 1}))
	})

	// The second replica may have crashed on the request, and the first one fallen silent on it.
	It("does not return after a crash because a further replica rejects it", func() {
		route := resumable
		route.MaxAttempts = 3
		first := startReplica("r1", silentOnce)
		var other *replica
		other = startReplica("r2", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1)+event(2)+event(3))
			time.Sleep(soon)
			return other.crash()
		})
		third := startReplica("r3", reject)
		w := newFixture(route, first)
		w.onceBegun(other)
		time.AfterFunc(300*time.Millisecond, func() { w.setReplicas(first, other, third) })
		w.serve(w.call("a", "POST", "x"))
		Expect([]int{first.count(), other.count(), third.count()}).To(Equal([]int{1, 1, 1}))
	})

	It("leaves nothing behind if its caller leaves during the return", func() {
		first := startReplica("r1", awaitClose)
		other := startReplica("r2", breaksAfterThree)
		w := newFixture(resumable, first)
		w.onceBegun(other)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(700*time.Millisecond, cancel)
		w.relay.Serve(ctx, w.call("a", "POST", "x"), &recordingSink{})
		Expect(first.count()).To(Equal(2))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})

	It("releases the permits of all its attempts, in order", func() {
		first, other := startReplica("r1", silentOnce), startReplica("r2", breaksAfterThree)
		w := newFixture(resumable, first)
		n := 0
		p := &scriptedPermits{atReplica: func(r *routing.Replica, _ bool) relay.Permit {
			n++
			return relay.PermitGranted{Service: "s", ID: admission.PermitID(n), Replica: r.LoadKey()}
		}}
		w.relay.Permits = p
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(fourEvents))
		Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Failed, admission.Completed}))
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
	})
})
