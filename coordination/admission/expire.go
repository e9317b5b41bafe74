// This file removes what a coordinator was told and that has expired: daemons that send nothing more, permits that are no
// longer listed as held, and asks whose deadline has passed.

package admission

import (
	"container/list"
	"slices"
	"time"
)

// Tick ends expired permits and grants what is free.
func (c *Coordinator) Tick(now time.Time) {
	c.expire(now)
	c.grantFree(now)
}

// expire ends the permits and asks that end because no message arrived in time, by rules 2 and 7.
func (c *Coordinator) expire(now time.Time) {
	c.extendSaturated(now)
	c.expireLingering(now)
	c.expirePresumed(now)
	c.expireDaemons(now)
	c.expireUnlisted(now)
	c.expireAsks(now)
}

// expireDaemons ends everything of the daemons that are silent.
func (c *Coordinator) expireDaemons(now time.Time) {
	for d := first(c.heard); d != nil && now.Sub(d.heard) >= c.silentAfter(); d = first(c.heard) {
		c.end(d)
	}
	for d := first(c.silent); d != nil && now.Sub(d.heard) >= forgetAfter; d = first(c.silent) {
		c.silent.Remove(d.element)
		delete(c.daemons, d.address)
	}
}

// expireUnlisted ends the permits that no message has listed within grantDelay after the grant.
func (c *Coordinator) expireUnlisted(now time.Time) {
	c.unlisted = slices.DeleteFunc(c.unlisted, func(p *permit) bool {
		if p.by.permits[p.id] != p || !p.counts || p.listed == p.by.messages || p.by.asks[p.id] != nil {
			return true
		}
		if now.Sub(p.granted) <= c.grantDelay() {
			return false
		}
		c.drop(p)
		return true
	})
}

// expireAsks refuses the queued asks whose deadline has passed.
func (c *Coordinator) expireAsks(now time.Time) {
	for len(c.deadlines) > 0 && c.deadlines[0].deadline.Before(now) {
		a := c.deadlines[0]
		c.withdraw(a)
		a.decision = Refused{ID: a.ID, RetryAfter: minRetryAfter}
		c.tally.add(&a.Ask, Counts{Refused: 1}, now)
	}
}

// first returns the first daemon of a list, or nil.
func first(l *list.List) *asker {
	if l.Len() == 0 {
		return nil
	}
	return l.Front().Value.(*asker)
}

// end ends everything of a daemon that is silent or restarted. Its permits are kept, because it may
// still list them.
func (c *Coordinator) end(d *asker) {
	if d.silent {
		return
	}
	d.silent = true
	c.heard.Remove(d.element)
	d.element = c.silent.PushBack(d)
	for _, p := range d.permits {
		c.setCounts(p, false)
	}
	for _, a := range d.asks {
		c.withdraw(a)
	}
	clear(d.asks)
	d.pending = d.pending[:0]
	c.setUnpermitted(d, nil)
	c.unknown -= d.unknown
	d.unknown = 0
}
