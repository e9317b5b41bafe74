package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// Guards against a response of which nobody can tell afterwards how its end was known: a stream that was cut off and taken
// for complete leaves the same line as a whole one.
var _ = Describe("End of a response", func() {
	DescribeTable("is in the attempt", func(streams bool, script func(a *receivedRequest) bool, end routing.EndBasis, conn relay.ConnEnd) {
		w := newFixture(routeOf(streams), startReplica("r", script))
		c := w.call("1", "POST", "x")
		c.Deadline = c.Arrived.Add(time.Second)
		_, s := w.serve(c)
		Expect(s.Attempts).To(HaveLen(1))
		Expect(s.Attempts[0].End).To(Equal(end))
		Expect(s.Attempts[0].ConnEnd).To(Equal(conn))
	},
		Entry("length", false, respondOK, routing.EndByLength, relay.ConnNotEnded),
		Entry("chunks", true, func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return streamEnd(a)
		}, routing.EndByChunks, relay.ConnNotEnded),
		Entry("neither", true, func(a *receivedRequest) bool { unframedHead(a, eventStream); write(a, event(1)); return false },
			routing.EndByConnection, relay.ConnNotEnded),
		Entry("closed before the length is reached", false, func(a *receivedRequest) bool {
			unframedHead(a, "Content-Length: 4\r\n")
			write(a, "fi")
			return false
		}, routing.EndUnknown, relay.ConnClosed),
		Entry("closed inside an event", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1)+"id: 2\nda")
			return false
		}, routing.EndUnknown, relay.ConnClosed),
		Entry("reset", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1))
			time.Sleep(20 * time.Millisecond) // the part arrives
			return reset(a.conn)
		}, routing.EndUnknown, relay.ConnReset),
		Entry("silent until the deadline", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1))
			return awaitClose(a)
		}, routing.EndUnknown, relay.ConnTimedOut),
		Entry("reset before the response", false, func(a *receivedRequest) bool { return reset(a.conn) }, routing.EndUnknown, relay.ConnNotEnded),
	)

	It("through another daemon is in the attempt", func() {
		var carrier *carrierPeer
		dies := false
		script := func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1))
			time.Sleep(50 * time.Millisecond) // the part arrives
			if dies {
				carrier.die()
				time.Sleep(100 * time.Millisecond)
			}
			return false
		}
		a, b := startReplica("a", script), startReplica("b", script)
		carrier = startCarrier(a, b)
		w := newCutFixture(routeOf(true), refusingLink, []*carrierPeer{carrier}, a, b)
		_, s := w.serve(w.call("1", "POST", "x"))
		last := s.Attempts[len(s.Attempts)-1]
		Expect(last.Via).NotTo(BeEmpty())
		Expect(last.End).To(Equal(routing.EndByPeerReport))
		dies = true
		_, s = w.serve(w.call("2", "POST", "x"))
		last = s.Attempts[len(s.Attempts)-1]
		Expect(last.End).To(Equal(routing.EndUnknown))
		Expect(last.ConnEnd).To(Equal(relay.ConnClosed))
	})
})
