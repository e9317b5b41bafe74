// This file keeps what callers and replicas saw, and what was done to the fleet.

package soak

import (
	"sync"
	"time"
)

// Route is one route of a run.
type Route struct {
	Name   string
	Prefix string
	Method string
	// Repeatable says whether a request may run more than once, Stream whether
	// its answer is a stream.
	Repeatable bool
	Stream     bool
	Attempts   int
	Timeout    time.Duration
}

// Request is a caller's request, as it was sent.
type Request struct {
	ID          string
	Route       *Route
	Target      string // path and query
	Body        string
	Key         string
	Daemon      int
	Incarnation int // of the daemon
	Sent        time.Time
	Deadline    time.Time
	Subject     int // of a chat: requests with one subject share their prompt
	Tokens      int // of that prompt
	Crashing    int // number of the crashing request, from 1; 0: it is an ordinary one
}

// by returns the process of a daemon that took the request.
func (q *Request) by() processLife { return processLife{q.Daemon, q.Incarnation} }

// Arrival is a request as it reached a replica.
type Arrival struct {
	Replica  string
	Service  string
	At       time.Time
	Deadline time.Time // what the daemon gave the replica
}

// Run is the work of a replica on a request.
type Run struct {
	Arrival
	Method, Target, Body, Workspace string
	Status                          int       // of the replica's answer; 0: none yet
	Ended                           time.Time // zero: still at work
}

// Answer is what a caller got.
type Answer struct {
	At     time.Time // when it was over
	Status int       // 0: none
	Seal   string    // the replica that vouches for it; may be empty
	Body   string
	Begun  time.Time // when its header was read
	Reason string    // of a refusal, as the daemon names it
	Held   bool      // a refusal that says that replicas end under the request
	Whole  bool      // it ended as complete
	Err    error     // why it is not whole
}

// record is all that is known of a request.
type record struct {
	Request
	known    bool // a caller sent it
	arrivals []Arrival
	runs     []*Run
	leavers  []string  // replicas that said in their answers to it that they leave
	left     time.Time // the caller left before its answer
	answer   *Answer
}

// span is a time in which something was disturbed.
type span struct{ from, to time.Time }

// change is a fact that holds from a time on.
type change struct {
	at    time.Time
	value string
}

// Ledger is the memory of a run. It is safe for use by many goroutines.
type Ledger struct {
	mu       sync.Mutex
	bounds   bounds
	requests map[string]*record
	order    []*record

	daemons  map[int][]span    // unplanned trouble of a daemon or its links
	replicas map[string][]span // trouble of a replica or its link
	store    []span
	stops    map[int][]span                  // planned stops
	leaving  map[string][]span               // from when the store took a replica's leaving, until it came back
	joined   map[string]map[string]time.Time // when each replica of a service began
	ready    time.Time                       // when all daemons were ready first
	routes   map[string][]change             // a route's service
	keys     map[string]*keyLife
	found    map[string]Violation
	domains  map[string]string           // of replicas
	emptied  map[string][]span           // evacuations of domains, as the store took them
	cold     map[string][]coldSpan       // of replicas
	crowded  float64                     // the greatest share that LIMIT bounds
	ended    []Violation                 // daemons that ended by themselves
	crashes  map[int][]crash             // by number of the crashing request
	restsBy  map[processLife][]restAsked // by the daemon that was asked
	builds   map[processLife]Build
	begins   map[processLife]time.Time // of processes
	restored time.Time                 // when the store came back from a copy of itself first
	freezes  map[int][]span            // of daemons
	aside    map[string][]span         // when replicas rested, or left by their answers alone
	// quietFrom is when the end of the quiet time begins, whose requests must be served.
	quietFrom time.Time
}

type keyLife struct {
	workspace string
	added     time.Time
	removed   time.Time // zero: never
}

// newLedger returns an empty ledger.
func newLedger(b bounds) *Ledger {
	return &Ledger{
		bounds: b, requests: make(map[string]*record), daemons: make(map[int][]span), replicas: make(map[string][]span),
		stops: make(map[int][]span), leaving: make(map[string][]span), joined: make(map[string]map[string]time.Time), routes: make(map[string][]change),
		keys: make(map[string]*keyLife), found: make(map[string]Violation),
		domains: make(map[string]string), emptied: make(map[string][]span), cold: make(map[string][]coldSpan),
		crashes: make(map[int][]crash), freezes: make(map[int][]span), aside: make(map[string][]span), builds: make(map[processLife]Build), begins: make(map[processLife]time.Time), restsBy: make(map[processLife][]restAsked),
	}
}

