package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Seen: a replica that came back under its id while the store was away got 15 requests of all
// daemons in a second, of 14 that a cold one may get.
// Cause: its entry, and with it the cold time, was not known yet; the former incarnation was no
// longer ejected, and the new one took the connections that were meant for it.
var _ = Describe("Replicas that have ended", func() {
	var f *fleet
	var gone routing.Replica
	BeforeEach(func() {
		f = newFleet("llm", sameDomain(3)...)
		gone = f.choose(chat("s")).Replica
		f.placer.Health.ReportEnd(&gone, epoch)
	})
	choose := func(after time.Duration) (routing.Target, bool) {
		f.pool.Sort()
		return f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch.Add(after))
	}

	It("get nothing for as long as their entry may be that of the former incarnation", func() {
		f.placer.Health.SetEntriesStale(true)
		t, ok := choose(9 * time.Second)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).NotTo(Equal(gone.ID))
		_, why := f.placer.Health.Explain(&gone, epoch.Add(9*time.Second))
		Expect(why).To(ContainSubstring("ended"))
		t, _ = choose(10 * time.Second)
		Expect(t.Replica.ID).To(Equal(gone.ID))
		f.placer.Health.SetEntriesStale(false)
		t, _ = choose(2999 * time.Millisecond)
		Expect(t.Replica.ID).NotTo(Equal(gone.ID))
		t, _ = choose(3 * time.Second)
		Expect(t.Replica.ID).To(Equal(gone.ID), "a store that is well would have told of another start")
	})

	It("get nothing where others are ejected, and what cold ones may where all have ended", func() {
		for i := range f.pool.Ready {
			if r := &f.pool.Ready[i]; r.ID != gone.ID {
				f.placer.Health.Report(r, routing.ResultUnreachable, epoch)
			}
		}
		t, ok := choose(0)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).NotTo(Equal(gone.ID), "an ejected one is better")
		for i := range f.pool.Ready {
			f.placer.Health.ReportEnd(&f.pool.Ready[i], epoch)
		}
		f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
		f.placer.Cold = routing.NewColdRates("10.0.0.1:1")
		f.placer.Cold.SetDaemons(8)
		taken := make(map[routing.ReplicaID]int)
		for range 50 {
			if t, ok := choose(0); ok {
				Expect(t.Replica.IsCold(epoch)).To(BeTrue())
				taken[t.Replica.ID]++
			}
		}
		for i := range f.pool.Ready {
			r := &f.pool.Ready[i]
			Expect(taken[r.ID]).To(Equal(f.placer.Cold.Part(r, coldPerSecond)))
		}
		f.placer.Cold = routing.NewColdRates("10.0.0.1:1") // it does not know its fleet
		_, ok = choose(0)
		Expect(ok).To(BeFalse())
	})

	It("are tried as cold ones where most have ended, and serve once an answer proves that they live", func() {
		f := newFleet("llm", sameDomain(7)...)
		f.pool.Sort()
		f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
		f.placer.Cold = routing.NewColdRates("10.0.0.1:1")
		f.placer.Cold.SetDaemons(2)
		ended := f.pool.Ready[:5]
		for i := range ended {
			f.placer.Health.ReportEnd(&ended[i], epoch)
		}
		f.placer.Health.Report(&ended[0], routing.ResultUnreachable, epoch)
		taken := make(map[routing.ReplicaID]int)
		for i := range 200 {
			t, ok := f.placer.Choose(f.view, chat(fmt.Sprint(i)), routing.Tried{}, epoch)
			Expect(ok).To(BeTrue())
			taken[t.Replica.ID]++
		}
		Expect(taken[ended[0].ID]).To(BeZero(), "it refused a connection")
		for _, r := range ended[1:] {
			Expect(taken[r.ID]).To(And(BeNumerically(">", 0), Equal(f.placer.Cold.Part(&r, coldPerSecond))))
		}
		for i := range ended {
			f.placer.Health.Lived(&ended[i], epoch.Add(-time.Minute), epoch.Add(time.Second))
		}
		taken = make(map[routing.ReplicaID]int)
		for i := range 200 {
			t, _ := f.placer.Choose(f.view, chat(fmt.Sprint(i)), routing.Tried{}, epoch.Add(time.Second))
			taken[t.Replica.ID]++
		}
		Expect(taken[ended[1].ID]).To(BeNumerically(">", 10))
	})

	It("get requests again at once under a new entry of their own", func() {
		for i := range f.pool.Ready {
			if r := &f.pool.Ready[i]; r.ID == gone.ID {
				r.StartTime = 7
				*r = routing.NewReplica(*r)
			}
		}
		t, _ := choose(time.Second)
		Expect(t.Replica.ID).To(Equal(gone.ID))
	})

	It("are not named by an acquittal", func() {
		other, _ := choose(0)
		f.placer.Health.ReportEnds([]routing.CrashReport{{Replica: other.Replica.LoadKey(), Acquits: true}}, epoch)
		again, _ := choose(0)
		Expect(again.Replica.ID).To(Equal(other.Replica.ID))
	})

	It("are known from others, as of when they ended", func() {
		f.placer.Health.SetEntriesStale(true)
		for i := range f.pool.Ready {
			f.placer.Health.ReportEnds([]routing.CrashReport{{Replica: f.pool.Ready[i].LoadKey(), Age: 4 * time.Second}}, epoch)
		}
		t, ok := choose(5 * time.Second)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.IsCold(epoch.Add(5*time.Second))).To(BeTrue(), "all have ended")
		t, _ = choose(6 * time.Second)
		Expect(t.Replica.IsCold(epoch.Add(6 * time.Second))).To(BeFalse())
		Expect(t.Replica.ID).NotTo(BeElementOf(gone.ID, ""), "the one whose end was seen later is still left out")
	})
})
