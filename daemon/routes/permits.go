// This file is the part of the control loop that owns the permits for saturated services: those that
// this daemon acquires, and those that it grants as a coordinator. coordination/admission decides;
// acquire.go has the request path's part.

package routes

import (
	"maps"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/transport/relay"
)

const (
	// permitMembersInterval is how often the members that may coordinate are updated while a service
	// is in use. Members change with the heartbeats.
	permitMembersInterval = heartbeatInterval
	// permitServiceRetention is how long after the last event about a service without permits its
	// replicas are kept up to date: longer than a service stays saturated (2 s).
	permitServiceRetention = 5 * time.Second
	// permitStartTime is how long after its start a daemon takes each heartbeat into account at once: longer than it may
	// take to know the other daemons.
	permitStartTime = 2 * time.Second
	// settledIncarnations is how much earlier than this daemon a member started that knows the others, in units of
	// [incarnationUnit]. It leaves a second for clocks that differ.
	settledIncarnations = membership.Incarnation(2 * time.Second / incarnationUnit)
	// minPermitDelay bounds how often the timer fires.
	minPermitDelay = time.Millisecond
)

// permitDaemon decides about permits. [admission.Daemon] implements it; tests replace it.
type permitDaemon interface {
	SetRosterEvidence(e admission.RosterEvidence)
	SetMembers(live []membership.Member, daemons int, now time.Time)
	SetLeaving()
	SetReplicas(s routing.ServiceName, list []admission.Replica, now time.Time)
	ReportSaturated(s routing.ServiceName, now time.Time) bool
	SetBrittle(s routing.ServiceName, on bool, limit int, now time.Time)
	Saturated(s routing.ServiceName, now time.Time) bool
	SaturatedServices(now time.Time) []routing.ServiceName
	Ask(s routing.ServiceName, a admission.Ask, now time.Time)
	Withdraw(s routing.ServiceName, id admission.PermitID, now time.Time)
	Finish(s routing.ServiceName, f admission.Finished, now time.Time)
	SetUnpermitted(s routing.ServiceName, counts []routing.LoadCount)
	SetReplica(s routing.ServiceName, r admission.Replica)
	AskAt(s routing.ServiceName, key routing.LoadKey, a admission.Ask, mayWait bool, unpermitted uint16, now time.Time)
	WithdrawAt(s routing.ServiceName, key routing.LoadKey, id admission.PermitID, now time.Time)
	FinishAt(s routing.ServiceName, key routing.LoadKey, f admission.Finished, now time.Time)
	ReceiveRequest(r *admission.PermitRequest, now time.Time)
	ReceiveReply(r *admission.PermitReply, now time.Time)
	Tick(now time.Time)
	Due() (time.Time, bool)
	Take(now time.Time) []admission.Effect
	Status(now time.Time) []admission.ServiceStatus
}

var _ permitDaemon = (*admission.Daemon)(nil)

// permits is the control loop's state of the permits.
type permits struct {
	daemon permitDaemon
	placer *routing.Placer
	gate   *permitGate
	seeds  []membership.Address // without this daemon
	lastID admission.PermitID
	// asks are the requests of this daemon that wait for a permit or hold one.
	asks map[admission.PermitID]*permitAsk
	// services are those with recent events, and when the last one was.
	services     map[routing.ServiceName]time.Time
	membersSetAt time.Time
	// brittle are the services whose replicas were brittle at the last update.
	brittle []routing.BrittleStatus
	// atReplica are those of them whose requests need permits at single replicas.
	atReplica []routing.ServiceName
	// timer fires at due, when the daemon has something to do. If due is zero, it is stopped.
	timer *time.Timer
	due   time.Time
}

func newPermits(d permitDaemon, p *routing.Placer, seeds []membership.Address) *permits {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &permits{
		daemon: d, placer: p, seeds: seeds, gate: &permitGate{}, timer: timer,
		asks: make(map[admission.PermitID]*permitAsk), services: make(map[routing.ServiceName]time.Time),
	}
}

// needPermit asks for a permit for a request.
func (c *control) needPermit(a *permitAsk, now time.Time) {
	p, s := c.permits, a.call.Service
	if a.replica != nil {
		c.needPermitAt(a, now)
		return
	}
	if !c.updatePermitService(s, now) || !p.daemon.Saturated(s, now) {
		a.reply <- relay.PermitDirect{}
		c.settlePermits(now)
		return
	}
	p.lastID++
	a.id = p.lastID
	p.asks[a.id] = a
	c.log.metrics.PermitsAsked.Inc(1)
	p.daemon.Ask(s, a.ask(now), now)
	c.settlePermits(now)
}

