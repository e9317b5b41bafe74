// This file converts requests with keys, and their results, between the types of this
// package and the messages between daemons.

package gateway

import (
	"context"
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol/peer"
)

func (p *Peers) encodeRun(ctx context.Context, r *OnceRequest) *peer.RunRequest {
	stamp := p.recorder.Stamp()
	return &peer.RunRequest{
		RequestId: string(r.ID), Workspace: string(r.Workspace), Service: string(r.Service), Key: r.Key,
		Method: r.Method, Target: r.Target, Header: encodeHeader(r.Header), Body: r.Body,
		TimeoutMs: timeLeft(ctx).Milliseconds(), StampWall: stamp.Wall, StampCounter: stamp.Counter,
	}
}

func encodeHeader(h http.Header) []*peer.HeaderField {
	out := make([]*peer.HeaderField, 0, len(h))
	for k, vs := range h {
		out = append(out, &peer.HeaderField{Name: k, Values: vs})
	}
	return out
}

func decodeHeader(fields []*peer.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[http.CanonicalHeaderKey(f.GetName())] = f.GetValues()
	}
	return h
}

func decodeRunResult(m *peer.RunResponse) OnceResult {
	retry := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	reason := coordination.Reason(m.GetReason())
	switch m.GetOutcome() {
	case peer.RunOutcome_RUN_OUTCOME_ANSWERED:
		answer := &fleet.StoredAnswer{Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeader()), Body: m.GetBody()}
		return OnceAnswer{Answer: answer, Replayed: m.GetReplayed()}
	case peer.RunOutcome_RUN_OUTCOME_NOT_RUN:
		return OnceRefusal{coordination.NotRun{Reason: reason, RetryAfter: retry}}
	case peer.RunOutcome_RUN_OUTCOME_CONFLICT:
		return OnceConflict{errKeyReused}
	case peer.RunOutcome_RUN_OUTCOME_FORGED:
		return OnceConflict{fleet.ErrTicketForged}
	}
	return OnceRefusal{coordination.MayHaveRun{Reason: reason, RetryAfter: retry}}
}

// maxRunTimeout limits the timeout that a peer can request.
const maxRunTimeout = 10 * time.Minute

func encodeRunResult(r OnceResult) *peer.RunResponse {
	switch r := r.(type) {
	case OnceAnswer:
		return &peer.RunResponse{
			Outcome: peer.RunOutcome_RUN_OUTCOME_ANSWERED, Status: int32(r.Answer.Status),
			Header: encodeHeader(r.Answer.Header), Body: r.Answer.Body, Replayed: r.Replayed,
		}
	case OnceConflict:
		if r.Err == fleet.ErrTicketForged {
			return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_FORGED}
		}
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_CONFLICT}
	case OnceChallenge:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_CHALLENGE, Challenge: r.Challenge}
	case OnceRefusal:
		return encodeRefusal(r.Outcome)
	}
	return &peer.RunResponse{}
}

func encodeRefusal(o coordination.Outcome) *peer.RunResponse {
	switch o := o.(type) {
	case coordination.NotRun:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_NOT_RUN, Reason: string(o.Reason), RetryAfterMs: o.RetryAfter.Milliseconds()}
	case coordination.MayHaveRun:
		return &peer.RunResponse{Outcome: peer.RunOutcome_RUN_OUTCOME_MAY_HAVE_RUN, Reason: string(o.Reason), RetryAfterMs: o.RetryAfter.Milliseconds()}
	}
	return &peer.RunResponse{}
}
