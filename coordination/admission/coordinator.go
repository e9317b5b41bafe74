// Which permits are out, and which replica a permit is for.
//
// Inputs: the messages of daemons, the usable replicas, and how long requests take (speed.go). A
// message holds the complete state of its daemon. The rule:
//
//  1. Of each daemon only the newest message counts. One with an older or equal sequence number is
//     ignored, and one of an older incarnation unless the newer one has been silent for
//     silentAfter. A new incarnation holds none of the permits of the former one.
//  2. A permit ends when its daemon reports it as finished; when a message that arrives more than
//     grantDelay after the grant does not list it as held, unless its ask is still pending: then
//     the grant was lost, and is sent again; when grantDelay after the grant the newest message
//     lists neither the permit nor its ask; and when its daemon has been silent for silentAfter. In
//     the last case it counts again if the daemon then lists it as held.
//  3. A replica has a place for each of its slots and extraPlaces more, which cover the time between
//     the end of a request and the arrival of the next. Permits and reported requests without a permit
//     occupy places. Permits that a daemon holds and that this coordinator does not know, because
//     it has restarted, occupy a place of the service. A daemon that decides alone grants its share
//     of the places of the service, rounded down, but at least one, and at each replica its share
//     rounded up. If its share is less than one place, it grants the next permit only after a pause
//     (pauseAfter), so that all such daemons together have about as many requests as there are
//     places.
//  4. A permit is for the replica with the shortest expected time, among those that have a free
//     place and that the request was not sent to before. The expected time is the present time of
//     a request at the replica, times the requests there including the new one, divided by the
//     slots; plus crossDomainTime if the replica is not in the daemon's failure domain.
//  5. A replica that rejected a permitted request gets no permit for the usual time of a request:
//     somebody sends without permits, and a place becomes free in that time. A replica at which a
//     permitted request failed has one permit at a time until one is completed. With the second
//     failure in a row it gets no permit for the usual time, and with each further one for twice as
//     long as before, up to maxClosed: a replica that fails does so fast, and would get most permits.
//     A permit that was abandoned has no effect on its replica.
//  6. An ask gets a permit at once if a place is free for it: nobody in the queue can use that
//     place. An ask whose caller was asked to come back now is queued ahead of the others. Another
//     ask is refused if other asks go before it and, at the present throughput, its wait would take
//     more than queueShare of the time until its target less the usual time. An ask that another
//     coordinator has queued is not refused for that: its caller has waited, maybe for longer than
//     the target. An ask is also refused if its request was sent to all replicas. All others are
//     queued, and are granted in the order of the queue.
//  7. A queued ask is dropped if its daemon no longer lists it, if its deadline has passed, and if
//     its daemon has been silent for silentAfter. A message that lists MaxPending asks, the most that
//     fit, drops no others: an ask that more urgent ones displaced from the message would otherwise
//     be refused when it is listed again. A queued ask gets no permit while its daemon, which sends
//     a message each 40 ms, has been silent for waitingSilentAfter.
//  8. Each message is answered with the decisions on all asks that it lists, and on others that have
//     been granted since. A daemon whose queued ask is granted gets a reply without a message. A
//     coordinator without replicas does not reply: it knows nothing of the service yet, and daemons
//     ask another one if a coordinator is silent.
//  9. A coordinator whose process was paused, or that takes over from another one, does not know
//     all permits (takeover.go).
//  10. While the replicas are brittle, other bounds hold (strict.go).

package admission

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

