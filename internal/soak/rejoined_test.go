package soak

import (
	"testing"
	"time"
)

const (
	rejoinedDaemons  = 6
	rejoinedDomains  = 3
	rejoinedReplicas = versionedReplicas
	// rejoinedKill is when all daemons are killed: they know by then which versions there were.
	rejoinedKill = 12 * time.Second
	// rejoinedRollout is the longest duration of a rollout.
	rejoinedRollout = 8 * time.Second
)

// rejoinedPlan returns a plan in which all daemons are killed at once while callers take up streams, and the replicas
// of one software version are replaced by those of another from a time on, gap after gap.
func rejoinedPlan(release, gap time.Duration, unannounced bool) *Plan {
	picks := min(6*rejoinedReplicas, int(rejoinedRollout/gap)) // of places, those of other services among them
	return &Plan{
		Daemons: rejoinedDaemons, Domains: rejoinedDomains, Gate: 3, Chat: rejoinedReplicas, Callers: rejoinedDaemons,
		Trouble: 18 * time.Second, Quiet: 5 * time.Second,
		Versions: &Versions{
			Count: 1, Replicas: rejoinedReplicas, Resumers: 10 * rejoinedDaemons,
			Rollouts: []Rollout{{At: release, Version: 1, Replicas: picks, Gap: gap, Unannounced: unannounced}},
		},
		Faults: []Fault{{At: rejoinedKill, Kind: killAll}},
	}
}

// killAgain adds kills of all daemons in series after the first.
func (p *Plan) killAgain(after ...time.Duration) *Plan {
	for _, d := range after {
		p.Faults = append(p.Faults, Fault{At: rejoinedKill + d, Kind: killAll})
	}
	return p
}

// exceptDomain replaces the kill of all daemons by kills of those of the other failure domains, while the first domain is
// cut off from them.
func (p *Plan) exceptDomain() *Plan {
	p.Faults = []Fault{{At: rejoinedKill - 500*time.Millisecond, For: 4 * time.Second, Kind: cutDomain}}
	for i := range p.Daemons {
		if i%p.Domains != 0 {
			p.Faults = append(p.Faults,
				Fault{At: rejoinedKill, Kind: killDaemon, Target: i},
				Fault{At: rejoinedKill + 2*time.Second, Kind: killDaemon, Target: i})
		}
	}
	return p
}

// with adds a fault that begins shortly before the kill and outlasts it.
func (p *Plan) with(kind faultKind) *Plan {
	p.Faults = append(p.Faults, Fault{At: rejoinedKill - 400*time.Millisecond, For: 2500 * time.Millisecond, Kind: kind})
	return p
}

// TestStreamsTakenUpAfterAllDaemonsWereKilled guards against streams that callers take up at daemons that have all just
// started, and that go on at another software version than the one that began them.
func TestStreamsTakenUpAfterAllDaemonsWereKilled(t *testing.T) {
	t.Parallel()
	const atOnce = 2 * time.Millisecond
	for _, c := range []struct {
		name string
		plan *Plan
	}{
		{"the other version is being rolled out", rejoinedPlan(rejoinedKill-3*time.Second, rolloutGap, false)},
		{"the old entries go just before the kill", rejoinedPlan(rejoinedKill-200*time.Millisecond, atOnce, true)},
		{"the old entries go during the kill", rejoinedPlan(rejoinedKill+100*time.Millisecond, atOnce, true)},
		{"kills in series", rejoinedPlan(rejoinedKill-200*time.Millisecond, atOnce, true).killAgain(1500*time.Millisecond, 3*time.Second)},
		{"one failure domain lives on, cut off", rejoinedPlan(rejoinedKill-200*time.Millisecond, atOnce, true).exceptDomain()},
		{"the store is away at the start", rejoinedPlan(rejoinedKill-200*time.Millisecond, atOnce, true).with(storeUnreachable)},
		{"the store is restored at the start", rejoinedPlan(rejoinedKill-200*time.Millisecond, atOnce, true).with(restoreStore)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playStreams(t, c.plan)
		})
	}
}
