// This file marks which candidates of a choice may be chosen, in the order in which the rules yield:
// what replicas say of themselves holds always (barred.go), that they have ended (ended.go) while
// others are left, that they fail (eject.go) while half of them are.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

// markUsable marks the replicas that may be chosen, none of those that are left out.
func (c *candidates) markUsable(p *Placer, pool *Pool, tried Tried, now time.Time) {
	c.usableCount = p.Health.markUsable(c.usable, c.leftOut, pool, now)
	c.excludeTried(tried)
	if c.usableCount == 0 {
		c.ignoreEjections(p, pool, tried, now)
	}
}

// ignoreEjections marks ejected replicas too: each is better than none.
func (c *candidates) ignoreEjections(p *Placer, pool *Pool, tried Tried, now time.Time) {
	p.Health.markDespiteEjections(c.usable, c.leftOut, pool, now)
	c.count()
	c.excludeTried(tried)
}

// excludeTried takes out the replicas that the request was sent to before.
func (c *candidates) excludeTried(tried Tried) {
	if len(tried.Replicas) == 0 {
		return
	}
	c.exclude(func(r *Replica) bool { return slices.Contains(tried.Replicas, r.ID) })
}

// leftOut returns which replicas are left out when those that have ended are too.
func leftOut(barred replicaSet, ended map[int]time.Time, n int) replicaSet {
	out := slices.Clone(barred)
	for i := range ended {
		out = out.with(i, n)
	}
	return out
}

// areTried applies rule 2 of ended.go.
func (c *candidates) areTried(ended map[int]time.Time, s *Service) bool {
	isBounded := s != nil && s.ColdPerSecond > 0
	return len(ended) > 0 && (c.usableCount == 0 || isBounded && c.usableCount < len(ended))
}

// include adds the replicas that have ended, as cold ones. One that refused a connection a moment
// ago is not among them while others may be chosen.
func (c *candidates) include(p *Placer, pool *Pool, barred replicaSet, ended map[int]time.Time, now time.Time) {
	reachable := make([]bool, len(c.ready))
	p.Health.markDespiteEjections(reachable, barred, pool, now)
	c.ready = slices.Clone(c.ready)
	for i, until := range ended {
		r := &c.ready[i]
		if !reachable[i] || c.usableCount > 0 && p.Health.isEjected(r, now) {
			continue
		}
		c.usable[i] = true
		r.ColdUntil = latest(r.ColdUntil, until)
		c.coldUntil = latest(c.coldUntil, until)
	}
}

// excludeCold takes out the cold replicas, by the rules 1 and 4 of cold.go.
func (c *candidates) excludeCold(rates *ColdRates, s *Service, now time.Time) {
	if !now.Before(c.coldUntil) {
		return
	}
	warm := 0
	for i := range c.ready {
		if c.usable[i] && !rates.bounds(&c.ready[i], s, now) {
			warm++
		}
	}
	if warm == c.usableCount {
		return
	}
	enough := float64(warm) >= warmShare*float64(c.usableCount)
	c.exclude(func(r *Replica) bool {
		return rates.bounds(r, s, now) && (enough || !rates.allows(r, s, now))
	})
}

// count counts the replicas that may be chosen.
func (c *candidates) count() {
	c.usableCount = 0
	for _, usable := range c.usable {
		if usable {
			c.usableCount++
		}
	}
}

// exclude takes out the replicas that meet a condition and counts those that are
// left.
func (c *candidates) exclude(condition func(r *Replica) bool) {
	for i := range c.ready {
		if c.usable[i] && condition(&c.ready[i]) {
			c.usable[i] = false
		}
	}
	c.count()
}

// hasUsable reports whether a replica of a domain may be chosen.
func (c *candidates) hasUsable(domain state.FailureDomain) bool {
	for i := range c.ready {
		if c.usable[i] && c.ready[i].Domain == domain {
			return true
		}
	}
	return false
}
