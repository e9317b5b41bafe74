package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

var _ = Describe("Silent replicas", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet("llm", sameDomain(18)...) })
	report := func(r routing.Replica, reporters int, age time.Duration) {
		var reports []routing.SilenceReport
		for i := range reporters {
			reports = append(reports, routing.SilenceReport{Replica: r.LoadKey(), Reporter: routing.ReporterID(i + 1), Age: age})
		}
		f.placer.Health.ObserveSilences(reports, epoch)
	}

	It("get no requests once three daemons found them silent, before this daemon has sent one", func() {
		home := f.choose(chat("s")).Replica
		report(home, 2, 0)
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(home.ID), "two may both be cut off")
		report(home, 3, 0)
		Expect(f.choose(chat("s")).Replica.ID).NotTo(Equal(home.ID))
		_, why := f.placer.Health.Explain(&home, epoch)
		Expect(why).NotTo(BeEmpty())
	})

	It("get requests again when the reports have expired", func() {
		home := f.choose(chat("s")).Replica
		report(home, 3, 2900*time.Millisecond)
		Expect(f.choose(chat("s")).Replica.ID).NotTo(Equal(home.ID))
		later := epoch.Add(200 * time.Millisecond)
		chosen := func() routing.ReplicaID {
			t, ok := f.placer.Choose(f.view, chat("s"), routing.Tried{}, later)
			Expect(ok).To(BeTrue())
			return t.Replica.ID
		}
		Expect(chosen()).To(Equal(home.ID))
		f.placer.Health.Forget("z0", later)
		report(home, 3, 3*time.Second)
		Expect(chosen()).To(Equal(home.ID), "expired reports are ignored")
	})

	It("are not silent to a daemon that they answered since", func() {
		home := f.choose(chat("s")).Replica
		report(home, 5, time.Second)
		f.placer.Health.Report(&home, routing.ResultGood, epoch)
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(home.ID))
	})

	It("are used if most of a service is reported silent", func() {
		home := f.choose(chat("s")).Replica
		for _, r := range f.pool.Ready {
			report(r, 3, 0)
		}
		Expect(f.choose(chat("s")).Replica.ID).To(Equal(home.ID))
	})

	It("are reported after long silence or a failed connection, and after no other result", func() {
		h := f.placer.Health
		h.Reporter = 7
		r := f.pool.Ready
		h.ReportSilence(&r[0], epoch)
		h.Report(&r[1], routing.ResultUnreachable, epoch)
		h.Report(&r[2], routing.ResultFailed, epoch)
		h.Report(&r[3], routing.ResultSilent, epoch)
		Expect(h.TakeSilences(10, epoch)).To(ConsistOf(
			routing.SilenceReport{Replica: r[0].LoadKey(), Reporter: 7}, routing.SilenceReport{Replica: r[1].LoadKey(), Reporter: 7}))
		Expect(h.TakeSilences(10, epoch)).To(BeEmpty())
	})

	It("stay bounded in memory", func() {
		h := f.placer.Health
		for i := range 20_000 {
			h.ObserveSilences([]routing.SilenceReport{{Replica: routing.LoadKey(i), Reporter: 1}}, epoch)
		}
		Expect(len(h.TakeSilences(1<<20, epoch))).To(BeNumerically("<=", 4000))
	})
})

// TestSilenceReportsMergeInAnyOrder checks that the state of a daemon depends only on the set of
// reports received, not on their order or number of copies.
func TestSilenceReportsMergeInAnyOrder(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		f, g := newFleet("llm", sameDomain(6)...), newFleet("llm", sameDomain(6)...)
		var reports []routing.SilenceReport
		for range rapid.IntRange(0, 40).Draw(t, "reports") {
			reports = append(reports, routing.SilenceReport{
				Replica:  f.pool.Ready[rapid.IntRange(0, 5).Draw(t, "replica")].LoadKey(),
				Reporter: routing.ReporterID(rapid.IntRange(1, 4).Draw(t, "reporter")),
				Age:      time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond,
			})
		}
		f.placer.Health.ObserveSilences(reports, epoch)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		again := append(slices.Clone(reports), reports...)
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, r := range again {
			g.placer.Health.ObserveSilences([]routing.SilenceReport{r}, epoch)
		}
		for i := range f.pool.Ready {
			for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
				_, a := f.placer.Health.Explain(&f.pool.Ready[i], epoch.Add(after))
				_, b := g.placer.Health.Explain(&f.pool.Ready[i], epoch.Add(after))
				if a != b {
					t.Fatalf("replica %d after %s: %q and %q", i, after, a, b)
				}
			}
		}
	})
}

// TestSilenceReportsSpreadQuickly simulates daemons in virtual time, three of which met silence.
// Each forwards new reports to five others every 200 ms, and one message in ten is lost. Nine
// daemons in ten must know within 1.6 s in a fleet of 930.
func TestSilenceReportsSpreadQuickly(t *testing.T) {
	RegisterTestingT(t)
	for _, daemons := range []int{62, 300, 930} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			RegisterTestingT(t)
			rng := rand.New(rand.NewPCG(1, 1))
			f := newFleet("llm", sameDomain(4)...)
			silent := f.pool.Ready[0]
			fleet := make([]*routing.Health, daemons)
			for i := range fleet {
				fleet[i] = routing.NewHealth()
				fleet[i].Reporter = routing.ReporterID(i + 1)
			}
			for i := range 3 {
				fleet[i].ReportSilence(&silent, epoch)
			}
			knowing := func(now time.Time) int {
				n := 0
				for _, h := range fleet {
					if _, why := h.Explain(&silent, now); why != "" {
						n++
					}
				}
				return n
			}
			const tick = 200 * time.Millisecond
			now, messages := epoch, 0
			for knowing(now) < daemons*9/10 {
				now = now.Add(tick)
				if now.Sub(epoch) > 8*tick {
					t.Fatalf("%d of %d know after %s", knowing(now), daemons, now.Sub(epoch))
				}
				sent := make([][]routing.SilenceReport, daemons)
				for i, h := range fleet {
					sent[i] = h.TakeSilences(80, now)
				}
				for _, reports := range sent {
					for range 5 {
						if len(reports) > 0 && rng.IntN(10) > 0 {
							messages++
							fleet[rng.IntN(daemons)].ObserveSilences(reports, now)
						}
					}
				}
			}
			t.Logf("%d daemons: nine in ten know after %s, %.1f messages each", daemons, now.Sub(epoch), float64(messages)/float64(daemons))
		})
	}
}
