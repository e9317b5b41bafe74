// This file chooses the replica of a request.
//
// Requests that share a prompt go to the prompt's home in the daemon's own domain,
// so that it is read once. A home that holds much more than the mean is passed by
// in favour of the next in the prompt's own order, which is the same in every
// daemon; the prompt is then copied from a replica that holds it rather than read
// again. Plain requests go to the
// replica with the fewest requests for its slots, near ones first.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// PlacementRule holds the figures of placement.
type PlacementRule struct {
	// Bound is the multiple of the service's mean load from which a home is
	// passed by, and Slack the number of requests that is always allowed above
	// the mean.
	Bound float64
	Slack float64
	// FarCost is how many of its slots a plain replica of another domain must have
	// free, beyond a near one, to be chosen; a share of the slots.
	FarCost float64
	// NearTokens is the number of shared tokens up to which each domain has its own
	// home for a prompt: its requests go to replicas of the daemon's own domain
	// first, and the prompt is copied there once. Longer prompts have one home for
	// all domains, since their copies cost more than the way.
	NearTokens int
	// HoldersFirst prefers replicas that hold the prompt to those that rank above
	// them.
	HoldersFirst bool
	// CopyTokens is the number of shared tokens from which a copy is worth its
	// price.
	CopyTokens int
}

// DefaultPlacementRule returns the figures that docs/design/users-platform.md
// weighs.
func DefaultPlacementRule() PlacementRule {
	return PlacementRule{Bound: 1.6, Slack: 2, FarCost: 0.34, NearTokens: 3000, HoldersFirst: true, CopyTokens: 256}
}

// Target is a chosen replica.
type Target struct {
	Replica Replica
	// Source is the replica that the prompt should be copied from; its address
	// is empty if there is none.
	Source Replica
	// Rank is the place of the replica in the prompt's order; 0 is the home.
	Rank int
	// Load and Mean are the inputs of the choice.
	Load int
	Mean float64
}

// Placer chooses replicas. It is safe for use by many goroutines.
type Placer struct {
	Rule   PlacementRule
	Loads  *Loads
	Health *Health
	// Holders may be nil; then nothing is copied.
	Holders *Holders
}

// Choose returns the target of a request among the ready replicas of its
// service, none of which is in tried. It returns false if there is none.
func (p *Placer) Choose(v *View, r *Request, tried []ReplicaID, now time.Time) (Target, bool) {
	pool := v.Pool(r.Service).sorted()
	if len(pool.Ready) == 0 {
		return Target{}, false
	}
	c := newCandidates(p, pool, tried, now)
	if c.allowed == 0 {
		return Target{}, false
	}
	service, _ := v.Table.Service(r.Service)
	if service != nil && service.Generates && len(r.Prompt) > 0 {
		return p.chooseHome(c, pool, v.Domain, r, service, now), true
	}
	return p.chooseLeastLoaded(c, v.Domain, r), true
}

// candidates is the state of the ready replicas at the time of one choice.
type candidates struct {
	ready   []Replica
	loads   []int
	open    []bool   // may be chosen
	ranks   []uint64 // place in the prompt's order: the highest is the home
	allowed int
	mean    float64
}

func newCandidates(p *Placer, pool *Pool, tried []ReplicaID, now time.Time) *candidates {
	n := len(pool.Ready)
	c := &candidates{ready: pool.Ready, loads: make([]int, n), open: make([]bool, n)}
	c.mean = float64(p.Loads.fill(pool, c.loads)) / float64(n)
	p.Health.fill(pool, now, c.open)
	c.count(tried)
	if c.allowed == 0 {
		for i := range c.open {
			c.open[i] = true
		}
		c.count(tried)
	}
	return c
}

// rank makes the order of a key.
func (c *candidates) rank(key uint64) {
	c.ranks = make([]uint64, len(c.ready))
	for i := range c.ready {
		c.ranks[i] = coordination.Rank(key, c.ready[i].Hash)
	}
}

// none is the place of no replica.
const none = -1

// first returns the replica that ranks first among those that meet a condition,
// or none.
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

// count closes the replicas that were tried and counts the open ones.
func (c *candidates) count(tried []ReplicaID) {
	c.allowed = 0
	for i := range c.ready {
		if c.open[i] && slices.Contains(tried, c.ready[i].ID) {
			c.open[i] = false
		}
		if c.open[i] {
			c.allowed++
		}
	}
}

// spillTries is how many replicas of a prompt's order are asked before the
// least loaded one is taken.
const spillTries = 4

