// This file passes answers on: plain ones when they are whole, streams event by
// event.

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Errors of answers.
var (
	errDrained   = errors.New("replica left while the connection came up")
	errOrder     = errors.New("events are not in their order")
	errTooLarge  = errors.New("answer is too large")
	errOwnFault  = errors.New("replica answered with an error of its own")
	errCaller    = errors.New("caller takes no more")
	errEndInside = errors.New("stream ended inside an event")
)

// streamReadBytes is the size of one read of a stream: some events.
const streamReadBytes = 2 << 10

// maxAnswerBytes bounds a plain answer, which is held whole.
const maxAnswerBytes = 8 << 20

// relayWhole reads an answer to its end and passes it on. Only a whole one goes
// out, so that one that broke off can be asked for again.
func (s *serving) relayWhole(ctx context.Context, x *exchange, t *routing.Target) *failure {
	status := x.response.StatusCode
	body, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswerBytes+1))
	if err != nil {
		return x.broken(ctx, eris.Wrap(err, "read body"))
	}
	if len(body) > maxAnswerBytes {
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, err: errTooLarge}
	}
	now := clock.Now()
	x.end(true, now)
	if status < http.StatusInternalServerError {
		s.praise(&t.Replica, now)
		return s.answer(ctx, status, x.response.Header, body)
	}
	if x.head.Says.Rest == 0 { // one that asks for rest has not failed
		s.failed = append(s.failed, t.Replica)
	}
	if s.attempts.MayTryAnother() {
		// Another replica may do better; if none does, this answer goes out.
		s.fallback = &fallback{status: status, header: x.response.Header, body: body}
		return &failure{outcome: mayHaveRun, result: routing.ResultFailed, err: errOwnFault}
	}
	if s.attempts.Sent == 1 {
		s.blameFailed()
	}
	return s.answer(ctx, status, x.response.Header, body)
}

// blameFailed counts the errors that replicas answered with against them. Where
// several replicas failed on a request and none served it, the request is at
// fault and none is blamed.
func (s *serving) blameFailed() {
	for i := range s.failed {
		s.blame(&s.failed[i], routing.ResultFailed, errOwnFault)
	}
	s.failed = nil
}

func (s *serving) answer(ctx context.Context, status int, h http.Header, body []byte) *failure {
	if s.attempts.ResponseStarted {
		return &failure{outcome: mayHaveRun, result: routing.ResultFailed, err: errOwnFault}
	}
	s.attempts.ResponseStarted = true
	s.summary.Status = status
	s.summary.FirstByte = clock.Since(s.call.Arrived)
	if err := s.sink.Answer(status, h, body); err != nil && ctx.Err() == nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: eris.Wrap(err, "write answer")}
	}
	return nil
}

// relayStream passes events on as they come. The answer begins with the first
// event, so that a stream that breaks before it can still be refused.
func (s *serving) relayStream(ctx context.Context, x *exchange, t *routing.Target) *failure {
	if s.events == nil {
		s.events = newEventReader(s.call.LastEvent)
	}
	s.events.reset()
	buf := make([]byte, streamReadBytes)
	for {
		if f := s.awaitEvent(ctx, x); f != nil {
			return f
		}
		n, err := x.response.Body.Read(buf)
		if f := s.pass(x, buf[:n]); f != nil {
			return f
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return x.broken(ctx, eris.Wrap(err, "read stream"))
		}
	}
	if len(s.events.rest) > 0 {
		return x.broken(ctx, errEndInside)
	}
	if f := s.begin(x); f != nil {
		return f
	}
	now := clock.Now()
	s.praise(&t.Replica, now)
	x.end(true, now)
	return nil
}

// awaitEvent waits for more of a stream. Where the stream can go on at another
// replica it waits only for a while.
func (s *serving) awaitEvent(ctx context.Context, x *exchange) *failure {
	if x.conn.reader.Buffered() > 0 {
		return nil
	}
	until := x.deadline
	wait, leave := s.attempts.EventTimeout()
	if leave {
		until = clock.Now().Add(wait)
	}
	arrived, err := x.await(until)
	if err == nil && !arrived && leave && !s.reserveRetry(ctx) {
		arrived, err = x.await(x.deadline)
	}
	if err != nil {
		// The end of an answer without a length is found by reading.
		if errors.Is(err, io.EOF) {
			return nil
		}
		return x.broken(ctx, err)
	}
	if arrived {
		return nil
	}
	f := x.silent()
	f.blame = clock.Now().Before(x.deadline)
	return f
}

// pass hands the whole events among p to the caller.
func (s *serving) pass(x *exchange, p []byte) *failure {
	whole, ok := s.events.take(p)
	if !ok {
		return &failure{outcome: mayHaveRun, result: routing.ResultBroken, blame: true, err: errOrder}
	}
	if len(whole) == 0 {
		return nil
	}
	if f := s.begin(x); f != nil {
		return f
	}
	if err := s.sink.Write(whole); err != nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: errCaller}
	}
	return nil
}

// begin sends the header of a streamed answer once. An answer that goes on at
// another replica keeps that of the first.
func (s *serving) begin(x *exchange) *failure {
	if s.attempts.ResponseStarted {
		return nil
	}
	s.attempts.ResponseStarted = true
	s.summary.Status = x.response.StatusCode
	s.summary.FirstByte = clock.Since(s.call.Arrived)
	if err := s.sink.Begin(x.response.StatusCode, x.response.Header); err != nil {
		return &failure{outcome: mayHaveRun, result: routing.ResultGood, err: errCaller}
	}
	return nil
}
