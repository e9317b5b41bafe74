// This file determines whether all daemons hold a document that this daemon holds since a position.
//
// Inputs: the positions that members tell in heartbeats of their own, the position with which the document came, and that of
// the own documents, which have it still. The rule:
//
//  1. What counts of a member is the newest position that its current incarnation told. A member that started again
//     under its address has told nothing yet, and neither has one that is only known through others.
//  2. All members of the roster count, also those that shut down or are not heard any more, until they are forgotten:
//     a member that is not heard may serve callers beyond a cut. By then it reads the store itself, or has no lease
//     (confirmations.go, rule 5).
//  3. The answer is no while daemons are missing from the roster: a seed, or some of the number that others reported.
//  4. In a large fleet the answer is no: most members are heard through others, which tell no positions.
//  5. A position of another era of the store does not count: the copy from which the store was restored may lack the document.
//  6. A position beyond that of the own documents does not count, unless it is the one with which the document came: it may be
//     gone by then, so that a member that was away has never had it.

package membership

import (
	"math"
	"slices"

	"hingewinch.org/hingewinch/state/feed"
)

// toldPosition is the newest position that one incarnation of a member told.
type toldPosition struct {
	by Incarnation
	at feed.Position
}

// ObservePosition records the position of a member's documents, which the member told in its own heartbeat.
func (r *Roster) ObservePosition(m Member, at feed.Position) {
	e := r.members[m.Address]
	switch {
	case e == nil || m.Incarnation != e.Incarnation:
		return
	case e.told.by != m.Incarnation:
		e.told = toldPosition{by: m.Incarnation, at: at}
	case e.told.at.Before(at):
		e.told.at = at
	}
}

// AllHold reports whether all daemons of a small fleet are known to hold a document that came with a position. own is the position of
// the own documents, which have it still.
func (r *Roster) AllHold(at, own feed.Position) bool {
	if r.isLarge() || r.lacksSeed() || r.lacksReported() {
		return false
	}
	return !slices.ContainsFunc(r.ordered, func(e *entry) bool { return e.told.by != e.Incarnation || !e.told.holds(at, own) })
}

// holds reports whether a member that told the position holds a document, by rules 5 and 6.
func (t toldPosition) holds(at, own feed.Position) bool {
	return t.at == at || at.Era == own.Era && !t.at.Before(at) && !own.Before(t.at)
}

// lacksSeed reports whether another seed was never heard of.
func (r *Roster) lacksSeed() bool {
	return slices.ContainsFunc(r.seeds, func(a Address) bool { return a != r.self.Address && r.members[a] == nil })
}

// lacksReported reports whether others reported more daemons than are in the roster.
func (r *Roster) lacksReported() bool { return int(math.Ceil(r.reportedSize)) > 1+len(r.ordered) }
