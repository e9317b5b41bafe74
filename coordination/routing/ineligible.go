// This file combines the rules by which a replica is ineligible, that is, gets no request even if
// no other replica is left (versions.go has another one, for streams that have begun): it requested a backoff from this daemon (backoffs.go), or it
// announced that it is leaving (departures.go). Both come from the replica itself, because a rule
// that can lead to a refused request must not be based on an inference. That a replica has
// terminated (terminated.go) or fails (eject.go) is inferred by daemons, and is ignored if no
// other replica is left.
//
// The rules are applied on each choice, and again right before the first byte of a request is
// written, because opening a connection may take a while.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// replicaSet is a set of ready replicas of a pool, indexed by their positions in Pool.Ready. It
// is usually empty and then nil, so that a choice costs no allocation.
type replicaSet []bool

// has reports whether the set contains the replica at position i.
func (s replicaSet) has(i int) bool { return len(s) > 0 && s[i] }

// with returns the set with the replica at position i added; n is the size of the pool.
func (s replicaSet) with(i, n int) replicaSet {
	if s == nil {
		s = make(replicaSet, n)
	}
	s[i] = true
	return s
}

// ineligible returns the ready replicas of a pool that must not get any request.
func (p *Placer) ineligible(pool *Pool, now time.Time) replicaSet {
	excluded := p.Departures.leavingReady(pool)
	if !p.Backoffs.Known() {
		return excluded
	}
	for i := range pool.Ready {
		if p.Backoffs.Remaining(&pool.Ready[i], now) > 0 {
			excluded = excluded.with(i, len(pool.Ready))
		}
	}
	return excluded
}

// IsIneligible reports whether a replica must not get any request.
func (p *Placer) IsIneligible(r *Replica, now time.Time) bool {
	return p.Backoffs.Remaining(r, now) > 0 || p.Departures.IsLeaving(r)
}

// NoReplicaReason returns the reason why no replica can be chosen for a request, and the time
// after which its caller should retry.
func (p *Placer) NoReplicaReason(v *View, r *Request, tried Tried, now time.Time) coordination.NotRun {
	pool := v.Pool(r.Service)
	retryAfter, backingOff := p.Backoffs.retryAfter(pool, r.ID, now)
	switch {
	case pool.lacksVersion(tried.Version, v.HasSeveralVersions(r.Service)):
		return noVersion
	case len(pool.Ready) == 0 && len(pool.Evacuated) > 0:
		return coordination.NotRun{Reason: coordination.ReasonEvacuated, RetryAfter: retryAfterEvacuated}
	case backingOff:
		return coordination.NotRun{Reason: coordination.ReasonBackingOff, RetryAfter: retryAfter}
	case pool.allCold(now):
		return coordination.NotRun{Reason: coordination.ReasonCold, RetryAfter: retryAfterCold}
	}
	return noUpstream
}
