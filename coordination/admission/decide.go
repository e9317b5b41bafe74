// This file decides the asks that a message lists: which are granted, queued or refused, by rules 6 and 7 of
// coordinator.go.

package admission

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// setPending sets the asks that a daemon lists as pending. It returns those that are not decided,
// the most urgent first.
func (c *Coordinator) setPending(d *asker, list []Ask, now time.Time) []*ask {
	var added []*ask
	d.pending = d.pending[:0]
	for i := range list {
		id := list[i].ID
		a := d.asks[id]
		p := d.permits[id]
		if a == nil || isGranted(a) && p == nil || a.isToDecideAgain(&list[i], now) {
			a = newAsk(d.address, list[i], now)
			d.asks[id] = a
			if p != nil && p.counts {
				a.decision = Granted{ID: id, Replica: p.replica}
			} else {
				added = append(added, a)
			}
		}
		if a.listed == d.messages {
			continue // listed twice
		}
		a.listed = d.messages
		d.pending = append(d.pending, id)
	}
	for id, a := range d.asks {
		if a.listed == d.messages || len(list) >= MaxPending && isQueued(a) {
			continue
		}
		c.withdraw(a)
		delete(d.asks, id)
	}
	slices.SortStableFunc(added, func(a, b *ask) int { return cmp.Compare(a.Urgency, b.Urgency) })
	return added
}

// newAsk returns an ask that a daemon lists for the first time.
func newAsk(from membership.Address, listed Ask, now time.Time) *ask {
	return &ask{waiting: waiting{
		Ask: listed, from: from, asked: now,
		target: now.Add(listed.UntilTarget), deadline: now.Add(listed.UntilDeadline),
	}}
}

// isToDecideAgain reports whether an ask was refused here because this coordinator did not know that
// another one had queued it. Its daemon ignored that decision.
func (a *ask) isToDecideAgain(listed *Ask, now time.Time) bool {
	_, refused := a.decision.(Refused)
	return refused && !wasQueued(a.Ask) && wasQueued(*listed) && now.Before(a.deadline)
}

func isGranted(a *ask) bool {
	_, granted := a.decision.(Granted)
	return granted
}

func isQueued(a *ask) bool {
	_, queued := a.decision.(Queued)
	return queued
}

// withdraw removes an ask from the queue if it is queued.
func (c *Coordinator) withdraw(a *ask) {
	if isQueued(a) {
		c.queue.remove(&a.waiting)
		c.deadlines.remove(a)
	}
}

// decide decides a new ask, by rule 6.
func (c *Coordinator) decide(d *asker, a *ask, now time.Time) {
	w := &a.waiting
	if len(c.replicas) > 0 {
		w.returned = c.isPossible(w) && c.returns.take(w, now)
		if !w.returned && c.isRefused(w, now) {
			c.refuse(a, now)
			return
		}
	}
	a.decision = Queued{w.ID}
	c.queue.add(w, now)
	c.deadlines.add(a)
	c.grantFree(now)
}

// isPossible reports whether there is a replica that the request was not sent to before.
func (c *Coordinator) isPossible(w *waiting) bool {
	return slices.ContainsFunc(c.replicas, func(r *replica) bool { return !slices.Contains(w.Tried, r.Key) })
}

// isRefused reports whether a new ask for which no return was planned is to be refused.
func (c *Coordinator) isRefused(w *waiting, now time.Time) bool {
	if !c.isPossible(w) {
		return true
	}
	if c.choose(w, now) != nil {
		return false
	}
	if c.strict.on && w.UntilDeadline <= 0 {
		return true // it is not to wait, see replica_pool.go
	}
	if wasQueued(w.Ask) {
		return false
	}
	usual := c.speed.usual()
	ahead := c.queue.ahead(w, usual, now)
	if ahead == 0 {
		return false
	}
	throughput := c.throughput(now)
	if throughput <= 0 {
		return false // it grants nothing yet, and another coordinator is chosen soon
	}
	wait := time.Duration(float64(ahead+1) / throughput * float64(time.Second))
	left := w.target.Sub(now)
	return wait > time.Duration(queueShare*float64(max(left-usual, left/2)))
}

// refuse refuses a new ask.
func (c *Coordinator) refuse(a *ask, now time.Time) {
	retryAfter := minRetryAfter
	if !c.strict.on || a.UntilDeadline > 0 {
		retryAfter = c.returns.plan(&a.waiting, c.throughput(now), now)
	}
	a.decision = Refused{ID: a.ID, RetryAfter: retryAfter}
	c.tally.add(&a.Ask, Counts{Refused: 1}, now)
}
