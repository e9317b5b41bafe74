// This file acquires permits for attempts at replicas of saturated services
// (coordination/admission), and reports evidence that a service is saturated.

package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Permits grants permits for attempts at replicas of saturated services.
type Permits interface {
	// Needed reports whether attempts at replicas of a service need a permit. It costs one atomic
	// read while no service is saturated.
	Needed(s routing.ServiceName) bool
	// NeededAtReplica reports whether attempts at replicas of a service need a permit at the replica that
	// this daemon chooses. It costs one atomic read while no service is brittle.
	NeededAtReplica(s routing.ServiceName) bool
	// AcquireAt is Acquire for one replica. If the call is not to wait there, it returns [PermitFull] as soon
	// as it is known that no place is free.
	AcquireAt(ctx context.Context, c *Call, r *routing.Replica, mayWait bool) Permit
	// Acquire waits for a permit for an attempt of a call. tried are the replicas that the call was
	// sent to before. It returns [PermitExpired] as soon as ctx is done or the call's deadline
	// leaves no time for an attempt.
	Acquire(ctx context.Context, c *Call, tried []routing.LoadKey) Permit
	// Release ends a permit, once for each one granted. took is the time between sending the request
	// and the end of the response; 0 if the request was not sent.
	Release(p PermitGranted, took time.Duration, result admission.Result)
	// ReportSaturated reports evidence that a service is saturated.
	ReportSaturated(s routing.ServiceName)
}

// Permit is the result of [Permits.Acquire] and [Permits.AcquireAt]: [PermitDirect], [PermitGranted],
// [PermitRefused], [PermitFull] or [PermitExpired].
type Permit interface{ isPermit() }

type (
	// PermitDirect means that the attempt needs no permit.
	PermitDirect struct{}
	// PermitGranted permits an attempt at one replica.
	PermitGranted struct {
		Service routing.ServiceName
		ID      admission.PermitID
		Replica routing.LoadKey
		// AtReplica says that it was acquired for this one replica.
		AtReplica bool
	}
	// PermitRefused means that the request is not to be sent.
	PermitRefused struct{ RetryAfter time.Duration }
	// PermitFull means that no place is free at the one replica.
	PermitFull struct{}
	// PermitExpired means that the wait ended without a decision.
	PermitExpired struct{}
)

func (PermitDirect) isPermit()  {}
func (PermitGranted) isPermit() {}
func (PermitRefused) isPermit() {}
func (PermitFull) isPermit()    {}
func (PermitExpired) isPermit() {}

var (
	_ Permit = PermitDirect{}
	_ Permit = PermitGranted{}
	_ Permit = PermitRefused{}
	_ Permit = PermitFull{}
	_ Permit = PermitExpired{}
)

// maxAsks is how often a permit is acquired for one attempt. If none of the granted replicas may be
// used, the coordinator's view is outdated, and this daemon chooses the replica. Of three replicas
// in three failure domains, two may not be used while their domains are cut off from this daemon.
const maxAsks = 3

// chooseWithPermit returns the target of the next attempt at a replica of a saturated service, and
// holds a permit for it unless none is needed any more. It returns false if there is no target; the
// outcome then says why. A retry is reserved before the wait, which would be of no use without it.
func (s *activeCall) chooseWithPermit(ctx context.Context) (routing.Target, bool) {
	if !s.reserveSend(ctx) {
		return routing.Target{}, false
	}
	fresh, tried := s.newReplicas(), s.tried.keys()
	defer func() { s.tried.AcceptsNew = false }() // the next attempt asks again
	for range maxAsks {
		asked := clock.Now()
		p := s.acquire(ctx, fresh, tried)
		now := clock.Now()
		s.summary.PermitWait += now.Sub(asked)
		switch p := p.(type) {
		case PermitGranted:
			if s.isGivenUp(ctx, p, now) {
				return routing.Target{}, false
			}
			view := s.View()
			s.summary.Position = view.Position
			if t, ok := s.Placer.ChooseGranted(view, &s.call.Request, p.Replica, s.tried.Tried, now); ok {
				s.permit, s.hasPermit = p, true
				return t, true
			}
			s.Permits.Release(p, 0, admission.Abandoned)
			tried = append(slices.Clip(tried), p.Replica) // the next permit is for another one
		case PermitRefused:
			s.attempts.RecordFull(p.RetryAfter)
			return routing.Target{}, false
		case PermitExpired:
			s.attempts.InTime(s.call.Deadline, now)
			return routing.Target{}, false
		case PermitDirect, PermitFull:
			return s.chooseDirect(ctx)
		}
	}
	return s.chooseDirect(ctx)
}

// isGivenUp reports whether the call is not to be sent any more, and gives the permit back if so.
func (s *activeCall) isGivenUp(ctx context.Context, p PermitGranted, now time.Time) bool {
	if ctx.Err() == nil && s.attempts.InTime(s.call.Deadline, now) && !s.isQuarantined(now) {
		return false
	}
	s.Permits.Release(p, 0, admission.Abandoned)
	return true
}

// releasePermit ends the permit of the current attempt, if there is one that has not ended.
func (s *activeCall) releasePermit(result admission.Result) {
	if !s.hasPermit {
		return
	}
	s.hasPermit = false
	took := time.Duration(0)
	if !s.sent.IsZero() {
		took = clock.Since(s.sent)
	}
	s.Permits.Release(s.permit, took, result)
}

// releaseFailed ends the permit of an attempt that failed. A replica that has not begun its response
// in time may only have a request that takes long: if it is gone, connections to it fail too. A failed
// write to the caller says nothing about the replica.
func (s *activeCall) releaseFailed(ctx context.Context, f *failure) {
	switch {
	case ctx.Err() != nil, s.sent.IsZero() && !f.countsAgainst,
		errors.Is(f.err, errSilent), errors.Is(f.err, errCallerWrite):
		s.releasePermit(admission.Abandoned)
	case errors.Is(f.err, errRejected) && !f.replaced:
		s.releasePermit(admission.Rejected)
	default:
		s.releasePermit(admission.Failed)
	}
}

// reportRejection reports that the service is saturated if a replica rejected the request as full.
func (s *activeCall) reportRejection(f *failure) {
	if s.Permits != nil && f.countsAgainst && errors.Is(f.err, errRejected) {
		s.Permits.ReportSaturated(s.call.Service)
	}
}

// reportFull reports that the service is saturated if no replica had a free place when the target of a first
// attempt was chosen.
func (s *activeCall) reportFull(t *routing.Target) {
	if s.Permits != nil && len(s.tried.Replicas) == 0 && admission.IsFull(t) {
		s.Permits.ReportSaturated(s.call.Service)
	}
}

// reportSlowResponse reports that the service is saturated if a response was slow to begin.
func (s *activeCall) reportSlowResponse(sent time.Time) {
	if s.Permits != nil && admission.IsSlow(clock.Since(sent), s.call.Route.FirstByteTarget) {
		s.Permits.ReportSaturated(s.call.Service)
	}
}

// triedReplicas describes the earlier attempts of a call.
type triedReplicas struct {
	routing.Tried
	loadKeys [routing.MaxChoices + routing.MaxUnreached]routing.LoadKey
}

func (t *triedReplicas) add(r *routing.Replica) {
	if n := len(t.Replicas); n < len(t.loadKeys) {
		t.loadKeys[n] = r.LoadKey()
	}
	t.Replicas = append(t.Replicas, r.ID)
}

// keys returns the keys of the replicas.
func (t *triedReplicas) keys() []routing.LoadKey { return t.loadKeys[:len(t.Replicas)] }
