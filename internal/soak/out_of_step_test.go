package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func outOfStepShape() Shape {
	return Shape{Trouble: 12 * time.Second, Quiet: 5 * time.Second, MaxDaemons: 6, OutOfStep: true}
}

// TestOutOfStepPlans guards against releases that fall where they can't show anything: before daemons know that a service
// has one version, with no daemon out of step, or with no daemon in step whose streams break off.
func TestOutOfStepPlans(t *testing.T) {
	const seeds = 300
	kinds, stores := make(map[faultKind]int), make(map[int]int)
	for seed := range uint64(seeds) {
		p := NewPlan(seed, outOfStepShape())
		if p.Versions == nil || p.Versions.Count != 1 || !p.Versions.KeepsVersion || p.Versions.Interval != 0 || len(p.Versions.Rollouts) == 0 {
			t.Fatalf("seed %d: versions %+v, want one version until the first release", seed, p.Versions)
		}
		replaced := 0
		for _, r := range p.Versions.Rollouts {
			replaced += r.Replicas - 2*p.Gate
			var outside, broken []int
			for _, f := range p.Faults {
				isDuring := f.At <= r.At && f.At+f.For > r.At
				switch {
				case isDuring && (f.Kind == cutDaemon || f.Kind == freezeDaemon):
					outside = append(outside, f.Target)
				case isDuring && f.Kind == cutDomain:
					for d := f.Target; d < p.Daemons; d += p.Domains {
						outside = append(outside, d)
					}
				case f.At > r.At && f.At < r.At+2*time.Second && (f.Kind == linkCallers || f.Kind == killDaemon):
					broken = append(broken, f.Target)
				}
				if isDuring {
					kinds[f.Kind]++
				}
				if isDuring && f.Kind == linkStore {
					stores[f.Variant]++
				}
			}
			if r.At < firstRelease || len(outside) == 0 || len(broken) == 0 {
				t.Errorf("seed %d: release at %v beside daemons %v out of step, streams of %v break off", seed, r.At, outside, broken)
			}
			for _, d := range broken {
				if slices.Contains(outside, d) {
					t.Errorf("seed %d: daemon %d is out of step and its streams break off", seed, d)
				}
			}
		}
		if replaced >= p.Chat {
			t.Errorf("seed %d: %d of %d replicas are replaced", seed, replaced, p.Chat)
		}
	}
	for _, kind := range []faultKind{cutDaemon, cutDomain, freezeDaemon, linkStore} {
		if kinds[kind] < seeds/20 {
			t.Errorf("%s beside %d releases of %d seeds", kind, kinds[kind], seeds)
		}
	}
	for _, v := range []int{linkSilent, linkOneWay, linkResets} {
		if stores[v] == 0 {
			t.Errorf("no link to the store with variant %d: %v", v, stores)
		}
	}
}

// TestOutOfStepLeavesOtherDraws guards against seeds that change because another kind of fault was added.
func TestOutOfStepLeavesOtherDraws(t *testing.T) {
	for seed := range uint64(50) {
		with, without := DefaultShape(), DefaultShape()
		with.OutOfStep = true
		a, b := NewPlan(seed, with), NewPlan(seed, without)
		var left []Fault
		for _, f := range a.Faults {
			if slices.Contains(b.Faults, f) {
				left = append(left, f)
			}
		}
		if !reflect.DeepEqual(left, b.Faults) {
			t.Errorf("seed %d: the faults without the flag are not part of those with it", seed)
		}
	}
}

// TestCountsResumesAtReleases guards against a report that counts resumes of other times, or at other daemons, as ones that
// a daemon out of step took.
func TestCountsResumesAtReleases(t *testing.T) {
	l := newLedger(defaultBounds())
	l.ReleaseBegan(at(100))
	l.FellOutOfStep(1, at(99), at(100.2))
	for _, q := range []struct {
		id     string
		daemon int
		sent   float64
		after  int
	}{{"l1", 1, 99.9, 1}, {"l2", 1, 100.1, 1}, {"l3", 1, 100.6, 1}, {"l4", 1, 100.8, 1}, {"l5", 0, 100.1, 1}, {"l6", 1, 100.1, 0}, {"l7", 1, 101.1, 1}} {
		l.Sent(Request{ID: q.id, Route: singleRoute, Daemon: q.daemon, Sent: at(q.sent), After: q.after, Resumes: "l0"})
	}
	if n := l.Streams(); n.AtRelease != 4 || n.OutOfStep != 2 {
		t.Errorf("%d resumes at the release, %d of them out of step; want 4 and 2", n.AtRelease, n.OutOfStep)
	}
}
