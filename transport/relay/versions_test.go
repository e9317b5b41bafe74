package relay_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// recordedOrigins are the origins that a fleet knows.
type recordedOrigins struct {
	only     routing.VersionKey // 0: the service has several versions
	several  atomic.Bool        // it has a second version by now
	known    map[routing.StreamKey]routing.VersionKey
	mu       sync.Mutex
	recorded []routing.StreamOrigin
	asked    int
	awaits   func()                    // called when documents are awaited; nil: nothing happens
	holder   routing.PeerID            // whose records the known origins are; empty: the daemon's own
	renewed  routing.VersionKey        // the only version, once it is awaited; 0: it is not known then either
	readAt   atomic.Pointer[time.Time] // when a read of the store last showed the documents to be complete; nil: as ages says
	silent   bool                      // the holders don't reply
	complete []routing.StreamKey
}

// ages are those of the documents of a fleet whose origins are recordedOrigins.
var ages = relay.DocumentAges{Confirmed: 2 * time.Second, Read: 2 * time.Second, Changed: time.Minute}

func (o *recordedOrigins) DocumentAges() relay.DocumentAges {
	out := ages
	if at := o.readAt.Load(); at != nil {
		out.Read = time.Since(*at)
	}
	return out
}

func (o *recordedOrigins) OnlyVersion(routing.ServiceName) (routing.VersionKey, bool) {
	return o.only, o.only != 0 && !o.several.Load()
}

func (o *recordedOrigins) AwaitOnlyVersion(context.Context, routing.ServiceName) (routing.VersionKey, bool) {
	return o.renewed, o.renewed != 0
}

func (o *recordedOrigins) AwaitDocuments(context.Context) {
	if o.awaits != nil {
		o.awaits()
	}
}

func (o *recordedOrigins) Record(r routing.StreamOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = append(o.recorded, r)
}

func (o *recordedOrigins) Completed(s routing.StreamKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.complete = append(o.complete, s)
}

// list returns what was recorded. It may be called while the relay runs.
func (o *recordedOrigins) list() []routing.StreamOrigin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.recorded)
}

func (o *recordedOrigins) Find(_ context.Context, s routing.StreamKey) (relay.OriginRecord, bool) {
	o.asked++
	v, ok := o.known[s]
	return relay.OriginRecord{Version: v, Holder: o.holder, Denied: !ok && !o.silent}, ok
}

// startVersion starts a replica of a software version.
func startVersion(id string, v routing.SoftwareVersion, script func(a *receivedRequest) bool) *replica {
	r := startReplica(id, script)
	r.Version = v
	r.Replica = routing.NewReplica(r.Replica)
	return r
}

