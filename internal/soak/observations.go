// This file holds what was observed in a run, and copies it for the checks.

package soak

import (
	"maps"
	"slices"
	"time"
)

// observations are everything recorded of a run.
type observations struct {
	bounds   bounds
	requests map[string]*record
	order    []*record

	daemons         map[int][]span    // unplanned disturbances of a daemon or its links
	replicas        map[string][]span // disturbances of a replica or its link
	store           []span
	shutdowns       map[int][]span                  // graceful shutdowns
	departures      map[string][]span               // from when the store accepted a replica's departure, until it returned
	joined          map[string]map[string]time.Time // when each replica of a service began to serve
	ready           time.Time                       // when all daemons were first ready
	routes          map[string][]routeChange        // a route's service
	keys            map[string]*keyHistory
	domains         map[string]string              // of replicas
	evacuations     map[string][]span              // evacuations of domains, as the store accepted them
	cold            map[string][]coldSpan          // of replicas
	terminations    []Violation                    // daemons that terminated by themselves, or did not shut down in time
	crashes         map[int][]crash                // by number of the crashing request
	backoffs        map[processID][]backoffRequest // by the daemon process that got the request
	builds          map[processID]Build
	begins          map[processID]time.Time // of processes
	restored        time.Time               // when the store was first restored from a backup
	freezes         map[int][]span          // of daemons
	setAside        map[string][]span       // when replicas backed off, or announced their departure in responses alone
	crowdedServices map[string]*crowdedService
	crowdedPlan     *Crowded // nil: no service is crowded
	crowdedCalls    []*crowdedCall
	brittle         []brittleSpan
	partitions      []partitionSpan
	versions        map[string][]versionSpan // of replicas
	releases        []time.Time              // when each began
	outOfStep       map[int][]span           // when a daemon was cut off from others, or suspended
	silences        []silentSpan             // of sound replicas
	replicaEnds     map[string][]time.Time   // when a replica reset all its connections
	orderlyEnds     map[string][]time.Time   // when a replica terminated and the system ended its connections
	configurations  []span                   // from when one was sent to the store, until the store accepted it
	hangUps         map[int][]time.Time      // when a daemon got a SIGHUP
	interruptions   map[int][]span           // disturbances of a daemon that may end connections of its callers
	kills           map[int][]time.Time      // of daemons by a fault
	stalls          map[int][]span           // when the process of a daemon, or ownProcess, stood still by itself
	sources         map[string]int           // daemons, by the IP address from which only they connect to replicas
	// connection returns the link's record of a connection to a replica that was open at a time.
	connection func(conn string, at time.Time) (connRecord, bool)
	// wasRead reports whether a daemon must have read what a replica wrote at a time on a connection, and
	// describes what became of it.
	wasRead func(conn string, at time.Time) (bool, string)
	// recoveryCheckFrom is when the last part of the quiet time begins, in which requests must be served.
	recoveryCheckFrom time.Time
}

// snapshot returns a copy of what was recorded so far. The checks take long and read a copy, because callers,
// replicas and the store of the run wait for the ledger's lock.
func (l *Ledger) snapshot() *observations {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.observations
	o.copyRequests()
	o.daemons, o.replicas, o.store = cloneLists(o.daemons), cloneLists(o.replicas), slices.Clone(o.store)
	o.shutdowns, o.departures, o.evacuations = cloneLists(o.shutdowns), cloneLists(o.departures), cloneLists(o.evacuations)
	o.routes, o.cold, o.crashes = cloneLists(o.routes), cloneLists(o.cold), cloneLists(o.crashes)
	o.backoffs, o.freezes, o.setAside = cloneLists(o.backoffs), cloneLists(o.freezes), cloneLists(o.setAside)
	o.versions, o.partitions, o.terminations = cloneLists(o.versions), slices.Clone(o.partitions), slices.Clone(o.terminations)
	o.domains, o.builds, o.begins = maps.Clone(o.domains), maps.Clone(o.builds), maps.Clone(o.begins)
	o.silences, o.configurations = slices.Clone(o.silences), slices.Clone(o.configurations)
	o.replicaEnds, o.hangUps, o.interruptions = cloneLists(o.replicaEnds), cloneLists(o.hangUps), cloneLists(o.interruptions)
	o.orderlyEnds = cloneLists(o.orderlyEnds)
	o.releases, o.outOfStep = slices.Clone(o.releases), cloneLists(o.outOfStep)
	o.kills, o.sources, o.stalls = cloneLists(o.kills), maps.Clone(o.sources), cloneLists(o.stalls)
	o.joined = maps.Clone(o.joined)
	for service, replicas := range o.joined {
		o.joined[service] = maps.Clone(replicas)
	}
	o.keys = cloneValues(o.keys)
	o.crowdedServices = cloneValues(o.crowdedServices)
	for _, s := range o.crowdedServices {
		s.copyStays()
	}
	o.copyBrittle()
	return &o
}

// copyRequests replaces the records of requests by copies.
func (o *observations) copyRequests() {
	records := make([]record, len(o.order))
	order := make([]*record, len(o.order))
	copies := make(map[*record]*record, len(o.order))
	for i, r := range o.order {
		records[i] = *r
		records[i].runs = clonePointers(r.runs)
		order[i], copies[r] = &records[i], &records[i]
	}
	requests := make(map[string]*record, len(o.requests))
	for id, r := range o.requests {
		requests[id] = copies[r]
	}
	o.order, o.requests = order, requests
}

// copyStays replaces the records of a crowded service by copies.
func (s *crowdedService) copyStays() {
	s.crowded, s.slots, s.stays = slices.Clone(s.crowded), maps.Clone(s.slots), maps.Clone(s.stays)
	for replica, list := range s.stays {
		s.stays[replica] = clonePointers(list)
	}
}

// clonePointers returns pointers to copies of what a list points to.
func clonePointers[V any](list []*V) []*V {
	copies := make([]V, len(list))
	out := make([]*V, len(list))
	for i, v := range list {
		copies[i] = *v
		out[i] = &copies[i]
	}
	return out
}

// cloneLists returns a copy of a map and of its lists.
func cloneLists[K comparable, V any](m map[K][]V) map[K][]V {
	out := make(map[K][]V, len(m))
	for k, list := range m {
		out[k] = slices.Clone(list)
	}
	return out
}

// cloneValues returns a copy of a map and of what its values point to.
func cloneValues[K comparable, V any](m map[K]*V) map[K]*V {
	out := make(map[K]*V, len(m))
	for k, v := range m {
		c := *v
		out[k] = &c
	}
	return out
}
