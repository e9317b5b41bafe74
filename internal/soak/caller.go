// This file simulates callers. Each keeps a connection to one daemon, sends a random
// number of requests over it, and reconnects when the daemon closes it.

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/platform/standin"
	"hingewinch.org/hingewinch/protocol"
)

// Limits of the simulated callers.
const (
	requestsPerConn   = 20 // at most
	minThink          = 40 * time.Millisecond
	maxThink          = 140 * time.Millisecond
	responseSlack     = 1500 * time.Millisecond // beyond the deadline
	maxRequestBody    = 40_000
	reconnectPause    = 300 * time.Millisecond
	baseCancelPercent = 2 // percentage of requests that are canceled without a fault
	chatTopics        = 7 // number of distinct chat prompts
)

// callerFaults is the misbehavior that is currently in force for all callers.
type callerFaults struct {
	cancelPercent atomic.Int64 // percentage of requests canceled early, on top of baseCancelPercent
	resends       atomic.Int64 // how many times a failed request is resent immediately
}

// caller simulates one client. It is used by a single goroutine.
type caller struct {
	site        *site
	number      int
	sent        int
	answered    int // requests that were answered on the connection
	conn        net.Conn
	reader      *bufio.Reader
	daemon      int
	incarnation int
	usesLeft    int
}

// run sends requests until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		pause(ctx, minThink+rand.N(maxThink-minThink))
		if !c.connected() && !c.connect() {
			pause(ctx, reconnectPause)
			continue
		}
		q := c.newRequest()
		a := c.send(&q)
		for range c.site.callerFaults.resends.Load() {
			if a.Status/100 == 2 || (!c.connected() && !c.connect()) {
				break
			}
			q = c.newRequest()
			a = c.send(&q)
		}
	}
}

func (c *caller) connected() bool { return c.conn != nil }

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect() bool {
	d, ok := c.site.fleet.pick(c.number)
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp4", d.callers.Address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.daemon, c.incarnation = conn, bufio.NewReader(conn), d.number, d.currentIncarnation()
	c.usesLeft, c.answered = 1+rand.IntN(requestsPerConn), 0
	return true
}

func (c *caller) newRequest() Request {
	route, prefix := routes[rand.IntN(len(routes))], "c"
	if c.site.steady != nil {
		route, prefix = steadyRoute(), steadyPrefix
	}
	c.sent++
	q := Request{
		ID: fmt.Sprintf("%s%d-%d", prefix, c.number, c.sent), Route: route, Key: c.site.drawKey(),
		Target: fmt.Sprintf("%s%d?n=%d", route.Prefix, rand.IntN(100), c.sent), Daemon: c.daemon, Incarnation: c.incarnation,
	}
	q.Subject, q.Tokens = int(hashOf(q.Target)%chatTopics), shortTokens
	if c.site.refuses && rand.IntN(pollOneIn) == 0 {
		q = c.poll(q)
	}
	if s := c.site.steady; s != nil {
		q.Subject, q.Tokens = s.drawPrompt(time.Since(c.site.begun))
	}
	if c.site.uploads && rand.IntN(uploadOneIn) == 0 {
		return c.asUpload(q)
	}
	if c.site.partCrashes && rand.IntN(2) == 0 {
		q.Middle = []string{rarePart(rand.IntN(rareParts))}
	}
	if route.Method == http.MethodPost {
		q.Body = strings.Repeat("b", 1+rand.IntN(500))
		if rand.IntN(20) == 0 {
			q.Body = strings.Repeat("B", maxRequestBody)
		}
	}
	return q
}

// encode returns the HTTP request as written to the connection.
func (q *Request) encode() string {
	r := standin.CallerRequest{
		Method: q.Route.Method, Target: q.Target, Host: routeHost, ID: q.ID, Key: q.Key, Timeout: q.Deadline.Sub(q.Sent),
		Body: q.Body, Chunked: hashOf(q.ID)%3 == 0, LastEventID: q.After, Resumes: q.Resumes,
	}
	if q.Route.Stream || q.Generates {
		r.Prompt = q.prompt()
	}
	return r.Text()
}

// send sends one request, and then waits for the response or cancels the request at random.
func (c *caller) send(q *Request) Answer {
	c.prepare(q)
	if rand.Int64N(100) < baseCancelPercent+c.site.callerFaults.cancelPercent.Load() {
		return c.cancel(q)
	}
	return c.roundTrip(q)
}

// prepare sets the deadline of a request and records it in the ledger before it is sent.
func (c *caller) prepare(q *Request) {
	q.Sent = time.Now()
	q.Deadline = q.Sent.Add(q.Route.Timeout)
	c.begin(q)
}

// begin records a request in the ledger before it is sent.
func (c *caller) begin(q *Request) {
	q.Kept = c.answered > 0
	c.site.ledger.Sent(*q)
	_ = c.conn.SetDeadline(q.Deadline.Add(responseSlack))
}

// roundTrip sends a request, waits for the response and records it.
func (c *caller) roundTrip(q *Request) Answer {
	if _, err := c.conn.Write([]byte(q.encode())); err != nil {
		return c.fail(q, time.Time{}, err)
	}
	written := time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.Route.Method})
	if err != nil {
		return c.fail(q, written, err)
	}
	begun := time.Now()
	body, err := io.ReadAll(resp.Body)
	a := Answer{At: time.Now(), Begun: begun, Status: resp.StatusCode, Seal: standin.SealOf(resp.Header), Body: string(body), Complete: err == nil, Err: err, Written: written}
	a.Reason = resp.Header.Get(protocol.HeaderReason)
	a.RetryAfter = retryAfter(resp.Header)
	a.Quarantined = a.Reason == string(coordination.ReasonQuarantined)
	c.site.ledger.Answered(q.ID, a)
	c.answered++
	if c.usesLeft--; err != nil || resp.Close || c.usesLeft <= 0 {
		c.disconnect()
	}
	return a
}

func (c *caller) fail(q *Request, written time.Time, err error) Answer {
	a := Answer{At: time.Now(), Err: err, Written: written}
	c.site.ledger.Answered(q.ID, a)
	c.disconnect()
	return a
}

// cancel sends a request and closes the connection without reading the response.
func (c *caller) cancel(q *Request) Answer {
	_, _ = c.conn.Write([]byte(q.encode()))
	time.Sleep(rand.N(maxWork))
	c.site.ledger.Disconnected(q.ID, time.Now())
	c.disconnect()
	return Answer{}
}

// pause sleeps for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
