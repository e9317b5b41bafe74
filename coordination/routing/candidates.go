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

// candidates describes the ready replicas for one choice. Each slice has one element for each of
// them.
type candidates struct {
	ready       []Replica
	coldUntil   time.Time  // when the last of them becomes warm
	loads       []int      // requests
	usable      []bool     // may be chosen
	skip        replicaSet // not chosen while others may be
	overloaded  []bool     // overloaded, by their own reports
	ranks       []uint64   // in the prompt's order: the highest is the home
	usableCount int
	mean        float64 // of loads
	coverage    float64 // share of the fleet's daemons whose requests loads contain
	acceptsNew  bool    // the request's stream may begin at a new version
}

// newCandidates returns the candidates for a request. Ejected replicas may be chosen only if too few
// others are left.
func newCandidates(p *Placer, pool *Pool, v *View, s *Service, tried Tried, now time.Time) *candidates {
	return prepareCandidates(p, pool, v, s, tried, now, (*candidates).markUsable)
}

// newCandidatesDespiteEjections returns the candidates for a request to a saturated service.
func newCandidatesDespiteEjections(p *Placer, pool *Pool, v *View, s *Service, tried Tried, now time.Time) *candidates {
	return prepareCandidates(p, pool, v, s, tried, now, (*candidates).markReachable)
}

// prepareCandidates returns the candidates for a request. mark marks those that may be chosen, none
// of which is in c.skip.
func prepareCandidates(p *Placer, pool *Pool, v *View, s *Service, tried Tried, now time.Time,
	mark func(c *candidates, p *Placer, pool *Pool, tried Tried, now time.Time),
) *candidates {
	n := len(pool.Ready)
	c := &candidates{
		ready: pool.Ready, coldUntil: pool.coldUntil, loads: make([]int, n), usable: make([]bool, n), overloaded: make([]bool, n), acceptsNew: tried.AcceptsNew,
	}
	c.mean = float64(p.Loads.addTo(c.loads, pool, now)) / float64(n)
	c.coverage = p.Loads.coverage(v.Daemons, now)
	p.Overloads.markAvoided(c.overloaded, pool, v.LargeFleet, now)
	several := tried.Version != 0 && v.HasSeveralVersions(pool.Ready[0].Service)
	ineligible, terminated := pool.withOtherVersions(p.ineligible(pool, now), tried.Version, several), p.Health.terminatedReplicas(pool, now)
	c.skip = withTerminated(ineligible, terminated, n)
	mark(c, p, pool, tried, now)
	if !several && c.mayTryTerminated(terminated, s) {
		c.includeTerminated(p, pool, ineligible, terminated, now)
		c.count()
		c.excludeTried(tried)
	}
	if tried.RemoteUnreachable && c.hasUsable(v.Domain) {
		c.exclude(func(r *Replica) bool { return r.Domain != v.Domain })
	}
	return c
}

// computeRanks computes the rank of each replica for a key.
func (c *candidates) computeRanks(key uint64) {
	c.ranks = make([]uint64, len(c.ready))
	for i := range c.ready {
		c.ranks[i] = coordination.Rank(key, c.ready[i].Hash)
	}
}

// noReplica is the index that stands for "no replica".
const noReplica = -1

// firstMatching returns the highest-ranked replica that meets a condition, or noReplica. One pass
// is cheaper than sorting a large pool.
func (c *candidates) firstMatching(condition func(i int) bool) int {
	best := noReplica
	for i, r := range c.ranks {
		if (best == noReplica || r > c.ranks[best]) && condition(i) {
			best = i
		}
	}
	return best
}

// rankPosition returns how many replicas rank above the given one.
func (c *candidates) rankPosition(of int) int {
	n := 0
	for _, r := range c.ranks {
		if r > c.ranks[of] {
			n++
		}
	}
	return n
}

