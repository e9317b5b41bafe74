// The client of a daemon and the coordinators that it runs, behind one interface.

package admission

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// MaxReplicas is the number of replicas up to which a service has a coordinator. With more, one
// daemon could not grant all permits within its control budget.
const MaxReplicas = 24

// Daemon is the permits of one daemon: those that it acquires and those that it grants.
type Daemon struct {
	self         membership.Member
	members      []membership.Member
	hash         uint64   // of its own address
	hashes       []uint64 // of the addresses of members
	incarnations map[membership.Address]membership.Incarnation
	domains      map[membership.Address]state.FailureDomain
	daemons      int       // in the fleet, including this one
	settled      time.Time // when the roster is complete after the start; zero before SetMembers
	begun        time.Time // of the first SetMembers
	joined       time.Time // when the members last changed, while the roster may be incomplete
	evidence     RosterEvidence
	sizeReported bool     // another daemon reported a larger fleet than this one knew
	first        Sequence // the messages of this incarnation have higher sequence numbers
	sequence     Sequence // of the newest message
	clients      map[pool]*client
	brittle      map[routing.ServiceName]brittleSpell // services whose replicas are brittle
	active       []*client
	coordinators []*running
	effects      []Effect
}

// brittleSpell is a time in which the replicas of a service are brittle.
type brittleSpell struct {
	limit int       // rejections in a second that a replica survives
	since time.Time // when this daemon learned of it
}

// running is a coordinator of this daemon.
type running struct {
	*Coordinator
	alone    bool
	received time.Time // of the last request
	tick     time.Time // when Tick is due
	replies  bool      // Replies may return some
}

const (
	// coordinatorTick is how often a coordinator checks expired permits and deadlines. It bounds the
	// time for which a place that becomes free without a message stays unused.
	coordinatorTick = 5 * time.Millisecond
	// replicaTick is coordinatorTick for the coordinator of a single replica, of which a daemon has many.
	replicaTick = 25 * time.Millisecond
	// coordinatorIdle is how long after the last request a coordinator needs no ticks any more. All
	// permits have expired by then (silentAfter).
	coordinatorIdle = time.Second
	// coordinatorKept is how long a coordinator remembers the usual times of its replicas without
	// requests.
	coordinatorKept = time.Minute
)

// NewDaemon returns the state of a daemon that has just started.
func NewDaemon(self membership.Member) *Daemon {
	// Incarnations use different sequence numbers, so that replies to a former one are recognized.
	// They begin in the lower half, which leaves at least 2^31 messages until they wrap around.
	first := Sequence(coordination.Scramble(uint64(self.Incarnation)) >> 33)
	return &Daemon{self: self, hash: coordination.Hash(string(self.Address)), daemons: 1, first: first, sequence: first,
		clients: make(map[pool]*client), brittle: make(map[routing.ServiceName]brittleSpell)}
}

// hasSent reports whether this incarnation sent a message with a sequence number.
func (d *Daemon) hasSent(s Sequence) bool { return s != d.first && s-d.first <= d.sequence-d.first }

// client returns the client of a service.
func (d *Daemon) client(s routing.ServiceName) *client { return d.pool(servicePool(s)) }

// pool returns the client of a pool.
func (d *Daemon) pool(p pool) *client {
	c := d.clients[p]
	if c == nil {
		c = &client{d: d, pool: p, hash: coordination.Hash(string(p.service) + string(p.scope)),
			silent: make(map[membership.Address]*silence)}
		d.clients[p] = c
	}
	return c
}

// activate adds a client to those with something to do.
func (d *Daemon) activate(c *client) {
	if !c.active {
		c.active = true
		d.active = append(d.active, c)
	}
}

