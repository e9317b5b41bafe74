// This file joins the rules by which a replica gets nothing, whatever else is left: it asked this
// daemon for rest (resting.go), or it said that it leaves (leaving.go). Both are its own word: what
// may end in a refusal must be certain. That it has ended (ended.go) or fails (eject.go) is what
// others conclude, and yields where nothing else is left.
//
// They hold for each choice, and once more right before the first byte of a request is written:
// a connection may take a while to come up.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// replicaSet is a set of the ready replicas of a pool, by their place there. Mostly it is empty, and
// nil, which costs a choice nothing.
type replicaSet []bool

// has reports whether the replica at a place is in the set.
func (s replicaSet) has(i int) bool { return len(s) > 0 && s[i] }

// with returns the set with a replica added to it, of a pool of n.
func (s replicaSet) with(i, n int) replicaSet {
	if s == nil {
		s = make(replicaSet, n)
	}
	s[i] = true
	return s
}

// barred returns which ready replicas of a pool get nothing.
func (p *Placer) barred(pool *Pool, now time.Time) replicaSet {
	barred := p.Leavings.among(pool)
	if !p.Rests.Known() {
		return barred
	}
	for i := range pool.Ready {
		if p.Rests.Left(&pool.Ready[i], now) > 0 {
			barred = barred.with(i, len(pool.Ready))
		}
	}
	return barred
}

// Bars reports whether a replica gets nothing.
func (p *Placer) Bars(r *Replica, now time.Time) bool {
	return p.Rests.Left(r, now) > 0 || p.Leavings.Leaves(r)
}

// WhyNone says why a request found no replica that may be chosen, and when its caller should
// come back.
func (p *Placer) WhyNone(v *View, r *Request, now time.Time) coordination.NotRun {
	pool := v.Pool(r.Service)
	back, rests := p.Rests.backIn(pool, r.ID, now)
	switch {
	case len(pool.Ready) == 0 && len(pool.Evacuated) > 0:
		return coordination.NotRun{Reason: coordination.ReasonEvacuated, RetryAfter: retryAfterEvacuated}
	case rests:
		return coordination.NotRun{Reason: coordination.ReasonResting, RetryAfter: back}
	case pool.allCold(now):
		return coordination.NotRun{Reason: coordination.ReasonCold, RetryAfter: retryAfterCold}
	}
	return noUpstream
}
