// This file acquires permits for streams that have not begun while a version of their service is new
// (coordination/routing/establishment.go). The coordinator does not know which requests are streams. Inputs: the replicas of new
// versions, and the coordinator's replies. The rule:
//
//  1. The ask names the replicas of new versions as tried, before those that were tried: if not all fit into
//     a message, these do. A permit for a new one that the coordinator was not told of is given back, as one for
//     a replica that may not be used.
//  2. If the coordinator refuses, or has no place within establishedWait, the request asks again without them, and then
//     takes any replica: it is not refused for what may come of its stream.

package relay

import (
	"context"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// establishedWait is how long a stream waits for a place at an established replica while a new one may have one. It is a
// few round trips between failure domains.
const establishedWait = 100 * time.Millisecond

// acquire acquires a permit for an attempt. fresh are the replicas of new versions; if there is no place at another one, it sets
// the call to accept them.
func (s *activeCall) acquire(ctx context.Context, fresh, tried []routing.LoadKey) Permit {
	if len(fresh) == 0 || s.tried.AcceptsNew {
		return s.Permits.Acquire(ctx, s.call, tried)
	}
	wait, cancel := context.WithTimeout(ctx, establishedWait)
	defer cancel()
	p := s.Permits.Acquire(wait, s.call, slices.Concat(fresh, tried))
	switch p.(type) {
	case PermitRefused, PermitExpired:
	default:
		return p
	}
	if ctx.Err() != nil || !s.attempts.InTime(s.call.Deadline, clock.Now()) {
		return p
	}
	s.tried.AcceptsNew = true
	return s.Permits.Acquire(ctx, s.call, tried)
}

// newReplicas returns the replicas of new versions at which the call's stream is not to begin.
func (s *activeCall) newReplicas() []routing.LoadKey {
	return s.Placer.NewReplicas(s.View(), &s.call.Request, s.tried.Tried, clock.Now())
}
