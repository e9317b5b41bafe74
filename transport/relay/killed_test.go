package relay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// otherConn is another connection of the daemon to the replica.
type otherConn int

const (
	noOther otherConn = iota
	idleOther
	usedOther
)

// endingReplica responds to calls with the body "last" without framing, and calls end before it ends the connection.
// It holds back its responses to "pair" until two of these calls are there, and those to "wait" until release is closed.
type endingReplica struct {
	*replica
	both    sync.WaitGroup
	release chan struct{}
	end     func()
}

func startEndingReplica(streams bool, headers string) *endingReplica {
	r := &endingReplica{release: make(chan struct{}), end: func() {}}
	r.both.Add(2)
	r.replica = startReplica("r", func(a *receivedRequest) bool {
		switch string(a.body) {
		case "pair":
			r.both.Done()
			r.both.Wait()
			return respond(a, 200, sealed, event(1))
		case "wait":
			<-r.release
			return respond(a, 200, sealed, event(1))
		}
		if streams {
			unframedHead(a, eventStream+headers)
			write(a, event(1))
		} else {
			unframedHead(a, headers)
			write(a, "fi")
		}
		time.Sleep(30 * time.Millisecond) // the part arrives
		r.end()
		return false
	})
	return r
}

// open makes the daemon open another connection, and returns a function that ends it.
func (r *endingReplica) open(w *fixture, other otherConn) (done func()) {
	var calls sync.WaitGroup
	switch other {
	case idleOther:
		for range 2 {
			calls.Go(func() { w.serve(w.call("pair", "POST", "pair")) })
		}
		calls.Wait()
	case usedOther:
		calls.Go(func() { w.serve(w.call("wait", "POST", "wait")) })
		Eventually(r.count).Should(Equal(1))
	}
	return func() { close(r.release); calls.Wait() }
}