// SetMembers sets the live daemons that may coordinate: not leaving, not in a failure domain that
// is cut off, without this daemon. daemons is the size of the fleet, including this daemon.
func (d *Daemon) SetMembers(live []membership.Member, daemons int, now time.Time) {
	changed := daemons != d.daemons || !d.sameMembers(live)
	if d.begun.IsZero() {
		d.begun, changed = now, true
	}
	if d.isSettling(now) {
		if changed {
			d.joined = now
		}
		d.settle(len(live)+1, daemons, now)
	}
	if !changed {
		return // heartbeats change the age of members only
	}
	incarnations := make(map[membership.Address]membership.Incarnation, len(live))
	domains := make(map[membership.Address]state.FailureDomain, len(live))
	for _, m := range live {
		incarnations[m.Address], domains[m.Address] = m.Incarnation, m.Domain
	}
	d.members, d.daemons = slices.Clone(live), daemons
	d.incarnations, d.domains = incarnations, domains
	d.hashes = d.hashes[:0]
	for _, m := range live {
		d.hashes = append(d.hashes, coordination.Hash(string(m.Address)))
	}
	for _, c := range d.clients {
		c.membersChanged(incarnations)
	}
}

// SetLeaving records that this daemon is shutting down. It asks the coordinator that the others ask,
// which is no longer this one.
func (d *Daemon) SetLeaving() {
	d.self.Leaving = true
	for _, c := range d.clients {
		c.ranked, c.chosen = nil, false
	}
}

// sameMembers reports whether a list has the same members as the previous one, in whatever order.
func (d *Daemon) sameMembers(live []membership.Member) bool {
	if len(live) != len(d.members) {
		return false
	}
	for i := range live {
		incarnation, ok := d.incarnations[live[i].Address]
		if !ok || incarnation != live[i].Incarnation || d.domains[live[i].Address] != live[i].Domain {
			return false
		}
	}
	return true
}

// SetReplicas sets the usable replicas of a service. A service without any, or with more than
// [MaxReplicas], needs no permits.
func (d *Daemon) SetReplicas(s routing.ServiceName, list []Replica, now time.Time) {
	c := d.clients[servicePool(s)]
	if c == nil && len(list) == 0 || c != nil && slices.Equal(c.replicas, list) {
		return
	}
	c = d.client(s)
	c.replicas, c.chosen = slices.Clone(list), false
	if len(list) == 0 && !c.active {
		delete(d.clients, servicePool(s))
	}
	// A coordinator without replicas is kept, because the permits are still out when they come back.
	for _, r := range d.coordinators {
		if poolOf(r.service, r.scope) == servicePool(s) {
			r.SetReplicas(d.replicasIn(c, r.scope), now)
			r.replies = true
		}
	}
}

// replicasIn returns the replicas of a service within a scope, or nil if the service needs no
// permits.
func (d *Daemon) replicasIn(c *client, scope Scope) []Replica {
	if !c.needed() {
		return nil
	}
	var out []Replica
	for _, r := range c.replicas {
		if inScope(scope)(r) {
			out = append(out, r)
		}
	}
	return out
}

// ReportSaturated records that a service is saturated. It reports whether it was not before.
func (d *Daemon) ReportSaturated(s routing.ServiceName, now time.Time) bool {
	c := d.clients[servicePool(s)]
	return c != nil && c.saturate(now)
}

// SetBrittle records whether the replicas of a service are brittle, and how many rejections within a second
// one survives. Requests to the service need permits while they are, and coordinators grant them by strict
// bounds. It is to be called more often than each [saturationTime] while they are.
func (d *Daemon) SetBrittle(s routing.ServiceName, on bool, limit int, now time.Time) {
	if c := d.clients[servicePool(s)]; c != nil && on {
		c.saturate(now)
	}
	before, wasOn := d.brittle[s]
	if wasOn == on && before.limit == limit {
		return
	}
	delete(d.brittle, s)
	if on {
		if !wasOn {
			before.since = now
		}
		d.brittle[s] = brittleSpell{limit, before.since}
	}
	for _, r := range d.coordinators {
		if r.service == s {
			r.setStrict(on, limit, false, now)
			r.replies = true
		}
	}
}

// Saturated reports whether requests to a service need a permit.
func (d *Daemon) Saturated(s routing.ServiceName, now time.Time) bool {
	c := d.clients[servicePool(s)]
	return c != nil && c.isSaturated(now)
}

