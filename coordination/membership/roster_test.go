package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state"
)

var epoch = time.Unix(1_000_000, 0)

const heartbeatInterval = 200 * time.Millisecond

// network simulates daemons that exchange heartbeats in virtual time.
type network struct {
	rng      *rand.Rand
	now      time.Time
	rosters  map[membership.Address]*membership.Roster
	blocked  func(from, to membership.Address) bool
	sent     int
	interval time.Duration // interval between two heartbeats of a daemon
	domains  int
}

func newNetwork() *network {
	return &network{
		rng: rand.New(rand.NewPCG(1, 1)), now: epoch, rosters: make(map[membership.Address]*membership.Roster),
		blocked: func(_, _ membership.Address) bool { return false }, interval: heartbeatInterval, domains: 4,
	}
}

func address(i int) membership.Address {
	return membership.Address(fmt.Sprintf("10.0.%d.%03d:1", i/1000, i%1000))
}

func (n *network) start(i int, incarnation membership.Incarnation, seeds ...int) {
	var s []membership.Address
	for _, seed := range seeds {
		s = append(s, address(seed))
	}
	n.rosters[address(i)] = membership.NewRoster(membership.Member{Address: address(i), Domain: state.FailureDomain(fmt.Sprint(i % n.domains)), Incarnation: incarnation}, s)
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(n.interval) {
		for _, from := range slices.Sorted(maps.Keys(n.rosters)) {
			r := n.rosters[from]
			members := append([]membership.Member{r.NextHeartbeat()}, r.Sample(n.now, n.rng)...)
			for _, to := range r.Targets(n.now, n.rng) {
				n.sent++
				if peer := n.rosters[to]; peer != nil && !n.blocked(from, to) {
					n.deliver(peer, r, members)
				}
			}
		}
	}
}

// deliver delivers a heartbeat. In a large fleet, the recipient sends a bootstrap to a
// sender that it did not know as live.
func (n *network) deliver(peer, sender *membership.Roster, members []membership.Member) {
	peer.ObserveSize(sender.Size(n.now))
	for _, m := range peer.Observe(members, n.now) {
		self, to := peer.Self().Address, members[0].Address
		if m.Address == to && peer.Forget(n.now) > membership.FullMeshSize && !n.blocked(self, to) {
			sender.Observe(append([]membership.Member{peer.NextHeartbeat()}, peer.Bootstrap(m, n.now, n.rng)...), n.now)
		}
	}
}

func (n *network) live(i int) int { return len(n.rosters[address(i)].Live(n.now)) }

