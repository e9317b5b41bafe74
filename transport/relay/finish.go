// This file ends a call: it writes the final response if the caller has none, and completes the summary.

package relay

import (
	"context"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// finish completes the summary, and writes the final response if the caller has none.
func (s *activeCall) finish(ctx context.Context) {
	s.finishing = true
	s.summary.Total = clock.Since(s.call.Arrived)
	s.summary.Outcome = s.attempts.Outcome
	s.summary.CallerGone = ctx.Err() != nil
	s.summary.FirstEvent = NoEvent
	if s.events != nil {
		s.summary.Events, s.summary.FirstEvent = s.events.forwarded.count, s.events.forwarded.first
	}
	s.recordInterrupted() // before the caller can resume the stream
	s.endRecord()
	isComplete := true
	switch {
	case s.completed:
		s.summary.Outcome = coordination.Answered{Status: s.summary.Status}
	case s.summary.CallerGone || s.attempts.ResponseStarted:
		isComplete = false
		s.sink.Abort()
	case s.fallback != nil:
		s.summary.Status = s.fallback.status
		s.summary.Outcome = coordination.Answered{Status: s.fallback.status}
		s.recordWrite(s.sink.Respond(s.fallback.status, s.fallback.header, s.fallback.body))
	default:
		s.sink.Reject(withRetryAfter(s.attempts.Outcome))
	}
	s.summary.ConfigVersion = s.View().ConfigVersion()
	s.summary.EndedBy = endOf{
		complete: isComplete, writeErr: s.writeErr, callerGone: s.summary.CallerGone, closing: s.Closing != nil && s.Closing(),
	}.endedBy()
	s.finished = true
	s.Observer.Finished(s.call, &s.summary)
}

// recordWrite records the result of a write to the caller, and returns it.
func (s *activeCall) recordWrite(err error) error {
	if s.writeErr == nil {
		s.writeErr = err
	}
	return err
}

// finishAfterPanic finishes a call that a panic ended. A replica may have run it. If the panic came while the final
// response was written, a part of it may have been sent.
func (s *activeCall) finishAfterPanic(ctx context.Context) {
	if s.finished {
		return
	}
	s.attempts.Outcome = coordination.MayHaveRun{Reason: coordination.ReasonInternal}
	s.attempts.ResponseStarted = s.attempts.ResponseStarted || s.finishing
	s.finish(ctx)
}

// withRetryAfter sets the default RetryAfter of a NotRun outcome that has none.
func withRetryAfter(o coordination.Outcome) coordination.Outcome {
	if n, ok := o.(coordination.NotRun); ok && n.RetryAfter == 0 {
		n.RetryAfter = routing.RetryAfter
		return n
	}
	return o
}
