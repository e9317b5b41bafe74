// This file chooses the upstream of a request. It is apart from the rest
// because it runs for every request, on a snapshot, without allocation.

package fleet

import (
	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Choose returns the upstream for a chat: of the candidates whose admission
// lets the chat in, the one that ranks highest. If none does, the candidate with
// the highest admission is taken, because an overloaded answer is worth more than
// none. avoid holds candidates that
// have just refused. The result is false only if every candidate is avoided.
//
// The admission is tested by a hash of chat and candidate and not by chance, so that
// the same chats overflow in every daemon, and to the same second choice. When
// an admission moves by a tenth, a tenth of that candidate's chats move and no
// other.
func Choose(p *state.Pool, key state.ChatKey, avoid []state.UpstreamID) (*state.Candidate, bool) {
	var best, widest *state.Candidate
	var bestScore uint64
	for i := range p.Candidates {
		c := &p.Candidates[i]
		if avoided(avoid, c.ID) {
			continue
		}
		if widest == nil || c.Admission > widest.Admission {
			widest = c
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
		best = widest
	}
	return best, best != nil
}

// isAdmitted draws from the score by a second mix: the score's
// own bits are large for a chat's home and would not be a fair draw.
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

// rankFirst returns the member with the highest score for a key, or nil.
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

// hasDuty reports whether self is the daemon that ranks first among members
// for a duty. Two daemons whose lists differ may both hold one; every duty is
// designed so that this does no harm.
func hasDuty(members []state.Member, self state.DaemonID, duty string) bool {
	m := rankFirst(members, coordination.Hash(duty))
	return m != nil && m.ID == string(self)
}