const (
	// silentAfter is the time without a message after which a daemon's permits, asks and requests
	// no longer count. A daemon that has any sends a message at least each 100 ms.
	silentAfter = 400 * time.Millisecond
	// waitingSilentAfter is the time without a message after which the queued asks of a daemon get
	// no permits, which would be lost if it has died.
	waitingSilentAfter = 100 * time.Millisecond
	// grantDelay is the time within which a grant arrives at its daemon, and a message that the
	// daemon sent before that arrives at the coordinator.
	grantDelay = 30 * time.Millisecond
	// forgetAfter is the time without a message after which a daemon's sequence number and former
	// permits are forgotten. It is longer than a pause of a process of 5 s.
	forgetAfter = 10 * time.Second
	// saturatedFor is the time for which a service stays saturated after the last moment at which
	// an ask waited or all places were out.
	saturatedFor = 2 * time.Second
	// crossDomainTime is the time that a request takes longer if it crosses failure domains: a
	// message takes .5 to 1.4 ms each way.
	crossDomainTime = 2 * time.Millisecond
	// extraPlaces is the number of places of a replica beyond its slots. A place is empty between the
	// end of a request and the arrival of the next, some 4 ms of 30 because of the messages between
	// them. With one extra place, a slot was idle for some 6% of the time while requests waited. In
	// the load test, a third one lowers the value of a request again.
	extraPlaces = 2
	// queueShare is the part of the time until its target, less the usual time of a request, in which
	// an ask must get a permit by the estimate: a replica may become slower while it waits. At least
	// half of the time until the target counts. A longer usual time comes from requests without
	// permits, which fill the queues of the replicas, and would lead to the refusal of all asks.
	queueShare = 0.6
	// maxClosed bounds the time for which a failing replica gets no permits. One request in that time
	// shows whether it has recovered.
	maxClosed = time.Second
	// maxPause bounds the pause after a request that took long, or while the share is not known.
	maxPause = 200 * time.Millisecond
	// rounding is the part of a place by which a share may be inexact.
	rounding = 1e-6
)

// Replica is a replica as a coordinator sees it.
type Replica struct {
	Key    routing.LoadKey
	Domain state.FailureDomain
	Slots  int
}

// Coordinator grants the permits of one service within one scope.
type Coordinator struct {
	self    membership.Member
	service routing.ServiceName
	scope   Scope
	share   float64 // of the places, see NewCoordinator

	usable   []Replica  // as they were set
	replicas []*replica // the usable ones
	// known contains the usable replicas, and others as long as requests are in flight there.
	known   map[routing.LoadKey]*replica
	daemons map[membership.Address]*asker
	// heard and silent contain each *asker, by the time of its newest message: those that count,
	// and those that have been silent for silentAfter.
	heard, silent *list.List
	unknown       int // permits that daemons hold and that this coordinator does not know
	// unlisted are the permits that were not listed within grantDelay after the grant.
	unlisted []*permit
	due      []*asker // that get a reply

	queue     *queue
	deadlines deadlines
	returns   returns
	speed     serviceSpeed
	tally     tally
	paused    time.Time // until when no permit is granted, because the share is less than a place
	takeover  takeover
	strict    strictMode
	busyUntil time.Time // until when the service is saturated
}

// replica is a replica at which requests of this service are in flight, or may be.
type replica struct {
	Replica
	usable      bool
	permits     int         // out
	unpermitted int         // requests in flight without a permit
	failures    int         // permitted requests that failed since one was completed
	closedUntil time.Time   // until when it gets no permit, by rule 5
	lingering   []time.Time // until when requests that were given up still occupy a place, in order
	window      window      // while the replicas are brittle
	presumed    []time.Time // until when permits of another coordinator occupy a place, in order
	reported    int         // unpermitted, as of the newest message
	speed       replicaSpeed
}

// asker is a daemon that asks for permits.
type asker struct {
	address     membership.Address
	domain      state.FailureDomain
	incarnation membership.Incarnation
	sequence    Sequence
	heard       time.Time
	messages    uint64        // number of messages that counted
	element     *list.Element // in Coordinator.heard or silent
	silent      bool          // for silentAfter: nothing of it counts
	replyDue    bool
	pending     []PermitID // the asks that its newest message lists
	asks        map[PermitID]*ask
	permits     map[PermitID]*permit
	unknown     int // permits that it holds and that this coordinator does not know
	unpermitted []routing.LoadCount
}

