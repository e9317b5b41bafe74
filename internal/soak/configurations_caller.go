// This file simulates the callers of runs with configurations in series: they keep their connections, and take
// streams up again that break off.

package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
	"hingewinch.org/hingewinch/protocol"
)

// pacedRoute is a route, its load and how long its responses take.
type pacedRoute struct {
	Route
	Rate      float64       // requests a second
	Events    int           // of a stream; 0: no stream
	Work      time.Duration // of a response that is no stream
	Resumable bool
	FirstMS   int // latency target of the first event
	EventMS   int // latency target between two events
}

// pacedRoutes are the routes of the incident.
var pacedRoutes = []*pacedRoute{
	{Route: Route{Name: "dispute-review", Prefix: "/dispute/", Method: http.MethodPost, Stream: true, Attempts: 1, Timeout: 10 * time.Second}, Rate: 31.6, Events: 42, FirstMS: 400, EventMS: 300},
	{Route: Route{Name: "refund-draft", Prefix: "/refund/", Method: http.MethodPost, Stream: true, Repeatable: true, Attempts: 2, Timeout: 8 * time.Second}, Rate: 118, Events: 32, Resumable: true, FirstMS: 400, EventMS: 300},
	{Route: Route{Name: "ticket-read", Prefix: "/ticket/", Method: http.MethodPost, Stream: true, Attempts: 1, Timeout: 2500 * time.Millisecond}, Rate: 85.5, Events: 3, FirstMS: 400, EventMS: 300},
	{Route: Route{Name: "entry-pass", Prefix: "/entry/", Method: http.MethodPost, Attempts: 1, Timeout: 1500 * time.Millisecond}, Rate: 58.9, Work: 60 * time.Millisecond, FirstMS: 300},
	{Route: Route{Name: "exit-confirm", Prefix: "/exit/", Method: http.MethodPost, Repeatable: true, Attempts: 2, Timeout: 1500 * time.Millisecond}, Rate: 23.6, Work: 60 * time.Millisecond, FirstMS: 300},
}

func routeOfPath(path string) *pacedRoute {
	for _, r := range pacedRoutes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return pacedRoutes[0]
}

// exchangeRecord is a request as its caller saw it.
type exchangeRecord struct {
	ID          string        `json:"id"`
	Route       string        `json:"route"`
	Daemon      int           `json:"daemon"`
	Incarnation int           `json:"incarnation"`
	Kept        bool          `json:"kept"` // the connection had carried a request before
	Sent        time.Time     `json:"sent"`
	Ended       time.Time     `json:"ended"`
	Timeout     time.Duration `json:"timeout"`
	Status      int           `json:"status"` // 0: none
	Reason      string        `json:"reason"` // of a refusal
	From        int           `json:"from"`   // events that the caller had before
	Events      int           `json:"events"` // events of this response
	Complete    bool          `json:"complete"`
	Err         string        `json:"err"`
}

// keptConns are the callers' connections that wait for a next request. It is safe for concurrent use.
type keptConns struct {
	mu   sync.Mutex
	idle []*keptConn
}

type keptConn struct {
	net.Conn
	reader              *bufio.Reader
	daemon, incarnation int
	uses                int
}

const (
	// keptUses is after how many requests a caller closes its connection.
	keptUses = 200
	// callerPatience is how much longer than its deadline a caller waits for a response.
	callerPatience = time.Second
	maxTakeUps     = 3 // of one stream
	pacedKey       = "caller-key"
)

func (k *keptConns) take(f *fleet) (*keptConn, error) {
	k.mu.Lock()
	for len(k.idle) > 0 {
		i := rand.IntN(len(k.idle))
		c := k.idle[i]
		k.idle = append(k.idle[:i], k.idle[i+1:]...)
		if f.daemons[c.daemon].isReady() {
			k.mu.Unlock()
			return c, nil
		}
		_ = c.Close()
	}
	k.mu.Unlock()
	d, ok := f.pick(rand.IntN(1 << 16))
	if !ok {
		return nil, errNoDaemon
	}
	raw, err := net.DialTimeout("tcp4", d.callers.Address(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: raw, reader: bufio.NewReader(raw), daemon: d.number, incarnation: d.currentIncarnation()}, nil
}

func (k *keptConns) put(c *keptConn) {
	if c.uses >= keptUses {
		_ = c.Close()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = append(k.idle, c)
}

// call sends a request, and takes its stream up again if it breaks off.
func (w *configurationsRun) call(ctx context.Context, r *pacedRoute, id string) {
	deadline, have := time.Now().Add(r.Timeout), 0
	for n := range maxTakeUps + 1 {
		if ctx.Err() != nil || time.Until(deadline) < time.Second/2 && n > 0 {
			return
		}
		e := w.exchange(r, fmt.Sprintf("%s-%d", id, n), id+"-0", have, time.Until(deadline))
		have += e.Events
		if e.Complete || !r.Resumable {
			return
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// exchange sends one request and reads its response.
func (w *configurationsRun) exchange(r *pacedRoute, id, first string, have int, timeout time.Duration) *exchangeRecord {
	e := &exchangeRecord{ID: id, Route: r.Name, From: have, Timeout: timeout}
	c, err := w.conns.take(w.fleet)
	if err != nil {
		e.Err, e.Daemon = "no connection to a daemon", -1
		return e
	}
	e.Daemon, e.Incarnation, e.Kept, e.Sent = c.daemon, c.incarnation, c.uses > 0, time.Now()
	c.uses++
	defer func() {
		e.Ended = time.Now()
		w.record(e)
	}()
	q := standin.CallerRequest{
		Method: r.Method, Target: r.Prefix + id, Host: routeHost, ID: id, Key: pacedKey, Timeout: timeout, Body: "body", LastEventID: have,
	}
	if have > 0 {
		q.Resumes = first
	}
	if r.Stream {
		q.Prompt = fmt.Sprintf("p%d:900,%s:80", hashOf(first)%200, first)
	}
	_ = c.SetDeadline(e.Sent.Add(timeout + callerPatience))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		e.Err = "write: " + err.Error()
		_ = c.Close()
		return e
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		e.Err = "read header: " + err.Error()
		_ = c.Close()
		return e
	}
	e.Status, e.Reason = resp.StatusCode, resp.Header.Get(protocol.HeaderReason)
	body, err := io.ReadAll(resp.Body)
	if e.Status == http.StatusOK {
		e.Events = bytes.Count(body, []byte("\n\n"))
	}
	if err != nil {
		e.Err = "read body: " + err.Error()
		_ = c.Close()
		return e
	}
	e.Complete = e.Status == http.StatusOK
	if e.Complete && r.Stream && have+e.Events != r.Events {
		e.Complete, e.Err = false, fmt.Sprintf("ended as complete after %d of %d events", have+e.Events, r.Events)
	}
	if resp.Close {
		_ = c.Close()
	} else {
		w.conns.put(c)
	}
	return e
}

// send sends the requests of a route, at random times, until ctx is done.
func (w *configurationsRun) send(ctx context.Context, r *pacedRoute) {
	var calls sync.WaitGroup
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / r.Rate * float64(time.Second)))
		pause(ctx, time.Until(next))
		calls.Go(func() { w.call(w.ctx, r, fmt.Sprintf("%s-%d", r.Name, n)) })
	}
	calls.Wait()
}
