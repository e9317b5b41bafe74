// This file writes error responses: what was wrong with a request, or whether it has
// run and when to retry it.

package gateway

import (
	"errors"
	"math"
	mrand "math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/protocol"
)

// reject responds to an invalid request. It was not run.
func (g *Gateway) reject(c *call, status int, code, param, message string) {
	g.Metrics.Rejected.Inc(1)
	c.w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
	g.writeError(c, status, code, param, message, protocol.OutcomeNotRun)
}

func (g *Gateway) rejectParseError(c *call, err error) {
	var bad *protocol.BadRequestError
	if errors.As(err, &bad) {
		g.reject(c, http.StatusBadRequest, "invalid_request", bad.Param, bad.Error())
		return
	}
	g.reject(c, http.StatusBadRequest, "invalid_request", "", err.Error())
}

// refuse responds at once to a request for which there is no upstream response.
func (g *Gateway) refuse(c *call, o coordination.Outcome) {
	reason, retry := g.count(o)
	h := c.w.Header()
	h.Set(protocol.HeaderOutcome, coordination.OutcomeName(o))
	h.Set(protocol.HeaderReason, string(reason))
	h.Set(protocol.HeaderRetryAfter, strconv.Itoa(jitterRetry(retry)))
	g.writeError(c, refusalStatus(o, reason), string(reason), "", reason.Remedy(), coordination.OutcomeName(o))
}

func (g *Gateway) count(o coordination.Outcome) (coordination.Reason, time.Duration) {
	switch o := o.(type) {
	case coordination.NotRun:
		g.Metrics.NotRun.Inc(1)
		return o.Reason, o.RetryAfter
	case coordination.MayHaveRun:
		g.Metrics.MayHaveRun.Inc(1)
		return o.Reason, o.RetryAfter
	case coordination.Answered:
		g.Metrics.Answered.Inc(1)
	}
	return "", 0
}

// refusalStatus maps a refusal to a status. A request that may have run never gets 429
// or 503, because client libraries retry after these.
func refusalStatus(o coordination.Outcome, reason coordination.Reason) int {
	if coordination.MayRetry(o) {
		return http.StatusServiceUnavailable
	}
	if reason == coordination.ReasonNoAnswer || reason == coordination.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// jitterRetry converts a delay to whole seconds and adds up to half of it at random, so
// that refused callers do not retry at the same time.
func jitterRetry(d time.Duration) int {
	if d <= 0 {
		d = defaultRetryTime
	}
	d += time.Duration(mrand.Int64N(int64(d)/2 + 1))
	return max(1, int(math.Ceil(d.Seconds())))
}

func (g *Gateway) writeError(c *call, status int, code, param, message, outcome string) {
	detail := protocol.ErrorDetail{Message: message, Type: errorType(status), Code: code, Outcome: outcome, RequestID: c.id}
	if param != "" {
		detail.Param = &param
	}
	g.writeJSON(c, status, protocol.ErrorBody{Error: detail})
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}
