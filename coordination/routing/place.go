// Placement: which replica gets a request.
//
// The inputs are the ready replicas of the service, how many requests each has in flight
// ([Loads]), which of them may be chosen ([Health]), where the prompt is cached ([CacheTable]),
// and which replicas the request was already sent to.
//
// For a request with a prompt, at a service that caches prompts:
//
//  1. Replicas are ordered by rendezvous hashing of the shared parts of the prompt. All daemons
//     compute the same order. The first replica is the prompt's home, which requests with this
//     prompt prefer so that they find it in the cache. A prompt may have several homes (rule 3).
//  2. A replica is too loaded if it has more requests in flight than loadBound times the
//     service's mean plus loadSlack, or if it is overloaded by its own report (overload.go).
//  3. A prompt of up to shortPromptTokens shared tokens has several homes. In a small fleet these
//     are the first replica of the order in each failure domain, and the one in the daemon's own
//     domain gets the request if it is not too loaded. In a large fleet they are the first two of
//     the order: the one with fewer requests in flight gets the request if it is not too loaded;
//     in a tie it is the one in the daemon's own domain, or else the first. A prompt of any
//     length that needs more homes than the usual number has the first replicas of the order as
//     homes (overload.go). Two of these are drawn by the request's id, and the one with fewer
//     requests in flight gets the request if it is not too loaded.
//  4. Otherwise the first replica that holds the prompt and is not too loaded gets the request.
//  5. Otherwise the first of the leading maxOrderTries replicas of the order that is not too
//     loaded.
//  6. Otherwise the replica with the fewest requests in flight.
//  7. A target that does not hold the prompt copies it from a replica that does, if the prompt
//     has at least copyTokens shared tokens: copying takes about a tenth of the time of reading
//     the prompt again.
//
// A plain request goes to the replica with the fewest requests in flight relative to its slots. A
// replica in another failure domain is chosen only if the share of its slots that is free is
// larger by more than crossDomainPenalty.
//
// Replicas that the request was already sent to are excluded, and so are those that may not be
// chosen, unless no others are left. Evacuated replicas are always excluded (evacuate.go), and
// cold ones while enough others are warm (cold.go). Streams avoid replicas of versions that have just
// joined the service (establishment.go). After a replica of another domain was
// unreachable, one of the daemon's own domain is chosen if there is one.

package routing

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

const (
	// loadBound is a multiple of the mean, and loadSlack a number of requests.
	loadBound = 1.6
	loadSlack = 2
	// shortPromptTokens is a number of shared tokens. Longer prompts have one home, since copying
	// them costs more than balancing the load gains. In a small fleet each daemon knows all loads
	// and cache locations, and one home in each domain serves more requests, since they need not
	// cross a network partition. In a large fleet a daemon knows few locations; with two homes
	// for all domains, each can be copied from the other.
	shortPromptTokens = 3000
	// shortHomes is how many homes a short prompt has in a large fleet.
	shortHomes = 2
	// copyTokens is a number of shared tokens. A replica takes some 70 ms to read 10,000 tokens
	// and 3 ms to copy them.
	copyTokens = 256
	// crossDomainPenalty is the penalty for a replica in another failure domain, as a share of its
	// slots.
	crossDomainPenalty = 0.34
	// maxOrderTries is how many replicas of the order rule 5 considers. It bounds the cost of a
	// choice in a large pool.
	maxOrderTries = 4
	// tieBreakRange is the share of a replica's slots within which plain replicas count as equally
	// loaded. A random draw decides between them; otherwise every daemon would choose the same
	// one.
	tieBreakRange = 1.0 / 16
)

// Target is a chosen replica.
type Target struct {
	Replica Replica
	// Source is the replica that the prompt should be copied from; its address is empty if there
	// is none.
	Source Replica
	// Rank is the position of the replica in the prompt's order; 0 is the home.
	Rank int
	// Load and Mean are the inputs of the choice, in requests.
	Load int
	Mean float64
	// Coverage is the share of the fleet's daemons whose requests Load and Mean contain.
	Coverage float64
	// Least is the least loaded one of the replicas that might have been chosen for a plain request, relative to its
	// slots; zero if one of them does not state its slots.
	Least Occupancy
	// NewVersion means that a stream is to begin at a version that is not established, since no other replica is usable.
	NewVersion bool
	// expected means that the replica is one of several homes of the prompt, where other daemons
	// look for it without an announcement.
	expected bool
	homes    int // number of homes of the prompt
	replicas int // number of ready replicas of the service
}

// Occupancy is the estimated load of a replica and its slots.
type Occupancy struct{ Load, Slots int }

// isLess reports whether a smaller share of the slots is used than of another's.
func (o Occupancy) isLess(than Occupancy) bool { return o.Load*than.Slots < than.Load*o.Slots }

