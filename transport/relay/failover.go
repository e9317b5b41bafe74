// This file sends a call to another replica while the one that has it is silent. A silent replica may be dead, or
// go on a moment later, and the other one may be missing, full, or silent too. So the call gives up the silent one
// only when another has taken the response over:
//
//  1. The exchange with the silent replica stays open, with its permit and its place in the load counts, while
//     the call looks for another replica and is sent there, by the rules for retries.
//  2. The first replica that has something for the caller goes on: the silent one as soon as any byte arrives from
//     it, the other one with its first complete event, or its complete response. The other exchange is closed.
//  3. Both have the call for maxOverlap at most: a replica must not go on with a stream while another one is at
//     work on it. coordination/routing/handover.go decides which of the two keeps it after that.
//  4. If no other replica takes the call, it goes back to waiting for the silent one, and tries again after the next
//     timeout, until its deadline.
//  5. If the other one goes on alone and then rejects the call, the call goes back to the silent one, which may have
//     room for it still: the route allows so many replicas, and the one that rejected the call does not work on it.
//     If the silent one may get no request, since it is not ready any more, wants none, or a coordinator chooses the
//     replicas of the service, a further one is chosen as for any other attempt.
//
// The replica that is tried meanwhile may turn silent in its turn, so that handovers nest.

package relay

