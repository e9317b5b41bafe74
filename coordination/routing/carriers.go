// This file decides through which other daemons this one connects to replicas while its own links to
// them are suspect or down (reach.go).
//
// A carrier opens the connection and copies bytes in both directions; this daemon goes on to choose
// replicas, to send requests and to count them. Inputs: live daemons, as the control loop proposes
// them, and how they responded. A carrier connects over its own link or not at all, so that a connection
// never goes through more than one. The rule:
//
//  1. A new connection goes through the carrier with the fewest open ones among those that opened
//     the last one they were asked for. Up to maxCarriers are used at a time. In a large fleet each
//     daemon finds others, which spreads the load of a whole failure domain.
//  2. While there are fewer, another daemon is tried first: one of the own failure domain, or, once
//     domainRefusals of these have refused and none carries, any.
//  3. A daemon that is silent, shutting down or full is not tried for carrierPause, and one whose build
//     opens no connections for others for unsupportedPause. One that has lost its own links to the service
//     is not tried for this service, for carrierPause too or, while no other carries for it, for noLinkPause.
//  4. Up to MaxCarrierTries daemons are tried for one connection. One that does not reach the replica may have lost its
//     own links and not know it yet, so another is asked within unreachableSearch. If that one reaches the replica,
//     the first counts as one that has lost its links.

package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	maxCarriers    = 8
	domainRefusals = 2
	// noLinkPause is short, because nobody is served meanwhile, and a refusal takes one round trip.
	noLinkPause  = 500 * time.Millisecond
	carrierPause = 2 * time.Second
	// unsupportedPause is about as long as an upgrade takes to reach the next daemon.
	unsupportedPause = 30 * time.Second
	// searchPause is how long no further daemon is tried after none was found, or after one refused while
	// others carry.
	searchPause = 200 * time.Millisecond
	// MaxCarrierTries bounds the daemons that are tried for one connection.
	MaxCarrierTries = 3
	// unreachableSearch is less than a dial that times out: to try several of these takes the time that another
	// replica needs.
	unreachableSearch = 250 * time.Millisecond
)

// CarrierFailure is why a daemon opened no connection for this one.
type CarrierFailure int

// The kinds of failures.
const (
	// CarrierGone: it is silent, shutting down or has too many connections.
	CarrierGone CarrierFailure = iota
	// CarrierNoLink: it has lost its own links to the replicas of the service.
	CarrierNoLink
	// CarrierUnsupported: its build opens no connections for others.
	CarrierUnsupported
)

// Carriers holds the daemons through which this one connects to replicas. It is safe for concurrent
// use.
type Carriers struct {
	mu    sync.Mutex
	inUse map[PeerID]*carrierState
	// excluded are the daemons that are not to be tried.
	excluded    map[exclusion]excludedCarrier
	searchAfter map[ServiceName]time.Time
}

// exclusion is a daemon and the service for which it is excluded; empty: for all.
type exclusion struct {
	peer    PeerID
	service ServiceName
}

// Carrier is a daemon that opens connections for this one.
type Carrier struct {
	Peer  PeerID
	Local bool // of the own failure domain
}

type carrierState struct {
	open  int // connections
	local bool
}

type excludedCarrier struct {
	until time.Time
	local bool // of the own failure domain
}

// NewCarriers returns an empty Carriers.
func NewCarriers() *Carriers {
	return &Carriers{
		inUse: make(map[PeerID]*carrierState), excluded: make(map[exclusion]excludedCarrier), searchAfter: make(map[ServiceName]time.Time),
	}
}

// Pick returns the carrier for the next connection to a service, by rule 1. It returns false if another
// daemon should be tried first, or if there is no carrier.
// Those in asked have been asked for this connection.
func (c *Carriers) Pick(s ServiceName, now time.Time, asked ...PeerID) (Carrier, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inUse) < maxCarriers && now.After(c.searchAfter[s]) {
		return Carrier{}, false
	}
	var best PeerID
	for p, state := range c.inUse {
		if c.isExcluded(p, s, now) || slices.Contains(asked, p) {
			continue
		}
		if best == "" || state.open < c.inUse[best].open || state.open == c.inUse[best].open && p < best {
			best = p
		}
	}
	if best == "" {
		return Carrier{}, false
	}
	return Carrier{Peer: best, Local: c.inUse[best].local}, true
}

