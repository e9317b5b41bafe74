// This file lets a release begin while a daemon, or a failure domain, is out of step with it: cut off from the other
// daemons, with the store silent, reset or well for it, or paused in series. Meanwhile the streams of the daemons in step
// break off, and their callers resume them at any daemon, some at one that does not know the new version.

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sourceOutOfStep is the random source of these releases.
const sourceOutOfStep = 30

// Parameters of releases beside daemons that are out of step.
const (
	// firstRelease is when the first release begins, at the earliest. Daemons know that a service has a single version
	// only once they have run for as long as a stream can last, which is 10 s; until then they ask for each stream.
	firstRelease = 11500 * time.Millisecond
	// releaseJitter is added to it at most.
	releaseJitter = time.Second
	// secondReleaseOneIn runs has a second release. A service with two versions already is a lesser risk: daemons ask for
	// its streams, in step or not.
	secondReleaseOneIn = 4
	// releasePause is the time between the end of one outage and the next release.
	releasePause = 1500 * time.Millisecond
	// maxOutOfStepLead is how long before the release a daemon falls out of step, at most.
	maxOutOfStepLead = 150 * time.Millisecond
	// An outage lasts for minOutOfStep to longOutOfStep in one half of the draws: a daemon misses its peers after 1 s and counts
	// them as gone after 2.5 s. In the other half it lasts for longOutOfStep to maxOutOfStep, so that it goes on when the new
	// version is established, which takes 3.6 s.
	minOutOfStep  = 1200 * time.Millisecond
	longOutOfStep = 4 * time.Second
	maxOutOfStep  = 7 * time.Second
	minPause      = 100 * time.Millisecond
	maxPauseGap   = 400 * time.Millisecond // between two pauses of a series
	minStepped    = 4                      // daemons
	stepResumers  = 100                    // callers that resume their streams
	firstBreak    = 150 * time.Millisecond // after the release, at the earliest
	breakInterval = 250 * time.Millisecond // between two resets of callers' links
	breakLength   = 60 * time.Millisecond
	killedShare   = 3 // one in killedShare daemons in step is killed at most: the others hold where the streams began
	// At least minReplaced replicas are replaced in a release, and at most maxReplaced. The others serve on, so that a daemon
	// out of step finds replicas of the former version.
	minReplaced = 4
	maxReplaced = 8
)

// Variants of faults of links and cuts.
const (
	linkOneWay   = 3 // nothing arrives from the daemon; the store still answers the watch that it has
	linkSilent   = 4 // nothing arrives at the daemon
	linkResets   = 5
	cutBothWays  = 0
	cutOutbound  = 1 // the daemons inside still hear the others, so that they learn of the release
	cutInbound   = 2
	cutVariants  = 3
	noStoreFault = -1
)

// cutDirections are the directions of cuts.
var cutDirections = []int{cutBothWays, cutBothWays, cutBothWays, cutInbound, cutInbound, cutOutbound}

// storeFaults are what becomes of the store's link of a daemon that is cut off. Where one of the last two is drawn, the
// daemon still learns of the release.
var storeFaults = []int{linkResets, linkResets, linkResets, linkSilent, linkSilent, linkOneWay, noStoreFault}

// longestPauses are the bounds of the pauses of a series, one of which is drawn. Most are shorter than the second after which
// a daemon notices a pause, and after which the load balancer sends it no more callers.
var longestPauses = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 3 * time.Second}

// releaseGaps are the times between replacing one replica and the next.
var releaseGaps = []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}

// outage is a time in which some daemons are out of step with a release.
type outage struct {
	release time.Duration // when it begins
	from    time.Duration
	length  time.Duration
	daemons []int
}

