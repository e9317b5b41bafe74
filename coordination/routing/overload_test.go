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

// overloadFleet returns a placer of a large fleet with 20 replicas, each of which has reported two
// requests in flight.
func overloadFleet() *fleet {
	f := newFleet("llm", sameDomain(20)...)
	f.view.Daemons, f.view.LargeFleet = 100, true
	f.placer.Overloads = routing.NewOverloads()
	f.pool.Sort()
	for i := range f.pool.Ready {
		f.placer.ReportLoad(short("other"), &routing.Target{Replica: f.pool.Ready[i]}, 2, epoch)
	}
	return f
}

// takeAll returns all reports that wait to be sent.
func takeAll(c *routing.Overloads) []routing.OverloadReport { return c.TakeReports(1<<20, epoch) }

var _ = Describe("Overloads", func() {
	DescribeTable("detects an overloaded replica by its own report", func(held int, found bool, homes int) {
		f := overloadFleet()
		r := short("hot")
		t := f.choose(r)
		Expect(f.placer.ReportLoad(r, &t, held, epoch)).To(Equal(found))
		Expect(f.placer.Overloads.Homes(r, 2, epoch)).To(Equal(homes))
		Expect(takeAll(f.placer.Overloads)).To(HaveLen(map[bool]int{true: 1}[found]))
	},
		Entry("as many requests as others", 2, false, 2),
		Entry("at the bound", 6, false, 2),
		Entry("above the bound: at least twice the homes", 7, true, 5),
		Entry("far above the bound: homes in proportion to the excess", 15, true, 11),
		Entry("more homes needed than there are replicas", 300, true, 20),
	)

	It("detects no overload before enough replicas have reported their load", func() {
		f := newFleet("llm", sameDomain(20)...)
		f.placer.Overloads = routing.NewOverloads()
		r := short("hot")
		t := f.choose(r)
		for i := range 6 {
			f.placer.ReportLoad(r, &routing.Target{Replica: f.pool.Ready[i]}, 0, epoch)
		}
		Expect(f.placer.ReportLoad(r, &t, 50, epoch)).To(BeFalse())
	})

	It("counts each replica once in the mean, however often an overloaded one responds", func() {
		f := overloadFleet()
		r := short("hot")
		t := f.choose(r)
		for range 200 {
			f.placer.ReportLoad(r, &t, 20, epoch)
		}
		Expect(f.placer.ReportLoad(r, &t, 20, epoch)).To(BeTrue())
	})

	It("ignores old load reports", func() {
		f := overloadFleet()
		r := short("hot")
		t := f.choose(r)
		Expect(f.placer.ReportLoad(r, &t, 20, epoch.Add(16*time.Second))).To(BeFalse())
	})

	It("asks for no more homes if the replica is not a home of the prompt", func() {
		f := overloadFleet()
		r := short("hot")
		first := f.choose(r)
		t := f.choose(r, first.Replica.ID, f.choose(r, first.Replica.ID).Replica.ID)
		Expect(t.Rank).To(Equal(2))
		Expect(f.placer.ReportLoad(r, &t, 20, epoch)).To(BeTrue())
		Expect(f.placer.Overloads.Homes(r, 2, epoch)).To(Equal(2))
		Expect(takeAll(f.placer.Overloads)).To(ConsistOf(routing.OverloadReport{Replica: t.Replica.LoadKey()}))
	})

	It("avoids an overloaded replica for a moment, except for long prompts whose home it is", func() {
		for _, c := range []struct {
			request *routing.Request
			left    bool
		}{{short("x"), true}, {chat("x"), false}} {
			f := overloadFleet()
			home := f.choose(c.request).Replica
			f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: home.LoadKey()}}, epoch)
			Expect(f.choose(c.request).Replica.ID != home.ID).To(Equal(c.left))
			f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: home.LoadKey(), Age: time.Second}}, epoch.Add(time.Second))
			t, ok := f.placer.Choose(f.view, c.request, routing.Tried{}, epoch.Add(time.Second))
			Expect(ok).To(BeTrue())
			Expect(t.Replica.ID).To(Equal(home.ID))
		}
	})

	It("avoids an overloaded replica for as long as the newest report says, even if an older one arrives later", func() {
		f := overloadFleet()
		home := f.choose(short("x")).Replica
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: home.LoadKey()}, {Replica: home.LoadKey(), Age: 600 * time.Millisecond}}, epoch)
		t, ok := f.placer.Choose(f.view, short("x"), routing.Tried{}, epoch.Add(500*time.Millisecond))
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).NotTo(Equal(home.ID))
	})

	It("prefers the home in its own domain if two homes have equally many requests in flight", func() {
		f := newFleet("llm", manyDomains(22)...)
		f.view.Daemons, f.view.LargeFleet = 100, true
		f.placer.Overloads = routing.NewOverloads()
		r := chat("hot")
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: 1, Prompt: routing.PromptKey(r.Key()), Homes: 22}}, epoch)
		near := 0
		for i := range 2200 {
			r.ID = routing.RequestID(fmt.Sprint(i))
			if f.choose(r).Replica.Domain == f.view.Domain {
				near++
			}
		}
		Expect(near).To(BeNumerically("~", 382, 60)) // two draws: 1 - (10/11)², not 1/11
	})

	It("does not announce that a prompt was read at one of its homes", func() {
		f := overloadFleet()
		r := chat("hot")
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: 1, Prompt: routing.PromptKey(r.Key()), Homes: 8}}, epoch)
		for i := range 50 {
			r.ID = routing.RequestID(fmt.Sprint(i))
			f.serve(r)
		}
		Expect(f.placer.Cache.TakePending(100)).To(BeEmpty())
	})

	It("still chooses a replica if all are overloaded", func() {
		f := overloadFleet()
		for i := range f.pool.Ready {
			f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: f.pool.Ready[i].LoadKey()}}, epoch)
		}
		f.choose(short("x"))
	})

	It("spreads the requests for a hot prompt evenly over its homes, and to no other replica", func() {
		const homes, requests = 8, 4000
		f := overloadFleet()
		r := chat("hot")
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: 1, Prompt: routing.PromptKey(r.Key()), Homes: homes}}, epoch)
		counts := make(map[int]int)
		for i := range requests {
			r.ID = routing.RequestID(fmt.Sprint(i))
			counts[f.choose(r).Rank]++
		}
		Expect(counts).To(HaveLen(homes))
		for rank, n := range counts {
			Expect(n).To(BeNumerically("~", requests/homes, requests/homes/4), "rank %d", rank)
		}
	})

	It("takes the one with fewer requests in flight of two homes that it draws", func() {
		f := overloadFleet()
		r := chat("hot")
		home := f.choose(r).Replica
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: 1, Prompt: routing.PromptKey(r.Key()), Homes: 4}}, epoch)
		f.load(home, 1)
		n := 0
		for i := range 400 {
			r.ID = routing.RequestID(fmt.Sprint(i))
			if f.choose(r).Replica.ID == home.ID {
				n++
			}
		}
		Expect(n).To(BeNumerically("~", 25, 20)) // both draws select it: 1 in 16
	})

	It("halves the homes of a prompt over time, down to the usual number", func() {
		f := overloadFleet()
		r := short("hot")
		f.placer.Overloads.Observe([]routing.OverloadReport{{Replica: 1, Prompt: routing.PromptKey(r.Key()), Homes: 16}}, epoch)
		for after, want := range map[time.Duration]int{0: 16, 4 * time.Second: 8, 8 * time.Second: 4, 13 * time.Second: 2, time.Minute: 2} {
			Expect(f.placer.Overloads.Homes(r, 2, epoch.Add(after))).To(Equal(want), "after %s", after)
		}
	})

	It("forwards a new report once, and signals that it waits", func() {
		c := routing.NewOverloads()
		report := routing.OverloadReport{Replica: 1, Prompt: 2, Homes: 8}
		c.Observe([]routing.OverloadReport{report}, epoch)
		Expect(c.Waiting()).To(Receive())
		Expect(takeAll(c)).To(ConsistOf(report))
		c.Observe([]routing.OverloadReport{report, {Replica: 1, Prompt: 2, Homes: 9}}, epoch.Add(100*time.Millisecond))
		Expect(c.Waiting()).NotTo(Receive())
		Expect(takeAll(c)).To(BeEmpty())
		c.Observe([]routing.OverloadReport{{Replica: 1, Prompt: 2, Homes: 16}}, epoch)
		Expect(takeAll(c)).To(HaveLen(1))
	})

	It("sends a bounded number of reports per second, those of the hottest prompts first", func() {
		c := routing.NewOverloads()
		sent := 0
		for ms := range 10_000 {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			chance, hot := routing.OverloadReport{Replica: routing.LoadKey(ms)}, routing.OverloadReport{Replica: routing.LoadKey(20_000 + ms), Prompt: 1, Homes: uint16(ms/10 + 2)}
			c.Observe([]routing.OverloadReport{chance, hot}, now)
			if ms%100 != 99 {
				continue
			}
			reports := c.TakeReports(1000, now)
			sent += len(reports)
			if len(reports) > 0 {
				Expect(reports[0].Homes).To(BeNumerically(">", 0))
			}
		}
		Expect(sent).To(BeNumerically("~", 210, 15)) // ten seconds, plus the initial allowance
	})

	It("does not forward old reports", func() {
		c := routing.NewOverloads()
		c.Observe([]routing.OverloadReport{{Replica: 1, Prompt: 2, Homes: 9}}, epoch)
		Expect(c.TakeReports(9, epoch.Add(time.Second))).To(BeEmpty())
	})

	It("stays bounded in memory", func() {
		c := routing.NewOverloads()
		for i := range 20_000 {
			c.Observe([]routing.OverloadReport{{Replica: routing.LoadKey(i), Prompt: routing.PromptKey(i), Homes: 9}}, epoch)
		}
		Expect(len(takeAll(c))).To(BeNumerically("<=", 200))
		Expect(c.Demands()).To(Equal(1000))
		c.Observe([]routing.OverloadReport{{Replica: 1, Prompt: 50_000, Homes: 9}}, epoch.Add(time.Minute))
		Expect(c.Demands()).To(Equal(1), "prompts that are no longer hot are dropped")
	})
})

