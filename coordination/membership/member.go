// This file defines members and decides when a message about a member replaces the known entry.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/state"
)

type (
	// Address is the address at which a daemon receives heartbeats, as IP:PORT.
	Address string
	// Incarnation distinguishes the starts of a daemon at an address. A later one
	// is higher unless the clock was set back in between.
	Incarnation uint64
)

// Member is the state of a daemon as heartbeats describe it.
type Member struct {
	Address          Address
	Domain           state.FailureDomain
	Incarnation      Incarnation
	Heartbeats       uint64 // number of heartbeats sent in this incarnation; orders messages about the daemon
	Leaving          bool   // the daemon is in a graceful shutdown
	StoreUnreachable bool   // the daemon can't read the store of documents
	// Age is the time since the daemon itself sent this state, as far as the forwarding
	// daemon knows. It is 0 in a daemon's own heartbeat.
	Age time.Duration
}

// lowerIncarnationAfter is how long the heartbeats of a lower incarnation must continue before it
// replaces a higher one. It is longer than the delay of a late datagram.
const lowerIncarnationAfter = time.Second

// entry is a known member.
type entry struct {
	Member
	// lastSeen is when the daemon sent the newest heartbeat that is known here, received
	// directly or through other daemons.
	lastSeen time.Time
	// lower is the member in a received message with a lower incarnation, and lowerSince
	// when that incarnation was first received. replaced is the higher incarnation that the
	// current lower one replaced.
	lower      Member
	lowerSince time.Time
	replaced   Incarnation
	// withEraAt is when the member's newest heartbeat was received if it named an era of the store, and
	// withoutEraAt if it named none. The other one is zero.
	withEraAt, withoutEraAt time.Time
	// told is the newest position that the member told in its own heartbeats (positions.go).
	told toldPosition
}

// supersedes reports whether m is newer than the entry. A lower incarnation is newer
// if its heartbeats continue for lowerIncarnationAfter while the higher incarnation is
// silent: this happens if the clock from which incarnations are derived was set back
// before a restart. A single message with a lower incarnation is a late datagram from
// an earlier run.
func (e *entry) supersedes(m Member, now time.Time) bool {
	switch {
	case m.Incarnation == e.Incarnation:
		return m.Heartbeats > e.Heartbeats
	case m.Incarnation == e.replaced:
		return false
	case m.Incarnation > e.Incarnation:
		return true
	case m.Incarnation != e.lower.Incarnation:
		e.lower, e.lowerSince = m, now
		return false
	}
	continues := m.Heartbeats > e.lower.Heartbeats && now.Sub(e.lowerSince) >= lowerIncarnationAfter
	return continues && now.Sub(e.lastSeen) > livenessTimeout
}

// update replaces the known state with m.
func (e *entry) update(m Member, now time.Time) {
	if m.Incarnation < e.Incarnation {
		e.replaced = e.Incarnation
	}
	sent := now.Add(-m.Age)
	if m.Incarnation != e.Incarnation || sent.After(e.lastSeen) {
		e.lastSeen = sent
	}
	e.Member = m
}
