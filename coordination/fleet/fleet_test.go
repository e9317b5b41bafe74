package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// settledMesh returns a running fleet that has applied its first configuration.
func settledMesh(n, domains, engines int) *mesh {
	m := newMesh(n, domains)
	m.publishConfig(1, "first")
	m.publishList(1, engines)
	m.start()
	m.run(8 * time.Second)
	return m
}

func not(holds func(*meshNode) bool) func(*meshNode) bool {
	return func(n *meshNode) bool { return !holds(n) }
}

// reportState delivers a state report of an engine to the daemons that watch it.
func (m *mesh) reportState(engine string, st state.MemberState, load state.Load) {
	for _, n := range m.nodes {
		for _, u := range n.watched {
			if u.ID == engine {
				m.deliver(n, fleet.UpstreamReported{ID: state.UpstreamID(engine), Incarnation: 1, State: st, Load: load})
			}
		}
	}
}

var _ = Describe("a fleet", func() {
	It("applies a configuration everywhere within 3 s", func() {
		m := settledMesh(88, 11, 40)
		Expect(m.share(runs(1))).To(Equal(1.0))
		m.publishConfig(2, "second")
		Expect(m.timeUntil(7*time.Second, runs(2))).To(BeNumerically("<=", 3*time.Second))
	})
	It("serves in a part that is cut off, and applies a new configuration after healing", func() {
		m := settledMesh(24, 3, 6)
		alone := func(n *meshNode) bool { return n.self.Domain == "fd-0" }
		m.cut = func(a, b *meshNode) bool { return alone(a) != alone(b) }
		m.unreachable = alone
		m.publishConfig(2, "second")
		m.run(time.Minute)
		Expect(m.share(runs(2))).To(BeNumerically("~", 2.0/3, 0.01))
		Expect(m.share(func(n *meshNode) bool { return len(n.snapshot.Model("m").Candidates) > 0 })).To(Equal(1.0))
		m.cut = nil
		Expect(m.timeUntil(15*time.Second, runs(2))).To(BeNumerically("<", 12*time.Second))
	})
	It("applies one of two contents under a version everywhere and records the clash", func() {
		m := settledMesh(8, 2, 2)
		one, two := meshConfig(2, "by one operator"), meshConfig(2, "by another")
		m.deliver(m.nodes[0], fleet.ConfigReceived{Config: one})
		m.deliver(m.nodes[7], fleet.ConfigReceived{Config: two})
		m.run(5 * time.Second)
		winner := one
		if two.Head().Compare(one.Head()) > 0 {
			winner = two
		}
		Expect(m.share(func(n *meshNode) bool { return n.snapshot.Config == winner })).To(Equal(1.0))
		var clashes int
		for _, n := range m.nodes {
			for _, note := range n.notes {
				if note.Kind == coordination.EventConfigClash {
					clashes++
				}
			}
		}
		Expect(clashes).To(BeNumerically(">", 0))
	})
	It("does not go back when a daemon restarts while the platform is stale", func() {
		m := settledMesh(8, 2, 2)
		m.publishConfig(2, "second")
		m.run(5 * time.Second)
		m.config = meshConfig(1, "first")
		n := m.nodes[3]
		m.restart(n)
		// The platform responds before any peer.
		m.cut = func(a, b *meshNode) bool { return a == n || b == n }
		m.run(time.Second)
		m.cut = nil
		m.run(10 * time.Second)
		Expect(runs(2)(n)).To(BeTrue())
		for _, head := range n.served {
			Expect(head.Version).To(Equal(uint64(2)))
		}
	})
	It("gives a leaving engine no new work within 3 s with the platform away", func() {
		m := settledMesh(88, 11, 40)
		m.unreachable = func(*meshNode) bool { return true }
		Expect(m.share(serves("e7"))).To(Equal(1.0))
		m.reportState("e7", state.Leaving, 0)
		Expect(m.timeUntil(10*time.Second, not(serves("e7")))).To(BeNumerically("<=", 3*time.Second))
	})
	It("does not take a leaving incarnation back, and takes the next", func() {
		m := settledMesh(4, 1, 4)
		m.reportState("e1", state.Leaving, 0)
		m.run(5 * time.Second)
		m.reportState("e1", state.Live, 0)
		m.run(5 * time.Second)
		Expect(m.share(serves("e1"))).To(BeZero())
		for _, n := range m.nodes {
			m.deliver(n, fleet.UpstreamReported{ID: "e1", Incarnation: 2, State: state.Live})
		}
		m.run(5 * time.Second)
		Expect(m.share(serves("e1"))).To(Equal(1.0))
	})
	It("defers a list that lost most members and applies it if no other follows", func() {
		m := settledMesh(6, 2, 12)
		m.publishList(2, 1)
		m.run(5 * time.Second)
		Expect(m.share(serves("e9"))).To(Equal(1.0))
		m.run(25 * time.Second)
		Expect(m.share(serves("e9"))).To(BeZero())
	})
	It("applies a complete list that follows a deferred one", func() {
		m := settledMesh(6, 2, 12)
		m.publishList(2, 1)
		m.run(5 * time.Second)
		m.publishList(3, 12)
		m.run(40 * time.Second)
		Expect(m.share(serves("e9"))).To(Equal(1.0))
	})
	It("detects a pause and treats its list as unconfirmed until it is read again", func() {
		m := settledMesh(4, 1, 2)
		n := m.nodes[0]
		n.frozen = true
		m.run(20 * time.Second)
		m.unreachable = func(*meshNode) bool { return true }
		m.cut = func(a, b *meshNode) bool { return a == n || b == n }
		m.wake(n)
		m.run(time.Second)
		Expect(n.snapshot.Ownership.Confirmed.IsZero()).To(BeTrue())
		m.unreachable = func(*meshNode) bool { return false }
		m.run(3 * time.Second)
		Expect(n.snapshot.Ownership.Confirmed.IsZero()).To(BeFalse())
	})
	It("confirms the list of every daemon although few read the platform", func() {
		m := settledMesh(88, 11, 0)
		m.run(30 * time.Second)
		fresh := func(n *meshNode) bool { return m.now.Sub(n.snapshot.Ownership.Confirmed) < state.DefaultLease }
		Expect(m.share(fresh)).To(Equal(1.0))
		before := m.reads
		m.run(10 * time.Second)
		Expect(m.reads - before).To(BeNumerically("<=", 2*11*11))
	})
	It("confirms the list through peers if the platform is unreachable", func() {
		m := settledMesh(6, 1, 0)
		n := m.nodes[2]
		m.unreachable = func(o *meshNode) bool { return o == n }
		m.run(time.Minute)
		Expect(m.now.Sub(n.snapshot.Ownership.Confirmed)).To(BeNumerically("<", 10*time.Second))
	})
	It("watches each engine from one daemon of its failure domain", func() {
		m := settledMesh(12, 3, 9)
		watchers := map[string]int{}
		for _, n := range m.nodes {
			for _, u := range n.watched {
				watchers[u.ID]++
				Expect(u.Domain).To(Equal(n.self.Domain))
			}
		}
		Expect(watchers).To(HaveLen(9))
		for _, count := range watchers {
			Expect(count).To(Equal(1))
		}
	})
	It("stays within the budget when all loads change, and still reports a leaving engine at once", func() {
		m := settledMesh(12, 1, 600)
		m.run(time.Minute)
		for _, n := range m.nodes {
			n.sent, n.bytes = 0, 0
		}
		const seconds = 20
		for i := range seconds {
			for e := range 600 {
				m.reportState(fmt.Sprintf("e%d", e), state.Live, state.Load(100_000*(1+(i+e)%2*100)))
			}
			m.run(time.Second)
		}
		for _, n := range m.nodes {
			Expect(float64(n.bytes)/seconds).To(BeNumerically("<", 1500), "%s", n.self.ID)
		}
		m.reportState("e7", state.Leaving, 0)
		Expect(m.timeUntil(10*time.Second, not(serves("e7")))).To(BeNumerically("<=", 3*time.Second))
	})
	It("reports every leaving engine when more leave than one message holds", func() {
		m := settledMesh(4, 1, 300)
		m.run(10 * time.Second)
		for e := range 300 {
			m.reportState(fmt.Sprintf("e%d", e), state.Leaving, 0)
		}
		m.run(5 * time.Second)
		m.restart(m.nodes[0])
		m.run(20 * time.Second)
		Expect(m.share(func(n *meshNode) bool { return len(n.snapshot.Model("m").Candidates) == 0 })).To(Equal(1.0))
	})
	It("still accepts reports of an engine after its watcher has restarted", func() {
		m := settledMesh(2, 1, 1)
		watcher, other := m.nodes[0], m.nodes[1]
		if len(watcher.watched) == 0 {
			watcher, other = other, watcher
		}
		load := func() state.Load { return other.snapshot.Model("m").Candidates[0].Load }
		for i := range 40 {
			m.reportState("e0", state.Live, state.Load(100_000*(i%2+1)))
		}
		m.run(5 * time.Second)
		Expect(load()).To(BeNumerically(">", 50_000))
		m.restart(watcher)
		m.run(5 * time.Second)
		m.reportState("e0", state.Live, 1000)
		m.run(5 * time.Second)
		Expect(load()).To(BeNumerically("<", 50_000))
	})
	It("reassigns duties when a daemon stops as planned", func() {
		m := settledMesh(3, 1, 9)
		n := m.nodes[0]
		Expect(n.watched).NotTo(BeEmpty())
		m.deliver(n, fleet.StopBegun{})
		m.run(2 * time.Second)
		total := 0
		for _, other := range m.nodes[1:] {
			total += len(other.watched)
		}
		Expect(total).To(Equal(9))
	})
})

