package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// A replica that restarted under its id while the store was unavailable got 15 requests from all
// daemons together in a second; a cold one may get 14. Its new entry, and with it the cold time,
// was not known yet. The ejection of the former incarnation had expired, and the new one accepted
// the connections meant for it.
var _ = Describe("Terminated replicas", func() {
	var f *fleet
	var terminated routing.Replica
	BeforeEach(func() {
		f = newFleet("llm", sameDomain(3)...)
		terminated = f.choose(chat("s")).Replica
		f.placer.Health.ReportTermination(&terminated, epoch)
	})
	choose := func(after time.Duration) (routing.Target, bool) {
		f.pool.Sort()
		return f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch.Add(after))
	}

	It("get nothing while their entry may be that of the former incarnation", func() {
		f.placer.Health.SetEntriesStale(true)
		t, ok := choose(9 * time.Second)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).NotTo(Equal(terminated.ID))
		_, why := f.placer.Health.Explain(&terminated, epoch.Add(9*time.Second))
		Expect(why).To(ContainSubstring("ended"))
		t, _ = choose(10 * time.Second)
		Expect(t.Replica.ID).To(Equal(terminated.ID))
		f.placer.Health.SetEntriesStale(false)
		t, _ = choose(2999 * time.Millisecond)
		Expect(t.Replica.ID).NotTo(Equal(terminated.ID))
		t, _ = choose(3 * time.Second)
		Expect(t.Replica.ID).To(Equal(terminated.ID), "a working store would have announced another incarnation")
	})

	It("get nothing while others are merely ejected, and the quota of cold ones if all have terminated", func() {
		for i := range f.pool.Ready {
			if r := &f.pool.Ready[i]; r.ID != terminated.ID {
				f.placer.Health.Report(r, routing.ResultUnreachable, epoch)
			}
		}
		t, ok := choose(0)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.ID).NotTo(Equal(terminated.ID), "an ejected one is better")
		for i := range f.pool.Ready {
			f.placer.Health.ReportTermination(&f.pool.Ready[i], epoch)
		}
		f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
		f.placer.Cold = routing.NewColdLimiter("10.0.0.1:1")
		f.placer.Cold.SetFleetSize(8)
		taken := make(map[routing.ReplicaID]int)
		for range 50 {
			if t, ok := choose(0); ok {
				Expect(t.Replica.IsCold(epoch)).To(BeTrue())
				taken[t.Replica.ID]++
			}
		}
		for i := range f.pool.Ready {
			r := &f.pool.Ready[i]
			Expect(taken[r.ID]).To(Equal(f.placer.Cold.Quota(r, coldPerSecond)))
		}
		f.placer.Cold = routing.NewColdLimiter("10.0.0.1:1") // it does not know the fleet's size
		_, ok = choose(0)
		Expect(ok).To(BeFalse())
	})

	It("are tried as cold ones if most have terminated, and are used normally once a response proves that they live", func() {
		f := newFleet("llm", sameDomain(7)...)
		f.pool.Sort()
		f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
		f.placer.Cold = routing.NewColdLimiter("10.0.0.1:1")
		f.placer.Cold.SetFleetSize(2)
		ended := f.pool.Ready[:5]
		for i := range ended {
			f.placer.Health.ReportTermination(&ended[i], epoch)
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
			Expect(taken[r.ID]).To(And(BeNumerically(">", 0), Equal(f.placer.Cold.Quota(&r, coldPerSecond))))
		}
		for i := range ended {
			f.placer.Health.RecordAlive(&ended[i], epoch.Add(-time.Minute), epoch.Add(time.Second))
		}
		taken = make(map[routing.ReplicaID]int)
		for i := range 200 {
			t, _ := f.placer.Choose(f.view, chat(fmt.Sprint(i)), routing.Tried{}, epoch.Add(time.Second))
			taken[t.Replica.ID]++
		}
		Expect(taken[ended[1].ID]).To(BeNumerically(">", 10))
	})

	It("get requests again at once when a new incarnation has an entry", func() {
		for i := range f.pool.Ready {
			if r := &f.pool.Ready[i]; r.ID == terminated.ID {
				r.StartTime = 7
				*r = routing.NewReplica(*r)
			}
		}
		t, _ := choose(time.Second)
		Expect(t.Replica.ID).To(Equal(terminated.ID))
	})

	It("are not affected by a clearance", func() {
		other, _ := choose(0)
		f.placer.Health.ReportTerminations([]routing.CrashReport{{Replica: other.Replica.LoadKey(), Clears: true}}, epoch)
		again, _ := choose(0)
		Expect(again.Replica.ID).To(Equal(other.Replica.ID))
	})

	It("are known from reports of others, from the time of their termination", func() {
		f.placer.Health.SetEntriesStale(true)
		for i := range f.pool.Ready {
			f.placer.Health.ReportTerminations([]routing.CrashReport{{Replica: f.pool.Ready[i].LoadKey(), Age: 4 * time.Second}}, epoch)
		}
		t, ok := choose(5 * time.Second)
		Expect(ok).To(BeTrue())
		Expect(t.Replica.IsCold(epoch.Add(5*time.Second))).To(BeTrue(), "all have terminated")
		t, _ = choose(6 * time.Second)
		Expect(t.Replica.IsCold(epoch.Add(6 * time.Second))).To(BeFalse())
		Expect(t.Replica.ID).NotTo(BeElementOf(terminated.ID, ""), "the one whose termination was seen later is still skipped")
	})
})
