// This file plays callers. Each keeps a connection to one daemon for some
// requests and uses it until the daemon ends it.

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

// Figures of callers.
const (
	requestsPerConn = 20
	leastThink      = 40 * time.Millisecond
	mostThink       = 140 * time.Millisecond
	callerPatience  = 1500 * time.Millisecond // beyond the deadline
	mostRequestBody = 40_000
	refusedPause    = 300 * time.Millisecond
	leaveAlways     = 2 // of 100 requests
	topics          = 7 // of chats
)

// callerFaults are what all callers do at the moment.
type callerFaults struct {
	leave  atomic.Int64 // of 100 requests, how many are left early
	repeat atomic.Int64 // how often a failed request is sent again at once
}

// caller is one client.
type caller struct {
	site        *site
	number      int
	sent        int
	conn        net.Conn
	reader      *bufio.Reader
	daemon      int
	incarnation int
	uses        int
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		pause(ctx, leastThink+rand.N(mostThink-leastThink))
		if !c.connected() && !c.connect() {
			pause(ctx, refusedPause)
			continue
		}
		q := c.draw()
		a := c.send(&q)
		for range c.site.callerFaults.repeat.Load() {
			if a.Status/100 == 2 || (!c.connected() && !c.connect()) {
				break
			}
			q = c.draw()
			a = c.send(&q)
		}
	}
}

func (c *caller) connected() bool { return c.conn != nil }

func (c *caller) hangUp() {
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
	c.uses = 1 + rand.IntN(requestsPerConn)
	return true
}

func (c *caller) draw() Request {
	route, prefix := routes[rand.IntN(len(routes))], "c"
	if c.site.steady != nil {
		route, prefix = steadyRoute(), steadyPrefix
	}
	c.sent++
	q := Request{
		ID: fmt.Sprintf("%s%d-%d", prefix, c.number, c.sent), Route: route, Key: c.site.drawKey(),
		Target: fmt.Sprintf("%s%d?n=%d", route.Prefix, rand.IntN(100), c.sent), Daemon: c.daemon, Incarnation: c.incarnation,
	}
	q.Subject, q.Tokens = int(hashOf(q.Target)%topics), shortTokens
	if c.site.refuses && rand.IntN(pollOneIn) == 0 {
		q = c.poll(q)
	}
	if s := c.site.steady; s != nil {
		q.Subject, q.Tokens = s.drawPrompt(time.Since(c.site.begun))
	}
	if route.Method == http.MethodPost {
		q.Body = strings.Repeat("b", 1+rand.IntN(500))
		if rand.IntN(20) == 0 {
			q.Body = strings.Repeat("B", mostRequestBody)
		}
	}
	return q
}

// text returns a request as it goes out.
func (q *Request) text() string {
	r := standin.CallerRequest{
		Method: q.Route.Method, Target: q.Target, Host: routeHost, ID: q.ID, Key: q.Key, Timeout: q.Route.Timeout,
		Body: q.Body, Chunked: hashOf(q.ID)%3 == 0,
	}
	if q.Route.Stream {
		r.Prompt = fmt.Sprintf("aa:800,%x:%d,%x:250", q.Subject+1, q.Tokens, hashOf(q.ID))
	}
	return r.Text()
}

// send sends one request and waits for its answer, or leaves.
func (c *caller) send(q *Request) Answer {
	c.begin(q)
	if rand.Int64N(100) < leaveAlways+c.site.callerFaults.leave.Load() {
		return c.abandon(q)
	}
	return c.exchange(q)
}

// begin notes a request that is about to be sent.
func (c *caller) begin(q *Request) {
	q.Sent = time.Now()
	q.Deadline = q.Sent.Add(q.Route.Timeout)
	c.site.ledger.Sent(*q)
	_ = c.conn.SetDeadline(q.Deadline.Add(callerPatience))
}

// exchange sends a request and waits for its answer.
func (c *caller) exchange(q *Request) Answer {
	if _, err := c.conn.Write([]byte(q.text())); err != nil {
		return c.failed(q, err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.Route.Method})
	if err != nil {
		return c.failed(q, err)
	}
	begun := time.Now()
	body, err := io.ReadAll(resp.Body)
	a := Answer{At: time.Now(), Begun: begun, Status: resp.StatusCode, Seal: standin.Sealed(resp.Header), Body: string(body), Complete: err == nil, Err: err}
	a.Reason = resp.Header.Get(protocol.HeaderReason)
	a.Quarantined = a.Reason == string(coordination.ReasonHeldBack)
	c.site.ledger.Answered(q.ID, a)
	if c.uses--; err != nil || resp.Close || c.uses <= 0 {
		c.hangUp()
	}
	return a
}

func (c *caller) failed(q *Request, err error) Answer {
	a := Answer{At: time.Now(), Err: err}
	c.site.ledger.Answered(q.ID, a)
	c.hangUp()
	return a
}

// abandon sends a request and closes the connection before its answer.
func (c *caller) abandon(q *Request) Answer {
	_, _ = c.conn.Write([]byte(q.text()))
	time.Sleep(rand.N(mostWork))
	c.site.ledger.Disconnected(q.ID, time.Now())
	c.hangUp()
	return Answer{}
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
