package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// restingFleet is a fleet whose daemon knows rests and leavings.
func restingFleet(replicas int) *fleet {
	f := newFleet("llm", sameDomain(replicas)...)
	f.placer.Rests, f.placer.Leavings = routing.NewRests(), routing.NewLeavings()
	return f
}

// chosen returns which replicas take requests with many prompts at a time.
func (f *fleet) chosen(after time.Duration) map[routing.ReplicaID]bool {
	f.pool.Sort()
	out := make(map[routing.ReplicaID]bool)
	for i := range 200 {
		if t, ok := f.placer.Choose(f.view, chat(fmt.Sprint(i)), routing.Tried{}, epoch.Add(after)); ok {
			out[t.Replica.ID] = true
		}
	}
	return out
}

var _ = Describe("Replicas that asked for rest", func() {
	It("get nothing until it is over, and then their part", func() {
		f := restingFleet(4)
		r := f.pool.Ready[0]
		f.placer.Rests.Ask(&r, 3*time.Second, "q", epoch)
		Expect(f.chosen(0)).NotTo(HaveKey(r.ID))
		Expect(f.chosen(2999 * time.Millisecond)).NotTo(HaveKey(r.ID))
		Expect(f.chosen(3 * time.Second)).To(HaveKey(r.ID))
	})

	It("get nothing where all others are ejected, or hold far more", func() {
		f := restingFleet(4)
		r := f.pool.Ready[0]
		f.placer.Rests.Ask(&r, 3*time.Second, "q", epoch)
		for i := range f.pool.Ready {
			other := &f.pool.Ready[i]
			if other.ID == r.ID {
				continue
			}
			f.placer.Health.Report(other, routing.ResultUnreachable, epoch)
			for range 50 {
				f.placer.Loads.Begin(other.LoadKey())
			}
		}
		Expect(f.chosen(0)).To(HaveLen(3))
		Expect(f.chosen(0)).NotTo(HaveKey(r.ID))
	})

	It("are refused for at once where all rest, with the time until the first is back", func() {
		f := restingFleet(3)
		for i := range f.pool.Ready {
			f.placer.Rests.Ask(&f.pool.Ready[i], time.Duration(2+i)*time.Second, "q", epoch)
		}
		Expect(f.chosen(0)).To(BeEmpty())
		seen := make(map[time.Duration]bool)
		for i := range 50 {
			why := f.placer.WhyNone(f.view, &routing.Request{ID: routing.RequestID(fmt.Sprint(i)), Service: "llm"}, epoch)
			Expect(why.Reason).To(Equal(coordination.ReasonResting))
			Expect(why.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<", 2500*time.Millisecond)))
			seen[why.RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 40), "callers come back by and by")
	})

	It("are still the source of copies", func() {
		f := restingFleet(3)
		t := f.choose(chat("s"))
		f.placer.RecordRead(chat("s"), &t, epoch)
		f.placer.Rests.Ask(&t.Replica, time.Second, "q", epoch)
		next, _ := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch)
		Expect(next.Source.ID).To(Equal(t.Replica.ID))
	})

	It("rest for an hour at most, and until an operator lifts it", func() {
		r := routing.NewReplica(routing.Replica{ID: "r"})
		rests := routing.NewRests()
		left, isNew := rests.Ask(&r, 10*365*24*time.Hour, "q", epoch)
		Expect(left).To(Equal(time.Hour))
		Expect(isNew).To(BeTrue())
		Expect(rests.AskedBy(&r, epoch)).To(Equal(routing.RequestID("q")))
		Expect(rests.Lift("r", epoch)).To(BeTrue())
		Expect(rests.Left(&r, epoch)).To(BeZero())
		Expect(rests.Lift("r", epoch)).To(BeFalse())
	})

	It("are forgotten when it is over, and bounded in number", func() {
		rests := routing.NewRests()
		last := routing.NewReplica(routing.Replica{ID: "last"})
		for i := range 10_001 {
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			rests.Ask(&r, time.Duration(i+1)*time.Millisecond, "q", epoch)
		}
		rests.Ask(&last, time.Minute, "q", epoch)
		Expect(rests.Len()).To(Equal(10_000))
		Expect(rests.Left(&last, epoch)).To(Equal(time.Minute))
		rests.Forget(epoch.Add(30 * time.Second))
		Expect(rests.Len()).To(Equal(1))
	})
})

