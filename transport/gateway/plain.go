// This file serves plain services, and the tickets for requests that must not be
// repeated.

package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

func (g *Gateway) serveService(c *call) {
	svc, target, ok := g.service(c)
	if !ok {
		return
	}
	body, ok := g.readBody(c)
	if !ok {
		return
	}
	header := protocol.ForwardHeader(c.r.Header)
	header.Set(protocol.HeaderRequestID, string(c.id))
	header.Set(protocol.HeaderPriority, string(c.workspace.Priority))
	path, _, _ := strings.Cut(target, "?")
	key := c.r.Header.Get(protocol.HeaderIdempotencyKey)
	never := strictestRule(svc, c.r.Method, path) == state.RepeatNever
	if never && key != "" {
		g.serveOnce(c, &OnceRequest{
			ID: c.id, Workspace: c.workspace.Name, Service: svc.Name, Key: key,
			Method: c.r.Method, Target: target, Header: header, Body: body,
		})
		return
	}
	requestKey := coordination.ChatKeyOf(c.workspace.Name, state.ModelID(svc.Name), []byte(c.id))
	a := g.attempts(c, c.snapshot.Service(svc.Name), requestKey, UpstreamRequest{
		Method: c.r.Method, Target: target, Header: header, Body: body, Fresh: never,
	})
	resp, upstream, outcome := a.send(c.r.Context())
	if resp == nil {
		g.refuse(c, g.deadlineOutcome(c, outcome))
		return
	}
	c.w.Header().Set(protocol.HeaderUpstream, string(upstream.ID))
	g.relayComplete(c, resp)
}

// strictestRule returns the stricter of the rules for the path as sent and for the unescaped
// path, so that no spelling of a path evades its rule.
func strictestRule(svc *state.Service, method, escaped string) state.RepeatRule {
	plain, err := url.PathUnescape(escaped)
	if err != nil || svc.Rule(method, plain) == state.RepeatNever {
		return state.RepeatNever
	}
	return svc.Rule(method, escaped)
}

// service returns the service that a path names, and the target at its upstreams.
func (g *Gateway) service(c *call) (*state.Service, string, bool) {
	rest := strings.TrimPrefix(c.r.URL.EscapedPath(), PathServices)
	name, path, _ := strings.Cut(rest, "/")
	svc := c.snapshot.Config.Service(state.ServiceID(name))
	if svc == nil {
		g.reject(c, http.StatusNotFound, "service_not_found", "", fmt.Sprintf("service %q is not defined; check the name or ask the operators", name))
		return nil, "", false
	}
	if !c.workspace.MayCall(svc.Name) {
		g.reject(c, http.StatusForbidden, "service_not_allowed", "", fmt.Sprintf("workspace %q may not call service %q; ask the operators", c.workspace.Name, name))
		return nil, "", false
	}
	target := "/" + path
	if hasDotSegment(target) {
		g.reject(c, http.StatusBadRequest, "invalid_path", "", "path holds . or .. segments; send it without them")
		return nil, "", false
	}
	if c.r.URL.RawQuery != "" {
		target += "?" + c.r.URL.RawQuery
	}
	return svc, target, true
}

// hasDotSegment reports whether a path has segments, possibly escaped, that a service
// may resolve to a path other than the one whose rule was looked up.
func hasDotSegment(path string) bool {
	plain, err := url.PathUnescape(path)
	if err != nil {
		return true
	}
	for _, segment := range strings.FieldsFunc(plain, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(plain, "//")
}

// maxKeyBytes is the longest key that is accepted.
const maxKeyBytes = 512

func (g *Gateway) serveOnce(c *call, r *OnceRequest) {
	if len(r.Key) > maxKeyBytes || !isPrintable(r.Key) {
		g.reject(c, http.StatusBadRequest, "invalid_key", "", fmt.Sprintf("%s must be at most %d printable characters without spaces", protocol.HeaderIdempotencyKey, maxKeyBytes))
		return
	}
	switch res := g.Once.Run(c.r.Context(), r).(type) {
	case OnceAnswer:
		if res.Replayed {
			c.w.Header().Set(protocol.HeaderReplayed, "true")
		}
		g.writeResponse(c, res.Answer.Status, res.Answer.Header, res.Answer.Body)
	case OnceConflict:
		g.reject(c, http.StatusUnprocessableEntity, "idempotency_key_conflict", "", res.Err.Error())
	case OnceRefusal:
		g.refuse(c, res.Outcome)
	}
}

// TicketRequest is the body of POST /v1/tickets.
type TicketRequest struct {
	Service state.ServiceID `json:"service"`
}

// TicketAnswer is the response to POST /v1/tickets. The ticket is sent as the
// Idempotency-Key of one request and its repeats.
type TicketAnswer struct {
	Ticket    string `json:"ticket"`
	ExpiresMS int64  `json:"expires_in_ms"`
}

func (g *Gateway) serveTickets(c *call) {
	if !g.requireMethod(c, http.MethodPost) {
		return
	}
	body, ok := g.readBody(c)
	if !ok {
		return
	}
	var req TicketRequest
	if err := json.Unmarshal(body, &req); err != nil || c.snapshot.Config.Service(req.Service) == nil {
		g.reject(c, http.StatusBadRequest, "invalid_request", "service", `service is missing or not defined; send {"service": "NAME"}`)
		return
	}
	if !c.workspace.MayCall(req.Service) {
		g.reject(c, http.StatusForbidden, "service_not_allowed", "service", fmt.Sprintf("workspace %q may not call service %q; ask the operators", c.workspace.Name, req.Service))
		return
	}
	ticket, lifetime := g.Once.Issue(c.workspace.Name, req.Service)
	g.count(coordination.Answered{Status: http.StatusOK})
	g.writeJSON(c, http.StatusOK, TicketAnswer{Ticket: ticket, ExpiresMS: lifetime.Milliseconds()})
}
