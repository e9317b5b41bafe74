// This file decides when a daemon needs permits for a service, which coordinator it asks for them,
// and what it does if the coordinator does not reply.
//
// Inputs: events that show that a service is saturated; the live members and the usable replicas;
// asks, withdrawals and finished permits of the daemon's requests; replies of coordinators. Times
// are those at which the control loop passes an input on. The rule:
//
//  1. A service is saturated for saturationTime after each event that shows it. A coordinator's reply
//     with Saturated is such an event; a reply without it changes nothing, so that the time runs
//     out. A daemon that asked within renewalActive asks once more, renewalLead before the time
//     runs out. Without that, a daemon that sends a request every few seconds would never ask.
//  2. The coordinator of a service is the first live member, this daemon included, by rendezvous
//     hashing of the service's name. Messages to the daemon itself do not use the network.
//  3. A request without an answer is repeated once after repeatAfter. After replyTimeout without any
//     message, the coordinator is silent. A message from it ends that at once, as does a new
//     incarnation in the roster, or leaving the roster.
//  4. For silentInPlace the silent daemon keeps its position. Meanwhile the coordinator of the
//     daemon's own failure domain is asked: the first by the same hash among the members of the
//     domain without the silent one. Then the silent daemon is skipped in the ranking, until
//     silentSkipped has passed since it last failed to answer. A silent daemon ahead of the
//     coordinator in use is asked once every probeEvery, without asks for permits: it must not
//     grant what another coordinator grants as well. A coordinator that replies stays in use for
//     at least stayFor after it was chosen, so that the permits of the one before it end and there
//     are no permits of three coordinators. A return to the one before is possible at any time.
//  5. If the coordinator of the domain is silent too, if the domain has no replica, or if a fleet
//     of several daemons has no other live member, the daemon decides alone: its own coordinator
//     grants an equal share of the places. It also does so after its start, while its roster may be
//     incomplete (settle.go). Daemons that start together would otherwise each consider themselves
//     the coordinator.
//  6. A message lists all asks without a decision and all permits that this coordinator granted. If
//     more than MaxPending asks wait, it lists first those that the coordinator has not queued yet, the
//     most urgent ones ahead, and then those that were listed longest ago. The coordinator keeps the
//     queued ones that such a message leaves out. Requests in flight with permits of others are reported
//     as requests without a permit. This includes permits of a coordinator that was silent or
//     restarted, because it no longer knows them.
//  7. A message is sent at once for an ask, when a reply comes while asks wait that are not queued and
//     did not fit into the last message, and when another coordinator is chosen while asks wait or permits are
//     held: until it is told of them, the new coordinator grants their places a second time. It is
//     sent releaseAfter after a permit has ended or an ask was withdrawn, unless another message is
//     sent before; every askingEvery while asks wait; every holdingEvery while permits are held.
//  8. A reply to a former incarnation of this daemon is ignored. A grant is accepted from any
//     coordinator, as long as the ask has no decision. A refusal counts only from the coordinator
//     that is currently asked, in answer to a message since it was chosen: one that was paused
//     decides on what it was sent before, while another coordinator has queued the ask. A message
//     marks the asks that some coordinator has queued. A grant that is not needed is returned by a
//     message that does not list it, unneededAfter later; before that, the coordinator would take
//     the grant to be still on its way.
//  9. An ask without a decision is refused when its deadline passes, and at once when the service
//     has no usable replica.

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

