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
// sent at least Least requests, a fraction of up to Share may reach a replica whose requests in
// flight exceed Factor times its service's mean plus Slack.
type limitBounds struct {
	Window time.Duration
	Factor float64
	Slack  float64 // in requests
	Least  int
	Share  float64
}

// moment is a change of a replica's requests in flight, or an arrival there.
type moment struct {
	at      time.Time
	replica string
	change  int         // of its requests in flight; 0 is an arrival
	from    processLife // the daemon that sent it
	sent    time.Time
}

// judged is an arrival to which LIMIT applies.
type judged struct {
	at   time.Time
	over bool
}

// Ready records when all daemons were first ready.
func (l *Ledger) Ready(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = at
}

// Joins records that a replica of a service began to serve.
func (l *Ledger) Joins(replica, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.joined[service] == nil {
		l.joined[service] = make(map[string]time.Time)
	}
	l.joined[service][replica] = at
}

// Crowded returns the largest fraction of the requests of an undisturbed window that reached an
// overloaded replica, over all windows checked so far.
func (l *Ledger) Crowded() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crowded
}

// judgeLimit reports undisturbed windows with too many arrivals at overloaded replicas.
func (j *judgement) judgeLimit() {
	for service, moments := range j.moments() {
		j.judgeWindows(service, j.arrivalsInTouch(service, moments))
	}
}

// moments returns the events at the replicas of each service, ordered by time.
func (j *judgement) moments() map[string][]moment {
	out := make(map[string][]moment)
	for _, r := range j.order {
		for _, a := range r.arrivals {
			out[a.Service] = append(out[a.Service], moment{at: a.At, replica: a.Replica, from: r.by(), sent: r.Sent})
		}
		for _, run := range r.runs {
			out[run.Service] = append(out[run.Service], moment{at: run.At, replica: run.Replica, change: 1})
			if !run.Ended.IsZero() {
				out[run.Service] = append(out[run.Service], moment{at: run.Ended, replica: run.Replica, change: -1})
			}
		}
	}
	for _, list := range out {
		// At equal times a request ends before another arrives, and arrives before it runs.
		slices.SortStableFunc(list, func(a, b moment) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return out
}

// arrivalsInTouch returns the arrivals at a service that daemons that were up to date sent, and
// whether the replica was over the bound.
func (j *judgement) arrivalsInTouch(service string, moments []moment) []judged {
	var out []judged
	held, total := make(map[string]int), 0
	for _, m := range moments {
		held[m.replica] += m.change
		total += m.change
		if m.change != 0 || !j.inTouch(m.from.daemon, m.sent, m.at) || m.at.Sub(j.ready) < j.bounds.Contact {
			continue
		}
		mean := float64(total) / float64(max(1, j.serving(service, m.from, m.at)))
		most := j.bounds.Limit.Factor*mean + j.bounds.Limit.Slack
		out = append(out, judged{at: m.at, over: float64(held[m.replica]) > most})
	}
	return out
}

// serving returns how many replicas of a service were eligible at a time for a full share of
// a daemon's requests: not evacuated, not cold, and not backing off for that daemon.
func (j *judgement) serving(service string, by processLife, at time.Time) int {
	n := 0
	for replica, from := range j.joined[service] {
		isThere := !from.After(at) && calm(j.leaving[replica], at, at.Add(1))
		if isThere && !j.heldBack(replica, at) && !j.rests(replica, by, at) {
			n++
		}
	}
	return n
}

// judgeWindows slides a window over the arrivals at a service.
func (j *judgement) judgeWindows(service string, list []judged) {
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
		if n < b.Least || over == 0 || !j.calmService(service, a.at.Add(-b.Window), a.at) {
			continue
		}
		j.crowded = max(j.crowded, share(over, n))
		if broken || share(over, n) <= b.Share {
			continue
		}
		broken = true
		j.out = append(j.out, Violation{Promise: "LIMIT", Subject: service, At: a.at, Detail: fmt.Sprintf(
			"%d of %d requests of %v reached a replica with more than %g times the mean plus %g in flight", over, n, b.Window, b.Factor, b.Slack)})
	}
}

// calmService reports whether no replica of a service was disturbed during a time.
func (j *judgement) calmService(service string, from, to time.Time) bool {
	for replica := range j.joined[service] {
		if !calm(j.replicas[replica], from, to) || !calm(j.aside[replica], from, to) {
			return false
		}
	}
	return true
}