var _ = Describe("Streams of several software versions", func() {
	allEvents := event(1) + event(2) + event(3)

	// breaking sends the first event of a stream to the first request and the rest to later ones.
	breaking := func() func(a *receivedRequest) bool {
		n := 0
		return func(a *receivedRequest) bool {
			streamHead(a)
			if countCall(&n) == 1 {
				chunk(a, event(1)+"id: 2\nda")
				return reset(a.conn)
			}
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		}
	}

	It("go on, within a response, at the version that sent the first event", func() {
		for range 8 {
			script := breaking()
			w := newFixture(resumable, startVersion("r1", "v1", script), startVersion("r2", "v2", script), startVersion("r3", "v1", script), startVersion("r4", "v2", script))
			to, s := w.serve(w.call("a", "POST", "x"))
			Expect(string(to.body)).To(Equal(allEvents))
			Expect(s.Attempts).To(HaveLen(2))
			Expect(s.Attempts[1].Version).To(Equal(s.Attempts[0].Version))
		}
	})

	It("are broken off at once if no other replica of their version is left", func() {
		script := breaking()
		r1, r2 := startVersion("r1", "v1", script), startVersion("r2", "v2", script)
		w := newFixture(resumable, r1, r2)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(event(1)))
		Expect(to.broken).To(BeTrue())
		Expect(s.Total).To(BeNumerically("<", w.route.EventTarget), "it is not held")
		Expect(s.Attempts).To(HaveLen(1))
	})

	It("begin anywhere as long as the caller has no event", func() {
		n := 0
		script := func(a *receivedRequest) bool {
			streamHead(a)
			if countCall(&n) == 1 {
				return reset(a.conn)
			}
			chunk(a, allEvents)
			return streamEnd(a)
		}
		w := newFixture(resumable, startVersion("r1", "v1", script), startVersion("r2", "v2", script))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[1].Version).NotTo(Equal(s.Attempts[0].Version))
	})

	rest := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, event(2)+event(3))
		return streamEnd(a)
	}
	// resume returns a call that resumes the stream of a request after its first event.
	resume := func(w *fixture, first routing.RequestID) *relay.Call {
		c := w.call("b", "POST", "x")
		c.LastEventID, c.Resumes = "1", first
		return c
	}

	It("go on, resumed by their callers, at the version at which they began, and are recorded again", func() {
		for range 8 {
			r1, r2 := startVersion("r1", "v1", rest), startVersion("r2", "v2", rest)
			w := newFixture(resumable, r1, r2)
			key := routing.NewStreamKey("", "a")
			origins := &recordedOrigins{known: map[routing.StreamKey]routing.VersionKey{key: r2.VersionKey()}}
			w.relay.Origins = origins
			w.view.Versions = map[routing.ServiceName]routing.VersionKey{"s": 0}
			to, s := w.serve(resume(w, "a"))
			Expect(string(to.body)).To(Equal(event(2) + event(3)))
			Expect(s.Attempts[0].Version).To(Equal(routing.SoftwareVersion("v2")))
			Expect(origins.recorded).To(ConsistOf(And(HaveField("Stream", key), HaveField("Version", r2.VersionKey()))))
			Expect(origins.complete).To(ConsistOf(key), "their record is of no use any more")
		}
	})

	DescribeTable("are refused at once, without being sent, if it is not known where they began", func(first routing.RequestID) {
		r := startVersion("r1", "v1", rest)
		w := newFixture(resumable, r, startVersion("r2", "v2", rest))
		w.relay.Origins = &recordedOrigins{known: map[routing.StreamKey]routing.VersionKey{routing.NewStreamKey("", "a"): r.VersionKey()}}
		to, s := w.serve(resume(w, first))
		Expect(to.refusal).To(And(HaveField("Reason", coordination.ReasonOriginUnknown), HaveField("RetryAfter", BeNumerically(">", 0))))
		Expect(s.Attempts).To(BeEmpty())
	},
		Entry("another request", routing.RequestID("c")),
		Entry("none is named", routing.RequestID("")),
	)

	It("are refused at once if no replica of the version is left", func() {
		r := startVersion("r1", "v1", rest)
		w := newFixture(resumable, r)
		w.relay.Origins = &recordedOrigins{known: map[routing.StreamKey]routing.VersionKey{routing.NewStreamKey("", "a"): r.VersionKey() + 1}}
		to, s := w.serve(resume(w, "a"))
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonVersionGone))
		Expect(s.Attempts).To(BeEmpty())
	})

	It("go on without a question while their service has one version", func() {
		r := startVersion("r1", "v1", rest)
		w := newFixture(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		w.relay.Origins = origins
		to, _ := w.serve(resume(w, ""))
		Expect(string(to.body)).To(Equal(event(2) + event(3)))
		Expect(origins.asked).To(BeZero())
		Expect(origins.recorded).To(BeEmpty())
	})

	// Which knowledge bound a stream of two versions could not be told from a log.
	DescribeTable("tell by which knowledge they were bound, and how old it is", func(origins *recordedOrigins, by relay.OriginSource, holder routing.PeerID) {
		r := startVersion("r1", "v1", rest)
		w := newFixture(resumable, r)
		version := r.VersionKey()
		if origins.only != 0 {
			origins.only = version
		}
		if origins.renewed != 0 {
			origins.renewed = version
		}
		if origins.known != nil {
			origins.known = map[routing.StreamKey]routing.VersionKey{routing.NewStreamKey("", "a"): version}
		}
		if by == relay.OriginUnknown {
			version = 0
		}
		w.relay.Origins = origins
		_, s := w.serve(resume(w, "a"))
		Expect(s.Binding).To(Equal(relay.Binding{By: by, Version: version, Holder: holder, Ages: ages}))
	},
		Entry("the only version", &recordedOrigins{only: 1}, relay.OriginOnlyVersion, routing.PeerID("")),
		Entry("the daemon's own record", &recordedOrigins{known: map[routing.StreamKey]routing.VersionKey{}}, relay.OriginOwnRecord, routing.PeerID("")),
		Entry("a holder's record", &recordedOrigins{known: map[routing.StreamKey]routing.VersionKey{}, holder: "10.0.0.2:1"}, relay.OriginHolder, routing.PeerID("10.0.0.2:1")),
		Entry("unknown", &recordedOrigins{}, relay.OriginUnknown, routing.PeerID("")),
		Entry("the only version, once the daemon knows it again", &recordedOrigins{renewed: 1}, relay.OriginOnlyVersion, routing.PeerID("")),
	)

	It("tell which event a response began with", func() {
		w := newFixture(resumable, startVersion("r1", "v1", rest))
		_, s := w.serve(resume(w, "a"))
		Expect(s.FirstEvent).To(Equal(int64(2)))
		Expect(s.Binding).To(BeZero(), "no origins are recorded")
		w = newFixture(resumable, startVersion("r1", "v1", func(a *receivedRequest) bool { return respond(a, 400, "", "") }))
		_, s = w.serve(resume(w, "a"))
		Expect(s.FirstEvent).To(Equal(relay.NoEvent))
	})

	It("wait for the documents of another daemon before their service counts as one of one version", func() {
		r := startVersion("r1", "v1", rest)
		w := newFixture(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		origins.awaits = func() { origins.several.Store(true) }
		w.relay.Origins = origins
		to, _ := w.serve(resume(w, "a"))
		Expect(to.refusal).To(HaveField("Reason", coordination.ReasonOriginUnknown))
	})

	// Guards against streams that can't be resumed since they were broken off before their daemon knew of a second version:
	// a daemon that was paused during a release, or whose callers lost their connections just before it.
	DescribeTable("are recorded when they are broken off, though their service has one version", func(breakOff func(leave func(), a *receivedRequest) bool, recorded bool) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		leave := func() { <-to.wrote; cancel() }
		r := startVersion("r1", "v1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			return breakOff(leave, a)
		})
		w := newFixture(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		w.relay.Origins = origins
		w.relay.Serve(ctx, w.call("a", "POST", "x"), to)
		if !recorded {
			Expect(origins.recorded).To(BeEmpty())
			return
		}
		Expect(origins.recorded).To(ConsistOf(And(HaveField("Stream", routing.NewStreamKey("", "a")), HaveField("Version", r.VersionKey()))))
	},
		Entry("by the caller", func(leave func(), a *receivedRequest) bool { leave(); return awaitClose(a) }, true),
		Entry("by the replica", func(_ func(), a *receivedRequest) bool { return reset(a.conn) }, true),
		Entry("not at all", func(_ func(), a *receivedRequest) bool { return streamEnd(a) }, false),
	)

	It("are recorded with the next event once their service has a second version", func() {
		second := make(chan struct{})
		r := startVersion("r1", "v1", func(a *receivedRequest) bool {
			streamHead(a)
			chunk(a, event(1))
			<-second
			chunk(a, event(2)+event(3))
			return streamEnd(a)
		})
		w := newFixture(resumable, r)
		origins := &recordedOrigins{only: r.VersionKey()}
		w.relay.Origins = origins
		to := &recordingSink{wrote: make(chan struct{}, 8)}
		done := make(chan struct{})
		go func() { w.relay.Serve(context.Background(), w.call("a", "POST", "x"), to); close(done) }()
		Eventually(to.wrote, time.Second).Should(Receive())
		Expect(origins.recorded).To(BeEmpty())
		changed := *w.currentView()
		changed.Versions = map[routing.ServiceName]routing.VersionKey{"s": 0}
		w.setView(&changed)
		origins.several.Store(true)
		close(second)
		<-done
		Expect(origins.recorded).To(ConsistOf(HaveField("Stream", routing.NewStreamKey("", "a"))))
	})
})