// hasCapacity reports whether a replica may be chosen and is not too loaded.
func (c *candidates) hasCapacity(i int) bool {
	return c.usable[i] && !c.overloaded[i] && float64(c.loads[i]) < loadBound*c.mean+loadSlack
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

// sampledHome picks the home for a request whose prompt has many homes, or noReplica if the pick
// is too loaded. It draws two homes by the request's id (power of two choices) and takes the one
// with fewer requests in flight; in a tie, the one in the daemon's own domain.
func (c *candidates) sampledHome(homes int, id RequestID, domain state.FailureDomain) int {
	order := c.firstUsable(homes)
	if len(order) == 0 {
		return noReplica
	}
	draw := xxhash.Sum64String(string(id))
	first, second := order[draw%uint64(len(order))], order[(draw>>32)%uint64(len(order))]
	isNearer := c.ready[second].Domain == domain && c.ready[first].Domain != domain
	if c.loads[second] < c.loads[first] || c.loads[second] == c.loads[first] && isNearer {
		first = second
	}
	if c.hasCapacity(first) {
		return first
	}
	return noReplica
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

// shortPromptHome applies rule 3 of place.go: it returns the home of a short prompt that takes a
// request, or noReplica if that home is too loaded.
func (c *candidates) shortPromptHome(domain state.FailureDomain, largeFleet bool) int {
	if !largeFleet {
		return c.firstMatching(func(i int) bool { return c.hasCapacity(i) && c.ready[i].Domain == domain })
	}
	if i := c.lessLoadedHome(domain); i != noReplica && c.hasCapacity(i) {
		return i
	}
	return noReplica
}

// firstNotTooLoaded applies rules 4 and 5 of place.go. It returns noReplica if every replica that
// these rules consider is too loaded.
func (c *candidates) firstNotTooLoaded(cached []location) int {
	if len(cached) > 0 {
		if i := c.firstMatching(func(i int) bool { return c.hasCapacity(i) && holdsPrompt(cached, &c.ready[i]) }); i != noReplica {
			return i
		}
	}
	return c.firstInOrder()
}

// lessLoadedHome returns the one of the two highest-ranked usable replicas with fewer requests in
// flight. In a tie it is the first, unless only the second is in the daemon's own domain.
func (c *candidates) lessLoadedHome(domain state.FailureDomain) int {
	first := c.nextUsable(noReplica)
	if first == noReplica {
		return noReplica
	}
	second := c.nextUsable(first)
	if second == noReplica || c.loads[first] < c.loads[second] {
		return first
	}
	onlySecondIsNear := c.ready[second].Domain == domain && c.ready[first].Domain != domain
	if c.loads[second] < c.loads[first] || onlySecondIsNear {
		return second
	}
	return first
}

// firstInOrder returns the first of the maxOrderTries highest-ranked usable replicas that has
// capacity, or noReplica.
func (c *candidates) firstInOrder() int {
	last := noReplica
	for range maxOrderTries {
		next := c.nextUsable(last)
		if next == noReplica || c.hasCapacity(next) {
			return next
		}
		last = next
	}
	return noReplica
}

// nextUsable returns the usable replica that follows another one in the order, or noReplica.
// nextUsable(noReplica) is the first.
func (c *candidates) nextUsable(after int) int {
	return c.firstMatching(func(i int) bool { return c.usable[i] && (after == noReplica || c.ranks[i] < c.ranks[after]) })
}

func (c *candidates) leastLoaded() int {
	best := noReplica
	for i := range c.ready {
		if c.usable[i] && (best == noReplica || c.loads[i] < c.loads[best]) {
			best = i
		}
	}
	return best
}

// choosePlain chooses a replica for a request without a prompt.
func (c *candidates) choosePlain(domain state.FailureDomain, r *Request) Target {
	draw := r.Key()
	best, bestCost := noReplica, 0.0
	for i := range c.ready {
		if !c.usable[i] {
			continue
		}
		if cost := c.plainCost(i, domain, draw); best == noReplica || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Target{
		Replica: c.ready[best], Load: c.loads[best], Mean: c.mean, Coverage: c.coverage, Least: c.leastOccupied(),
	}
}

// leastOccupied returns the smallest occupancy of a usable replica, or zero if one of them does not state its slots.
func (c *candidates) leastOccupied() Occupancy {
	least := Occupancy{Load: 1} // without slots: more than any
	for i := range c.ready {
		if !c.usable[i] {
			continue
		}
		o := Occupancy{Load: c.loads[i], Slots: c.ready[i].Slots}
		if o.Slots <= 0 {
			return Occupancy{}
		}
		if o.isLess(least) {
			least = o
		}
	}
	return least
}

// plainCost is the load of a replica as a share of its slots, plus the penalty for another domain
// and a random tie-breaker.
func (c *candidates) plainCost(i int, domain state.FailureDomain, draw uint64) float64 {
	r := &c.ready[i]
	cost := float64(c.loads[i]) / float64(max(1, r.Slots))
	if r.Domain != domain {
		cost += crossDomainPenalty
	}
	const draws = 256 // the number of values of the rank's highest byte
	return cost + float64(coordination.Rank(draw, r.Hash)>>56)/draws*tieBreakRange
}