// ask returns the request as the coordinator sees it. Without a target it is as urgent as its
// deadline.
func (a *permitAsk) ask(now time.Time) admission.Ask {
	c := a.call
	out := admission.Ask{
		ID: a.id, Urgency: admission.NewUrgency(c.WorkspacePriority, c.Route.Priority), Workspace: admission.NewWorkspaceKey(c.Workspace),
		UntilDeadline: c.Deadline.Sub(now), UntilTarget: c.Deadline.Sub(now), Tried: a.tried,
	}
	if c.Route.FirstByteTarget > 0 {
		out.UntilTarget = c.Arrived.Add(c.Route.FirstByteTarget).Sub(now)
	}
	return out
}

// withdrawPermit ends an ask whose caller does not wait any more. The ask is unknown if its event
// was not posted in time.
func (c *control) withdrawPermit(a *permitAsk, now time.Time) {
	p := c.permits
	if p.asks[a.id] != a {
		return
	}
	delete(p.asks, a.id)
	switch abandoned := (admission.Finished{ID: a.id, Result: admission.Abandoned}); {
	case a.granted && a.replica != nil:
		p.daemon.FinishAt(a.call.Service, a.replica.LoadKey(), abandoned, now)
	case a.granted:
		p.daemon.Finish(a.call.Service, abandoned, now)
	default:
		p.withdraw(a, now)
	}
	c.settlePermits(now)
}

// finishPermit ends a permit.
func (c *control) finishPermit(e *permitDone, now time.Time) {
	p := c.permits
	delete(p.asks, e.finished.ID)
	if e.replica != 0 {
		p.daemon.FinishAt(e.service, e.replica, e.finished, now)
		c.settlePermits(now)
		return
	}
	c.updatePermitService(e.service, now)
	p.daemon.Finish(e.service, e.finished, now)
	c.settlePermits(now)
}

// reportSaturated records that services are saturated, and reports those that were not known to be
// to the targets of a full heartbeat: each daemon forwards a report once.
func (c *control) reportSaturated(services []routing.ServiceName, now time.Time) {
	var fresh []routing.ServiceName
	for _, s := range services {
		if c.updatePermitService(s, now) && c.permits.daemon.ReportSaturated(s, now) {
			fresh = append(fresh, s)
		}
	}
	for list := range slices.Chunk(fresh, gossip.MaxSaturations) {
		sendReportsToTargets(c, list, gossip.EncodeSaturations, now)
	}
	c.settlePermits(now)
}

// sendKnownSaturations reports the saturated services to a daemon that has just started.
func (c *control) sendKnownSaturations(to []membership.Address, now time.Time) {
	known := c.permits.daemon.SaturatedServices(now)
	sendReports(c, to, known[:min(len(known), gossip.MaxSaturations)], gossip.EncodeSaturations)
}

// receivePermitRequest processes a daemon's message to this daemon as a coordinator. If this daemon
// knows no replica of the service that it may send to, it does not reply, and the other daemon asks
// another coordinator (coordination/admission/client.go).
func (c *control) receivePermitRequest(r *admission.PermitRequest, now time.Time) {
	if key, ok := r.Scope.Replica(); ok {
		if !c.setReplicaOfRequest(r.Service, key, now) {
			return
		}
	} else if !c.updatePermitService(r.Service, now) {
		return
	}
	c.permits.daemon.ReceiveRequest(r, now)
	c.settlePermits(now)
}

// receivePermitReply processes a coordinator's message.
func (c *control) receivePermitReply(r *admission.PermitReply, now time.Time) {
	if _, ok := r.Scope.Replica(); !ok {
		c.updatePermitService(r.Service, now)
	}
	c.permits.daemon.ReceiveReply(r, now)
	c.settlePermits(now)
}

// tickPermits does what is due. It costs nothing while no service is in use.
func (c *control) tickPermits(now time.Time) {
	p := c.permits
	if len(p.services) == 0 && len(p.brittle) == 0 {
		return
	}
	for s, at := range p.services {
		if now.Sub(at) > permitServiceRetention && !p.daemon.Saturated(s, now) && !p.hasAsks(s) {
			delete(p.services, s)
			continue
		}
		c.setPermitReplicas(s, now)
	}
	c.setPermitMembers(now)
	p.daemon.Tick(now)
	c.settlePermits(now)
}

// hasAsks reports whether a request of this daemon waits for a permit of a service or holds one.
func (p *permits) hasAsks(s routing.ServiceName) bool {
	for _, a := range p.asks {
		if a.call.Service == s {
			return true
		}
	}
	return false
}

