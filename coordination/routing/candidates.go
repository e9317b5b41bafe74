// This file holds the state of one choice: the replicas of a pool with their loads
// and their order. place.go has the rule.

package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// candidates is the ready replicas at the time of one choice. The slices have one
// element for each replica.
type candidates struct {
	ready       []Replica
	coldUntil   time.Time  // when the last of them is warm
	loads       []int      // requests
	usable      []bool     // may be chosen
	leftOut     replicaSet // get nothing while others may be chosen
	crowded     []bool     // hold too much, by their own reports
	ranks       []uint64   // in the prompt's order: the highest is the home
	usableCount int
	mean        float64 // of loads
	coverage    float64 // share of the fleet's daemons that loads contain
}

func newCandidates(p *Placer, pool *Pool, v *View, s *Service, tried Tried, now time.Time) *candidates {
	n := len(pool.Ready)
	c := &candidates{ready: pool.Ready, coldUntil: pool.coldUntil, loads: make([]int, n), usable: make([]bool, n), crowded: make([]bool, n)}
	c.mean = float64(p.Loads.addTo(c.loads, pool, now)) / float64(n)
	c.coverage = p.Loads.coverage(v.Daemons, now)
	p.Crowds.mark(c.crowded, pool, v.LargeFleet, now)
	barred, ended := p.barred(pool, now), p.Health.markEnded(pool, now)
	c.leftOut = leftOut(barred, ended, n)
	c.markUsable(p, pool, tried, now)
	if c.areTried(ended, s) {
		c.include(p, pool, barred, ended, now)
		c.count()
		c.excludeTried(tried)
	}
	if tried.BeyondReach && c.hasUsable(v.Domain) {
		c.exclude(func(r *Replica) bool { return r.Domain != v.Domain })
	}
	return c
}

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

// order ranks the replicas for a key.
func (c *candidates) order(key uint64) {
	c.ranks = make([]uint64, len(c.ready))
	for i := range c.ready {
		c.ranks[i] = coordination.Rank(key, c.ready[i].Hash)
	}
}

// none is the index of no replica.
const none = -1

// first returns the replica that ranks first among those that meet a condition,
// or none. One pass is cheaper than sorting a large pool.
func (c *candidates) first(condition func(i int) bool) int {
	best := none
	for i, r := range c.ranks {
		if (best == none || r > c.ranks[best]) && condition(i) {
			best = i
		}
	}
	return best
}

// place returns how many replicas rank above one.
func (c *candidates) place(of int) int {
	n := 0
	for _, r := range c.ranks {
		if r > c.ranks[of] {
			n++
		}
	}
	return n
}

// fits reports whether a replica may be chosen and is not too loaded.
func (c *candidates) fits(i int) bool {
	return c.usable[i] && !c.crowded[i] && float64(c.loads[i]) < loadBound*c.mean+loadSlack
}

// baseHomes returns how many homes a prompt has that is asked for as often as others.
func (c *candidates) baseHomes(short, largeFleet bool) int {
	switch {
	case !short:
		return 1
	case largeFleet:
		return shortHomes
	}
	domains := make(map[state.FailureDomain]bool)
	for i := range c.ready {
		domains[c.ready[i].Domain] = true
	}
	return len(domains)
}

// drawnHome returns the home that is to take a request for a prompt with many homes, or
// none if that is too loaded. Of two that are drawn by the request's id it is the one that
// holds fewer requests, or the one in the daemon's own domain.
func (c *candidates) drawnHome(homes int, id RequestID, domain state.FailureDomain) int {
	order := c.firstUsable(homes)
	if len(order) == 0 {
		return none
	}
	draw := xxhash.Sum64String(string(id))
	first, second := order[draw%uint64(len(order))], order[(draw>>32)%uint64(len(order))]
	isNearer := c.ready[second].Domain == domain && c.ready[first].Domain != domain
	if c.loads[second] < c.loads[first] || c.loads[second] == c.loads[first] && isNearer {
		first = second
	}
	if c.fits(first) {
		return first
	}
	return none
}

// firstUsable returns the first n usable replicas of the order, or all if there are fewer.
func (c *candidates) firstUsable(n int) []int {
	order := make([]int, 0, c.usableCount)
	for i := range c.ready {
		if c.usable[i] {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(c.ranks[b], c.ranks[a]) })
	return order[:min(n, len(order))]
}

// homeOfShort applies rule 3 of place.go: it returns the home of a short prompt that is
// to take a request, or none if that is too loaded.
func (c *candidates) homeOfShort(domain state.FailureDomain, largeFleet bool) int {
	if !largeFleet {
		return c.first(func(i int) bool { return c.fits(i) && c.ready[i].Domain == domain })
	}
	if i := c.lessLoadedHome(domain); i != none && c.fits(i) {
		return i
	}
	return none
}

// firstNotTooLoaded applies the rules 4 and 5 of place.go. It returns none if all
// that are considered hold too many requests.
func (c *candidates) firstNotTooLoaded(cached []location) int {
	if len(cached) > 0 {
		if i := c.first(func(i int) bool { return c.fits(i) && holdsPrompt(cached, &c.ready[i]) }); i != none {
			return i
		}
	}
	return c.firstOfOrder()
}

// lessLoadedHome returns the one of the first two usable replicas of the order that
// holds fewer requests. Of two that hold as many it is the first, unless only the
// second is in the daemon's own domain.
func (c *candidates) lessLoadedHome(domain state.FailureDomain) int {
	first := c.next(none)
	if first == none {
		return none
	}
	second := c.next(first)
	if second == none || c.loads[first] < c.loads[second] {
		return first
	}
	onlySecondIsNear := c.ready[second].Domain == domain && c.ready[first].Domain != domain
	if c.loads[second] < c.loads[first] || onlySecondIsNear {
		return second
	}
	return first
}

// firstOfOrder returns the first replica that fits among the first orderTries usable
// ones of the order, or none.
func (c *candidates) firstOfOrder() int {
	last := none
	for range orderTries {
		next := c.next(last)
		if next == none || c.fits(next) {
			return next
		}
		last = next
	}
	return none
}

// next returns the usable replica that comes after another one in the order, or none;
// after none comes the first.
func (c *candidates) next(after int) int {
	return c.first(func(i int) bool { return c.usable[i] && (after == none || c.ranks[i] < c.ranks[after]) })
}

func (c *candidates) leastLoaded() int {
	best := none
	for i := range c.ready {
		if c.usable[i] && (best == none || c.loads[i] < c.loads[best]) {
			best = i
		}
	}
	return best
}

// choosePlain chooses for a request without a prompt.
func (c *candidates) choosePlain(domain state.FailureDomain, r *Request) Target {
	draw := r.Key()
	best, bestCost := none, 0.0
	for i := range c.ready {
		if !c.usable[i] {
			continue
		}
		if cost := c.plainCost(i, domain, draw); best == none || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Target{Replica: c.ready[best], Load: c.loads[best], Mean: c.mean, Coverage: c.coverage}
}

// plainCost is the load of a replica as a share of its slots, with the cost of
// another domain and the draw that breaks ties.
func (c *candidates) plainCost(i int, domain state.FailureDomain, draw uint64) float64 {
	r := &c.ready[i]
	cost := float64(c.loads[i]) / float64(max(1, r.Slots))
	if r.Domain != domain {
		cost += otherDomainCost
	}
	const draws = 256 // the rank's highest byte
	return cost + float64(coordination.Rank(draw, r.Hash)>>56)/draws*tieRange
}