const (
	// saturationTime is how long an event shows that a service is saturated. It is longer than the
	// pauses between the waves of the load that the package is for.
	saturationTime = 2 * time.Second
	// renewalLead is enough time for a request, its repetition and the reply.
	renewalLead = 200 * time.Millisecond
	// renewalActive bounds the cost of rule 1 to daemons that send requests to the service.
	renewalActive = 10 * time.Second
	// repeatAfter and replyTimeout are several round trips between failure domains (up to 3 ms).
	// Two silent coordinators, of the service and of the domain, delay an ask by 30 ms, which is a
	// quarter of the shortest latency target.
	repeatAfter  = 7 * time.Millisecond
	replyTimeout = 15 * time.Millisecond
	// pausedAfter is the delay of a timer from which this process was paused. Its coordinator is
	// then not found silent, because replies may still be unread.
	pausedAfter = 10 * time.Millisecond
	// silentInPlace is longer than a roster needs to drop a daemon that has died.
	silentInPlace = 3 * time.Second
	silentSkipped = 10 * time.Second
	// probeEvery bounds how long a silent daemon that has recovered stays unused, at a cost of one
	// message a second.
	probeEvery = time.Second
	// probeActive is how long after an ask silent daemons are still asked.
	probeActive = time.Second
	// stayFor is several times as long as a request to a service with permits usually takes.
	stayFor = 100 * time.Millisecond
	// settlingShare grants one place while the size of the fleet is unknown.
	settlingShare = 1e-3
	// maxFinished bounds the finished permits in a message. The coordinator learns that others have
	// ended because they are no longer listed as held.
	maxFinished = 64
	// releaseAfter lets the end of a permit share a message with the next ask or another end.
	releaseAfter = time.Millisecond
	// askingEvery is less than half of the coordinator's waitingSilentAfter, and holdingEvery a
	// quarter of its silentAfter, so that the loss of one message has no effect.
	askingEvery  = 40 * time.Millisecond
	holdingEvery = 100 * time.Millisecond
	// unneededAfter is longer than a coordinator keeps a permit that is not listed as held.
	unneededAfter = grantDelay + time.Millisecond
	// minRetryAfter is the time to come back of an ask that is refused without a plan, because its
	// deadline has passed or the service has no coordinator any more.
	minRetryAfter = minReturn
)

// target is a coordinator in one of its roles.
type target struct {
	address membership.Address
	scope   Scope
	alone   bool // this daemon's own coordinator for its share, rule 5
}

// link is the exchange of messages with one target about one service.
type link struct {
	to target
	// incarnation is that of the coordinator in its last reply.
	incarnation membership.Incarnation
	unanswered  []sentRequest // oldest first
	repeated    bool          // the oldest unanswered request was repeated
	heard       time.Time     // of the last message from the coordinator
	sent        time.Time     // of the last message to it
	sequence    Sequence      // of that message
	due         time.Time     // when a message is due because of a change; zero if none is
	finished    []Finished    // not known to have arrived
	pending     bool          // the last message listed asks
	held        int           // permits of this coordinator
}

// sentRequest is a message without an answer.
type sentRequest struct {
	sequence Sequence
	at       time.Time
	finished int // of link.finished, the first ones
}

// schedule makes a message due, unless an earlier one is.
func (l *link) schedule(at time.Time) { l.due = earliest(l.due, at) }

// removeFinished removes the first n finished permits, which have arrived.
func (l *link) removeFinished(n int) {
	l.finished = slices.Delete(l.finished, 0, n)
	for i := range l.unanswered {
		l.unanswered[i].finished = max(0, l.unanswered[i].finished-n)
	}
}

// silentAt returns when the coordinator counts as silent, or zero.
func (l *link) silentAt(timeout time.Duration) time.Time {
	if len(l.unanswered) == 0 {
		return time.Time{}
	}
	since := l.unanswered[0].at
	if l.heard.After(since) {
		since = l.heard
	}
	return since.Add(timeout)
}

// heldPermit is a permit that the daemon holds.
type heldPermit struct {
	id      PermitID
	replica routing.LoadKey
	from    *link // nil if the coordinator no longer knows it, rule 6
}

// silence is that of one daemon for one service.
type silence struct {
	since       time.Time // when it was found silent
	probed      time.Time // of the last message to it
	incarnation membership.Incarnation
}

// inPlace reports whether the silent daemon keeps its position.
func (s *silence) inPlace(now time.Time) bool { return now.Before(s.since.Add(silentInPlace)) }

// over returns when the daemon is a candidate again.
func (s *silence) over() time.Time {
	last := s.since.Add(silentInPlace)
	if s.probed.After(last) {
		last = s.probed
	}
	return last.Add(silentSkipped)
}