var _ = Describe("Response that ends with its connection, between two events or inside a body", func() {
	// Guards against truncated responses that look complete, since the operating system of a killed replica ended the
	// connection, and against crashes that are not recorded, since the listener of a process that is killed ends last.
	DescribeTable("of a replica that is killed is not complete", func(streams bool, other otherConn, want outcome) {
		r := startEndingReplica(streams, "")
		r.end = func() { r.kill() }
		w := newFixture(routeOf(streams), r.replica)
		done := r.open(w, other)
		to, _ := w.serve(w.call("last", "POST", "last"))
		done()
		Expect(outcomeOf(to)).To(Equal(want))
		Expect(w.observer.crashedDuring).To(ContainElement(routing.RequestID("last")))
	},
		Entry("response, no other connection", false, noOther, refused),
		Entry("response, an idle one", false, idleOther, refused),
		Entry("response, one in use", false, usedOther, refused),
		Entry("stream, no other connection", true, noOther, brokenOff),
		Entry("stream, an idle one", true, idleOther, brokenOff),
		Entry("stream, one in use", true, usedOther, brokenOff),
	)

	// Guards against sound responses that are taken for truncated, and against new connections where another one shows that
	// the replica runs.
	DescribeTable("of a replica that runs is complete", func(streams bool, other otherConn, opened int) {
		r := startEndingReplica(streams, "")
		w := newFixture(routeOf(streams), r.replica)
		done := r.open(w, other)
		before := r.connections()
		to, _ := w.serve(w.call("last", "POST", "last"))
		Expect(outcomeOf(to)).To(Equal(whole))
		Eventually(r.connections).Should(Equal(before + opened))
		Consistently(r.connections, 20*time.Millisecond).Should(Equal(before + opened))
		to, _ = w.serve(w.call("next", "POST", "last"))
		done()
		Expect(outcomeOf(to)).To(Equal(whole))
	},
		Entry("response, no other connection", false, noOther, 2),
		Entry("response, an idle one", false, idleOther, 0),
		Entry("response, one in use", false, usedOther, 1),
		Entry("stream, no other connection", true, noOther, 2),
		Entry("stream, an idle one", true, idleOther, 0),
		Entry("stream, one in use", true, usedOther, 1),
	)

	// Guards against a connection for each check that no request uses.
	It("is checked with a connection that the next request uses", func() {
		r := startEndingReplica(false, "")
		w := newFixture(routeOf(false), r.replica)
		for range 5 {
			to, _ := w.serve(w.call("last", "POST", "last"))
			Expect(outcomeOf(to)).To(Equal(whole))
		}
		Eventually(r.connections).Should(Equal(6))
		Expect(w.relay.Pool.OpenConns()).To(Equal(1))
	})

	// Guards against a check that fails for lack of a connection, since the one that ended counts towards the limit.
	It("is checked although the connections to the replica are limited to one", func() {
		r := startEndingReplica(false, "")
		r.end = func() { r.kill() }
		w := newFixture(routeOf(false), r.replica)
		t, err := routing.NewTable(&routing.Config{Version: 1, Routes: []routing.Route{*w.route}, Services: []routing.Service{{Name: "s", MaxConnections: 1}}})
		Expect(err).NotTo(HaveOccurred())
		w.view.Table = t
		to, _ := w.serve(w.call("last", "POST", "last"))
		Expect(outcomeOf(to)).To(Equal(refused))
	})

	// Guards against sound responses that are taken for truncated, since a replica that leaves terminates after its last one.
	DescribeTable("of a replica that leaves is complete, although it terminates", func(other otherConn) {
		r := startEndingReplica(true, "Server-Leaving: 1\r\n")
		r.end = func() { r.kill() }
		w := newFixture(routeOf(true), r.replica)
		done := r.open(w, other)
		to, _ := w.serve(w.call("last", "POST", "last"))
		done()
		Expect(outcomeOf(to)).To(Equal(whole))
	},
		Entry("no other connection", noOther),
		Entry("an idle one", idleOther),
	)

	// Guards against sound responses that are taken for truncated while links refuse new connections and open ones live on.
	It("is complete if the links to the replicas are suspect and refuse new connections, and another one is open", func() {
		r := startEndingReplica(true, "")
		w := newFixture(routeOf(true), r.replica)
		r.end = func() {
			w.relay.Pool.Reach().Suspect("s", time.Now())
			_ = r.listener.Close()
		}
		done := r.open(w, idleOther)
		to, _ := w.serve(w.call("last", "POST", "last"))
		done()
		Expect(outcomeOf(to)).To(Equal(whole))
	})

	// Guards against a response that is taken for truncated since another one of its replica ended at the same time.
	It("is complete if others end at the same time and the replica accepts connections", func() {
		r := startEndingReplica(true, "")
		var arrived sync.WaitGroup
		arrived.Add(2)
		r.end = func() { arrived.Done(); arrived.Wait() }
		w := newFixture(routeOf(true), r.replica)
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() {
				defer GinkgoRecover()
				to, _ := w.serve(w.call("last", "POST", "last"))
				Expect(outcomeOf(to)).To(Equal(whole))
			})
		}
		calls.Wait()
	})

	// Guards against calls that end with a truncated response although the route allows another replica.
	DescribeTable("is served by another replica if its own is killed", func(route routing.Route, streams bool, body string) {
		r := startEndingReplica(streams, "")
		w := newFixture(route, r.replica)
		next := startReplica("next", func(a *receivedRequest) bool {
			if !streams {
				return respond(a, 200, sealed, "fine")
			}
			streamHead(a)
			chunk(a, event(2))
			return streamEnd(a)
		})
		r.end = func() { w.setReplicas(r.replica, next); r.kill() }
		to, _ := w.serve(w.call("last", "POST", "last"))
		Expect(outcomeOf(to)).To(Equal(whole))
		Expect(string(to.body)).To(Equal(body))
	},
		Entry("response", routing.Route{Kind: routing.Idempotent, MaxAttempts: 2}, false, "fine"),
		Entry("stream", resumable, true, event(1)+event(2)),
	)

	// Guards against a truncated stream that looks complete, since the end of another connection of the killed replica is queued
	// behind bytes that a slow caller has not read.
	It("of a replica that is killed is not complete while another response waits for its caller", func() {
		var r *replica
		flows := make(chan struct{})
		r = startReplica("r", func(a *receivedRequest) bool {
			unframedHead(a, eventStream)
			write(a, event(1))
			if string(a.body) == "last" {
				time.Sleep(30 * time.Millisecond) // the event arrives
				return r.kill()
			}
			go func() {
				for i := 2; write(a, fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))); i++ {
				}
			}()
			time.Sleep(500 * time.Millisecond) // the buffers fill
			close(flows)
			return awaitClose(a)
		})
		w := newFixture(routeOf(true), r)
		slow := &blockingSink{&recordingSink{}, make(chan struct{})}
		var calls sync.WaitGroup
		calls.Go(func() { w.relay.Serve(context.Background(), w.call("first", "POST", "first"), slow) })
		<-flows
		to, _ := w.serve(w.call("last", "POST", "last"))
		close(slow.release)
		calls.Wait()
		Expect(outcomeOf(to)).To(Equal(brokenOff))
	})
})

// blockingSink is a caller that reads nothing until it is released.
type blockingSink struct {
	*recordingSink
	release chan struct{}
}

func (s *blockingSink) Write(p []byte) error {
	<-s.release
	return s.recordingSink.Write(p)
}
