// This file chooses the replica of a request.
//
// Requests that share a prompt go to the prompt's home in the daemon's own zone,
// so that it is read once. A home that holds much more than the mean is passed by
// in favour of the next in the prompt's own order, which is the same in every
// daemon; the prompt is then copied from a replica that holds it rather than read
// again. Plain requests go to the
// replica with the fewest requests for its slots, near ones first.

package routing

import (
	"slices"
	"time"
)

// PlacementRule holds the figures of placement.
type PlacementRule struct {
	// Bound is the multiple of the service's mean load from which a home is
	// passed by, and Slack the number of requests that is always allowed above
	// the mean.
	Bound float64
	Slack float64
	// FarCost is how many of its slots a plain replica of another zone must have
	// free, beyond a near one, to be chosen; a share of the slots.
	FarCost float64
	// NearTokens is the number of shared tokens up to which each zone has its own
	// home for a prompt: its requests go to replicas of the daemon's own zone
	// first, and the prompt is copied there once. Longer prompts have one home for
	// all zones, since their copies cost more than the way.
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
	pool := v.Pool(r.Service)
	if len(pool.Ready) == 0 {
		return Target{}, false
	}
	c := newCandidates(p, pool.Ready, tried, now)
	if c.allowed == 0 {
		return Target{}, false
	}
	service, _ := v.Table.Service(r.Service)
	if service != nil && service.Generates && len(r.Prompt) > 0 {
		return p.chooseHome(c, pool, v.Zone, r, service, now), true
	}
	return p.chooseLeastLoaded(c, v.Zone, r), true
}

// candidates is the state of the ready replicas at the time of one choice.
type candidates struct {
	ready   []Replica
	loads   []int
	open    []bool // may be chosen
	allowed int
	mean    float64
}

func newCandidates(p *Placer, ready []Replica, tried []ReplicaID, now time.Time) *candidates {
	c := &candidates{ready: ready, loads: make([]int, len(ready)), open: make([]bool, len(ready))}
	total := p.Loads.fill(ready, c.loads)
	c.mean = float64(total) / float64(len(ready))
	p.Health.fill(ready, now, c.open)
	c.count(tried)
	if c.allowed == 0 {
		for i := range c.open {
			c.open[i] = true
		}
		c.count(tried)
	}
	return c
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

func (p *Placer) chooseHome(c *candidates, pool *Pool, zone string, r *Request, s *Service, now time.Time) Target {
	key := r.Key()
	held := p.Holders.of(key, now)
	order := rankedOrder(key, c.ready)
	near := r.SharedTokens() <= p.Rule.NearTokens
	at := p.firstBelowLimit(c, order, near, zone, held)
	if at < 0 {
		at = slices.Index(order, c.leastLoaded())
	}
	chosen := order[at]
	t := Target{Replica: c.ready[chosen], Rank: at, Load: c.loads[chosen], Mean: c.mean}
	if s.CopiesPrompts && r.SharedTokens() >= p.Rule.CopyTokens && !holds(held, &t.Replica) {
		t.Source = p.source(&t, held, pool, now)
		if t.Source.ID == "" {
			t.Source = p.likelySource(c, order, at, near, now)
		}
	}
	return t
}

// likelySource guesses who holds a prompt of which nobody has told: the replica
// that ranks above the target, and for a prompt with a home in each zone, the
// best home of another zone. A wrong guess costs a copy that finds nothing.
func (p *Placer) likelySource(c *candidates, order []int, at int, near bool, now time.Time) Replica {
	target := &c.ready[order[at]]
	for place, i := range order {
		r := &c.ready[i]
		above := place < at
		elsewhere := near && r.Zone != target.Zone
		if i != order[at] && (above || elsewhere) && p.Health.Reachable(r, now) {
			return *r
		}
	}
	return Replica{}
}

// firstBelowLimit returns the place in the order of the replica to take, or -1
// if all that may be asked hold too much. Near replicas come first where the
// rule says so, then those that hold the prompt, then the rest.
func (p *Placer) firstBelowLimit(c *candidates, order []int, near bool, zone string, held []holder) int {
	limit := p.Rule.Bound*c.mean + p.Rule.Slack
	below := func(i int) bool { return c.open[i] && float64(c.loads[i]) < limit }
	if near {
		for place, i := range order {
			if c.ready[i].Zone == zone && below(i) {
				return place
			}
		}
	}
	if p.Rule.HoldersFirst {
		for place, i := range order {
			if below(i) && holds(held, &c.ready[i]) {
				return place
			}
		}
	}
	tries := 0
	for place, i := range order {
		if !c.open[i] {
			continue
		}
		if below(i) {
			return place
		}
		if tries++; tries >= spillTries {
			break
		}
	}
	return -1
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
			nearer := best != nil && (r.Zone == t.Replica.Zone) != (best.Zone == t.Replica.Zone)
			if best == nil || (nearer && r.Zone == t.Replica.Zone) || (!nearer && used.After(bestUsed)) {
				best, bestUsed = r, used
			}
		}
	}
	if best == nil {
		return Replica{}
	}
	return *best
}

// rankedOrder returns the indexes of the replicas in the key's order.
func rankedOrder(key uint64, replicas []Replica) []int {
	ranks := make([]uint64, len(replicas))
	order := make([]int, len(replicas))
	for i := range replicas {
		ranks[i], order[i] = rank(key, &replicas[i]), i
	}
	slices.SortFunc(order, func(a, b int) int {
		if ranks[a] > ranks[b] {
			return -1
		}
		return 1
	})
	return order
}

func (c *candidates) leastLoaded() int {
	best := -1
	for i := range c.ready {
		if c.open[i] && (best < 0 || c.loads[i] < c.loads[best]) {
			best = i
		}
	}
	return best
}

func (p *Placer) chooseLeastLoaded(c *candidates, zone string, r *Request) Target {
	draw := r.Key()
	best, bestCost := -1, 0.0
	for i := range c.ready {
		if !c.open[i] {
			continue
		}
		replica := &c.ready[i]
		cost := float64(c.loads[i]) / float64(max(1, replica.Slots))
		if replica.Zone != zone {
			cost += p.Rule.FarCost
		}
		// Ties are broken by a draw, or every daemon would send to the same one.
		cost += float64(rank(draw, replica)>>56) / 256 / 16
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Target{Replica: c.ready[best], Load: c.loads[best], Mean: c.mean}
}
