// What a coordinator does while it does not know the permits of another one that granted the same places.
//
// Inputs: the messages of daemons with the asks that another coordinator has queued, when a tick was due and
// when it came, and how long requests take. The rule:
//
//  1. A coordinator whose process was paused for so long that daemons found it silent grants no permit
//     for resumeTime. Others have granted the same places meanwhile. Its replies to the messages that
//     came in the pause bring those daemons back, with a message that lists these permits.
//  2. A coordinator takes over when asks come and none came for stayFor before. That of a failure domain
//     does so too when an ask comes that another coordinator has queued and none waits here: the other
//     one is paused again and again. It then grants no permit for takeoverTime: most pauses are over by
//     then.
//  3. If another coordinator has queued an ask that comes within stayFor after that, all places were
//     occupied there. Those that the coordinator does not know of are then presumed to be occupied, and
//     become free one after another within the usual time of a request, as the requests there end. That
//     time began replyTimeout ago at the latest: the other coordinator has not answered since. Daemons
//     of other failure domains hold permits at these replicas too, and do not ask here.
//  4. A presumed place is dropped for each request that a daemon reports later, since it is one of these.
//  5. A daemon that decides alone has a share of its own, to which none of this applies. A coordinator
//     of brittle replicas learns of all permits before it grants any instead of rules 2 and 3 (strict.go).

package admission

import (
	"slices"
	"time"
)

const (
	// resumeTime is the time for a reply and the message that follows it.
	resumeTime = repeatAfter
	// takeoverTime is 30 ms, by which a failure may delay an ask, less replyTimeout and two messages.
	takeoverTime = 10 * time.Millisecond
)

// takeover is what a coordinator knows of another one that granted the same places.
type takeover struct {
	until    time.Time     // no permit is granted before
	asked    time.Time     // of the last message with asks
	began    time.Time     // when it took over; zero: it did not, or rule 3 was applied since
	presumes bool          // rule 3 is to be applied
	usual    time.Duration // of the requests of this daemon
}

// detectShortPause implements rule 1. Asks for permits of single replicas may not be able to wait, and strict.go has a
// rule for pauses of their coordinators.
func (g *running) detectShortPause(now time.Time) {
	if _, isReplica := g.scope.Replica(); isReplica {
		return
	}
	if !g.alone && !g.tick.IsZero() && now.Sub(g.tick) >= pausedAfter {
		g.takeover.until = now.Add(resumeTime)
	}
}

// detectTakeover implements rule 2, and notes whether rule 3 applies. usual is how long the requests of this
// daemon take: the coordinator may not have granted any yet.
func (g *running) detectTakeover(r *PermitRequest, usual time.Duration, now time.Time) {
	if g.alone || g.strict.on || len(r.Pending) == 0 {
		return
	}
	t := &g.takeover
	if now.Sub(t.asked) >= stayFor || g.isDomain() && g.queue.len() == 0 && g.isNewHere(r) {
		t.began = now
		if g.isDomain() {
			t.until = now.Add(takeoverTime)
		}
	}
	t.asked = now
	if !t.began.IsZero() && now.Sub(t.began) < stayFor && slices.ContainsFunc(r.Pending, wasQueued) {
		t.began, t.presumes, t.usual = time.Time{}, true, usual
	}
}

// isNewHere reports whether a message lists an ask that another coordinator has queued, and this one has not.
func (c *Coordinator) isNewHere(r *PermitRequest) bool {
	d := c.daemons[r.From]
	return slices.ContainsFunc(r.Pending, func(a Ask) bool { return wasQueued(a) && (d == nil || d.asks[a.ID] == nil) })
}

// wasQueued reports whether another coordinator has queued an ask.
func wasQueued(a Ask) bool { return slices.Contains(a.Tried, queuedMark) }

// isDomain reports whether the scope of a coordinator is a failure domain.
func (c *Coordinator) isDomain() bool {
	_, isReplica := c.scope.Replica()
	return c.scope != "" && !isReplica
}

// presumeOccupied implements rules 3 and 4, when a message has said what its daemon has in flight.
func (c *Coordinator) presumeOccupied(now time.Time) {
	for _, r := range c.replicas {
		if c.takeover.presumes {
			r.presumed = c.presumedOf(c.placesOf(r)-r.requests()+len(r.presumed), now)
		} else {
			r.presumed = r.presumed[:max(0, len(r.presumed)-max(0, r.unpermitted-r.reported))]
		}
		r.reported = r.unpermitted
	}
	c.takeover.presumes = false
}

// presumedOf returns when the requests at n places are presumed to end.
func (c *Coordinator) presumedOf(n int, now time.Time) []time.Time {
	var ends []time.Time
	for i := range n {
		ends = append(ends, now.Add(c.takeover.usual*time.Duration(i+1)/time.Duration(n)-replyTimeout))
	}
	return dropBefore(ends, now)
}

// expirePresumed frees the places whose requests have ended at the usual time.
func (c *Coordinator) expirePresumed(now time.Time) {
	for _, r := range c.replicas {
		r.presumed = dropBefore(r.presumed, now)
	}
}
