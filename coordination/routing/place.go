// This file decides which replica takes a request.
//
// Inputs: the ready replicas of the service, how many requests each holds ([Loads]),
// which may be chosen ([Health]), where the prompt is cached ([CacheTable]), and the
// replicas that the request was sent to before.
//
// A request with a prompt, at a service that caches prompts:
//
//  1. Replicas are ordered by rendezvous hashing of the shared parts of the prompt,
//     alike in every daemon. The first is the prompt's home.
//  2. A replica is too loaded if it holds more than loadBound times the service's
//     mean plus loadSlack requests, or is crowded (crowd.go).
//  3. A prompt of up to shortPromptTokens shared tokens has several homes. In a small
//     fleet these are the first of the order in each failure domain, and that of the
//     daemon's own domain takes it if it is not too loaded. In a large fleet they are
//     the first two of the order: the one that holds fewer requests takes it if it is
//     not too loaded; of two that hold as many, the one in the daemon's own domain, or
//     else the first. A prompt that needs more homes than others of its size, long or
//     short, has the first of the order (crowd.go): of two drawn by the request's id the
//     one that holds fewer requests takes it if it is not too loaded.
//  4. Else the first that holds the prompt and is not too loaded takes it.
//  5. Else the first of orderTries in the order that is not too loaded.
//  6. Else the one that holds the fewest requests.
//  7. A target that does not hold the prompt copies it from one that does, if it has
//     at least copyTokens shared tokens: a copy costs about a tenth of reading the
//     prompt again.
//
// A plain request goes to the replica that holds the fewest requests for its slots;
// one of another failure domain must have otherDomainCost of its slots more free.
//
// Replicas that the request was sent to before are left out, and those that may not
// be chosen too, unless nothing is left; evacuated ones always (evacuate.go), and cold ones
// while enough others are warm (cold.go). After a replica of another domain could not
// be reached, one of the own domain is chosen if there is one.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

const (
	// loadBound (a multiple of the mean) and loadSlack (requests).
	loadBound = 1.6
	loadSlack = 2
	// shortPromptTokens is in shared tokens. Longer prompts have one home, since a copy of them costs
	// more than it evens out. In a small fleet each daemon knows all loads and cache locations: there
	// a home in each domain serves more, by requests that need not cross a cut. In a large one few
	// locations are known: of two homes for all domains each is copied from the other.
	shortPromptTokens = 3000
	// shortHomes is how many homes a short prompt has in a large fleet.
	shortHomes = 2
	// copyTokens is in shared tokens. Reading 10,000 tokens takes a replica some 70 ms, copying them
	// 3.
	copyTokens = 256
	// otherDomainCost is a share of a replica's slots.
	otherDomainCost = 0.34
	// orderTries bounds the cost of a choice in a large pool.
	orderTries = 4
	// tieRange is the share of a replica's slots below which plain replicas count as
	// equally loaded. A draw decides between them, or every daemon would send to
	// the same one.
	tieRange = 1.0 / 16
)

// Target is a chosen replica.
type Target struct {
	Replica Replica
	// Source is the replica that the prompt should be copied from; its address
	// is empty if there is none.
	Source Replica
	// Rank is the place of the replica in the prompt's order; 0 is the home.
	Rank int
	// Load and Mean are the inputs of the choice, in requests.
	Load int
	Mean float64
	// Coverage is the share of the fleet's daemons whose requests Load and Mean contain.
	Coverage float64
	// expected means that the replica is one of several homes of the prompt.
	expected bool
	homes    int // of the prompt
	replicas int // of the service that were ready
}

// Placer chooses replicas. It is safe for use by many goroutines.
type Placer struct {
	Loads    *Loads
	Health   *Health
	Cache    *CacheTable  // nil: nothing is known to be cached
	Crowds   *Crowds      // nil: no replica is crowded
	Cold     *ColdLimiter // nil: cold replicas get as much as warm ones
	Backoffs *Backoffs    // nil: no replica rests
	// Departures are nil where no replica leaves by its own word.
	Departures *Departures
}

// Choose returns the target of a request among the ready replicas of its
// service, none of which was tried. It returns false if there is none that can be
// reached.
func (p *Placer) Choose(v *View, r *Request, tried Tried, now time.Time) (Target, bool) {
	pool := v.Pool(r.Service).sorted()
	if len(pool.Ready) == 0 {
		return Target{}, false
	}
	service, _ := v.Table.Service(r.Service)
	c := newCandidates(p, pool, v, service, tried, now)
	if t, ok := p.takeUsable(c, pool, v, r, service, now); ok {
		return t, true
	}
	// Cold ones that get nothing are none: an ejected replica is better.
	c.ignoreEjections(p, pool, tried, now)
	return p.takeUsable(c, pool, v, r, service, now)
}

