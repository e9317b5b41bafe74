// This file checks the guarantees that depend on counts: rules that tolerate a few violations,
// and retries within a window.

package soak

import (
	"fmt"
	"slices"
	"time"
)

// checkTolerated reports the violations of rules with a tolerance where there are more than it allows.
func (j *checker) checkTolerated() {
	byPromise := make(map[string][]Violation)
	for _, v := range j.tolerated {
		byPromise[v.Promise] = append(byPromise[v.Promise], v)
	}
	for _, list := range byPromise {
		if len(list) > j.bounds.Tolerance {
			j.out = append(j.out, list...)
		}
	}
}

// checkRetries counts the retries of each service, which are the arrivals after the
// first of each request, in every window that ends with a retry.
func (j *checker) checkRetries() {
	repeats, firsts := make(map[string][]time.Time), make(map[string][]time.Time)
	for _, r := range j.order {
		for i, a := range r.arrivals {
			if i > 0 {
				repeats[a.Service] = append(repeats[a.Service], a.At)
				continue
			}
			firsts[a.Service] = append(firsts[a.Service], a.At)
		}
	}
	for service, list := range repeats {
		slices.SortFunc(list, time.Time.Compare)
		slices.SortFunc(firsts[service], time.Time.Compare)
		for i, end := range list {
			n := countWithin(list[:i+1], end, j.bounds.RetryWindow)
			// Users count the larger of this window and the preceding one.
			requests := max(countWithin(firsts[service], end, j.bounds.RetryWindow), countWithin(firsts[service], end.Add(-j.bounds.RetryWindow), j.bounds.RetryWindow))
			if most := j.bounds.RetryRatio*float64(requests) + j.bounds.ExtraRetries; float64(n) > most {
				j.out = append(j.out, Violation{Promise: "BUDGET", Subject: service, At: end, Detail: fmt.Sprintf("%d retries in a window, %.0f are allowed", n, most)})
				break
			}
		}
	}
}

// countWithin returns how many times of a sorted list are within a window up to end. It does not read
// the whole list: the ledger is locked during a check, and a crowded service has thousands of retries.
func countWithin(list []time.Time, end time.Time, window time.Duration) int {
	until := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(list, at, func(t, at time.Time) int {
			if t.After(at) {
				return 1
			}
			return -1
		})
		return i
	}
	return until(end) - until(end.Add(-window))
}

// Served returns how many of the requests that were sent within a time, with a
// valid key, succeeded.
func (l *Ledger) Served(from, to time.Time) (served, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		key := l.keys[r.Key]
		if !r.known || r.Sent.Before(from) || r.Sent.After(to) || !r.disconnected.IsZero() || key == nil || !key.removed.IsZero() || r.Crashing > 0 {
			continue
		}
		all++
		if r.answer != nil && r.answer.Complete && r.answer.Status/100 == 2 {
			served++
		}
	}
	return served, all
}
