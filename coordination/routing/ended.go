// This file decides which replicas get nothing because they have ended: connections broke under
// requests, and a new one was refused (transport/relay).
//
// Inputs: the ends that this daemon saw and that others reported (crash.go), and the entries of
// replicas. The rule:
//
//  1. An incarnation that has ended gets nothing more while anything else may be chosen. Its entry
//     stays for three of its heartbeats, and one that starts again within that time takes the
//     connections of those who mean the former one: it is cold, and must not get what a warm one
//     gets. Its new entry names another incarnation, to which none of this applies.
//  2. Where nothing else may be chosen, or fewer than have ended and the service bounds what cold
//     ones get, it is tried, and gets what a cold one may (cold.go). Links that refuse look like
//     ends, so that most replicas of a service may be taken for ended that live; a trial that is
//     answered on a connection from before proves so (lives.go).
//  3. After endedHold the end counts no more: the store would have told of another start. While no
//     daemon that is known reads it, or none did a moment ago, it may not, and endedHoldStale holds.

package routing

import "time"

const (
	// endedHold is how long a new start's entry may be unknown: the store's watches can be silent for
	// 1.7 s, and peers pass it on in tenths of a second.
	endedHold = 3 * time.Second
	// endedHoldStale outlasts a restart of some seconds and the cold time after it. With
	// endedHold in its place replicas that come back while the store is away get too much.
	endedHoldStale = 10 * time.Second
)

// SetEntriesStale says whether nobody reads the store, or nobody did a moment ago, so that entries
// may be those of former starts.
func (h *Health) SetEntriesStale(stale bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedHold = endedHold
	if stale {
		h.endedHold = endedHoldStale
	}
}

// ReportEnds takes in that incarnations of replicas ended a while ago.
func (h *Health) ReportEnds(reports []CrashReport, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range reports {
		if !r.Acquits && r.Age < endedHoldStale {
			h.ended[r.Replica] = latest(h.ended[r.Replica], now.Add(-r.Age))
		}
	}
}

// ReportEnd takes in that a replica has just ended.
func (h *Health) ReportEnd(r *Replica, now time.Time) {
	h.ReportEnds([]CrashReport{{Replica: r.LoadKey()}}, now)
}

// hasEnded reports whether an incarnation has ended and gets nothing. The caller holds the
// lock.
func (h *Health) hasEnded(key LoadKey, now time.Time) bool {
	at, ok := h.ended[key]
	return ok && now.Sub(at) < h.endedHold
}

// markEnded returns which ready replicas of a pool have ended, and until when each is held for
// that; nil if none has.
func (h *Health) markEnded(p *Pool, now time.Time) map[int]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out map[int]time.Time
	for key, at := range h.ended {
		i, ok := p.positions.lookup(key)
		if !ok || p.Ready[i].LoadKey() != key || !h.hasEnded(key, now) {
			continue
		}
		if out == nil {
			out = make(map[int]time.Time)
		}
		out[i] = at.Add(h.endedHold)
	}
	return out
}

// Ended returns the incarnations that have ended, by what is known here.
func (h *Health) Ended(now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LoadKey
	for key := range h.ended {
		if h.hasEnded(key, now) {
			out = append(out, key)
		}
	}
	return out
}

// forgetEnds drops the ends that no longer matter. The caller holds the lock.
func (h *Health) forgetEnds(now time.Time) {
	for key, at := range h.ended {
		if now.Sub(at) >= endedHoldStale {
			delete(h.ended, key)
		}
	}
}

// reasonEnded is the reason that operators see.
const reasonEnded = "it has ended; its entry is not renewed yet"
