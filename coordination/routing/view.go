// This file defines the immutable picture of the replicas that traffic reads.

package routing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/state"
)

// Replica is one replica as it announced itself.
type Replica struct {
	ID       ReplicaID
	Service  ServiceName
	Address  string // IP:PORT
	Domain   state.FailureDomain
	Slots    int // requests at once
	Draining bool
	Hash     uint64
}

// NewReplica fills in the hash.
func NewReplica(r Replica) Replica {
	r.Hash = xxhash.Sum64String(string(r.ID))
	return r
}

// Pool is the replicas of one service, sorted by id.
type Pool struct {
	Ready   []Replica
	Leaving []Replica // no new work goes there
	// Vanished are replicas whose entries went away a moment ago without notice.
	// They serve a little longer, and prompts can be copied from them.
	Vanished []Replica
	// positions are the places in Ready by load key; Sort makes them.
	positions map[LoadKey]int
}

// Find returns a replica of the pool by id, ready or leaving.
func (p *Pool) Find(id ReplicaID) (*Replica, bool) {
	for _, list := range [][]Replica{p.Ready, p.Leaving} {
		for i := range list {
			if list[i].ID == id {
				return &list[i], true
			}
		}
	}
	return nil, false
}

// View is what traffic reads: one configuration and the replicas. It is
// immutable.
type View struct {
	Table    *Table // nil until a configuration is known
	Revision uint64 // of the source that it was built from
	Pools    map[ServiceName]*Pool
	Domain   state.FailureDomain // of this daemon
	Daemons  int                 // live daemons, this one counted
}

// Pool returns the replicas of a service; it is never nil.
func (v *View) Pool(s ServiceName) *Pool {
	if p := v.Pools[s]; p != nil {
		return p
	}
	return &Pool{}
}

// Sort orders the replicas by id, so that equal pools are equal everywhere, and
// makes the pool ready for choices. It is called again after each change.
func (p *Pool) Sort() {
	for _, list := range [][]Replica{p.Ready, p.Leaving, p.Vanished} {
		slices.SortFunc(list, func(a, b Replica) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	p.positions = make(map[LoadKey]int, len(p.Ready))
	for i := range p.Ready {
		p.positions[p.Ready[i].LoadKey()] = i
	}
}

// sorted returns the pool, or a sorted copy if Sort was never called.
func (p *Pool) sorted() *Pool {
	if p.positions != nil {
		return p
	}
	c := &Pool{Ready: slices.Clone(p.Ready), Leaving: slices.Clone(p.Leaving), Vanished: slices.Clone(p.Vanished)}
	c.Sort()
	return c
}
