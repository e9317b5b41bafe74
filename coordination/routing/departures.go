// This file decides which replicas are leaving because they announced it, whatever their store
// entries say: a replica that is shutting down says so in all its responses.
//
// Inputs: such responses (from transport/relay), reports of other daemons, and the store entries
// of replicas. A response by another replica at the same address counts as an announcement too:
// the intended replica has gone. The rule:
//
//  1. A replica that announced its departure gets no new request from then on, even if no other
//     replica is left. Requests that already run there are completed, prompts can be copied from
//     it, and it is treated as if its entry said that it is draining.
//  2. The announcement is final for that incarnation: no entry, list or response reverts it.
//     Another incarnation is not affected. An entry without an incarnation time is taken for the
//     same incarnation, but may be of another one that started under its id: for such an entry the
//     announcement counts for unnamedRetention after the replica last made it. If it still runs, its
//     next response announces it again.
//  3. A new announcement is sent to other daemons at once, and forwarded once by each that
//     receives it. While the entry still says that the replica is ready, it is also sent first of
//     all to daemons that start, and each second to one random daemon (daemon/routes), because
//     they would not learn it from the store.
//  4. An announcement is removed when no entry has named the incarnation for departureRetention.
//
// Unlike a backoff (backoffs.go), which concerns one daemon's share of the load, a departure is a
// fact about the replica, so that a report from one daemon is enough for all.

package routing

