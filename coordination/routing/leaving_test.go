package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

var _ = Describe("Replicas that said that they leave", func() {
	It("get nothing from then on, not even where nothing else is left", func() {
		f := restingFleet(3)
		for i := range f.pool.Ready {
			Expect(f.placer.Leavings.Say(&f.pool.Ready[i], epoch)).To(BeTrue())
			Expect(f.placer.Leavings.Say(&f.pool.Ready[i], epoch)).To(BeFalse(), "it is not new")
		}
		Expect(f.chosen(time.Hour)).To(BeEmpty())
	})

	It("are draining in views that are built anew, and prompts are copied from them", func() {
		f := restingFleet(3)
		t := f.choose(chat("s"))
		f.placer.RecordRead(chat("s"), &t, epoch)
		f.placer.Leavings.Say(&t.Replica, epoch)
		f.placer.Leavings.Apply(f.pool)
		f.pool.Sort()
		Expect(f.pool.Draining).To(ConsistOf(HaveField("ID", t.Replica.ID)))
		next, _ := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch)
		Expect(next.Replica.ID).NotTo(Equal(t.Replica.ID))
		Expect(next.Source.ID).To(Equal(t.Replica.ID))
	})

	It("are known to other daemons by one report, which each passes on once", func() {
		here, there := routing.NewLeavings(), routing.NewLeavings()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: 5})
		here.Say(&r, epoch)
		reports := here.TakeReports(10, epoch.Add(time.Second))
		Expect(reports).To(ConsistOf(routing.LeavingReport{Replica: r.LoadKey(), Age: time.Second}))
		Expect(there.Observe(reports, epoch)).To(ConsistOf(r.LoadKey()))
		Expect(there.Leaves(&r)).To(BeTrue())
		Expect(there.TakeReports(10, epoch)).To(HaveLen(1))
		Expect(there.Observe(reports, epoch)).To(BeEmpty())
		Expect(there.TakeReports(10, epoch)).To(BeEmpty())
	})

	It("are told to daemons that start for as long as their entries call them ready", func() {
		l := routing.NewLeavings()
		var replicas []routing.Replica
		for i := range 5 {
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			l.Say(&r, epoch)
			replicas = append(replicas, r)
		}
		told := func() int {
			total, after := 0, routing.LoadKey(0)
			for {
				reports, last := l.All(after, 2, epoch)
				total += len(reports)
				if after = last; last == 0 {
					return total
				}
			}
		}
		Expect(told()).To(Equal(5))
		replicas[0].Draining = true
		l.Named(slices.Values(replicas), epoch)
		Expect(told()).To(Equal(4), "the store tells of one")
		l.Named(slices.Values(replicas[:3]), epoch)
		Expect(told()).To(Equal(2), "two have no entry")
	})

	It("are forgotten some time after no entry names them, and bounded in number", func() {
		l := routing.NewLeavings()
		r := routing.NewReplica(routing.Replica{ID: "r"})
		l.Say(&r, epoch)
		l.Named(slices.Values([]routing.Replica{r}), epoch.Add(time.Hour))
		Expect(l.Leaves(&r)).To(BeTrue())
		l.Named(slices.Values[[]routing.Replica](nil), epoch.Add(time.Hour+9*time.Minute))
		Expect(l.Leaves(&r)).To(BeTrue(), "its entry may have lapsed")
		l.Named(slices.Values[[]routing.Replica](nil), epoch.Add(time.Hour+11*time.Minute))
		Expect(l.Leaves(&r)).To(BeFalse())
		Expect(l.Known()).To(BeFalse())
		for i := range 5001 {
			many := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			l.Observe([]routing.LeavingReport{{Replica: many.LoadKey()}}, epoch.Add(time.Duration(i)))
		}
		Expect(l.Starts()).To(Equal(5000))
	})
})

// TestAllReplicasOfALargeFleetMayLeave plays a release of most replicas of a large fleet at once, by
// their answers: none is forgotten while its entry calls it ready.
func TestAllReplicasOfALargeFleetMayLeave(t *testing.T) {
	const entries, leaving = 20000, 9000
	l := routing.NewLeavings()
	replicas := make([]routing.Replica, entries)
	for i := range replicas {
		replicas[i] = routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", i)), StartTime: 1})
	}
	for i := range leaving {
		l.Say(&replicas[i], epoch.Add(time.Duration(i)*time.Millisecond))
		if i%500 == 0 {
			l.Named(slices.Values(replicas), epoch.Add(time.Duration(i)*time.Millisecond))
		}
	}
	for i := range leaving {
		if !l.Leaves(&replicas[i]) {
			t.Fatalf("replica %d of %d that leave is forgotten", i, leaving)
		}
	}
}

// TestStartsThatALeavingBinds holds rule 2.
func TestStartsThatALeavingBinds(t *testing.T) {
	for _, c := range []struct {
		name        string
		said, other routing.StartTime
		leaves      bool
	}{
		{"the one that said so", 7, 7, true},
		{"another one", 7, 8, false},
		{"an entry that does not say which it is", 7, 0, true},
		{"one whose entry says so now", 0, 8, false},
	} {
		l := routing.NewLeavings()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.said})
		l.Say(&r, epoch)
		other := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.other})
		l.Named(slices.Values([]routing.Replica{other}), epoch)
		if got := l.Leaves(&other); got != c.leaves {
			t.Errorf("%s: leaves %t, want %t", c.name, got, c.leaves)
		}
	}
}
