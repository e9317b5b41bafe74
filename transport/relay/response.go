// This file forwards responses to callers: streams event by event, others once they
// are complete.

package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Causes of responses that can't be forwarded.
var (
	errNotReady        = errors.New("replica stopped being ready during connection setup")
	errBadEvents       = errors.New("event ids do not increase or an event is too large")
	errTooLarge        = errors.New("response is too large")
	errReplicaError    = errors.New("replica answered with an error of its own")
	errCallerWrite     = errors.New("write to caller failed")
	errIncompleteEvent = errors.New("stream ended inside an event")
)

// streamReadBytes is the size of the buffer for reading streams. It holds some events.
const streamReadBytes = 2 << 10

// maxResponseBytes is the maximum size of a response that is not streamed, which is held
// in memory, in bytes.
const maxResponseBytes = 8 << 20

// forwardComplete reads a response to its end and then forwards it. Nothing is forwarded of
// an incomplete response, so that the request can be retried.
func (s *activeCall) forwardComplete(ctx context.Context, x *exchange, t *routing.Target) *failure {
	status := x.response.StatusCode
	body, err := s.held.readBody(x.response, func() { _ = x.conn.Close() })
	if err != nil {
		return x.brokenResponse(ctx, eris.Wrap(err, "read body"))
	}
	s.bodies += counted(cap(body))
	if err := x.checkEnd(ctx, s); err != nil {
		return x.brokenResponse(ctx, eris.Wrap(err, "read body"))
	}
	isFinal := s.isFinal(status)
	if isFinal && !s.attempts.ResponseStarted && !s.takeOver() {
		return givenUp(errOvertaken)
	}
	now := clock.Now()
	x.releaseConn(true, now)
	s.releasePermit(completion(status))
	if isSuccess(status) {
		s.PartCrashes.RecordSound(&s.call.Request, now)
	}
	if isServerError(status) && x.head.SelfReport.Backoff == 0 { // a requested backoff does not count as a failure
		s.failed = append(s.failed, t.Replica)
	}
	if !isFinal {
		// Another replica may succeed; if none does, this response is forwarded.
		s.fallback = &errorResponse{status: status, header: x.response.Header, body: body}
		return &failure{outcome: mayHaveRun, result: routing.ResultFailed, err: errReplicaError}
	}
	switch {
	case !isServerError(status):
		s.recordSuccess(&t.Replica, now)
	case s.attempts.Sent == 1:
		s.recordErrorResponses()
	}
	return s.respond(ctx, status, x.response.Header, body)
}

// isFinal reports whether a complete response is that of the call. A failure is not while another replica may serve the
// call, be it a further one or a silent one that still has it. A 429 says that the replica takes no more, which is the
// response of a call that no silent replica has.
func (s *activeCall) isFinal(status int) bool {
	failed := isServerError(status)
	if s.handover != nil && (failed || status == http.StatusTooManyRequests) {
		return false
	}
	return !failed || !s.attempts.MayTryAnother()
}

// responseDeadline returns until when a replica's response is waited for. If the call holds an error response of another
// one, that has to be returned in time.
func (s *activeCall) responseDeadline() time.Time {
	if s.fallback != nil && !s.attempts.ResponseStarted {
		return s.call.Deadline.Add(-routing.ReturnMargin)
	}
	return s.call.Deadline
}

// isServerError reports whether a status says that a replica failed on a request.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// completion returns the result of a permit whose request got a complete response. A replica that
// responds with errors does so fast, and would get the most permits if these counted as completed.
func completion(status int) admission.Result {
	if !isServerError(status) {
		return admission.Completed
	}
	return admission.Failed
}

// recordErrorResponses records the error responses of earlier attempts as failures of their
// replicas. It is not called if several replicas failed on the request and none served
// it: then the fault is likely the request's.
func (s *activeCall) recordErrorResponses() {
	for i := range s.failed {
		s.recordFailure(&s.failed[i], routing.ResultFailed, errReplicaError)
	}
	s.failed = nil
}