// Search describes which daemons may be tried next.
type Search struct {
	Excluded map[PeerID]bool
	// AnyDomain means that daemons of other failure domains are as good as those of the own one.
	AnyDomain bool
}

// isExcluded reports whether a daemon is not to be tried for a service. The caller holds the lock.
func (c *Carriers) isExcluded(p PeerID, s ServiceName, now time.Time) bool {
	return now.Before(c.excluded[exclusion{peer: p}].until) || now.Before(c.excluded[exclusion{p, s}].until)
}

// othersCarry reports whether a carrier other than p may be asked for connections to a service. The caller
// holds the lock.
func (c *Carriers) othersCarry(p PeerID, s ServiceName, now time.Time) bool {
	for other := range c.inUse {
		if other != p && !c.isExcluded(other, s, now) {
			return true
		}
	}
	return false
}

// Search returns which daemons may be tried next for a service, by rules 2 and 3. Those in asked have been asked for
// this connection.
func (c *Carriers) Search(service ServiceName, now time.Time, asked ...PeerID) Search {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Search{Excluded: make(map[PeerID]bool, len(c.inUse)+len(c.excluded))}
	refusals, carries := 0, false
	for p, state := range c.inUse {
		s.Excluded[p] = true
		carries = carries || state.local && !c.isExcluded(p, service, now)
	}
	for of, e := range c.excluded {
		if !now.Before(e.until) {
			delete(c.excluded, of)
			continue
		}
		if of.service != "" && of.service != service {
			continue
		}
		s.Excluded[of.peer] = true
		if e.local {
			refusals++
		}
	}
	for _, p := range asked {
		s.Excluded[p] = true
	}
	s.AnyDomain = refusals >= domainRefusals && !carries
	return s
}

// NoneFound records that there is no further daemon to try for a service.
func (c *Carriers) NoneFound(s ServiceName, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.searchAfter[s] = now.Add(searchPause)
}

// AsksAnother reports whether another daemon is asked after one that did not reach the replica. begun is when the first
// was asked.
func (c *Carriers) AsksAnother(begun, now time.Time) bool { return now.Sub(begun) < unreachableSearch }

// Opened records that a daemon opened a connection.
func (c *Carriers) Opened(by Carrier) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.inUse[by.Peer]
	if s == nil {
		s = &carrierState{local: by.Local}
		c.inUse[by.Peer] = s
	}
	s.open++
}

// Closed records that a connection that was recorded by Opened is closed.
func (c *Carriers) Closed(p PeerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.inUse[p]; s != nil {
		s.open = max(0, s.open-1) // the carrier may have been excluded in between
	}
}

// Exclude records that a daemon opened no connection to a service, or that it can't be expected to open
// any. Unless the reason is CarrierNoLink, that goes for all services.
func (c *Carriers) Exclude(from Carrier, s ServiceName, why CarrierFailure, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	of, pause := exclusion{peer: from.Peer}, carrierPause
	othersCarry := c.othersCarry(from.Peer, s, now)
	switch why {
	case CarrierNoLink:
		of.service = s
		if !othersCarry {
			pause = noLinkPause
		}
	case CarrierUnsupported:
		pause = unsupportedPause
	}
	if why != CarrierNoLink {
		delete(c.inUse, from.Peer)
	}
	if othersCarry {
		c.searchAfter[s] = now.Add(searchPause)
	}
	c.excluded[of] = excludedCarrier{until: now.Add(pause), local: from.Local}
}

// Usable reports whether idle connections through a daemon may be used.
func (c *Carriers) Usable(p PeerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.inUse[p]
	return ok
}

// InUse returns the carriers in use, sorted.
func (c *Carriers) InUse() []Carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Carrier, 0, len(c.inUse))
	for p, s := range c.inUse {
		out = append(out, Carrier{Peer: p, Local: s.local})
	}
	slices.SortFunc(out, func(a, b Carrier) int { return cmp.Compare(a.Peer, b.Peer) })
	return out
}

// Clear forgets the carriers, once no detour is needed. Pauses are kept.
func (c *Carriers) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.inUse)
	clear(c.searchAfter)
}
