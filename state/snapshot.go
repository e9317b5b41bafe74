// This file defines the snapshot that the control goroutine publishes and that
// traffic reads. Everything a request needs is looked up here without a lock.

package state

import (
	"slices"
	"time"
)

// Candidate is one upstream that may take a request.
type Candidate struct {
	ID        UpstreamID
	Hash      uint64 // hash of the id, the candidate's half of a rendezvous score
	Domain    FailureDomain
	Address   string
	Admission Admission
	Load      Load
}

// Pool is the set of upstreams that are interchangeable for one model or one
// service, sorted by id.
type Pool struct {
	Candidates []Candidate
}

// Status is what reports add to the member list for one upstream.
type Status struct {
	State     MemberState
	Admission Admission
	Load      Load
}

// OwnerEpoch is what a daemon needs to know to decide whether it may act as
// the owner of a key.
type OwnerEpoch struct {
	// Confirmed is when the platform last confirmed the member list, by this
	// daemon's clock and with the time of the way taken off.
	Confirmed time.Time
	// Ticked is when the control loop last ran. If that is long ago, the process
	// has been paused and its knowledge is of the past.
	Ticked time.Time
	// Paused is when the control loop last noticed that it had been paused.
	Paused time.Time
	// WindowSince is when the window of the configuration last grew.
	WindowSince time.Time
	// History holds the lists of the last window, newest first, each with the
	// time at which this daemon took it.
	History []DatedList
}

// DatedList is a member list and when a daemon took it.
type DatedList struct {
	List  *MemberList
	Taken time.Time
}

// Snapshot is one consistent state of a daemon's knowledge. It is immutable.
type Snapshot struct {
	Config  *Config // nil until a configuration is known
	Members *MemberList
	Epoch   OwnerEpoch

	models   map[ModelID]*Pool
	services map[ServiceID]*Pool
}

var emptyPool = &Pool{}

// Inputs is what a snapshot is built from.
type Inputs struct {
	Config  *Config
	Members *MemberList
	Status  map[UpstreamID]Status
	Domain  FailureDomain       // of the daemon itself
	Hash    func(string) uint64 // applied to ids
	Epoch   OwnerEpoch
}

// BuildSnapshot combines the inputs. A leaving upstream is in no pool, and an
// upstream of another region only in the pools that would else be empty.
func BuildSnapshot(in Inputs) *Snapshot {
	cfg, members := in.Config, in.Members
	s := &Snapshot{
		Config:   cfg,
		Members:  members,
		Epoch:    in.Epoch,
		models:   make(map[ModelID]*Pool),
		services: make(map[ServiceID]*Pool),
	}
	if cfg == nil || members == nil {
		return s
	}
	s.addRegion(in, true)
	remote := &Snapshot{models: make(map[ModelID]*Pool), services: make(map[ServiceID]*Pool)}
	remote.addRegion(in, false)
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

// WithEpoch returns a snapshot that differs in the epoch only.
func (s *Snapshot) WithEpoch(e OwnerEpoch) *Snapshot {
	next := *s
	next.Epoch = e
	return &next
}

// addRegion adds the upstreams inside the daemon's own region, or else those
// outside of it.
func (s *Snapshot) addRegion(in Inputs, own bool) {
	home := in.Config.RegionOf(in.Domain)
	inside := make(map[FailureDomain]bool)
	groups := groupModels(in.Config)
	domains := groupDomains(in.Config)
	for i := range in.Members.Members {
		m := &in.Members.Members[i]
		if _, known := inside[m.Domain]; !known {
			inside[m.Domain] = in.Config.RegionOf(m.Domain) == home
		}
		if m.Kind == KindDaemon || inside[m.Domain] != own {
			continue
		}
		c, ok := candidate(m, in.Status, in.Hash)
		if !ok || !allows(domains[poolOwner{m.Kind, m.Group}], m.Domain) {
			continue
		}
		switch m.Kind {
		case KindEngine:
			for _, id := range groups[GroupID(m.Group)] {
				s.models[id] = s.models[id].with(c)
			}
		case KindService:
			id := ServiceID(m.Group)
			s.services[id] = s.services[id].with(c)
		}
	}
}

// groupModels lists for each engine group the models and adapters that it
// takes requests for.
func groupModels(cfg *Config) map[GroupID][]ModelID {
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

// poolOwner names an engine group or a service.
type poolOwner struct {
	kind MemberKind
	name string
}

// groupDomains lists the failure domains that groups and services are
// restricted to.
func groupDomains(cfg *Config) map[poolOwner][]FailureDomain {
	out := make(map[poolOwner][]FailureDomain, len(cfg.Engines)+len(cfg.Services))
	for _, g := range cfg.Engines {
		out[poolOwner{KindEngine, string(g.Name)}] = g.Domains
	}
	for _, s := range cfg.Services {
		out[poolOwner{KindService, string(s.Name)}] = s.Domains
	}
	return out
}

// allows reports whether a domain is in a list; an empty list holds all.
func allows(domains []FailureDomain, d FailureDomain) bool {
	return len(domains) == 0 || slices.Contains(domains, d)
}

func candidate(m *Member, status map[UpstreamID]Status, hash func(string) uint64) (Candidate, bool) {
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

func (p *Pool) with(c Candidate) *Pool {
	if p == nil {
		p = &Pool{}
	}
	p.Candidates = append(p.Candidates, c)
	return p
}

// Model returns the pool of a model or adapter. It is empty when none serves
// it.
func (s *Snapshot) Model(id ModelID) *Pool {
	if p := s.models[id]; p != nil {
		return p
	}
	return emptyPool
}

// Service returns the pool of a service. It is empty when none runs.
func (s *Snapshot) Service(id ServiceID) *Pool {
	if p := s.services[id]; p != nil {
		return p
	}
	return emptyPool
}