// drawOutOfStep replaces the versions of a plan by releases beside daemons that are out of step, from a random source of
// their own.
func (p *Plan) drawOutOfStep(seed uint64, s Shape) {
	if !s.OutOfStep {
		return
	}
	rng := rand.New(rand.NewPCG(seed, sourceOutOfStep))
	p.Daemons = max(p.Daemons, minStepped)
	p.Versions = &Versions{Count: 1, Replicas: versionedReplicas, Resumers: stepResumers, KeepsVersion: true}
	p.Chat = versionedReplicas
	at := firstRelease + time.Duration(rng.Int64N(int64(releaseJitter)))
	releases := 1
	if rng.IntN(secondReleaseOneIn) == 0 {
		releases = 2
	}
	for version := range releases {
		p.Versions.Rollouts = append(p.Versions.Rollouts, Rollout{
			At: at, Version: version + 1, Replicas: 2*p.Gate + minReplaced + rng.IntN(maxReplaced-minReplaced+1),
			Gap: releaseGaps[rng.IntN(len(releaseGaps))], Unannounced: rng.IntN(2) == 0,
		})
		o := outage{release: at, from: at - time.Duration(rng.Int64N(int64(maxOutOfStepLead))), length: between(rng, minOutOfStep, longOutOfStep)}
		if rng.IntN(2) == 0 {
			o.length = between(rng, longOutOfStep, maxOutOfStep)
		}
		p.drawOutage(rng, &o)
		p.drawBreaks(rng, &o)
		at += o.length + releasePause
	}
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// drawOutage draws the daemons of an outage and what puts them out of step: a cut, or pauses with or without a cut.
func (p *Plan) drawOutage(rng *rand.Rand, o *outage) {
	target := rng.IntN(p.Daemons)
	o.daemons = []int{target}
	kind, store := rng.IntN(5), storeFaults[rng.IntN(len(storeFaults))]
	switch kind {
	case 0, 1:
		p.addCut(rng, o, cutDaemon, target, store)
	case 2:
		domain := target % p.Domains
		o.daemons = slices.DeleteFunc(rng.Perm(p.Daemons), func(i int) bool { return i%p.Domains != domain })
		p.addCut(rng, o, cutDomain, domain, store)
	case 3:
		p.addCut(rng, o, cutDaemon, target, store)
		p.addPauses(rng, o, target)
	case 4:
		p.addPauses(rng, o, target)
	}
}

// addCut cuts the daemons of an outage off from the others and disturbs their links to the store.
func (p *Plan) addCut(rng *rand.Rand, o *outage, kind faultKind, target, store int) {
	direction := cutDirections[rng.IntN(len(cutDirections))]
	p.Faults = append(p.Faults, Fault{At: o.from, For: o.length, Kind: kind, Target: target, Variant: direction})
	if store == noStoreFault {
		return
	}
	for _, d := range o.daemons {
		p.Faults = append(p.Faults, Fault{At: o.from, For: o.length, Kind: linkStore, Target: d, Variant: store})
	}
}

// addPauses suspends a daemon again and again during an outage, also when the release begins.
func (p *Plan) addPauses(rng *rand.Rand, o *outage, target int) {
	longest := longestPauses[rng.IntN(len(longestPauses))]
	for at, end := o.from, o.from+o.length; at < end; {
		length := between(rng, minPause, longest)
		if at == o.from {
			length = max(length, o.release-at+minPause)
		}
		length = min(length, end-at)
		p.Faults = append(p.Faults, Fault{At: at, For: length, Kind: freezeDaemon, Target: target})
		at += length + time.Duration(rng.Int64N(int64(maxPauseGap)))
	}
}

// drawBreaks breaks the streams of the daemons in step off, from soon after the release until the end of the outage: by
// resets of their callers' links, by kills of some of them, or by both.
func (p *Plan) drawBreaks(rng *rand.Rand, o *outage) {
	var inStep []int
	for _, d := range rng.Perm(p.Daemons) {
		if !slices.Contains(o.daemons, d) {
			inStep = append(inStep, d)
		}
	}
	from, kind := o.release+firstBreak, rng.IntN(4)
	if kind != 0 {
		for at := from; at < o.from+o.length; at += breakInterval {
			for _, d := range inStep {
				p.Faults = append(p.Faults, Fault{At: at, For: breakLength, Kind: linkCallers, Target: d, Variant: linkResets})
			}
		}
	}
	if kind <= 1 {
		until := o.from + minOutOfStep // of the first kill, since a daemon may notice later that it is cut off
		for _, d := range inStep[:min(1+rng.IntN(3), max(1, len(inStep)/killedShare))] {
			p.Faults = append(p.Faults, Fault{At: between(rng, from, until), Kind: killDaemon, Target: d})
			until = o.from + o.length
		}
	}
}

// releaseWindow is the time from the start of a release in which resumes count as made at it.
const releaseWindow = time.Second

// ReleaseBegan records that a release begins.
func (l *Ledger) ReleaseBegan(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releases = append(l.releases, at) // in order of time, as they begin
}

// FellOutOfStep records that a daemon is cut off from others, or suspended.
func (l *Ledger) FellOutOfStep(daemon int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outOfStep[daemon] = append(l.outOfStep[daemon], span{from, to})
}

// isAtRelease reports whether a time lies within releaseWindow from the start of a release.
func (j *checker) isAtRelease(at time.Time) bool {
	return slices.ContainsFunc(j.releases, func(from time.Time) bool { return !at.Before(from) && at.Sub(from) <= releaseWindow })
}

// describeRelease says when a request was sent after the start of the last release, if there was one, and whether its daemon
// was out of step then.
func (j *checker) describeRelease(r *record) string {
	i := slices.IndexFunc(j.releases, func(from time.Time) bool { return from.After(r.Sent) })
	if i < 0 {
		i = len(j.releases)
	}
	if i == 0 {
		return ""
	}
	return fmt.Sprintf(", sent %.2f s after a release began, out of step %t", r.Sent.Sub(j.releases[i-1]).Seconds(), j.isOutOfStep(r.Daemon, r.Sent))
}

// isOutOfStep reports whether a daemon was out of step at a time, or had been just before.
func (j *checker) isOutOfStep(daemon int, at time.Time) bool {
	return !noneOverlaps(j.outOfStep[daemon], at.Add(-settling), at)
}
