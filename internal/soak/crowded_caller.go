// This file simulates the callers of a crowded service. They send at the planned times whether or not
// earlier requests were answered, and come back when a refusal says so.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	routeCrowded  = "crowded"
	prefixCrowded = "/crowded/"
	// crowdedTarget is the time until the first byte that callers expect, crowdedTimeout the time
	// until they give up, however often they come back.
	crowdedTarget  = 600 * time.Millisecond
	crowdedTimeout = 2500 * time.Millisecond
	// maxReturns bounds how often a caller comes back. At a service that refuses half of its requests the
	// load is then 1.75 times the planned one. With three returns and a load of 1.6 the machine fell behind.
	maxReturns = 2
)

// crowdedRoute is the route to the crowded service.
var crowdedRoute = &Route{Name: routeCrowded, Prefix: prefixCrowded, Method: http.MethodPost, Attempts: 2, Timeout: crowdedTimeout}

// crowdedCallers send the load of a crowded service. Each request has a connection for itself while it
// lasts.
type crowdedCallers struct {
	*Crowded
	site    *site
	service string

	mu   sync.Mutex
	idle []*caller
	sent int
}

// run sends the load until a time after begun, and returns when all requests have ended.
func (c *crowdedCallers) run(ctx context.Context, begun time.Time, until time.Duration) {
	if !c.isBrittle() {
		c.site.ledger.Crowds(c.service, begun, begun.Add(until))
	}
	var all sync.WaitGroup
	for workspace := range c.Workspaces {
		all.Go(func() {
			for _, a := range c.arrivals(workspace, until) {
				pause(ctx, time.Until(begun.Add(a.At)))
				if ctx.Err() != nil {
					return
				}
				all.Go(func() { c.call(ctx, &c.Workspaces[workspace]) })
			}
		})
	}
	all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, out := range c.idle {
		out.disconnect()
	}
	c.idle = nil
}

// call sends a request, and sends it again under a new id when a refusal says that it may come back.
func (c *crowdedCallers) call(ctx context.Context, from *Sender) {
	deadline := time.Now().Add(crowdedTimeout)
	impatient := rand.Float64() < c.Impatient
	var record *crowdedCall
	for returns := 0; ctx.Err() == nil; returns++ {
		a, daemon, ok := c.send(from, deadline)
		if record == nil && ok {
			record = c.site.ledger.CallBegan(time.Now(), daemon)
		}
		wait := a.RetryAfter
		if impatient && ok && a.Status/100 != 2 {
			wait = impatientReturn
		}
		if !ok || returns == maxReturns || wait == 0 || time.Now().Add(wait).After(deadline) {
			if record != nil {
				c.site.ledger.CallEnded(record, a.Status/100 == 2)
			}
			return
		}
		pause(ctx, wait)
	}
}

// send sends a request on an idle connection or a new one. It returns false if there is none.
func (c *crowdedCallers) send(from *Sender, deadline time.Time) (a Answer, daemon int, ok bool) {
	out, id := c.take()
	if !out.connected() && !out.connect() {
		return Answer{}, 0, false
	}
	q := Request{
		ID: id, Route: crowdedRoute, Target: crowdedRoute.Prefix + id, Key: from.Name, Body: "b", Daemon: out.daemon, Incarnation: out.incarnation,
		Service: c.service, Workspace: from.Name, Urgency: from.Urgency, Sent: time.Now(), Deadline: deadline,
		Generates: c.Generates, Subject: int(hashOf(id) % chatTopics), Tokens: shortTokens,
	}
	out.begin(&q)
	daemon = q.Daemon
	a = out.roundTrip(&q)
	c.put(out)
	return a, daemon, true
}

// take returns an idle caller or a new one, and the id of its next request.
func (c *crowdedCallers) take() (out *caller, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	id = fmt.Sprintf("w%d", c.sent)
	if n := len(c.idle); n > 0 {
		out, c.idle = c.idle[n-1], c.idle[:n-1]
		return out, id
	}
	return &caller{site: c.site, number: c.sent}, id
}

func (c *crowdedCallers) put(out *caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, out)
}

// retryAfter returns when a refused caller may come back, or 0 if the response does not say.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
