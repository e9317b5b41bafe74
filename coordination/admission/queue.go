// The order in which waiting requests get permits.
//
// Inputs: the waiting asks with their urgency, workspace, time of asking and target; for which of
// them a place is free; how long a request usually takes; which asks were granted, and how long
// these took. The rule:
//
//  1. An ask that uses a planned return (returns.go) goes first; of several, the most urgent one.
//  2. The other asks are ordered by urgency class. A class goes before the more urgent ones while
//     the share of its asks that were granted is less than floorShare of the largest share of
//     these, of the asks of the last shareWindow. A more urgent class is therefore served at least
//     as often, and a less urgent one half as often. Asks that are refused count as well. A permit
//     counts at the time of its ask: otherwise the share would be above one after a burst that was
//     granted late, and a less urgent class would go first.
//  3. Within a class, asks that can still start in time (the usual time of a request before their
//     target) go before those that cannot. The latter go oldest first. Once one has waited for
//     overdueAfter, late asks get one of overduePermits permits of the class.
//  4. Among those in time, start-time fair queuing shares the time that replicas spend between
//     workspaces: each workspace has a start tag, which advances with each permit by the mean time
//     of the workspace's requests. The workspace with the lowest tag is next. A workspace without
//     waiting asks resumes at the current lowest tag if its own is lower, so that being idle earns
//     nothing. The tags of a class start anew when nothing of the class waits: nobody was delayed
//     then. The time of each single request is not charged: a workspace with few requests would
//     fall behind when one of them meets a slow replica, and gain nothing from fast ones.
//  5. Within a workspace, the order is the time of asking.
//
// The position of a new ask (ahead) follows the same rule, except that late asks count as if they
// were in time, and that a new ask is behind all of its class once a late one of its workspace has
// waited for maxLateWait. Otherwise nothing would be refused because of them, and they would wait
// as long as others arrive in time. As they count at the position of their workspace, a workspace
// that sends more than its share finds a long queue of its own asks, and others find a short one.
//
// The cost of next, add and remove is proportional to the number of classes and the logarithm of
// the number of workspaces that wait; that of ahead to the number of workspaces that wait.

package admission

