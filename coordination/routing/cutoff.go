// This file decides which failure domains are cut off from this daemon, so that their
// replicas get no requests.
//
// Inputs: when a daemon of each domain last sent a heartbeat that is known here, and
// which replicas this daemon could not reach. The rule:
//
//  1. A domain of which no daemon was seen for the domain timeout is cut off. Its
//     replicas are left out if others can serve the request.
//  2. Where all domains that have replicas are cut off, they are tried: silent daemons
//     prove nothing of replicas. A domain in which a replica was found to be
//     unreachable gets nothing while that replica's ejection lasts, so that requests
//     are refused at once; the next one after that finds out.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// DomainTimeout is the time without a message of any daemon of a domain after
	// which the domain counts as cut off: three heartbeats and the links' delay.
	// DomainTimeoutLarge holds in a large fleet, where heartbeats cross domains
	// over several daemons: at 700 ms a third of all windows looked like a cut.
	DomainTimeout      = 700 * time.Millisecond
	DomainTimeoutLarge = 1200 * time.Millisecond
	// domainMemory is how long the silence of a domain's daemons excludes its replicas. Daemons that
	// are gone for good say nothing of the replicas there; after that requests find out.
	domainMemory = 15 * time.Second
)

// ObserveDomains takes in when a daemon of each other domain was last seen,
// and after which time a domain counts as cut off. A domain that never had a
// daemon is never cut off.
func (h *Health) ObserveDomains(seen map[state.FailureDomain]time.Time, timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.domainTimeout = timeout
	for domain, at := range seen {
		h.domainSeen[domain] = at
	}
}

// domainIsCutOff reports whether daemons of a domain were seen once and all
// of them have been silent for the timeout.
func (h *Health) domainIsCutOff(domain state.FailureDomain, now time.Time) bool {
	at, ok := h.domainSeen[domain]
	return ok && now.Sub(at) > h.domainTimeout
}

// markReachable marks the replicas in domains that are not cut off, or, if there are
// none, in those that are only silent. It returns how many it marked.
func (h *Health) markReachable(usable []bool, leftOut replicaSet, p *Pool, now time.Time) int {
	marked := h.mark(usable, leftOut, p, func(d state.FailureDomain) bool { return !h.domainIsCutOff(d, now) })
	if marked > 0 {
		return marked
	}
	return h.markNotUnreachable(usable, leftOut, p, now)
}

// markDespiteEjections marks all replicas, ejected or not, but those that are left out and those
// of domains that are cut off and were found to be unreachable.
func (h *Health) markDespiteEjections(usable []bool, leftOut replicaSet, p *Pool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markNotUnreachable(usable, leftOut, p, now)
}

// markNotUnreachable marks the replicas of domains that were not found to be unreachable,
// and returns how many. The caller holds the lock.
func (h *Health) markNotUnreachable(usable []bool, leftOut replicaSet, p *Pool, now time.Time) int {
	return h.mark(usable, leftOut, p, func(d state.FailureDomain) bool { return !h.domainIsUnreachable(d, now) })
}

// domainIsUnreachable reports whether a domain is cut off and a replica there could
// not be reached.
func (h *Health) domainIsUnreachable(d state.FailureDomain, now time.Time) bool {
	return now.Before(h.unreachable[d]) && h.domainIsCutOff(d, now)
}

// mark marks the replicas of the domains that meet a condition, and returns how many. Those
// that are left out are not marked.
func (h *Health) mark(usable []bool, leftOut replicaSet, p *Pool, condition func(state.FailureDomain) bool) int {
	unmet := make([]state.FailureDomain, 0, len(h.domainSeen))
	for d := range h.domainSeen {
		if !condition(d) {
			unmet = append(unmet, d)
		}
	}
	marked := 0
	for i := range p.Ready {
		// Mostly no domain is cut off, and none is looked up.
		usable[i] = !leftOut.has(i) && (len(unmet) == 0 || !slices.Contains(unmet, p.Ready[i].Domain))
		if usable[i] {
			marked++
		}
	}
	return marked
}

// reasonDomainCutOff is the reason that operators see; its words are published.
const reasonDomainCutOff = "no daemon of its domain is heard"
