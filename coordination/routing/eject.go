// This file decides which replicas get no requests because requests to them failed. cutoff.go
// handles failure domains that are cut off as a whole, silence.go replicas that other daemons
// found silent, ineligible.go replicas that are ineligible even if no other is left.
//
// Inputs: the results of this daemon's attempts within [evidenceWindow], and those published by
// its peers. Health checks of the replicas are not used: a check takes a slot, and a replica can
// fail requests while its check succeeds. The rule:
//
//  1. A replica that refuses a connection, or is silent for longer than timeouts.go allows, is
//     ejected at once by the daemon that saw it.
//  2. Any other failure ejects it if the fleet counted at least minFailures failures and they are
//     at least minFailureRatio of all results. One daemon sees about 1.6 requests a second at one
//     replica, too few to decide by itself.
//  3. An ejection lasts initialEjection at first and doubles each time up to maxEjection. It is
//     reset after ejectionResetAfter without an ejection. When it ends the replica gets requests
//     again; there is no other probe.
//  4. Replicas that are ineligible (ineligible.go), terminated or cut off are skipped first. If
//     ejections would leave fewer than half of the others, ejections are ignored: then the
//     failures point to the service or to this daemon's links, and ejecting would only overload
//     the others. The cut is applied first because a large domain without heartbeats would
//     otherwise bring its own replicas back.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// minFailures and minFailureRatio: a replica that fails a few responses in a hundred stays
	// below them.
	minFailures     = 4
	minFailureRatio = 0.3
	// initialEjection and maxEjection bound the duration of one ejection.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	// ejectionResetAfter is the time without an ejection after which the next one lasts
	// initialEjection again.
	ejectionResetAfter = 6 * time.Second
	// PeerEvidenceAge is how long a peer's counts are used: five of its heartbeats.
	// PeerEvidenceAgeLarge holds in a large fleet, where a peer's heartbeat arrives every 5 s;
	// with 1 s a daemon of 62 saw a fifth of the evidence.
	PeerEvidenceAge      = time.Second
	PeerEvidenceAgeLarge = 3 * time.Second
)

// Health records the evidence for the health of each replica. It is safe for concurrent use.
type Health struct {
	// Reporter identifies this daemon in its reports of silent replicas. It is set before the
	// first use.
	Reporter ReporterID

	mu      sync.Mutex
	records map[LoadKey]*record
	ejected map[LoadKey]*record // subset of records: ejected replicas
	peers   map[PeerID]*peerEvidence
	// domainSeen is the time of the newest known heartbeat of any daemon of each domain.
	domainSeen    map[state.FailureDomain]time.Time
	domainTimeout time.Duration
	// unreachable is until when a domain that is cut off gets no requests because a connection to
	// a replica there failed. responded is when a replica of a domain last responded.
	unreachable    map[state.FailureDomain]time.Time
	responded      map[state.FailureDomain]time.Time
	silences       silenceTable
	terminated     map[LoadKey]time.Time // when incarnations terminated
	terminatedHold time.Duration         // how long a termination counts
	// liveness is the time through which each incarnation is known to have lived. It disproves
	// terminations.
	liveness        map[LoadKey]*liveInterval
	livenessReports outbox[LivenessReport]
}

// NewHealth returns an empty Health.
func NewHealth() *Health {
	return &Health{
		records: make(map[LoadKey]*record), ejected: make(map[LoadKey]*record), peers: make(map[PeerID]*peerEvidence),
		domainSeen: make(map[state.FailureDomain]time.Time), domainTimeout: DomainTimeout,
		unreachable: make(map[state.FailureDomain]time.Time), responded: make(map[state.FailureDomain]time.Time), silences: newSilenceTable(),
		terminated: make(map[LoadKey]time.Time), terminatedHold: terminatedHold, liveness: make(map[LoadKey]*liveInterval),
		livenessReports: outbox[LivenessReport]{
			notify: make(chan struct{}, 1), capacity: maxLivenessReports, keepUnsent: true,
			compare: func(a, b pendingReport[LivenessReport]) int { return a.at.Compare(b.at) },
		},
	}
}

// Report records the result of an attempt. It returns true if the replica is ejected from now on
// and was not before.
func (h *Health) Report(r *Replica, result Result, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := r.LoadKey()
	rec := h.records[key]
	if rec == nil {
		rec = &record{}
		h.records[key] = rec
	}
	rec.count(result, now)
	if result == ResultUnreachable {
		h.silences.add(key, h.Reporter, now, now)
	}
	isEjected := h.eject(key, rec, result, now)
	h.recordDomain(r.Domain, result, rec.ejectedUntil, now)
	return isEjected
}

// eject ejects a replica if the result of an attempt asks for that. It returns true if the replica was not
// ejected before. h.mu must be held.
func (h *Health) eject(key LoadKey, rec *record, result Result, now time.Time) bool {
	if result == ResultGood || rec.ejected(now) || !h.shouldEject(key, rec, result, now) {
		return false
	}
	if now.Sub(rec.ejectedUntil) > ejectionResetAfter {
		rec.ejectDuration = 0
	}
	rec.ejectDuration = min(max(initialEjection, 2*rec.ejectDuration), maxEjection)
	rec.ejectedUntil, rec.ejectCause = now.Add(rec.ejectDuration), result
	h.ejected[key] = rec
	return true
}

