package relay_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// Streams had events of two software versions where a daemon sent them to a replica that had started again under its id at
// another version, while the daemon had only its former entry.
var _ = Describe("Streams at a replica that may have started again", func() {
	const v1, v2 = "v1", "v2"
	// streams sends events 2 and 3 with a version as their data.
	streams := func(version string) func(a *receivedRequest) bool {
		return func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, "id: 2\ndata: "+version+"\n\nid: 3\ndata: "+version+"\n\n")
			return streamEnd(a)
		}
	}
	// started starts a replica at an address, or at a new one if that is empty.
	started := func(address, id string, start routing.StartTime, version string, script func(a *receivedRequest) bool) *replica {
		if address == "" {
			address = "127.0.0.1:0"
		}
		l, err := net.Listen("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		r := startReplicaAt(l, id, script)
		r.StartTime, r.Version = start, routing.SoftwareVersion(version)
		r.Replica = routing.NewReplica(r.Replica)
		return r
	}
	viewOf := func(w *fixture, replicas ...*replica) *routing.View {
		view, pool := *w.currentView(), &routing.Pool{}
		for _, r := range replicas {
			pool.Ready = append(pool.Ready, r.Replica)
		}
		pool.Sort()
		view.Pools = map[routing.ServiceName]*routing.Pool{"s": pool}
		return &view
	}

	// site is a service with one replica, that has started again at its address, as a connection to it showed that broke. The
	// daemon has only the former entry, and its documents were read just before.
	type site struct {
		*fixture
		origins      *recordedOrigins
		former, next *replica
	}
	restarted := func(nextVersion string, script func(a *receivedRequest) bool) *site {
		t := &site{former: started("", "r1", 1, v1, streams(v1)), origins: &recordedOrigins{}}
		t.fixture = newFixture(resumable, t.former)
		t.relay.Origins = t.origins
		t.origins.only = t.former.VersionKey()
		t.serve(t.call("before", "POST", "x")) // leaves a connection
		t.former.crash()
		Eventually(func() bool { _, open := t.relay.Pool.OldestOpenConn(t.former.Incarnation()); return open }, time.Second).Should(BeFalse())
		t.next = started(t.former.Address, "r1", 2, nextVersion, script)
		t.origins.readAt.Store(new(time.Now()))
		return t
	}
	// read lets the documents be read after a time, with the entries of replicas.
	read := func(t *site, after time.Duration, replicas ...*replica) {
		view := viewOf(t.fixture, replicas...)
		time.AfterFunc(after, func() {
			t.setView(view)
			t.origins.readAt.Store(new(time.Now()))
		})
	}
	bound := func(t *site) *relay.Call {
		c := t.call("a", "POST", "x")
		c.LastEventID, c.Resumes = "1", "first"
		return c
	}
	// untilKnown is later than a replica needs to write its entry.
	const untilKnown = 200 * time.Millisecond

	It("go on elsewhere if it has another version by now", func() {
		for _, resumed := range []bool{false, true} {
			other := started("", "r2", 1, v1, streams(v1))
			t := restarted(v2, streams(v2))
			read(t, untilKnown, t.next, other)
			c := t.call("a", "POST", "x")
			if resumed {
				c = bound(t)
			}
			to, s := t.serve(c)
			Expect(string(to.body)).To(Equal("id: 2\ndata: v1\n\nid: 3\ndata: v1\n\n"), "resumed %t", resumed)
			Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r1")), HaveField("Replica", routing.ReplicaID("r2"))))
			Expect(s.StartWait).To(BeNumerically(">", 0))
			Expect(t.observer.ejected).To(BeEmpty())
		}
	})

	It("wait until it is known not to have", func() {
		t := restarted(v1, streams(v1)) // its link broke, say
		read(t, untilKnown, t.former)
		to, s := t.serve(bound(t))
		Expect(string(to.body)).To(ContainSubstring("data: v1"))
		Expect(s.FirstByte).To(BeNumerically(">=", untilKnown))
		_, s = t.serve(t.call("b", "POST", "x"))
		Expect(s.StartWait).To(BeZero(), "it is known from now on")
	})

	// Guards against streams that are broken off at a sound replica while its service has one version (LOST beside crashes).
	It("do not wait while their service has one version", func() {
		t := restarted(v1, streams(v1))
		t.relay.HasVersions = func(routing.ServiceName) bool { return false }
		to, s := t.serve(bound(t))
		Expect(string(to.body)).To(ContainSubstring("data: v1"))
		Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r1"))))
		Expect(s.StartWait).To(BeZero())
	})

	It("do not wait for a start at their version", func() {
		t := restarted(v1, streams(v1))
		t.setView(viewOf(t.fixture, t.former)) // the entry comes while the replica works
		read(t, 20*time.Millisecond, t.next)
		to, s := t.serve(bound(t))
		Expect(string(to.body)).To(ContainSubstring("data: v1"))
		Expect(s.FirstByte).To(BeNumerically("<", untilKnown))
	})

	It("that begin are passed on at once while their service has several versions, and are recorded once it is known", func() {
		goOn := make(chan struct{})
		t := restarted(v1, func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			<-goOn
			chunk(a, event(2))
			return streamEnd(a)
		})
		t.origins.several.Store(true)
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		done := make(chan *relay.Summary)
		go func() { done <- t.relay.Serve(context.Background(), t.call("a", "POST", "x"), to) }()
		Eventually(to.wrote, time.Second).Should(Receive())
		Expect(t.origins.recorded).To(BeEmpty())
		time.Sleep(untilKnown)
		t.origins.readAt.Store(new(time.Now()))
		close(goOn)
		Expect((<-done).StartWait).To(BeZero())
		Expect(t.origins.recorded).To(HaveExactElements(HaveField("Version", t.former.VersionKey())))
	})

	It("that begin are not recorded if it has another version, and go on there", func() {
		goOn := make(chan struct{})
		t := restarted(v2, func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			<-goOn
			chunk(a, event(2))
			return streamEnd(a)
		})
		t.origins.several.Store(true)
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		done := make(chan *relay.Summary)
		go func() { done <- t.relay.Serve(context.Background(), t.call("a", "POST", "x"), to) }()
		Eventually(to.wrote, time.Second).Should(Receive())
		time.Sleep(untilKnown)
		t.setView(viewOf(t.fixture, t.next))
		t.origins.readAt.Store(new(time.Now()))
		close(goOn)
		s := <-done
		Expect(coordination.OutcomeName(s.Outcome)).To(Equal("answered"))
		Expect(string(to.body)).To(Equal(event(1) + event(2)))
		Expect(t.origins.recorded).To(BeEmpty())
	})

	It("are recorded if a replica that may have started again breaks before their first event", func() {
		// Guards against streams that count as begun there.
		t := restarted(v1, func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, "id: 2\nda")
			return reset(a.conn)
		})
		t.origins.several.Store(true)
		other := started("", "r2", 1, v1, streams(v1))
		read(t, 0, t.former, other)
		time.Sleep(20 * time.Millisecond)
		for i := range 4 { // some are sent to the other one at once
			t.serve(t.call(string(rune('a'+i)), "POST", "x"))
		}
		Expect(t.origins.recorded).To(HaveLen(4))
		Expect(t.origins.recorded).To(HaveEach(HaveField("Version", other.VersionKey())))
	})

	It("are recorded once it is known, though they were broken off before", func() {
		// Guards against streams that can't be resumed since their replica or their caller left in that time: 28 of 68 resumes were
		// refused in a play in which replicas crash and daemons are killed.
		for _, isSame := range []bool{true, false} {
			t := restarted(v1, func(a *receivedRequest) bool {
				streamHead(a)
				chunk(a, event(1))
				return reset(a.conn)
			})
			t.origins.several.Store(true)
			to, _ := t.serve(t.call("a", "POST", "x"))
			Expect(to.body).NotTo(BeEmpty())
			Expect(t.origins.list()).To(BeEmpty())
			if isSame {
				read(t, untilKnown, t.former)
				Eventually(t.origins.list, time.Second).Should(HaveExactElements(HaveField("Version", t.former.VersionKey())))
				continue
			}
			t.next.Version = v2
			t.next.Replica = routing.NewReplica(t.next.Replica)
			read(t, untilKnown, t.next)
			Consistently(t.origins.list, 2*untilKnown).Should(BeEmpty())
		}
	})

	It("do not wait while no read of the store is expected", func() {
		for _, resumed := range []bool{false, true} {
			t := restarted(v2, streams(v2))
			t.origins.readAt.Store(new(time.Now().Add(-time.Minute)))
			c := t.call("a", "POST", "x")
			if resumed {
				c = bound(t)
			}
			to, s := t.serve(c)
			Expect(s.Total).To(BeNumerically("<", untilKnown))
			Expect(len(to.body) > 0).To(Equal(!resumed), "a stream that is bound to a version does not go on at an unknown one")
		}
	})

	It("do not wait past their deadline", func() {
		t := restarted(v1, streams(v1))
		c := bound(t)
		c.Deadline = c.Arrived.Add(300 * time.Millisecond)
		to, s := t.serve(c)
		Expect(to.body).To(BeEmpty())
		Expect(s.Total).To(BeNumerically("<", 400*time.Millisecond))
	})

	It("wait after a refused connection too", func() {
		former := started("", "r1", 1, v1, streams(v1))
		former.crash()
		w := newFixture(resumable, former)
		origins := &recordedOrigins{only: former.VersionKey()}
		w.relay.Origins = origins
		origins.readAt.Store(new(time.Now()))
		w.serve(w.call("refused", "POST", "x"))
		time.Sleep(600 * time.Millisecond) // until the replica is no longer ejected
		started(former.Address, "r1", 2, v1, streams(v1))
		t := &site{fixture: w, origins: origins, former: former}
		origins.readAt.Store(new(time.Now()))
		read(t, untilKnown, former)
		_, s := t.serve(t.call("a", "POST", "x"))
		Expect(s.StartWait).To(BeNumerically(">", 0))
	})

	It("go on at once, event by event, on a route whose streams can't go on elsewhere", func() {
		// Guards against streams that are held, and broken off, after their first event.
		goOn := make(chan struct{})
		t := restarted(v2, func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			<-goOn
			chunk(a, event(2))
			return streamEnd(a)
		})
		t.route.Resumable = false
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		done := make(chan *relay.Summary)
		go func() { done <- t.relay.Serve(context.Background(), t.call("a", "POST", "x"), to) }()
		Eventually(to.wrote, time.Second).Should(Receive())
		t.setView(viewOf(t.fixture, t.next))
		close(goOn)
		s := <-done
		Expect(coordination.OutcomeName(s.Outcome)).To(Equal("answered"))
		Expect(s.StartWait).To(BeZero())
	})

	It("begin at once while their daemon has just started, unless a connection broke", func() {
		// Guards against first events that are late at each daemon that is replaced.
		r := started("", "r1", 1, v1, streams(v1))
		w := newFixture(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		w.relay.Origins = origins
		origins.readAt.Store(new(time.Now()))
		w.relay.Pool.Begin(time.Now())
		t := &site{fixture: w, origins: origins, former: r}
		_, s := t.serve(t.call("a", "POST", "x"))
		Expect(s.Events).To(Equal(2))
		Expect(s.StartWait).To(BeZero())
		t = &site{fixture: newFixture(resumable, r), origins: origins, former: r}
		t.relay.Origins = origins
		t.relay.Pool.Begin(time.Now())
		origins.readAt.Store(new(time.Now()))
		read(t, untilKnown, r)
		_, s = t.serve(bound(t))
		Expect(s.StartWait).To(BeNumerically(">", 0), "it is bound to a version")
	})

	It("go on at once on a connection that was kept", func() {
		t := &site{former: started("", "r1", 1, v1, streams(v1)), origins: &recordedOrigins{}}
		t.fixture = newFixture(resumable, t.former)
		t.relay.Origins = t.origins
		t.origins.only = t.former.VersionKey()
		t.serve(t.call("before", "POST", "x"))
		_, s := t.serve(bound(t))
		Expect(s.Attempts).To(HaveExactElements(HaveField("Reused", BeTrue())))
		Expect(s.StartWait).To(BeZero())
	})
})