// ask is an ask that a daemon lists as pending.
type ask struct {
	waiting
	listed   uint64 // asker.messages of the newest message that lists it
	decision Decision
	index    int // in Coordinator.deadlines, if it is queued
}

// permit is a permit that was granted and has not ended, or only because its daemon is silent.
type permit struct {
	id        PermitID
	by        *asker
	replica   routing.LoadKey
	granted   time.Time
	workspace WorkspaceKey
	listed    uint64 // asker.messages of the newest message that lists it as held
	counts    bool   // it occupies a place
}

// NewCoordinator returns a coordinator without replicas. share is the part of the places that it
// grants: 1 for a coordinator that other daemons ask, less for a daemon that decides alone.
func NewCoordinator(self membership.Member, s routing.ServiceName, scope Scope, share float64) *Coordinator {
	return &Coordinator{
		self: self, service: s, scope: scope, share: share,
		known:   make(map[routing.LoadKey]*replica),
		daemons: make(map[membership.Address]*asker),
		heard:   list.New(),
		silent:  list.New(),
		queue:   newQueue(),
	}
}

// SetReplicas sets the usable replicas within the scope.
func (c *Coordinator) SetReplicas(list []Replica, now time.Time) {
	if slices.Equal(list, c.usable) {
		return
	}
	c.usable = slices.Clone(list)
	for _, r := range c.replicas {
		r.usable = false
	}
	former := c.replicas
	c.replicas = make([]*replica, 0, len(list))
	for _, r := range list {
		isNew := c.known[r.Key] == nil
		known := c.replica(r.Key)
		if known.usable {
			continue // listed twice
		}
		known.Replica, known.usable = r, true
		if isNew {
			c.beginWindow(known, now)
		}
		c.replicas = append(c.replicas, known)
	}
	for _, r := range former {
		c.forgetUnused(r)
	}
	// Of replicas with the same expected time the first one is chosen. Daemons that decide alone
	// have different orders, so that they do not all choose the same one.
	slices.SortFunc(c.replicas, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(c.rank(a.Key), c.rank(b.Key)), cmp.Compare(a.Key, b.Key))
	})
	c.grantFree(now)
}

// rank returns the position of a replica among those with the same expected time.
func (c *Coordinator) rank(key routing.LoadKey) uint64 {
	h := xxhash.New()
	h.WriteString(string(c.self.Address))
	h.Write([]byte{byte(key), byte(key >> 8), byte(key >> 16), byte(key >> 24)})
	return h.Sum64()
}

// replica returns the replica with a key, which may be one that is not usable.
func (c *Coordinator) replica(key routing.LoadKey) *replica {
	r := c.known[key]
	if r == nil {
		r = &replica{Replica: Replica{Key: key}}
		c.known[key] = r
	}
	return r
}

// forgetUnused removes a replica that is not usable and has no requests.
func (c *Coordinator) forgetUnused(r *replica) {
	if !r.usable && r.permits == 0 && r.unpermitted == 0 && len(r.lingering) == 0 {
		delete(c.known, r.Key)
	}
}

// Receive processes a daemon's message. domain is the failure domain of that daemon.
func (c *Coordinator) Receive(r *PermitRequest, domain state.FailureDomain, now time.Time) {
	c.expire(now)
	d := c.asker(r, now)
	if d == nil {
		return
	}
	d.domain, d.sequence, d.heard = domain, r.Sequence, now
	d.messages++
	if d.silent {
		d.silent = false
		c.silent.Remove(d.element)
		d.element = c.heard.PushBack(d)
	}
	c.heard.MoveToBack(d.element)
	for _, f := range r.Finished {
		c.finish(d, f, now)
	}
	c.setUnpermitted(d, r.Unpermitted)
	c.learnWindows(r.Unpermitted, now)
	if len(r.Unpermitted) > 0 {
		c.relearn(now)
	}
	c.presumeOccupied(now)
	added := c.setPending(d, r.Pending, now)
	c.setHeld(d, r.Held, now)
	c.grantFree(now)
	for _, a := range added {
		c.decide(d, a, now)
	}
	c.replyTo(d)
}

