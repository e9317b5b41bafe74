// This file records what callers and replicas observed, and what was done to the fleet.

package soak

import (
	"sync"
	"time"
)

// Route is a configured route with the properties that the checks need.
type Route struct {
	Name   string
	Prefix string
	Method string
	// Repeatable says whether a request may run more than once, Stream whether
	// its response is a stream.
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
	Subject     int      // of a chat: requests with the same subject share their prompt
	Tokens      int      // of that prompt
	Middle      []string // further parts of the prompt, before the last one
	Crashing    int      // number of the crashing request, from 1; 0 for an ordinary request
	// Resumes is the request that brought the first event of the stream that this one resumes, and After
	// the number of the last event that the caller has; empty and 0: it does not resume any.
	Resumes string
	After   int
	// Service, Workspace and Urgency are set for a request to a crowded service.
	Service   string
	Workspace string
	Urgency   int  // 0 is the most urgent
	Generates bool // the service has a model, and the request a prompt
	Kept      bool // it was sent on a connection on which an earlier request was answered
}

// by returns the process of a daemon that accepted the request.
func (q *Request) by() processID { return processID{q.Daemon, q.Incarnation} }

// Arrival records that a request reached a replica.
type Arrival struct {
	Replica  string
	Service  string
	At       time.Time
	Deadline time.Time // as the daemon sent it to the replica
	// Conn names the connection, as its link does.
	Conn string
}

// Run is the execution of a request by a replica.
type Run struct {
	Arrival
	Method, Target, Body, Workspace string
	Status                          int       // of the replica's response; 0: none yet
	Ended                           time.Time // zero: still running
	// Written is how many bytes of its response the replica has written, and LastWrite when it wrote the last ones.
	Written   int
	LastWrite time.Time
	Unread    bool // the replica responds before it has read the body, and has not read all of it
	Unframed  bool // its response has neither a length nor chunks
	// BrokeOff is when the replica broke its response off; zero: it did not.
	BrokeOff time.Time
}

// Answer is the response that a caller received.
type Answer struct {
	At          time.Time // when it ended
	Status      int       // 0: none
	Seal        string    // the replica that sealed it; may be empty
	Body        string
	Begun       time.Time     // when its header was read
	Reason      string        // of a refusal, as the daemon reports it
	RetryAfter  time.Duration // of a refusal, when the caller may come back
	Quarantined bool          // a refusal because the request is quarantined
	Complete    bool          // it ended as complete
	Err         error         // why it is not complete
	Written     time.Time     // when the last byte of the request was written; zero: it was not written whole
}

// record is everything recorded about a request.
type record struct {
	Request
	known        bool // a caller sent it
	arrivals     []Arrival
	runs         []*Run
	departing    []string  // replicas that announced their departure in their responses to it
	disconnected time.Time // when the caller disconnected before its response
	answer       *Answer
}

// span is a period, usually one in which something was disturbed.
type span struct{ from, to time.Time }

// routeChange records that a route leads to a service from a time on.
type routeChange struct {
	at      time.Time
	service string
}

// Ledger records the events of a run. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	observations
	// Results of checks.
	found            map[string]Violation
	excused          map[string]Violation // backoffs that were violated, but that the daemon can't have read
	maxOverloadShare float64              // the largest fraction that LIMIT bounds
	borderEnds       BorderEnds           // at the last check
	losses           map[lossCause]int    // responses that were broken off, at the last check
	maxMemory        int64                // of a daemon's process, in bytes
}

type keyHistory struct {
	workspace string
	added     time.Time
	removed   time.Time // zero: never
}

func newLedger(b bounds) *Ledger {
	return &Ledger{found: make(map[string]Violation), excused: make(map[string]Violation), observations: observations{
		bounds: b, requests: make(map[string]*record), daemons: make(map[int][]span), replicas: make(map[string][]span),
		shutdowns: make(map[int][]span), departures: make(map[string][]span), joined: make(map[string]map[string]time.Time), routes: make(map[string][]routeChange),
		keys:    make(map[string]*keyHistory),
		domains: make(map[string]string), evacuations: make(map[string][]span), cold: make(map[string][]coldSpan),
		crashes: make(map[int][]crash), freezes: make(map[int][]span), setAside: make(map[string][]span), builds: make(map[processID]Build), begins: make(map[processID]time.Time), backoffs: make(map[processID][]backoffRequest),
		versions:        make(map[string][]versionSpan),
		crowdedServices: make(map[string]*crowdedService),
		replicaEnds:     make(map[string][]time.Time), orderlyEnds: make(map[string][]time.Time), hangUps: make(map[int][]time.Time), interruptions: make(map[int][]span), kills: make(map[int][]time.Time),
		sources: make(map[string]int), stalls: make(map[int][]span), outOfStep: make(map[int][]span),
		connection: func(string, time.Time) (connRecord, bool) { return connRecord{}, false },
		wasRead:    func(string, time.Time) (bool, string) { return true, "" },
	}}
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

// Sent records a request before its first byte is written.
func (l *Ledger) Sent(q Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(q.ID)
	r.Request, r.known = q, true
}

// Disconnected records that the caller of a request closed its connection.
func (l *Ledger) Disconnected(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).disconnected = at
}

// Answered records the response that a caller received.
func (l *Ledger) Answered(id string, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(id).answer = &a
}

// Arrived records a request that reached a replica, whether or not it runs.
func (l *Ledger) Arrived(id string, a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.arrivals = append(r.arrivals, a)
}

// Began records that a replica began to run a request.
func (l *Ledger) Began(id string, run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(id)
	r.runs = append(r.runs, &run)
	return &run
}