// SaturatedServices returns the services whose requests need a permit, in alphabetical order. Any
// call of ReportSaturated, SetReplicas, ReceiveReply, Tick and Take may change them.
func (d *Daemon) SaturatedServices(now time.Time) []routing.ServiceName {
	var out []routing.ServiceName
	for _, c := range d.active {
		if !c.isReplica() && c.isSaturated(now) {
			out = append(out, c.service)
		}
	}
	slices.Sort(out)
	return out
}

// Ask asks for a permit. The ID of the ask is set by the caller. The decision follows as a
// [Decided].
func (d *Daemon) Ask(s routing.ServiceName, a Ask, now time.Time) { d.client(s).ask(a, now) }

// Withdraw ends an ask that is not decided, because its caller has gone.
func (d *Daemon) Withdraw(s routing.ServiceName, id PermitID, now time.Time) {
	if c := d.clients[servicePool(s)]; c != nil {
		c.withdraw(id, now)
	}
}

// Finish ends a permit.
func (d *Daemon) Finish(s routing.ServiceName, f Finished, now time.Time) {
	if c := d.clients[servicePool(s)]; c != nil {
		c.finish(f, now)
	}
}

// SetUnpermitted sets the daemon's requests in flight without a permit at the replicas of a
// service.
func (d *Daemon) SetUnpermitted(s routing.ServiceName, counts []routing.LoadCount) {
	if c := d.clients[servicePool(s)]; c != nil {
		c.unpermitted = slices.Clone(counts)
	}
}

// ReceiveRequest processes another daemon's message to this daemon as a coordinator. A coordinator
// without replicas does not reply, so that the other daemon asks elsewhere.
func (d *Daemon) ReceiveRequest(r *PermitRequest, now time.Time) {
	c := d.clients[poolOf(r.Service, r.Scope)]
	if c == nil {
		return
	}
	c.heardFrom(r.From)
	if d.isSettling(now) { // rule 6 of settle.go
		d.settled = now
		d.forgetChosen()
	}
	if !c.isReplica() && r.Scope != "" && r.Scope != Scope(d.self.Domain) {
		return // each domain has a coordinator of its own
	}
	if g := d.coordinator(c, r.Scope, false, now); g != nil {
		g.take(r, d.domains[r.From], c.speed.usual(), now)
	}
}

// coordinator returns the coordinator of a service and scope, or nil if it has no replica.
func (d *Daemon) coordinator(c *client, scope Scope, alone bool, now time.Time) *running {
	replicas := d.replicasIn(c, scope)
	if len(replicas) == 0 {
		return nil
	}
	spell, isBrittle := d.brittle[c.service]
	share := 1.0
	if alone {
		share = 1 / float64(max(d.daemons, 1))
		switch {
		case d.isSettling(now) && (isBrittle || c.isReplica()):
			share = 0
		case d.isSettling(now):
			share = settlingShare
		}
	}
	for i, r := range d.coordinators {
		if r.service != c.service || r.scope != scope || r.alone != alone {
			continue
		}
		if r.share == share {
			return r
		}
		// The share changes with the size of the fleet. The new coordinator does not know the
		// permits of the former one.
		c.orphan(c.link(target{address: d.self.Address, scope: scope, alone: true}))
		d.coordinators = slices.Delete(d.coordinators, i, i+1)
		break
	}
	r := &running{Coordinator: NewCoordinator(d.self, c.service, scope, share), alone: alone}
	r.setStrict(isBrittle || c.isReplica(), spell.limit, !alone, now)
	r.strict.succeeds = isBrittle && !alone && !c.isReplica() && now.Sub(spell.since) >= strictSilent
	r.SetReplicas(replicas, now)
	d.coordinators = append(d.coordinators, r)
	return r
}

// tickInterval returns how often the coordinator checks what has expired.
func (g *running) tickInterval() time.Duration {
	if _, ok := g.scope.Replica(); ok {
		return replicaTick
	}
	return coordinatorTick
}

// idleAfter returns how long after the last request the coordinator needs no ticks any more.
func (g *running) idleAfter() time.Duration {
	if g.strict.on {
		return strictIdle
	}
	return coordinatorIdle
}