// client is the daemon's side of one service.
type client struct {
	d *Daemon
	pool
	hash   uint64
	active bool // in the daemon's list of clients with something to do

	replicas    []Replica
	unpermitted []routing.LoadCount

	saturatedUntil time.Time
	saturated      bool      // the end is not reported yet
	renewed        time.Time // the saturatedUntil for which the coordinator was asked, rule 1
	lastAsk        time.Time

	ranked   []membership.Member // by rendezvous hashing, nil if out of date
	silent   map[membership.Address]*silence
	current  *link
	former   target    // the one before current
	switched time.Time // when current was chosen
	before   Sequence  // of the last message before that
	chosen   bool      // current is up to date
	until    time.Time // when it no longer is; zero without a limit
	probes   []target  // silent daemons ahead of the current coordinator

	links []*link
	asks  []*pendingAsk // by id
	held  []heldPermit
	speed serviceSpeed // of the requests of this daemon
}

// needed reports whether the service has a coordinator.
func (c *client) needed() bool { return len(c.replicas) > 0 && len(c.replicas) <= MaxReplicas }

// isSaturated reports whether requests to the service need a permit, by rule 1.
func (c *client) isSaturated(now time.Time) bool {
	return c.needed() && now.Before(c.saturatedUntil)
}

// saturate records an event that shows that the service is saturated. It reports whether it was
// not before.
func (c *client) saturate(now time.Time) bool {
	if !c.needed() || c.isReplica() {
		return false
	}
	isNew := !c.isSaturated(now)
	c.saturatedUntil, c.saturated = now.Add(saturationTime), true
	c.d.activate(c)
	return isNew
}

// link returns the link to a target.
func (c *client) link(to target) *link {
	for _, l := range c.links {
		if l.to == to {
			return l
		}
	}
	l := &link{to: to}
	c.links = append(c.links, l)
	return l
}

// choose updates the coordinator that is asked, by rules 2, 4 and 5.
func (c *client) choose(now time.Time) {
	if c.chosen && (c.until.IsZero() || now.Before(c.until)) {
		return
	}
	c.chosen, c.until, c.probes = true, time.Time{}, nil
	for a, s := range c.silent {
		if !now.Before(s.over()) {
			delete(c.silent, a)
			continue
		}
		c.until = earliest(c.until, s.over())
		if s.inPlace(now) {
			c.until = earliest(c.until, s.since.Add(silentInPlace))
		}
	}
	to := c.chooseTarget(now)
	if c.current != nil && c.current.to == to {
		return
	}
	if to != c.former && c.stays(now) {
		c.until = earliest(c.until, c.switched.Add(stayFor))
		return
	}
	if before := c.current; before != nil && before.pending && c.silent[before.to.address] == nil {
		before.schedule(now) // withdraws the asks
	}
	c.forgetQueued()
	if c.current != nil {
		c.former = c.current.to
	}
	c.current, c.switched, c.before = c.link(to), now, c.d.sequence
	if len(c.asks) > 0 || len(c.held) > 0 {
		c.current.schedule(now)
	}
}

// stays reports whether the coordinator in use is kept by rule 4, although another one comes first.
func (c *client) stays(now time.Time) bool {
	return c.current != nil && !c.current.to.alone && c.silent[c.current.to.address] == nil &&
		now.Before(c.switched.Add(stayFor))
}

// chooseTarget returns the coordinator to ask.
func (c *client) chooseTarget(now time.Time) target {
	if c.isReplica() {
		return c.chooseReplicaTarget(now)
	}
	self := c.d.self
	alone := target{address: self.Address, alone: true}
	if c.d.isSettling(now) {
		c.until = earliest(c.until, c.d.settled)
		return alone
	}
	if len(c.d.members) == 0 && c.d.daemons > 1 {
		return alone
	}
	c.rank()
	var silent membership.Address
	for _, m := range c.ranked {
		s := c.silent[m.Address]
		if s == nil {
			return target{address: m.Address}
		}
		c.probes = append(c.probes, target{address: m.Address})
		if s.inPlace(now) {
			silent = m.Address
			break
		}
	}
	if self.Domain == "" || !slices.ContainsFunc(c.replicas, inScope(Scope(self.Domain))) {
		return alone
	}
	for _, m := range c.ranked {
		if m.Domain != self.Domain || m.Address == silent {
			continue
		}
		to := target{address: m.Address, scope: Scope(self.Domain)}
		s := c.silent[m.Address]
		if s == nil {
			return to
		}
		if s.inPlace(now) {
			c.probes = append(c.probes, to)
			return alone
		}
	}
	return alone
}

