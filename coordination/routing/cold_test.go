package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// The request rate that a cold replica can serve, and the number of requests that all daemons
// together may send it in any second: one and a half times as much, plus 5.
const (
	coldPerSecond = 13
	maxWhileCold  = 24
	coldStart     = 3 * time.Second
)

// coldFleetSim simulates a fleet in which each daemon has more requests than cold replicas can
// serve. Replicas and daemons are spread over the same failure domains.
type coldFleetSim struct {
	rng     *rand.Rand
	view    map[state.FailureDomain]*routing.View // by failure domain of the daemon
	daemons []*coldDaemon
	arrived map[routing.ReplicaID][]time.Time
	refused int
}

type coldDaemon struct {
	domain state.FailureDomain
	placer *routing.Placer
}

func newColdFleetSim(daemons, replicas, domains int, seed uint64) *coldFleetSim {
	w := &coldFleetSim{rng: rand.New(rand.NewPCG(seed, 7)), view: make(map[state.FailureDomain]*routing.View), arrived: make(map[routing.ReplicaID][]time.Time)}
	pool := &routing.Pool{}
	for i := range replicas {
		pool.Ready = append(pool.Ready, routing.NewReplica(routing.Replica{
			ID: routing.ReplicaID(fmt.Sprintf("i-%d-%d", seed, i)), Service: "llm", Slots: 12,
			Domain: state.FailureDomain(fmt.Sprint("z", i%domains)), ColdUntil: epoch.Add(time.Hour),
		}))
	}
	t, err := routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdStart: coldStart, ColdPerSecond: coldPerSecond}}})
	Expect(err).NotTo(HaveOccurred())
	for i := range domains {
		domain := state.FailureDomain(fmt.Sprint("z", i))
		w.view[domain] = &routing.View{Table: t, Domain: domain, Daemons: daemons, Pools: map[routing.ServiceName]*routing.Pool{"llm": pool}}
	}
	pool.Sort()
	for i := range daemons {
		w.daemons = append(w.daemons, &coldDaemon{
			domain: state.FailureDomain(fmt.Sprint("z", i%domains)),
			placer: &routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth(), Cold: routing.NewColdLimiter(routing.PeerID(fmt.Sprintf("10.%d.%d.%d:7020", seed%250, i/250, i%250)))},
		})
	}
	return w
}

// cut disconnects a domain from the others: its daemons reach only its own replicas, and no other
// daemon reaches these.
func (w *coldFleetSim) cut(domain state.FailureDomain) {
	for d, v := range w.view {
		pool := &routing.Pool{}
		for _, r := range v.Pool("llm").Ready {
			if (r.Domain == domain) == (d == domain) {
				pool.Ready = append(pool.Ready, r)
			}
		}
		pool.Sort()
		w.view[d] = &routing.View{Table: v.Table, Domain: d, Daemons: v.Daemons, Pools: map[routing.ServiceName]*routing.Pool{"llm": pool}}
	}
}

// run lets each daemon place a request every 50 ms, with a random offset.
func (w *coldFleetSim) run(from, d time.Duration) {
	const step = 50 * time.Millisecond
	for at := from; at < from+d; at += step {
		for i, daemon := range w.daemons {
			now := epoch.Add(at + time.Duration(w.rng.Int64N(int64(step))))
			r := chat(fmt.Sprint("s", w.rng.IntN(50)))
			r.ID = routing.RequestID(fmt.Sprint(i, at))
			t, ok := daemon.placer.Choose(w.view[daemon.domain], r, routing.Tried{}, now)
			if !ok {
				w.refused++
				continue
			}
			w.arrived[t.Replica.ID] = append(w.arrived[t.Replica.ID], now)
		}
	}
}

