package relay_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// failingSink is a Sink all of whose writes fail.
type failingSink struct {
	*recordingSink
	err error
}

func (s failingSink) Write([]byte) error                     { return s.err }
func (s failingSink) Respond(int, http.Header, []byte) error { return s.err }

// Guards against an incident in which callers' connections were closed, and no log said by whom.
var _ = Describe("Who ended a caller's connection", func() {
	endless := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1))
		_, err := a.reader.ReadByte()
		return err == nil
	}
	brokenOff := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1))
		return reset(a.conn)
	}
	whole := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(1))
		return streamEnd(a)
	}

	DescribeTable("is nobody if the response is complete", func(route routing.Route, script func(*receivedRequest) bool, status int) {
		w := newFixture(route, startReplica("r", script))
		_, s := w.serve(w.call("a", "GET", ""))
		Expect(s.Status).To(Equal(status))
		Expect(s.EndedBy).To(Equal(relay.EndedComplete))
	},
		Entry("a stream", stream, whole, 200),
		Entry("a response", atMostOnce, respondOK, 200),
		Entry("a replica's error", atMostOnce, func(a *receivedRequest) bool { return respond(a, 500, "", "") }, 500),
		Entry("an error of the daemon", atMostOnce, respondRejected, 0),
	)

	It("is nobody if there is no replica", func() {
		w := newFixture(atMostOnce)
		_, s := w.serve(w.call("a", "GET", ""))
		Expect(s.EndedBy).To(Equal(relay.EndedComplete))
	})

	It("is the daemon if the replica broke a stream off that can't be resumed", func() {
		w := newFixture(stream, startReplica("r", brokenOff))
		to, s := w.serve(w.call("a", "GET", ""))
		Expect(to.broken).To(BeTrue())
		Expect(s.EndedBy).To(Equal(relay.EndedByDaemon))
	})

	It("is the daemon at the deadline of a stream", func() {
		w := newFixture(stream, startReplica("r", endless))
		c := w.call("a", "GET", "")
		c.Deadline = time.Now().Add(300 * time.Millisecond)
		to, s := w.serve(c)
		Expect(to.broken).To(BeTrue())
		Expect(s.EndedBy).To(Equal(relay.EndedByDaemon))
	})

	DescribeTable("is the caller if it disconnects, unless the daemon is closing", func(closing bool, want relay.EndedBy) {
		w := newFixture(stream, startReplica("r", endless))
		w.relay.Closing = func() bool { return closing }
		to := &recordingSink{wrote: make(chan struct{}, 1)}
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			<-to.wrote
			disconnect()
		}()
		s := w.relay.Serve(ctx, w.call("a", "GET", ""), to)
		Expect(s.EndedBy).To(Equal(want))
	},
		Entry("caller", false, relay.EndedByCaller),
		Entry("daemon", true, relay.EndedByDaemon),
	)

	DescribeTable("depends on why a write failed", func(route routing.Route, script func(*receivedRequest) bool, err error, want relay.EndedBy) {
		w := newFixture(route, startReplica("r", script))
		s := w.relay.Serve(context.Background(), w.call("a", "GET", ""), failingSink{&recordingSink{}, err})
		Expect(s.EndedBy).To(Equal(want))
	},
		Entry("a stream whose caller reset the connection", stream, whole, syscall.ECONNRESET, relay.EndedByCaller),
		Entry("a stream whose caller doesn't read", stream, whole, os.ErrDeadlineExceeded, relay.EndedByDaemon),
		Entry("a response whose caller reset the connection", atMostOnce, respondOK, syscall.EPIPE, relay.EndedByCaller),
		Entry("a response whose caller doesn't read", atMostOnce, respondOK, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}, relay.EndedByDaemon),
	)

	It("is found with the configuration at the end", func() {
		w := newFixture(stream, startReplica("r", whole))
		v := *w.view
		table, err := routing.NewTable(&routing.Config{Version: 9, Services: []routing.Service{{Name: "s"}}})
		Expect(err).NotTo(HaveOccurred())
		v.Table = table
		to := &recordingSink{wrote: make(chan struct{}, 1)}
		w.setView(&v)
		s := w.relay.Serve(context.Background(), w.call("a", "GET", ""), to)
		Expect(s.ConfigVersion).To(Equal(routing.ConfigVersion(9)))
	})
})
