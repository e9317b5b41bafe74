package relay_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

var _ = Describe("Streams during a release", func() {
	allEvents := event(1) + event(2) + event(3)
	streams := func(a *receivedRequest) bool {
		streamHead(a)
		chunk(a, allEvents)
		return streamEnd(a)
	}
	// release returns a fixture of a service in which the version of some replicas is new.
	release := func(route routing.Route, fresh routing.SoftwareVersion, replicas ...*replica) *fixture {
		w := newFixture(route, replicas...)
		w.view.NewVersions = routing.NewVersions{"s": {startVersion("x", fresh, nil).VersionKey()}}
		return w
	}

	It("try a second established replica, and not a new one, before their first event", func() {
		// Guards against a retry that begins a stream at a version that some daemon may not know.
		for range 8 {
			breaks := func(a *receivedRequest) bool {
				streamHead(a)
				return reset(a.conn)
			}
			w := release(resumable, "v2", startVersion("r1", "v1", breaks), startVersion("r2", "v2", streams), startVersion("r3", "v1", breaks), startVersion("r4", "v2", streams))
			_, s := w.serve(w.call("a", "POST", "x"))
			Expect(s.Attempts).To(HaveLen(2))
			Expect(s.Attempts).To(HaveEach(HaveField("Version", routing.SoftwareVersion("v1"))))
		}
	})

	// establishAfter lets the new version be established after a time.
	establishAfter := func(w *fixture, after time.Duration) {
		established := *w.currentView()
		established.NewVersions = nil
		time.AfterFunc(after, func() { w.setView(&established) })
	}

	It("are sent to a new version, and tell it, if no other replica is left", func() {
		broken := func(a *receivedRequest) bool { return reset(a.conn) }
		w := release(resumable, "v2", startVersion("r1", "v1", broken), startVersion("r2", "v2", streams))
		establishAfter(w, 100*time.Millisecond)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[0].NewVersion).To(BeFalse())
		Expect(s.Attempts[1].NewVersion).To(BeTrue())
	})

	It("have no event before their version is established, if they may be resumed elsewhere", func() {
		// Guards against streams that are resumed at another version by a daemon that does not know theirs, where a release
		// replaces all replicas of a service at once.
		const after = 300 * time.Millisecond
		w := release(resumable, "v2", startVersion("r1", "v2", streams))
		establishAfter(w, after)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.FirstByte).To(BeNumerically(">=", after))
		Expect(s.EstablishmentWait).To(BeNumerically(">", 0))
		Expect(s.Attempts).To(HaveLen(1))
	})

	It("are broken off without an event if their version is not established before the deadline", func() {
		w := release(resumable, "v2", startVersion("r1", "v2", streams))
		c := w.call("a", "POST", "x")
		c.Deadline = c.Arrived.Add(400 * time.Millisecond)
		to, s := w.serve(c)
		Expect(string(to.body)).NotTo(ContainSubstring("data:"))
		Expect(s.Events).To(BeZero())
		Expect(coordination.OutcomeName(s.Outcome)).NotTo(Equal("answered"))
	})

	It("are sent again at once if they break before their first event", func() {
		// Guards against a replica of a new version that fails and is waited for until its version is established.
		n := 0
		breaksFirst := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				streamHead(a)
				return reset(a.conn)
			}
			return streams(a)
		}
		w := release(resumable, "v2", startVersion("r1", "v2", breaksFirst), startVersion("r2", "v2", breaksFirst))
		establishAfter(w, 700*time.Millisecond)
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts[0].Duration).To(BeNumerically("<", 500*time.Millisecond))
		Expect(s.FirstByte).To(BeNumerically(">=", 700*time.Millisecond))
	})

	It("begin at once if they can't be resumed elsewhere", func() {
		w := release(routing.Route{Kind: routing.Stream}, "v2", startVersion("r1", "v2", streams))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.EstablishmentWait).To(BeZero())
	})

	It("go on at once if they began before", func() {
		// Guards against resumed streams that wait although they are bound to the new version.
		w := release(resumable, "v2", startVersion("r1", "v2", streams))
		w.relay.Origins = &recordedOrigins{only: startVersion("x", "v2", nil).VersionKey()}
		c := w.call("a", "POST", "x")
		c.LastEventID, c.Resumes = "0", "first"
		to, s := w.serve(c)
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.EstablishmentWait).To(BeZero())
	})

	It("are sent to a second established replica, and not to a new one, while the first one is silent", func() {
		// Guards against the second attempt of a call whose first one goes on.
		n := 0
		silentFirst := func(a *receivedRequest) bool {
			if countCall(&n) == 1 {
				return awaitClose(a)
			}
			return streams(a)
		}
		w := release(resumable, "v2", startVersion("r1", "v1", silentFirst), startVersion("r2", "v2", streams), startVersion("r3", "v1", silentFirst), startVersion("r4", "v2", streams))
		to, s := w.serve(w.call("a", "POST", "x"))
		Expect(string(to.body)).To(Equal(allEvents))
		Expect(s.Attempts).To(HaveLen(2))
		Expect(s.Attempts).To(HaveEach(HaveField("Version", routing.SoftwareVersion("v1"))))
	})

	Context("at a crowded service", func() {
		grant := func(r *replica) relay.Permit {
			return relay.PermitGranted{Service: "s", ID: 1, Replica: r.LoadKey()}
		}

		It("ask for an established replica", func() {
			old, next := startVersion("r1", "v1", streams), startVersion("r2", "v2", streams)
			w := release(resumable, "v2", old, next)
			p := &scriptedPermits{needed: true, acquire: func(_ context.Context, tried []routing.LoadKey) relay.Permit {
				if slices.Contains(tried, next.LoadKey()) {
					return grant(old)
				}
				return grant(next)
			}}
			w.relay.Permits = p
			_, s := w.serve(w.call("a", "POST", "x"))
			Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r1"))))
			Expect(p.tried).To(HaveLen(1))
		})

		It("give back the permit of a new one", func() {
			// Guards against a coordinator of which not all new replicas are told, and of the previous build.
			old, next := startVersion("r1", "v1", streams), startVersion("r2", "v2", streams)
			w := release(resumable, "v2", old, next)
			p := &scriptedPermits{needed: true, acquire: grants(next, old)}
			w.relay.Permits = p
			_, s := w.serve(w.call("a", "POST", "x"))
			Expect(s.Attempts).To(HaveExactElements(HaveField("Replica", routing.ReplicaID("r1"))))
			Expect(p.released).To(Equal([]admission.Result{admission.Abandoned, admission.Completed}))
		})

		DescribeTable("use the permit of a new one if the coordinator has no place at another", func(without func(ctx context.Context) relay.Permit) {
			// Guards against requests that are refused, or sent without a permit, although a replica has a place.
			old, next := startVersion("r1", "v1", streams), startVersion("r2", "v2", streams)
			w := release(resumable, "v2", old, next)
			p := &scriptedPermits{needed: true, acquire: func(ctx context.Context, tried []routing.LoadKey) relay.Permit {
				if slices.Contains(tried, next.LoadKey()) {
					return without(ctx)
				}
				return grant(next)
			}}
			w.relay.Permits = p
			establishAfter(w, 500*time.Millisecond)
			to, s := w.serve(w.call("a", "POST", "x"))
			Expect(string(to.body)).To(Equal(allEvents))
			Expect(s.Attempts).To(HaveExactElements(And(HaveField("Replica", routing.ReplicaID("r2")), HaveField("NewVersion", BeTrue()))))
			Expect(p.released).To(Equal([]admission.Result{admission.Completed}))
		},
			Entry("it refuses", func(context.Context) relay.Permit { return relay.PermitRefused{RetryAfter: time.Second} }),
			Entry("it has the request wait", func(ctx context.Context) relay.Permit {
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
				return relay.PermitExpired{}
			}),
		)

		It("that were refused without a new version are refused", func() {
			old, next := startVersion("r1", "v1", streams), startVersion("r2", "v2", streams)
			w := release(resumable, "v2", old, next)
			w.relay.Permits = &scriptedPermits{needed: true, acquire: func(context.Context, []routing.LoadKey) relay.Permit {
				return relay.PermitRefused{RetryAfter: time.Second}
			}}
			_, s := w.serve(w.call("a", "POST", "x"))
			Expect(s.Attempts).To(BeEmpty())
		})
	})
})
