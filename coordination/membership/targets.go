// This file chooses the recipients of a heartbeat and the members that it names.
//
// Inputs: the live members with their failure domains, and the size of the fleet.
// The rule for a fleet of up to [FullMeshSize] other members:
//
//  1. A heartbeat goes to all live members and names up to sampleSize of them.
//
// In a large fleet, the cost of a daemon must not grow with the number of daemons:
//
//  2. A heartbeat goes to fanOut members, remoteFanOut of them in other domains, where
//     traffic is more expensive.
//  3. It names the likely readers of the store, because the choice of readers depends on
//     them; the most recently seen members of the own domain, which spreads the newest
//     information about them; the most recently seen member of each other domain, by
//     which a network partition is detected; and some random members.
//  4. A newly discovered daemon is sent more members at once, because it would otherwise
//     learn of them slowly.
//
// In both cases, each heartbeat also goes to one seed or known member that is not live,
// to detect the end of a partition. In a fleet of 62, a daemon sends 7.7 KB/s by these
// rules, and 26.5 KB/s by those of a small fleet.

package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// fanOut is the number of members to which a heartbeat of a large fleet goes, and
	// remoteFanOut the number of them in other domains.
	fanOut       = 5
	remoteFanOut = 1
	// sampleSize is the number of members that a heartbeat of a small fleet names: all of them.
	sampleSize = FullMeshSize
	// sampleNewest is the number of most recently seen members of the own domain that a
	// heartbeat of a large fleet names. sampleLocal and sampleRemote are the numbers of random
	// members of the own domain and of other domains.
	sampleNewest = 2
	sampleLocal  = 2
	sampleRemote = 1
	// bootstrapLocal and bootstrapRemote are the numbers of members of its own domain and of other domains that
	// a newly discovered daemon is sent.
	bootstrapLocal  = 8
	bootstrapRemote = 8
)

// Targets returns the recipients of the next heartbeat.
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

// RandomLocalMember returns a random live member of this daemon's failure domain, or false if there is none.
func (r *Roster) RandomLocalMember(now time.Time, rng *rand.Rand) (Address, bool) {
	local, _ := r.splitByDomain(r.live(now))
	if len(local) == 0 {
		return "", false
	}
	return local[rng.IntN(len(local))].Address, true
}

const (
	// elderShare is the part of the members among which one is chosen that has run for long, and maxElders the
	// greatest number of these. With fewer, the daemons of a large fleet that survive a loss of most others
	// would answer all of them at once.
	elderShare = 8
	maxElders  = 8
)