import (
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// DepartureReport says that an incarnation of a replica is leaving.
type DepartureReport struct {
	Replica LoadKey
	Age     time.Duration // since the announcement
}

const (
	// departureRetention covers entries that expire and reappear while the store has problems.
	departureRetention = 10 * time.Minute
	// unnamedRetention is far longer than a replica that leaves completes its requests.
	unnamedRetention = 10 * time.Minute
	// minDepartureCapacity bounds the announcements kept and queued in a fleet with fewer
	// entries; with more entries the bound is their number, since all may leave at once. Beyond
	// the bound, the one whose entry was seen longest ago is evicted.
	minDepartureCapacity = 5000
)

// Departures records which replicas announced that they are leaving. It is safe for concurrent
// use. A nil *Departures has no records.
type Departures struct {
	// known is the number of records. It lets requests skip the lock while there are none.
	known atomic.Int64

	mu           sync.RWMutex
	announced    map[ReplicaID]time.Time // when replicas announced it to this daemon, in any incarnation
	incarnations map[LoadKey]*departure
	outbox       outbox[DepartureReport] // its capacity is that of incarnations
}

// departure is what is known of one incarnation that is leaving.
type departure struct {
	announcedAt time.Time // when it was last announced, as far as is known
	lastNamed   time.Time // when an entry last named the incarnation, or when the departure became known
	ready       bool      // the entry says that it is ready
	// over says that it does not count any more, by rule 2. The record is kept, because other daemons may still report it.
	over bool
}

// NewDepartures returns an empty record.
func NewDepartures() *Departures {
	return &Departures{
		announced: make(map[ReplicaID]time.Time), incarnations: make(map[LoadKey]*departure),
		outbox: outbox[DepartureReport]{
			notify: make(chan struct{}, 1), capacity: minDepartureCapacity, keepUnsent: true,
			compare: func(a, b pendingReport[DepartureReport]) int { return b.at.Compare(a.at) },
		},
	}
}

// Waiting returns a channel that receives a value when a new departure is known: views must be
// rebuilt, and reports are available from [Departures.TakeReports].
func (l *Departures) Waiting() <-chan struct{} { return l.outbox.notify }

// RecordAnnounced records that a replica announced to this daemon that it is leaving. It returns
// true if that is new.
func (l *Departures) RecordAnnounced(r *Replica, now time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announced[r.ID] = now
	l.updateKnown()
	if s := l.incarnations[r.LoadKey()]; s != nil && !s.over {
		s.announcedAt = now
		return false
	}
	return l.add(r.LoadKey(), now, now)
}

// Observe applies the reports of another daemon. It returns the incarnations that are new.
func (l *Departures) Observe(reports []DepartureReport, now time.Time) []LoadKey {
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

// add records the departure of an incarnation and, if it is new, queues a report. l.mu must be
// held.
func (l *Departures) add(key LoadKey, at, now time.Time) bool {
	known := l.incarnations[key]
	if known != nil && (!known.over || at.Sub(known.announcedAt) < unnamedRetention) {
		return false
	}
	if known == nil && len(l.incarnations) >= l.outbox.capacity {
		l.evictOldest()
	}
	l.incarnations[key] = &departure{announcedAt: at, lastNamed: now, ready: true}
	l.updateKnown()
	l.outbox.add(DepartureReport{Replica: key}, at)
	return true
}

// evictOldest removes the incarnation whose entry was seen longest ago. l.mu must be held.
func (l *Departures) evictOldest() {
	var first LoadKey
	for key, s := range l.incarnations {
		if l.incarnations[first] == nil || s.lastNamed.Before(l.incarnations[first].lastNamed) {
			first = key
		}
	}
	delete(l.incarnations, first)
}

// updateKnown sets known. l.mu must be held.
func (l *Departures) updateKnown() { l.known.Store(int64(len(l.announced) + len(l.incarnations))) }

// Known reports whether any replica is known to have announced that it is leaving.
func (l *Departures) Known() bool { return l != nil && l.known.Load() > 0 }

// IsLeaving reports whether a replica has announced that it is leaving, by rule 2.
func (l *Departures) IsLeaving(r *Replica) bool {
	if !l.Known() {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, wasAnnounced := l.announced[r.ID]
	return l.counts(r.LoadKey()) || r.StartTime == 0 && wasAnnounced
}

// counts reports whether an incarnation announced its departure. l.mu must be held.
func (l *Departures) counts(key LoadKey) bool {
	s := l.incarnations[key]
	return s != nil && !s.over
}

// Apply moves the replicas that announced their departure from p.Ready to p.Draining. It returns
// false if there are none.
func (l *Departures) Apply(p *Pool) bool {
	leaving := l.leavingReady(p)
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

// leavingReady returns the ready replicas of a pool that announced their departure. It looks the
// departures up in the pool's index, because there are few of them among many replicas.
func (l *Departures) leavingReady(p *Pool) (out replicaSet) {
	if !l.Known() {
		return nil
	}
	indexed := 0
	if p.positions != nil {
		indexed = p.indexed
		l.mu.RLock()
		for key, s := range l.incarnations {
			if s.over {
				continue
			}
			if i, ok := p.positions.lookup(key); ok && p.Ready[i].LoadKey() == key {
				out = out.with(i, len(p.Ready))
			}
		}
		for id := range l.announced {
			if i, ok := p.positions.lookup(newLoadKey(Incarnation{ID: id})); ok && p.Ready[i].Incarnation() == (Incarnation{ID: id}) {
				out = out.with(i, len(p.Ready))
			}
		}
		l.mu.RUnlock()
	}
	for i := indexed; i < len(p.Ready); i++ {
		if l.IsLeaving(&p.Ready[i]) {
			out = out.with(i, len(p.Ready))
		}
	}
	return out
}

// TakeReports returns up to n reports to send to other daemons. The others stay queued.
func (l *Departures) TakeReports(n int, now time.Time) []DepartureReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outbox.take(n, now, func(r DepartureReport, age time.Duration) DepartureReport {
		r.Age = age
		return r
	})
}

// All returns up to n reports of the incarnations that are leaving although their entries say
// that they are ready. The reports follow the key after, in a fixed order; last is the key of the
// last report, or 0 if there are no more.
func (l *Departures) All(after LoadKey, n int, now time.Time) (reports []DepartureReport, last LoadKey) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var keys []LoadKey
	for key, s := range l.incarnations {
		if key > after && s.ready && !s.over {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if len(reports) == n {
			return reports, last
		}
		reports, last = append(reports, DepartureReport{Replica: key, Age: max(0, now.Sub(l.incarnations[key].announcedAt))}), key
	}
	return reports, 0
}

// ObserveEntries records which replicas have entries, and ends departures by rules 2 and 4. It returns true if views
// must be rebuilt because a replica that has an entry no longer counts as leaving.
func (l *Departures) ObserveEntries(replicas iter.Seq[Replica], now time.Time) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.incarnations {
		s.ready = false
	}
	entries := 0
	for r := range replicas {
		entries++
		if s := l.incarnations[r.LoadKey()]; s != nil {
			s.lastNamed, s.ready = now, !r.Draining
			if r.StartTime == 0 && !s.over && now.Sub(s.announcedAt) > unnamedRetention {
				s.over, ended = true, true
			}
		}
	}
	l.outbox.capacity = max(minDepartureCapacity, entries)
	for key, s := range l.incarnations {
		if now.Sub(s.lastNamed) > departureRetention {
			delete(l.incarnations, key)
		}
	}
	for id, at := range l.announced {
		if now.Sub(at) > departureRetention {
			delete(l.announced, id)
			ended = true
		}
	}
	l.updateKnown()
	return ended
}
