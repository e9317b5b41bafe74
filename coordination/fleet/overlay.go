// This file chooses the peers with which a daemon exchanges gossip. Each daemon has a
// few fixed neighbours, so that connections and TLS sessions are long-lived: a new
// handshake for every exchange would alone exceed the control budget.
//
// The daemons are ordered on several rings, each by its own hash, and a daemon's
// neighbours are its successors. One ring already connects all its daemons; the
// others shorten the paths to a length logarithmic in the number of daemons. Two
// rings contain only the daemon's own failure domain and one its own region, so that
// a part that is cut off stays connected within itself.

package fleet

import (
	"strconv"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// ring defines which daemons share a ring with a given one.
type ring uint8

const (
	domainRing ring = iota + 1 // daemons of the same failure domain
	regionRing                 // daemons of the same region
	fleetRing                  // all daemons
)

// rings lists the rings of every daemon.
var rings = []ring{domainRing, domainRing, regionRing, fleetRing}

// neighbours returns the successors of self on its rings, without duplicates. usable
// selects the daemons to consider; region maps a failure domain to its region.
func neighbours(self Self, daemons []state.Member, region func(state.FailureDomain) state.RegionID, usable func(*state.Member) bool) []state.Member {
	var out []state.Member
	for i, r := range rings {
		salt := coordination.Hash("ring" + strconv.Itoa(i))
		m := successor(self, daemons, salt, func(m *state.Member) bool {
			return usable(m) && onRing(r, self, m, region) && !containsMember(out, m.ID)
		})
		if m != nil {
			out = append(out, *m)
		}
	}
	return out
}

func onRing(r ring, self Self, m *state.Member, region func(state.FailureDomain) state.RegionID) bool {
	switch r {
	case domainRing:
		return m.Domain == self.Domain
	case regionRing:
		return region(m.Domain) == region(self.Domain)
	}
	return true
}

func containsMember(members []state.Member, id string) bool {
	for i := range members {
		if members[i].ID == id {
			return true
		}
	}
	return false
}

// successor returns the daemon that follows self on the ring with this salt.
func successor(self Self, daemons []state.Member, salt uint64, allowed func(*state.Member) bool) *state.Member {
	own := coordination.Rank(salt, coordination.Hash(string(self.ID)))
	var best *state.Member
	var bestDistance uint64
	for i := range daemons {
		m := &daemons[i]
		if m.ID == string(self.ID) || !allowed(m) {
			continue
		}
		// The difference wraps around like the ring.
		distance := coordination.Rank(salt, coordination.Hash(m.ID)) - own
		if best == nil || distance < bestDistance {
			best, bestDistance = m, distance
		}
	}
	return best
}
