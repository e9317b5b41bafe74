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

var _ = Describe("Replicas that announced their departure", func() {
	It("get nothing from then on, not even if no other replica is left", func() {
		f := newBackoffFleet(3)
		for i := range f.pool.Ready {
			Expect(f.placer.Departures.RecordAnnounced(&f.pool.Ready[i], epoch)).To(BeTrue())
			Expect(f.placer.Departures.RecordAnnounced(&f.pool.Ready[i], epoch)).To(BeFalse(), "it is already known")
		}
		Expect(f.chosen(time.Hour)).To(BeEmpty())
	})

	It("are draining in rebuilt views, and prompts are copied from them", func() {
		f := newBackoffFleet(3)
		t := f.choose(chat("s"))
		f.placer.RecordRead(chat("s"), &t, epoch)
		f.placer.Departures.RecordAnnounced(&t.Replica, epoch)
		f.placer.Departures.Apply(f.pool)
		f.pool.Sort()
		Expect(f.pool.Draining).To(ConsistOf(HaveField("ID", t.Replica.ID)))
		next, _ := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch)
		Expect(next.Replica.ID).NotTo(Equal(t.Replica.ID))
		Expect(next.Source.ID).To(Equal(t.Replica.ID))
	})

	It("become known to other daemons by one report, which each forwards once", func() {
		here, there := routing.NewDepartures(), routing.NewDepartures()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: 5})
		here.RecordAnnounced(&r, epoch)
		reports := here.TakeReports(10, epoch.Add(time.Second))
		Expect(reports).To(ConsistOf(routing.DepartureReport{Replica: r.LoadKey(), Age: time.Second}))
		Expect(there.Observe(reports, epoch)).To(ConsistOf(r.LoadKey()))
		Expect(there.IsLeaving(&r)).To(BeTrue())
		Expect(there.TakeReports(10, epoch)).To(HaveLen(1))
		Expect(there.Observe(reports, epoch)).To(BeEmpty())
		Expect(there.TakeReports(10, epoch)).To(BeEmpty())
	})

	It("are reported to starting daemons while their entries say that they are ready", func() {
		l := routing.NewDepartures()
		var replicas []routing.Replica
		for i := range 5 {
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			l.RecordAnnounced(&r, epoch)
			replicas = append(replicas, r)
		}
		reported := func() int {
			total, after := 0, routing.LoadKey(0)
			for {
				reports, last := l.All(after, 2, epoch)
				total += len(reports)
				if after = last; last == 0 {
					return total
				}
			}
		}
		Expect(reported()).To(Equal(5))
		replicas[0].Draining = true
		l.ObserveEntries(slices.Values(replicas), epoch)
		Expect(reported()).To(Equal(4), "the store says that one is draining")
		l.ObserveEntries(slices.Values(replicas[:3]), epoch)
		Expect(reported()).To(Equal(2), "two have no entry")
	})

	It("are removed some time after the last entry that names them, and bounded in number", func() {
		l := routing.NewDepartures()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: 5})
		l.RecordAnnounced(&r, epoch)
		l.ObserveEntries(slices.Values([]routing.Replica{r}), epoch.Add(time.Hour))
		Expect(l.IsLeaving(&r)).To(BeTrue())
		l.ObserveEntries(slices.Values[[]routing.Replica](nil), epoch.Add(time.Hour+9*time.Minute))
		Expect(l.IsLeaving(&r)).To(BeTrue(), "its entry may have expired temporarily")
		l.ObserveEntries(slices.Values[[]routing.Replica](nil), epoch.Add(time.Hour+11*time.Minute))
		Expect(l.IsLeaving(&r)).To(BeFalse())
		Expect(l.Known()).To(BeFalse())
		for i := range 5001 {
			many := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			l.Observe([]routing.DepartureReport{{Replica: many.LoadKey()}}, epoch.Add(time.Duration(i)))
		}
		Expect(l.Incarnations()).To(Equal(5000))
	})
})

