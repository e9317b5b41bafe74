// This file decides where a heartbeat goes and which members it names.
//
// Inputs: the live members with their failure domains, and how large the fleet is.
// The rule for a fleet of up to [FullMeshSize] other members:
//
//  1. A heartbeat goes to all live members, and names up to sampleSize of them.
//
// In a large fleet a daemon's cost must not grow with the number of daemons:
//
//  2. A heartbeat goes to fanOut members, farFanOut of them in other domains, whose
//     links cost more.
//  3. It names the likely readers of the store, on which others' choice of readers
//     depends; the members of the own domain that were seen last, which is what
//     spreads the latest of them; of each other domain the one that was seen last,
//     by which a cut is found out; and some others by chance.
//  4. A daemon that has just been found is sent more members at once, or it would
//     learn of them slowly.
//
// In both, one seed or known member that is not live is tried each time, so that a
// cut that has healed is noticed. In a fleet of 62 a daemon sends 7.7 KB/s by these
// rules, and 26.5 by those of a small fleet.

package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// fanOut is how many members a heartbeat of a large fleet goes to, and farFanOut
	// how many of them are in other domains.
	fanOut    = 5
	farFanOut = 1
	// sampleSize is how many members a heartbeat of a small fleet names: all of them.
	sampleSize = FullMeshSize
	// sampleNewest, sampleNear and sampleFar are how many a heartbeat of a large
	// fleet names besides the likely readers.
	sampleNewest = 2
	sampleNear   = 2
	sampleFar    = 1
	// bootstrapNear and bootstrapFar are how many members a daemon that has just been
	// found is sent. Chosen, not measured by themselves.
	bootstrapNear = 8
	bootstrapFar  = 8
)

// Targets returns where the next heartbeat goes.
func (r *Roster) Targets(now time.Time, rng *rand.Rand) []Address {
	live := r.live(now)
	if len(live) > FullMeshSize {
		live = r.chooseTargets(live, rng)
	}
	out := make([]Address, 0, len(live)+1)
	for _, e := range live {
		out = append(out, e.Address)
	}
	if rest := r.notLive(now); len(rest) > 0 {
		out = append(out, rest[rng.IntN(len(rest))])
	}
	return out
}

// chooseTargets draws the targets of a large fleet: mostly members of the own
// domain, and some of others.
func (r *Roster) chooseTargets(live []*entry, rng *rand.Rand) []*entry {
	shuffle(live, rng)
	near, far := r.splitByDomain(live)
	far = far[:min(len(far), max(farFanOut, fanOut-len(near)))]
	near = near[:min(len(near), fanOut-len(far))]
	return append(near, far...)
}

// notLive returns the seeds and known members that are not live, sorted.
func (r *Roster) notLive(now time.Time) []Address {
	var out []Address
	for _, s := range r.seeds {
		e := r.members[s]
		if s != r.self.Address && (e == nil || !r.isLive(e, now)) {
			out = append(out, s)
		}
	}
	for a, e := range r.members {
		if !r.isLive(e, now) && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Sample returns the members that a heartbeat names, besides its sender.
func (r *Roster) Sample(now time.Time, rng *rand.Rand) []Member {
	live := r.live(now)
	if !r.large() {
		shuffle(live, rng)
		return membersOf(live[:min(len(live), sampleSize)], now)
	}
	readers, rest := likelyReaders(live)
	near, far := r.splitByDomain(rest)
	slices.SortStableFunc(near, func(a, b *entry) int { return b.seen.Compare(a.seen) })
	newest := min(len(near), sampleNewest)
	drawn := near[newest:]
	shuffle(drawn, rng)
	shuffle(far, rng)
	newestFar, drawnFar := takeNewestOfDomains(far)
	out := append(readers, near[:newest]...)
	out = append(out, drawn[:min(len(drawn), sampleNear)]...)
	out = append(out, newestFar...)
	out = append(out, drawnFar[:min(len(drawnFar), sampleFar)]...)
	return membersOf(out, now)
}

// Bootstrap returns the members that a daemon is sent that has just been found: the
// likely readers, some of its own domain and some others.
func (r *Roster) Bootstrap(to Member, now time.Time, rng *rand.Rand) []Member {
	out, rest := likelyReaders(r.live(now))
	shuffle(rest, rng)
	near, far := bootstrapNear, bootstrapFar
	for _, e := range rest {
		left := &far
		if e.Domain == to.Domain {
			left = &near
		}
		if *left > 0 {
			*left--
			out = append(out, e)
		}
	}
	return membersOf(out, now)
}

// takeNewestOfDomains takes the member of each domain that was seen last out of a list.
func takeNewestOfDomains(list []*entry) (newest, rest []*entry) {
	best := make(map[state.FailureDomain]*entry)
	for _, e := range list {
		if n := best[e.Domain]; n == nil || e.seen.After(n.seen) {
			best[e.Domain] = e
		}
	}
	for _, e := range list {
		if best[e.Domain] == e {
			newest = append(newest, e)
			continue
		}
		rest = append(rest, e)
	}
	return newest, rest
}

// likelyReaders takes the first member of each domain that is neither leaving nor
// without the store out of a list sorted by address: readers.go chooses those.
func likelyReaders(live []*entry) (readers, rest []*entry) {
	seen := make(map[state.FailureDomain]bool)
	for _, e := range live {
		if seen[e.Domain] || e.Leaving || e.StoreUnreachable {
			rest = append(rest, e)
			continue
		}
		seen[e.Domain] = true
		readers = append(readers, e)
	}
	return readers, rest
}

// splitByDomain parts the members of the own domain from the others.
func (r *Roster) splitByDomain(list []*entry) (near, far []*entry) {
	for _, e := range list {
		if e.Domain == r.self.Domain {
			near = append(near, e)
			continue
		}
		far = append(far, e)
	}
	return near, far
}

func shuffle(list []*entry, rng *rand.Rand) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
