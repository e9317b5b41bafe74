// This file relays a streamed response event by event. Only complete events in their
// order are forwarded, and only the terminator completes the response. A stream that
// can't be completed ends with an error event and an aborted connection, so that even
// a caller that ignores the error does not take it as complete.

package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

// errCallerGone reports that the caller closed the connection.
var errCallerGone = errors.New("caller closed the connection")

// stream is the state of one streamed response.
type stream struct {
	g        *Gateway
	c        *call
	engine   *state.Candidate
	asm      fleet.Assembler
	sent     bool
	deadline time.Time // write deadline of the caller's connection
	out      *http.ResponseController
}

func (g *Gateway) relayStream(c *call, resp *http.Response, engine *state.Candidate) {
	g.Metrics.OpenStreams.Inc(1)
	defer g.Metrics.OpenStreams.Dec(1)
	s := &stream{g: g, c: c, engine: engine, out: http.NewResponseController(c.w)}
	err := s.run(resp)
	switch {
	case err == nil:
		g.count(coordination.Answered{Status: resp.StatusCode})
	case errors.Is(err, errCallerGone) || c.r.Context().Err() == context.Canceled:
		g.Metrics.CallerGone.Inc(1)
		panic(http.ErrAbortHandler)
	case !s.sent:
		g.refuse(c, g.deadlineOutcome(c, coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer, RetryAfter: defaultRetryTime}))
	default:
		s.fail(err)
	}
}

// run relays the stream, and resumes it if it breaks and can be resumed.
func (s *stream) run(resp *http.Response) error {
	id := resp.Header.Get(protocol.HeaderStreamID)
	backoff := s.g.Limits.ResumeBackoff
	for resumes := 0; ; resumes++ {
		err := s.relay(resp, id)
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		stream, after, ok := s.asm.Resumable()
		ctx := s.c.r.Context()
		if !ok || resumes >= s.g.Limits.MaxResumes || ctx.Err() != nil {
			return err
		}
		if resumes > 0 {
			sleep(ctx, backoff)
			backoff *= 2
		}
		next := s.g.resume(ctx, s.c, s.engine, stream, after)
		if next == nil {
			return err
		}
		resp = next
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// relay forwards the events of one upstream response.
func (s *stream) relay(resp *http.Response, id string) error {
	defer resp.Body.Close()
	idle := time.AfterFunc(s.g.Limits.StreamIdle, func() { _ = resp.Body.Close() })
	defer idle.Stop()
	events := protocol.NewEventReader(resp.Body)
	for {
		ev, err := events.Read()
		if err != nil {
			return streamError(err)
		}
		idle.Reset(s.g.Limits.StreamIdle)
		switch s.asm.Accept(fleet.Chunk{Stream: id, Seq: ev.Seq, Final: ev.IsEnd()}) {
		case fleet.Drop:
			continue
		case fleet.Missing:
			return errors.New("events are missing in the stream")
		case fleet.Forward:
		}
		if err := s.forward(&ev); err != nil {
			return err
		}
		if s.asm.IsComplete() {
			return nil
		}
	}
}

func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.New("stream ended without its terminator")
	}
	return err
}

// forward writes and flushes one event. The header is written before the first event.
func (s *stream) forward(ev *protocol.StreamEvent) error {
	if !s.sent {
		s.sent = true
		h := s.c.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.c.w.WriteHeader(http.StatusOK)
	}
	s.extendDeadline()
	if _, err := s.c.w.Write(ev.Raw); err != nil {
		return errCallerGone
	}
	if err := s.out.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// deadlineFraction is the fraction of the limit, as a divisor, that must have passed
// before the deadline is set again: setting it costs more than writing a token should.
const deadlineFraction = 8

// extendDeadline gives a slow caller time to take the next event.
func (s *stream) extendDeadline() {
	want := time.Now().Add(s.g.Limits.CallerStall)
	if want.Sub(s.deadline) < s.g.Limits.CallerStall/deadlineFraction {
		return
	}
	s.deadline = want
	_ = s.out.SetWriteDeadline(want)
}

// fail ends a stream that has started: it sends an error event and aborts the
// connection without the end of the body.
func (s *stream) fail(cause error) {
	s.g.count(coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer})
	s.g.Recorder.Record(coordination.EventAttemptFailed, string(s.engine.ID), s.c.id, "stream could not be finished: %v", cause)
	detail := protocol.ErrorDetail{
		Message:   coordination.ReasonBrokenAnswer.Remedy(),
		Type:      errorType(http.StatusBadGateway),
		Code:      string(coordination.ReasonBrokenAnswer),
		Outcome:   coordination.OutcomeName(coordination.MayHaveRun{}),
		RequestID: s.c.id,
	}
	if body, err := json.Marshal(protocol.ErrorBody{Error: detail}); err == nil {
		var event bytes.Buffer
		event.WriteString("data: ")
		event.Write(body)
		event.WriteString("\n\n")
		_, _ = s.c.w.Write(event.Bytes())
		_ = s.out.Flush()
	}
	panic(http.ErrAbortHandler)
}