// takeUsable chooses among the usable candidates, of which cold ones take what they may.
func (p *Placer) takeUsable(c *candidates, pool *Pool, v *View, r *Request, s *Service, now time.Time) (Target, bool) {
	c.excludeCold(p.Cold, s, now)
	for c.usableCount > 0 {
		t := p.chooseUsable(c, pool, v, r, s, now)
		if p.Cold.reserve(&t.Replica, s, now) {
			return t, true
		}
		c.exclude(func(r *Replica) bool { return r.ID == t.Replica.ID })
	}
	return Target{}, false
}

// chooseUsable chooses among the usable candidates, of which there is at least one.
func (p *Placer) chooseUsable(c *candidates, pool *Pool, v *View, r *Request, s *Service, now time.Time) Target {
	if s != nil && s.Generates && len(r.Prompt) > 0 {
		return p.choosePrompt(c, pool, v, r, s, now)
	}
	return c.choosePlain(v.Domain, r)
}

// choosePrompt chooses for a request with a prompt.
func (p *Placer) choosePrompt(c *candidates, pool *Pool, v *View, r *Request, s *Service, now time.Time) Target {
	key := r.Key()
	cached := p.Cache.locations(key, now)
	c.order(key)
	short := r.SharedTokens() <= shortPromptTokens
	base := c.baseHomes(short, v.LargeFleet)
	homes := p.Crowds.homes(key, base, now)
	if !short && homes == base {
		clear(c.crowded) // rule 2 of crowd.go
	}
	chosen := none
	switch {
	case homes > base:
		chosen = c.drawnHome(homes, r.ID, v.Domain)
	case short:
		chosen = c.homeOfShort(v.Domain, v.LargeFleet)
	}
	if chosen == none {
		chosen = c.firstNotTooLoaded(cached)
	}
	if chosen == none {
		chosen = c.leastLoaded()
	}
	t := Target{Replica: c.ready[chosen], Rank: c.place(chosen), Load: c.loads[chosen], Mean: c.mean, Coverage: c.coverage}
	t.homes, t.replicas = homes, len(c.ready)
	t.expected = v.LargeFleet && homes > 1 && t.Rank < homes
	if s.CopiesPrompts && r.SharedTokens() >= copyTokens && !holdsPrompt(cached, &t.Replica) {
		t.Source = p.source(&t, cached, pool, now)
		if t.Source.ID == "" {
			t.Source = p.likelySource(c, key, &t.Replica, pool, now)
		}
	}
	return t
}

// source returns a replica that holds the prompt and can be reached: one of the
// target's domain if there is one, else the one that was used last.
func (p *Placer) source(t *Target, cached []location, pool *Pool, now time.Time) Replica {
	var best *Replica
	var bestUsed time.Time
	for _, l := range cached {
		r := pool.holder(l.replica)
		if r == nil || r.ID == t.Replica.ID || !p.Health.Reachable(r, now) {
			continue
		}
		if best == nil || betterSource(r, best, t.Replica.Domain, l.used.After(bestUsed)) {
			best, bestUsed = r, l.used
		}
	}
	if best == nil {
		return Replica{}
	}
	return *best
}

// betterSource reports whether a source is better than another: it stands in the
// target's domain and the other does not, or both or none do and it was used later.
func betterSource(r, than *Replica, domain state.FailureDomain, usedLater bool) bool {
	near, otherNear := r.Domain == domain, than.Domain == domain
	if near != otherNear {
		return near
	}
	return usedLater
}

// likelySource guesses who holds a prompt that nobody has announced: the replica that
// ranks first besides the target, draining and evacuated ones counted. That is the other home, or the
// home from before the target joined or before the former home began to leave. A wrong
// guess costs a copy that finds nothing.
func (p *Placer) likelySource(c *candidates, key uint64, target *Replica, pool *Pool, now time.Time) Replica {
	var best *Replica
	var bestRank uint64
	consider := func(r *Replica, rank uint64) {
		isBetter := best == nil || rank > bestRank
		if isBetter && r.ID != target.ID && p.Health.Reachable(r, now) {
			best, bestRank = r, rank
		}
	}
	for i := range c.ready {
		consider(&c.ready[i], c.ranks[i])
	}
	for _, list := range [][]Replica{pool.Draining, pool.Evacuated} {
		for i := range list {
			consider(&list[i], coordination.Rank(key, list[i].Hash))
		}
	}
	if best == nil {
		return Replica{}
	}
	return *best
}

// ReportLoad notes how many requests the target of a request held when it arrived there, by
// the target's own report. It returns true if the target was crowded.
func (p *Placer) ReportLoad(r *Request, t *Target, held int, now time.Time) bool {
	return p.Crowds.reportLoad(r, t, held, now)
}

// RecordRead notes that the target of a request has read its prompt. Peers are not sent that one
// of several homes holds it, since they try these first anyway.
func (p *Placer) RecordRead(r *Request, t *Target, now time.Time) {
	p.Cache.Record(r.Key(), r.SharedTokens(), t.Replica.LoadKey(), !t.expected, now)
}

func holdsPrompt(cached []location, r *Replica) bool {
	return slices.ContainsFunc(cached, func(l location) bool { return l.replica == r.LoadKey() })
}
