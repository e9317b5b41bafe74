// This file sends a request to one upstream of a pool after another, as long as
// every attempt before was surely not run.

package transport

import (
	"context"
	"net/http"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// attempts chooses upstreams for one request.
type attempts struct {
	g       *Gateway
	id      state.RequestID
	pool    *state.Pool
	key     state.ChatKey
	request UpstreamRequest
}

// send returns the first response, with the upstream that gave it, or how the
// last attempt ended.
func (a *attempts) send(ctx context.Context) (*http.Response, *state.Candidate, coordination.Outcome) {
	var avoid []state.UpstreamID
	var last coordination.Outcome = coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: defaultRetryTime}
	a.g.earnRetry()
	for n := 0; n < a.g.Limits.MaxAttempts; n++ {
		c, ok := coordination.Choose(a.pool, a.key, avoid)
		if !ok || (n > 0 && !a.g.spendRetry()) {
			break
		}
		a.request.Address = c.Address
		resp, outcome, err := a.g.Upstreams.Send(ctx, a.request)
		if resp != nil {
			a.request.Body = nil
			return resp, c, nil
		}
		a.failed(ctx, c, outcome, err)
		last = outcome
		if !coordination.MayRepeat(outcome) || ctx.Err() != nil {
			break
		}
		avoid = append(avoid, c.ID)
	}
	return nil, nil, last
}

// failed tells the control loop and the time line of an attempt without a
// response. An attempt that the caller ended says nothing of the upstream.
func (a *attempts) failed(ctx context.Context, c *state.Candidate, o coordination.Outcome, err error) {
	if ctx.Err() != nil {
		return
	}
	a.g.Recorder.Record(coordination.EventAttemptFailed, string(c.ID), a.id, "attempt at %s ended %s: %v", c.ID, coordination.OutcomeName(o), err)
	a.g.Tell(coordination.UpstreamFailed{ID: c.ID})
}