// TestStartsThatARestBinds holds rule 3.
func TestStartsThatARestBinds(t *testing.T) {
	for _, c := range []struct {
		name         string
		asked, other routing.StartTime
		bound        bool
	}{
		{"the one that asked", 7, 7, true},
		{"another one", 7, 8, false},
		{"an entry that does not say which it is", 7, 0, true},
		{"one that asked under such an entry", 0, 8, true},
	} {
		rests := routing.NewRests()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.asked})
		rests.Ask(&r, 10*time.Second, "q", epoch)
		other := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.other})
		if got := rests.Left(&other, epoch) > 0; got != c.bound {
			t.Errorf("%s: bound %t, want %t", c.name, got, c.bound)
		}
	}
}

// TestRestsAreKeptWhateverComesAfter plays, in virtual time, any order of refusals, rests,
// successes, ejections, entries that come and go, and starts, before any number of replicas, and
// holds that no request of the daemon reaches a replica between the answer and the end of the
// rest. Two would be allowed, half a second later.
func TestRestsAreKeptWhateverComesAfter(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		f := restingFleet(n)
		for i := range f.pool.Ready {
			f.pool.Ready[i].StartTime = 1
			f.pool.Ready[i] = routing.NewReplica(f.pool.Ready[i])
		}
		all := append([]routing.Replica{}, f.pool.Ready...)
		now := epoch
		until := make(map[routing.ReplicaID]time.Time)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "which")
			r := &all[i]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			case 1: // turned away, with rest or without
				rest := time.Duration(rapid.IntRange(0, 4000).Draw(t, "rest")) * time.Millisecond
				f.placer.Rests.Ask(r, rest, "q", now)
				if end := now.Add(rest); end.After(until[r.ID]) {
					until[r.ID] = end
				}
			case 2:
				f.placer.Health.Report(r, rapid.SampledFrom([]routing.Result{routing.ResultGood, routing.ResultRefused, routing.ResultUnreachable}).Draw(t, "result"), now)
			case 3: // its entry goes
				f.pool.Ready = withoutReplica(f.pool.Ready, r.ID)
			case 4: // its entry is there again
				f.pool.Ready = append(withoutReplica(f.pool.Ready, r.ID), *r)
			case 5: // it starts again
				r.StartTime++
				*r = routing.NewReplica(*r)
				delete(until, r.ID)
				f.pool.Ready = append(withoutReplica(f.pool.Ready, r.ID), *r)
			case 6:
				f.placer.Rests.Forget(now)
			}
			f.pool.Sort()
			for q := range 6 {
				target, ok := f.placer.Choose(f.view, chat(fmt.Sprint(q)), routing.Tried{}, now)
				if ok && now.Before(until[target.Replica.ID]) {
					t.Fatalf("%s got a request %v before the end of its rest", target.Replica.ID, until[target.Replica.ID].Sub(now))
				}
				if !ok && someServes(f, until, now) {
					t.Fatalf("refused although a replica that does not rest is there")
				}
			}
		}
	})
}

func withoutReplica(list []routing.Replica, id routing.ReplicaID) []routing.Replica {
	var out []routing.Replica
	for _, r := range list {
		if r.ID != id {
			out = append(out, r)
		}
	}
	return out
}

// someServes reports whether a replica of the fleet does not rest.
func someServes(f *fleet, until map[routing.ReplicaID]time.Time, now time.Time) bool {
	for i := range f.pool.Ready {
		if !now.Before(until[f.pool.Ready[i].ID]) {
			return true
		}
	}
	return false
}
