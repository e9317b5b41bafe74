// This file decides which replicas are passed over because requests to them
// failed. The replicas' own health checks are not asked: they cost a slot, and
// a replica can be ill while its check is good.
//
// One daemon sees few requests at one replica, so daemons tell each other what
// they counted, and each judges on the sum: all come to the same conclusion at
// about the same time, as soon as the fleet together has seen enough.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

// Result says how an attempt at a replica ended, as evidence of its health.
type Result int

// The results of attempts.
const (
	// ResultGood is a whole answer.
	ResultGood Result = iota
	// ResultRefused is an answer that says that the request was not run.
	ResultRefused
	// ResultFailed is an answer with an error of the replica's own.
	ResultFailed
	// ResultBroken is an answer that broke off or was none.
	ResultBroken
	// ResultSilent is no answer within the time that others need.
	ResultSilent
	// ResultUnreachable is a connection that was not taken.
	ResultUnreachable
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"good", "refused", "failed", "broken", "silent", "unreachable"}[r]
}

// Settings of the passing over.
const (
	// evidenceWindow is the time whose results count, in evidenceSlots parts.
	evidenceWindow = 3 * time.Second
	evidenceSlots  = 6
	// leastFailures and failureShare are the number of failures and their share
	// from which a replica is passed over. Replicas that spoil a few answers in a
	// hundred stay below it.
	leastFailures = 4
	failureShare  = 0.3
	// firstPause and longestPause bound for how long a replica is passed over;
	// the time doubles while failures go on.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// forgiveAfter is the time without a pause after which the next one is short
	// again.
	forgiveAfter = 6 * time.Second
	// PeerEvidenceAge is how long a peer's counts are taken into account. In a large
	// fleet, where each peer is heard more rarely, it is PeerEvidenceAgeLarge.
	PeerEvidenceAge      = time.Second
	PeerEvidenceAgeLarge = 3 * time.Second
	// SilentDomain is the time without news of any daemon of a domain after which its
	// replicas are passed over: the domain is cut off. In a large fleet, where news
	// travels over several daemons, it is SilentDomainLarge.
	SilentDomain      = 700 * time.Millisecond
	SilentDomainLarge = 1200 * time.Millisecond
)

// Evidence is what a daemon counted at one replica within the window.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Replica LoadKey
	Good    uint16
	Bad     uint16
}

// Health keeps the evidence for each replica. It is safe for use by many
// goroutines.
type Health struct {
	mu      sync.Mutex
	records map[LoadKey]*record
	// passedOver are the records of the replicas that are passed over.
	passedOver map[LoadKey]*record
	peers      map[PeerID]peerEvidence
	domains    map[state.FailureDomain]time.Time // when there was last news of a domain's daemons
	silence    time.Duration                     // after which a domain is taken as cut off
}

type record struct {
	good, bad [evidenceSlots]int
	slot      int64
	pause     time.Duration
	until     time.Time
	cause     Result
}

type peerEvidence struct {
	until  time.Time // when the counts no longer matter
	counts []Evidence
}

// NewHealth returns an empty table.
func NewHealth() *Health {
	return &Health{records: make(map[LoadKey]*record), passedOver: make(map[LoadKey]*record), peers: make(map[PeerID]peerEvidence), domains: make(map[state.FailureDomain]time.Time), silence: SilentDomain}
}

// Report takes the result of an attempt. It returns true if the replica is
// passed over from now on and was not before.
func (h *Health) Report(r *Replica, result Result, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := r.LoadKey()
	rec := h.records[key]
	if rec == nil {
		rec = &record{}
		h.records[key] = rec
	}
	rec.advance(now)
	i := rec.slot % evidenceSlots
	if result == ResultGood {
		rec.good[i]++
		return false
	}
	rec.bad[i]++
	if now.Before(rec.until) || !h.speaksAgainst(key, rec, result, now) {
		return false
	}
	if now.Sub(rec.until) > forgiveAfter {
		rec.pause = 0
	}
	rec.pause = min(max(firstPause, 2*rec.pause), longestPause)
	rec.until, rec.cause = now.Add(rec.pause), result
	h.passedOver[key] = rec
	return true
}

// speaksAgainst judges a replica after a failure.
func (h *Health) speaksAgainst(key LoadKey, rec *record, result Result, now time.Time) bool {
	if result == ResultUnreachable || result == ResultSilent {
		return true
	}
	good, bad := rec.sums()
	for _, p := range h.peers {
		if now.After(p.until) {
			continue
		}
		for _, e := range p.counts {
			if e.Replica == key {
				good += int(e.Good)
				bad += int(e.Bad)
			}
		}
	}
	return bad >= leastFailures && float64(bad) >= failureShare*float64(good+bad)
}

