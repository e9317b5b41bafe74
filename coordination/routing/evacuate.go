// This file decides which replicas get no requests because operators evacuate their failure
// domain.
//
// Inputs: the evacuated domains, from the operators' documents, and when this daemon learned that
// an evacuation ended. The rule:
//
//  1. A replica in an evacuated domain gets no request of any kind: no first attempt, retry or
//     resumed stream, and none because it is the home of a prompt or because no other replica is
//     left. Requests that already run there are completed.
//  2. If only evacuated replicas could serve a request, it is refused at once as not run.
//  3. Prompts may be copied from replicas of an evacuated domain: a copy is not a request.
//  4. When an evacuation ends, replicas of the domain may have turned cold a moment before, and
//     their store entries say so up to two seconds later. Until the time of a cold start has
//     passed they count as cold (cold.go).
//
// The operators allow 5 s from their change until the last request. A connected daemon learns of
// it like of any other document, within some tenths of a second.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

// Evacuations records which failure domains are evacuated, and when evacuations ended. It is not
// safe for concurrent use.
type Evacuations struct {
	evacuated map[state.FailureDomain]bool
	endedAt   map[state.FailureDomain]time.Time
}

// NewEvacuations returns an Evacuations without an evacuated domain.
func NewEvacuations() *Evacuations {
	return &Evacuations{evacuated: make(map[state.FailureDomain]bool), endedAt: make(map[state.FailureDomain]time.Time)}
}

// Begin records that a domain is evacuated. It returns false if it already was.
func (e *Evacuations) Begin(d state.FailureDomain) bool {
	if e.evacuated[d] {
		return false
	}
	e.evacuated[d] = true
	delete(e.endedAt, d)
	return true
}

// End records that the evacuation of a domain ended. It returns false if the domain was not
// evacuated.
func (e *Evacuations) End(d state.FailureDomain, now time.Time) bool {
	if !e.evacuated[d] {
		return false
	}
	delete(e.evacuated, d)
	e.endedAt[d] = now
	return true
}

// Domains returns the evacuated domains sorted by name.
func (e *Evacuations) Domains() []state.FailureDomain {
	out := make([]state.FailureDomain, 0, len(e.evacuated))
	for d := range e.evacuated {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Apply moves the ready replicas of evacuated domains to p.Evacuated, and marks the replicas of
// domains whose evacuation ended as cold for the duration of a cold start. It returns false if
// there are no such domains.
func (e *Evacuations) Apply(p *Pool, coldStart time.Duration) bool {
	if len(e.evacuated)+len(e.endedAt) == 0 {
		return false
	}
	p.Ready = slices.DeleteFunc(slices.Clone(p.Ready), func(r Replica) bool {
		if !e.evacuated[r.Domain] {
			return false
		}
		p.Evacuated = append(p.Evacuated, r)
		return true
	})
	for i := range p.Ready {
		r := &p.Ready[i]
		if at, ok := e.endedAt[r.Domain]; ok {
			r.ColdUntil = latest(r.ColdUntil, at.Add(coldStart))
		}
	}
	return true
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