// rank sorts the live members and, unless it is leaving, this daemon by rendezvous hashing.
func (c *client) rank() {
	if c.ranked != nil {
		return
	}
	c.ranked = append(make([]membership.Member, 0, len(c.d.members)+1), c.d.members...)
	if !c.d.self.Leaving {
		c.ranked = append(c.ranked, c.d.self)
	}
	score := func(m membership.Member) uint64 {
		return coordination.Rank(c.hash, coordination.Hash(string(m.Address)))
	}
	slices.SortFunc(c.ranked, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.Address, b.Address))
	})
}

// inScope returns a predicate for the replicas of a scope.
func inScope(s Scope) func(Replica) bool {
	if key, ok := s.Replica(); ok {
		return func(r Replica) bool { return r.Key == key }
	}
	return func(r Replica) bool { return s == "" || r.Domain == state.FailureDomain(s) }
}

// membersChanged drops what depended on the former roster. c.d.members are the new members.
func (c *client) membersChanged(incarnations map[membership.Address]membership.Incarnation) {
	c.ranked, c.chosen = nil, false
	for a, s := range c.silent {
		if i, ok := incarnations[a]; !ok || i != s.incarnation {
			delete(c.silent, a)
		}
	}
}

// heardFrom ends the silence of a daemon.
func (c *client) heardFrom(a membership.Address) {
	if c.silent[a] != nil {
		delete(c.silent, a)
		c.chosen = false
	}
}

// finish ends a permit.
func (c *client) finish(f Finished, now time.Time) {
	i := slices.IndexFunc(c.held, func(p heldPermit) bool { return p.id == f.ID })
	if i < 0 {
		return
	}
	l := c.held[i].from
	c.held = slices.Delete(c.held, i, i+1)
	if f.Result == Completed {
		c.speed.finished(f.Took, f.Took, now)
	}
	if l == nil {
		return
	}
	l.held--
	if len(l.finished) < maxFinished {
		l.finished = append(l.finished, f)
	}
	l.schedule(c.releaseAt(l, now))
}

// releaseAt returns when a permit that has ended is reported if no other message is sent before.
func (c *client) releaseAt(l *link, now time.Time) time.Time {
	if l.to.address == c.d.self.Address {
		return now // such a message costs nothing
	}
	return now.Add(releaseAfter)
}

// orphan makes permits count as requests without a permit, because their coordinator no longer
// knows them.
func (c *client) orphan(l *link) {
	for i := range c.held {
		if c.held[i].from == l {
			c.held[i].from = nil
		}
	}
	l.held = 0
	l.removeFinished(len(l.finished))
}

// request returns the next message of a link.
func (c *client) request(l *link, now time.Time) *PermitRequest {
	c.d.sequence++
	r := &PermitRequest{
		From: c.d.self.Address, Incarnation: c.d.self.Incarnation, Sequence: c.d.sequence,
		Service: c.service, Scope: l.to.scope,
		Finished:    slices.Clone(l.finished),
		Unpermitted: c.unpermittedFor(l),
	}
	if l == c.current {
		r.Pending = c.listAsks(r.Sequence, now)
	}
	for _, p := range c.held {
		if p.from == l {
			r.Held = append(r.Held, p.id)
		}
	}
	l.pending, l.sent, l.due, l.sequence = len(r.Pending) > 0, now, time.Time{}, r.Sequence
	if s := c.silent[l.to.address]; s != nil {
		s.probed = now
		c.chosen = false
		return r
	}
	l.unanswered = append(l.unanswered, sentRequest{r.Sequence, now, len(r.Finished)})
	return r
}