// TestOverloadReportsMergeInAnyOrder checks that the state of two daemons depends only on the set of
// reports that they received, not on order, duplicates or paths.
func TestOverloadReportsMergeInAnyOrder(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		f, g := overloadFleet(), overloadFleet()
		r := short("hot")
		var reports []routing.OverloadReport
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			reports = append(reports, routing.OverloadReport{
				Replica: f.pool.Ready[rapid.IntRange(0, 3).Draw(t, "replica")].LoadKey(), Prompt: routing.PromptKey(r.Key()),
				Homes: uint16(rapid.IntRange(0, 40).Draw(t, "homes")), Age: time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Millisecond,
			})
		}
		f.placer.Overloads.Observe(reports, epoch)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		again := append(slices.Clone(reports), reports...)
		rng.Shuffle(len(again), func(i, j int) { again[i], again[j] = again[j], again[i] })
		for _, report := range again {
			g.placer.Overloads.Observe([]routing.OverloadReport{report}, epoch)
		}
		for _, after := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			now := epoch.Add(after)
			if a, b := f.placer.Overloads.Homes(r, 2, now), g.placer.Overloads.Homes(r, 2, now); a != b {
				t.Fatalf("after %s: %d and %d homes", after, a, b)
			}
			for i := range 8 {
				request := short(fmt.Sprint(i))
				a, _ := f.placer.Choose(f.view, request, routing.Tried{}, now)
				b, _ := g.placer.Choose(g.view, request, routing.Tried{}, now)
				if a.Replica.ID != b.Replica.ID {
					t.Fatalf("after %s: %s and %s", after, a.Replica.ID, b.Replica.ID)
				}
			}
		}
	})
}
