// This file plays callers.

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is one attempt of a caller.
type call struct {
	to      *daemon
	method  string
	path    string
	id      string
	work    work
	timeout time.Duration
	prompt  string // empty: none
	last    int    // number of the last event of a stream that it resumes; 0: none
	resumes string // the attempt that brought the first event
	// event is called with each event's number; nil: not needed.
	event func(n int)
	// broken is closed when the caller's connection is to break; nil: it does not.
	broken <-chan struct{}
}

// answer is what a caller got.
type answer struct {
	status  int
	seal    string
	retry   time.Duration
	body    string
	events  int   // number of the last event
	err     error // nil: the answer is complete
	connect bool  // no connection could be opened
}

var lastID atomic.Int64

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("9c41d07be2%06x", lastID.Add(1)) }

// send sends a call on a new connection, and reads the answer.
func (w *world) send(c call) (a answer) {
	text, err := json.Marshal(c.work)
	check(err)
	w.notef("caller sends %s to %s: %s %s last %d", c.id, c.to.name, c.method, c.path, c.last)
	defer func() {
		w.notef("caller of %s has status %d, %d bytes, last event %d, error %v", c.id, a.status, len(a.body), a.events, a.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+time.Second)
	defer cancel()
	if c.broken != nil {
		go func() {
			select {
			case <-c.broken:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.to.callers()+c.path, strings.NewReader(string(text)))
	check(err)
	req.Host = host
	req.Header.Set(headerID, c.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(headerDeadline, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.prompt != "" {
		req.Header.Set("Model-Name", "m")
		req.Header.Set("Token-Count", "1460,80")
		req.Header.Set(headerPrompt, c.prompt)
	}
	if c.last > 0 {
		req.Header.Set(headerLast, strconv.Itoa(c.last))
		req.Header.Set(headerResumes, c.resumes)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err, events: c.last, connect: strings.Contains(err.Error(), "dial")}
	}
	defer resp.Body.Close()
	a = answer{status: resp.StatusCode, seal: resp.Header.Get(headerSeal), events: c.last}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	var body strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if number, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && c.work.Events > 0 {
			a.events, _ = strconv.Atoi(number)
			if c.event != nil {
				c.event(a.events)
			}
		}
		if err != nil {
			a.body = body.String()
			if err != io.EOF {
				a.err = err
			}
			return a
		}
	}
}