// TestConfigNeverGoesBack generates publications, stale platforms, restarts, cuts and
// concurrent publications, and checks that no process replaces a configuration by an
// older one.
func TestConfigNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := settledMesh(5, 2, 1)
		cut := map[state.DaemonID]bool{}
		m.cut = func(a, b *meshNode) bool { return cut[a.self.ID] || cut[b.self.ID] }
		version := 1
		for range 25 {
			n := m.nodes[rapid.IntRange(0, 4).Draw(t, "node")]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				version++
				m.publishConfig(version, "ordinary")
			case 1:
				m.config = meshConfig(rapid.IntRange(1, version).Draw(t, "stale"), "stale")
			case 2:
				m.deliver(n, fleet.ConfigReceived{Config: meshConfig(version, fmt.Sprint("race ", rapid.IntRange(0, 3).Draw(t, "race")))})
			case 3:
				cut[n.self.ID] = !cut[n.self.ID]
			case 4:
				m.restart(n)
			}
			m.run(2 * time.Second)
			for _, n := range m.nodes {
				for i := 1; i < len(n.served); i++ {
					if n.served[i].Compare(n.served[i-1]) < 0 {
						t.Fatalf("%s went back from %v to %v", n.self.ID, n.served[i-1], n.served[i])
					}
				}
			}
		}
	})
}

