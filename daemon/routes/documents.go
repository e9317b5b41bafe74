// This file keeps when the daemon's documents were last known to be current, and when they last changed, for the line of
// a request that resumes a stream. Nothing is decided by it.
//
// Inputs: the daemon's reads of the store, peers' heartbeats, and changes of documents. The rule:
//
//  1. A list or a watch of the store confirms the documents at the time at which the control loop takes it.
//  2. A heartbeat confirms them at the time of its arrival if its sender can read the store, as far as it knows, and has no
//     newer documents than this daemon. A sender that is cut off itself confirms them all the same, until it has noticed.

package routes

import (
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// documentTimes is when the documents were last confirmed and changed. The control loop writes it, and any goroutine may
// read it.
type documentTimes struct{ confirmedAt, changedAt atomic.Pointer[time.Time] }

// confirm records that the documents are known to have been current at a time.
func (d *documentTimes) confirm(at time.Time) { d.confirmedAt.Store(&at) }

// change records that documents changed.
func (d *documentTimes) change(at time.Time) { d.changedAt.Store(&at) }

// ages returns how long ago the documents were last known to be current, and how long ago they changed.
func (d *documentTimes) ages(now time.Time) relay.DocumentAges {
	return relay.DocumentAges{Confirmed: ageOf(d.confirmedAt.Load(), now), Changed: ageOf(d.changedAt.Load(), now)}
}

func ageOf(at *time.Time, now time.Time) time.Duration {
	if at == nil {
		return relay.UnknownAge
	}
	return max(0, now.Sub(*at))
}

// DocumentAges implements [relay.TracedOrigins].
func (o streamOrigins) DocumentAges() relay.DocumentAges {
	return o.control.documents.ages(clock.Now())
}

// confirmFromStore records a read of the store in an era, once its documents are applied.
func (c *control) confirmFromStore(e feed.Era, now time.Time) {
	if e == c.catalog.feed.Position().Era {
		c.documents.confirm(now)
	}
}

// confirmFromPeer records a peer's heartbeat, which names a position.
func (c *control) confirmFromPeer(h *gossip.Heartbeat, at feed.Position, now time.Time) {
	if !h.Sender.StoreUnreachable && !c.catalog.feed.Position().Before(at) {
		c.documents.confirm(now)
	}
}
