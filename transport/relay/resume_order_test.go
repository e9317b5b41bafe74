package relay_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// These specs guard against events that a caller already has, or numbers that go back, in the response to a request that
// resumes a stream.
var _ = Describe("The events of a stream that its caller resumes after event 1", func() {
	rest := event(2) + event(3)

	// sending answers with text, in one piece.
	sending := func(text string) func(*receivedRequest) bool {
		return func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, text)
			return streamEnd(a)
		}
	}
	// breakingAfter sends text, and resets the connection.
	breakingAfter := func(text string) func(*receivedRequest) bool {
		return func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, text)
			return reset(a.conn)
		}
	}
	// silentAfter sends text, is silent for longer than an event is waited for, and then sends the rest.
	silentAfter := func(text, later string) func(*receivedRequest) bool {
		return func(a *receivedRequest) bool {
			streamHead(a)
			if text != "" {
				chunk(a, text)
			}
			time.Sleep(1100 * time.Millisecond)
			chunk(a, later)
			return streamEnd(a)
		}
	}
	resume := func(w *fixture) *relay.Call {
		c := w.call("b", "POST", "x")
		c.LastEventID, c.Resumes = "1", "a"
		return c
	}
	anew := event(1) + rest
	answers := map[string]string{
		"the first one again":                      anew,
		"the last one again":                       event(1),
		"the first one, its number after its data": "data: 1\nid: 1\n\n" + rest,
		"the first one, with lines that end in CR": strings.ReplaceAll(anew, "\n", "\r\n"),
		"one before it":                            event(0) + rest,
		"one before it, after one that is due":     event(2) + event(1),
		"the first one after a comment":            ": hello\n\n" + anew,
	}

	for name, text := range answers {
		It("are not passed on again by a replica that sends "+name, func() {
			w := newFixture(resumable, startReplica("r1", sending(text)))
			to, s := w.serve(resume(w))
			Expect(string(to.body)).To(BeEmpty())
			Expect(to.complete).To(BeFalse())
			Expect(s.Outcome).To(beMayHaveRun())
			Expect(s.FirstEvent).To(Equal(relay.NoEvent))
		})
	}

	It("are those after it if the caller writes its number with a zero", func() {
		w := newFixture(resumable, startReplica("r1", sending(anew)))
		c := resume(w)
		c.LastEventID = "01"
		to, _ := w.serve(c)
		Expect(string(to.body)).To(BeEmpty())
	})

	It("come from another replica if one sends them all again", func() {
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return sending(anew)(a)
			}
			return sending(rest)(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		to, s := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(rest))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.FirstEvent).To(Equal(int64(2)))
	})

	DescribeTable("end after the last one that was passed on if the second attempt sends again", func(text string) {
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return breakingAfter(event(2))(a)
			}
			return sending(text)(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		to, s := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(event(2)))
		Expect(to.broken).To(BeTrue())
		Expect(s.Attempts).To(HaveLen(2))
	},
		Entry("all", anew),
		Entry("those after the caller's", rest),
		Entry("its own last one", event(2)),
	)

	DescribeTable("go on at a silent replica if another one sends again", func(before, text string) {
		w := newFixture(resumable, startReplica("r1", silentAfter(before, strings.TrimPrefix(rest, before))))
		other := startReplica("r2", sending(text))
		w.onceBegun(other)
		to, _ := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(rest))
		Expect(to.broken).To(BeFalse())
		Expect(other.count()).To(Equal(1))
	},
		Entry("all, before the first event", "", anew),
		Entry("all, after an event", event(2), anew),
		Entry("the last one, after an event", event(2), event(2)),
	)

	// The silent replica goes on once another one has taken the stream over.
	It("are those of the replica that took the stream over, and none of the silent one", func() {
		w := newFixture(resumable, startReplica("r1", silentAfter(event(2), event(3))))
		w.onceBegun(startReplica("r2", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(3))
			time.Sleep(800 * time.Millisecond)
			chunk(a, event(4))
			return streamEnd(a)
		}))
		to, s := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(rest + event(4)))
		Expect(s.Attempts).To(HaveLen(2))
	})

	// A stream returns to the replica that fell silent first, with a new request.
	It("are not passed on again by a replica to which the stream returns", func() {
		first := startReplica("r1", func(a *receivedRequest) bool {
			if a.index == 0 {
				return silentAfter(event(2), event(3))(a)
			}
			return sending(anew)(a)
		})
		w := newFixture(resumable, first)
		w.onceBegun(startReplica("r2", breakingAfter(event(3))))
		to, _ := w.serve(resume(w))
		Expect(first.count()).To(Equal(2), "the stream returns")
		Expect(first.received(1).request.Header.Get("Last-Event-Id")).To(Equal("3"))
		Expect(string(to.body)).To(Equal(rest))
		Expect(to.broken).To(BeTrue())
	})

	It("are not passed on again through another daemon's connections", func() {
		for _, text := range []string{anew, rest} {
			r := startReplica("r1", sending(text))
			peer := startCarrier(r)
			w := newCutFixture(resumable, refusingLink, []*carrierPeer{peer}, r)
			to, s := w.serve(resume(w))
			Expect(s.Attempts[len(s.Attempts)-1].Via).To(Equal(routing.PeerID(peer.address)))
			if text == rest {
				Expect(string(to.body)).To(Equal(rest))
			} else {
				Expect(string(to.body)).To(BeEmpty())
			}
		}
	})
	// Without numbers nobody knows where a stream that broke has to go on.
	DescribeTable("without numbers are not passed on again by a second attempt", func(text, again string) {
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return breakingAfter(text)(a)
			}
			return sending(again)(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		to, _ := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(text))
		Expect(to.broken).To(BeTrue())
	},
		Entry("none", "data: 2\n\n", "data: 2\n\n"),
		Entry("not a number", "id: x\ndata: 2\n\n", "id: x\ndata: 2\n\n"),
		Entry("too large", "id: 99999999999999999999\ndata: 2\n\n", "id: 99999999999999999999\ndata: 2\n\n"),
		Entry("after one with a number", event(2)+"data: 3\n\n", "data: 3\n\n"),
	)

	It("without numbers come from a silent replica alone", func() {
		w := newFixture(resumable, startReplica("r1", silentAfter("data: 2\n\n", "data: 3\n\n")))
		other := startReplica("r2", sending("data: 2\n\ndata: 3\n\n"))
		w.onceBegun(other)
		to, _ := w.serve(resume(w))
		Expect(string(to.body)).To(Equal("data: 2\n\ndata: 3\n\n"))
		Expect(other.count()).To(BeZero())
	})

	// What has no data is not an event to callers.
	DescribeTable("go on at another replica after a part without data", func(text string) {
		n := 0
		script := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return breakingAfter(text)(a)
			}
			return sending(event(3))(a)
		}
		w := newFixture(resumable, startReplica("r1", script), startReplica("r2", script))
		to, s := w.serve(resume(w))
		Expect(string(to.body)).To(Equal(text + event(3)))
		Expect(to.broken).To(BeFalse())
		Expect(s.Attempts).To(HaveLen(2))
	},
		Entry("a comment", event(2)+": alive\n\n"),
		Entry("a time to wait", event(2)+"retry: 100\n\n"),
		Entry("an event without a number before one with a number", "data: x\n\n"+event(2)),
	)
})
