// This file chooses the daemons that hold the record of a key, for facts that are asked for rarely and
// that need not reach all daemons.
//
// Inputs: the key and the live members that are not shutting down, with their failure domains. The rule:
//
//  1. In each failure domain, one daemon is responsible for the key, by rendezvous hashing of its address.
//  2. The holders are the responsible daemons of the holderDomains failure domains that rank highest by
//     them, and the one of the own failure domain: if that is cut off from the others, the record of one
//     of its daemons is found by the others there.
//
// Daemons whose rosters are alike compute the same holders, but for the one of their own domain.

package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// holderDomains is how many failure domains hold a record. If 45% of all daemons are killed at once,
// one in eleven records is lost.
const holderDomains = 3

// holder is the daemon of a failure domain that is responsible for a key.
type holder struct {
	address Address
	domain  state.FailureDomain
	rank    uint64
}

// Holders returns the daemons that hold the record of a key, which may include this one.
func (r *Roster) Holders(key uint64, now time.Time) []Address {
	var out []Address
	for i, h := range r.rankResponsible(key, now) {
		if i < holderDomains || h.domain == r.self.Domain {
			out = append(out, h.address)
		}
	}
	return out
}

// Responsible returns the one daemon of the fleet that is responsible for a key.
func (r *Roster) Responsible(key uint64, now time.Time) Address {
	ranked := r.rankResponsible(key, now)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0].address
}

// rankResponsible returns the daemon of each failure domain that is responsible for a key, the highest
// ranked first.
func (r *Roster) rankResponsible(key uint64, now time.Time) []holder {
	responsible := make(map[state.FailureDomain]holder)
	consider := func(m *Member) {
		h := holder{address: m.Address, domain: m.Domain, rank: coordination.Rank(key, coordination.Hash(string(m.Address)))}
		if best, ok := responsible[m.Domain]; !m.Leaving && (!ok || h.rank > best.rank) {
			responsible[m.Domain] = h
		}
	}
	consider(&r.self)
	for _, e := range r.ordered {
		if r.isLive(e, now) {
			consider(&e.Member)
		}
	}
	return slices.SortedFunc(maps.Values(responsible), func(a, b holder) int { return cmp.Compare(b.rank, a.rank) })
}

// memberTimeout is how long no heartbeat of a member may be known before it is missed: five heartbeats of
// a small fleet. In a large fleet most members are heard of through others, much later.
const memberTimeout = time.Second

// isMissed reports whether no heartbeat of a member of a small fleet has been known for too long.
func (e *entry) isMissed(now time.Time) bool { return now.Sub(e.lastSeen) > memberTimeout }