// Ended records the end of a run; status 0 is no response.
func (l *Ledger) Ended(run *Run, status int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Status, run.Ended = status, at
}

// Wrote records that a replica wrote bytes of its response.
func (l *Ledger) Wrote(run *Run, bytes int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Written += bytes
	run.LastWrite = at
}

// BrokeOff records that a replica is about to break its response off.
func (l *Ledger) BrokeOff(run *Run, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.BrokeOff.IsZero() {
		run.BrokeOff = at
	}
}

// ReplicaTerminated records that a replica is about to reset all its connections.
func (l *Ledger) ReplicaTerminated(replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicaEnds[replica] = append(l.replicaEnds[replica], at)
}

// ConfigurationSent records that a configuration is about to be written to the store.
func (l *Ledger) ConfigurationSent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configurations = append(l.configurations, span{at, at.Add(time.Hour)})
}

// ConfigurationAcknowledged records that the store accepted the configuration that was sent at a time.
func (l *Ledger) ConfigurationAcknowledged(sent, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.configurations, sent, at)
}

// HungUp records that a daemon is about to get a SIGHUP.
func (l *Ledger) HungUp(daemon int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hangUps[daemon] = append(l.hangUps[daemon], at)
}

// ConnectsFrom records the IP address from which a daemon, and no other, connects to replicas.
func (l *Ledger) ConnectsFrom(ip string, daemon int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[ip] = daemon
}

// Killed records that a fault is about to kill a daemon.
func (l *Ledger) Killed(daemon int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kills[daemon] = append(l.kills[daemon], at)
}

// InterruptDaemon records a disturbance that may end connections of a daemon's callers: its process is killed or
// suspended, or their link is disturbed. It is recorded as a disturbance of the daemon too.
func (l *Ledger) InterruptDaemon(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interruptions[i] = append(l.interruptions[i], span{from, to})
}

// EndDaemonInterruption records the end of an interruption that was recorded when it began.
func (l *Ledger) EndDaemonInterruption(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.interruptions[i], from, to)
}

// DisturbDaemon records an unplanned disturbance of a daemon or its links.
func (l *Ledger) DisturbDaemon(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.daemons[i] = append(l.daemons[i], span{from, to})
}

// DisturbReplica records a disturbance of a replica or its link.
func (l *Ledger) DisturbReplica(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicas[id] = append(l.replicas[id], span{from, to})
}

// EndDaemonDisturbance records the end of a daemon's disturbance that was recorded when it began.
func (l *Ledger) EndDaemonDisturbance(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.daemons[i], from, to)
}

// EndReplicaDisturbance records the end of a replica's disturbance.
func (l *Ledger) EndReplicaDisturbance(id string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.replicas[id], from, to)
}

// EndStoreDisturbance records the end of the store's disturbance.
func (l *Ledger) EndStoreDisturbance(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.store, from, to)
}

// ShutdownEnded records the end of a graceful shutdown.
func (l *Ledger) ShutdownEnded(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeSpan(l.shutdowns[i], from, to)
}

func closeSpan(list []span, from, to time.Time) {
	for k := range list {
		if list[k].from.Equal(from) {
			list[k].to = to
		}
	}
}

// ShutdownTimedOut records a graceful shutdown that had to be ended by a kill. It breaks a
// guarantee unless the daemon was disturbed meanwhile.
func (l *Ledger) ShutdownTimedOut(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if noneOverlaps(l.daemons[i], from.Add(-l.bounds.SyncTime), to) {
		l.terminations = append(l.terminations, Violation{Promise: "LOST", Subject: "d" + itoa(i), At: to, Detail: "did not terminate within its grace period"})
	}
}

// DisturbStore records a disturbance of the store.
func (l *Ledger) DisturbStore(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store = append(l.store, span{from, to})
}

// ShutdownBegan records a graceful shutdown.
func (l *Ledger) ShutdownBegan(i int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shutdowns[i] = append(l.shutdowns[i], span{from, to})
}

// Departed records that the store accepted a replica's departure, announced or not.
func (l *Ledger) Departed(replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	far := at.Add(time.Hour)
	if noneOverlaps(l.departures[replica], at, far) {
		l.departures[replica] = append(l.departures[replica], span{at, far})
	}
}

// Returned records that the store accepted a new entry of a replica that had left, under the same id.
func (l *Ledger) Returned(replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.departures[replica] {
		if s := &l.departures[replica][i]; s.to.After(at) {
			s.to = at
		}
	}
}

// RouteTo records that the store accepted a configuration in which a route leads to a
// service.
func (l *Ledger) RouteTo(route, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routes[route] = append(l.routes[route], routeChange{at, service})
}

// KeyAdded records that the store accepted a configuration with a new key.
func (l *Ledger) KeyAdded(key, workspace string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys[key] = &keyHistory{workspace: workspace, added: at}
}

// KeyRemoved records that the store accepted a configuration without a key.
func (l *Ledger) KeyRemoved(key string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.keys[key]; k != nil {
		k.removed = at
	}
}

// TerminatedUnexpectedly records that a daemon's process terminated although the run did not stop it.
func (l *Ledger) TerminatedUnexpectedly(daemon string, at time.Time, why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminations = append(l.terminations, Violation{Promise: "RUNS", Subject: daemon, At: at, Detail: "terminated by itself: " + why})
}

// noneOverlaps reports whether no span of a list overlaps a period.
func noneOverlaps(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && s.to.After(from) {
			return false
		}
	}
	return true
}