// TestDepartureOfAnEntryWithoutStartTimeEnds guards against a replica that starts again under its id, whose entry does not say
// so, and which gets nothing for as long as it runs; and against one that leaves slowly and gets requests all that time.
func TestDepartureOfAnEntryWithoutStartTimeEnds(t *testing.T) {
	r := routing.NewReplica(routing.Replica{ID: "r"})
	entries := slices.Values([]routing.Replica{r})
	// observe applies the entry each second, from one time until another, both since the announcement.
	observe := func(l *routing.Departures, from, until time.Duration) (ended time.Duration) {
		for at := from; at <= until; at += time.Second {
			if l.ObserveEntries(entries, epoch.Add(at)) && !l.IsLeaving(&r) {
				ended = at
			}
		}
		return ended
	}
	here, there := routing.NewDepartures(), routing.NewDepartures()
	here.RecordAnnounced(&r, epoch)
	there.Observe(here.TakeReports(10, epoch), epoch)
	for name, l := range map[string]*routing.Departures{"the daemon that it announced it to": here, "another daemon": there} {
		observe(l, 0, 9*time.Minute)
		if !l.IsLeaving(&r) {
			t.Fatalf("%s: not leaving after 9 minutes", name)
		}
		if ended := observe(l, 9*time.Minute, time.Hour); ended == 0 || ended > 11*time.Minute {
			t.Errorf("%s: leaving until %v after it said so, want about 10 minutes (0: an hour)", name, ended)
		}
		// A daemon of the last build reports it as long as the entry is there.
		if l.Observe([]routing.DepartureReport{{Replica: r.LoadKey(), Age: time.Hour}}, epoch.Add(time.Hour)); l.IsLeaving(&r) {
			t.Errorf("%s: an old report counts again", name)
		}
		if reports, _ := l.All(0, 10, epoch.Add(time.Hour)); len(reports) > 0 {
			t.Errorf("%s: still reports it", name)
		}
	}
	if !here.RecordAnnounced(&r, epoch.Add(time.Hour)) || !here.IsLeaving(&r) {
		t.Error("a replica that announces it again is not leaving")
	}
	reports := here.TakeReports(10, epoch.Add(time.Hour))
	if there.Observe(reports, epoch.Add(time.Hour)); len(reports) != 1 || !there.IsLeaving(&r) {
		t.Errorf("another daemon does not learn that it is announced again: %v", reports)
	}
	if ended := observe(here, time.Hour, time.Hour+9*time.Minute); ended != 0 {
		t.Errorf("the second announcement ended after %v", ended)
	}
	here.RecordAnnounced(&r, epoch.Add(time.Hour+9*time.Minute))
	if ended := observe(here, time.Hour+9*time.Minute, time.Hour+18*time.Minute); ended != 0 {
		t.Error("a replica that keeps announcing it is not leaving any more")
	}
}

// TestAllReplicasOfLargeFleetMayLeave simulates a release of most replicas of a large fleet at
// once, announced in their responses: none may be forgotten while its entry says that it is
// ready.
func TestAllReplicasOfLargeFleetMayLeave(t *testing.T) {
	const entries, leaving = 20000, 9000
	l := routing.NewDepartures()
	replicas := make([]routing.Replica, entries)
	for i := range replicas {
		replicas[i] = routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", i)), StartTime: 1})
	}
	for i := range leaving {
		l.RecordAnnounced(&replicas[i], epoch.Add(time.Duration(i)*time.Millisecond))
		if i%500 == 0 {
			l.ObserveEntries(slices.Values(replicas), epoch.Add(time.Duration(i)*time.Millisecond))
		}
	}
	for i := range leaving {
		if !l.IsLeaving(&replicas[i]) {
			t.Fatalf("replica %d of %d that leave is forgotten", i, leaving)
		}
	}
}

// TestDepartureAppliesToIncarnation checks rule 2.
func TestDepartureAppliesToIncarnation(t *testing.T) {
	for _, c := range []struct {
		name             string
		announced, other routing.StartTime
		leaves           bool
	}{
		{"the incarnation that announced it", 7, 7, true},
		{"another incarnation", 7, 8, false},
		{"an entry without an incarnation time", 7, 0, true},
		{"another incarnation, after an announcement without one", 0, 8, false},
	} {
		l := routing.NewDepartures()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.announced})
		l.RecordAnnounced(&r, epoch)
		other := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.other})
		l.ObserveEntries(slices.Values([]routing.Replica{other}), epoch)
		if got := l.IsLeaving(&other); got != c.leaves {
			t.Errorf("%s: leaves %t, want %t", c.name, got, c.leaves)
		}
	}
}
