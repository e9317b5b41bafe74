// Incremental updates of the sorted list of a service's replicas: building a new view costs one
// pass plus the number of changes, however many replicas there are.

package routing

import (
	"cmp"
	"slices"
)

// ReplicaList is the replicas of one service that have store entries. The caller synchronizes
// access; the pools that it returns are immutable.
type ReplicaList struct {
	ready, draining []Replica // sorted by id; replaced as a whole, never modified
	// changed are the changes since the last pool; nil: removed.
	changed map[ReplicaID]*Replica
	pool    *Pool // of ready and draining; nil before the first call of Pool
}

// NewReplicaList returns an empty list.
func NewReplicaList() *ReplicaList { return &ReplicaList{changed: make(map[ReplicaID]*Replica)} }

// Put adds a replica, replacing any with the same id.
func (l *ReplicaList) Put(r Replica) { l.changed[r.ID] = &r }

// Remove removes a replica.
func (l *ReplicaList) Remove(id ReplicaID) { l.changed[id] = nil }

// Pool returns the replicas as a sorted and indexed pool. It returns the same pool until
// something changes.
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

// merge returns a sorted list with the changes applied: changed replicas that belong to this list
// replace those with the same ids, or are inserted.
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
