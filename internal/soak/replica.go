// This file plays replicas: they run requests, report to the ledger, and misbehave as
// their behaviour says.

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

// behaviour says how a replica misbehaves. Each share is of the requests.
type behaviour struct {
	Fail    float64 // answers 500 after the work
	Shed    float64 // refuses without having run
	Hang    float64 // never answers
	Break   float64 // ends its answer half-way
	Lose    float64 // runs and resets the connection
	Surplus float64 // answers twice, at once or in the place of the next answer
	// Rest is what a refusal asks the daemon for; 0: nothing. Of its refusals, one in
	// unreadableOneIn asks with a text that is no time.
	Rest time.Duration
}

// ordinary is the behaviour of a replica that is well: now and then an answer breaks
// off, is lost or comes twice.
var ordinary = behaviour{Break: 0.01, Lose: 0.004, Surplus: 0.02}

// greyBehaviours are the variants of a grey replica.
var greyBehaviours = []behaviour{
	{Fail: 0.5}, {Shed: 0.6}, {Hang: 0.3}, {Break: 0.3}, {Lose: 0.2}, {Surplus: 0.6}, {Fail: 1}, {Surplus: 0.3, Lose: 0.1, Break: 0.1},
}

// Replica is one replica from its start to its end.
type Replica struct {
	ID       string
	Service  string
	Domain   string
	slots    int
	born     time.Time
	ledger   *Ledger
	listener net.Listener

	mu        sync.Mutex
	behaviour behaviour
	busy      int
	conns     map[net.Conn]struct{}
	ended     bool
	leaving   bool // it says in all answers that it leaves
	coldUntil time.Time
	arrivals  []time.Time // of the last second, while it is cold
	// crashed is called when a request has crashed the replica.
	crashed func()
}

// startReplica listens on a loopback address.
func startReplica(id, service, domain string, slots int, l *Ledger) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, Domain: domain, slots: slots, born: time.Now(), behaviour: ordinary, ledger: l, listener: listener, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// SetBehaviour changes how it misbehaves.
func (r *Replica) SetBehaviour(m behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = m
}

// TurnCold makes it cold until a time.
func (r *Replica) TurnCold(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = until
}

// coldLeft returns how much longer it is cold.
func (r *Replica) coldLeft(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.coldUntil.Sub(now))
}

// fallsOver counts an arrival, and reports whether a cold replica falls over by it: it got
// far more within a second than it bears.
func (r *Replica) fallsOver(now time.Time) bool {
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
	return float64(len(r.arrivals)) > fallOver*coldPerSecond
}

// End closes the listener and resets all connections.
func (r *Replica) End() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
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
		ended := r.ended
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
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		head := standin.ReadRequest(req.Header)
		x := &exchange{Replica: r, conn: c, head: head, id: head.ID, gone: make(chan struct{}), draw: rand.Float64(), stray: &stray}
		watched := make(chan struct{})
		go func() {
			if _, err := reader.Peek(1); err != nil {
				close(x.gone)
			}
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
	mostPadding = 2000
	leastEvents = 2
	moreEvents  = 6
)

// plainBody is what a replica answers to a plain request.
func plainBody(id, replica string) string {
	return "id=" + id + " replica=" + replica + " " + strings.Repeat("x", int(hashOf(id)%mostPadding))
}

// streamEvents are the events of a request's stream, the same at every replica.
func streamEvents(id string) []string {
	n := leastEvents + int(hashOf(id)%moreEvents)
	if isSteady(id) {
		n = steadyEvents
	}
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i+1, id, i+1, n)
	}
	return out
}

// streamBody is the whole stream after some events.
func streamBody(id string, after int) string { return strings.Join(streamEvents(id)[after:], "") }

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