// take passes a request to the coordinator. usual is how long the requests of this daemon take.
func (g *running) take(r *PermitRequest, domain state.FailureDomain, usual time.Duration, now time.Time) {
	g.detectPause(now)
	g.detectShortPause(now)
	g.detectTakeover(r, usual, now)
	g.Receive(r, domain, now)
	g.received, g.replies = now, true
	if g.tick.IsZero() {
		g.tick = now.Add(g.tickInterval())
	}
}

// send sends a request, or passes it to a coordinator of this daemon.
func (d *Daemon) send(c *client, l *link, r *PermitRequest, now time.Time) {
	if l.to.address != d.self.Address {
		d.effects = append(d.effects, SendRequest{To: l.to.address, Request: r})
		return
	}
	l.unanswered, l.finished = nil, l.finished[:0]
	if g := d.coordinator(c, l.to.scope, l.to.alone, now); g != nil {
		g.take(r, d.self.Domain, c.speed.usual(), now)
	}
}

// ReceiveReply processes a coordinator's message.
func (d *Daemon) ReceiveReply(r *PermitReply, now time.Time) {
	if c := d.clients[poolOf(r.Service, r.Scope)]; c != nil {
		c.receive(c.link(target{address: r.From, scope: r.Scope}), r, now)
		d.activate(c)
	}
}

// collect passes on the replies of the daemon's coordinators, and reports whether one was to this
// daemon.
func (d *Daemon) collect(now time.Time) (local bool) {
	for _, g := range d.coordinators {
		if !g.tick.IsZero() && !now.Before(g.tick) {
			g.detectPause(now)
			g.detectShortPause(now)
			g.Tick(now)
			g.tick, g.replies = time.Time{}, true
			if now.Before(g.received.Add(g.idleAfter())) {
				g.tick = now.Add(g.tickInterval())
			}
		}
		if !g.replies {
			continue
		}
		g.replies = false
		c := d.clients[poolOf(g.service, g.scope)]
		if c == nil {
			continue // without replicas, so there are no replies either
		}
		for _, e := range g.Replies(now) {
			if e.To == d.self.Address {
				local = true
				c.receive(c.link(target{address: e.To, scope: g.scope, alone: g.alone}), e.Reply, now)
				d.activate(c)
				continue
			}
			if e.Reply.Saturated {
				c.saturate(now)
			}
			d.effects = append(d.effects, e)
		}
	}
	return local
}

// maxRounds bounds how often a call lets clients and the daemon's own coordinators exchange
// messages, beside one round for each ask: of asks that do not fit into a message, a round may
// decide only one.
const maxRounds = 8

// Tick does what is due. Due returns when the next call is due; false if nothing is.
func (d *Daemon) Tick(now time.Time) {
	rounds := maxRounds
	for _, c := range d.active {
		rounds += len(c.asks)
	}
	for range rounds {
		again := false
		for _, c := range slices.Clone(d.active) {
			again = c.advance(now) || again
		}
		again = d.collect(now) || again
		if !again {
			break
		}
	}
	d.active = slices.DeleteFunc(d.active, func(c *client) bool {
		if !c.isIdle() {
			return false
		}
		c.active, c.links, c.current, c.chosen = false, nil, nil, false
		if len(c.replicas) == 0 {
			delete(d.clients, c.pool)
		}
		d.dropUnused(c.pool)
		return true
	})
	d.dropCoordinators(now)
}

// dropCoordinators removes the coordinators that were not asked for coordinatorKept.
func (d *Daemon) dropCoordinators(now time.Time) {
	isOver := func(g *running) bool { return now.After(g.received.Add(coordinatorKept)) }
	if !slices.ContainsFunc(d.coordinators, isOver) {
		return
	}
	var dropped []pool
	d.coordinators = slices.DeleteFunc(d.coordinators, func(g *running) bool {
		if isOver(g) {
			dropped = append(dropped, poolOf(g.service, g.scope))
			return true
		}
		return false
	})
	for _, p := range dropped {
		d.dropUnused(p)
	}
}

