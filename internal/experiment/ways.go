// This file holds the routers and the ways of placement that are weighed.

package experiment

import (
	"math"
	"sort"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Way is a way of placement.
type Way string

// The ways that are weighed.
const (
	Hash       Way = "hash"    // rendezvous hashing, no bound
	Least      Way = "least"   // least load by the table and own sendings
	TwoChoices Way = "two"     // two random choices by the same
	Bounded    Way = "bounded" // first in rendezvous order below the bound by the table
	Probe      Way = "probe"   // asks the two first in rendezvous order, takes the first below the bound
	FastGate   Way = "fast"    // a gate moved by each report as it comes
	Gate       Way = "gate"    // the product: a gate moved by the mean load of some seconds
)

// Ways are all of them.
var Ways = []Way{Hash, Least, TwoChoices, Bounded, Probe, FastGate, Gate}

// router has a table of its own; entry i is about engine slot i.
type router struct {
	pool   state.Pool
	loads  []float64
	own    []float64 // sent since the last report
	ids    []string
	frozen int // until this step
	cut    int
}

type news struct {
	at, router, engine int
	id                 string
	alive              bool
	load               float64
	gate               state.Gate
}

func (r *router) learn(n news) {
	if r.ids[n.engine] != n.id {
		r.loads[n.engine], r.own[n.engine] = 0, 0
	}
	r.ids[n.engine] = n.id
	r.loads[n.engine], r.own[n.engine] = n.load, 0
	for i := range r.pool.Candidates {
		c := &r.pool.Candidates[i]
		if c.Load == state.Load(n.engine) {
			c.ID, c.Hash, c.Gate = state.UpstreamID(n.id), coordination.Hash(n.id), n.gate
			if !n.alive {
				r.pool.Candidates = append(r.pool.Candidates[:i], r.pool.Candidates[i+1:]...)
			}
			return
		}
	}
	if n.alive {
		r.pool.Candidates = append(r.pool.Candidates, state.Candidate{ID: state.UpstreamID(n.id), Hash: coordination.Hash(n.id), Gate: n.gate, Load: state.Load(n.engine)})
	}
}

func (r *router) rebuild() {
	sort.Slice(r.pool.Candidates, func(i, j int) bool { return r.pool.Candidates[i].Load < r.pool.Candidates[j].Load })
}

// choose returns an engine slot. A candidate's Load field carries the slot.
func (x *Experiment) choose(r *router, key state.ChatKey, avoid []state.UpstreamID) (int, bool) {
	cs := r.pool.Candidates
	if len(cs) == 0 {
		return 0, false
	}
	if x.way == Hash || x.way == Gate || x.way == FastGate {
		c, ok := coordination.Choose(&r.pool, key, avoid)
		if !ok {
			return 0, false
		}
		return int(c.Load), true
	}
	seen := func(i int) float64 { return r.loads[i] + r.own[i] }
	switch x.way {
	case Least:
		best := int(cs[0].Load)
		for _, c := range cs {
			if seen(int(c.Load)) < seen(best) {
				best = int(c.Load)
			}
		}
		return best, true
	case TwoChoices:
		a, b := int(cs[x.rng.IntN(len(cs))].Load), int(cs[x.rng.IntN(len(cs))].Load)
		if seen(b) < seen(a) {
			a = b
		}
		return a, true
	}
	return x.chooseRanked(r, key, seen)
}

// chooseRanked walks the rendezvous order: by the table, or by probes.
func (x *Experiment) chooseRanked(r *router, key state.ChatKey, seen func(int) float64) (int, bool) {
	mean := 0.0
	for _, c := range r.pool.Candidates {
		mean += seen(int(c.Load)) / float64(len(r.pool.Candidates))
	}
	limit := math.Max(x.Bound*mean, 2)
	var avoid []state.UpstreamID
	first := -1
	for range 6 {
		c, ok := coordination.Choose(&r.pool, key, avoid)
		if !ok {
			break
		}
		i := int(c.Load)
		load := seen(i)
		if x.way == Probe {
			x.bytes += probeBytes
			load = x.engines[i].past[0]
		}
		if load < limit {
			return i, true
		}
		if first < 0 || (x.way == Probe && load < x.engines[first].past[0]) {
			first = i
		}
		avoid = append(avoid, c.ID)
		if x.way == Probe && len(avoid) == 2 {
			break
		}
	}
	return first, first >= 0
}

// meanOf is the mean of a figure over the engines that are alive.
func (x *Experiment) meanOf(figure func(*engine) float64) float64 {
	sum, n := 0.0, 0
	for _, e := range x.engines {
		if e.alive {
			sum += figure(e)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// fastGate is the controller that stood here first: it follows each report.
func fastGate(g state.Gate, load, mean, bound float64) state.Gate {
	const target, maxCut, maxRaise = 0.92, 0.6, 1.08
	floor := float64(state.GateFull) / 32
	ratio := maxRaise
	if load > 0 {
		ratio = math.Min(math.Max(bound*mean*target, 2)/load, maxRaise)
	}
	next := float64(g) * math.Max(ratio, maxCut)
	if ratio > 1 {
		next += floor
	}
	return state.Gate(math.Min(math.Max(next, floor), float64(state.GateFull)))
}

// report publishes an engine's lagged load, and its gate by the product's
// controller, to all routers after a delay of each.
func (x *Experiment) report(e *engine, changed bool) {
	if !changed && (x.step+e.n)%reportSteps != 0 {
		return
	}
	loss := reportLoss
	if x.scene.lossy {
		loss = 0.4
	}
	if !changed && x.rng.Float64() < loss {
		return
	}
	e.known = e.past[0]
	old := e.gate
	e.smooth = coordination.SmoothLoad(e.smooth, state.Load(1000*e.past[0]))
	switch x.way {
	case FastGate:
		e.gate = fastGate(e.gate, e.known, x.meanOf(func(o *engine) float64 { return o.known }), x.Bound)
	case Gate:
		e.gate = coordination.NextGate(e.gate, e.smooth, x.meanOf(func(o *engine) float64 { return o.smooth }), x.Bound)
	}
	worth := (x.way != Gate && x.way != FastGate) || changed || math.Abs(float64(e.gate)-float64(old)) > float64(state.GateFull/32)
	if worth {
		x.bytes += reportBytes * float64(len(x.routers))
	}
	for i := range x.routers {
		delay := 10 + x.rng.IntN(30)
		if x.scene.differ && changed {
			delay = x.rng.IntN(100)
		}
		at := x.step + delay
		x.news[at] = append(x.news[at], news{at, i, e.n, e.id, e.alive, e.past[0], e.gate})
	}
}