// unpermittedFor returns the requests in flight for which a coordinator granted no permit, by
// replica.
func (c *client) unpermittedFor(l *link) []routing.LoadCount {
	out := slices.Clone(c.unpermitted)
	for _, p := range c.held {
		if p.from == l {
			continue
		}
		if i := slices.IndexFunc(out, func(n routing.LoadCount) bool { return n.Replica == p.replica }); i >= 0 {
			out[i].Requests++
			continue
		}
		out = append(out, routing.LoadCount{Replica: p.replica, Requests: 1})
	}
	if l.to.scope != "" {
		out = slices.DeleteFunc(out, func(n routing.LoadCount) bool {
			return !slices.ContainsFunc(c.replicas, func(r Replica) bool {
				return r.Key == n.Replica && inScope(l.to.scope)(r)
			})
		})
	}
	return out
}

// receive processes a reply that came over a link, by rules 3 and 8.
func (c *client) receive(l *link, r *PermitReply, now time.Time) {
	if r.Answers > 0 && !c.d.hasSent(r.Answers) {
		return // to a former incarnation of this daemon, which used the same ids
	}
	if r.Incarnation < l.incarnation && r.Incarnation != c.d.incarnations[r.From] {
		return // of a former incarnation, late
	}
	if l.incarnation != 0 && r.Incarnation != l.incarnation {
		c.orphan(l)
		if l == c.current {
			c.forgetQueued()
		}
	}
	l.incarnation, l.heard = r.Incarnation, now
	c.heardFrom(r.From)
	answered := 0
	for answered < len(l.unanswered) && l.unanswered[answered].sequence <= r.Answers {
		answered++
	}
	if answered > 0 {
		l.removeFinished(l.unanswered[answered-1].finished)
	}
	l.unanswered = l.unanswered[answered:]
	l.repeated = false
	if r.Saturated {
		c.saturate(now)
	}
	for _, d := range r.Decisions {
		c.decide(l, d, r, now)
	}
	if l == c.current && c.hasUnlisted() {
		l.schedule(now)
	}
}

// decide applies a decision of a reply, by rule 8.
func (c *client) decide(l *link, d Decision, r *PermitReply, now time.Time) {
	switch d := d.(type) {
	case Queued:
		if c.endWait(l, d.ID, now) {
			l.schedule(now) // withdraws it
			return
		}
		c.recordQueued(l, d.ID)
	case Granted:
		if i := slices.IndexFunc(c.held, func(p heldPermit) bool { return p.id == d.ID }); i >= 0 {
			if c.held[i].from != l { // not sent again, but by another coordinator
				c.returnGrant(l, d.ID, now)
			}
			return
		}
		a := c.removeAsk(d.ID)
		if a == nil {
			c.returnGrant(l, d.ID, now)
			return
		}
		c.held = append(c.held, heldPermit{id: d.ID, replica: d.Replica, from: l})
		l.held++
		if l != c.current && c.current != nil {
			c.current.schedule(now) // it would grant the place a second time
		}
		c.reportDecision(a, d, l, r.From, now)
	case Refused:
		if c.endWait(l, d.ID, now) || l != c.current || c.isFromBefore(r) {
			return
		}
		if a := c.removeAsk(d.ID); a != nil {
			c.reportDecision(a, d, l, r.From, now)
		}
	}
}

// isFromBefore reports whether a reply of the current coordinator answers a message from before it was chosen.
func (c *client) isFromBefore(r *PermitReply) bool { return r.Answers > 0 && r.Answers <= c.before }

// reportDecision adds the effect that tells this daemon a decision on an ask.
func (c *client) reportDecision(a *pendingAsk, d Decision, l *link, from membership.Address, now time.Time) {
	c.d.effects = append(c.d.effects, Decided{Service: c.service, Decision: d, Coordinator: from,
		Alone: l.to.alone, Waited: now.Sub(a.asked)})
}