// updatePermitService brings what is known about a service up to date before it is used. It reports
// whether the service can have a coordinator and this daemon may send to a replica of it.
func (c *control) updatePermitService(s routing.ServiceName, now time.Time) bool {
	ok := c.setPermitReplicas(s, now)
	if ok {
		c.permits.services[s] = now
		c.setPermitMembers(now)
	}
	return ok
}

// setPermitReplicas updates the replicas of a service and the requests without permits at them.
func (c *control) setPermitReplicas(s routing.ServiceName, now time.Time) bool {
	p, v := c.permits, c.view.Load()
	var list []admission.Replica
	if v.MayCoordinate(s, admission.MaxReplicas) {
		for _, r := range p.placer.PlainReplicas(v, s, now) {
			list = append(list, admissionReplica(&r))
		}
	}
	if len(list) == 0 {
		if _, isKnown := p.services[s]; !isKnown {
			return false
		}
		c.endWaits(s, now)
	}
	p.daemon.SetReplicas(s, list, now)
	p.daemon.SetUnpermitted(s, c.loads.LocalUnpermitted(v.Pool(s)))
	return len(list) > 0
}

// setPermitMembers updates the daemons that may coordinate.
func (c *control) setPermitMembers(now time.Time) {
	p := c.permits
	if since := now.Sub(p.membersSetAt); !p.membersSetAt.IsZero() && since < permitMembersInterval {
		return
	}
	p.membersSetAt = now
	c.updatePermitMembers(now)
}

// startPermitMembers updates the daemons that may coordinate while this daemon has just started: at its start, and with each
// heartbeat. Until it knows that its roster is complete, it decides alone (coordination/admission/settle.go). The roster of a
// large fleet grows for longer than that.
func (c *control) startPermitMembers(now time.Time) {
	if now.Sub(c.startedAt) >= permitStartTime || c.largeFleet() {
		return
	}
	c.updatePermitMembers(now)
	if len(c.permits.services) > 0 {
		c.settlePermits(now)
	}
}

func (c *control) updatePermitMembers(now time.Time) {
	p := c.permits
	live := slices.DeleteFunc(c.roster.Live(now), func(m membership.Member) bool {
		return m.Leaving || c.health.IsCutOff(m.Domain, now)
	})
	p.daemon.SetRosterEvidence(rosterEvidence(c.roster.Self(), p.seeds, live))
	p.daemon.SetMembers(live, c.roster.Size(now), now)
}

// rosterEvidence returns what shows whether the live members are all daemons of the fleet.
func rosterEvidence(self membership.Member, seeds []membership.Address, live []membership.Member) admission.RosterEvidence {
	e := admission.RosterEvidence{Seedless: len(seeds) == 0, KnowsSeeds: true}
	for _, s := range seeds {
		e.KnowsSeeds = e.KnowsSeeds && slices.ContainsFunc(live, func(m membership.Member) bool { return m.Address == s })
	}
	e.KnowsSettled = slices.ContainsFunc(live, func(m membership.Member) bool {
		return m.Incarnation+settledIncarnations <= self.Incarnation
	})
	return e
}

// settlePermits carries out what the calls of the daemon since the last time require, publishes which
// services need permits, and sets the timer. Each event about permits ends with it.
func (c *control) settlePermits(now time.Time) {
	p := c.permits
	for effects := p.daemon.Take(now); len(effects) > 0; effects = p.daemon.Take(now) {
		for _, e := range effects {
			c.applyPermitEffect(e, now)
		}
	}
	c.publishSaturated(now)
	c.publishAtReplica(now)
	c.schedulePermits(now)
}

func (c *control) applyPermitEffect(e admission.Effect, now time.Time) {
	switch e := e.(type) {
	case admission.SendRequest:
		payload, err := gossip.EncodePermitRequest(e.Request)
		c.sendPayload([]membership.Address{e.To}, payload, err)
	case admission.SendReply:
		payload, err := gossip.EncodePermitReply(e.Reply)
		c.sendPayload([]membership.Address{e.To}, payload, err)
	case admission.Decided:
		c.deliverDecision(&e, now)
	case admission.CoordinatorSilent:
		c.log.CoordinatorSilent(e.Service, e.Address)
	case admission.SaturationEnded: // publishSaturated logs it
	}
}

