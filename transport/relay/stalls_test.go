package relay_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// stall sends a part of a response, and then nothing until the relay closes the connection.
func stall(a *receivedRequest, part string) bool {
	write(a, part)
	return awaitClose(a)
}

// stallIn returns a script that stalls once it has sent a part of its response, which begins with the status line.
func stallIn(part func(id string) string) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool { return stall(a, part(a.id())) }
}

// chunkedHead returns the header of a chunked event stream.
func chunkedHead(id string) string {
	return headOf(eventStream + "Transfer-Encoding: chunked\r\n\r\n")(id)
}

// Guards against a replica that stops in the middle of a message and is not noticed, because only the wait for the
// first byte of a message was bounded.
var _ = Describe("A replica that stops inside its response", func() {
	allEvents := event(1) + event(2) + event(3)
	firstChunk := fmt.Sprintf("%x\r\n%s\r\n", len(event(1)), event(1))

	// resuming sends the events that the caller does not have.
	resuming := func(a *receivedRequest) bool {
		streamHead(a)
		if a.request.Header.Get("Last-Event-Id") == "" {
			chunk(a, event(1))
		}
		chunk(a, event(2)+event(3))
		return streamEnd(a)
	}

	DescribeTable("loses its stream to another one after the timeout", func(part func(id string) string) {
		w := newFixture(resumable, startReplica("r1", stallIn(part)))
		other := startReplica("r2", resuming)
		w.onceBegun(other)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(to.broken).To(BeFalse())
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Total).To(BeNumerically("<", 1500*time.Millisecond), "not only at the deadline")
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
		Expect(w.relay.Pool.OpenConns()).To(Equal(w.relay.Pool.Idle()))
	},
		Entry("status line", func(string) string { return "HTTP/1.1 2" }),
		Entry("header", func(id string) string { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRepl" }),
		Entry("end of the header", func(id string) string { return headOf(eventStream + "Transfer-Encoding: chunked\r\n\r")(id) }),
		Entry("interim response", func(string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" }),
		Entry("response to an earlier request", func(string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: 9\r\n\r\nxx"
		}),
		Entry("size of a chunk", func(id string) string { return chunkedHead(id) + "2" }),
		Entry("first chunk", func(id string) string { return chunkedHead(id) + "40\r\nid: 1\nda" }),
		Entry("first chunk, after an event", func(id string) string { return chunkedHead(id) + "40\r\n" + event(1) }),
		Entry("end of a chunk", func(id string) string { return chunkedHead(id) + firstChunk[:len(firstChunk)-1] }),
		Entry("second chunk", func(id string) string { return chunkedHead(id) + firstChunk + "40\r\nid: 2\nda" }),
		Entry("size of the second chunk", func(id string) string { return chunkedHead(id) + firstChunk + "4" }),
		Entry("trailer", func(id string) string { return chunkedHead(id) + firstChunk + "0\r\nTr" }),
	)

	DescribeTable("loses its plain request to another one after the timeout", func(part func(id string) string) {
		w := newFixture(idempotent, startReplica("r1", stallIn(part)))
		other := startReplica("r2", respondOK)
		w.onceBegun(other)
		to, s := w.serve(w.call("a", "GET", ""))
		Expect(string(to.body)).To(Equal("fine a"))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Total).To(BeNumerically("<", 1500*time.Millisecond), "not only at the deadline")
		Expect(w.relay.Placer.Loads.LocalCounts()).To(BeEmpty())
		Expect(w.relay.Pool.OpenConns()).To(Equal(w.relay.Pool.Idle()))
	},
		Entry("header", func(id string) string { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nRepl" }),
		Entry("body of a length", func(id string) string { return headOf("Content-Length: 9\r\n\r\nxx")(id) }),
		Entry("chunk", func(id string) string { return headOf("Transfer-Encoding: chunked\r\n\r\n9\r\nxx")(id) }),
		Entry("body that ends with the connection", func(id string) string { return headOf("\r\nxx")(id) }),
		Entry("error response", func(id string) string {
			return "HTTP/1.1 500 X\r\nAttempt-Id: " + id + "\r\nContent-Length: 9\r\n\r\nxx"
		}),
	)

	DescribeTable("goes on if no other one takes the request", func(route routing.Route, first, rest func(id string) string, body string) {
		w := newFixture(route, startReplica("r1", func(a *receivedRequest) bool {
			write(a, first(a.id()))
			time.Sleep(1100 * time.Millisecond)
			return write(a, rest(a.id()))
		}))
		other := startReplica("r2", func(a *receivedRequest) bool { return respond(a, 503, "Not-Executed: 1\r\n", "") })
		w.onceBegun(other)
		to, _ := w.serve(w.call("a", "GET", ""))
		Expect(string(to.body)).To(Equal(body))
		Expect(to.broken).To(BeFalse())
		Expect(other.count()).To(Equal(1))
	},
		Entry("header", idempotent, func(string) string { return "HTTP/1.1 200 OK\r\nAtt" },
			func(id string) string { return "empt-Id: " + id + "\r\n" + sealed + "Content-Length: 4\r\n\r\nfine" }, "fine"),
		Entry("body", idempotent, headOf("Content-Length: 4\r\n\r\nfi"), func(string) string { return "ne" }, "fine"),
		Entry("chunk of a stream", resumable, func(id string) string { return chunkedHead(id) + firstChunk + "1e\r\nid: 2\nda" },
			func(string) string { return event(2)[len("id: 2\nda"):] + event(3) + "\r\n0\r\n\r\n" }, allEvents),
	)

	// Two replicas had the stream for 2.5 s, although maxOverlap allows .25 s.
	DescribeTable("has its stream beside a silent one only for a short time", func(part func(id string) string) {
		silentClosed, otherClosed := make(chan time.Time, 1), make(chan time.Time, 1)
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			_, err := a.reader.ReadByte()
			silentClosed <- time.Now()
			return err == nil
		}))
		begun := make(chan time.Time, 1)
		w.onceBegun(startReplica("r2", func(a *receivedRequest) bool {
			begun <- time.Now()
			defer func() { otherClosed <- time.Now() }()
			return stallIn(part)(a)
		}))
		go w.serve(w.call("a", "POST", "x"))
		var from, until time.Time
		Eventually(begun, 2*time.Second).Should(Receive(&from))
		select {
		case until = <-silentClosed:
		case until = <-otherClosed:
		case <-time.After(5 * time.Second):
			Fail("both replicas still have the stream")
		}
		Expect(until.Sub(from)).To(BeNumerically("<", 400*time.Millisecond))
	},
		Entry("header", func(string) string { return "HTTP/1.1 200 OK\r\nAtt" }),
		Entry("chunk", func(id string) string { return chunkedHead(id) + "40\r\nid: 2\nda" }),
		Entry("event", func(id string) string { return chunkedHead(id) + "8\r\nid: 2\nda\r\n" }),
	)

	// An event waited for the end of the next chunk, or of its own.
	DescribeTable("has its complete events forwarded at once", func(part func(id string) string) {
		w := newFixture(stream, startReplica("r", stallIn(part)))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		to := &recordingSink{wrote: make(chan struct{}, 1)}
		go w.relay.Serve(ctx, w.call("a", "POST", "x"), to)
		Eventually(to.wrote, 500*time.Millisecond).Should(Receive())
	},
		Entry("inside the same chunk", func(id string) string { return chunkedHead(id) + "40\r\n" + event(1) + "id: 2\nda" }),
		Entry("inside the next chunk", func(id string) string { return chunkedHead(id) + firstChunk + "40\r\nid: 2\nda" }),
		Entry("inside the size of the next chunk", func(id string) string { return chunkedHead(id) + firstChunk + "4" }),
	)

	// Each wait is short, but the response does not come.
	It("has its stream beside a silent one only for a short time although bytes arrive", func() {
		closed, begun := make(chan time.Time, 1), make(chan time.Time, 1)
		w := newFixture(resumable, startReplica("r1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			_, err := a.reader.ReadByte()
			closed <- time.Now()
			return err == nil
		}))
		w.onceBegun(startReplica("r2", func(a *receivedRequest) bool {
			begun <- time.Now()
			streamHead(a)
			for write(a, "1\r\nx\r\n") {
				time.Sleep(5 * time.Millisecond)
			}
			return false
		}))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.relay.Serve(ctx, w.call("a", "POST", "x"), &recordingSink{})
		var from, until time.Time
		Eventually(begun, 2*time.Second).Should(Receive(&from))
		Eventually(closed, 2*time.Second).Should(Receive(&until))
		Expect(until.Sub(from)).To(BeNumerically("<", 400*time.Millisecond))
	})

	It("is ejected as one that sends nothing if its requests can't go elsewhere", func() {
		w := newFixture(atMostOnce, startReplica("r", stallIn(func(string) string { return "HTTP/1.1 200 OK\r\nAtt" })))
		for range 4 {
			go w.serve(w.call("a", "POST", "x"))
		}
		Eventually(func() []routing.ReplicaID {
			w.observer.mu.Lock()
			defer w.observer.mu.Unlock()
			return w.observer.ejected
		}, 2*time.Second).Should(Equal([]routing.ReplicaID{"r"}))
	})
})