func (l *Ledger) record(id string) *record {
	r := l.requests[id]
	if r == nil {
		r = &record{}
		l.requests[id] = r
		l.order = append(l.order, r)
	}
	return r
}

// Sent notes a request before its first byte is written.
func (l *Ledger) Sent(q Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(q.ID)
	r.Request, r.known = q, true
}

// Left notes that the caller of a request closed its connection.
func (l *Ledger) Left(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).left = at
}

// Answered notes what a caller got.
func (l *Ledger) Answered(id string, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).answer = &a
}

// Arrived notes a request that reached a replica, run or not.
func (l *Ledger) Arrived(id string, a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.arrivals = append(r.arrivals, a)
}

// Began notes that a replica works on a request.
func (l *Ledger) Began(id string, run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.runs = append(r.runs, &run)
	return &run
}

// Ended notes how a replica's work ended; status 0 is no answer.
func (l *Ledger) Ended(run *Run, status int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Status, run.Ended = status, at
}

// DisturbDaemon notes unplanned trouble of a daemon or its links.
func (l *Ledger) DisturbDaemon(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons[i] = append(l.daemons[i], span{from, to})
}

// DisturbReplica notes trouble of a replica or its link.
func (l *Ledger) DisturbReplica(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[id] = append(l.replicas[id], span{from, to})
}

// Calm notes the end of a daemon's trouble that was noted with its beginning.
func (l *Ledger) Calm(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endSpan(l.daemons[i], from, to)
}

// CalmReplica notes the end of a replica's trouble.
func (l *Ledger) CalmReplica(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endSpan(l.replicas[id], from, to)
}

// CalmStore notes the end of the store's trouble.
func (l *Ledger) CalmStore(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endSpan(l.store, from, to)
}

// StoppedUntil notes the end of a planned stop.
func (l *Ledger) StoppedUntil(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endSpan(l.stops[i], from, to)
}

func endSpan(list []span, from, to time.Time) {
	for k := range list {
		if list[k].from.Equal(from) {
			list[k].to = to
		}
	}
}

// StopTooLong notes a planned stop that had to be ended by a kill. It breaks a
// promise unless the daemon was disturbed meanwhile.
func (l *Ledger) StopTooLong(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if calm(l.daemons[i], from.Add(-l.bounds.Contact), to) {
		l.ended = append(l.ended, Violation{Promise: "LOST", Subject: "d" + itoa(i), At: to, Detail: "did not end within its grace"})
	}
}

// DisturbStore notes trouble of the store.
func (l *Ledger) DisturbStore(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store = append(l.store, span{from, to})
}

// Stopped notes a planned stop.
func (l *Ledger) Stopped(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops[i] = append(l.stops[i], span{from, to})
}

// Leaves notes that the store took a replica's leaving, announced or not.
func (l *Ledger) Leaves(replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	far := at.Add(time.Hour)
	if calm(l.leaving[replica], at, far) {
		l.leaving[replica] = append(l.leaving[replica], span{at, far})
	}
}

// Returns notes that the store took an entry of a replica that had left, under the same id.
func (l *Ledger) Returns(replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.leaving[replica] {
		if s := &l.leaving[replica][i]; s.to.After(at) {
			s.to = at
		}
	}
}

// RouteTo notes that the store took a configuration in which a route goes to a
// service.
func (l *Ledger) RouteTo(route, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[route] = append(l.routes[route], change{at, service})
}

// KeyAdded notes that the store took a configuration with a new key.
func (l *Ledger) KeyAdded(key, workspace string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = &keyLife{workspace: workspace, added: at}
}

// KeyRemoved notes that the store took a configuration without a key.
func (l *Ledger) KeyRemoved(key string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.keys[key]; k != nil {
		k.removed = at
	}
}

// EndedByItself notes that a daemon's process ended although nobody ended it.
func (l *Ledger) EndedByItself(daemon string, at time.Time, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, Violation{Promise: "RUNS", Subject: daemon, At: at, Detail: "ended by itself: " + why})
}

// calm reports whether nothing of a list overlaps a time.
func calm(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && s.to.After(from) {
			return false
		}
	}
	return true
}
