// This file limits the request rate of cold replicas: those that started, or whose failure domain
// came back, a moment ago, and that can serve only some requests a second until they are warm.
//
// Inputs: until when each replica is cold, from its own store entry or because the evacuation of
// its domain ended (evacuate.go); how many requests a second a cold replica can serve, from the
// service's configuration; and the most daemons that the fleet can have as far as is known
// (coordination/membership/fleet_bound.go). Guarantee: all daemons
// together, connected to each other or not, send a cold replica in any second at most one and a
// half times that rate, plus a small constant. The rule:
//
//  1. While warm replicas are at least warmFraction of the replicas that may be chosen, cold ones
//     get nothing. This needs no knowledge of other daemons.
//  2. Otherwise a daemon sends a cold replica a whole number of requests in any second: its equal
//     part of coldFraction of the rate, rounded up or down by a hash of the daemon and the
//     replica. In a large fleet the part is far below one, so that a few daemons, different ones
//     for each replica, send one request a second each, and the others none. This needs no
//     coordination.
//  3. The rate is divided by the most daemons that there can be, because daemons that are cut off
//     go on using their parts. A daemon that has just started assumes assumedFleetSize until it
//     has learned the fleet's size (FleetSizeKnownAfter at least), and so does one that has been
//     alone since its start, if there are seeds. Daemons each of which knows only itself therefore
//     send next to nothing.
//  4. A request that exceeds this daemon's quota goes to a warm replica if there is one;
//     otherwise it is refused at once as not run.
//
// Because of the rounding, the number of daemons that send to one replica is approximately
// Poisson distributed. With coldFraction at .5 of 13 a second it exceeds the guaranteed 24 for
// one replica in 37 million; at .75, for one in 32 thousand.

package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// warmFraction is the fraction of a service's usable replicas from which the warm ones serve
	// alone. A failure domain that comes back is a quarter to a half of a service.
	warmFraction = 0.5
	// coldFraction is the fraction of a cold replica's rate that daemons use.
	coldFraction = 0.5
	// coldWindow is the sliding window in which requests are counted.
	coldWindow = time.Second
	// assumedFleetSize is the number of daemons assumed by a daemon that knows no others yet. Up
	// to three times as many daemons, none of which knows another, still keep the limit.
	assumedFleetSize = 1000
	// FleetSizeKnownAfter is how long after its start a daemon assumes assumedFleetSize: about
	// twelve heartbeats of a large fleet, each of which carries the fleet's size.
	FleetSizeKnownAfter = 5 * time.Second
	// maxTracked is the number of replicas above which those without recent requests are removed.
	// By its quotas a daemon sends to at most a hundred cold replicas.
	maxTracked = 1000
)

// ColdLimiter limits the requests that this daemon sends to cold replicas. It is safe for
// concurrent use. A nil *ColdLimiter sets no limit.
type ColdLimiter struct {
	daemon PeerID

	mu        sync.Mutex
	fleetSize int // the most daemons that there can be; 0: not known yet
	sent      map[LoadKey][]time.Time
}

// NewColdLimiter returns the limiter of the daemon with the given id.
func NewColdLimiter(daemon PeerID) *ColdLimiter {
	return &ColdLimiter{daemon: daemon, sent: make(map[LoadKey][]time.Time)}
}

// SetFleetSize sets how many daemons share a replica's rate, at most. The number must not fall when
// daemons are lost.
func (c *ColdLimiter) SetFleetSize(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleetSize = n
}

// IsCold reports whether a replica is cold.
func (r *Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// allCold reports whether the pool has ready replicas and all of them are cold.
func (p *Pool) allCold(now time.Time) bool {
	return len(p.Ready) > 0 && !slices.ContainsFunc(p.Ready, func(r Replica) bool { return !r.IsCold(now) })
}

// allows reports whether this daemon may send a request to a replica of service s now.
func (c *ColdLimiter) allows(r *Replica, s *Service, now time.Time) bool {
	if !c.isLimited(r, s, now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.recent(r.LoadKey(), now)) < c.quota(r, s)
}

// reserve counts a request that is about to be sent to a replica of service s. It returns false
// if the quota is used up.
func (c *ColdLimiter) reserve(r *Replica, s *Service, now time.Time) bool {
	if !c.isLimited(r, s, now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.LoadKey()
	recent := c.recent(key, now)
	if len(recent) >= c.quota(r, s) {
		return false
	}
	if len(c.sent) >= maxTracked {
		c.forget(now)
	}
	c.sent[key] = append(recent, now)
	return true
}

// forget removes the replicas without a request in the last coldWindow. c.mu must be held.
func (c *ColdLimiter) forget(now time.Time) {
	for key := range c.sent {
		c.recent(key, now)
	}
}

// isLimited reports whether the rate of a replica is limited.
func (c *ColdLimiter) isLimited(r *Replica, s *Service, now time.Time) bool {
	return c != nil && s != nil && s.ColdPerSecond > 0 && r.IsCold(now)
}

// recent returns the times of the requests sent to a replica within the last coldWindow, and
// removes older ones. c.mu must be held.
func (c *ColdLimiter) recent(key LoadKey, now time.Time) []time.Time {
	sent := c.sent[key]
	for len(sent) > 0 && now.Sub(sent[0]) > coldWindow {
		sent = sent[1:]
	}
	if len(sent) == 0 {
		delete(c.sent, key)
		return nil
	}
	c.sent[key] = sent
	return sent
}

// quota returns how many requests this daemon may send to a cold replica in any coldWindow, by
// rule 2. c.mu must be held.
func (c *ColdLimiter) quota(r *Replica, s *Service) int {
	fleetSize := c.fleetSize
	if fleetSize == 0 {
		fleetSize = assumedFleetSize
	}
	part := coldFraction * s.ColdPerSecond / float64(fleetSize)
	draw := xxhash.Sum64String(string(c.daemon) + "\x00" + string(r.ID))
	return int(part + float64(draw)/math.MaxUint64)
}
