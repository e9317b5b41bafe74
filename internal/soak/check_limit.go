// This file records and checks how evenly replicas were loaded: LIMIT applies while no replica
// of the service was disturbed.

package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// limitBounds are the limits of LIMIT. In each Window in which daemons that are up to date
// sent at least MinRequests requests, a fraction of up to MaxShare may reach a replica whose requests in
// flight exceed Factor times its service's mean plus Slack.
type limitBounds struct {
	Window      time.Duration
	Factor      float64
	Slack       float64 // in requests
	MinRequests int
	MaxShare    float64
}

// loadEvent is a change of a replica's requests in flight, or an arrival there.
type loadEvent struct {
	at      time.Time
	replica string
	change  int       // of its requests in flight; 0 is an arrival
	from    processID // the daemon that sent it
	sent    time.Time
}

// countedArrival is an arrival to which LIMIT applies.
type countedArrival struct {
	at   time.Time
	over bool
}

// Ready records when all daemons were first ready.
func (l *Ledger) Ready(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = at
}

// Joined records that a replica of a service began to serve.
func (l *Ledger) Joined(replica, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.joined[service] == nil {
		l.joined[service] = make(map[string]time.Time)
	}
	l.joined[service][replica] = at
}

// MaxOverloadShare returns the largest fraction of the requests of an undisturbed window that reached an
// overloaded replica, over all windows checked so far.
func (l *Ledger) MaxOverloadShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxOverloadShare
}

// checkLimit reports undisturbed windows with too many arrivals at overloaded replicas.
func (j *checker) checkLimit() {
	for service, moments := range j.loadEvents() {
		j.checkWindows(service, j.countedArrivals(service, moments))
	}
}

// loadEvents returns the events at the replicas of each service, ordered by time.
func (j *checker) loadEvents() map[string][]loadEvent {
	out := make(map[string][]loadEvent)
	for _, r := range j.order {
		for _, a := range r.arrivals {
			out[a.Service] = append(out[a.Service], loadEvent{at: a.At, replica: a.Replica, from: r.by(), sent: r.Sent})
		}
		for _, run := range r.runs {
			out[run.Service] = append(out[run.Service], loadEvent{at: run.At, replica: run.Replica, change: 1})
			if !run.Ended.IsZero() {
				out[run.Service] = append(out[run.Service], loadEvent{at: run.Ended, replica: run.Replica, change: -1})
			}
		}
	}
	for _, list := range out {
		// At equal times a request ends before another arrives, and arrives before it runs.
		slices.SortStableFunc(list, func(a, b loadEvent) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return out
}

// countedArrivals returns the arrivals at a service that daemons that were up to date sent, and
// whether the replica was over the bound.
func (j *checker) countedArrivals(service string, moments []loadEvent) []countedArrival {
	var out []countedArrival
	held, total := make(map[string]int), 0
	for _, m := range moments {
		held[m.replica] += m.change
		total += m.change
		if m.change != 0 || !j.upToDate(m.from.daemon, m.sent, m.at) || m.at.Sub(j.ready) < j.bounds.SyncTime {
			continue
		}
		mean := float64(total) / float64(max(1, j.eligible(service, m.from, m.at)))
		most := j.bounds.Limit.Factor*mean + j.bounds.Limit.Slack
		out = append(out, countedArrival{at: m.at, over: float64(held[m.replica]) > most})
	}
	return out
}

// eligible returns how many replicas of a service were eligible at a time for a full share of
// a daemon's requests: not evacuated, not cold, and not backing off for that daemon.
func (j *checker) eligible(service string, by processID, at time.Time) int {
	n := 0
	for replica, from := range j.joined[service] {
		isThere := !from.After(at) && noneOverlaps(j.departures[replica], at, at.Add(1))
		if isThere && !j.isIneligible(replica, at) && !j.mustBackOff(replica, by, at) {
			n++
		}
	}
	return n
}

// checkWindows slides a window over the arrivals at a service.
func (j *checker) checkWindows(service string, list []countedArrival) {
	b := j.bounds.Limit
	first, over, broken := 0, 0, false
	for i, a := range list {
		if a.over {
			over++
		}
		for a.at.Sub(list[first].at) >= b.Window {
			if list[first].over {
				over--
			}
			first++
		}
		n := i + 1 - first
		if n < b.MinRequests || over == 0 || !j.serviceUndisturbed(service, a.at.Add(-b.Window), a.at) {
			continue
		}
		j.maxOverloadShare = max(j.maxOverloadShare, share(over, n))
		if broken || share(over, n) <= b.MaxShare {
			continue
		}
		broken = true
		j.out = append(j.out, Violation{Promise: "LIMIT", Subject: service, At: a.at, Detail: fmt.Sprintf(
			"%d of %d requests of %v reached a replica with more than %g times the mean plus %g in flight", over, n, b.Window, b.Factor, b.Slack)})
	}
}

// serviceUndisturbed reports whether no replica of a service was disturbed during a time.
func (j *checker) serviceUndisturbed(service string, from, to time.Time) bool {
	for replica := range j.joined[service] {
		if !noneOverlaps(j.replicas[replica], from, to) || !noneOverlaps(j.setAside[replica], from, to) {
			return false
		}
	}
	return true
}
