// The immutable view of the replicas that the request path reads.

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

// Replica is a replica as it registered itself.
type Replica struct {
	ID        ReplicaID
	StartTime StartTime
	Service   ServiceName
	Address   string // IP:PORT
	Domain    state.FailureDomain
	Slots     int             // requests that it runs concurrently
	Draining  bool            // it has announced its departure
	Version   SoftwareVersion // empty: its entry does not give one
	// ColdFor is the remaining cold time according to the replica's entry. ColdUntil is the end
	// of that time by the clock of the daemon that received the entry; zero: it is warm.
	ColdFor   time.Duration
	ColdUntil time.Time
	// Hash determines the replica's rank for each prompt. It is a hash of the id, so that a
	// replica keeps its ranks when it restarts.
	Hash       uint64
	key        LoadKey
	versionKey VersionKey
}

// NewReplica returns the replica with its hashes computed.
func NewReplica(r Replica) Replica {
	r.Hash = xxhash.Sum64String(string(r.ID))
	r.key = newLoadKey(r.Incarnation())
	r.versionKey = newVersionKey(r.Service, r.Version)
	return r
}

// LoadKey identifies an incarnation of a replica in tables and in messages between daemons: half
// of a hash. Incarnations with the same key are counted together.
type LoadKey uint32

func newLoadKey(i Incarnation) LoadKey {
	if i.StartTime == 0 {
		return LoadKey(xxhash.Sum64String(string(i.ID)))
	}
	return LoadKey(xxhash.Sum64String(string(i.ID) + "\x00" + strconv.FormatInt(int64(i.StartTime), 10)))
}

// LoadKey returns the key of the replica's incarnation.
func (r *Replica) LoadKey() LoadKey { return r.key }

// Incarnation returns the replica's incarnation.
func (r *Replica) Incarnation() Incarnation { return Incarnation{ID: r.ID, StartTime: r.StartTime} }

// Pool is the replicas of one service, sorted by id.
type Pool struct {
	Ready    []Replica
	Draining []Replica // they get no new requests
	// Evacuated are healthy replicas whose failure domain is evacuated. They get no new requests,
	// but prompts can be copied from them.
	Evacuated []Replica
	// Expired are replicas whose entries expired recently. They mostly keep serving for a short
	// time, and prompts can be copied from them.
	Expired []Replica
	// positions is the positions in Ready by load key, and coldUntil when the last of those
	// replicas becomes warm; Sort computes both.
	positions *index
	indexed   int // the number of replicas of Ready that are in positions
	coldUntil time.Time
	mixed     bool // ready or draining replicas have different software versions
}

// Sort orders the replicas by id, so that equal pools have the same order in every daemon, and
// prepares the pool for choices. It must be called again after each change.
func (p *Pool) Sort() {
	byID := func(a, b Replica) int { return strings.Compare(string(a.ID), string(b.ID)) }
	for _, list := range [][]Replica{p.Ready, p.Draining, p.Evacuated, p.Expired} {
		if !slices.IsSortedFunc(list, byID) {
			slices.SortFunc(list, byID)
		}
	}
	p.positions, p.indexed, p.coldUntil = newIndex(2*len(p.Ready)), len(p.Ready), time.Time{}
	p.mixed = hasSeveralVersions(p.Ready, p.Draining)
	for i := range p.Ready {
		// Also by the hash of the id, for reports from daemons that don't know incarnations.
		p.positions.put(LoadKey(p.Ready[i].Hash), i)
	}
	for i := range p.Ready {
		p.positions.put(p.Ready[i].LoadKey(), i)
		p.coldUntil = latest(p.coldUntil, p.Ready[i].ColdUntil)
	}
}

// Overlay returns a copy of the pool whose lists can be appended to and replaced. Their elements
// are still shared with the original and must not be modified.
func (p *Pool) Overlay() *Pool {
	return &Pool{Ready: slices.Clip(p.Ready), Draining: slices.Clip(p.Draining), positions: p.positions, indexed: p.indexed, coldUntil: p.coldUntil, mixed: p.mixed}
}

