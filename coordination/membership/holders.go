// This file chooses the daemons that hold the record of a key, for facts that are asked for rarely and
// that need not reach all daemons, and those that are asked for it.
//
// Inputs: the key and the live members with their failure domains. The rules:
//
//  1. In each failure domain, one daemon is responsible for the key, by rendezvous hashing of the addresses of
//     those that are not shutting down. If all of a domain are, it is one of these: they answer until they end.
//  2. The holders are the responsible daemons of the holderDomains failure domains that rank highest by
//     them, and the one of the own failure domain: if that is cut off from the others, the record of one
//     of its daemons is found by the others there.
//  3. Holders change when daemons start and end. The daemon that made a record sends it to those that it
//     lacks (records.go). Until then the former holders have it: one that began to shut down, or one
//     that a daemon which has just started outranks. So all of these are asked: in each of the domains
//     that are chosen by rule 2, or would be if nobody shut down, the highest ranked daemons down to the
//     second one that is not shutting down.
//
// Daemons whose rosters are alike compute the same holders, but for the one of their own domain.

package membership

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

const (
	// holderDomains is how many failure domains hold a record. If 45% of all daemons are killed at once,
	// one in eleven records is lost.
	holderDomains = 3
	// askedStaying is how many daemons of a failure domain that are not shutting down are asked: the
	// responsible one may have just started.
	askedStaying = 2
	// maxAskedPerDomain bounds the questions while most daemons of a large domain shut down.
	maxAskedPerDomain = 8
)

// liveSet are the live daemons, this one included, for any number of keys.
type liveSet struct {
	self    state.FailureDomain
	domains []state.FailureDomain
	members []liveMember
}

// liveMember is a live daemon.
type liveMember struct {
	address Address
	hash    uint64 // of the address
	domain  int    // index in the set's domains
	leaving bool
}

// candidate is a daemon that may hold the record of a key.
type candidate struct {
	liveMember
	rank uint64
}

// compareRank orders candidates by rank, the highest first.
func compareRank(a, b candidate) int { return cmp.Compare(b.rank, a.rank) }

// domainRanking has the highest ranked daemons of a failure domain for a key.
type domainRanking struct {
	name state.FailureDomain
	best candidate // of all
	// staying is the best one that is not shutting down, if hasStaying is set.
	staying    candidate
	hasStaying bool
}

// responsible returns the daemon of the domain that is responsible for the key.
func (d *domainRanking) responsible() candidate {
	if d.hasStaying {
		return d.staying
	}
	return d.best
}

// Holders returns the daemons that hold the record of a key, which may include this one.
func (r *Roster) Holders(key uint64, now time.Time) []Address { return r.liveSet(now).holders(key) }

// PossibleHolders returns the daemons that are asked for the record of a key, which may include this one: the
// holders, and those that were until a moment ago.
func (r *Roster) PossibleHolders(key uint64, now time.Time) []Address {
	return r.liveSet(now).possibleHolders(key)
}

// Responsible returns the one daemon of the fleet that is responsible for a key, or "" if all are shutting down.
func (r *Roster) Responsible(key uint64, now time.Time) Address {
	best, ok := candidate{}, false
	for _, d := range r.liveSet(now).rank(key) {
		if d.hasStaying && (!ok || d.staying.rank > best.rank) {
			best, ok = d.staying, true
		}
	}
	return best.address
}

// liveSet returns the live daemons.
func (r *Roster) liveSet(now time.Time) *liveSet {
	set := &liveSet{self: r.self.Domain, members: make([]liveMember, 0, 1+len(r.ordered))}
	indexes := make(map[state.FailureDomain]int)
	add := func(m *Member) {
		i, ok := indexes[m.Domain]
		if !ok {
			i = len(set.domains)
			indexes[m.Domain], set.domains = i, append(set.domains, m.Domain)
		}
		set.members = append(set.members, liveMember{m.Address, coordination.Hash(string(m.Address)), i, m.Leaving})
	}
	add(&r.self)
	for _, e := range r.ordered {
		if r.isLive(e, now) {
			add(&e.Member)
		}
	}
	return set
}

// holders is [Roster.Holders].
func (set *liveSet) holders(key uint64) []Address {
	ranking := set.rank(key)
	sortByRank(ranking, (*domainRanking).responsible)
	var out []Address
	for i := range ranking {
		if d := &ranking[i]; i < holderDomains || d.name == set.self {
			out = append(out, d.responsible().address)
		}
	}
	return out
}

// possibleHolders is [Roster.PossibleHolders].
func (set *liveSet) possibleHolders(key uint64) []Address {
	ranking := set.rank(key)
	asked := map[state.FailureDomain]bool{set.self: true}
	for _, by := range []func(*domainRanking) candidate{(*domainRanking).responsible, (*domainRanking).highest} {
		sortByRank(ranking, by)
		for _, d := range ranking[:min(holderDomains, len(ranking))] {
			asked[d.name] = true
		}
	}
	var out []Address
	for i, name := range set.domains {
		if asked[name] {
			out = append(out, set.possibleHoldersIn(i, key)...)
		}
	}
	return out
}

// highest returns the highest ranked daemon of the domain, which may be shutting down.
func (d *domainRanking) highest() candidate { return d.best }

// possibleHoldersIn returns the daemons of a failure domain that may hold the record of a key.
func (set *liveSet) possibleHoldersIn(domain int, key uint64) []Address {
	var all []candidate
	for _, m := range set.members {
		if m.domain == domain {
			all = append(all, candidate{m, coordination.Rank(key, m.hash)})
		}
	}
	slices.SortFunc(all, compareRank)
	var out []Address
	staying := 0
	for _, c := range all[:min(len(all), maxAskedPerDomain)] {
		out = append(out, c.address)
		if c.leaving {
			continue
		}
		if staying++; staying == askedStaying {
			break
		}
	}
	return out
}

// rank returns the highest ranked daemons of each failure domain.
func (set *liveSet) rank(key uint64) []domainRanking {
	out := make([]domainRanking, len(set.domains))
	for i, name := range set.domains {
		out[i].name = name
	}
	for i := range set.members {
		m := &set.members[i]
		d, rank := &out[m.domain], coordination.Rank(key, m.hash)
		if d.best.address == "" || rank > d.best.rank {
			d.best = candidate{*m, rank}
		}
		if !m.leaving && (!d.hasStaying || rank > d.staying.rank) {
			d.staying, d.hasStaying = candidate{*m, rank}, true
		}
	}
	return out
}

// sortByRank sorts failure domains by the rank of one of their daemons, the highest first.
func sortByRank(domains []domainRanking, of func(*domainRanking) candidate) {
	slices.SortFunc(domains, func(a, b domainRanking) int { return compareRank(of(&a), of(&b)) })
}

// memberTimeout is how long no heartbeat of a member may be known before it is missed: five heartbeats of
// a small fleet. In a large fleet most members are heard of through others, much later.
const memberTimeout = time.Second

// isMissed reports whether no heartbeat of a member of a small fleet has been known for too long.
func (e *entry) isMissed(now time.Time) bool { return now.Sub(e.lastSeen) > memberTimeout }
