// This file defines the immutable view of the replicas that traffic reads.

package routing

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// Replica is one replica as it announced itself.
type Replica struct {
	ID       ReplicaID
	Born     Born
	Service  ServiceName
	Address  string // IP:PORT
	Domain   state.FailureDomain
	Slots    int  // requests that it runs at once
	Draining bool // it has announced that it leaves
	// ColdFor is how much longer it is cold, as of its entry, and ColdUntil until when, by
	// the clock of the daemon that took the entry in; zero: it is warm.
	ColdFor   time.Duration
	ColdUntil time.Time
	// Hash places the replica in the orders of prompts. It is that of the id, so that a replica
	// which starts again has the same place.
	Hash uint64
	key  LoadKey
}

// NewReplica fills in the hashes.
func NewReplica(r Replica) Replica {
	r.Hash = xxhash.Sum64String(string(r.ID))
	r.key = newLoadKey(r.Incarnation())
	return r
}

// LoadKey names an incarnation of a replica in tables and in messages between daemons: half
// of a hash. Two that share one are counted together.
type LoadKey uint32

func newLoadKey(i Incarnation) LoadKey {
	if i.Born == 0 {
		return LoadKey(xxhash.Sum64String(string(i.ID)))
	}
	return LoadKey(xxhash.Sum64String(string(i.ID) + "\x00" + strconv.FormatInt(int64(i.Born), 10)))
}

// LoadKey returns the name of the replica's incarnation.
func (r *Replica) LoadKey() LoadKey { return r.key }

// Incarnation returns which start of the replica this is.
func (r *Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, Born: r.Born} }

// Pool is the replicas of one service, sorted by id.
type Pool struct {
	Ready    []Replica
	Draining []Replica // they get no new requests
	// Evacuated are replicas that are well and whose failure domain is evacuated. They get
	// no new requests, and prompts can be copied from them.
	Evacuated []Replica
	// Expired are replicas whose entries expired a moment ago. They serve a little
	// longer, and prompts can be copied from them.
	Expired []Replica
	// places are the places in Ready by load key, and coldUntil is when the last of them
	// is warm; Sort makes both.
	places    *index
	indexed   int // how many of Ready are in places
	coldUntil time.Time
}

// Sort orders the replicas by id, so that equal pools are equal everywhere, and
// makes the pool ready for choices. It is called again after each change.
func (p *Pool) Sort() {
	byID := func(a, b Replica) int { return strings.Compare(string(a.ID), string(b.ID)) }
	for _, list := range [][]Replica{p.Ready, p.Draining, p.Evacuated, p.Expired} {
		if !slices.IsSortedFunc(list, byID) {
			slices.SortFunc(list, byID)
		}
	}
	p.places, p.indexed, p.coldUntil = newIndex(2*len(p.Ready)), len(p.Ready), time.Time{}
	for i := range p.Ready {
		// By the id too, for the reports of daemons that know no incarnations.
		p.places.put(LoadKey(p.Ready[i].Hash), i)
	}
	for i := range p.Ready {
		p.places.put(p.Ready[i].LoadKey(), i)
		p.coldUntil = latest(p.coldUntil, p.Ready[i].ColdUntil)
	}
}

// Overlay returns a copy whose lists can be changed; the replicas are still shared with the pool.
func (p *Pool) Overlay() *Pool {
	return &Pool{Ready: slices.Clip(p.Ready), Draining: slices.Clip(p.Draining), places: p.places, indexed: p.indexed, coldUntil: p.coldUntil}
}

// holder returns the replica of a key that prompts can be copied from, or nil.
func (p *Pool) holder(key LoadKey) *Replica {
	if i, ok := p.places.place(key); ok {
		return &p.Ready[i]
	}
	for _, list := range [][]Replica{p.Draining, p.Evacuated, p.Expired} {
		if i := slices.IndexFunc(list, func(r Replica) bool { return r.LoadKey() == key }); i >= 0 {
			return &list[i]
		}
	}
	return nil
}

// sorted returns the pool, or a sorted copy if Sort was never called.
func (p *Pool) sorted() *Pool {
	if p.places != nil {
		return p
	}
	c := &Pool{
		Ready: slices.Clone(p.Ready), Draining: slices.Clone(p.Draining), Evacuated: slices.Clone(p.Evacuated), Expired: slices.Clone(p.Expired),
	}
	c.Sort()
	return c
}

// View is what traffic reads: one configuration and the replicas. It is
// immutable.
type View struct {
	Table    *Table        // nil until a configuration is known
	Position feed.Position // of the documents that it was built from
	Pools    map[ServiceName]*Pool
	Domain   state.FailureDomain // of this daemon
	Daemons  int                 // live daemons, this one counted
	// LargeFleet means that daemons send to a few others only, so that each knows a part
	// of the loads and cache locations.
	LargeFleet bool
}

// Pool returns the replicas of a service; it is never nil.
func (v *View) Pool(s ServiceName) *Pool {
	if p := v.Pools[s]; p != nil {
		return p
	}
	return &Pool{}
}

// IsReady reports whether an incarnation of a replica is among the ready ones of its service.
func (v *View) IsReady(r *Replica) bool { return v.Pool(r.Service).isReady(r.Incarnation()) }

// KeepsConnections reports whether idle connections to an incarnation of a replica are kept: it gets
// requests, or does again once its failure domain is taken back. One that leaves waits for the end
// of its connections.
func (v *View) KeepsConnections(i Incarnation) bool {
	for _, p := range v.Pools {
		if p.isReady(i) || hasIncarnation(p.Evacuated, i) {
			return true
		}
	}
	return false
}

// isReady reports whether an incarnation is among the ready replicas.
func (p *Pool) isReady(incarnation Incarnation) bool {
	i, ok := p.places.place(newLoadKey(incarnation))
	if p.places != nil && !ok {
		return false
	}
	// Two may share a key.
	return ok && p.Ready[i].Incarnation() == incarnation || hasIncarnation(p.Ready, incarnation)
}

func hasIncarnation(list []Replica, incarnation Incarnation) bool {
	return slices.ContainsFunc(list, func(r Replica) bool { return r.Incarnation() == incarnation })
}

// Replica returns the ready replica that a key names, or nil.
func (v *View) Replica(key LoadKey) *Replica {
	for _, p := range v.Pools {
		if i, ok := p.places.place(key); ok {
			return &p.Ready[i]
		}
	}
	return nil
}

// ReplicaOf returns the id of the ready replica that a key of messages between daemons names.
func (v *View) ReplicaOf(key LoadKey) (ReplicaID, bool) {
	r := v.Replica(key)
	if r == nil {
		return "", false
	}
	return r.ID, true
}
