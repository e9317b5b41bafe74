// This file decides what becomes of replicas whose entries expired: the store
// dropped them, and the replica had not announced that it leaves.
//
// Inputs: the replica, when its entry expired, whether the store was unreachable
// or turned daemons away shortly before, and how many replicas of the service
// are left. The rule:
//
//  1. An expired replica gets no more requests. For copySourceAge prompts are still
//     copied from it: it mostly serves a little longer.
//  2. But while the store was away replicas could not renew their entries, and
//     those then expire together although the replicas live. So replicas that
//     expired within batchTime of each other, in the store's trouble, are used on
//     for gracePeriod if they are more than are left.
//
// Without the three conditions replicas that have really left are taken back, and get
// requests that nobody answers.

package routing

import (
	"slices"
	"time"
)

const (
	// gracePeriod is how long a replica whose entry expired in the store's trouble
	// is used on. The users: entries of living replicas are back within about two
	// seconds of the store's return, and one that is still missing is gone. That
	// an entry expired is only learned from a store that has returned.
	gracePeriod = 2 * time.Second
	// batchTime is the time within which entries expire together.
	batchTime = time.Second
	// copySourceAge is how long prompts are still copied from a replica whose entry expired.
	copySourceAge = 3 * time.Second
)

// ExpiredEntries remembers the replicas whose entries expired. Its owner guards it.
type ExpiredEntries struct{ entries map[ReplicaID]expiredEntry }

type expiredEntry struct {
	replica Replica
	at      time.Time
	suspect bool // the store was in trouble: the replica may well live
}

// NewExpiredEntries returns an empty memory.
func NewExpiredEntries() *ExpiredEntries {
	return &ExpiredEntries{entries: make(map[ReplicaID]expiredEntry)}
}

// Add records that the entry of a replica expired, and whether the store was in
// trouble shortly before.
func (x *ExpiredEntries) Add(r Replica, storeTrouble bool, now time.Time) {
	x.entries[r.ID] = expiredEntry{replica: r, at: now, suspect: storeTrouble}
}

// Remove records that a replica has an entry again.
func (x *ExpiredEntries) Remove(id ReplicaID) { delete(x.entries, id) }

// Expire ends grace periods and forgets what is old. It returns true if the pools
// have to be built again, because a replica that was used on is now gone.
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

// Restore adds to the pool of a service the replicas whose entries expired a moment
// ago as sources of copies, puts those that are used on back among the ready ones,
// and returns them.
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

// largestBatch returns the replicas of the largest group that expired within
// batchTime. After a failure of a part of a large fleet there are thousands.
func largestBatch(entries []expiredEntry) []Replica {
	slices.SortFunc(entries, func(a, b expiredEntry) int { return a.at.Compare(b.at) })
	first, largest := 0, entries[:0]
	for i, e := range entries {
		for e.at.Sub(entries[first].at) > batchTime {
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
