// This file bounds what cold replicas get: those that started or came back a moment ago and
// bear only some requests a second until they are warm.
//
// Inputs: until when each replica is cold, by its own entry or because its domain was taken
// back (evacuate.go); how many requests a second a cold one bears, which the service's
// configuration publishes; and the greatest number of daemons that was ever known. What is
// promised: all daemons together, in touch or not, send a cold replica at most one and a half
// times that rate and some more in any second. The rule:
//
//  1. While the warm ones are at least warmShare of the replicas that may be chosen, cold
//     ones get nothing. That holds whatever the daemons know of each other.
//  2. Else a daemon sends a cold replica, in any second, a whole number of requests: its
//     equal part of coldShare of the rate, rounded up or down by a hash of the daemon and
//     the replica. In a large fleet a part is far below one, so that a few daemons, others
//     for each replica, send it one a second each, and the rest nothing. Nobody is asked.
//  3. The parts are shares of the greatest fleet that was ever known: daemons that are cut
//     off go on spending theirs. A daemon that has just started assumes assumedFleet until
//     it has been told of the fleet (FleetKnownAfter), so that a start of all at once,
//     each of which knows only itself, sends next to nothing.
//  4. A request that no part is left for goes to a warm replica if there is one, else it is
//     refused at once, as not run.
//
// The number of senders that rounding gives a replica is spread like a Poisson variable. With
// coldShare at .5 of 13 a second it passes the promised 24 for one replica in 37 million; at
// .75 for one in 32 thousand.

package routing

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// warmShare is the part of a service's usable replicas from which on the warm ones serve
	// alone. A failure domain that comes back is a quarter to a half of a service.
	warmShare = 0.5
	// coldShare is the part of a cold replica's rate that is spent.
	coldShare = 0.5
	// coldWindow is the time that the rate is counted in.
	coldWindow = time.Second
	// assumedFleet is the number of daemons that one assumes that knows no others yet: a
	// fleet of up to three times as many, of which none knows another, still keeps the bound.
	assumedFleet = 1000
	// FleetKnownAfter is how long after its start a daemon assumes assumedFleet: some twelve
	// heartbeats of a large fleet, each of which carries the fleet's size.
	FleetKnownAfter = 5 * time.Second
	// maxRates is the number of replicas above which those that got nothing lately are
	// forgotten. A daemon sends to a hundred cold ones at most, by its parts.
	maxRates = 1000
)

// ColdRates holds what this daemon has sent to cold replicas. It is safe for use by many
// goroutines. A nil one bounds nothing.
type ColdRates struct {
	daemon PeerID

	mu      sync.Mutex
	daemons int // that share a rate; 0: not known yet
	sent    map[LoadKey][]time.Time
}

// NewColdRates returns the rates of one daemon, which is named in its fleet by the given id.
func NewColdRates(daemon PeerID) *ColdRates {
	return &ColdRates{daemon: daemon, sent: make(map[LoadKey][]time.Time)}
}

// SetDaemons sets how many daemons share a replica's rate. The number never falls.
func (c *ColdRates) SetDaemons(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = max(c.daemons, n)
}

// IsCold reports whether a replica is cold.
func (r *Replica) IsCold(now time.Time) bool { return now.Before(r.ColdUntil) }

// allCold reports whether there are ready replicas and all are cold.
func (p *Pool) allCold(now time.Time) bool {
	return len(p.Ready) > 0 && !slices.ContainsFunc(p.Ready, func(r Replica) bool { return !r.IsCold(now) })
}

// allows reports whether a request may go to a replica of a service.
func (c *ColdRates) allows(r *Replica, s *Service, now time.Time) bool {
	if !c.bounds(r, s, now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.recent(r.LoadKey(), now)) < c.part(r, s)
}

// take counts a request that goes to a replica of a service. It returns false if it may not.
func (c *ColdRates) take(r *Replica, s *Service, now time.Time) bool {
	if !c.bounds(r, s, now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := r.LoadKey()
	recent := c.recent(key, now)
	if len(recent) >= c.part(r, s) {
		return false
	}
	if len(c.sent) >= maxRates {
		c.forget(now)
	}
	c.sent[key] = append(recent, now)
	return true
}

// forget drops the replicas that got nothing in the last coldWindow. The caller holds the
// lock.
func (c *ColdRates) forget(now time.Time) {
	for key := range c.sent {
		c.recent(key, now)
	}
}

// bounds reports whether there is a bound on what a replica gets.
func (c *ColdRates) bounds(r *Replica, s *Service, now time.Time) bool {
	return c != nil && s != nil && s.ColdPerSecond > 0 && r.IsCold(now)
}

// recent returns when requests of the last coldWindow went to a replica, and forgets older
// ones. The caller holds the lock.
func (c *ColdRates) recent(key LoadKey, now time.Time) []time.Time {
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

// part returns how many requests this daemon may send to a cold replica in any coldWindow,
// by rule 2. The caller holds the lock.
func (c *ColdRates) part(r *Replica, s *Service) int {
	daemons := c.daemons
	if daemons == 0 {
		daemons = assumedFleet
	}
	equal := coldShare * s.ColdPerSecond / float64(daemons)
	draw := xxhash.Sum64String(string(c.daemon) + "\x00" + string(r.ID))
	return int(equal + float64(draw)/math.MaxUint64)
}