// Placer chooses replicas. It is safe for concurrent use.
type Placer struct {
	Loads     *Loads
	Health    *Health
	Cache     *CacheTable      // nil: no cache locations are known
	Overloads *Overloads       // nil: no replica is overloaded
	Cold      *ColdLimiter     // nil: cold replicas are not limited
	Backoffs  *Backoffs        // nil: no replica has requested a backoff
	Brittle   *BrittleServices // nil: no service is brittle
	// Departures is nil where replicas don't announce their departure in responses.
	Departures *Departures
}

// Choose returns the target of a request among the ready replicas of its service that were not
// tried before. It returns false if no replica can be chosen.
func (p *Placer) Choose(v *View, r *Request, tried Tried, now time.Time) (Target, bool) {
	pool := v.Pool(r.Service).sorted()
	if len(pool.Ready) == 0 {
		return Target{}, false
	}
	service, _ := v.Table.Service(r.Service)
	c := newCandidates(p, pool, v, service, tried, now)
	newVersions := v.newFor(r, tried)
	if t, ok := p.takeEstablished(c, pool, v, r, service, newVersions, now); ok {
		return t, true
	}
	// Cold replicas that are at their limit are not candidates: an ejected replica is better than
	// none.
	c.ignoreEjections(p, pool, tried, now)
	return p.takeEstablished(c, pool, v, r, service, newVersions, now)
}

// takeUsable chooses among the usable candidates and counts the request at the target if that is
// cold. Cold replicas that are at their limit are skipped.
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

// chooseUsable chooses among the usable candidates. There must be at least one.
func (p *Placer) chooseUsable(c *candidates, pool *Pool, v *View, r *Request, s *Service, now time.Time) Target {
	if s != nil && s.Generates && len(r.Prompt) > 0 {
		return p.choosePrompt(c, pool, v, r, s, now)
	}
	return c.choosePlain(v.Domain, r)
}

// choosePrompt chooses a replica for a request with a prompt.
func (p *Placer) choosePrompt(c *candidates, pool *Pool, v *View, r *Request, s *Service, now time.Time) Target {
	key := r.Key()
	cached := p.Cache.locations(key, now)
	c.computeRanks(key)
	short := r.SharedTokens() <= shortPromptTokens
	base := c.baseHomes(short, v.LargeFleet)
	homes := p.Overloads.homes(key, base, now)
	if !short && homes == base {
		clear(c.overloaded) // rule 2 of overload.go
	}
	chosen := noReplica
	switch {
	case homes > base:
		chosen = c.sampledHome(homes, r.ID, v.Domain)
	case short:
		chosen = c.shortPromptHome(v.Domain, v.LargeFleet)
	}
	if chosen == noReplica {
		chosen = c.firstNotTooLoaded(cached)
	}
	if chosen == noReplica {
		chosen = c.leastLoaded()
	}
	t := Target{Replica: c.ready[chosen], Rank: c.rankPosition(chosen), Load: c.loads[chosen], Mean: c.mean, Coverage: c.coverage}
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

// source returns a reachable replica to copy the prompt from: one of the target's domain if there
// is one, otherwise the most recently used.
func (p *Placer) source(t *Target, cached []location, pool *Pool, now time.Time) Replica {
	var best *Replica
	var bestUsed time.Time
	for _, l := range cached {
		r := pool.copySource(l.replica)
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

// betterSource reports whether one source is better than another: a source in the target's domain
// is better than one outside it, otherwise the more recently used one is better.
func betterSource(r, than *Replica, domain state.FailureDomain, usedLater bool) bool {
	near, otherNear := r.Domain == domain, than.Domain == domain
	if near != otherNear {
		return near
	}
	return usedLater
}

// likelySource guesses which replica holds a prompt whose location was not announced: the
// highest-ranked one besides the target, including draining and evacuated replicas. That is the
// other home, or the home from before the target joined or before the former home began to leave.
// A wrong guess costs a copy attempt that finds nothing.
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

// ReportLoad records how many requests the target of a request had in flight when the request
// arrived, as reported by the target. It reports whether the target was overloaded.
func (p *Placer) ReportLoad(r *Request, t *Target, inFlight int, now time.Time) bool {
	return p.Overloads.reportLoad(r, t, inFlight, now)
}

// RecordRead records that the target of a request has read its prompt. Locations at one of
// several homes are not announced to peers, which try the homes first anyway.
func (p *Placer) RecordRead(r *Request, t *Target, now time.Time) {
	p.Cache.Record(r.Key(), r.SharedTokens(), t.Replica.LoadKey(), !t.expected, now)
}

func holdsPrompt(cached []location, r *Replica) bool {
	return slices.ContainsFunc(cached, func(l location) bool { return l.replica == r.LoadKey() })
}