var _ = Describe("Roster", func() {
	var n *network
	BeforeEach(func() { n = newNetwork() })

	It("finds all daemons from one seed within a second", func() {
		for i := range 8 {
			n.start(i, 1, 0)
		}
		n.run(time.Second)
		for i := range 8 {
			Expect(n.live(i)).To(Equal(7))
		}
	})

	It("accepts a daemon that restarts after its clock was set back", func() {
		for i := range 20 {
			n.start(i, 2000, 0)
		}
		n.run(3 * time.Second)
		n.start(5, 1500, 0)
		n.run(6 * time.Second)
		for i := range 20 {
			Expect(n.live(i)).To(Equal(19), "daemon %d", i)
		}
	})

	It("finds all daemons if only one of three seeds is live", func() {
		for i := 2; i < 8; i++ {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(3 * time.Second)
		for i := 2; i < 8; i++ {
			Expect(n.live(i)).To(Equal(5))
		}
	})

	It("runs alone while no seed responds", func() {
		n.start(5, 1, 0, 1)
		n.run(10 * time.Second)
		Expect(n.live(5)).To(BeZero())
		n.start(0, 1)
		n.run(time.Second)
		Expect(n.live(5)).To(Equal(1))
	})

	DescribeTable("decides whether a daemon that has just started reads the store", func(self int, after time.Duration, callerWaits bool, want bool, seeds ...int) {
		n.start(self, 1, seeds...)
		r := n.rosters[address(self)]
		r.StartListening(epoch)
		if callerWaits {
			r.StopListening()
		}
		Expect(r.PlanReads(epoch.Add(after), false).Reads).To(Equal(want))
	},
		Entry("it listens first", 5, 900*time.Millisecond, false, false, 0, 1),
		Entry("it reads if no heartbeat was received", 5, time.Second, false, true, 0, 1),
		Entry("it reads at once if a caller waits", 5, time.Duration(0), true, true, 0, 1),
		Entry("a seed reads at once, or no daemon would", 1, time.Duration(0), false, true, 0, 1),
		Entry("it reads at once without seeds to listen to", 5, time.Duration(0), false, true),
	)

	It("drops a daemon that falls silent, and accepts its next incarnation", func() {
		for i := range 4 {
			n.start(i, 1, 0)
		}
		n.run(time.Second)
		delete(n.rosters, address(3))
		n.run(4 * time.Second)
		Expect(n.live(1)).To(Equal(2))
		n.start(3, 2, 0)
		n.run(time.Second)
		Expect(n.live(1)).To(Equal(3))
	})

	It("ignores a late heartbeat of an old incarnation", func() {
		r := membership.NewRoster(membership.Member{Address: "a:1"}, nil)
		r.Observe([]membership.Member{{Address: "b:1", Incarnation: 2, Heartbeats: 1}}, epoch)
		late := epoch.Add(5 * time.Second)
		r.Observe([]membership.Member{{Address: "b:1", Incarnation: 1, Heartbeats: 99}}, late)
		Expect(r.Live(late)).To(BeEmpty())
	})

	It("recovers from a network partition", func() {
		for i := range 8 {
			n.start(i, 1, 0)
		}
		n.run(time.Second)
		side := func(a membership.Address) bool { return a < address(4) }
		n.blocked = func(from, to membership.Address) bool { return side(from) != side(to) }
		n.run(5 * time.Second)
		Expect(n.live(0)).To(Equal(3))
		Expect(n.live(6)).To(Equal(3))
		Expect(n.rosters[address(0)].PeakSize()).To(Equal(8), "each daemon's share of the budgets must not grow in a partition")
		n.blocked = func(_, _ membership.Address) bool { return false }
		n.run(2 * time.Second)
		Expect(n.live(0)).To(Equal(7))
	})

	It("never considers a reachable domain of a large fleet cut off", func() {
		const daemons = 80
		for i := range daemons {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(3 * time.Second)
		for range 20 {
			n.run(heartbeatInterval)
			for a, r := range n.rosters {
				for domain, at := range r.Domains() {
					Expect(n.now.Sub(at)).To(BeNumerically("<", 1200*time.Millisecond), "%s of domain %s", a, domain)
				}
			}
		}
	})

	DescribeTable("detects within two seconds that a domain of a large fleet is cut off", func(daemons int) {
		n.interval = 2 * heartbeatInterval
		for i := range daemons {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(12 * time.Second)
		cut := state.FailureDomain("3")
		n.blocked = func(from, to membership.Address) bool {
			return (n.rosters[from].Self().Domain == cut) != (n.rosters[to].Self().Domain == cut)
		}
		n.run(2 * time.Second)
		for a, r := range n.rosters {
			for domain, at := range r.Domains() {
				if domain == r.Self().Domain {
					continue
				}
				beyond := (domain == cut) != (r.Self().Domain == cut)
				Expect(n.now.Sub(at) > 1200*time.Millisecond).To(Equal(beyond), "%s of domain %s", a, domain)
			}
		}
	}, Entry("62 daemons", 62), Entry("87 daemons", 87))

	DescribeTable("keeps the likely readers up to date in a large fleet, despite less frequent heartbeats", func(daemons, domains int) {
		n.interval, n.domains = 2*heartbeatInterval, domains
		for i := range daemons {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(12 * time.Second)
		worst, worstFar := time.Duration(0), time.Duration(0)
		for range 10 {
			n.run(n.interval)
			for a, r := range n.rosters {
				for z := range domains {
					if first := address(z); first != a {
						age := n.now.Sub(r.LastSeen(first))
						if r.Self().Domain == state.FailureDomain(fmt.Sprint(z)) {
							worst = max(worst, age)
						}
						worstFar = max(worstFar, age)
					}
				}
				near := 0
				for _, m := range r.Live(n.now) {
					if m.Domain == r.Self().Domain {
						near++
					}
				}
				Expect(near).To(BeNumerically(">=", (daemons/domains-1)*9/10), "%s knows its own domain", a)
				if daemons < 100 {
					Expect(len(r.Live(n.now))).To(BeNumerically(">=", daemons*9/10), "%s", a)
				}
			}
		}
		Expect(worst).To(BeNumerically("<", 2*time.Second), "of the own domain")
		Expect(worstFar).To(BeNumerically("<", 4*time.Second), "of any domain")
	},
		Entry("62 daemons", 62, 4), Entry("80 daemons", 80, 4), Entry("300 daemons", 300, 4), Entry("510 daemons in 6 domains", 510, 6),
	)

	It("knows the size of a large fleet soon after it has started, and after it has shrunk", func() {
		const daemons, left = 300, 20
		n.interval = 2 * heartbeatInterval
		for i := range daemons {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(5 * time.Second)
		for a, r := range n.rosters {
			Expect(r.PeakSize()).To(BeNumerically(">=", daemons*17/20), "%s", a)
			Expect(r.Size(n.now)).To(BeNumerically("<=", daemons), "%s", a)
		}
		for i := left; i < daemons; i++ {
			delete(n.rosters, address(i))
		}
		n.run(150 * time.Second)
		for a, r := range n.rosters {
			Expect(r.Size(n.now)).To(BeNumerically("<=", 3*left), "%s", a)
		}
	})

	It("limits the number of messages in a large fleet", func() {
		const daemons = 120
		for i := range daemons {
			n.start(i, 1, 0, 1, 2)
		}
		n.run(5 * time.Second)
		Expect(n.live(77)).To(BeNumerically(">=", daemons*9/10))
		n.sent = 0
		n.run(2 * time.Second)
		Expect(n.sent / daemons / 10).To(BeNumerically("<=", 8))
	})
})

func TestLiveDaemonsAreFoundUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		count := rapid.IntRange(2, 10).Draw(t, "daemons")
		loss := rapid.IntRange(0, 30).Draw(t, "loss percent")
		for i := range count {
			n.start(i, 1, rapid.IntRange(0, count-1).Draw(t, "seed"), 0)
		}
		n.blocked = func(_, _ membership.Address) bool { return n.rng.IntN(100) < loss }
		n.run(6 * time.Second)
		for i := range count {
			if n.live(i) != count-1 {
				t.Fatalf("daemon %d sees %d live members, want %d", i, n.live(i), count-1)
			}
		}
	})
}
