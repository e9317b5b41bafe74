package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// unframedHead writes the header of a response that has neither a length nor chunks.
func unframedHead(a *receivedRequest, headers string) {
	write(a, "HTTP/1.1 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+headers+"\r\n")
}

const eventStream = "Content-Type: text/event-stream\r\n"

// unframedPart writes the header of a response that ends with its connection, and a part of the response.
func unframedPart(a *receivedRequest, streams bool) {
	if streams {
		unframedHead(a, eventStream)
		write(a, event(1))
		return
	}
	unframedHead(a, "")
	write(a, "fi")
}

// outcome is what a caller sees of a response.
type outcome int

const (
	whole     outcome = iota
	refused           // nothing was forwarded, and it may have run
	brokenOff         // a part of a stream was forwarded, and the caller can tell
)

func outcomeOf(to *recordingSink) outcome {
	switch {
	case to.broken:
		return brokenOff
	case to.refusal != nil:
		return refused
	}
	return whole
}

// routeOf returns the route of a response. A stream has one attempt, so that the caller sees how it ended.
func routeOf(streams bool) routing.Route {
	if !streams {
		return atMostOnce
	}
	route := resumable
	route.MaxAttempts = 1
	return route
}

// Guards against responses that end with their connection and are taken for whole although they were broken
// off, or for broken off although they are whole.
var _ = Describe("Response that ends with its connection", func() {
	DescribeTable("over this daemon's own link", func(streams bool, script func(a *receivedRequest) bool, want outcome, body string) {
		w := newFixture(routeOf(streams), startReplica("r", script))
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(outcomeOf(to)).To(Equal(want))
		Expect(string(to.body)).To(Equal(body))
	},
		Entry("whole", false, func(a *receivedRequest) bool { unframedHead(a, ""); write(a, "fine"); return false }, whole, "fine"),
		Entry("whole, Connection: close", false, func(a *receivedRequest) bool {
			unframedHead(a, "Connection: close\r\n")
			write(a, "fine")
			return false
		}, whole, "fine"),
		Entry("whole, HTTP/1.0", false, func(a *receivedRequest) bool {
			write(a, "HTTP/1.0 200 OK\r\nAttempt-Id: "+a.id()+"\r\n"+sealed+"\r\nfine")
			return false
		}, whole, "fine"),
		Entry("empty", false, func(a *receivedRequest) bool { unframedHead(a, ""); return false }, whole, ""),
		Entry("reset instead of an end", false, func(a *receivedRequest) bool {
			unframedHead(a, "")
			write(a, "fi")
			time.Sleep(20 * time.Millisecond) // the part arrives
			return reset(a.conn)
		}, refused, ""),
		Entry("length not reached", false, func(a *receivedRequest) bool {
			unframedHead(a, "Content-Length: 4\r\n")
			write(a, "fi")
			return false
		}, refused, ""),
		Entry("stream, whole", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1)+event(2))
			return false
		}, whole, event(1)+event(2)),
		Entry("stream that ends inside an event", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1)+"id: 2\nda")
			return false
		}, brokenOff, event(1)),
		Entry("stream that ends before its first event", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			return false
		}, refused, ""),
		Entry("stream that ends inside its first event", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, "id: 1\nda")
			return false
		}, refused, ""),
		Entry("stream, reset after a whole event", true, func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1))
			time.Sleep(20 * time.Millisecond)
			return reset(a.conn)
		}, brokenOff, event(1)),
	)

	// Guards against a stream that is given to the caller as a whole one, without an event, although its replica stopped.
	It("is a stream that another replica serves, if the first one's ends before its first event", func() {
		stops := func(a *receivedRequest) bool { unframedHead(a, eventStream); return false }
		serves := func(a *receivedRequest) bool { unframedHead(a, eventStream); write(a, event(1)); return false }
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return stops(a)
			}
			return serves(a)
		}
		route := resumable
		route.MaxAttempts = 2
		w := newFixture(route, startReplica("a", script), startReplica("b", script))
		to, s := w.serve(w.call("1", "POST", "x"))
		Expect(outcomeOf(to)).To(Equal(whole))
		Expect(string(to.body)).To(Equal(event(1)))
		Expect(s.Attempts).To(HaveLen(2))
	})

	// Guards against a stream that can't end: a replica that resumes one after its last event has no event to send.
	It("is a whole stream without an event if it was resumed after its last event", func() {
		w := newFixture(routeOf(true), startReplica("r", func(a *receivedRequest) bool { unframedHead(a, eventStream); return false }))
		c := w.call("1", "POST", "x")
		c.LastEventID = "2"
		to, _ := w.serve(c)
		Expect(outcomeOf(to)).To(Equal(whole))
		Expect(to.body).To(BeEmpty())
	})

	DescribeTable("through another daemon", func(streams, dies bool, want outcome, body string) {
		var carrier *carrierPeer
		script := func(a *receivedRequest) bool {
			unframedPart(a, streams)
			time.Sleep(50 * time.Millisecond) // the part arrives
			if dies {
				carrier.die()
				time.Sleep(100 * time.Millisecond)
			}
			return false
		}
		a, b := startReplica("a", script), startReplica("b", script)
		carrier = startCarrier(a, b)
		w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{carrier}, a, b)
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(outcomeOf(to)).To(Equal(want))
		Expect(string(to.body)).To(Equal(body))
	},
		Entry("whole", false, false, whole, "fi"),
		Entry("whole stream", true, false, whole, event(1)),
		Entry("the other daemon dies", false, true, refused, ""),
		Entry("the other daemon dies between two events", true, true, brokenOff, event(1)),
	)

	// Guards against truncated responses that look complete at daemons without links, since the daemon that opened the
	// connection passes on the ordinary end that the operating system of a killed replica sends.
	DescribeTable("through another daemon, of a replica that is killed", func(streams bool, want outcome) {
		replicas := make(map[string]*replica)
		script := func(a *receivedRequest) bool {
			unframedPart(a, streams)
			time.Sleep(50 * time.Millisecond) // the part arrives
			return replicas[a.request.Header.Get("Expect-Replica")].kill()
		}
		replicas["a"], replicas["b"] = startReplica("a", script), startReplica("b", script)
		w := newCutFixture(routeOf(streams), refusingLink, []*carrierPeer{startCarrier(replicas["a"], replicas["b"])}, replicas["a"], replicas["b"])
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(outcomeOf(to)).To(Equal(want))
	},
		Entry("response", false, refused),
		Entry("stream", true, brokenOff),
	)
})
