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
	// bootstrapNear and bootstrapFar are how many members a daemon that has just been found is sent.
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

// Neighbour returns a live member of the own failure domain, by chance.
func (r *Roster) Neighbour(now time.Time, rng *rand.Rand) (Address, bool) {
	near, _ := r.splitByDomain(r.live(now))
	if len(near) == 0 {
		return "", false
	}
	return near[rng.IntN(len(near))].Address, true
}

// chooseTargets draws the targets of a large fleet: mostly members of the own
// domain, and some of others.
func (r *Roster) chooseTargets(live []*entry, rng *rand.Rand) []*entry {
	near, far := r.splitByDomain(live)
	far = draw(far, max(farFanOut, fanOut-len(near)), rng)
	near = draw(near, fanOut-len(far), rng)
	return append(near, far...)
}

// notLive returns the seeds and known members that are not live, seeds that are not known first.
func (r *Roster) notLive(now time.Time) []Address {
	var out []Address
	for _, s := range r.seeds {
		if s != r.self.Address && r.members[s] == nil {
			out = append(out, s)
		}
	}
	for _, e := range r.ordered {
		if !r.isLive(e, now) {
			out = append(out, e.Address)
		}
	}
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
	newest := takeNewest(near, sampleNewest)
	newestFar, drawnFar := takeNewestOfDomains(far, rng)
	out := append(readers, newest...)
	out = append(out, draw(near[len(newest):], sampleNear, rng)...)
	out = append(out, newestFar...)
	out = append(out, draw(drawnFar, sampleFar, rng)...)
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

// takeNewestOfDomains takes the member of each domain that was seen last out of a list; of those
// that were seen at the same time, one by chance.
func takeNewestOfDomains(list []*entry, rng *rand.Rand) (newest, rest []*entry) {
	if len(list) == 0 {
		return nil, nil
	}
	best := make(map[state.FailureDomain]*entry)
	first := rng.IntN(len(list))
	for i := range list {
		e := list[(first+i)%len(list)]
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

// takeNewest moves the n members that were seen last to the front of a list, and returns them.
func takeNewest(list []*entry, n int) []*entry {
	n = min(n, len(list))
	for i := range n {
		best := i
		for k := i + 1; k < len(list); k++ {
			if list[k].seen.After(list[best].seen) {
				best = k
			}
		}
		list[i], list[best] = list[best], list[i]
	}
	return list[:n]
}

// draw moves n members by chance to the front of a list, and returns them: a few are taken of
// many, which are not worth shuffling.
func draw(list []*entry, n int, rng *rand.Rand) []*entry {
	n = min(n, len(list))
	for i := range n {
		k := i + rng.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:n]
}

func shuffle(list []*entry, rng *rand.Rand) { draw(list, len(list), rng) }