// asker returns the sender of a message, or nil if the message is to be ignored, by rule 1.
func (c *Coordinator) asker(r *PermitRequest, now time.Time) *asker {
	d := c.daemons[r.From]
	switch {
	case d == nil:
		d = &asker{address: r.From, asks: make(map[PermitID]*ask), permits: make(map[PermitID]*permit)}
		d.element = c.heard.PushBack(d)
		c.daemons[r.From] = d
	case r.Incarnation == d.incarnation && r.Sequence <= d.sequence:
		return nil
	case r.Incarnation < d.incarnation && !d.silent:
		return nil
	case r.Incarnation != d.incarnation:
		c.end(d)
		clear(d.permits)
	}
	d.incarnation = r.Incarnation
	return d
}

// finish ends a permit whose request has ended.
func (c *Coordinator) finish(d *asker, f Finished, now time.Time) {
	p := d.permits[f.ID]
	if p == nil {
		return // reported twice, or granted before this coordinator restarted
	}
	r := c.replica(p.replica)
	c.drop(p)
	c.forgetUnused(r)
	c.paused = now.Add(c.pauseAfter(f.Took))
	switch f.Result {
	case Completed:
		r.failures = 0
		c.queue.spent(p.workspace, f.Took, c.speed.usual(), now)
		r.speed.finished(f.Took, now)
		c.speed.finished(f.Took, now.Sub(p.granted), now)
	case Rejected:
		c.reject(r, now)
	case Failed:
		r.closedUntil = now.Add(closedFor(r.failures, c.speed.usual()))
		r.failures++
		c.linger(r, f.Took, now)
	case Abandoned:
		c.linger(r, f.Took, now)
	}
}

// closedFor returns how long a replica gets no permit after a failure, by rule 5. before is the number
// of failures in a row before it.
func closedFor(before int, usual time.Duration) time.Duration {
	if before == 0 {
		return 0
	}
	const maxDoublings = 10 // longer than maxClosed for any usual time
	return min(maxClosed, usual<<min(before-1, maxDoublings))
}

// drop ends a permit.
func (c *Coordinator) drop(p *permit) {
	delete(p.by.permits, p.id)
	c.setCounts(p, false)
}

// setCounts sets whether a permit occupies a place.
func (c *Coordinator) setCounts(p *permit, counts bool) {
	if counts == p.counts {
		return
	}
	p.counts = counts
	r := c.replica(p.replica)
	if counts {
		r.permits++
	} else {
		r.permits--
		c.forgetUnused(r)
	}
}

// setUnpermitted sets a daemon's requests in flight without a permit.
func (c *Coordinator) setUnpermitted(d *asker, counts []routing.LoadCount) {
	for _, n := range d.unpermitted {
		r := c.replica(n.Replica)
		r.unpermitted -= int(n.Requests)
		c.forgetUnused(r)
	}
	d.unpermitted = append(d.unpermitted[:0], counts...)
	for _, n := range counts {
		c.replica(n.Replica).unpermitted += int(n.Requests)
	}
}

// setHeld sets the permits that a daemon holds, and ends others, by rule 2.
func (c *Coordinator) setHeld(d *asker, list []PermitID, now time.Time) {
	c.unknown -= d.unknown
	d.unknown = 0
	for _, id := range list {
		if p := d.permits[id]; p != nil {
			p.listed = d.messages
			c.setCounts(p, true)
		} else {
			d.unknown++
		}
	}
	c.unknown += d.unknown
	for id, p := range d.permits {
		if p.listed == d.messages || p.counts && d.asks[id] != nil {
			continue
		}
		if !p.counts || now.Sub(p.granted) > c.grantDelay() {
			c.drop(p)
		} else if !slices.Contains(c.unlisted, p) {
			c.unlisted = append(c.unlisted, p)
		}
	}
}

