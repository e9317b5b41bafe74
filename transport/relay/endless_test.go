package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// endlessPieces is how often a piece is sent that stands for a response without end; the relay must have closed the
// connection long before.
const endlessPieces = 4000

// sendEndless writes a text and then pieces of it of some 16 KB, until the relay closes the connection. It reports to
// closed whether the relay did.
func sendEndless(closed chan<- bool, begin func(id string) string, piece string) func(a *receivedRequest) bool {
	text := strings.Repeat(piece, max(1, (16<<10)/len(piece)))
	return func(a *receivedRequest) bool {
		_, err := io.WriteString(a.conn, begin(a.id()))
		for n := 0; err == nil && n < endlessPieces; n++ {
			_, err = io.WriteString(a.conn, text)
		}
		closed <- err != nil
		return false
	}
}

func headOf(fields string) func(id string) string {
	return func(id string) string { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n" + sealed + fields }
}

func headOfNone(string) string { return "" }

// Guards against responses without end, which filled the memory of the daemon until it was killed.
var _ = Describe("Response without end", func() {
	forms := func(body func(name string, begin func(id string) string, piece string) TableEntry) []TableEntry {
		return []TableEntry{
			body("header line", headOf("Long: "), "x"),
			body("header lines", headOf(""), "A:\r\n"),
			body("bytes that are no header", headOfNone, "\x00\xff"),
			body("interim responses", headOfNone, "HTTP/1.1 103 Early Hints\r\n\r\n"),
			body("one interim response", func(string) string { return "HTTP/1.1 103 Early Hints\r\nLong: " }, "x"),
			body("response to an earlier request", func(string) string {
				return "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: 9000000000\r\n\r\n"
			}, "x"),
			body("chunked response to an earlier request", func(string) string {
				return "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nTransfer-Encoding: chunked\r\n\r\n"
			}, "4\r\nabcd\r\n"),
			body("body", headOf("\r\n"), "x"),
			body("body of a length", headOf("Content-Length: 9000000000\r\n\r\n"), "x"),
			body("chunked body", headOf("Transfer-Encoding: chunked\r\n\r\n"), "4\r\nabcd\r\n"),
			body("chunk extension", headOf("Transfer-Encoding: chunked\r\n\r\n1;"), "x"),
			body("trailer", headOf("Transfer-Encoding: chunked\r\n\r\n0\r\nT: "), "x"),
			body("error response", func(id string) string {
				return "HTTP/1.1 500 X\r\nAttempt-Id: " + id + "\r\n" + sealed + "\r\n"
			}, "x"),
		}
	}
	entry := func(name string, begin func(id string) string, piece string) TableEntry {
		return Entry(name, begin, piece)
	}

	DescribeTable("of a request that must not run twice: a clear error at once, and no crash", func(begin func(id string) string, piece string) {
		closed := make(chan bool, 1)
		w := newFixture(atMostOnce, startReplica("r", sendEndless(closed, begin, piece)))
		started := time.Now()
		to, s := w.serve(w.call("1", "POST", "x"))
		Eventually(closed).Should(Receive(BeTrue()), "the relay must close the connection")
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second), "not only at the deadline")
		Expect(to.refusal).To(Equal(coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}))
		Expect(s.Attempts).To(HaveLen(1))
		Expect(len(s.Attempts[0].Err.Error())).To(BeNumerically("<", 500), "the error is logged")
		Expect(w.observer.crashedDuring).To(BeEmpty())
	}, forms(entry))

	DescribeTable("through another daemon: a clear error at once", func(begin func(id string) string, piece string) {
		closed := make(chan bool, 1)
		r := startReplica("r", sendEndless(closed, begin, piece))
		w := newCutFixture(atMostOnce, refusingLink, []*carrierPeer{startCarrier(r)}, r)
		started := time.Now()
		to, _ := w.serve(w.call("1", "POST", "x"))
		Eventually(closed).Should(Receive(BeTrue()), "the connection must be closed")
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second), "not only at the deadline")
		Expect(to.refusal).To(Equal(coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}))
	}, forms(entry))

	It("after a whole response: the caller has the response, and the connection is closed", func() {
		closed := make(chan bool, 1)
		w := newFixture(atMostOnce, startReplica("r", sendEndless(closed, headOf("Content-Length: 4\r\n\r\nfine"), "x")))
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(string(to.body)).To(Equal("fine"))
		// Bytes that are on the connection already are found at once, and others when the connection would be used again.
		w.serve(w.call("2", "POST", "x"))
		Eventually(closed, 3*time.Second).Should(Receive(BeTrue()), "the relay must close the connection")
	})

	It("of a rejection: the request has not run, and the connection is closed", func() {
		closed := make(chan bool, 4)
		w := newFixture(atMostOnce, startReplica("r", sendEndless(closed, func(id string) string {
			return "HTTP/1.1 503 X\r\nAttempt-Id: " + id + "\r\nNot-Executed: full\r\n\r\n"
		}, "x")))
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.refusal).To(BeAssignableToTypeOf(coordination.NotRun{}))
		Eventually(closed).Should(Receive(BeTrue()), "the relay must close the connection")
	})

	DescribeTable("of a repeatable request: another replica serves it", func(begin func(id string) string, piece string) {
		calls, endless := 0, sendEndless(make(chan bool, 1), begin, piece)
		script := func(a *receivedRequest) bool {
			if countCall(&calls) == 1 {
				return endless(a)
			}
			return respond(a, http.StatusOK, sealed, "fine")
		}
		w := newFixture(routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, startReplica("r", script), startReplica("s", script))
		to, _ := w.serve(w.call("1", "GET", ""))
		Expect(to.status).To(Equal(http.StatusOK))
		Expect(string(to.body)).To(Equal("fine"))
		Expect(w.observer.crashedDuring).To(BeEmpty())
	}, forms(entry))

	DescribeTable("the replica is ejected after four of them", func(begin func(id string) string, piece string) {
		closed := make(chan bool, 8)
		w := newFixture(atMostOnce, startReplica("r", sendEndless(closed, begin, piece)))
		for range 4 {
			w.serve(w.call("1", "POST", "x"))
		}
		Expect(w.observer.ejected).To(Equal([]routing.ReplicaID{"r"}))
		Expect(w.observer.crashedDuring).To(BeEmpty())
		Expect(w.observer.quarantined).To(BeEmpty())
	}, forms(entry))

	// The replica refuses connections from then on, as one that has terminated does: only that the relay closed the
	// connection keeps the request from being taken for one that crashes replicas.
	DescribeTable("is no evidence of a crash", func(begin func(id string) string, piece string) {
		endless := sendEndless(make(chan bool, 1), begin, piece)
		var r *replica
		r = startReplica("r", func(a *receivedRequest) bool {
			_ = r.listener.Close()
			return endless(a)
		})
		w := newFixture(atMostOnce, r)
		w.serve(w.call("1", "POST", "x"))
		Expect(r.count()).To(Equal(1))
		Expect(w.observer.crashedDuring).To(BeEmpty())
	}, forms(entry))

	DescribeTable("of a stream that may be resumed: another replica goes on", func(text func(id string) string, piece string) {
		closed := make(chan bool, 1)
		calls, endless := 0, sendEndless(closed, text, piece)
		script := func(a *receivedRequest) bool {
			if countCall(&calls) == 1 {
				return endless(a)
			}
			streamHead(a)
			from := 1
			if a.request.Header.Get("Last-Event-Id") != "" {
				from = 2
			}
			for n := from; n <= 3; n++ {
				chunk(a, event(n))
			}
			return streamEnd(a)
		}
		w := newFixture(resumable, startReplica("r", script), startReplica("s", script))
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.broken).To(BeFalse())
		Expect(string(to.body)).To(Equal(event(1) + event(2) + event(3)))
		Eventually(closed).Should(Receive(BeTrue()), "the relay must close the connection")
		Expect(w.observer.crashedDuring).To(BeEmpty())
	},
		Entry("an event", headOf(eventStream+"\r\ndata: "), "x"),
		Entry("an event of many lines", headOf(eventStream+"\r\n"), "data: x\n"),
		Entry("the second event", headOf(eventStream+"\r\n"+event(1)+"data: "), "x"),
		Entry("a chunk extension after the first event", headOf(eventStream+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n", len(event(1)))+event(1)+"\r\n1;"), "x"),
		Entry("a header line", headOf(eventStream+"Long: "), "x"),
	)
})
