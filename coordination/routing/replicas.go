// This file keeps the replicas of one service in order as they change, so that a new view costs
// what has changed and one pass, however many replicas there are.

package routing

import (
	"cmp"
	"slices"
)

// ReplicaList is the replicas of one service that have entries. Its owner guards it; the pools
// that it returns are immutable.
type ReplicaList struct {
	ready, draining []Replica // sorted by id; they are replaced, never written to
	// changed are the replicas that were put since the last pool; nil: removed.
	changed map[ReplicaID]*Replica
	pool    *Pool // of ready and draining; nil before the first
}

// NewReplicaList returns an empty list.
func NewReplicaList() *ReplicaList { return &ReplicaList{changed: make(map[ReplicaID]*Replica)} }

// Put adds a replica, or replaces the one that has its id.
func (l *ReplicaList) Put(r Replica) { l.changed[r.ID] = &r }

// Remove removes a replica.
func (l *ReplicaList) Remove(id ReplicaID) { l.changed[id] = nil }

// Pool returns the replicas as a pool that is ready for choices. It is the same one as before
// while nothing changes.
func (l *ReplicaList) Pool() *Pool {
	if l.pool != nil && len(l.changed) == 0 {
		return l.pool
	}
	l.ready = l.merge(l.ready, func(r *Replica) bool { return !r.Draining })
	l.draining = l.merge(l.draining, func(r *Replica) bool { return r.Draining })
	clear(l.changed)
	l.pool = &Pool{Ready: l.ready, Draining: l.draining}
	l.pool.Sort()
	return l.pool
}

// merge returns a sorted list with the changed replicas that belong to it in the place of those
// with the same ids.
func (l *ReplicaList) merge(list []Replica, belongs func(*Replica) bool) []Replica {
	added := make([]*Replica, 0, len(l.changed))
	for _, r := range l.changed {
		if r != nil && belongs(r) {
			added = append(added, r)
		}
	}
	slices.SortFunc(added, func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]Replica, 0, len(list)+len(added))
	for i := range list {
		for len(added) > 0 && added[0].ID < list[i].ID {
			out, added = append(out, *added[0]), added[1:]
		}
		if _, isChanged := l.changed[list[i].ID]; !isChanged {
			out = append(out, list[i])
		}
	}
	for _, r := range added {
		out = append(out, *r)
	}
	return slices.Clip(out)
}