// grantFree grants the free places to queued asks.
func (c *Coordinator) grantFree(now time.Time) {
	usual := c.speed.usual()
	grantable := func(w *waiting) bool {
		return now.Sub(c.daemons[w.from].heard) < c.waitingSilentAfter() && c.choose(w, now) != nil
	}
	for c.queue.len() > 0 && c.hasFree(now) {
		w := c.queue.next(grantable, usual, now)
		if w == nil {
			break
		}
		c.grant(w, now)
	}
	c.extendSaturated(now)
}

// grant grants a queued ask.
func (c *Coordinator) grant(w *waiting, now time.Time) {
	d := c.daemons[w.from]
	a, r := d.asks[w.ID], c.choose(w, now)
	c.withdraw(a)
	c.queue.granted(w, c.speed.usual(), now)
	a.decision = Granted{ID: w.ID, Replica: r.Key}
	if a.listed != d.messages {
		a.listed = d.messages // the reply tells the daemon nevertheless
		d.pending = append(d.pending, w.ID)
	}
	if former := d.permits[w.ID]; former != nil {
		c.drop(former) // the daemon lists the ask as pending and as held
	}
	p := &permit{id: w.ID, by: d, replica: r.Key, workspace: w.Workspace, granted: now}
	d.permits[w.ID] = p
	c.setCounts(p, true)
	c.tally.add(&w.Ask, Counts{Granted: 1}, now)
	c.replyTo(d)
}

// choose returns the replica for an ask, by rule 4, or nil if there is no place for it.
func (c *Coordinator) choose(w *waiting, now time.Time) *replica {
	if c.occupied() >= c.places() || c.isPaused(now) {
		return nil
	}
	var best *replica
	var shortest time.Duration
	usual, domain := c.speed.usual(), c.daemons[w.from].domain
	for _, r := range c.replicas {
		if !c.isOpen(r, now) || slices.Contains(w.Tried, r.Key) {
			continue
		}
		expected := r.speed.present(usual, now) * time.Duration(r.requests()+1) / time.Duration(max(1, r.Slots))
		if r.Domain != domain {
			expected += crossDomainTime
		}
		if best == nil || expected < shortest {
			best, shortest = r, expected
		}
	}
	return best
}

// extendSaturated extends the time for which the service is saturated if an ask waits or all places
// are occupied.
func (c *Coordinator) extendSaturated(now time.Time) {
	if c.queue.len() > 0 || c.occupied() >= c.places() {
		c.busyUntil = now.Add(saturatedFor)
	}
}

// replyTo notes that a daemon gets a reply.
func (c *Coordinator) replyTo(d *asker) {
	if !d.replyDue {
		d.replyDue = true
		c.due = append(c.due, d)
	}
}

// Replies returns the replies to send since the previous call: to each daemon whose message was
// received, and to each for which a decision was made.
func (c *Coordinator) Replies(now time.Time) []SendReply {
	if len(c.due) == 0 {
		return nil
	}
	replies := make([]SendReply, 0, len(c.due))
	for _, d := range c.due {
		d.replyDue = false
		if d.silent || len(c.replicas) == 0 {
			continue
		}
		r := &PermitReply{
			From: c.self.Address, Incarnation: c.self.Incarnation, Answers: d.sequence,
			Service: c.service, Scope: c.scope, Saturated: now.Before(c.busyUntil),
		}
		for _, id := range d.pending {
			r.Decisions = append(r.Decisions, d.asks[id].decision)
		}
		replies = append(replies, SendReply{To: d.address, Reply: r})
	}
	c.due = c.due[:0]
	return replies
}

// Status returns the state that operators see.
func (c *Coordinator) Status(now time.Time) Status {
	s := Status{
		Service: c.service, Scope: c.scope, Places: c.places(), Out: c.occupied(), Waiting: c.queue.len(),
		ByUrgency: make(map[Urgency]Counts), ByWorkspace: make(map[WorkspaceKey]Counts),
	}
	c.tally.addTo(&s, now)
	for _, a := range c.deadlines {
		s.count(a.Urgency, a.Workspace, Counts{Waiting: 1})
	}
	s.limitWorkspaces()
	return s
}
