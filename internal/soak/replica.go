// This file simulates replicas: they run requests, record them in the ledger, and inject the
// failures of their current behaviour.

package soak

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// behaviour describes how a replica fails. Each float64 is the fraction of its requests.
type behaviour struct {
	Fail          float64 // responds with 500 after the work
	Shed          float64 // refuses the request without running it
	Hang          float64 // never responds
	Truncate      float64 // truncates the response
	ResetAfterRun float64 // runs the request and resets the connection
	Surplus       float64 // responds twice, at once or before the next response on the connection
	// Backoff is the backoff that a refusal requests from the daemon; 0: none. One refusal in
	// invalidBackoffOneIn requests it with a text that isn't a valid duration.
	Backoff time.Duration
}

// ordinary is the behaviour of a healthy replica: occasionally a response is truncated, lost or
// sent twice.
var ordinary = behaviour{Truncate: 0.01, ResetAfterRun: 0.004, Surplus: 0.02}

// greyBehaviours are the variants of a grey failure: the replica is up but fails many requests.
var greyBehaviours = []behaviour{
	{Fail: 0.5}, {Shed: 0.6}, {Hang: 0.3}, {Truncate: 0.3}, {ResetAfterRun: 0.2}, {Surplus: 0.6}, {Fail: 1}, {Surplus: 0.3, ResetAfterRun: 0.1, Truncate: 0.1},
}

// Replica simulates one replica process.
type Replica struct {
	ID        string
	Service   string
	Domain    string
	version   string // of its software, as its entry gives it; empty: none
	unframed  bool   // a part of its responses ends with the connection
	slots     int
	crowded   *crowdedReplica // nil: requests beyond the slots are refused at once
	startTime time.Time
	ledger    *Ledger
	listener  net.Listener

	mu         sync.Mutex
	behaviour  behaviour
	busy       int // slots in use
	conns      map[net.Conn]struct{}
	terminated bool
	departing  bool // it announces its departure in every response
	coldUntil  time.Time
	// silentUntil is until when it sends nothing.
	silentUntil time.Time
	arrivals    []time.Time // within the last second, recorded while the replica is cold
	// crashed is called when a request has crashed the replica.
	crashed func()
	// fell is called when a brittle replica had to reject too much.
	fell func()
}

// startReplica starts a replica on a free port of the loopback address.
func startReplica(id, service, domain string, slots int, l *Ledger) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return serveReplica(listener, id, service, domain, slots, l), nil
}

// serveReplica starts a replica that accepts connections from a listener.
func serveReplica(listener net.Listener, id, service, domain string, slots int, l *Ledger) *Replica {
	r := &Replica{ID: id, Service: service, Domain: domain, slots: slots, startTime: time.Now(), behaviour: ordinary, ledger: l, listener: listener, conns: make(map[net.Conn]struct{})}
	if service == serviceCrowded {
		r.crowded = newCrowdedReplica(slots, crowdedWork)
	}
	go r.accept()
	return r
}

// Address returns the address on which the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// SetBehaviour replaces the replica's behaviour, for requests that arrive from now on.
func (r *Replica) SetBehaviour(m behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = m
}

// TurnCold makes the replica cold until a time.
func (r *Replica) TurnCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// coldRemaining returns how much longer the replica is cold.
func (r *Replica) coldRemaining(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.coldUntil.Sub(now))
}

// failsWhileCold records an arrival and reports whether a cold replica fails under it, because it
// received more than coldFailureFactor times coldPerSecond requests within a second.
func (r *Replica) failsWhileCold(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.coldUntil) {
		r.arrivals = nil
		return false
	}
	r.arrivals = append(r.arrivals, now)
	for now.Sub(r.arrivals[0]) > time.Second {
		r.arrivals = r.arrivals[1:]
	}
	return float64(len(r.arrivals)) > coldFailureFactor*coldPerSecond
}

// Terminate terminates the replica: it closes the listener and resets all connections.
func (r *Replica) Terminate() {
	// Under the lock: if several requests call this at once, none may reset connections while
	// another call is still closing the listener, which would accept the daemon's check.
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	if !r.terminated {
		r.ledger.ReplicaTerminated(r.ID, time.Now())
	}
	r.terminated = true
	for c := range r.conns {
		resetConn(c.(*net.TCPConn))
	}
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		ended := r.terminated
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		if ended {
			_ = c.Close()
			return
		}
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var stray string
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		head := standin.ReadRequest(req.Header)
		x := &exchange{Replica: r, conn: c, head: head, id: head.ID, disconnected: make(chan struct{}), random: rand.Float64(), surplus: &stray}
		watch := func() {
			if _, err := reader.Peek(1); err != nil {
				close(x.disconnected)
			}
		}
		var body []byte
		if r.isUploadRequest(req) {
			x.bodyRead = make(chan struct{})
			watch = func() { x.readSlowly(req.Body, reader) }
		} else if body, err = io.ReadAll(req.Body); err != nil {
			return
		}
		watched := make(chan struct{})
		go func() {
			watch()
			close(watched)
		}()
		if !x.serve(req, string(body)) {
			return
		}
		<-watched
	}
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

const (
	maxPadding  = 2000
	minEvents   = 2
	extraEvents = 6
)

// plainBody returns the response body for a request without a stream.
func plainBody(id, replica string) string {
	return "id=" + id + " replica=" + replica + " " + strings.Repeat("x", int(hashOf(id)%maxPadding))
}

// streamEvents returns the events of the response stream of a request. They are the same at
// every replica, so that a stream can be resumed at another one.
func streamEvents(id string) []string {
	n := minEvents + int(hashOf(id)%extraEvents)
	switch {
	case isSteady(id):
		n = steadyEvents
	case isLongStream(id):
		n = longEvents
	case isUpload(id):
		n = uploadEvents
	}
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i+1, id, i+1, n)
	}
	return out
}

// streamBody returns the remainder of the stream of a request after a number of events.
func streamBody(id string, after int) string { return strings.Join(streamEvents(id)[after:], "") }

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
