// This file is the part of the control loop for permits at single replicas, which requests to brittle services
// need if no coordinator chooses their replicas (coordination/admission/replica_pool.go).

package routes

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// admissionReplica returns a replica as coordinators see it.
func admissionReplica(r *routing.Replica) admission.Replica {
	return admission.Replica{Key: r.LoadKey(), Domain: r.Domain, Slots: r.Slots}
}

// needPermitAt asks for a permit at the replica of an ask.
func (c *control) needPermitAt(a *permitAsk, now time.Time) {
	p, s := c.permits, a.call.Service
	if !slices.Contains(p.atReplica, s) {
		a.reply <- relay.PermitDirect{}
		return
	}
	c.setPermitMembers(now)
	p.lastID++
	a.id = p.lastID
	p.asks[a.id] = a
	c.log.metrics.PermitsAsked.Inc(1)
	r := admissionReplica(a.replica)
	p.daemon.SetReplica(s, r)
	p.daemon.AskAt(s, r.Key, a.ask(now), a.mayWait, c.loads.LocalUnpermittedAt(r.Key), now)
	c.settlePermits(now)
}

// withdraw ends an ask that is not decided.
func (p *permits) withdraw(a *permitAsk, now time.Time) {
	if a.replica != nil {
		p.daemon.WithdrawAt(a.call.Service, a.replica.LoadKey(), a.id, now)
		return
	}
	p.daemon.Withdraw(a.call.Service, a.id, now)
}

// setReplicaOfRequest brings what is known of a replica up to date before this daemon grants permits for it. It
// returns false if this daemon knows no such replica of the service: then it does not reply, and the other
// daemon asks another one.
func (c *control) setReplicaOfRequest(s routing.ServiceName, key routing.LoadKey, now time.Time) bool {
	r := c.view.Load().Replica(key)
	if r == nil || r.Service != s {
		return false
	}
	c.setPermitMembers(now)
	c.permits.daemon.SetReplica(s, admissionReplica(r))
	return true
}

// updateAtReplica records which brittle services need permits at single replicas: those that can't have a
// coordinator. A service stays one of them until it is no longer brittle, whatever becomes of its replicas.
func (c *control) updateAtReplica(known []routing.BrittleStatus) {
	p, v := c.permits, c.view.Load()
	p.atReplica = slices.DeleteFunc(p.atReplica, func(s routing.ServiceName) bool { return !isBrittleIn(known, s) })
	for _, b := range known {
		if len(v.Pool(b.Service).Ready) > 0 && !v.MayCoordinate(b.Service, admission.MaxReplicas) && !slices.Contains(p.atReplica, b.Service) {
			p.atReplica = append(p.atReplica, b.Service)
		}
	}
}

// publishAtReplica publishes which services need permits at single replicas. Requests that wait for a permit of
// a service that no longer does are sent without one.
func (c *control) publishAtReplica(now time.Time) {
	p := c.permits
	var before []routing.ServiceName
	if list := p.gate.atReplica.Load(); list != nil {
		before = *list
	}
	if slices.Equal(before, p.atReplica) {
		return
	}
	if len(p.atReplica) == 0 {
		p.gate.atReplica.Store(nil)
	} else {
		list := slices.Clone(p.atReplica)
		p.gate.atReplica.Store(&list)
	}
	for _, s := range before {
		if !slices.Contains(p.atReplica, s) {
			c.endWaits(s, now)
		}
	}
}
