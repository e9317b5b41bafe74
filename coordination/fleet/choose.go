// This file chooses the upstream of a request. The choice runs for every request, on
// a snapshot and without allocation.

package fleet

import (
	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Choose returns the upstream for a chat: the highest-ranked candidate whose admission
// accepts the chat. If there is none, it returns the candidate with the highest
// admission, because a response from an overloaded engine is better than none.
// avoid lists candidates that have just refused. The result is false only if every
// candidate is in avoid.
//
// The admission is tested with a hash of chat and candidate rather than at random, so
// that the same chats overflow in every daemon, and to the same second choice. When
// an admission changes by a tenth, only a tenth of that candidate's chats move.
func Choose(p *state.Pool, key state.ChatKey, avoid []state.UpstreamID) (*state.Candidate, bool) {
	var best, fallback *state.Candidate
	var bestScore uint64
	for i := range p.Candidates {
		c := &p.Candidates[i]
		if avoided(avoid, c.ID) {
			continue
		}
		if fallback == nil || c.Admission > fallback.Admission {
			fallback = c
		}
		s := coordination.Rank(uint64(key), c.Hash)
		if best != nil && s <= bestScore {
			continue
		}
		if isAdmitted(s, c.Admission) {
			best, bestScore = c, s
		}
	}
	if best == nil {
		best = fallback
	}
	return best, best != nil
}

// isAdmitted compares the admission with a second hash of the score. The score's own
// bits are not uniform: they are large for the candidate that ranks first.
func isAdmitted(score uint64, g state.Admission) bool {
	return g == state.AdmitAll || state.Admission(coordination.Scramble(score)>>48) < g
}

func avoided(avoid []state.UpstreamID, id state.UpstreamID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

// rankFirst returns the member with the highest rank for a key, or nil.
func rankFirst(members []state.Member, key uint64) *state.Member {
	var best *state.Member
	var bestScore uint64
	for i := range members {
		s := coordination.Rank(key, coordination.Hash(members[i].ID))
		if best == nil || s > bestScore {
			best, bestScore = &members[i], s
		}
	}
	return best
}

// hasDuty reports whether self ranks first among members for a duty. Two daemons with
// different member lists may both hold a duty; every duty tolerates that.
func hasDuty(members []state.Member, self state.DaemonID, duty string) bool {
	m := rankFirst(members, coordination.Hash(duty))
	return m != nil && m.ID == string(self)
}
