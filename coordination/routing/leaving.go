// This file decides which replicas leave by their own word, whatever their entries say: a
// replica that leaves says so in all its answers.
//
// Inputs: such answers (transport/relay hands them on), the reports of other daemons, and the
// entries of replicas. An answer by another replica at the address says as much: the one that was
// meant has gone. The rule:
//
//  1. A replica that said so gets no new request from then on, not even where nothing else is
//     left. What runs there ends in peace, prompts are copied from it, and its place among the
//     ready ones is taken as if its entry said that it is draining.
//  2. That is final for the start that said so: no entry, list or answer undoes it. Another start
//     is free; an entry that does not say when its start began is held to be the same one.
//  3. What is new is told to other daemons at once, and passed on once by each that learns of it.
//     While an entry still calls the replica ready, daemons that start are sent it first, and one
//     daemon, drawn by chance, each second (daemon/routes): the store would not tell them.
//  4. It is forgotten when no entry has named that start for leavingMemory.
//
// Unlike a rest (resting.go) it is a fact about the replica and not about one daemon's share of
// it, so that one daemon's word is enough for all.

package routing

import (
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// LeavingReport says that a start of a replica leaves.
type LeavingReport struct {
	Replica LoadKey
	Age     time.Duration // since it said so
}

const (
	// leavingMemory outlasts entries that lapse and are back while the store is in trouble.
	leavingMemory = 10 * time.Minute
	// leastLeavings bounds the memory, and what waits to be sent, of a fleet with fewer entries;
	// with more it is as many as there are entries, since all may leave at once. Of more than
	// that, the one that was named longest ago is forgotten.
	leastLeavings = 5000
)

// Leavings remembers which replicas leave by their own word. It is safe for use by many
// goroutines. A nil one knows none.
type Leavings struct {
	// known is the number of entries, so that requests take no lock while there are none.
	known atomic.Int64

	mu     sync.RWMutex
	told   map[ReplicaID]time.Time // when replicas told this daemon, whichever start
	starts map[LoadKey]*leaving
	outbox outbox[LeavingReport] // its bound is that of starts
}

// leaving is what is known of one start, from whomever.
type leaving struct {
	at      time.Time // when it said so
	namedAt time.Time // when an entry named it last, or when that was learnt
	ready   bool      // its entry calls it ready
}

// NewLeavings returns an empty memory.
func NewLeavings() *Leavings {
	return &Leavings{
		told: make(map[ReplicaID]time.Time), starts: make(map[LoadKey]*leaving),
		outbox: outbox[LeavingReport]{
			waiting: make(chan struct{}, 1), most: leastLeavings, keeps: true,
			before: func(a, b pendingReport[LeavingReport]) int { return b.at.Compare(a.at) },
		},
	}
}

// Waiting has a value once something is new: views are to be built anew, and reports wait for
// [Leavings.TakeReports].
func (l *Leavings) Waiting() <-chan struct{} { return l.outbox.waiting }

// Say takes in that a replica told this daemon that it leaves. It returns true if that is new.
func (l *Leavings) Say(r *Replica, now time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[r.ID] = now
	return l.add(r.LoadKey(), now, now)
}

// Observe takes in the reports of another daemon. It returns the starts that are new.
func (l *Leavings) Observe(reports []LeavingReport, now time.Time) []LoadKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []LoadKey
	for _, r := range reports {
		if l.add(r.Replica, now.Add(-r.Age), now) {
			found = append(found, r.Replica)
		}
	}
	return found
}

// add notes a start that leaves, and has it passed on if it is new. The caller holds the lock.
func (l *Leavings) add(key LoadKey, at, now time.Time) bool {
	if l.starts[key] != nil {
		return false
	}
	if len(l.starts) >= l.outbox.most {
		l.makeRoom()
	}
	l.starts[key] = &leaving{at: at, namedAt: now, ready: true}
	l.count()
	l.outbox.add(LeavingReport{Replica: key}, at)
	return true
}

