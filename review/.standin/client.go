package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// class is a kind of request.
type class struct {
	name, method, path, prompt string
	idempotent, stream         bool
	deadline                   time.Duration
	retries                    int
}

// outcome is what a client saw of one request.
type outcome struct {
	class   string
	daemon  int
	sent    time.Time
	first   bool // the first try was answered with success; of a stream: it began
	served  bool
	status  int    // of the last try; 0: none
	reason  string // that the daemon gave for its last refusal
	retryIn time.Duration
}

// clients send requests and keep what became of them.
type clients struct {
	fleet  *fleet
	record *record
	lastID atomic.Int64
	http   *http.Client

	mu  sync.Mutex
	all []outcome
}

const host = "ficu95.example"

const key = "n2ctnfzs989anu6wsjnb"

func newClients(f *fleet, r *record) *clients {
	return &clients{fleet: f, record: r, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request to a daemon, or to a random one if that is negative, and sends it again as
// PROTOCOL.md allows.
func (c *clients) send(q class, to int) {
	if to < 0 {
		to = rand.IntN(len(c.fleet.daemons))
	}
	o := outcome{class: q.name, daemon: to, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	end := o.sent.Add(q.deadline)
	for try := 0; ; try++ {
		c.try(ctx, &o, q, to, try, time.Until(end))
		left := time.Until(end)
		promised := o.status == 429 || o.status == 503 || o.status == 408 || o.status == 421
		if o.served || try >= q.retries || !q.idempotent && !promised || left <= 0 {
			break
		}
		pause(min(o.retryIn, left/3), nil)
		to = rand.IntN(len(c.fleet.daemons))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, o)
}

// try sends one client attempt.
func (c *clients) try(ctx context.Context, o *outcome, q class, to, try int, left time.Duration) {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	d := c.fleet.daemons[to]
	body := ""
	if q.method == http.MethodPost {
		body = "request " + id
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.callers+q.path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if q.prompt != "" {
		req.Header.Set("Model-Name", "m")
		req.Header.Set("Token-Count", "1400,80")
		req.Header.Set("Prompt-Prefix", q.prompt+","+id[4:]+":130")
	}
	c.record.add("sent", map[string]any{"id": id, "class": q.name, "to": d.name, "try": try})
	o.status, o.retryIn, o.reason = 0, 0, ""
	resp, err := c.http.Do(req)
	if err != nil {
		c.record.add("answered", map[string]any{"id": id, "class": q.name, "error": err.Error()})
		return
	}
	defer resp.Body.Close()
	o.status, o.reason = resp.StatusCode, resp.Header.Get("X-Outcome-Reason")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryIn = time.Duration(s * float64(time.Second))
	}
	sealed := resp.StatusCode < 300 && resp.Header.Get("Replica-Seal") != ""
	reader := bufio.NewReader(resp.Body)
	if q.stream && sealed {
		if _, err := reader.Peek(1); err == nil && try == 0 {
			o.first = true
		}
	}
	text, err := io.ReadAll(reader)
	o.served = sealed && err == nil && (!q.stream || strings.Count(string(text), "id: ") == events)
	if !q.stream && try == 0 {
		o.first = o.served
	}
	fields := map[string]any{"id": id, "class": q.name, "status": o.status, "served": o.served}
	if o.reason != "" {
		fields["reason"] = o.reason
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.record.add("answered", fields)
}

// tally counts requests.
type tally struct{ all, first, served int }

func (t tally) String() string {
	return fmt.Sprintf("%d requests, %d answered with success at the first try, %d at all", t.all, t.first, t.served)
}

func (t tally) firstShare() float64 { return float64(t.first) / float64(max(1, t.all)) }

func (t tally) servedShare() float64 { return float64(t.served) / float64(max(1, t.all)) }

// count counts the requests of a class that were sent within a time, and the reasons of their refusals.
func (c *clients) count(name string, from, to time.Time) (t tally, reasons map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reasons = make(map[string]int)
	for _, o := range c.all {
		if o.class != name || o.sent.Before(from) || !o.sent.Before(to) {
			continue
		}
		t.all++
		if o.first {
			t.first++
		}
		if o.served {
			t.served++
		} else {
			reasons[fmt.Sprintf("%d %s", o.status, o.reason)]++
		}
	}
	return t, reasons
}
