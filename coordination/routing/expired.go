// Replicas whose store entries expired without the replica having announced its departure.
//
// The inputs are the replica, when its entry expired, whether there was a store outage shortly
// before (it was unreachable or refused daemons' requests), and how many replicas of the service
// are left.
//
//  1. An expired replica gets no more requests. For copySourceAge prompts are still copied from
//     it, since it mostly keeps serving for a short time.
//  2. But during a store outage, replicas can't renew their entries, and the entries expire
//     together although the replicas are alive. So replicas that expired within batchWindow of
//     each other during such an outage remain in use for gracePeriod if they outnumber those that
//     are left.
//
// Without all three conditions, replicas that have really left would be restored and get requests
// that are never answered.

package routing

import (
	"slices"
	"time"
)

const (
	// gracePeriod is how long a replica remains in use whose entry expired during a store outage.
	// According to the users, the entries of live replicas are back within about two seconds of
	// the store's return, and a replica whose entry is still missing is gone. Daemons learn that
	// an entry expired only from a store that is available again.
	gracePeriod = 2 * time.Second
	// batchWindow is the time within which entries are considered to have expired together.
	batchWindow = time.Second
	// copySourceAge is how long prompts are still copied from a replica whose entry expired.
	copySourceAge = 3 * time.Second
)

// ExpiredEntries records the replicas whose entries expired. The caller synchronizes access.
type ExpiredEntries struct{ entries map[ReplicaID]expiredEntry }

type expiredEntry struct {
	replica Replica
	at      time.Time
	suspect bool // there was a store outage: the replica may be alive
}

// NewExpiredEntries returns an empty record.
func NewExpiredEntries() *ExpiredEntries {
	return &ExpiredEntries{entries: make(map[ReplicaID]expiredEntry)}
}

// Add records that the entry of a replica expired, and whether there was a store outage
// shortly before.
func (x *ExpiredEntries) Add(r Replica, storeOutage bool, now time.Time) {
	x.entries[r.ID] = expiredEntry{replica: r, at: now, suspect: storeOutage}
}

// Remove records that a replica has an entry again.
func (x *ExpiredEntries) Remove(id ReplicaID) { delete(x.entries, id) }

// Expire ends grace periods and drops records that are too old. It reports whether the pools have
// to be rebuilt because a replica that remained in use is now considered gone.
func (x *ExpiredEntries) Expire(now time.Time) bool {
	changed := false
	for id, e := range x.entries {
		age := now.Sub(e.at)
		if e.suspect && age >= gracePeriod {
			e.suspect, changed = false, true
			x.entries[id] = e
		}
		if age >= copySourceAge {
			delete(x.entries, id)
		}
	}
	return changed
}

// Restore adds the replicas of a service whose entries expired recently to its pool: all of them
// as sources of copies, and those in their grace period as ready replicas too. It returns the
// latter.
func (x *ExpiredEntries) Restore(s ServiceName, p *Pool, now time.Time) []Replica {
	var suspects []expiredEntry
	for _, e := range x.entries {
		if e.replica.Service != s {
			continue
		}
		if now.Sub(e.at) < copySourceAge {
			p.Expired = append(p.Expired, e.replica)
		}
		if e.suspect && now.Sub(e.at) < gracePeriod {
			suspects = append(suspects, e)
		}
	}
	batch := largestBatch(suspects)
	if len(batch) <= len(p.Ready) {
		return nil
	}
	p.Ready = append(p.Ready, batch...)
	return batch
}

// largestBatch returns the replicas of the largest group that expired within batchWindow. After a
// failure of a part of a large fleet there are thousands of entries.
func largestBatch(entries []expiredEntry) []Replica {
	slices.SortFunc(entries, func(a, b expiredEntry) int { return a.at.Compare(b.at) })
	first, largest := 0, entries[:0]
	for i, e := range entries {
		for e.at.Sub(entries[first].at) > batchWindow {
			first++
		}
		if group := entries[first : i+1]; len(group) > len(largest) {
			largest = group
		}
	}
	out := make([]Replica, len(largest))
	for i, e := range largest {
		out[i] = e.replica
	}
	return out
}
