// This file decides which replicas get no requests because requests to them failed.
// cutoff.go has those that are cut off with their whole failure domain, silence.go those
// that other daemons found silent, barred.go those that get nothing whatever is left.
//
// Inputs: the results of this daemon's attempts within [evidenceWindow], and those
// that its peers publish. Replicas' own health checks are not used: a check costs a
// slot, and a replica can fail requests while its check is good. The rule:
//
//  1. A replica that takes no connection, or is silent for longer than timeouts.go
//     allows, is ejected at once by the daemon that saw it.
//  2. Any other failure ejects it if the fleet counted at least leastFailures and
//     they are at least failureShare of all results. One daemon sees some 1.6 requests a
//     second at one replica, too few to judge by itself.
//  3. An ejection lasts firstEjection, twice as long each time up to
//     longestEjection, and is short again after ejectionMemory without one. After
//     it the replica gets requests again; that is the only probe.
//  4. The replicas that are barred (barred.go), ended or cut off are left out first. Where fewer than half
//     of the others would be left, ejections are ignored: then the evidence speaks against
//     the service or this daemon's links, and ejecting would only crowd the others.
//     The cut comes first, or the silence of a large domain would bring its replicas back.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

const (
	// leastFailures and failureShare: a replica that spoils a few answers in a hundred
	// stays below them. Not varied one at a time.
	leastFailures = 4
	failureShare  = 0.3
	// firstEjection and longestEjection bound one ejection.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// ejectionMemory is the time without an ejection after which the next one is short again.
	ejectionMemory = 6 * time.Second
	// PeerEvidenceAge is how long a peer's counts are used: five of its heartbeats.
	// PeerEvidenceAgeLarge holds in a large fleet, where a peer's heartbeat comes
	// every 5 s; after 1 s a daemon of 62 saw a fifth of the evidence.
	PeerEvidenceAge      = time.Second
	PeerEvidenceAgeLarge = 3 * time.Second
)

// Health keeps the evidence for each replica. It is safe for use by many
// goroutines.
type Health struct {
	// Reporter names this daemon in its reports of silent replicas. It is set before
	// the first use.
	Reporter ReporterID

	mu      sync.Mutex
	records map[LoadKey]*record
	ejected map[LoadKey]*record // those of records whose replica is ejected
	peers   map[PeerID]*peerEvidence
	// domainSeen is when a daemon of a domain was last seen.
	domainSeen    map[state.FailureDomain]time.Time
	domainTimeout time.Duration
	// unreachable is until when a domain that is cut off gets no requests, because a
	// replica there could not be reached.
	unreachable map[state.FailureDomain]time.Time
	silences    silences
	ended       map[LoadKey]time.Time // when incarnations ended
	endedHold   time.Duration         // how long an end counts
	// lives are through which times incarnations lived, which disproves ends.
	lives       map[LoadKey]*life
	lifeReports outbox[LifeReport]
}

// NewHealth returns an empty table.
func NewHealth() *Health {
	return &Health{
		records: make(map[LoadKey]*record), ejected: make(map[LoadKey]*record), peers: make(map[PeerID]*peerEvidence),
		domainSeen: make(map[state.FailureDomain]time.Time), domainTimeout: DomainTimeout,
		unreachable: make(map[state.FailureDomain]time.Time), silences: newSilences(),
		ended: make(map[LoadKey]time.Time), endedHold: endedHold, lives: make(map[LoadKey]*life),
		lifeReports: outbox[LifeReport]{
			waiting: make(chan struct{}, 1), most: maxLifeReports, keeps: true,
			before: func(a, b pendingReport[LifeReport]) int { return a.at.Compare(b.at) },
		},
	}
}

