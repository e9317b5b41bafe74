// This file notes and judges how evenly replicas were loaded: LIMIT holds for calm times, in
// which no replica of the service was in trouble.

package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// limitBounds are the figures of LIMIT: of the requests of Window that daemons in touch
// sent, Least or more, up to Share may reach a replica that holds more than Factor times its
// service's mean and Slack.
type limitBounds struct {
	Window time.Duration
	Factor float64
	Slack  float64 // in requests
	Least  int
	Share  float64
}

// moment is a change of what a replica holds, or an arrival there.
type moment struct {
	at      time.Time
	replica string
	change  int         // of the requests that it holds; 0 is an arrival
	from    processLife // the daemon that sent it
	sent    time.Time
}

// judged is an arrival that counts.
type judged struct {
	at   time.Time
	over bool
}

// Ready notes when all daemons were ready first.
func (l *Ledger) Ready(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = at
}

// Joins notes that a replica of a service began to serve.
func (l *Ledger) Joins(replica, service string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.joined[service] == nil {
		l.joined[service] = make(map[string]time.Time)
	}
	l.joined[service][replica] = at
}

// Crowded returns the greatest share of the requests of a calm window that reached a replica
// which held too much, as far as it was judged.
func (l *Ledger) Crowded() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crowded
}

// judgeLimit looks for a calm window with too many arrivals at replicas that hold too much.
func (j *judgement) judgeLimit() {
	for service, moments := range j.moments() {
		j.judgeWindows(service, j.arrivalsInTouch(service, moments))
	}
}

// moments returns what happened at the replicas of each service, in its order.
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
		// At one time a request ends before another arrives, and arrives before it runs.
		slices.SortStableFunc(list, func(a, b moment) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return out
}

// arrivalsInTouch returns the arrivals at a service that daemons in touch sent, and whether
// the replica was over the bound.
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

// serving returns how many replicas a service had at a time that may get their part of the
// requests of a daemon: evacuated and cold ones may not, nor those that asked it for rest.
func (j *judgement) serving(service string, by processLife, at time.Time) int {
	n := 0
	for replica, from := range j.joined[service] {
		isThere := !from.After(at) && calm(j.leaving[replica], at, at.Add(1))
		if isThere && !j.isIneligible(replica, at) && !j.mustBackOff(replica, by, at) {
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
			"%d of %d requests of %v reached a replica that held over %g times the mean and %g", over, n, b.Window, b.Factor, b.Slack)})
	}
}

// calmService reports whether no replica of a service was in trouble during a time.
func (j *judgement) calmService(service string, from, to time.Time) bool {
	for replica := range j.joined[service] {
		if !calm(j.replicas[replica], from, to) || !calm(j.aside[replica], from, to) {
			return false
		}
	}
	return true
}