// copySource returns the replica with the given key among those that prompts can be copied from, or
// nil.
func (p *Pool) copySource(key LoadKey) *Replica {
	if i, ok := p.positions.lookup(key); ok {
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
	if p.positions != nil {
		return p
	}
	c := &Pool{
		Ready: slices.Clone(p.Ready), Draining: slices.Clone(p.Draining), Evacuated: slices.Clone(p.Evacuated), Expired: slices.Clone(p.Expired),
	}
	c.Sort()
	return c
}

// View is what the request path reads: one configuration and the replicas. It is immutable.
type View struct {
	Table    *Table        // nil until the first configuration is known
	Position feed.Position // of the documents that it was built from
	Pools    map[ServiceName]*Pool
	Domain   state.FailureDomain // of this daemon
	Daemons  int                 // live daemons, including this one
	// LargeFleet means that each daemon sends heartbeats to only a few others, so that each knows
	// only a part of the loads and cache locations.
	LargeFleet bool
	// Versions is the only software version that each service has, or lately had, as far as this daemon
	// knows; severalVersions if there are several.
	Versions map[ServiceName]VersionKey
	// VersionsSince is the time from which Versions is complete; the zero time if it isn't.
	VersionsSince time.Time
	// NewVersions are the versions at which no stream begins while others are usable (establishment.go).
	NewVersions NewVersions
}

// ConfigVersion returns the version of the configuration; 0: none is known.
func (v *View) ConfigVersion() ConfigVersion {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version
}

// Pool returns the replicas of a service. It never returns nil.
func (v *View) Pool(s ServiceName) *Pool {
	if p := v.Pools[s]; p != nil {
		return p
	}
	return &Pool{}
}

// IsReady reports whether the replica's incarnation is among the ready replicas of its service, with the
// same software version.
func (v *View) IsReady(r *Replica) bool {
	current := v.Pool(r.Service).ready(r.Incarnation())
	return current != nil && current.versionKey == r.versionKey
}

// KeepsConnections reports whether idle connections to an incarnation are kept: it gets requests,
// or will get them again when its failure domain returns to service. Connections to a replica
// that leaves must be closed, because it waits for that.
func (v *View) KeepsConnections(i Incarnation) bool {
	for _, p := range v.Pools {
		if p.ready(i) != nil || findIncarnation(p.Evacuated, i) != nil {
			return true
		}
	}
	return false
}

// ready returns the ready replica with an incarnation, or nil.
func (p *Pool) ready(incarnation Incarnation) *Replica {
	i, ok := p.positions.lookup(newLoadKey(incarnation))
	switch {
	case p.positions != nil && !ok:
		return nil
	case ok && p.Ready[i].Incarnation() == incarnation:
		return &p.Ready[i]
	}
	return findIncarnation(p.Ready, incarnation) // two incarnations may have the same key
}

// findIncarnation returns the replica of a list with an incarnation, or nil.
func findIncarnation(list []Replica, incarnation Incarnation) *Replica {
	if i := slices.IndexFunc(list, func(r Replica) bool { return r.Incarnation() == incarnation }); i >= 0 {
		return &list[i]
	}
	return nil
}

// Lookup returns the replica with the given incarnation that is ready, draining or evacuated, or nil.
func (v *View) Lookup(incarnation Incarnation) *Replica {
	for _, p := range v.Pools {
		for _, list := range [][]Replica{p.Ready, p.Draining, p.Evacuated} {
			if r := findIncarnation(list, incarnation); r != nil {
				return r
			}
		}
	}
	return nil
}

// ReadyReplicas returns how many replicas of all services are ready.
func (v *View) ReadyReplicas() int {
	n := 0
	for _, p := range v.Pools {
		n += len(p.Ready)
	}
	return n
}

// Replica returns the ready replica with the given key, or nil.
func (v *View) Replica(key LoadKey) *Replica {
	for _, p := range v.Pools {
		if i, ok := p.positions.lookup(key); ok {
			return &p.Ready[i]
		}
	}
	return nil
}

// ReplicaID returns the id of the ready replica that a key in a message between daemons
// identifies.
func (v *View) ReplicaID(key LoadKey) (ReplicaID, bool) {
	r := v.Replica(key)
	if r == nil {
		return "", false
	}
	return r.ID, true
}
