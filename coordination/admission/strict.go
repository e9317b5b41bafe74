// Strict bounds of a coordinator while the replicas of its service are brittle: each terminates if it
// has to reject more requests within a second than a limit that may be 1 (coordination/routing/brittle.go).
//
// The rule, in addition to those of coordinator.go:
//
//  1. A replica has a place for each of its slots and no more: it is not known how many requests it
//     still queues.
//  2. A coordinator that does not know the permits of the one before it grants none for learnTime, or
//     learnReplicaTime if it is that of a single replica. Within that time each daemon that holds permits
//     has found the former coordinator silent, and lists them here. The same holds for one whose process
//     was paused, and, each relearnAfter at most, for one that hears of requests without its permits:
//     another one has granted in its place, and the other daemons have not come back yet.
//  3. A request that was given up after it was sent occupies its place for the rest of the usual time of a
//     request, lingerTime at most: the replica may not have noticed yet. The same holds for a failed one.
//  4. A rejection shows that somebody sends without permits, or that another coordinator grants the same
//     places, as each side of a fleet that is cut does. The replica then has fewer places here (window.go).
//     This coordinator may cause rejectionShare of the rejections that the replica survives, and a daemon that
//     decides alone its part of that. So a place is added in the time in which one is allowed,
//     maxClosedAfterRejection at most.
//  5. A daemon that has just started, and does not know who coordinates, grants itself nothing.
//  6. A permit counts for longer without a message of its daemon, and after a grant of which the daemon does
//     not know yet: machines that are busy delay messages by tenths of a second, and a place that is granted
//     twice costs more than one that stays unused. A daemon returns a grant that it does not need at once.
//  7. The coordinators of single replicas hear less often of permits and asks. A daemon holds permits of many
//     of them, which would otherwise cost more than its control budget.
//  8. A coordinator of a service that begins later than strictSilent after the spell may have a rival: it follows
//     one that others still ask. Each replica that is new to it has fewer places at first (window.go): as many as
//     the requests that its daemons had there while it learned, or half if they had none. The coordinators of
//     single replicas begin with all places: a rival is rarer there, since replicas are spread over the daemons,
//     and narrow beginnings refuse more calls than they save.
//  9. A coordinator is silent later, after strictReplyTimeout. On a busy machine messages take longer than replyTimeout
//     at times. The daemons would then ask another coordinator, which grants the same places a second time. A new
//     coordinator learns for longer than that before it grants anything, so that a shorter time would gain little.

package admission

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

const (
	// learnTime and learnReplicaTime are longer than holdingEvery and holdingReplicaEvery and the time that a
	// message takes. They begin when the first daemon has found the former coordinator silent.
	learnTime        = 150 * time.Millisecond
	learnReplicaTime = 550 * time.Millisecond
	// strictSilent replaces silentAfter, strictWaitingSilent waitingSilentAfter, and strictGrantDelay
	// grantDelay, by rule 6. strictIdle is longer than strictSilent.
	strictSilent        = 1200 * time.Millisecond
	strictWaitingSilent = 500 * time.Millisecond
	strictGrantDelay    = 250 * time.Millisecond
	strictIdle          = 2 * time.Second
	// strictReplyTimeout replaces replyTimeout, by rule 9. It leaves room for a message and a reply that are each 40 ms
	// late.
	strictReplyTimeout = 100 * time.Millisecond
	// askingReplicaEvery and holdingReplicaEvery replace askingEvery and holdingEvery, by rule 7.
	askingReplicaEvery  = 200 * time.Millisecond
	holdingReplicaEvery = 500 * time.Millisecond
	// lingerTime bounds the time for which a place stays unused because a request was given up.
	lingerTime = time.Second
	// relearnAfter bounds what requests from before the spell cost, which have no permits.
	relearnAfter = 5 * time.Second
	// pausedTick is the delay of a tick from which the process was paused.
	pausedTick = 200 * time.Millisecond
	// rejectionShare leaves half of the rejections to another coordinator.
	rejectionShare = 0.5
	// maxClosedAfterRejection is for limits of 0, and for a daemon that is alone of many.
	maxClosedAfterRejection = 5 * time.Second
)

// strictMode is the state of the strict bounds.
type strictMode struct {
	on            bool
	limit         int       // rejections in a second that a replica survives
	learningUntil time.Time // no permit is granted before; zero: it may be
	learnedAt     time.Time // when it last began to learn; zero: it did not
	succeeds      bool      // another coordinator may have granted before in this spell
}

// setStrict begins or ends the strict bounds. isNew says that this coordinator may not know all permits.
func (c *Coordinator) setStrict(on bool, limit int, isNew bool, now time.Time) {
	c.strict.on, c.strict.limit = on, limit
	if on && isNew {
		c.learn(now)
	}
	if on {
		return
	}
	c.strict.learningUntil = time.Time{}
	for _, r := range c.known {
		r.lingering, r.window = nil, window{}
		c.forgetUnused(r)
	}
}

// learn grants no permits until the permits of all daemons are known.
func (c *Coordinator) learn(now time.Time) {
	c.strict.learnedAt, c.strict.learningUntil = now, now.Add(c.learnTime())
}

// relearn is learn for a coordinator that hears of requests without its permits, by rule 2.
func (c *Coordinator) relearn(now time.Time) {
	if !c.strict.on || now.Sub(c.strict.learnedAt) < relearnAfter {
		return
	}
	c.learn(now)
	for _, r := range c.known {
		r.window = window{} // the daemons of the other coordinator list their requests here from now on
	}
}