// Due returns when [Daemon.Tick] is to be called next, and false if nothing waits for it.
func (d *Daemon) Due() (time.Time, bool) {
	var at time.Time
	for _, c := range d.active {
		at = earliest(at, c.nextDue())
	}
	for _, g := range d.coordinators {
		at = earliest(at, g.tick)
	}
	return at, !at.IsZero()
}

// Take does what is due and returns the effects since the previous Take.
func (d *Daemon) Take(now time.Time) []Effect {
	if len(d.active) > 0 || len(d.coordinators) > 0 {
		d.Tick(now)
	}
	out := d.effects
	d.effects = nil
	return out
}

// ServiceStatus is the state of a service in a daemon, for operators.
type ServiceStatus struct {
	Service   routing.ServiceName
	Saturated bool
	// Coordinator is the daemon that is asked, empty if none was since the service became saturated.
	// Scope is its scope. Alone says that this daemon decides with its share.
	Coordinator membership.Address
	Scope       Scope
	Alone       bool
	Silent      []membership.Address // daemons that did not reply
	Waiting     int                  // asks of this daemon without a decision
	Held        int                  // permits that this daemon holds
	Coordinates []Status             // by this daemon
	// AtReplicas says that permits are for single replicas; the counts are then sums over those that this daemon
	// asks for or coordinates.
	AtReplicas bool
}

// Status returns the state of the services that are saturated or that this daemon coordinates, in
// alphabetical order.
func (d *Daemon) Status(now time.Time) []ServiceStatus {
	var out []ServiceStatus
	for _, c := range d.clients {
		if c.isReplica() {
			continue // see replicaStatus
		}
		s := ServiceStatus{Service: c.service, Saturated: c.isSaturated(now), Waiting: len(c.asks), Held: len(c.held)}
		if c.current != nil {
			s.Coordinator, s.Scope, s.Alone = c.current.to.address, c.current.to.scope, c.current.to.alone
		}
		for a, silence := range c.silent {
			if now.Before(silence.over()) {
				s.Silent = append(s.Silent, a)
			}
		}
		slices.Sort(s.Silent)
		for _, g := range d.coordinators {
			if poolOf(g.service, g.scope) == c.pool && now.Before(g.received.Add(coordinatorIdle)) {
				s.Coordinates = append(s.Coordinates, g.Status(now))
			}
		}
		if c.active || len(s.Coordinates) > 0 {
			out = append(out, s)
		}
	}
	out = append(out, d.replicaStatus(now)...)
	slices.SortFunc(out, func(a, b ServiceStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), boolToInt(a.AtReplicas)-boolToInt(b.AtReplicas))
	})
	return out
}

// Effect is what a [Daemon] wants done: [SendRequest], [SendReply], [Decided], [CoordinatorSilent]
// or [SaturationEnded].
type Effect interface{ isEffect() }

type (
	// SendRequest sends a message to a coordinator.
	SendRequest struct {
		To      membership.Address
		Request *PermitRequest
	}
	// SendReply sends a coordinator's message to a daemon.
	SendReply struct {
		To    membership.Address
		Reply *PermitReply
	}
	// Decided is the decision on an ask of this daemon: [Granted] or [Refused].
	Decided struct {
		Service  routing.ServiceName
		Decision Decision
		// Coordinator is the daemon that decided; this daemon if it decided alone.
		Coordinator membership.Address
		Alone       bool
		Waited      time.Duration
	}
	// CoordinatorSilent says that a coordinator did not reply in time, for the log.
	CoordinatorSilent struct {
		Service routing.ServiceName
		Address membership.Address
	}
	// SaturationEnded says that a service is no longer saturated, for the log.
	SaturationEnded struct{ Service routing.ServiceName }
)

func (SendRequest) isEffect()       {}
func (SendReply) isEffect()         {}
func (Decided) isEffect()           {}
func (CoordinatorSilent) isEffect() {}
func (SaturationEnded) isEffect()   {}

var (
	_ Effect = SendRequest{}
	_ Effect = SendReply{}
	_ Effect = Decided{}
	_ Effect = CoordinatorSilent{}
	_ Effect = SaturationEnded{}
)