// checkSilence implements rule 3 for one link.
func (c *client) checkSilence(l *link, now time.Time) {
	at := l.silentAt(c.replyTimeout())
	if at.IsZero() || now.Before(at) {
		if len(l.unanswered) > 0 && !l.repeated && !now.Before(l.sent.Add(repeatAfter)) {
			l.repeated = true
			l.schedule(now)
		}
		return
	}
	if now.Sub(at) >= pausedAfter {
		l.unanswered, l.repeated = nil, false
		l.schedule(now)
		return
	}
	a := l.to.address
	c.silent[a] = &silence{since: now, incarnation: c.d.incarnations[a]}
	c.chosen = false
	for _, l := range c.links {
		if l.to.address == a && !l.to.alone {
			l.unanswered, l.repeated, l.pending, l.due = nil, false, false, time.Time{}
			c.orphan(l)
		}
	}
	c.d.effects = append(c.d.effects, CoordinatorSilent{Service: c.service, Address: a})
}

// next returns when the next message of a link is due, or its coordinator is to be found silent;
// zero if neither.
func (c *client) next(l *link) time.Time {
	at := l.due
	switch {
	case c.silent[l.to.address] != nil:
	case len(l.unanswered) > 0:
		at = earliest(at, l.silentAt(c.replyTimeout()))
		if !l.repeated {
			at = earliest(at, l.sent.Add(repeatAfter))
		}
	case l == c.current && len(c.asks) > 0:
		at = earliest(at, l.sent.Add(c.askingInterval()))
	case l.held > 0:
		at = earliest(at, l.sent.Add(c.holdingInterval()))
	}
	return at
}

// isProbing reports whether silent daemons are to be asked, rule 4.
func (c *client) isProbing(now time.Time) bool {
	return len(c.asks) > 0 || now.Before(c.lastAsk.Add(probeActive))
}

// renewalAt returns when the coordinator is asked by rule 1, or zero.
func (c *client) renewalAt() time.Time {
	at := c.saturatedUntil.Add(-renewalLead)
	if !c.saturated || c.renewed.Equal(c.saturatedUntil) || at.After(c.lastAsk.Add(renewalActive)) {
		return time.Time{}
	}
	return at
}

// advance does what is due, and reports whether it sent a message.
func (c *client) advance(now time.Time) bool {
	c.choose(now)
	c.expireAsks(now)
	for _, l := range c.links {
		if c.silent[l.to.address] == nil {
			c.checkSilence(l, now)
		}
	}
	c.choose(now)
	if c.isProbing(now) {
		for _, to := range c.probes {
			if !now.Before(c.silent[to.address].probed.Add(probeEvery)) {
				c.link(to).schedule(now)
			}
		}
	}
	if at := c.renewalAt(); !at.IsZero() && !now.Before(at) {
		c.renewed = c.saturatedUntil
		c.current.schedule(now)
	}
	sent := false
	for _, l := range slices.Clone(c.links) {
		if at := c.next(l); !at.IsZero() && !now.Before(at) {
			sent = true
			c.d.send(c, l, c.request(l, now), now)
		}
	}
	if c.saturated && !c.isSaturated(now) {
		c.saturated = false
		c.d.effects = append(c.d.effects, SaturationEnded{c.service})
	}
	c.links = slices.DeleteFunc(c.links, func(l *link) bool {
		return l != c.current && c.next(l).IsZero() && l.held == 0
	})
	return sent
}

// nextDue returns when advance is to be called next, or zero.
func (c *client) nextDue() time.Time {
	var at time.Time
	if c.saturated {
		at = earliest(c.saturatedUntil, c.renewalAt())
	}
	for _, a := range c.asks {
		at = earliest(at, a.deadline)
	}
	for _, l := range c.links {
		at = earliest(at, c.next(l))
	}
	if len(c.asks) > 0 || len(c.held) > 0 {
		at = earliest(at, c.until)
	}
	if len(c.asks) > 0 {
		for _, to := range c.probes {
			if s := c.silent[to.address]; s != nil {
				at = earliest(at, s.probed.Add(probeEvery))
			}
		}
	}
	return at
}

// isIdle reports whether nothing is left to do.
func (c *client) isIdle() bool {
	return !c.saturated && len(c.asks) == 0 && len(c.held) == 0 && c.nextDue().IsZero()
}

// earliest returns the earlier of two times; a zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
