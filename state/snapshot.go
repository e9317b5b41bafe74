// This file defines the snapshot that the control goroutine publishes. Request
// handling looks up everything it needs in the snapshot, without a lock.

package state

import (
	"slices"
	"time"
)

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	ID        UpstreamID
	Hash      uint64 // hash of the id, an input of the rendezvous hashing score
	Domain    FailureDomain
	Address   string
	Admission Admission
	Load      Load
}

// Pool is the set of interchangeable upstreams of a model or service, sorted by
// id.
type Pool struct {
	Candidates []Candidate
}

// Status is the reported status of an upstream. It complements the member list.
type Status struct {
	State     MemberState
	Admission Admission
	Load      Load
}

// OwnershipState is the information by which a daemon decides whether it may act as
// the owner of an idempotency key.
type OwnershipState struct {
	// Confirmed is when the platform last confirmed the member list, by this
	// daemon's clock and with the time in transit subtracted.
	Confirmed time.Time
	// LastTick is when the control loop last ran. If that is long ago, the process
	// has been paused and its information is out of date.
	LastTick time.Time
	// LastPause is when the control loop last detected that it had been paused.
	LastPause time.Time
	// WindowGrownAt is when the window of the configuration last grew.
	WindowGrownAt time.Time
	// History holds the lists of the last window, newest first.
	History []AppliedList
}

// AppliedList is a member list and the time at which this daemon started to use it.
type AppliedList struct {
	List      *MemberList
	AppliedAt time.Time
}

// Snapshot is a consistent view of the configuration and the fleet. It is
// immutable.
type Snapshot struct {
	Config    *Config // nil until a configuration is known
	Members   *MemberList
	Ownership OwnershipState

	models   map[ModelID]*Pool
	services map[ServiceID]*Pool
}

var emptyPool = &Pool{}

// Inputs are the inputs of [BuildSnapshot].
type Inputs struct {
	Config    *Config
	Members   *MemberList
	Status    map[UpstreamID]Status
	Domain    FailureDomain       // of the daemon itself
	Hash      func(string) uint64 // computes [Candidate.Hash] from an id
	Ownership OwnershipState
}

// BuildSnapshot builds a snapshot. Leaving upstreams are in no pool. Upstreams of
// other regions are used only in pools that would otherwise be empty.
func BuildSnapshot(in Inputs) *Snapshot {
	cfg, members := in.Config, in.Members
	s := &Snapshot{
		Config:    cfg,
		Members:   members,
		Ownership: in.Ownership,
		models:    make(map[ModelID]*Pool),
		services:  make(map[ServiceID]*Pool),
	}
	if cfg == nil || members == nil {
		return s
	}
	s.addUpstreams(in, true)
	remote := &Snapshot{models: make(map[ModelID]*Pool), services: make(map[ServiceID]*Pool)}
	remote.addUpstreams(in, false)
	for id, p := range remote.models {
		if s.models[id] == nil {
			s.models[id] = p
		}
	}
	for id, p := range remote.services {
		if s.services[id] == nil {
			s.services[id] = p
		}
	}
	return s
}

// WithOwnership returns a copy of the snapshot with another ownership state.
func (s *Snapshot) WithOwnership(o OwnershipState) *Snapshot {
	next := *s
	next.Ownership = o
	return &next
}

// addUpstreams adds the upstreams of the daemon's own region to the pools if
// local is true, and those of all other regions otherwise.
func (s *Snapshot) addUpstreams(in Inputs, local bool) {
	ownRegion := in.Config.RegionOf(in.Domain)
	isLocal := make(map[FailureDomain]bool)
	models := modelsByGroup(in.Config)
	domains := allowedDomains(in.Config)
	for i := range in.Members.Members {
		m := &in.Members.Members[i]
		if _, known := isLocal[m.Domain]; !known {
			isLocal[m.Domain] = in.Config.RegionOf(m.Domain) == ownRegion
		}
		if m.Kind == KindDaemon || isLocal[m.Domain] != local {
			continue
		}
		c, ok := newCandidate(m, in.Status, in.Hash)
		if !ok || !allows(domains[groupKey{m.Kind, m.Group}], m.Domain) {
			continue
		}
		switch m.Kind {
		case KindEngine:
			for _, id := range models[GroupID(m.Group)] {
				s.models[id] = s.models[id].add(c)
			}
		case KindService:
			id := ServiceID(m.Group)
			s.services[id] = s.services[id].add(c)
		}
	}
}

// modelsByGroup returns the models and adapters that each engine group serves.
func modelsByGroup(cfg *Config) map[GroupID][]ModelID {
	adapters := make(map[ModelID][]ModelID, len(cfg.Models))
	for _, m := range cfg.Models {
		adapters[m.Name] = m.Adapters
	}
	out := make(map[GroupID][]ModelID, len(cfg.Engines))
	for _, g := range cfg.Engines {
		for _, m := range g.Models {
			out[g.Name] = append(out[g.Name], m)
			out[g.Name] = append(out[g.Name], adapters[m]...)
		}
	}
	return out
}

// groupKey identifies an engine group or a service.
type groupKey struct {
	kind MemberKind
	name string
}

// allowedDomains returns the failure domains that each engine group and service
// is restricted to.
func allowedDomains(cfg *Config) map[groupKey][]FailureDomain {
	out := make(map[groupKey][]FailureDomain, len(cfg.Engines)+len(cfg.Services))
	for _, g := range cfg.Engines {
		out[groupKey{KindEngine, string(g.Name)}] = g.Domains
	}
	for _, s := range cfg.Services {
		out[groupKey{KindService, string(s.Name)}] = s.Domains
	}
	return out
}

// allows reports whether a list of domains contains d. An empty list allows all
// domains.
func allows(domains []FailureDomain, d FailureDomain) bool {
	return len(domains) == 0 || slices.Contains(domains, d)
}

// newCandidate returns the candidate for a member. It returns false if the member
// is not live according to the member list or its reported status.
func newCandidate(m *Member, status map[UpstreamID]Status, hash func(string) uint64) (Candidate, bool) {
	c := Candidate{ID: UpstreamID(m.ID), Hash: hash(m.ID), Domain: m.Domain, Address: m.Address, Admission: AdmitAll}
	if m.State != Live {
		return c, false
	}
	st, ok := status[c.ID]
	if !ok {
		return c, true
	}
	c.Admission, c.Load = st.Admission, st.Load
	return c, st.State == Live
}

// add appends a candidate to a pool, creating the pool if it is nil.
func (p *Pool) add(c Candidate) *Pool {
	if p == nil {
		p = &Pool{}
	}
	p.Candidates = append(p.Candidates, c)
	return p
}

// Model returns the pool of a model or adapter. It is empty if no upstream
// serves it.
func (s *Snapshot) Model(id ModelID) *Pool {
	if p := s.models[id]; p != nil {
		return p
	}
	return emptyPool
}

// Service returns the pool of a service. It is empty if the service has no
// usable replica.
func (s *Snapshot) Service(id ServiceID) *Pool {
	if p := s.services[id]; p != nil {
		return p
	}
	return emptyPool
}