// makeRoom forgets the start that was named longest ago. The caller holds the lock.
func (l *Leavings) makeRoom() {
	var first LoadKey
	for key, s := range l.starts {
		if l.starts[first] == nil || s.namedAt.Before(l.starts[first].namedAt) {
			first = key
		}
	}
	delete(l.starts, first)
}

// count sets known. The caller holds the lock.
func (l *Leavings) count() { l.known.Store(int64(len(l.told) + len(l.starts))) }

// Known reports whether any replica is known to leave by its own word.
func (l *Leavings) Known() bool { return l != nil && l.known.Load() > 0 }

// Leaves reports whether a start of a replica leaves by its own word, by rule 2.
func (l *Leavings) Leaves(r *Replica) bool {
	if !l.Known() {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, wasTold := l.told[r.ID]
	return l.starts[r.LoadKey()] != nil || r.StartTime == 0 && wasTold
}

// Apply moves the replicas that leave by their own word from the ready ones of a pool to the
// draining ones. It returns false if there are none.
func (l *Leavings) Apply(p *Pool) bool {
	leaving := l.among(p)
	if leaving == nil {
		return false
	}
	ready := make([]Replica, 0, len(p.Ready))
	for i, r := range p.Ready {
		if leaving.has(i) {
			p.Draining = append(p.Draining, r)
			continue
		}
		ready = append(ready, r)
	}
	p.Ready = ready
	return true
}

// among returns which ready replicas of a pool leave by their own word. It looks them up by their
// keys: few leave, of very many.
func (l *Leavings) among(p *Pool) (out replicaSet) {
	if !l.Known() {
		return nil
	}
	indexed := 0
	if p.positions != nil {
		indexed = p.indexed
		l.mu.RLock()
		for key := range l.starts {
			if i, ok := p.positions.lookup(key); ok && p.Ready[i].LoadKey() == key {
				out = out.with(i, len(p.Ready))
			}
		}
		for id := range l.told {
			if i, ok := p.positions.lookup(newLoadKey(Incarnation{ID: id})); ok && p.Ready[i].Incarnation() == (Incarnation{ID: id}) {
				out = out.with(i, len(p.Ready))
			}
		}
		l.mu.RUnlock()
	}
	for i := indexed; i < len(p.Ready); i++ {
		if l.Leaves(&p.Ready[i]) {
			out = out.with(i, len(p.Ready))
		}
	}
	return out
}

// TakeReports returns up to n reports to pass on. What is left waits.
func (l *Leavings) TakeReports(n int, now time.Time) []LeavingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.take(n, now, func(r LeavingReport, age time.Duration) LeavingReport {
		r.Age = age
		return r
	})
}

// All returns up to n reports of the starts that leave although their entries call them ready.
// They begin after the given key, in an order that is the same for each call; last is the key of
// the last one, or 0 at the end.
func (l *Leavings) All(after LoadKey, n int, now time.Time) (reports []LeavingReport, last LoadKey) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var keys []LoadKey
	for key, s := range l.starts {
		if key > after && s.ready {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if len(reports) == n {
			return reports, last
		}
		reports, last = append(reports, LeavingReport{Replica: key, Age: max(0, now.Sub(l.starts[key].at))}), key
	}
	return reports, 0
}

// Named takes in which replicas have entries, and forgets by rule 4.
func (l *Leavings) Named(replicas iter.Seq[Replica], now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.starts {
		s.ready = false
	}
	entries := 0
	for r := range replicas {
		entries++
		if s := l.starts[r.LoadKey()]; s != nil {
			s.namedAt, s.ready = now, !r.Draining
		}
	}
	l.outbox.most = max(leastLeavings, entries)
	for key, s := range l.starts {
		if now.Sub(s.namedAt) > leavingMemory {
			delete(l.starts, key)
		}
	}
	for id, at := range l.told {
		if now.Sub(at) > leavingMemory {
			delete(l.told, id)
		}
	}
	l.count()
}
