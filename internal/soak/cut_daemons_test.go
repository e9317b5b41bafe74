package soak

import (
	"testing"
	"time"
)

// outOfStepPlan returns a plan in which daemons are cut off from the others and from the store just before replicas of a service
// of 18 are replaced by others of a second version; picks places are drawn for that. Meanwhile callers' connections to the other
// daemons are reset, so that streams that began at the second version are taken up at the daemons that don't know it.
func outOfStepPlan(picks int, faults ...Fault) *Plan {
	const (
		before   = 50 * time.Millisecond
		length   = 3 * time.Second
		interval = 250 * time.Millisecond // of the resets
		daemons  = 6
	)
	p := &Plan{
		Daemons: daemons, Domains: 3, Gate: 3, Chat: versionedReplicas, Callers: daemons, Trouble: 17 * time.Second, Quiet: 4 * time.Second,
		Versions: &Versions{
			Count: 1, Replicas: versionedReplicas, Resumers: 20 * daemons,
			Rollouts: []Rollout{{At: outOfStepRelease, Version: 1, Replicas: picks, Gap: 2 * time.Millisecond}},
		},
	}
	for _, f := range faults {
		f.At, f.For = outOfStepRelease-before, length
		p.Faults = append(p.Faults, f)
	}
	for after := 200 * time.Millisecond; after < length; after += interval {
		for i := 1; i < daemons; i++ {
			p.Faults = append(p.Faults, Fault{At: outOfStepRelease + after, For: 60 * time.Millisecond, Kind: linkCallers, Target: i, Variant: linkResets})
		}
	}
	return p
}

const (
	// outOfStepRelease is when the replicas are replaced: the daemons know by then which versions there were.
	outOfStepRelease = 12 * time.Second
	somePicks        = 20                    // of places, of which six are among the service's replicas
	allPicks         = 6 * versionedReplicas // of places, so that all replicas of the service are among them
)

// TestStreamsStayAtTheirVersionBesideCutDaemons guards against daemons that are cut off during a release, take the only
// version that they know for the only one that there is, and resume streams of another version at its replicas.
func TestStreamsStayAtTheirVersionBesideCutDaemons(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		picks  int
		faults []Fault
	}{
		{"a daemon whose connections to the store are reset", somePicks, []Fault{{Kind: cutDaemon}, {Kind: linkStore, Variant: linkResets}}},
		{"a failure domain whose connections to the store are silent", somePicks, []Fault{
			{Kind: cutDomain}, {Kind: linkStore, Variant: linkSilent}, {Kind: linkStore, Target: 3, Variant: linkSilent}}},
		{"a daemon, while all replicas are replaced", allPicks, []Fault{{Kind: cutDaemon}, {Kind: linkStore, Variant: linkResets}}},
	} {
		t.Run(c.name, func(t *testing.T) { playStreams(t, outOfStepPlan(c.picks, c.faults...)) })
	}
}
