// This file decides which replicas get nothing because they asked this daemon for rest: they
// turned a request away and said for how long they want no more.
//
// Inputs: the rests that replicas asked for in their answers (transport/relay hands them on),
// operators' wishes to lift one. The rule:
//
//  1. A replica that rests gets no request from this daemon: no first try, retry or rest of a
//     stream, not as the home of a prompt, and not because nothing else is left. What evidence
//     does (eject.go) does not stand in for that: it needs four refusals, lasts half a second
//     at first and is void where most replicas are left out.
//  2. Of several rests the one that ends last counts. A shorter one that is asked for later, a
//     success, a refusal that asks for none, and a text that is no time change nothing.
//  3. A rest binds the start of the replica that asked, as far as entries tell starts apart. It
//     outlives the entry, a list, a view and a reload; another start is free. An answer of a
//     start whose entry is not known yet is taken for the former one's: then one request more
//     may be turned away, and two are allowed.
//  4. It binds the daemon that was told and no other, and is no evidence of failure: a replica
//     that is full with the requests of one daemon is not broken.
//  5. More than longestRest is cut to that.
//  6. Where all that could serve a request rest, it is refused at once, as not run, with the time
//     until the first of them is back.
//
// A replica that rests is still counted in the service's mean, and prompts can be copied from
// it: a copy is a request of another replica, not of this daemon.

package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// longestRest bounds what a replica can ask for: one that is broken may ask for years, and nothing
	// but a new start would end that. A replica that means to serve again asks for seconds; operators
	// see rests and can lift them.
	longestRest = time.Hour
	// maxRests bounds the memory: far more replicas than are planned, 4,500. Of more, the one
	// that ends first is forgotten.
	maxRests = 10_000
	// restSpread is the time over which callers come back after the first rest has ended, so that they
	// do not all find the one replica that is back.
	restSpread = 300 * time.Millisecond
)

// Rests remembers which replicas asked this daemon for rest. It is safe for use by many
// goroutines. A nil one knows none.
type Rests struct {
	// known is the number of rests, so that requests take no lock while there are none.
	known atomic.Int64

	mu    sync.RWMutex
	rests map[ReplicaID]rest
}

// rest is the time of one replica.
type rest struct {
	born  StartTime // the start that asked
	until time.Time
	by    RequestID // whose answer asked last
}

// NewRests returns an empty memory.
func NewRests() *Rests { return &Rests{rests: make(map[ReplicaID]rest)} }

// binds reports whether a start of the replica is bound by the rest, by rule 3. An entry that
// does not say when its start began is held to be the same one.
func (t rest) binds(r *Replica) bool { return t.born == r.StartTime || t.born == 0 || r.StartTime == 0 }

// Ask takes in that a replica, in its answer to a request, asked for rest. It returns how much longer the replica rests, and
// whether it did not before.
func (s *Rests) Ask(r *Replica, d time.Duration, by RequestID, now time.Time) (left time.Duration, isNew bool) {
	if s == nil || d <= 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, ok := s.rests[r.ID]
	isNew = !ok || !before.binds(r) || !now.Before(before.until)
	t := rest{born: r.StartTime, until: now.Add(min(d, longestRest)), by: by}
	if !isNew {
		t.until = latest(t.until, before.until)
	}
	if !ok && len(s.rests) >= maxRests {
		s.makeRoom()
	}
	s.rests[r.ID] = t
	s.known.Store(int64(len(s.rests)))
	return t.until.Sub(now), isNew
}

// makeRoom forgets the rest that ends first. The caller holds the lock.
func (s *Rests) makeRoom() {
	var first ReplicaID
	for id, t := range s.rests {
		if first == "" || t.until.Before(s.rests[first].until) {
			first = id
		}
	}
	delete(s.rests, first)
}

// Known reports whether any replica rests.
func (s *Rests) Known() bool { return s != nil && s.known.Load() > 0 }

// Left returns how much longer a replica rests; 0: it does not.
func (s *Rests) Left(r *Replica, now time.Time) time.Duration {
	if !s.Known() {
		return 0
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.rests[r.ID]
	if !ok || !t.binds(r) {
		return 0
	}
	return max(0, t.until.Sub(now))
}

// AskedBy returns the request whose answer asked last for the rest of a replica; empty: it does
// not rest.
func (s *Rests) AskedBy(r *Replica, now time.Time) RequestID {
	if s.Left(r, now) == 0 {
		return ""
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.rests[r.ID].by
}

// backIn returns the time after which the caller of a request should come back that was refused
// because replicas of a pool rest, by rule 6; false: none rests.
func (s *Rests) backIn(p *Pool, id RequestID, now time.Time) (time.Duration, bool) {
	if !s.Known() {
		return 0, false
	}
	var first time.Duration
	for i := range p.Ready {
		if left := s.Left(&p.Ready[i], now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	draw := float64(xxhash.Sum64String(string(id))) / math.MaxUint64
	return first + time.Duration(draw*float64(restSpread)), first > 0
}

// Lift ends the rest of a replica on an operator's word. It returns false if it did not rest.
func (s *Rests) Lift(id ReplicaID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.rests[id]
	delete(s.rests, id)
	s.known.Store(int64(len(s.rests)))
	return ok && now.Before(t.until)
}

// Forget drops the rests that are over.
func (s *Rests) Forget(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.rests {
		if !now.Before(t.until) {
			delete(s.rests, id)
		}
	}
	s.known.Store(int64(len(s.rests)))
}