func (p *Placer) chooseHome(c *candidates, pool *Pool, domain state.FailureDomain, r *Request, s *Service, now time.Time) Target {
	key := r.Key()
	held := p.Holders.of(key, now)
	c.rank(key)
	near := r.SharedTokens() <= p.Rule.NearTokens
	chosen := p.firstBelowLimit(c, near, domain, held)
	if chosen == none {
		chosen = c.leastLoaded()
	}
	t := Target{Replica: c.ready[chosen], Rank: c.place(chosen), Load: c.loads[chosen], Mean: c.mean}
	if s.CopiesPrompts && r.SharedTokens() >= p.Rule.CopyTokens && !holds(held, &t.Replica) {
		t.Source = p.source(&t, held, pool, now)
		if t.Source.ID == "" {
			t.Source = p.likelySource(c, chosen, near, now)
		}
	}
	return t
}

// likelySource guesses who holds a prompt of which nobody has told: the replica
// that ranks first above the target, and for a prompt with a home in each domain,
// the best home of another domain. A wrong guess costs a copy that finds nothing.
func (p *Placer) likelySource(c *candidates, target int, near bool, now time.Time) Replica {
	domain := c.ready[target].Domain
	likely := c.first(func(i int) bool {
		above := c.ranks[i] > c.ranks[target]
		elsewhere := near && c.ready[i].Domain != domain
		return i != target && (above || elsewhere) && p.Health.Reachable(&c.ready[i], now)
	})
	if likely == none {
		return Replica{}
	}
	return c.ready[likely]
}

// firstBelowLimit returns the replica to take, or none if all that may be asked
// hold too much. Near replicas come first where the rule says so, then those that
// hold the prompt, then the rest.
func (p *Placer) firstBelowLimit(c *candidates, near bool, domain state.FailureDomain, held []holder) int {
	limit := p.Rule.Bound*c.mean + p.Rule.Slack
	below := func(i int) bool { return c.open[i] && float64(c.loads[i]) < limit }
	if near {
		if i := c.first(func(i int) bool { return below(i) && c.ready[i].Domain == domain }); i != none {
			return i
		}
	}
	if p.Rule.HoldersFirst && len(held) > 0 {
		if i := c.first(func(i int) bool { return below(i) && holds(held, &c.ready[i]) }); i != none {
			return i
		}
	}
	return c.spill(below)
}

// spill asks the open replicas in the prompt's order, a few of them, and returns
// the first that is below the limit, or none.
func (c *candidates) spill(below func(i int) bool) int {
	last := none
	for range spillTries {
		next := c.first(func(i int) bool { return c.open[i] && (last == none || c.ranks[i] < c.ranks[last]) })
		if next == none || below(next) {
			return next
		}
		last = next
	}
	return none
}

func holds(held []holder, r *Replica) bool {
	return slices.ContainsFunc(held, func(h holder) bool { return h.replica == r.LoadKey() })
}

// source returns a replica that holds the prompt and can be reached: a near one
// if there is one, else the one that read it last.
func (p *Placer) source(t *Target, held []holder, pool *Pool, now time.Time) Replica {
	var best *Replica
	var bestUsed time.Time
	for _, list := range [][]Replica{pool.Ready, pool.Leaving, pool.Vanished} {
		for i := range list {
			r := &list[i]
			at := slices.IndexFunc(held, func(h holder) bool { return h.replica == r.LoadKey() })
			if at < 0 || r.ID == t.Replica.ID || !p.Health.Reachable(r, now) {
				continue
			}
			used := held[at].used
			nearer := best != nil && (r.Domain == t.Replica.Domain) != (best.Domain == t.Replica.Domain)
			if best == nil || (nearer && r.Domain == t.Replica.Domain) || (!nearer && used.After(bestUsed)) {
				best, bestUsed = r, used
			}
		}
	}
	if best == nil {
		return Replica{}
	}
	return *best
}

func (c *candidates) leastLoaded() int {
	best := none
	for i := range c.ready {
		if c.open[i] && (best == none || c.loads[i] < c.loads[best]) {
			best = i
		}
	}
	return best
}

func (p *Placer) chooseLeastLoaded(c *candidates, domain state.FailureDomain, r *Request) Target {
	draw := r.Key()
	best, bestCost := none, 0.0
	for i := range c.ready {
		if !c.open[i] {
			continue
		}
		replica := &c.ready[i]
		cost := float64(c.loads[i]) / float64(max(1, replica.Slots))
		if replica.Domain != domain {
			cost += p.Rule.FarCost
		}
		// Ties are broken by a draw, or every daemon would send to the same one.
		cost += float64(coordination.Rank(draw, replica.Hash)>>56) / 256 / 16
		if best == none || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Target{Replica: c.ready[best], Load: c.loads[best], Mean: c.mean}
}
