// Placement by a coordinator: while a plain service is saturated, one daemon chooses the replicas
// of its requests for all daemons (coordination/admission).
//
// The inputs are those of place.go, and the replica that the coordinator chose. The rule:
//
//  1. The coordinator chooses among the replicas that its own view allows for a request that was not
//     tried before, as [Placer.Choose] does, but ejected ones are allowed. The other replicas of a
//     saturated service have no room for the requests of an ejected one, and an ejection by every
//     daemon at once would take away its part of the service for seconds. The coordinator limits a
//     failing replica by the results of its permits.
//  2. The daemon that has the request checks the replica by its own view in the same way, with the
//     replicas that the request was sent to before. Its load does not matter, since the coordinator
//     knows the load better. The coordinator does not know whether the request is a stream, so that the
//     daemon tells it to leave out replicas of new versions ([Placer.NewReplicas]), and checks it
//     (establishment.go).

package routing

import (
	"slices"
	"time"
)

// MayCoordinate reports whether a service can have a coordinator: it has no model, at most
// maxReplicas ready replicas, all of which state their slots, and a route with a latency target.
func (v *View) MayCoordinate(s ServiceName, maxReplicas int) bool {
	ready := v.Pool(s).Ready
	if !v.IsPlain(s) || !v.Table.HasTarget(s) || len(ready) == 0 || len(ready) > maxReplicas {
		return false
	}
	return !slices.ContainsFunc(ready, func(r Replica) bool { return r.Slots < 1 })
}

// IsPlain reports whether the configuration is known, and the service has no model.
func (v *View) IsPlain(s ServiceName) bool {
	if v.Table == nil {
		return false
	}
	service, ok := v.service(s)
	return !ok || !service.Generates
}

// PlainReplicas returns the replicas of a service that may get a request now, by rule 1. It returns
// nil for a service with a model.
func (p *Placer) PlainReplicas(v *View, s ServiceName, now time.Time) []Replica {
	c := p.plainCandidates(v, s, Tried{}, now)
	if c == nil {
		return nil
	}
	out := make([]Replica, 0, c.usableCount)
	for i := range c.ready {
		if c.usable[i] {
			out = append(out, c.ready[i])
		}
	}
	return out
}

// ChooseGranted returns the target of a request for which a coordinator chose a replica. It returns
// false if the request must not be sent there, by rule 2.
func (p *Placer) ChooseGranted(v *View, r *Request, key LoadKey, tried Tried, now time.Time) (Target, bool) {
	c := p.plainCandidates(v, r.Service, tried, now)
	if c == nil {
		return Target{}, false
	}
	service, _ := v.service(r.Service)
	newVersions := v.newFor(r, tried)
	if e := c.established(p.Health, newVersions, now); e != nil {
		c.exclude(func(r *Replica) bool { return slices.Contains(newVersions, r.versionKey) })
	}
	for i := range c.ready {
		if c.ready[i].LoadKey() == key && c.usable[i] && p.Cold.reserve(&c.ready[i], service, now) {
			isNew := slices.Contains(newVersions, c.ready[i].versionKey)
			return Target{Replica: c.ready[i], Load: c.loads[i], Mean: c.mean, Coverage: c.coverage, NewVersion: isNew}, true
		}
	}
	return Target{}, false
}

// plainCandidates returns the candidates of a request without a prompt, by rule 1; nil if there are
// none.
func (p *Placer) plainCandidates(v *View, s ServiceName, tried Tried, now time.Time) *candidates {
	pool := v.Pool(s).sorted()
	service, _ := v.service(s)
	if len(pool.Ready) == 0 || service != nil && service.Generates {
		return nil
	}
	c := newCandidatesDespiteEjections(p, pool, v, service, tried, now)
	c.excludeCold(p.Cold, service, now)
	if c.usableCount == 0 {
		// Cold replicas that are at their limit are not candidates: a replica in a domain that is cut off
		// is better than none.
		c.ignoreEjections(p, pool, tried, now)
		c.excludeCold(p.Cold, service, now)
	}
	return c
}

// service returns a service of the configuration, and false before the first configuration.
func (v *View) service(s ServiceName) (*Service, bool) {
	if v.Table == nil {
		return nil, false
	}
	return v.Table.Service(s)
}
