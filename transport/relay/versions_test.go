package relay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

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
})
