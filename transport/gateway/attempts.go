// This file sends a request to one upstream of a pool after another, as long as every
// previous attempt is known not to have run. It is the only place that retries a
// request.

package gateway

import (
	"context"
	"net/http"
	"sync"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// maxAttempts is the number of upstreams that are tried for one request.
const maxAttempts = 3

// retries is a retry budget that is safe for concurrent use.
type retries struct {
	mu      sync.Mutex
	budget  *fleet.RetryBudget
	metrics *Metrics
}

func newRetries(m *Metrics) *retries {
	return &retries{budget: fleet.NewRetryBudget(), metrics: m}
}

// earn credits a first attempt.
func (r *retries) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Earn()
}

// spend takes a retry from the budget.
func (r *retries) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.budget.Spend() {
		return false
	}
	r.metrics.Retries.Inc(1)
	return true
}

// attempts sends one request, to several upstreams if necessary.
type attempts struct {
	upstreams *Upstreams
	retries   *retries
	pool      *state.Pool
	key       state.ChatKey
	request   UpstreamRequest
	// failed is called for each attempt without a response, unless the request's context
	// has ended, which would say nothing about the upstream.
	failed func(c *state.Candidate, o coordination.Outcome, err error)
}

// send returns the first response and the upstream that sent it, or the outcome of the
// last attempt.
func (a *attempts) send(ctx context.Context) (*http.Response, *state.Candidate, coordination.Outcome) {
	var avoid []state.UpstreamID
	var last coordination.Outcome = coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: defaultRetryTime}
	a.retries.earn()
	for n := range maxAttempts {
		c, ok := fleet.Choose(a.pool, a.key, avoid)
		if !ok || (n > 0 && !a.retries.spend()) {
			break
		}
		a.request.Address = c.Address
		resp, outcome, err := a.upstreams.Send(ctx, a.request)
		if resp != nil {
			a.request.Body = nil
			return resp, c, nil
		}
		last = outcome
		if ctx.Err() != nil {
			break
		}
		a.failed(c, outcome, err)
		if !coordination.MayRetry(outcome) {
			break
		}
		avoid = append(avoid, c.ID)
	}
	return nil, nil, last
}