// detectPause lets the coordinator learn again if its process was paused.
func (g *running) detectPause(now time.Time) {
	if g.strict.on && !g.tick.IsZero() && now.Sub(g.tick) >= pausedTick {
		g.learn(now)
	}
}

// learnTime returns for how long a new coordinator grants no permits, by rule 2.
func (c *Coordinator) learnTime() time.Duration {
	if _, ok := c.scope.Replica(); ok {
		return learnReplicaTime
	}
	return learnTime
}

// silentAfter returns the time without a message after which nothing of a daemon counts.
func (c *Coordinator) silentAfter() time.Duration {
	if c.strict.on {
		return strictSilent
	}
	return silentAfter
}

// waitingSilentAfter returns the time without a message after which the queued asks of a daemon get no permits.
func (c *Coordinator) waitingSilentAfter() time.Duration {
	if c.strict.on {
		return strictWaitingSilent
	}
	return waitingSilentAfter
}

// grantDelay returns the time within which a daemon knows of a grant, and its message says so.
func (c *Coordinator) grantDelay() time.Duration {
	if c.strict.on {
		return strictGrantDelay
	}
	return grantDelay
}

// replyTimeout returns the time without a message after which a coordinator is silent, by rule 9.
func (c *client) replyTimeout() time.Duration {
	if _, isBrittle := c.d.brittle[c.service]; isBrittle || c.isReplica() {
		return strictReplyTimeout
	}
	return replyTimeout
}

// askingInterval returns the time between messages while asks wait.
func (c *client) askingInterval() time.Duration {
	if c.isReplica() {
		return askingReplicaEvery
	}
	return askingEvery
}

// holdingInterval returns the time between messages while permits are held.
func (c *client) holdingInterval() time.Duration {
	if c.isReplica() {
		return holdingReplicaEvery
	}
	return holdingEvery
}

// returnGrant returns a grant that is not needed, by rule 6, or leaves it out of the messages until the
// coordinator no longer takes it to be on its way.
func (c *client) returnGrant(l *link, id PermitID, now time.Time) {
	if _, isBrittle := c.d.brittle[c.service]; !isBrittle && !c.isReplica() {
		l.schedule(now.Add(unneededAfter))
		return
	}
	if len(l.finished) < maxFinished {
		l.finished = append(l.finished, Finished{ID: id, Result: Abandoned})
	}
	l.schedule(now)
}

// linger lets a request that was given up occupy its place for some time, by rule 3.
func (c *Coordinator) linger(r *replica, took time.Duration, now time.Time) {
	rest := min(lingerTime, c.speed.usual()-took)
	if !c.strict.on || took == 0 || rest <= 0 {
		return
	}
	until := now.Add(rest)
	i := len(r.lingering)
	for i > 0 && r.lingering[i-1].After(until) {
		i--
	}
	r.lingering = slices.Insert(r.lingering, i, until)
}

// expireLingering frees the places of requests that were given up.
func (c *Coordinator) expireLingering(now time.Time) {
	if !c.strict.on {
		return
	}
	for _, r := range c.known {
		if len(r.lingering) == 0 {
			continue
		}
		r.lingering = dropBefore(r.lingering, now)
		c.forgetUnused(r)
	}
}

// reject records that a replica rejected a permitted request, by rule 5 of coordinator.go or rule 4.
func (c *Coordinator) reject(r *replica, now time.Time) {
	if !c.strict.on {
		r.closedUntil = now.Add(c.speed.usual())
		return
	}
	r.window.reject(r.requests(), c.placesOf(r), c.rejectionStep(), c.speed.usual(), now)
}

// beginWindow begins the window of a replica that is new to a coordinator that may have a rival, by rule 8.
func (c *Coordinator) beginWindow(r *replica, now time.Time) {
	if !c.strict.on || !c.strict.succeeds {
		return
	}
	from := now
	if c.strict.learningUntil.After(from) {
		from = c.strict.learningUntil
	}
	r.window.begin(c.placesOf(r), c.rejectionStep(), from)
}

// learnWindows lets windows begin with the requests that the daemons of this coordinator have, by rule 8.
func (c *Coordinator) learnWindows(counts []routing.LoadCount, now time.Time) {
	if !c.strict.on || !c.strict.succeeds || !now.Before(c.strict.learningUntil) {
		return
	}
	for _, n := range counts {
		r := c.replica(n.Replica)
		r.window.learn(r.requests())
	}
}

// windowOf returns the number of requests that this coordinator may have at a replica.
func (c *Coordinator) windowOf(r *replica, now time.Time) int {
	if !c.strict.on {
		return c.placesOf(r)
	}
	return r.window.places(c.placesOf(r), c.rejectionStep(), now)
}

// rejectionStep returns the time in which this coordinator may cause one rejection, by rule 4.
func (c *Coordinator) rejectionStep() time.Duration {
	usual := c.speed.usual()
	perSecond := rejectionShare * c.share * float64(c.strict.limit)
	if perSecond*maxClosedAfterRejection.Seconds() <= 1 {
		return max(usual, maxClosedAfterRejection)
	}
	return max(usual, time.Duration(float64(time.Second)/perSecond))
}

// dropBefore removes the times of an ordered list that are not after a moment.
func dropBefore(list []time.Time, moment time.Time) []time.Time {
	for len(list) > 0 && !list[0].After(moment) {
		list = list[1:]
	}
	return list
}