// Report takes in the result of an attempt. It returns true if the replica is
// ejected from now on and was not before.
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
	if result == ResultGood || rec.ejected(now) || !h.shouldEject(key, rec, result, now) {
		return false
	}
	if now.Sub(rec.until) > ejectionMemory {
		rec.ejection = 0
	}
	rec.ejection = min(max(firstEjection, 2*rec.ejection), longestEjection)
	rec.until, rec.cause = now.Add(rec.ejection), result
	h.ejected[key] = rec
	if h.domainIsCutOff(r.Domain, now) {
		h.unreachable[r.Domain] = rec.until
	}
	return true
}

// shouldEject applies the rules 1 and 2 after a failure.
func (h *Health) shouldEject(key LoadKey, rec *record, result Result, now time.Time) bool {
	if meansSilence(result) {
		return true
	}
	good, bad := rec.sums()
	for _, p := range h.peers {
		peerGood, peerBad := p.of(key, now)
		good += peerGood
		bad += peerBad
	}
	return bad >= leastFailures && float64(bad) >= failureShare*float64(good+bad)
}

// meansSilence reports whether a result says that nothing came from the replica.
func meansSilence(r Result) bool { return r == ResultUnreachable || r == ResultSilent }

// Observe takes in a peer's counts, which are used until they have the given age.
// They must not be changed afterwards.
func (h *Health) Observe(p PeerID, counts []Evidence, now time.Time, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[p] = &peerEvidence{until: now.Add(age), counts: counts}
}

// Own returns this daemon's counts of the replicas at which requests failed, for
// its peers.
func (h *Health) Own(now time.Time) []Evidence {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Evidence
	for key, rec := range h.records {
		rec.advance(now)
		good, bad := rec.sums()
		if bad > 0 {
			out = append(out, Evidence{Replica: key, Good: saturate(good), Bad: saturate(bad)})
		}
	}
	return out
}

// Reachable reports whether a replica can be expected to answer, even if its
// answers are errors: prompts can be copied from it.
func (h *Health) Reachable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.LoadKey()]
	lost := h.hasEnded(r.LoadKey(), now) || rec != nil && rec.ejected(now) && meansSilence(rec.cause) || h.isSilent(r.LoadKey(), now)
	return !lost && !h.domainIsCutOff(r.Domain, now)
}

// markUsable writes into usable which ready replicas of a pool may be chosen, by
// rule 4, and returns how many. None of those that are left out may.
func (h *Health) markUsable(usable []bool, leftOut replicaSet, p *Pool, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	reachable := h.markReachable(usable, leftOut, p, now)
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
		return h.markReachable(usable, leftOut, p, now)
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

// Forget drops what is too old to matter. ownDomain never counts as cut off.
func (h *Health) Forget(ownDomain state.FailureDomain, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, rec := range h.records {
		rec.advance(now)
		good, bad := rec.sums()
		if good+bad == 0 && now.Sub(rec.until) > ejectionMemory {
			delete(h.records, key)
		}
	}
	for p, e := range h.peers {
		if now.After(e.until) {
			delete(h.peers, p)
		}
	}
	h.silences.forget(now)
	h.forgetEnds(now)
	h.forgetLives(now)
	delete(h.domainSeen, ownDomain)
	for domain, at := range h.domainSeen {
		if now.Sub(at) > domainMemory {
			delete(h.domainSeen, domain)
		}
	}
}

// Explain returns the share of failures at a replica as this daemon counted them,
// and why the replica gets no requests; the reason is empty if it does.
func (h *Health) Explain(r *Replica, now time.Time) (failures float64, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.records[r.LoadKey()]; rec != nil {
		good, bad := rec.sums()
		if good+bad > 0 {
			failures = float64(bad) / float64(good+bad)
		}
		if rec.ejected(now) && !h.hasEnded(r.LoadKey(), now) {
			return failures, rec.cause.String()
		}
	}
	if h.hasEnded(r.LoadKey(), now) {
		return failures, reasonEnded
	}
	if h.isSilent(r.LoadKey(), now) {
		return failures, reasonSilentToOthers
	}
	if h.domainIsCutOff(r.Domain, now) {
		return failures, reasonDomainCutOff
	}
	return failures, ""
}
