package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/membership"
)

// Guards against a daemon that ends by itself and is started again without any line at its peers.
var _ = Describe("A daemon that starts again", func() {
	const shutdown, downFor = 2800 * time.Millisecond, 600 * time.Millisecond
	var n *network
	BeforeEach(func() { n = newNetwork() })

	startAll := func(daemons int) {
		for i := range daemons {
			n.start(i, 10, 0, 1, 2)
		}
		n.run(3 * time.Second)
	}
	kill := func(i int) { delete(n.rosters, address(i)) }
	// reports returns the restarts that the daemons have found, and the most that one of them has.
	reports := func() (found []membership.Restart, most int) {
		for _, r := range n.rosters {
			list := r.TakeRestarts()
			found, most = append(found, list...), max(most, len(list))
		}
		return found, most
	}

	It("is found by each peer once if it was killed", func() {
		startAll(8)
		kill(3)
		n.run(downFor)
		n.start(3, 16, 0)
		n.run(3 * time.Second)
		found, most := reports()
		Expect(found).To(HaveLen(7))
		Expect(most).To(Equal(1))
		for _, f := range found {
			Expect(f.Address).To(Equal(address(3)))
			Expect(f.Former).To(BeEquivalentTo(10))
			Expect(f.Incarnation).To(BeEquivalentTo(16))
			Expect(f.Silent).To(BeNumerically("~", downFor, 2*heartbeatInterval))
		}
	})

	It("is found if it was killed for longer than members count as live", func() {
		startAll(8)
		kill(3)
		n.run(20 * time.Second)
		n.start(3, 210, 0)
		n.run(3 * time.Second)
		found, _ := reports()
		Expect(found).To(HaveLen(7))
		Expect(found[0].Silent).To(BeNumerically("~", 20*time.Second, 2*heartbeatInterval))
	})

	It("is found if its clock was set back", func() {
		startAll(8)
		kill(3)
		n.run(downFor)
		n.start(3, 5, 0)
		n.run(8 * time.Second)
		found, most := reports()
		Expect(found).To(HaveLen(7))
		Expect(most).To(Equal(1))
	})

	It("is found once although messages of its former process arrive late", func() {
		r := membership.NewRoster(membership.Member{Address: "a:1"}, nil)
		observe := func(incarnation membership.Incarnation, heartbeats uint64) {
			r.Observe([]membership.Member{{Address: "b:1", Incarnation: incarnation, Heartbeats: heartbeats}}, n.now)
			n.now = n.now.Add(heartbeatInterval)
		}
		observe(1, 5)
		observe(2, 1)
		observe(1, 6)
		observe(2, 2)
		observe(1, 4)
		Expect(r.TakeRestarts()).To(HaveLen(1))
		Expect(r.TakeRestarts()).To(BeEmpty())
	})

	DescribeTable("is not found if it was shut down gracefully", func(daemons, lossPercent int) {
		n.blocked = func(_, _ membership.Address) bool { return n.rng.IntN(100) < lossPercent }
		startAll(daemons)
		n.run(10 * time.Second)
		for restart := range membership.Incarnation(5) {
			i := 3 + int(restart)
			n.rosters[address(i)].SetLeaving()
			n.run(shutdown)
			kill(i)
			n.run(downFor)
			n.start(i, 200+restart, 0, 1, 2)
			n.run(3 * time.Second)
		}
		found, _ := reports()
		Expect(found).To(BeEmpty())
	},
		Entry("of 8 daemons", 8, 0), Entry("of 8 daemons that lose a third of the messages", 8, 33),
		Entry("of 62 daemons", 62, 0), Entry("of 62 daemons that lose a tenth of the messages", 62, 10),
	)

	It("is found by some of a large fleet, and by each at most once, if it was killed", func() {
		n.interval = 2 * heartbeatInterval
		startAll(62)
		n.run(10 * time.Second)
		kill(5)
		n.run(downFor)
		n.start(5, 200, 0, 1, 2)
		n.run(10 * time.Second)
		found, most := reports()
		Expect(len(found)).To(BeNumerically(">=", 3))
		Expect(most).To(Equal(1))
	})

	It("is a new one if it was forgotten, or unknown", func() {
		startAll(3)
		kill(2)
		for range 100 {
			n.run(time.Second)
			for _, r := range n.rosters {
				r.Forget(n.now)
			}
		}
		n.start(2, 1000, 0)
		n.run(3 * time.Second)
		found, _ := reports()
		Expect(found).To(BeEmpty())
	})
})
