// This file serves chat completions: it places a chat, sends it and returns the
// complete response or an error.

package gateway

import (
	"context"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

func (g *Gateway) serveChat(c *call) {
	if !g.requireMethod(c, http.MethodPost) {
		return
	}
	body, ok := g.readBody(c)
	if !ok {
		return
	}
	req, err := protocol.ParseChat(body)
	if err != nil {
		g.rejectParseError(c, err)
		return
	}
	if !c.workspace.MayUse(req.Model) {
		g.reject(c, http.StatusForbidden, "model_not_allowed", "model", fmt.Sprintf("workspace %q may not use model %q; use one of GET /v1/models or ask the operators", c.workspace.Name, req.Model))
		return
	}
	key := coordination.ChatKeyOf(c.workspace.Name, req.Model, chatIdentity(c.r, req))
	a := g.attempts(c, c.snapshot.Model(req.Model), key, UpstreamRequest{
		Method: http.MethodPost,
		Target: protocol.PathChat,
		Header: engineHeader(c),
		Body:   body,
	})
	resp, engine, outcome := a.send(c.r.Context())
	if resp == nil {
		g.refuse(c, g.deadlineOutcome(c, outcome))
		return
	}
	c.w.Header().Set(protocol.HeaderUpstream, string(engine.ID))
	g.Metrics.FirstByte.UpdateSince(c.started)
	if isEventStream(resp.Header) {
		g.relayStream(c, resp, engine)
		return
	}
	g.relayComplete(c, resp)
}

// attempts prepares the attempts for a caller's request.
func (g *Gateway) attempts(c *call, pool *state.Pool, key state.ChatKey, r UpstreamRequest) *attempts {
	return &attempts{
		upstreams: g.Upstreams,
		retries:   g.retries,
		pool:      pool,
		key:       key,
		request:   r,
		failed: func(up *state.Candidate, o coordination.Outcome, err error) {
			g.Recorder.Record(coordination.EventAttemptFailed, string(up.ID), c.id, "attempt at %s ended %s: %v", up.ID, coordination.OutcomeName(o), err)
			g.Post(fleet.UpstreamFailed{ID: up.ID})
		},
	}
}

// chatIdentity prefers the caller's chat id over the identity derived from the body.
func chatIdentity(r *http.Request, req *protocol.ChatRequest) []byte {
	if id := r.Header.Get(protocol.HeaderChatID); id != "" {
		return []byte(id)
	}
	return req.Identity()
}

// engineHeader builds the header for an engine from scratch: apart from the content
// type, nothing that a caller sends in a header reaches an engine.
func engineHeader(c *call) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("User-Agent", "hingewinch")
	h.Set(protocol.HeaderRequestID, string(c.id))
	h.Set(protocol.HeaderPriority, string(c.workspace.Priority))
	return h
}

func isEventStream(h http.Header) bool {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && t == "text/event-stream"
}

// deadlineOutcome replaces the reason with the deadline if the deadline ended the
// attempt.
func (g *Gateway) deadlineOutcome(c *call, o coordination.Outcome) coordination.Outcome {
	if context.Cause(c.r.Context()) != context.DeadlineExceeded {
		return o
	}
	if coordination.MayRetry(o) {
		return coordination.NotRun{Reason: coordination.ReasonDeadline, RetryAfter: defaultRetryTime}
	}
	return coordination.MayHaveRun{Reason: coordination.ReasonDeadline, RetryAfter: defaultRetryTime}
}

// relayComplete returns a response that is not streamed. It reads the response to its end
// first, so that the caller gets all of it or an error.
func (g *Gateway) relayComplete(c *call, resp *http.Response) {
	defer resp.Body.Close()
	body, err := protocol.ReadBounded(resp.Body, resp.ContentLength, g.Limits.AnswerBytes)
	if err != nil {
		reason := coordination.ReasonBrokenAnswer
		if err == protocol.ErrTooLarge {
			reason = coordination.ReasonAnswerTooLarge
		}
		g.refuse(c, g.deadlineOutcome(c, coordination.MayHaveRun{Reason: reason, RetryAfter: defaultRetryTime}))
		return
	}
	g.writeResponse(c, resp.StatusCode, protocol.ReturnHeader(resp.Header), body)
}

// writeResponse writes a complete response. Content-Length lets the caller detect a truncated
// one.
func (g *Gateway) writeResponse(c *call, status int, header http.Header, body []byte) {
	h := c.w.Header()
	for k, vs := range header {
		if !isGatewayField(k) {
			h[k] = vs
		}
	}
	if c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	g.count(coordination.Answered{Status: status})
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(g.Limits.CallerStall))
	c.w.WriteHeader(status)
	if _, err := c.w.Write(body); err != nil {
		g.Metrics.CallerGone.Inc(1)
	}
}

// isGatewayField reports whether a header field is set by this daemon and not by upstreams.
func isGatewayField(name string) bool {
	switch name {
	case protocol.HeaderRequestID, protocol.HeaderDaemon, protocol.HeaderUpstream, protocol.HeaderStreamID, protocol.HeaderOutcome:
		return true
	}
	return false
}

// resume asks the engine that holds a stream for the remaining events. No other engine
// could continue the stream.
func (g *Gateway) resume(ctx context.Context, c *call, engine *state.Candidate, stream string, after uint64) *http.Response {
	resp, _, err := g.Upstreams.Send(ctx, UpstreamRequest{
		Method:  http.MethodGet,
		Address: engine.Address,
		Target:  protocol.ResumeTarget(stream, after),
		Header:  engineHeader(c),
	})
	if err != nil {
		return nil
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(protocol.HeaderStreamID) != stream || !isEventStream(resp.Header) {
		discard(resp)
		return nil
	}
	g.Metrics.Resumes.Inc(1)
	g.Recorder.Record(coordination.EventResumed, string(engine.ID), c.id, "stream resumed after event %d", after)
	return resp
}
