// This file decides which failure domains are cut off from this daemon, so that their replicas
// get no requests.
//
// Inputs: the time of the last heartbeat known here from any daemon of each domain, the replicas
// that this daemon could not connect to, and when replicas responded to it. The rule:
//
//  1. A domain is cut off if no heartbeat from any of its daemons is known within the domain
//     timeout. Its replicas are skipped if others can serve the request.
//  2. If all domains that have replicas are cut off, their replicas are tried nevertheless,
//     because missing heartbeats of daemons say nothing about replicas. A domain in which a
//     connection to a replica failed gets nothing while the ejection of that replica lasts, so
//     that requests are refused at once; the next request after that tries again.
//  3. A connection that failed does not count if a replica of the domain responded within the domain
//     timeout, and no longer counts once one responds: that replica alone may be gone. A response that is
//     late, an error or a rejection does not count as a failed connection: the daemons of a small
//     domain may all be paused while its replicas serve, some of them slowly.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// DomainTimeout is the time without a message from any daemon of a domain after which the
	// domain counts as cut off: three heartbeats and the network delay. DomainTimeoutLarge holds
	// in a large fleet, where heartbeats reach other domains through several daemons: at 700 ms a
	// third of all windows looked like a cut.
	DomainTimeout      = 700 * time.Millisecond
	DomainTimeoutLarge = 1200 * time.Millisecond
	// domainRetention is how long missing heartbeats of a domain's daemons exclude its replicas.
	// Daemons may be gone for good while the replicas there live on; after this time requests are
	// sent there again.
	domainRetention = 15 * time.Second
)

// ObserveDomains records when a daemon of each other domain was last seen, and sets the time
// after which a domain counts as cut off. A domain that never had a daemon is never cut off.
func (h *Health) ObserveDomains(seen map[state.FailureDomain]time.Time, timeout time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.domainTimeout = timeout
	for domain, at := range seen {
		h.domainSeen[domain] = at
	}
}

// IsCutOff reports whether a domain is cut off from this daemon.
func (h *Health) IsCutOff(domain state.FailureDomain, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.domainIsCutOff(domain, now)
}

// domainIsCutOff reports whether daemons of a domain were seen before and none of them within the
// timeout.
func (h *Health) domainIsCutOff(domain state.FailureDomain, now time.Time) bool {
	at, ok := h.domainSeen[domain]
	return ok && now.Sub(at) > h.domainTimeout
}

// markReachable marks the replicas in domains that are not cut off. If there are none, it marks
// those in domains that are cut off but in which no connection failed. It returns the number of
// replicas marked.
func (h *Health) markReachable(usable []bool, skip replicaSet, p *Pool, now time.Time) int {
	marked := h.mark(usable, skip, p, func(d state.FailureDomain) bool { return !h.domainIsCutOff(d, now) })
	if marked > 0 {
		return marked
	}
	return h.markNotUnreachable(usable, skip, p, now)
}

// markDespiteFailures marks replicas as usable whether they are ejected or not, except those in skip
// and those in domains that are cut off while there are others.
func (h *Health) markDespiteFailures(usable []bool, skip replicaSet, p *Pool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markReachable(usable, skip, p, now)
}

// markDespiteEjections marks replicas as usable whether they are ejected or not, except those in
// skip and those in domains that are both cut off and had a failed connection.
func (h *Health) markDespiteEjections(usable []bool, skip replicaSet, p *Pool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markNotUnreachable(usable, skip, p, now)
}

// markNotUnreachable marks the replicas of domains in which no connection failed, and returns the
// number of replicas marked. h.mu must be held.
func (h *Health) markNotUnreachable(usable []bool, skip replicaSet, p *Pool, now time.Time) int {
	return h.mark(usable, skip, p, func(d state.FailureDomain) bool { return !h.domainIsUnreachable(d, now) })
}

// domainIsUnreachable reports whether a domain is cut off and a connection to a replica there
// failed.
func (h *Health) domainIsUnreachable(d state.FailureDomain, now time.Time) bool {
	return now.Before(h.unreachable[d]) && h.domainIsCutOff(d, now)
}

// recordDomain records what the result of an attempt at a replica says about its domain, by rules 2 and 3.
// ejectedUntil is the end of the replica's ejection. h.mu must be held.
func (h *Health) recordDomain(d state.FailureDomain, result Result, ejectedUntil, now time.Time) {
	switch result {
	case ResultGood, ResultRefused, ResultFailed:
		h.responded[d] = now
		delete(h.unreachable, d)
	case ResultUnreachable:
		if h.domainIsCutOff(d, now) && now.Sub(h.responded[d]) > h.domainTimeout {
			h.unreachable[d] = ejectedUntil
		}
	case ResultBroken, ResultSilent:
	}
}

// mark marks the replicas in domains that meet a condition, except those in skip, and returns the
// number of replicas marked.
func (h *Health) mark(usable []bool, skip replicaSet, p *Pool, condition func(state.FailureDomain) bool) int {
	unmet := make([]state.FailureDomain, 0, len(h.domainSeen))
	for d := range h.domainSeen {
		if !condition(d) {
			unmet = append(unmet, d)
		}
	}
	marked := 0
	for i := range p.Ready {
		// Usually no domain is cut off, and the lookup is skipped.
		usable[i] = !skip.has(i) && (len(unmet) == 0 || !slices.Contains(unmet, p.Ready[i].Domain))
		if usable[i] {
			marked++
		}
	}
	return marked
}

// reasonDomainCutOff is shown to operators. Tools match the text.
const reasonDomainCutOff = "no daemon of its domain is heard"