// Guards against a rejection that holds its call until the deadline since its body does not end.
var _ = Describe("A rejection whose body stalls", func() {
	DescribeTable("counts without it", func(part string) {
		calls := 0
		script := func(a *receivedRequest) bool {
			if countCall(&calls) > 1 {
				return respondOK(a)
			}
			return stall(a, "HTTP/1.1 503 X\r\nAttempt-Id: "+a.id()+"\r\nNot-Executed: 1\r\n"+part)
		}
		w := newFixture(atMostOnce, startReplica("r1", script), startReplica("r2", script))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[0].Rejected).To(BeTrue())
		Expect(s.Total).To(BeNumerically("<", 200*time.Millisecond))
		Expect(w.relay.Pool.OpenConns()).To(Equal(1), "the connection can't be used again")
	},
		Entry("of a length", "Content-Length: 9\r\n\r\nxx"),
		Entry("chunked", "Transfer-Encoding: chunked\r\n\r\n9\r\nxx"),
		Entry("that ends with the connection", "\r\nxx"),
	)

	It("counts without it if the body comes in small pieces", func() {
		w := newFixture(atMostOnce, startReplica("r", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 503 X\r\nAttempt-Id: "+a.id()+"\r\nNot-Executed: 1\r\nContent-Length: 1000\r\n\r\n")
			for write(a, "x") {
				time.Sleep(2 * time.Millisecond)
			}
			return false
		}))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(to.refusal).To(BeAssignableToTypeOf(coordination.NotRun{}))
		Expect(s.Total).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("is read if it follows the header at once, and the connection used again", func() {
		r := startReplica("r", func(a *receivedRequest) bool {
			if a.index > 0 {
				return respondOK(a)
			}
			write(a, "HTTP/1.1 503 X\r\nAttempt-Id: "+a.id()+"\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(time.Millisecond)
			return write(a, "full")
		})
		w := newFixture(routing.Route{Kind: routing.AtMostOnce, MaxAttempts: 1}, r)
		w.serve(w.call("a", "POST", "x"))
		to, _ := w.serve(w.call("b", "POST", "x"))
		Expect(to.status).To(Equal(200))
		Expect(r.connections()).To(Equal(1))
	})
})