// advance clears the slots whose time is over.
func (r *record) advance(now time.Time) {
	slot := now.UnixNano() / int64(evidenceWindow/evidenceSlots)
	if r.slot == 0 {
		r.slot = slot
	}
	for steps := 0; r.slot < slot && steps < evidenceSlots; steps++ {
		r.slot++
		r.good[r.slot%evidenceSlots], r.bad[r.slot%evidenceSlots] = 0, 0
	}
	r.slot = max(r.slot, slot)
}

func (r *record) sums() (good, bad int) {
	for i := range evidenceSlots {
		good += r.good[i]
		bad += r.bad[i]
	}
	return good, bad
}

// Observe takes a peer's counts, which matter for a time. They must not be changed
// afterwards.
func (h *Health) Observe(p PeerID, counts []Evidence, now time.Time, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[p] = peerEvidence{until: now.Add(age), counts: counts}
}

// ObserveDomains takes when there was last news of the daemons of other domains, and
// after which silence a domain is taken as cut off. A domain that had no daemons at
// all is never silent.
func (h *Health) ObserveDomains(heard map[state.FailureDomain]time.Time, silence time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silence = silence
	for domain, at := range heard {
		h.domains[domain] = at
	}
}

// Own returns this daemon's counts of the replicas at which requests failed.
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

func saturate(n int) uint16 { return uint16(min(n, 1<<16-1)) }

// Usable reports whether a replica may be chosen.
func (h *Health) Usable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable(r, now)
}

func (h *Health) usable(r *Replica, now time.Time) bool {
	if rec := h.records[r.LoadKey()]; rec != nil && now.Before(rec.until) {
		return false
	}
	return !h.domainIsSilent(r.Domain, now)
}

// domainIsSilent reports whether daemons of a domain were heard once and all of them
// have fallen silent.
func (h *Health) domainIsSilent(domain state.FailureDomain, now time.Time) bool {
	at, ok := h.domains[domain]
	return ok && now.Sub(at) > h.silence
}

// Reachable reports whether a replica can be expected to answer, even if its
// answers are errors.
func (h *Health) Reachable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.LoadKey()]
	lost := rec != nil && now.Before(rec.until) && (rec.cause == ResultUnreachable || rec.cause == ResultSilent)
	return !lost && !h.domainIsSilent(r.Domain, now)
}

// fill writes into open which ready replicas of a pool may be chosen. Those in
// domains that are cut off are out of the question, unless nothing else is left. Of
// the others, those that look ill are passed over, unless most do: then the
// evidence speaks against the service or this daemon's links, and passing over
// would only crowd the rest.
func (h *Health) fill(p *Pool, now time.Time, open []bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	near := h.openNear(p, now, open)
	usable := near
	for key, rec := range h.passedOver {
		if !now.Before(rec.until) {
			delete(h.passedOver, key)
			continue
		}
		if i, ok := p.positions[key]; ok && open[i] {
			open[i] = false
			usable--
		}
	}
	if 2*usable < near || usable == 0 {
		h.openNear(p, now, open)
	}
}

// openNear opens the replicas in domains that are not cut off, or all if there are
// none, and returns how many it opened.
func (h *Health) openNear(p *Pool, now time.Time, open []bool) int {
	silent := make(map[state.FailureDomain]bool)
	for domain := range h.domains {
		if h.domainIsSilent(domain, now) {
			silent[domain] = true
		}
	}
	near := 0
	for i := range p.Ready {
		open[i] = len(silent) == 0 || !silent[p.Ready[i].Domain]
		if open[i] {
			near++
		}
	}
	if near > 0 {
		return near
	}
	for i := range open {
		open[i] = true
	}
	return len(open)
}

// Forget drops what is too old to matter. ownDomain is never taken as silent.
func (h *Health) Forget(ownDomain state.FailureDomain, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, rec := range h.records {
		rec.advance(now)
		good, bad := rec.sums()
		if good+bad == 0 && now.Sub(rec.until) > forgiveAfter {
			delete(h.records, key)
		}
	}
	for p, e := range h.peers {
		if now.After(e.until) {
			delete(h.peers, p)
		}
	}
	delete(h.domains, ownDomain)
	for domain, at := range h.domains {
		// Daemons that are gone for good say nothing of the replicas there.
		if now.Sub(at) > domainForget {
			delete(h.domains, domain)
		}
	}
}

// domainForget is how long the silence of a domain's daemons speaks against its
// replicas. After that requests find out.
const domainForget = 15 * time.Second

// Explain returns the share of failures at a replica as this daemon saw it, and
// why it is passed over; the reason is empty if it is not.
func (h *Health) Explain(r *Replica, now time.Time) (share float64, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.records[r.LoadKey()]; rec != nil {
		good, bad := rec.sums()
		if good+bad > 0 {
			share = float64(bad) / float64(good+bad)
		}
		if now.Before(rec.until) {
			return share, rec.cause.String()
		}
	}
	if h.domainIsSilent(r.Domain, now) {
		return share, "no daemon of its domain is heard"
	}
	return share, ""
}
