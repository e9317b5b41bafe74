// This file determines whether all daemons hold documents that are at least as new as a position.
//
// Inputs: the positions that members tell in heartbeats of their own. The rule:
//
//  1. What counts of a member is the newest position that its current incarnation told. A member that started again
//     under its address has told nothing yet, and neither has one that is only known through others.
//  2. All members of the roster count, also those that shut down or are not heard any more, until they are forgotten:
//     a member that is not heard may serve callers beyond a cut.
//  3. The answer is no while daemons are missing from the roster: a seed, or some of the number that others reported.
//  4. In a large fleet the answer is no: most members are heard through others, which tell no positions.

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

// AllHold reports whether all daemons of a small fleet are known to hold documents at a position or a newer one.
func (r *Roster) AllHold(at feed.Position) bool {
	if r.isLarge() || r.lacksSeed() || r.lacksReported() {
		return false
	}
	return !slices.ContainsFunc(r.ordered, func(e *entry) bool { return e.told.by != e.Incarnation || e.told.at.Before(at) })
}

// lacksSeed reports whether another seed was never heard of.
func (r *Roster) lacksSeed() bool {
	return slices.ContainsFunc(r.seeds, func(a Address) bool { return a != r.self.Address && r.members[a] == nil })
}

// lacksReported reports whether others reported more daemons than are in the roster.
func (r *Roster) lacksReported() bool { return int(math.Ceil(r.reportedSize)) > 1+len(r.ordered) }
