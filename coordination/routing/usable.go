// This file marks which candidates may be chosen. The rules in order of precedence: ineligible
// replicas (ineligible.go) are always skipped, terminated ones (terminated.go) while others are
// left, failing ones (eject.go) while at least half of the others are left.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/state"
)

// markUsable marks the replicas that may be chosen, none of which is in c.skip.
func (c *candidates) markUsable(p *Placer, pool *Pool, tried Tried, now time.Time) {
	c.usableCount = p.Health.markUsable(c.usable, c.skip, pool, now)
	c.excludeTried(tried)
	if c.usableCount == 0 {
		c.ignoreEjections(p, pool, tried, now)
	}
}

// markReachable marks the replicas that may be chosen whether they are ejected or not, except those
// in domains that are cut off while there are others.
func (c *candidates) markReachable(p *Placer, pool *Pool, tried Tried, now time.Time) {
	p.Health.markDespiteFailures(c.usable, c.skip, pool, now)
	c.count()
	c.excludeTried(tried)
	if c.usableCount == 0 {
		c.ignoreEjections(p, pool, tried, now)
	}
}

// ignoreEjections marks ejected replicas too, because any replica is better than none.
func (c *candidates) ignoreEjections(p *Placer, pool *Pool, tried Tried, now time.Time) {
	p.Health.markDespiteEjections(c.usable, c.skip, pool, now)
	c.count()
	c.excludeTried(tried)
}

// excludeTried unmarks the replicas that the request was already sent to.
func (c *candidates) excludeTried(tried Tried) {
	if len(tried.Replicas) == 0 {
		return
	}
	c.exclude(func(r *Replica) bool { return slices.Contains(tried.Replicas, r.ID) })
}

// withTerminated returns the ineligible replicas together with the terminated ones; n is the size
// of the pool.
func withTerminated(ineligible replicaSet, terminated map[int]time.Time, n int) replicaSet {
	out := slices.Clone(ineligible)
	for i := range terminated {
		out = out.with(i, n)
	}
	return out
}

// mayTryTerminated applies rule 2 of terminated.go.
func (c *candidates) mayTryTerminated(terminated map[int]time.Time, s *Service) bool {
	isBounded := s != nil && s.ColdPerSecond > 0
	return len(terminated) > 0 && (c.usableCount == 0 || isBounded && c.usableCount < len(terminated))
}

// includeTerminated marks the terminated replicas, as cold ones. One that refused a connection a
// moment ago is left out while others may be chosen.
func (c *candidates) includeTerminated(p *Placer, pool *Pool, ineligible replicaSet, terminated map[int]time.Time, now time.Time) {
	reachable := make([]bool, len(c.ready))
	p.Health.markDespiteEjections(reachable, ineligible, pool, now)
	c.ready = slices.Clone(c.ready)
	for i, until := range terminated {
		r := &c.ready[i]
		if !reachable[i] || c.usableCount > 0 && p.Health.isEjected(r, now) {
			continue
		}
		c.usable[i] = true
		r.ColdUntil = latest(r.ColdUntil, until)
		c.coldUntil = latest(c.coldUntil, until)
	}
}

// excludeCold unmarks cold replicas, by rules 1 and 4 of cold.go.
func (c *candidates) excludeCold(rates *ColdLimiter, s *Service, now time.Time) {
	if !now.Before(c.coldUntil) {
		return
	}
	warm := 0
	for i := range c.ready {
		if c.usable[i] && !rates.isLimited(&c.ready[i], s, now) {
			warm++
		}
	}
	if warm == c.usableCount {
		return
	}
	enough := float64(warm) >= warmFraction*float64(c.usableCount)
	c.exclude(func(r *Replica) bool {
		return rates.isLimited(r, s, now) && (enough || !rates.allows(r, s, now))
	})
}

// count sets usableCount to the number of replicas that may be chosen.
func (c *candidates) count() {
	c.usableCount = 0
	for _, usable := range c.usable {
		if usable {
			c.usableCount++
		}
	}
}

// exclude unmarks the replicas that meet a condition and updates usableCount.
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