// maxPerSecond returns the largest number of requests that reached one replica within any second.
func (w *coldFleetSim) maxPerSecond() int {
	most := 0
	for _, list := range w.arrived {
		for i := range list {
			n := 0
			for j := range list {
				if d := list[j].Sub(list[i]); d >= 0 && d <= time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

var fleetSizes = []int{8, 65, 300, 930}

// TestColdReplicasStayWithinRate checks the rate limit under the heaviest load: all replicas of
// the fleet came back cold, and each daemon has ten times the requests that they can serve.
// Daemons know different fleet sizes, some or all have just started, and one domain may be cut
// off, whose daemons know only each other.
func TestColdReplicasStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		n := rapid.SampledFrom(fleetSizes).Draw(t, "daemons")
		w := newColdFleetSim(n, 8, 4, rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
		fresh := rapid.SampledFrom([]float64{0, .1, .5, 1}).Draw(t, "started just now")
		isCut := rapid.Bool().Draw(t, "one domain is cut off")
		if isCut {
			w.cut("z0")
		}
		for _, d := range w.daemons {
			if w.rng.Float64() < fresh {
				continue
			}
			known := int(float64(n) * (.75 + .25*w.rng.Float64()))
			if isCut && d.domain == "z0" {
				known = n / 4
			}
			d.placer.Cold.SetFleetSize(known)
		}
		w.run(0, 1500*time.Millisecond)
		if most := w.maxPerSecond(); most > maxWhileCold {
			t.Fatalf("%d requests reached a cold replica within a second, want at most %d", most, maxWhileCold)
		}
	})
}

// TestColdLoadExceedsUnlimitedRate checks that the load above is heavy enough to exceed the limit
// if there is no rate limit, or if each daemon derives its quota from the daemons it knows when
// all have just started and know only themselves.
func TestColdLoadExceedsUnlimitedRate(t *testing.T) {
	RegisterTestingT(t)
	for name, naive := range map[string]func(*routing.Placer){
		"no rate":                      func(p *routing.Placer) { p.Cold = nil },
		"quota from the known daemons": func(p *routing.Placer) { p.Cold.SetFleetSize(1) },
	} {
		for _, n := range fleetSizes {
			w := newColdFleetSim(n, 8, 4, 1)
			for _, d := range w.daemons {
				naive(d.placer)
			}
			w.run(0, 1500*time.Millisecond)
			if most := w.maxPerSecond(); most <= maxWhileCold {
				t.Errorf("%s, %d daemons: %d in a second; the load is too light to exceed the limit", name, n, most)
			}
		}
	}
}

// TestColdQuotasAreSpreadEvenly adds up the quotas of 930 daemons at 4,500 replicas: rounding
// must give no replica more senders than it can serve, and the mean must be coldFraction of the
// rate.
func TestColdQuotasAreSpreadEvenly(t *testing.T) {
	RegisterTestingT(t)
	const daemons, replicas = 930, 4500
	w := newColdFleetSim(daemons, 1, 1, 3)
	quotas := make([]int, replicas)
	for _, d := range w.daemons {
		d.placer.Cold.SetFleetSize(daemons)
		for i := range quotas {
			r := routing.Replica{ID: routing.ReplicaID(fmt.Sprint("i-", i))}
			quotas[i] += d.placer.Cold.Quota(&r, coldPerSecond)
		}
	}
	sum, most := 0, 0
	for _, n := range quotas {
		sum, most = sum+n, max(most, n)
	}
	if most > maxWhileCold {
		t.Errorf("a replica has %d senders, want at most %d", most, maxWhileCold)
	}
	if mean := float64(sum) / replicas; mean < .45*coldPerSecond || mean > .55*coldPerSecond {
		t.Errorf("%.2f requests a second are sent to a replica, want half of %d", mean, coldPerSecond)
	}
}

var _ = Describe("Cold replicas", func() {
	coldFleet := func(domains ...string) *fleet {
		f := newFleet("llm", domains...)
		f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, CopiesPrompts: true, ColdPerSecond: coldPerSecond}}})
		f.placer.Cold = routing.NewColdLimiter("d")
		f.placer.Cold.SetFleetSize(8)
		return f
	}
	turnCold := func(f *fleet, n int) {
		for i := range n {
			f.pool.Ready[i].ColdUntil = epoch.Add(time.Second)
		}
	}

	It("get nothing while half are warm", func() {
		f := coldFleet(sameDomain(8)...)
		turnCold(f, 4)
		for i := range 200 {
			t := f.choose(chat(fmt.Sprint(i)))
			Expect(t.Replica.IsCold(epoch)).To(BeFalse())
		}
	})

	It("get their quota while fewer are warm, and the rest goes to warm ones", func() {
		f := coldFleet(sameDomain(8)...)
		turnCold(f, 6)
		cold := make(map[routing.ReplicaID]int)
		for i := range 400 {
			if t := f.choose(chat(fmt.Sprint(i))); t.Replica.IsCold(epoch) {
				cold[t.Replica.ID]++
			}
		}
		Expect(cold).NotTo(BeEmpty())
		for id, n := range cold {
			Expect(n).To(BeNumerically("<=", 1), string(id))
		}
	})

	It("get requests within their rate while none is warm, and the rest is refused at once", func() {
		f := coldFleet(sameDomain(8)...)
		turnCold(f, 8)
		served := 0
		for i := range 100 {
			if _, ok := f.placer.Choose(f.view, chat(fmt.Sprint(i)), routing.Tried{}, epoch); ok {
				served++
			}
		}
		Expect(served).To(BeNumerically(">=", 4))
		Expect(served).To(BeNumerically("<=", 8))
	})

	// When a failure domain is evacuated and comes back cold, other replicas have cached the
	// prompts whose home is there. If these were still expected at their homes, they would be
	// read again, all within the seconds after the return.
	It("are not sources of prompts cached before they went cold, and copy them", func() {
		f := newFleet("llm", sameDomain(18)...)
		home := f.serve(chat("s"))
		f.remove(home.ID)
		meanwhile := f.serve(chat("s"))
		f.pool.Ready = append(f.pool.Ready, home)
		f.placer.Cache.Forget([]routing.LoadKey{home.LoadKey()})
		t := f.choose(chat("s"))
		Expect(t.Replica.ID).To(Equal(meanwhile.ID), "it holds the prompt")
		f.load(meanwhile, 30)
		t = f.choose(chat("s"))
		Expect(t.Replica.ID).To(Equal(home.ID))
		Expect(t.Source.ID).To(Equal(meanwhile.ID))
	})

	It("are treated like others once they are warm", func() {
		f := coldFleet(sameDomain(8)...)
		home := f.choose(chat("s")).Replica.ID
		turnCold(f, 8)
		t, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch.Add(2*time.Second))
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).To(Equal(home))
	})
})

// A daemon refused requests for over a second although a live replica could serve them. The
// replica was ejected after some refusals, all others had just started and the daemon's quota for
// these was 0, but they counted as usable, so that the ejection was not ignored.
func TestEjectedReplicaIsPreferredToColdOnesWithoutQuota(t *testing.T) {
	RegisterTestingT(t)
	f := newFleet("llm", sameDomain(3)...)
	f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
	f.placer.Cold = routing.NewColdLimiter("10.0.0.1:1") // it does not know the fleet's size
	f.pool.Sort()
	warm := f.pool.Ready[0]
	for i := range f.pool.Ready[1:] {
		f.pool.Ready[1+i].ColdUntil = epoch.Add(time.Minute)
	}
	f.pool.Sort()
	f.placer.Health.Report(&warm, routing.ResultUnreachable, epoch)
	target, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch)
	if !ok || target.Replica.ID != warm.ID {
		t.Errorf("chosen is %q (%t), want %s", target.Replica.ID, ok, warm.ID)
	}
	if _, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{Replicas: []routing.ReplicaID{warm.ID}}, epoch); ok {
		t.Error("a replica that was already tried, or a cold one without quota, is chosen")
	}
}