func (s *activeCall) respond(ctx context.Context, status int, h http.Header, body []byte) *failure {
	if s.attempts.ResponseStarted {
		return &failure{outcome: mayHaveRun, result: routing.ResultFailed, err: errReplicaError}
	}
	s.attempts.ResponseStarted = true
	s.summary.Status = status
	s.summary.FirstByte = clock.Since(s.call.Arrived)
	if err := s.recordWrite(s.sink.Respond(status, h, body)); err != nil && ctx.Err() == nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: eris.Wrap(err, "write response")}
	}
	return nil
}

// forwardStream forwards events as they arrive. The header is sent with the first event,
// so that a stream that breaks before it can still be refused with an error status.
func (s *activeCall) forwardStream(ctx context.Context, x *exchange, t *routing.Target) *failure {
	if s.events == nil {
		s.events = newEventReader(s.call.LastEventID)
		s.events.held = &s.held
	}
	s.events.reset()
	x.awaitsEvents = true
	buf := make([]byte, streamReadBytes)
	for {
		n, err := x.readData(buf)
		if f := x.readFailure; f != nil {
			if !f.isAtDeadline() {
				return f // another replica may go on, without what was read last
			}
			return cmp.Or(s.forwardEvents(ctx, x, t, buf[:n]), f)
		}
		if f := s.forwardEvents(ctx, x, t, buf[:n]); f != nil {
			return f
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.brokenResponse(ctx, eris.Wrap(err, "read stream"))
		}
	}
	if s.events.pendingLen() > 0 {
		return x.brokenResponse(ctx, errIncompleteEvent)
	}
	if err := x.checkEnd(ctx, s); err != nil {
		return x.brokenResponse(ctx, err)
	}
	if !s.takeOver() {
		return givenUp(errOvertaken)
	}
	if f := s.sendHeader(x); f != nil {
		return f
	}
	now := clock.Now()
	s.recordSuccess(&t.Replica, now)
	s.PartCrashes.RecordSound(&s.call.Request, now)
	x.releaseConn(true, now)
	s.releasePermit(admission.Completed)
	return nil
}

// forwardEvents forwards the events that p completes to the caller. The first event binds the stream to
// the software version of its replica.
func (s *activeCall) forwardEvents(ctx context.Context, x *exchange, t *routing.Target, p []byte) *failure {
	if len(p) == 0 {
		return nil // a replica that broke before its first event is not waited for
	}
	if f := s.awaitStart(ctx, x); f != nil {
		return f
	}
	if f := s.awaitEstablished(ctx, x, t); f != nil {
		return f
	}
	events, ok := s.events.add(p)
	if !ok {
		err := errBadEvents
		if s.events.noMemory {
			err = errMemory
		}
		return x.brokenResponse(ctx, err)
	}
	if len(events) == 0 {
		return nil
	}
	if !s.takeOver() {
		return givenUp(errOvertaken)
	}
	s.events.setForwarded()
	s.attempts.PositionUnknown = s.events.forwarded.unnumbered
	x.beginStream()
	s.bind(&t.Replica)
	s.recordOrigin()
	if f := s.sendHeader(x); f != nil {
		return f
	}
	s.recordSound(x)
	if err := s.recordWrite(s.sink.Write(events)); err != nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: errCallerWrite}
	}
	return nil
}

// sendHeader sends the header of a streamed response, unless it was sent. A stream that is
// resumed at another replica keeps the first one's header.
func (s *activeCall) sendHeader(x *exchange) *failure {
	if s.attempts.ResponseStarted {
		return nil
	}
	s.attempts.ResponseStarted = true
	s.summary.Status = x.response.StatusCode
	s.summary.FirstByte = clock.Since(s.call.Arrived)
	if err := s.recordWrite(s.sink.Begin(x.response.StatusCode, x.response.Header)); err != nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: errCallerWrite}
	}
	return nil
}