// BenchmarkControl measures the cost of exchanges per daemon for growing fleets: messages
// and encoded bytes a second, with steady and with changing loads of the engines.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ daemons, domains, engines int }{{8, 4, 20}, {80, 11, 400}, {320, 11, 1600}, {930, 11, 4500}} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/busy=%v", size.daemons, busy), func(b *testing.B) {
				for range b.N {
					m := settledMesh(size.daemons, size.domains, size.engines)
					controlCost(b, m, size.engines, busy)
				}
			})
		}
	}
}

func controlCost(b *testing.B, m *mesh, engines int, busy bool) {
	for _, n := range m.nodes {
		n.sent, n.bytes = 0, 0
	}
	const seconds = 20
	reads := m.reads
	begun := time.Now()
	for range seconds {
		m.run(time.Second)
		if !busy {
			continue
		}
		// One engine in a hundred reports a significant change of its load.
		for range max(1, engines/100) {
			m.reportState(fmt.Sprintf("e%d", m.rng.IntN(engines)), state.Live, state.Load(m.rng.IntN(40_000)))
		}
	}
	spent := time.Since(begun)
	var sent, bytes int
	for _, n := range m.nodes {
		sent += n.sent
		bytes += n.bytes
	}
	daemons := float64(len(m.nodes))
	b.ReportMetric(float64(sent)/daemons/seconds, "msgs/daemon/s")
	b.ReportMetric(float64(bytes)/daemons/seconds, "B/daemon/s")
	b.ReportMetric(float64(m.reads-reads)/seconds, "reads/s")
	b.ReportMetric(spent.Seconds()*1e6/daemons/seconds, "µs-cpu/daemon/s")
}
