// This file decides what becomes of replicas whose entries went away without
// notice. Such a replica has left, but for one case: while the store was away
// replicas could not renew their entries, which then lapse together although the
// replicas live. Those that live are back within returnTime of the store's
// return; until then a service that would lose most of its replicas goes on using
// them. What is still missing after that is gone.

package routing

import "time"

const (
	// returnTime is how long after the news of its lapse a living replica's entry
	// is back. The news itself can only come from a store that has returned.
	returnTime = 2 * time.Second
	// togetherTime is the time within which entries lapse together.
	togetherTime = time.Second
	// copySourceAge is how long prompts are still copied from a replica whose
	// entry went away: it serves a little longer.
	copySourceAge = 3 * time.Second
)

// Lapses remembers the replicas whose entries went away without notice. Its
// owner guards it.
type Lapses struct{ entries map[ReplicaID]lapse }

type lapse struct {
	replica Replica
	at      time.Time
	doubted bool // the store was in trouble at that time
}

// NewLapses returns an empty memory.
func NewLapses() *Lapses { return &Lapses{entries: make(map[ReplicaID]lapse)} }

// Add notes that the entry of a replica went away at a time, and whether the
// store was in trouble shortly before.
func (l *Lapses) Add(r Replica, trouble bool, now time.Time) {
	l.entries[r.ID] = lapse{replica: r, at: now, doubted: trouble}
}

// Remove notes that a replica has an entry again.
func (l *Lapses) Remove(id ReplicaID) { delete(l.entries, id) }

// Expire forgets what is decided. It returns true if the pools have to be built
// anew, because a replica that was used on is now taken as gone.
func (l *Lapses) Expire(now time.Time) bool {
	changed := false
	for id, e := range l.entries {
		age := now.Sub(e.at)
		if e.doubted && age >= returnTime {
			e.doubted, changed = false, true
			l.entries[id] = e
		}
		if age >= copySourceAge {
			delete(l.entries, id)
		}
	}
	return changed
}

// Fill adds to the pool of a service the replicas that vanished a moment ago as
// sources of copies, and returns those that it is used on: the ones that lapsed
// together while the store was in trouble, if they are more than are left.
func (l *Lapses) Fill(s ServiceName, p *Pool, now time.Time) []Replica {
	var doubted []lapse
	for _, e := range l.entries {
		if e.replica.Service != s {
			continue
		}
		if now.Sub(e.at) < copySourceAge {
			p.Vanished = append(p.Vanished, e.replica)
		}
		if e.doubted && now.Sub(e.at) < returnTime {
			doubted = append(doubted, e)
		}
	}
	together := largestGroup(doubted)
	if len(together) <= len(p.Ready) {
		return nil
	}
	p.Ready = append(p.Ready, together...)
	return together
}

// Services returns the services of the remembered replicas.
func (l *Lapses) Services() []ServiceName {
	seen := make(map[ServiceName]bool)
	var out []ServiceName
	for _, e := range l.entries {
		if !seen[e.replica.Service] {
			seen[e.replica.Service] = true
			out = append(out, e.replica.Service)
		}
	}
	return out
}

// largestGroup returns the replicas of the largest group that vanished within
// togetherTime.
func largestGroup(entries []lapse) []Replica {
	var best []Replica
	for _, first := range entries {
		var group []Replica
		for _, e := range entries {
			if d := e.at.Sub(first.at); d >= 0 && d <= togetherTime {
				group = append(group, e.replica)
			}
		}
		if len(group) > len(best) {
			best = group
		}
	}
	return best
}
