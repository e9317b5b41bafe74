// This file acquires permits at single replicas, for attempts at replicas of services that are brittle and that
// no coordinator chooses the replicas of (coordination/admission/replica_pool.go).

package relay

import (
	"context"
	"slices"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// maxFullReplicas is the number of replicas at which a call looks for a free place before it waits for one. At
// a service that is busy for nine tenths of its time, more than half of the replicas of two slots are full.
const maxFullReplicas = 4

// chooseAtReplica returns the target of the next attempt at a replica of a brittle service, and holds a permit
// for it unless none is needed any more. It returns false if there is no target; the outcome then says why.
//
// The call takes the first replica with a free place in the order in which they are chosen without
// permits. If the first maxFullReplicas are full, or all, it waits at the first one, which may hold its prompt.
func (s *activeCall) chooseAtReplica(ctx context.Context) (routing.Target, bool) {
	if !s.reserveSend(ctx) {
		return routing.Target{}, false
	}
	var first routing.Target
	full := s.tried.Tried
	for range maxFullReplicas {
		now, view := clock.Now(), s.View()
		s.summary.Position = view.Position
		t, ok := s.Placer.Choose(view, &s.call.Request, full, now)
		if !ok {
			if first.Replica.ID == "" {
				s.attempts.RecordNoReplica(s.Placer.NoReplicaReason(view, &s.call.Request, full, now))
				return routing.Target{}, false
			}
			break
		}
		if first.Replica.ID == "" {
			first = t
		}
		p := s.acquireAt(ctx, &t.Replica, false)
		if _, isFull := p.(PermitFull); !isFull {
			return s.usePermit(ctx, t, p)
		}
		full.Replicas = append(slices.Clip(full.Replicas), t.Replica.ID)
	}
	return s.usePermit(ctx, first, s.acquireAt(ctx, &first.Replica, true))
}

// acquireAt acquires a permit at a replica, and adds the wait to the summary.
func (s *activeCall) acquireAt(ctx context.Context, r *routing.Replica, mayWait bool) Permit {
	asked := clock.Now()
	p := s.Permits.AcquireAt(ctx, s.call, r, mayWait)
	s.summary.PermitWait += clock.Since(asked)
	return p
}

// usePermit returns a target if the permit allows an attempt there, and holds the permit. Otherwise the outcome
// says why there is no attempt.
func (s *activeCall) usePermit(ctx context.Context, t routing.Target, p Permit) (routing.Target, bool) {
	now := clock.Now()
	switch p := p.(type) {
	case PermitDirect:
		return t, true
	case PermitGranted:
		if s.isGivenUp(ctx, p, now) {
			return routing.Target{}, false
		}
		s.permit, s.hasPermit = p, true
		return t, true
	case PermitRefused:
		s.attempts.RecordFull(p.RetryAfter)
	case PermitFull:
		s.attempts.RecordFull(routing.RetryAfter)
	case PermitExpired:
		s.attempts.InTime(s.call.Deadline, now)
	}
	return routing.Target{}, false
}
