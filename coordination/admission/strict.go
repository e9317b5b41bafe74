// Strict bounds of a coordinator while the replicas of its service are brittle: each terminates if it
// has to reject more requests within a second than a limit that may be 1 (coordination/routing/brittle.go).
//
// The rule, in addition to those of coordinator.go:
//
//  1. A replica has a place for each of its slots and no more: it is not known how many requests it
//     still queues.
//  2. A coordinator that does not know the permits of the one before it grants none for learnTime.
//     Within that time each daemon that holds permits has found the former coordinator silent, and lists
//     them here.
//  3. A request that was given up after it was sent occupies its place for the rest of the usual time of a
//     request, lingerTime at most: the replica may not have noticed yet. The same holds for a failed one.
//  4. After a rejection a replica gets no permit for the usual time of a request. After as many as half of
//     the limit within a second it gets none until a second after the first of them: somebody sends
//     without permits.
//  5. A daemon that has just started, and does not know who coordinates, grants itself nothing.

package admission

import "time"

const (
	// learnTime is longer than holdingEvery, replyTimeout and the time that a message takes.
	learnTime = 150 * time.Millisecond
	// lingerTime bounds the time for which a place stays unused because a request was given up.
	lingerTime = time.Second
	// rejectionWindow is the time in which a brittle replica counts its rejections.
	rejectionWindow = time.Second
)

// strictMode is the state of the strict bounds.
type strictMode struct {
	on            bool
	limit         int       // rejections in rejectionWindow that a replica survives
	learningUntil time.Time // no permit is granted before; zero: it may be
}

// setStrict begins or ends the strict bounds. isNew says that this coordinator may not know all permits.
func (c *Coordinator) setStrict(on bool, limit int, isNew bool, now time.Time) {
	c.strict.on, c.strict.limit = on, limit
	if on && isNew {
		c.strict.learningUntil = now.Add(learnTime)
	}
	if on {
		return
	}
	c.strict.learningUntil = time.Time{}
	for _, r := range c.known {
		r.lingering, r.rejections = nil, nil
		c.forgetUnused(r)
	}
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
	r.lingering = append(r.lingering[:i], append([]time.Time{until}, r.lingering[i:]...)...)
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

// closedAfterRejection counts a rejection and returns for how long the replica gets no permit, by rule 4.
func (c *Coordinator) closedAfterRejection(r *replica, now time.Time) time.Duration {
	if !c.strict.on {
		return c.speed.usual()
	}
	r.rejections = append(dropBefore(r.rejections, now.Add(-rejectionWindow)), now)
	if 2*len(r.rejections) < c.strict.limit {
		return c.speed.usual()
	}
	return max(c.speed.usual(), r.rejections[0].Add(rejectionWindow).Sub(now))
}

// dropBefore removes the times of an ordered list that are not after a moment.
func dropBefore(list []time.Time, moment time.Time) []time.Time {
	for len(list) > 0 && !list[0].After(moment) {
		list = list[1:]
	}
	return list
}
