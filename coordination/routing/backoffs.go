// This file decides which replicas get no requests because they requested a backoff from this
// daemon: they refused a request and specified how long they want no more.
//
// Inputs: the backoffs that replicas requested in their responses (from transport/relay), and
// requests of operators to lift one. The rule:
//
//  1. A replica that is backing off gets no request from this daemon: no first attempt, retry or
//     remainder of a stream, and none because it is the home of a prompt or because no other
//     replica is left. Ejection (eject.go) does not achieve that: it needs four refusals, lasts
//     half a second at first, and is ignored where most replicas are skipped.
//  2. Of several backoffs the one that ends last counts. It is not changed by a later request for
//     a shorter one, a success, a refusal without a backoff, or a value that is not a duration.
//  3. A backoff applies to the incarnation that requested it, as far as entries identify
//     incarnations. It outlives the entry, a list, a view and a reload, but does not apply to
//     another incarnation. A response from an incarnation whose entry is not known yet is
//     attributed to the former one: then one more request may be refused, and two are allowed.
//  4. It applies only to the daemon that received the response, and is not evidence of failure: a
//     replica that is full with the requests of one daemon is not broken.
//  5. A backoff longer than maxBackoff is reduced to that.
//  6. If all replicas that could serve a request are backing off, it is refused at once as not
//     run, with the time until the first of them is back.
//
// A replica that is backing off still counts in the service's mean load, and prompts can be
// copied from it: the copy is requested by another replica, not by this daemon.

package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBackoff bounds what a replica can request. A broken replica may request years, and only
	// a restart of it would end that. A replica that means to serve again requests seconds;
	// operators see backoffs and can lift them.
	maxBackoff = time.Hour
	// maxBackoffs bounds the memory. It is far above the planned number of replicas, 4,500.
	// Beyond it, the backoff that ends first is evicted.
	maxBackoffs = 10_000
	// backoffJitter is the time over which the retries of callers are spread after the first
	// backoff has ended, so that they don't all arrive at the one replica that is back.
	backoffJitter = 300 * time.Millisecond
)

// Backoffs records which replicas requested a backoff from this daemon. It is safe for concurrent
// use. A nil *Backoffs has no records.
type Backoffs struct {
	// known is the number of backoffs. It lets requests skip the lock while there are none.
	known atomic.Int64

	mu       sync.RWMutex
	backoffs map[ReplicaID]backoff
}

// backoff is the backoff of one replica.
type backoff struct {
	born        StartTime // start time of the incarnation that requested it
	until       time.Time
	requestedBy RequestID // the request whose response last requested the backoff
}

// NewBackoffs returns an empty record.
func NewBackoffs() *Backoffs { return &Backoffs{backoffs: make(map[ReplicaID]backoff)} }

// appliesTo reports whether the backoff applies to an incarnation of the replica, by rule 3. An
// entry without an incarnation time is taken for the same incarnation.
func (t backoff) appliesTo(r *Replica) bool {
	return t.born == r.StartTime || t.born == 0 || r.StartTime == 0
}

// Record records that a replica, in its response to the request by, requested a backoff of
// duration d. It returns how much longer the replica backs off, and whether it was not backing
// off before.
func (s *Backoffs) Record(r *Replica, d time.Duration, by RequestID, now time.Time) (left time.Duration, isNew bool) {
	if s == nil || d <= 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, ok := s.backoffs[r.ID]
	isNew = !ok || !before.appliesTo(r) || !now.Before(before.until)
	t := backoff{born: r.StartTime, until: now.Add(min(d, maxBackoff)), requestedBy: by}
	if !isNew {
		t.until = latest(t.until, before.until)
	}
	if !ok && len(s.backoffs) >= maxBackoffs {
		s.evictFirst()
	}
	s.backoffs[r.ID] = t
	s.known.Store(int64(len(s.backoffs)))
	return t.until.Sub(now), isNew
}

// evictFirst removes the backoff that ends first. s.mu must be held.
func (s *Backoffs) evictFirst() {
	var first ReplicaID
	for id, t := range s.backoffs {
		if first == "" || t.until.Before(s.backoffs[first].until) {
			first = id
		}
	}
	delete(s.backoffs, first)
}

// Known reports whether any backoff is recorded.
func (s *Backoffs) Known() bool { return s != nil && s.known.Load() > 0 }

// Remaining returns how much longer a replica backs off, or 0 if it does not.
func (s *Backoffs) Remaining(r *Replica, now time.Time) time.Duration {
	if !s.Known() {
		return 0
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.backoffs[r.ID]
	if !ok || !t.appliesTo(r) {
		return 0
	}
	return max(0, t.until.Sub(now))
}

// RequestedBy returns the id of the request in whose response a replica asked for its current
// backoff or last extended it, or "" if the replica is not backing off.
func (s *Backoffs) RequestedBy(r *Replica, now time.Time) RequestID {
	if s.Remaining(r, now) == 0 {
		return ""
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.backoffs[r.ID].requestedBy
}

// retryAfter returns the time after which the caller of the request id, which was refused because
// replicas of the pool are backing off, should retry, by rule 6. It returns false if no replica
// of the pool is backing off.
func (s *Backoffs) retryAfter(p *Pool, id RequestID, now time.Time) (time.Duration, bool) {
	if !s.Known() {
		return 0, false
	}
	var first time.Duration
	for i := range p.Ready {
		if left := s.Remaining(&p.Ready[i], now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	draw := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
	return first + time.Duration(draw*float64(backoffJitter)), first > 0
}

// Lift ends the backoff of a replica on behalf of an operator. It returns false if the replica
// was not backing off.
func (s *Backoffs) Lift(id ReplicaID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.backoffs[id]
	delete(s.backoffs, id)
	s.known.Store(int64(len(s.backoffs)))
	return ok && now.Before(t.until)
}

// Forget removes the backoffs that are over.
func (s *Backoffs) Forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.backoffs {
		if !now.Before(t.until) {
			delete(s.backoffs, id)
		}
	}
	s.known.Store(int64(len(s.backoffs)))
}