import (
	"math"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

const (
	// floorShare is the least share of granted asks in a less urgent class, relative to that in the
	// more urgent ones.
	floorShare = 0.5
	// shareWindow is the time over which shares are counted, in shareSlots slots. A wave of load
	// lasts 15 s; a class that was served less in its peak is not compensated much later.
	shareWindow = 5 * time.Second
	shareSlots  = 10
	// maxLateWait is how long a late ask waits before new asks of its workspace are refused: while a
	// workspace asks for more than its share, some ask of it is always in time, and late ones would
	// otherwise wait until their deadline.
	maxLateWait = 250 * time.Millisecond
	// overdueAfter is how long a late ask waits at most while other workspaces ask for less than their
	// share, and thus are always in time. It leaves most of the time that callers have.
	overdueAfter = 500 * time.Millisecond
	// overduePermits is the number of permits of a class of which an overdue ask gets one. With one in
	// three, the value of a request in the load test was lower.
	overduePermits = 5
	// lastPosition is higher than any position in a queue, so that a new ask there is refused.
	lastPosition = 1 << 20
	// minCharge is the least time that is charged for a permit, for the case that the usual time is
	// not known yet.
	minCharge = time.Millisecond
	// meanRequests is the number of requests of a workspace over which its mean time is taken, and
	// usualRequests the weight of the usual time before its first one. A replica is slow for a
	// seventh of the time.
	meanRequests  = 32
	usualRequests = 4
	// timesKept is how long the mean time of a workspace without requests is remembered.
	timesKept = time.Minute
	// spareFlows is the number of workspaces without waiting asks above which those with nothing
	// to remember are removed.
	spareFlows = 64
)

// waiting is an ask in the queue of a coordinator.
type waiting struct {
	Ask
	from     membership.Address
	asked    time.Time
	target   time.Time // the latency target
	deadline time.Time // of the caller
	returned bool      // it uses a planned return, and goes ahead of the others

	counted    bool  // it is in the counts of its class
	slot       int64 // of these counts
	late       bool  // it was found to be late
	flow       *flow
	list       *waitList // that contains it, if any
	prev, next *waiting
	lateIndex  int // in class.late
}

// isLate reports whether a request can no longer be in time, even if it is sent now.
func (w *waiting) isLate(usual time.Duration, now time.Time) bool {
	return w.target.Sub(now) < usual
}

// queue holds the asks that wait for a permit of one coordinator.
type queue struct {
	n        int
	returned waitList      // by urgency, then time of asking
	classes  []*class      // by urgency
	usual    time.Duration // of the last call with it
	times    map[WorkspaceKey]*meanTime
	begun    time.Time
	slot     int64 // of the windows of the classes
}

// newQueue returns an empty queue.
func newQueue() *queue { return &queue{times: make(map[WorkspaceKey]*meanTime)} }

// add adds an ask.
func (q *queue) add(w *waiting, now time.Time) {
	c := q.count(w, now)
	q.n++
	if w.returned {
		q.returned.insert(w, func(than *waiting) bool {
			return w.Urgency > than.Urgency || w.Urgency == than.Urgency && !w.asked.Before(than.asked)
		})
		return
	}
	c.add(w, q.cost(w.Workspace))
}

// remove removes an ask that is withdrawn or granted.
func (q *queue) remove(w *waiting) {
	switch {
	case w.flow != nil:
		q.class(w.Urgency).remove(w)
	case w.list != nil:
		q.returned.remove(w)
	default:
		return // it does not wait
	}
	q.n--
}

// next returns the ask that gets the next permit, without removing it, or nil. grantable reports
// whether there is a place for an ask; usual is how long a request usually takes.
func (q *queue) next(grantable func(*waiting) bool, usual time.Duration, now time.Time) *waiting {
	if q.n == 0 {
		return nil
	}
	q.usual = usual
	q.advance(now)
	for w := q.returned.first; w != nil; w = w.next {
		if grantable(w) {
			return w
		}
	}
	var urgent shares
	for _, c := range q.classes {
		if c.waiting > 0 && urgent.owed(c) > 0 {
			if w := c.next(grantable, usual, now); w != nil {
				return w
			}
		}
		urgent.add(c)
	}
	for _, c := range q.classes {
		if c.waiting > 0 {
			if w := c.next(grantable, usual, now); w != nil {
				return w
			}
		}
	}
	return nil
}

// granted records that an ask got a permit, for the shares of workspaces and urgencies.
func (q *queue) granted(w *waiting, usual time.Duration, now time.Time) {
	q.usual = usual
	c := q.count(w, now)
	if q.slot-w.slot < shareSlots {
		c.granted.add(w.slot)
	}
	if c.sinceLate++; w.late {
		c.sinceLate = 0
	}
	if c.waiting > 0 {
		c.grant(w, q.cost(w.Workspace))
	}
}

// spent records how long a request of a workspace with a permit took. The mean is charged for the next
// permits of the workspace.
func (q *queue) spent(k WorkspaceKey, took, usual time.Duration, now time.Time) {
	q.advance(now)
	m := q.times[k]
	if m == nil {
		m = &meanTime{mean: usual, n: usualRequests}
		q.times[k] = m
	}
	m.n = min(m.n+1, meanRequests)
	m.mean += (took - m.mean) / time.Duration(m.n)
	m.last = now
}

// cost returns what a permit of a workspace costs it.
func (q *queue) cost(k WorkspaceKey) time.Duration {
	if m := q.times[k]; m != nil {
		return max(minCharge, m.mean)
	}
	return max(minCharge, q.usual)
}

// ahead returns how many of the waiting asks would get a permit before a new one. It counts the ask
// for the shares, also if it is then refused.
func (q *queue) ahead(w *waiting, usual time.Duration, now time.Time) int {
	q.usual = usual
	c := q.count(w, now)
	n := 0
	for r := q.returned.first; r != nil && !(w.returned && r.Urgency > w.Urgency); r = r.next {
		n++
	}
	if w.returned || q.n == q.returned.n {
		return n
	}
	own := c.waiting
	if !w.isLate(usual, now) {
		own = c.ahead(w, now)
	}
	before := own
	var urgent shares
	for _, other := range q.classes {
		switch {
		case other.urgency < c.urgency:
		case other == c:
			before += urgent.before(c, own)
		default:
			// A less urgent class goes before by the permits that it is owed by the time of the grant.
			owed := urgent.owed(other) + urgent.owedFor(other, float64(before))
			before += min(other.waiting, max(0, int(math.Ceil(owed))))
		}
		urgent.add(other)
	}
	return n + before
}

// len returns the number of waiting asks.
func (q *queue) len() int { return q.n }

// meanTime is the mean time of the requests of a workspace.
type meanTime struct {
	mean time.Duration
	n    int
	last time.Time
}

// class returns the class of an urgency, or nil.
func (q *queue) class(u Urgency) *class {
	if i, ok := q.find(u); ok {
		return q.classes[i]
	}
	return nil
}

func (q *queue) find(u Urgency) (int, bool) {
	return slices.BinarySearchFunc(q.classes, u, func(c *class, u Urgency) int { return int(c.urgency) - int(u) })
}

// count counts an ask in its class, unless that was done before, and returns the class.
func (q *queue) count(w *waiting, now time.Time) *class {
	q.advance(now)
	i, ok := q.find(w.Urgency)
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass(w.Urgency))
	}
	c := q.classes[i]
	if !w.counted {
		w.counted, w.slot = true, q.slot
		c.asked.add(w.slot)
	}
	return c
}

// advance drops the counts that are older than the window, and classes with neither counts nor
// waiting asks.
func (q *queue) advance(now time.Time) {
	if q.begun.IsZero() {
		q.begun = now
	}
	slot := int64(now.Sub(q.begun) / (shareWindow / shareSlots))
	if slot <= q.slot {
		return
	}
	for _, c := range q.classes {
		c.asked.advance(q.slot, slot)
		c.granted.advance(q.slot, slot)
	}
	q.slot = slot
	for k, m := range q.times {
		if now.Sub(m.last) > timesKept {
			delete(q.times, k)
		}
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool {
		return c.waiting == 0 && c.asked.sum == 0 && c.granted.sum == 0
	})
}