// RandomElder returns one of the live members that have run longest, but for one, or false if there is none.
func (r *Roster) RandomElder(now time.Time, rng *rand.Rand, except Address) (Address, bool) {
	live := slices.DeleteFunc(r.live(now), func(e *entry) bool { return e.Address == except })
	if len(live) == 0 {
		return "", false
	}
	slices.SortStableFunc(live, func(a, b *entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live[rng.IntN(max(1, min(len(live)/elderShare, maxElders)))].Address, true
}

// RandomCarrier returns a random live member that may open connections for this daemon: one that is not
// shutting down and not excluded. It is of the own failure domain if there is one, unless anyDomain is
// set. It returns false if there is none.
func (r *Roster) RandomCarrier(now time.Time, rng *rand.Rand, excluded func(Address) bool, anyDomain bool) (m Member, ok bool) {
	usable := slices.DeleteFunc(r.live(now), func(e *entry) bool { return !r.mayCarry(e, now) || excluded(e.Address) })
	local, _ := r.splitByDomain(usable)
	if len(local) > 0 && !anyDomain {
		usable = local
	}
	if len(usable) == 0 {
		return Member{}, false
	}
	return usable[rng.IntN(len(usable))].Member, true
}

// MayCarry reports whether a member can be expected to keep connections open for this daemon.
func (r *Roster) MayCarry(a Address, now time.Time) bool {
	e := r.members[a]
	return e != nil && r.mayCarry(e, now)
}

func (r *Roster) mayCarry(e *entry, now time.Time) bool {
	return !e.Leaving && r.isLive(e, now) && (r.isLarge() || !e.isMissed(now))
}

// chooseTargets chooses random recipients in a large fleet: mostly members of the own
// domain, and some of others.
func (r *Roster) chooseTargets(live []*entry, rng *rand.Rand) []*entry {
	local, remote := r.splitByDomain(live)
	remote = pickRandom(remote, max(remoteFanOut, fanOut-len(local)), rng)
	local = pickRandom(local, fanOut-len(remote), rng)
	return append(local, remote...)
}

// notLive returns the unknown seeds, followed by the known members that are not live.
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

// Sample returns the members that a heartbeat names in addition to its sender.
func (r *Roster) Sample(now time.Time, rng *rand.Rand) []Member {
	live := r.live(now)
	if !r.isLarge() {
		shuffle(live, rng)
		return membersOf(live[:min(len(live), sampleSize)], now)
	}
	readers, rest := splitLikelyReaders(live)
	local, remote := r.splitByDomain(rest)
	newest := pickNewest(local, sampleNewest)
	newestRemote, restRemote := splitNewestByDomain(remote, rng)
	out := append(readers, newest...)
	out = append(out, pickRandom(local[len(newest):], sampleLocal, rng)...)
	out = append(out, newestRemote...)
	out = append(out, pickRandom(restRemote, sampleRemote, rng)...)
	return membersOf(out, now)
}

// Bootstrap returns the members that a newly discovered daemon is sent: the likely readers,
// some random members of its domain and some of other domains.
func (r *Roster) Bootstrap(to Member, now time.Time, rng *rand.Rand) []Member {
	out, rest := splitLikelyReaders(r.live(now))
	shuffle(rest, rng)
	local, remote := bootstrapLocal, bootstrapRemote
	for _, e := range rest {
		left := &remote
		if e.Domain == to.Domain {
			left = &local
		}
		if *left > 0 {
			*left--
			out = append(out, e)
		}
	}
	return membersOf(out, now)
}

// splitNewestByDomain splits a list into the most recently seen member of each domain and the rest. Ties are
// broken at random.
func splitNewestByDomain(list []*entry, rng *rand.Rand) (newest, rest []*entry) {
	if len(list) == 0 {
		return nil, nil
	}
	best := make(map[state.FailureDomain]*entry)
	first := rng.IntN(len(list))
	for i := range list {
		e := list[(first+i)%len(list)]
		if n := best[e.Domain]; n == nil || e.lastSeen.After(n.lastSeen) {
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

// splitLikelyReaders splits a list sorted by address into the likely readers of the store and
// the rest. A likely reader is the first member of a domain that is not leaving and can
// read the store, as in readers.go.
func splitLikelyReaders(live []*entry) (readers, rest []*entry) {
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

// splitByDomain splits a list into members of this daemon's domain and of other domains.
func (r *Roster) splitByDomain(list []*entry) (local, remote []*entry) {
	for _, e := range list {
		if e.Domain == r.self.Domain {
			local = append(local, e)
			continue
		}
		remote = append(remote, e)
	}
	return local, remote
}

// pickNewest moves the n most recently seen members to the front of a list and returns them.
func pickNewest(list []*entry, n int) []*entry {
	n = min(n, len(list))
	for i := range n {
		best := i
		for k := i + 1; k < len(list); k++ {
			if list[k].lastSeen.After(list[best].lastSeen) {
				best = k
			}
		}
		list[i], list[best] = list[best], list[i]
	}
	return list[:n]
}

// pickRandom moves n random members to the front of a list and returns them. It is cheaper than shuffling a
// long list.
func pickRandom(list []*entry, n int, rng *rand.Rand) []*entry {
	n = min(n, len(list))
	for i := range n {
		k := i + rng.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:n]
}

func shuffle(list []*entry, rng *rand.Rand) { pickRandom(list, len(list), rng) }
