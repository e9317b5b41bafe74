// This file decides which replicas get nothing because operators evacuate their failure
// domain.
//
// Inputs: which domains are evacuated, by the operators' documents, and when this daemon
// learned that one was taken back. The rule:
//
//  1. A replica in an evacuated domain gets no request, whatever the reason: no first try,
//     no retry, no resumed stream, and none as the home of a prompt or because nothing else
//     is left. What runs there goes on to its end.
//  2. If only evacuated replicas could serve a request it is refused at once, as not run.
//  3. Prompts may be copied from replicas of an evacuated domain: a copy is no request.
//  4. When a domain is taken back its replicas may have turned cold a moment before, and
//     their entries say so up to two seconds later. Until a cold start's time has passed
//     they count as cold (cold.go).
//
// The operators allow 5 s from their change until the last request; a daemon that is in
// touch needs as long as for any document, some tenths of a second.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

// Evacuations knows which failure domains are evacuated and which were taken back. Its
// owner guards it.
type Evacuations struct {
	evacuated map[state.FailureDomain]bool
	takenBack map[state.FailureDomain]time.Time
}

// NewEvacuations returns a state in which no domain is evacuated.
func NewEvacuations() *Evacuations {
	return &Evacuations{evacuated: make(map[state.FailureDomain]bool), takenBack: make(map[state.FailureDomain]time.Time)}
}

// Begin records that a domain is evacuated. It returns true if it was not before.
func (e *Evacuations) Begin(d state.FailureDomain) bool {
	if e.evacuated[d] {
		return false
	}
	e.evacuated[d] = true
	delete(e.takenBack, d)
	return true
}

// End records that a domain was taken back. It returns true if it was evacuated before.
func (e *Evacuations) End(d state.FailureDomain, now time.Time) bool {
	if !e.evacuated[d] {
		return false
	}
	delete(e.evacuated, d)
	e.takenBack[d] = now
	return true
}

// Domains returns the evacuated domains in the order of their names.
func (e *Evacuations) Domains() []state.FailureDomain {
	out := make([]state.FailureDomain, 0, len(e.evacuated))
	for d := range e.evacuated {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// Apply moves the ready replicas of evacuated domains out of the way of requests, and marks
// those whose domain was taken back as cold for the time of a cold start. It returns false if
// there is nothing of either.
func (e *Evacuations) Apply(p *Pool, coldStart time.Duration) bool {
	if len(e.evacuated)+len(e.takenBack) == 0 {
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
		if at, ok := e.takenBack[r.Domain]; ok {
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
