// This file decides which replicas are passed over because requests to them
// failed. The replicas' own health checks are not asked: they cost a slot, and
// a replica can be ill while its check is good.

package routing

import (
	"sync"
	"time"
)

// Result says how an attempt at a replica ended, as evidence of its health.
type Result int

// The results of attempts.
const (
	// ResultGood is a whole answer, or an event of a stream.
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

// weight is how strongly a result counts against the replica.
func (r Result) weight() float64 {
	switch r {
	case ResultGood:
		return 0
	case ResultRefused:
		return 0.5
	default:
		return 1
	}
}

// Settings of the passing over.
const (
	// failureSmoothing is the weight of the newest result in the failure rate.
	failureSmoothing = 0.2
	// failureLimit is the failure rate from which a replica is passed over. A
	// replica that spoils a few answers in a hundred stays below it.
	failureLimit = 0.3
	// firstPause and longestPause bound for how long a replica is passed over;
	// the time doubles with each failure in a row.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// forgiveAfter is how many good results in a row reset the pause.
	forgiveAfter = 5
	// peerDoubtAge is how long a peer's word that a replica is ill counts.
	peerDoubtAge = time.Second
)

// Health keeps the evidence for each replica. It is safe for use by many
// goroutines.
type Health struct {
	mu      sync.Mutex
	records map[ReplicaID]*record
	doubts  map[LoadKey]time.Time // when peers last said so
}

type record struct {
	rate   float64
	pause  time.Duration
	until  time.Time
	streak int // good results in a row
	key    LoadKey
}

// NewHealth returns an empty table.
func NewHealth() *Health {
	return &Health{records: make(map[ReplicaID]*record), doubts: make(map[LoadKey]time.Time)}
}

// Report takes the result of an attempt. It returns true if the replica is
// passed over from now on and was not before.
func (h *Health) Report(r *Replica, result Result, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.records[r.ID]
	if rec == nil {
		if result == ResultGood {
			return false
		}
		rec = &record{key: r.LoadKey()}
		h.records[r.ID] = rec
	}
	rec.rate += failureSmoothing * (result.weight() - rec.rate)
	if result == ResultGood {
		if rec.streak++; rec.streak >= forgiveAfter {
			rec.pause = 0
		}
		return false
	}
	rec.streak = 0
	certain := result == ResultUnreachable || result == ResultSilent
	if now.Before(rec.until) || (!certain && rec.rate < failureLimit && rec.pause == 0) {
		return false
	}
	rec.pause = min(max(firstPause, 2*rec.pause), longestPause)
	rec.until = now.Add(rec.pause)
	return true
}

// Usable reports whether a replica may be chosen.
func (h *Health) Usable(r *Replica, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usable(r, now)
}

func (h *Health) usable(r *Replica, now time.Time) bool {
	if rec := h.records[r.ID]; rec != nil && now.Before(rec.until) {
		return false
	}
	at, ok := h.doubts[r.LoadKey()]
	return !ok || now.Sub(at) > peerDoubtAge
}

// fill writes into out which replicas are usable, and returns their number.
func (h *Health) fill(replicas []Replica, now time.Time, out []bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for i := range replicas {
		out[i] = h.usable(&replicas[i], now)
		if out[i] {
			n++
		}
	}
	return n
}

// PassedOver returns the replicas that this daemon's own evidence speaks
// against, for its peers.
func (h *Health) PassedOver(now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []LoadKey
	for _, rec := range h.records {
		if now.Before(rec.until) {
			out = append(out, rec.key)
		}
	}
	return out
}

// Doubt takes a peer's word that replicas are ill. It counts for a short time
// only, and no daemon hands on what it heard, so that a doubt ends with its
// evidence.
func (h *Health) Doubt(keys []LoadKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range keys {
		h.doubts[k] = now
	}
}

// Forget drops the records of replicas that are gone.
func (h *Health) Forget(known func(ReplicaID) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.records {
		if !known(id) {
			delete(h.records, id)
		}
	}
}

// Explain returns the failure rate of a replica and why it is passed over; the
// reason is empty if it is not.
func (h *Health) Explain(r *Replica, now time.Time) (rate float64, why string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rec := h.records[r.ID]; rec != nil {
		rate = rec.rate
		if now.Before(rec.until) {
			return rate, "own requests failed"
		}
	}
	if !h.usable(r, now) {
		return rate, "a peer's requests failed"
	}
	return rate, ""
}