import (
	"context"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// maxOverlap is how long two replicas may have a call. A replica that is not silent rejects at once what it can't take.
const maxOverlap = 250 * time.Millisecond

// attemptState is what an attempt holds while it is under way.
type attemptState struct {
	permit    PermitGranted // if hasPermit
	hasPermit bool
	sent      time.Time // when the request was sent; zero: it was not
	// uncount removes the attempt from the counts of requests in flight.
	uncount []func()
}

// onEnd has a function called that removes the attempt from a count of requests in flight.
func (a *attemptState) onEnd(f func()) { a.uncount = append(a.uncount, f) }

// endCounts removes the attempt from all counts. Further calls have no effect.
func (a *attemptState) endCounts() {
	for _, f := range a.uncount {
		f()
	}
	a.uncount = nil
}

// The states of a handover.
const (
	handoverOpen   int32 = iota
	handoverOff          // the silent replica keeps the call
	handoverToNext       // another replica took the response over
)

// handover decides whether a silent replica or another one goes on with a response. While it is open, nothing but
// its watch reads the silent exchange.
type handover struct {
	outer   *handover // which the silent exchange is to take over from; nil: none
	silent  *exchange
	attempt *attemptState // of the silent exchange
	state   atomic.Int32
	cancel  context.CancelFunc // gives up the other replica
	watched chan struct{}      // closed when the watch has ended
	// err is why the silent exchange can't be read any more, as the watch found; nil: it can. It is valid once watched
	// is closed.
	err error
}

// watch waits for the silent replica, and gives up the other one once anything arrives.
func (h *handover) watch() {
	defer close(h.watched)
	_, err := h.silent.conn.reader.Peek(1)
	switch {
	case err == nil:
		h.keepSilent()
	case !errors.Is(err, os.ErrDeadlineExceeded):
		h.err = err
	}
}

// keepSilent lets the silent replica keep the call, and gives up the other one, unless that has taken the response over.
func (h *handover) keepSilent() {
	if h.state.CompareAndSwap(handoverOpen, handoverOff) {
		h.cancel()
	}
}

// beginWatch begins to wait for the silent replica, until its deadline.
func (h *handover) beginWatch() {
	_ = h.silent.conn.SetReadDeadline(clock.RuntimeTime(h.silent.deadline)) // on failure, the read fails too
	go h.watch()
}

// endWatch ends the watch and waits for it.
func (h *handover) endWatch() {
	_ = h.silent.conn.SetReadDeadline(time.Unix(1, 0)) // on failure, the connection is closed
	<-h.watched
	_ = h.silent.conn.SetReadDeadline(clock.RuntimeTime(h.silent.deadline)) // on failure, the next read fails too
}

// failOver sends the call to another replica while that of an exchange is silent. It returns true if another one
// took the response over, in which case the call has ended, well or not. Otherwise it returns the error by which the
// silent exchange broke meanwhile, if it did.
func (s *activeCall) failOver(ctx context.Context, x *exchange) (takenOver bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &handover{outer: s.handover, silent: x, attempt: s.attemptState, cancel: cancel, watched: make(chan struct{})}
	incomplete := s.events.takePending()
	s.handover, s.attemptState = h, &attemptState{}
	s.tryWatched(ctx, h)
	s.handover, s.attemptState = h.outer, h.attempt
	if h.state.Load() == handoverToNext {
		s.held.release(cap(incomplete))
		return true, nil
	}
	s.events.restorePending(incomplete)
	if x.conn.reader.Buffered() > 0 {
		x.recordArrival()
	}
	return false, h.err
}

// tryWatched sends the call to other replicas, and watches the silent one meanwhile. The watch ends after a panic
// too, since the exchange with the silent one is closed then.
func (s *activeCall) tryWatched(ctx context.Context, h *handover) {
	h.beginWatch()
	defer h.endWatch()
	s.tryReplicas(ctx)
}

// takeOver closes the exchanges with silent replicas, since another one goes on. It returns false if one of them
// went on before.
func (s *activeCall) takeOver() bool {
	for h := s.handover; h != nil; h = h.outer {
		if !h.state.CompareAndSwap(handoverOpen, handoverToNext) {
			return false
		}
		h.silent.abandonedAt = clock.Now()
		h.silent.closeConn()
		s.endAttempt(h.attempt)
	}
	s.handover = nil
	return true
}

// endAttempt ends the permit and the counts of an attempt other than the current one.
func (s *activeCall) endAttempt(a *attemptState) {
	current := s.attemptState
	s.attemptState = a
	s.releasePermit(admission.Abandoned)
	s.endCounts()
	s.attemptState = current
}

// endAttempts ends the permits and counts of all attempts.
func (s *activeCall) endAttempts() {
	s.endAttempt(s.attemptState)
	for h := s.handover; h != nil; h = h.outer {
		s.endAttempt(h.attempt)
	}
}

// await waits for bytes of a response. If none arrive in time, the replica's silence is recorded, and another
// replica may take the response over.
func (s *activeCall) await(ctx context.Context, x *exchange, r *routing.Replica, timeout func() (wait time.Duration, failover bool)) *failure {
	isRecorded := false
	for {
		wait, canRetry := timeout()
		until := clock.Now().Add(wait)
		overlaps := s.handover != nil && x.sent.Add(maxOverlap).Before(until)
		if overlaps {
			until = x.sent.Add(maxOverlap)
		}
		arrived, err := x.awaitBytes(until)
		switch {
		case errors.Is(err, io.EOF) && x.response != nil:
			return nil // a response without a length ends with the connection; the next read returns EOF
		case err != nil:
			return x.brokenResponse(ctx, err)
		case arrived:
			return nil
		case !clock.Now().Before(x.deadline):
			return x.deadlineExpired()
		case overlaps:
			if f := s.endOverlap(x); f != nil {
				return f
			}
			continue
		}
		if !isRecorded {
			s.recordSilence(x, r, canRetry)
			isRecorded = true
		}
		if !canRetry {
			continue
		}
		takenOver, err := s.failOver(ctx, x)
		switch {
		case takenOver:
			return x.takenOver()
		case errors.Is(err, io.EOF) && x.response != nil:
			return nil
		case err != nil:
			return x.brokenResponse(ctx, err)
		}
	}
}

// endOverlap ends the time in which both an exchange and the silent one before it have the call. It returns nil if
// the exchange keeps the call.
func (s *activeCall) endOverlap(x *exchange) *failure {
	silent, activity := s.handover.silent.replica, &s.Pool.activity
	h := routing.Handover{
		ResponseStarted: s.attempts.ResponseStarted, Sent: x.sent, SecondResponded: x.hasResponse(),
		FirstHeardAt: activity.heardFrom(silent.Incarnation()), SecondHeardAt: activity.heardFrom(x.replica.Incarnation()),
	}
	if !h.SecondKeepsCall() {
		s.handover.keepSilent()
		return givenUp(errSilentToo)
	}
	if !s.takeOver() {
		return givenUp(errOvertaken)
	}
	s.abandoned = silent
	s.attempts.RecordAbandoned()
	return nil
}

// planReturn decides, after a failed attempt, whether the call returns to the replica that it abandoned, since the one
// that took it over has rejected it. If so, the latter no longer counts towards the route's replicas.
func (s *activeCall) planReturn(f *failure) bool {
	return s.abandoned != nil && errors.Is(f.err, errRejected) && s.attempts.ExcludeLast()
}

// takeAbandoned returns the abandoned replica if the next attempt is to be there. It returns nil if the call does not go
// back, or the replica may get no request.
func (s *activeCall) takeAbandoned() *routing.Replica {
	if !s.goesBack {
		return nil
	}
	r := s.abandoned
	s.goesBack, s.abandoned = false, nil
	isCoordinated := s.Permits != nil && s.Permits.Needed(s.call.Service)
	if isCoordinated || !s.View().IsReady(r) || s.Placer.IsIneligible(r, clock.Now()) {
		return nil
	}
	return r
}

// chooseAbandoned returns the abandoned replica as the target of the next attempt. It returns false if there is no
// retry or no permit for it.
func (s *activeCall) chooseAbandoned(ctx context.Context, r *routing.Replica) (routing.Target, bool) {
	t := routing.Target{Replica: *r}
	if !s.reserveSend(ctx) {
		return routing.Target{}, false
	}
	if s.Permits != nil && s.Permits.NeededAtReplica(s.call.Service) {
		return s.usePermit(ctx, t, s.acquireAt(ctx, &t.Replica, true))
	}
	return t, true
}

// recordSilence records that a replica is silent while the call goes on waiting for it.
func (s *activeCall) recordSilence(x *exchange, r *routing.Replica, canRetry bool) {
	if s.isOwnLink(x.conn) && !x.received {
		s.Pool.reach.Silent(r, s.replicas(r), x.sent, clock.Now())
	}
	if s.blamesOwnLink(x.conn) {
		return
	}
	s.recordFailure(r, routing.ResultSilent, errSilent)
	if !canRetry {
		s.Placer.Health.ReportSilence(r, clock.Now())
	}
}

// givenUp returns the failure for a response that is not forwarded, since an earlier replica keeps the call.
func givenUp(why error) *failure {
	return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: why}
}