// shouldEject applies rules 1 and 2 after a failure.
func (h *Health) shouldEject(key LoadKey, rec *record, result Result, now time.Time) bool {
	if isNoResponse(result) {
		return true
	}
	good, bad := rec.totals()
	for _, p := range h.peers {
		peerGood, peerBad := p.countsOf(key, now)
		good += peerGood
		bad += peerBad
	}
	return bad >= minFailures && float64(bad) >= minFailureRatio*float64(good+bad)
}

// isNoResponse reports whether a result means that nothing was received from the replica.
func isNoResponse(r Result) bool { return r == ResultUnreachable || r == ResultSilent }

// ObserveEvidence records a peer's counts, which are used for the given time. The caller must not
// change them afterwards.
func (h *Health) ObserveEvidence(p PeerID, counts []Evidence, now time.Time, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[p] = &peerEvidence{until: now.Add(age), counts: counts}
}

// LocalEvidence returns this daemon's counts of the replicas at which requests failed, for its
// peers.
func (h *Health) LocalEvidence(now time.Time) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Evidence
	for key, rec := range h.records {
		rec.advance(now)
		good, bad := rec.totals()
		if bad > 0 {
			out = append(out, Evidence{Replica: key, Good: saturate(good), Bad: saturate(bad)})
		}
	}
	return out
}

// Reachable reports whether a replica can be expected to respond, even if with errors. Prompts
// can be copied from such a replica.
func (h *Health) Reachable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.LoadKey()]
	return !h.isLost(r, now) && !(rec != nil && rec.ejected(now) && isNoResponse(rec.ejectCause))
}

// IsLost reports whether a replica is known to have terminated, is silent to several daemons, or is in a domain that is
// cut off. This daemon's own failures there don't count.
func (h *Health) IsLost(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLost(r, now)
}

// isLost is IsLost. h.mu must be held.
func (h *Health) isLost(r *Replica, now time.Time) bool {
	key := r.LoadKey()
	return h.isTerminated(key, now) || h.isSilent(key, now) || h.domainIsCutOff(r.Domain, now)
}

// markUsable sets usable[i] for each ready replica of a pool that may be chosen by rule 4, none
// of which is in skip, and returns their number.
func (h *Health) markUsable(usable []bool, skip replicaSet, p *Pool, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	reachable := h.markReachable(usable, skip, p, now)
	left := reachable
	for key, rec := range h.ejected {
		if !rec.ejected(now) {
			delete(h.ejected, key)
			continue
		}
		if i, ok := p.positions.lookup(key); ok && usable[i] {
			usable[i] = false
			left--
		}
	}
	for key := range h.silences.reports {
		if i, ok := p.positions.lookup(key); ok && usable[i] && h.isSilent(key, now) {
			usable[i] = false
			left--
		}
	}
	if 2*left < reachable || left == 0 {
		return h.markReachable(usable, skip, p, now)
	}
	return left
}

// isEjected reports whether a replica is ejected.
func (h *Health) isEjected(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.LoadKey()]
	return rec != nil && rec.ejected(now)
}

// Forget removes expired records. ownDomain never counts as cut off.
func (h *Health) Forget(ownDomain state.FailureDomain, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, rec := range h.records {
		rec.advance(now)
		good, bad := rec.totals()
		if good+bad == 0 && now.Sub(rec.ejectedUntil) > ejectionResetAfter {
			delete(h.records, key)
		}
	}
	for p, e := range h.peers {
		if now.After(e.until) {
			delete(h.peers, p)
		}
	}
	h.silences.forget(now)
	h.forgetTerminated(now)
	h.forgetLiveness(now)
	delete(h.domainSeen, ownDomain)
	for domain, at := range h.domainSeen {
		if now.Sub(at) > domainRetention {
			delete(h.domainSeen, domain)
		}
	}
}

// Explain returns the fraction of failures at a replica as counted by this daemon, and the reason
// why the replica gets no requests, which is empty if it gets them.
func (h *Health) Explain(r *Replica, now time.Time) (failures float64, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.records[r.LoadKey()]; rec != nil {
		good, bad := rec.totals()
		if good+bad > 0 {
			failures = float64(bad) / float64(good+bad)
		}
		if rec.ejected(now) && !h.isTerminated(r.LoadKey(), now) {
			return failures, rec.ejectCause.String()
		}
	}
	if h.isTerminated(r.LoadKey(), now) {
		return failures, reasonTerminated
	}
	if h.isSilent(r.LoadKey(), now) {
		return failures, reasonSilentToOthers
	}
	if h.domainIsCutOff(r.Domain, now) {
		return failures, reasonDomainCutOff
	}
	return failures, ""
}
