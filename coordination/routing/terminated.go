// This file decides which replicas get no requests because their process has terminated:
// connections broke with requests in flight, and a new one was refused (transport/relay).
//
// Inputs: terminations that this daemon saw or that others reported (crash.go), and the store
// entries of replicas. The rule:
//
//  1. An incarnation that has terminated gets nothing while any other replica may be chosen. Its
//     entry stays in the store for three of its heartbeats. A replica that restarts within that
//     time accepts the connections meant for its former incarnation, but is cold and must not get
//     the load of a warm one. Its new entry names another incarnation, to which this rule does
//     not apply.
//  2. If no other replica may be chosen, or fewer than have terminated and the service limits
//     cold replicas, terminated replicas are tried at the rate of cold ones (cold.go). Links that
//     refuse connections look like terminations, so that most replicas of a service may be taken
//     for terminated although they live; a response on a connection that was opened before proves
//     it (liveness.go).
//  3. After terminatedHold the termination no longer counts: by then the store would have
//     announced another incarnation. While no daemon that this one hears reads the store, or none did
//     a moment ago (coordination/membership/stale_entries.go), it may not have; then
//     terminatedHoldStale applies.

package routing

import "time"

const (
	// terminatedHold is how long the entry of a new incarnation may be unknown: store watches can
	// be silent for 1.7 s, and peers forward it within tenths of a second.
	terminatedHold = 3 * time.Second
	// terminatedHoldStale is longer than a restart of some seconds and the cold time after it.
	// With terminatedHold instead, replicas that come back while the store is unavailable get too
	// much.
	terminatedHoldStale = 10 * time.Second
)

// SetEntriesStale sets whether no daemon that this one hears reads the store, or none did a moment
// ago, so that entries may be those of former incarnations.
func (h *Health) SetEntriesStale(stale bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terminatedHold = terminatedHold
	if stale {
		h.terminatedHold = terminatedHoldStale
	}
}

// ReportTerminations records terminations of replicas from crash reports.
func (h *Health) ReportTerminations(reports []CrashReport, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range reports {
		if !r.Clears && r.Age < terminatedHoldStale {
			h.terminated[r.Replica] = latest(h.terminated[r.Replica], now.Add(-r.Age))
		}
	}
}

// ReportTermination records that a replica has just terminated.
func (h *Health) ReportTermination(r *Replica, now time.Time) {
	h.ReportTerminations([]CrashReport{{Replica: r.LoadKey()}}, now)
}

// isTerminated reports whether an incarnation has terminated and gets no requests. h.mu must be
// held.
func (h *Health) isTerminated(key LoadKey, now time.Time) bool {
	at, ok := h.terminated[key]
	return ok && now.Sub(at) < h.terminatedHold
}

// HasTerminated reports whether an incarnation is known to have terminated.
func (h *Health) HasTerminated(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isTerminated(r.LoadKey(), now)
}

// terminatedReplicas returns the positions of the ready replicas of a pool that have terminated,
// with the time until which each is skipped for that; nil if there are none.
func (h *Health) terminatedReplicas(p *Pool, now time.Time) map[int]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out map[int]time.Time
	for key, at := range h.terminated {
		i, ok := p.positions.lookup(key)
		if !ok || p.Ready[i].LoadKey() != key || !h.isTerminated(key, now) {
			continue
		}
		if out == nil {
			out = make(map[int]time.Time)
		}
		out[i] = at.Add(h.terminatedHold)
	}
	return out
}

// Terminated returns the incarnations known to have terminated.
func (h *Health) Terminated(now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LoadKey
	for key := range h.terminated {
		if h.isTerminated(key, now) {
			out = append(out, key)
		}
	}
	return out
}

// forgetTerminated removes terminations that have expired. h.mu must be held.
func (h *Health) forgetTerminated(now time.Time) {
	for key, at := range h.terminated {
		if now.Sub(at) >= terminatedHoldStale {
			delete(h.terminated, key)
		}
	}
}

// reasonTerminated is shown to operators. Tools match the text.
const reasonTerminated = "it has ended; its entry is not renewed yet"
