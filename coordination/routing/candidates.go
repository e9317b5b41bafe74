// The state of one choice: the ready replicas of a pool with their loads and their order for the
// prompt. place.go has the placement rules, usable.go decides which replicas may be chosen.

package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// candidates is the ready replicas as of one choice. Each slice has one element for each replica.
type candidates struct {
	ready       []Replica
	coldUntil   time.Time  // when the last of them becomes warm
	loads       []int      // requests
	usable      []bool     // may be chosen
	skip        replicaSet // not chosen while others may be
	crowded     []bool     // overloaded, by their own reports
	ranks       []uint64   // in the prompt's order: the highest is the home
	usableCount int
	mean        float64 // of loads
	coverage    float64 // share of the fleet's daemons whose requests loads contain
}

func newCandidates(p *Placer, pool *Pool, v *View, s *Service, tried Tried, now time.Time) *candidates {
	n := len(pool.Ready)
	c := &candidates{ready: pool.Ready, coldUntil: pool.coldUntil, loads: make([]int, n), usable: make([]bool, n), crowded: make([]bool, n)}
	c.mean = float64(p.Loads.addTo(c.loads, pool, now)) / float64(n)
	c.coverage = p.Loads.coverage(v.Daemons, now)
	p.Crowds.mark(c.crowded, pool, v.LargeFleet, now)
	ineligible, terminated := p.ineligible(pool, now), p.Health.terminatedReplicas(pool, now)
	c.skip = withTerminated(ineligible, terminated, n)
	c.markUsable(p, pool, tried, now)
	if c.mayTryTerminated(terminated, s) {
		c.includeTerminated(p, pool, ineligible, terminated, now)
		c.count()
		c.excludeTried(tried)
	}
	if tried.BeyondReach && c.hasUsable(v.Domain) {
		c.exclude(func(r *Replica) bool { return r.Domain != v.Domain })
	}
	return c
}

// order computes the rank of each replica for a key.
func (c *candidates) order(key uint64) {
	c.ranks = make([]uint64, len(c.ready))
	for i := range c.ready {
		c.ranks[i] = coordination.Rank(key, c.ready[i].Hash)
	}
}

// none is the index that stands for "no replica".
const none = -1

// first returns the highest-ranked replica that meets a condition, or none. One pass is cheaper
// than sorting a large pool.
func (c *candidates) first(condition func(i int) bool) int {
	best := none
	for i, r := range c.ranks {
		if (best == none || r > c.ranks[best]) && condition(i) {
			best = i
		}
	}
	return best
}

// place returns how many replicas rank above the given one.
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

// baseHomes returns how many homes a prompt has whose request rate is normal.
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

// drawnHome picks the home for a request whose prompt has many homes, or none if the pick is too
// loaded. It draws two homes by the request's id (power of two choices) and takes the one with
// fewer requests in flight; in a tie, the one in the daemon's own domain.
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

// firstUsable returns the n highest-ranked usable replicas, or all usable ones if there are
// fewer.
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

// homeOfShort applies rule 3 of place.go: it returns the home of a short prompt that takes a
// request, or none if that home is too loaded.
func (c *candidates) homeOfShort(domain state.FailureDomain, largeFleet bool) int {
	if !largeFleet {
		return c.first(func(i int) bool { return c.fits(i) && c.ready[i].Domain == domain })
	}
	if i := c.lessLoadedHome(domain); i != none && c.fits(i) {
		return i
	}
	return none
}

// firstNotTooLoaded applies rules 4 and 5 of place.go. It returns none if every replica that
// these rules consider is too loaded.
func (c *candidates) firstNotTooLoaded(cached []location) int {
	if len(cached) > 0 {
		if i := c.first(func(i int) bool { return c.fits(i) && holdsPrompt(cached, &c.ready[i]) }); i != none {
			return i
		}
	}
	return c.firstOfOrder()
}

// lessLoadedHome returns the one of the two highest-ranked usable replicas with fewer requests in
// flight. In a tie it is the first, unless only the second is in the daemon's own domain.
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

// firstOfOrder returns the first of the orderTries highest-ranked usable replicas that fits, or
// none.
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

// next returns the usable replica that follows another one in the order, or none. next(none) is
// the first.
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

// choosePlain chooses a replica for a request without a prompt.
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

// plainCost is the load of a replica as a share of its slots, plus the penalty for another domain
// and a random tie-breaker.
func (c *candidates) plainCost(i int, domain state.FailureDomain, draw uint64) float64 {
	r := &c.ready[i]
	cost := float64(c.loads[i]) / float64(max(1, r.Slots))
	if r.Domain != domain {
		cost += otherDomainCost
	}
	const draws = 256 // the number of values of the rank's highest byte
	return cost + float64(coordination.Rank(draw, r.Hash)>>56)/draws*tieRange
}