// deliverDecision passes a decision to the request that waits for it. A permit that no request waits
// for any more is given back.
func (c *control) deliverDecision(d *admission.Decided, now time.Time) {
	p, id := c.permits, d.Decision.Permit()
	a := p.asks[id]
	if d.Alone {
		c.log.metrics.PermitsAlone.Inc(1)
	}
	switch decision := d.Decision.(type) {
	case admission.Granted:
		if a == nil {
			abandoned := admission.Finished{ID: id, Result: admission.Abandoned}
			p.daemon.Finish(d.Service, abandoned, now)
			p.daemon.FinishAt(d.Service, decision.Replica, abandoned, now)
			return
		}
		c.log.metrics.permitGranted(d.Waited)
		a.granted = true
		a.reply <- relay.PermitGranted{Service: d.Service, ID: id, Replica: decision.Replica, AtReplica: a.replica != nil}
	case admission.Full:
		if a == nil {
			return
		}
		delete(p.asks, id)
		a.reply <- relay.PermitFull{}
	case admission.Refused:
		if a == nil {
			return
		}
		delete(p.asks, id)
		c.log.PermitRefused(a, d, decision.RetryAfter, func() int { return c.waitingAt(d.Service, now) }, now)
		a.reply <- relay.PermitRefused{RetryAfter: decision.RetryAfter}
	case admission.Queued:
	}
}

// logSaturated logs that a service became saturated or is no longer.
func (c *control) logSaturated(s routing.ServiceName, begun bool, now time.Time) {
	st := c.permitStatus(s, now)
	own := c.coordinated(&st)
	if own == nil {
		own = &admission.Status{}
	}
	c.log.Saturated(s, begun, st.Coordinator, own)
}

// waitingAt returns the number of requests that wait at the coordinator of a service, or
// unknownWaiting.
func (c *control) waitingAt(s routing.ServiceName, now time.Time) int {
	st := c.permitStatus(s, now)
	if own := c.coordinated(&st); own != nil {
		return own.Waiting
	}
	return unknownWaiting
}

// permitStatus returns the state of a service.
func (c *control) permitStatus(s routing.ServiceName, now time.Time) admission.ServiceStatus {
	for _, st := range c.permits.daemon.Status(now) {
		if st.Service == s {
			return st
		}
	}
	return admission.ServiceStatus{Service: s}
}

// coordinated returns the state of the coordinator that this daemon asks if it runs that itself, or
// nil.
func (c *control) coordinated(s *admission.ServiceStatus) *admission.Status {
	if s.Coordinator != c.roster.Self().Address {
		return nil
	}
	for i := range s.Coordinates {
		if s.Coordinates[i].Scope == s.Scope {
			return &s.Coordinates[i]
		}
	}
	return nil
}

// publishSaturated publishes which services need permits, and logs changes. Requests that wait for a
// permit of a service that is no longer saturated are sent without one.
func (c *control) publishSaturated(now time.Time) {
	p := c.permits
	var needed []routing.ServiceName
	if len(p.services) > 0 {
		needed = slices.DeleteFunc(p.daemon.SaturatedServices(now), func(s routing.ServiceName) bool {
			return !c.view.Load().MayCoordinate(s, admission.MaxReplicas)
		})
	}
	var before []routing.ServiceName
	if list := p.gate.needed.Load(); list != nil {
		before = *list
	}
	if slices.Equal(needed, before) {
		return
	}
	if len(needed) > 0 {
		p.gate.needed.Store(&needed)
	} else {
		p.gate.needed.Store(nil)
	}
	for _, s := range needed {
		if !slices.Contains(before, s) {
			c.logSaturated(s, true, now)
		}
	}
	for _, s := range before {
		if !slices.Contains(needed, s) {
			c.logSaturated(s, false, now)
			c.endWaits(s, now)
		}
	}
}

// endWaits ends the waits for permits of a service: the requests are sent without one.
func (c *control) endWaits(s routing.ServiceName, now time.Time) {
	p := c.permits
	for _, id := range slices.Sorted(maps.Keys(p.asks)) {
		if a := p.asks[id]; a.call.Service == s && !a.granted {
			delete(p.asks, id)
			p.withdraw(a, now)
			a.reply <- relay.PermitDirect{}
		}
	}
}

// schedulePermits sets the timer to when the daemon has something to do.
func (c *control) schedulePermits(now time.Time) {
	p := c.permits
	due, ok := p.daemon.Due()
	if !ok {
		due = time.Time{}
	}
	if due.Equal(p.due) {
		return
	}
	p.due = due
	if !ok {
		p.timer.Stop()
		return
	}
	p.timer.Reset(max(minPermitDelay, due.Sub(now)))
}

// permitsDue processes the timer.
func (c *control) permitsDue(now time.Time) {
	c.permits.due = time.Time{}
	c.tickPermits(now)
	c.settlePermits(now) // other daemons may ask this one for permits that it no longer needs itself
}
