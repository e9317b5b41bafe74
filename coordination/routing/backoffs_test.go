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

// newBackoffFleet returns a fleet whose daemon records backoffs and departures.
func newBackoffFleet(replicas int) *fleet {
	f := newFleet("llm", sameDomain(replicas)...)
	f.placer.Backoffs, f.placer.Departures = routing.NewBackoffs(), routing.NewDepartures()
	return f
}

// chosen returns the replicas that are chosen for requests with many different prompts at a time.
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

var _ = Describe("Replicas that requested a backoff", func() {
	It("get nothing until it is over, and then their share", func() {
		f := newBackoffFleet(4)
		r := f.pool.Ready[0]
		f.placer.Backoffs.Record(&r, 3*time.Second, "q", epoch)
		Expect(f.chosen(0)).NotTo(HaveKey(r.ID))
		Expect(f.chosen(2999 * time.Millisecond)).NotTo(HaveKey(r.ID))
		Expect(f.chosen(3 * time.Second)).To(HaveKey(r.ID))
	})

	It("get nothing even if all others are ejected or far more loaded", func() {
		f := newBackoffFleet(4)
		r := f.pool.Ready[0]
		f.placer.Backoffs.Record(&r, 3*time.Second, "q", epoch)
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

	It("lead to an immediate refusal if all are backing off, with the time until the first is back", func() {
		f := newBackoffFleet(3)
		for i := range f.pool.Ready {
			f.placer.Backoffs.Record(&f.pool.Ready[i], time.Duration(2+i)*time.Second, "q", epoch)
		}
		Expect(f.chosen(0)).To(BeEmpty())
		seen := make(map[time.Duration]bool)
		for i := range 50 {
			why := f.placer.NoReplicaReason(f.view, &routing.Request{ID: routing.RequestID(fmt.Sprint(i)), Service: "llm"}, routing.Tried{}, epoch)
			Expect(why.Reason).To(Equal(coordination.ReasonBackingOff))
			Expect(why.RetryAfter).To(And(BeNumerically(">=", 2*time.Second), BeNumerically("<", 2500*time.Millisecond)))
			seen[why.RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 40), "retries are spread over time")
	})

	It("are still sources of prompt copies", func() {
		f := newBackoffFleet(3)
		t := f.choose(chat("s"))
		f.placer.RecordRead(chat("s"), &t, epoch)
		f.placer.Backoffs.Record(&t.Replica, time.Second, "q", epoch)
		next, _ := f.placer.Choose(f.view, chat("s"), routing.Tried{}, epoch)
		Expect(next.Source.ID).To(Equal(t.Replica.ID))
	})

	It("back off for an hour at most, and until an operator lifts it", func() {
		r := routing.NewReplica(routing.Replica{ID: "r"})
		backoffs := routing.NewBackoffs()
		left, isNew := backoffs.Record(&r, 10*365*24*time.Hour, "q", epoch)
		Expect(left).To(Equal(time.Hour))
		Expect(isNew).To(BeTrue())
		Expect(backoffs.RequestedBy(&r, epoch)).To(Equal(routing.RequestID("q")))
		Expect(backoffs.Lift("r", epoch)).To(BeTrue())
		Expect(backoffs.Remaining(&r, epoch)).To(BeZero())
		Expect(backoffs.Lift("r", epoch)).To(BeFalse())
	})

	It("are removed when the backoff is over, and bounded in number", func() {
		backoffs := routing.NewBackoffs()
		last := routing.NewReplica(routing.Replica{ID: "last"})
		for i := range 10_001 {
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(i))})
			backoffs.Record(&r, time.Duration(i+1)*time.Millisecond, "q", epoch)
		}
		backoffs.Record(&last, time.Minute, "q", epoch)
		Expect(backoffs.Len()).To(Equal(10_000))
		Expect(backoffs.Remaining(&last, epoch)).To(Equal(time.Minute))
		backoffs.Forget(epoch.Add(30 * time.Second))
		Expect(backoffs.Len()).To(Equal(1))
	})
})

// TestBackoffAppliesToIncarnation checks rule 3.
func TestBackoffAppliesToIncarnation(t *testing.T) {
	for _, c := range []struct {
		name             string
		requested, other routing.StartTime
		backsOff         bool
	}{
		{"the incarnation that requested it", 7, 7, true},
		{"another incarnation", 7, 8, false},
		{"an entry without an incarnation time", 7, 0, true},
		{"an incarnation that requested it under such an entry", 0, 8, true},
	} {
		backoffs := routing.NewBackoffs()
		r := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.requested})
		backoffs.Record(&r, 10*time.Second, "q", epoch)
		other := routing.NewReplica(routing.Replica{ID: "r", StartTime: c.other})
		if got := backoffs.Remaining(&other, epoch) > 0; got != c.backsOff {
			t.Errorf("%s: backs off %t, want %t", c.name, got, c.backsOff)
		}
	}
}

// TestBackoffsAreKept simulates in virtual time any sequence of refusals, backoffs, successes,
// ejections, entries that come and go, and restarts, with any number of replicas. No request of
// the daemon may reach a replica between the response that requested a backoff and the end of the
// backoff. Two would be allowed, half a second later.
func TestBackoffsAreKept(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "replicas")
		f := newBackoffFleet(n)
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
			case 1: // refused, with or without a backoff
				backoff := time.Duration(rapid.IntRange(0, 4000).Draw(t, "rest")) * time.Millisecond
				f.placer.Backoffs.Record(r, backoff, "q", now)
				if end := now.Add(backoff); end.After(until[r.ID]) {
					until[r.ID] = end
				}
			case 2:
				f.placer.Health.Report(r, rapid.SampledFrom([]routing.Result{routing.ResultGood, routing.ResultRefused, routing.ResultUnreachable}).Draw(t, "result"), now)
			case 3: // its entry is removed
				f.pool.Ready = withoutReplica(f.pool.Ready, r.ID)
			case 4: // its entry is back
				f.pool.Ready = append(withoutReplica(f.pool.Ready, r.ID), *r)
			case 5: // it restarts
				r.StartTime++
				*r = routing.NewReplica(*r)
				delete(until, r.ID)
				f.pool.Ready = append(withoutReplica(f.pool.Ready, r.ID), *r)
			case 6:
				f.placer.Backoffs.Forget(now)
			}
			f.pool.Sort()
			for q := range 6 {
				target, ok := f.placer.Choose(f.view, chat(fmt.Sprint(q)), routing.Tried{}, now)
				if ok && now.Before(until[target.Replica.ID]) {
					t.Fatalf("%s got a request %v before the end of its backoff", target.Replica.ID, until[target.Replica.ID].Sub(now))
				}
				if !ok && anyServing(f, until, now) {
					t.Fatalf("a request was refused although a replica is not backing off")
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

// anyServing reports whether a replica of the fleet is not backing off.
func anyServing(f *fleet, until map[routing.ReplicaID]time.Time, now time.Time) bool {
	for i := range f.pool.Ready {
		if !now.Before(until[f.pool.Ready[i].ID]) {
			return true
		}
	}
	return false
}
