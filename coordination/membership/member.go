// This file defines a member, and when a message about one replaces what is known.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/state"
)

type (
	// Address is where a daemon takes heartbeats, as IP:PORT.
	Address string
	// Incarnation distinguishes the starts of a daemon at one address; a later one
	// is higher unless the clock was set back between them.
	Incarnation uint64
)

// Member is what heartbeats say of one daemon.
type Member struct {
	Address          Address
	Domain           state.FailureDomain
	Incarnation      Incarnation
	Heartbeats       uint64 // sent in this incarnation; orders messages about it
	Leaving          bool   // it is in a planned stop
	StoreUnreachable bool   // it can't read the store of documents
	// Age is how long ago the daemon itself said this, as far as whoever passes it on
	// knows. It is 0 in a daemon's own heartbeat.
	Age time.Duration
}

// lowerIncarnationAfter is how long the heartbeats of a lower incarnation must go on before it
// replaces a higher one: longer than a late datagram travels.
const lowerIncarnationAfter = time.Second

// entry is a known member.
type entry struct {
	Member
	// seen is when the daemon sent the newest of its heartbeats that is known here,
	// directly or over others.
	seen time.Time
	// lower is a member of a lower incarnation that was received, and lowerSince when
	// it was received first. ended is an incarnation that is over although it is
	// higher than the present one.
	lower      Member
	lowerSince time.Time
	ended      Incarnation
	// eraAt is when its newest heartbeat came, if that named an era of the store, and eralessAt if it
	// named none; the other is zero.
	eraAt, eralessAt time.Time
}

// supersedes reports whether m is newer than what is known of the daemon. A lower
// incarnation is newer if its heartbeats went on for lowerIncarnationAfter while
// the higher one was silent: then the clock that numbers incarnations was set
// back between the two. A single message of it is a late one of an incarnation
// that has ended.
func (e *entry) supersedes(m Member, now time.Time) bool {
	switch {
	case m.Incarnation == e.Incarnation:
		return m.Heartbeats > e.Heartbeats
	case m.Incarnation == e.ended:
		return false
	case m.Incarnation > e.Incarnation:
		return true
	case m.Incarnation != e.lower.Incarnation:
		e.lower, e.lowerSince = m, now
		return false
	}
	goesOn := m.Heartbeats > e.lower.Heartbeats && now.Sub(e.lowerSince) >= lowerIncarnationAfter
	return goesOn && now.Sub(e.seen) > liveness
}

// update replaces what is known.
func (e *entry) update(m Member, now time.Time) {
	if m.Incarnation < e.Incarnation {
		e.ended = e.Incarnation
	}
	sent := now.Add(-m.Age)
	if m.Incarnation != e.Incarnation || sent.After(e.seen) {
		e.seen = sent
	}
	e.Member = m
}
