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
//     An error response of the other one does not take the call over: it is forwarded if the silent one does not respond.
//  5. If the other one goes on alone and then rejects the call, the call goes back to the silent one, which may have
//     room for it still: the route allows so many replicas, and the one that rejected the call does not work on it. If the
//     connection to the other one breaks inside a stream, and the route allows no further replica, the stream goes back too. If the
//     other one is silent too, and has sent nothing of a stream that has begun, the call is sent to the first one again, by
//     rules 1 and 2. The other one keeps it by rule 3, so that one that is merely slow is not closed.
//     If the silent one may get no request, since it is not ready any more, wants none, or a coordinator chooses the
//     replicas of the service, a further one is chosen as for any other attempt.
//
// The replica that is tried meanwhile may turn silent in its turn, so that handovers nest.

package relay

import (
	"context"
	"errors"
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
	into    []byte             // for bytes of the silent replica
	watched chan struct{}      // closed when the watch has ended
	returns bool               // the call goes back to a replica that had it before the silent one
	// read is how many bytes the watch has read, and err why the silent exchange can't be read any more; nil: it can.
	// Both are valid once watched is closed.
	read int
	err  error
}

// watch waits for the silent replica, and gives up the other one once anything arrives.
func (h *handover) watch() {
	defer close(h.watched)
	n, err := h.silent.conn.Read(h.into)
	if n > 0 {
		h.read = n
		h.keepSilent()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
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
}

// failOver sends the call to another replica while that of an exchange is silent. It returns true if another one
// took the response over, in which case the call has ended, well or not. Otherwise it returns what has been read into p
// from the silent exchange meanwhile, and the error by which that broke, if it did.
func (s *activeCall) failOver(ctx context.Context, x *exchange, p []byte) (takenOver bool, n int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &handover{outer: s.handover, silent: x, attempt: s.attemptState, cancel: cancel, into: p, watched: make(chan struct{}), returns: s.goesBack}
	incomplete := s.events.takePending()
	s.handover, s.attemptState = h, &attemptState{}
	s.tryWatched(ctx, h)
	s.handover, s.attemptState = h.outer, h.attempt
	if h.state.Load() == handoverToNext {
		s.held.release(cap(incomplete))
		return true, 0, nil
	}
	s.events.restorePending(incomplete)
	if h.read > 0 {
		x.recordArrival()
	}
	return false, h.read, h.err
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
	last := s.handover
	for h := last; h != nil; h = h.outer {
		if !h.state.CompareAndSwap(handoverOpen, handoverToNext) {
			return false
		}
		h.silent.abandonedAt = clock.Now()
		h.silent.closeConn()
		s.endAttempt(h.attempt)
	}
	if last != nil {
		s.handover, s.abandoned = nil, last.silent.replica
	}
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

// responseSource is the source of a connection's reader while a response is read. It bounds each wait for bytes,
// wherever in a message the replica stops.
type responseSource struct {
	s   *activeCall
	ctx context.Context // of the attempt
	*exchange
}

// Read implements [io.Reader]. Once it has failed, it does so again: a parser may drop an error and read on.
func (r *responseSource) Read(p []byte) (int, error) {
	if r.readErr != nil {
		return 0, r.readErr
	}
	n, err := r.s.read(r.ctx, r.exchange, p)
	r.readErr = err
	return n, err
}

// responseTimeout returns how long to wait for the next bytes of a response, and whether the request may then go to
// another replica.
func (s *activeCall) responseTimeout(x *exchange) (wait time.Duration, failover bool) {
	switch {
	case x.awaitsEvents:
		return s.attempts.EventTimeout()
	case x.hasResponse():
		return s.attempts.BodyTimeout()
	}
	return s.attempts.FirstByteTimeout()
}

// read reads bytes of a response. If none arrive in time, the replica's silence is recorded, and another replica may
// take the response over.
func (s *activeCall) read(ctx context.Context, x *exchange, p []byte) (int, error) {
	isRecorded := false
	for {
		if x.received && s.isOverlapOver(x) {
			if f := s.endOverlap(x); f != nil {
				return 0, x.endReading(f)
			}
		}
		wait, canRetry := s.responseTimeout(x)
		until := clock.Now().Add(wait)
		overlaps := s.handover != nil && x.overlapEnd().Before(until)
		if overlaps {
			until = x.overlapEnd()
		}
		n, err := x.readUntil(p, until)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case !clock.Now().Before(x.deadline):
			return 0, x.endAtDeadline()
		case overlaps:
			if f := s.endOverlap(x); f != nil {
				return 0, x.endReading(f)
			}
			continue
		}
		if !isRecorded {
			s.recordSilence(x, canRetry)
			isRecorded = true
		}
		if !canRetry && !s.planReturnFrom(x) {
			continue
		}
		takenOver, n, err := s.failOver(ctx, x, p)
		s.attempts.EndReturn()
		x.deadline = s.responseDeadline()
		switch {
		case takenOver:
			return 0, x.endReading(x.takenOver())
		case n > 0 || err != nil:
			return n, err
		}
	}
}

// overlapEnd returns until when an exchange and a silent one before it may both have the call.
func (x *exchange) overlapEnd() time.Time { return x.sent.Add(maxOverlap) }

// isOverlapOver reports whether an exchange has had the call for as long as it may beside a silent one.
func (s *activeCall) isOverlapOver(x *exchange) bool {
	return s.handover != nil && !clock.Now().Before(x.overlapEnd())
}

// endAtDeadline ends reading since the deadline has passed, and returns the error. A response that has begun and is not
// a stream is broken; in a stream a pause says less.
func (x *exchange) endAtDeadline() error {
	if x.received && !x.awaitsEvents {
		return os.ErrDeadlineExceeded
	}
	return x.endReading(x.deadlineExpired())
}

// endOverlap ends the time in which both an exchange and the silent one before it have the call. It returns nil if
// the exchange keeps the call.
func (s *activeCall) endOverlap(x *exchange) *failure {
	h := routing.Handover{
		ResponseStarted: s.attempts.ResponseStarted, Sent: x.sent, SecondResponded: x.hasResponse(),
		Second: s.Pool.activity.of(x.replica.Incarnation()),
	}
	if s.handover.returns || !h.SecondKeepsCall() {
		s.handover.keepSilent()
		return givenUp(errSilentToo)
	}
	if !s.takeOver() {
		return givenUp(errOvertaken)
	}
	s.attempts.RecordAbandoned()
	return nil
}

// planReturn decides, after a failed attempt, whether the call returns to the replica that it abandoned: the one that took it
// over has rejected it, and no longer counts towards the route's replicas, or its connection broke. While another replica
// still has the call, it stays there. After a crash it never returns, since the abandoned one may have fallen silent on
// the same request.
func (s *activeCall) planReturn(f *failure) bool {
	if f.hasCrashed {
		s.abandoned = nil
	}
	switch {
	case s.abandoned == nil || s.handover != nil:
		return false
	case errors.Is(f.err, errRejected):
		return s.attempts.ExcludeLast()
	}
	return f.connClosed && s.attempts.AllowReturnAfterBreak(f.hasCrashed)
}

// planReturnFrom decides whether a stream that has begun goes back to the replica that it abandoned, since the one that
// took it over is silent too and has sent nothing for it. That is no further replica, so that the route allows it. A
// response that has not begun may just take long.
func (s *activeCall) planReturnFrom(x *exchange) bool {
	s.goesBack = s.abandoned != nil && s.attempts.ResponseStarted && !x.received && s.attempts.AllowReturn()
	return s.goesBack
}

// returnTarget returns the abandoned replica if the next attempt is to be there. It returns nil if the call does not go
// back, or the replica may get no request at the moment: the call may go back later.
func (s *activeCall) returnTarget() *routing.Replica {
	if !s.goesBack {
		return nil
	}
	s.goesBack = false
	isCoordinated := s.Permits != nil && s.Permits.Needed(s.call.Service)
	now, view := clock.Now(), s.View()
	if isCoordinated || !s.Placer.MayReturnTo(view, s.abandoned, s.tried.Tried, now) ||
		s.Placer.AvoidsNew(view, &s.call.Request, s.abandoned, s.tried.Tried, now) {
		return nil
	}
	return s.abandoned
}

// chooseAbandoned returns the abandoned replica as the target of the next attempt. It returns false if there is no
// retry or no permit for it.
func (s *activeCall) chooseAbandoned(ctx context.Context, r *routing.Replica) (routing.Target, bool) {
	t := routing.Target{Replica: *r}
	if !s.reserveSend(ctx) {
		return routing.Target{}, false
	}
	if s.Permits != nil && s.Permits.NeededAtReplica(s.call.Service) {
		var ok bool
		if t, ok = s.usePermit(ctx, t, s.acquireAt(ctx, &t.Replica, true)); !ok {
			return routing.Target{}, false
		}
	}
	s.abandoned = nil
	return t, true
}

// recordSilence records that a replica is silent while the call goes on waiting for it.
func (s *activeCall) recordSilence(x *exchange, canRetry bool) {
	r := x.replica
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
