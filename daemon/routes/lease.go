// This file is the part of the control loop that keeps the lease on what the daemon knows of software versions
// (coordination/membership/confirmations.go has the rules of the lease). What follows from it:
//
//  1. While there is no lease, no service counts as one of a single version: streams are recorded, and those that callers
//     resume are asked for. Peers are told no history of versions.
//  2. A confirmation is visible to the request path once the documents that it rests on are.
//  3. If VersionLease or more lies between two confirmations, versions may have come and gone unseen, and streams may have
//     begun at them: the history of versions begins anew. Within less than that no version is established
//     (coordination/routing/establishment.go), so that no stream has begun at it. The time from the first documents to the first
//     confirmation counts likewise, and if a peer sent them, that from the peer's last confirmation: the history that the peer tells
//     is complete up to then only.

package routes

import (
	"maps"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
)

// leaseState is the control loop's state about the lease.
type leaseState struct {
	confirmations membership.Confirmations
	// seenUntil is the time until which no version can have come and gone unseen: that of the last confirmation, and before
	// the first one that of the first documents. Zero: there are no documents.
	seenUntil time.Time
	confirmed bool // a confirmation was taken over since the first documents
	lapsed    bool // the lease has ended
	// renewedAt is when each peer was last sent a heartbeat with a reply of a holder.
	renewedAt map[membership.Address]time.Time
}

// takeFirst takes over the first confirmation since the first documents. One that is older than a lease is of no use: its sender
// tells no history.
func (l *leaseState) takeFirst(at time.Time) {
	if l.confirmed || !at.After(l.seenUntil.Add(-membership.VersionLease)) {
		return
	}
	l.confirmed = true
	if at.Before(l.seenUntil) {
		l.seenUntil = at
	}
}

// begin records that the daemon has documents.
func (l *leaseState) begin(now time.Time) {
	if l.seenUntil.IsZero() {
		l.seenUntil = now
	}
}

// holdsLease reports whether what this daemon knows of versions can be taken for complete. It may be called by any goroutine.
func (c *control) holdsLease(now time.Time) bool {
	at := c.documents.confirmedAt.Load()
	return at != nil && now.Before(at.Add(membership.VersionLease))
}

// confirmFromStore records that a read of the store in an era confirms a time, once its documents are applied.
func (c *control) confirmFromStore(e feed.Era, at time.Time) {
	if e == c.catalog.feed.Position().Era {
		c.lease.confirmations.ObserveRead(at)
	}
}

// confirmFromPeer records what a peer's heartbeat confirms.
func (c *control) confirmFromPeer(e *heartbeatReceived, now time.Time) {
	h := &e.heartbeat
	p := membership.PeerConfirmation{
		Sender: h.Sender, Position: feed.Position{Era: c.resolveEra(h.Era, now), Revision: h.Revision}, Received: e.at, Waited: e.waited,
	}
	p.Age, p.HasAge = h.Confirmed.Age()
	c.lease.confirmations.ObserveHeartbeat(&p, c.catalog.feed.Position())
}

// tickLease updates the lease also from the members that are heard.
func (c *control) tickLease(now time.Time) {
	maps.DeleteFunc(c.lease.renewedAt, func(_ membership.Address, at time.Time) bool { return now.Sub(at) >= heartbeatInterval })
	c.lease.confirmations.ObserveFleet(c.roster, c.catalog.feed.Position(), c.syncs.newest, now)
	c.updateLease(now)
}

// updateLease makes the last confirmation visible to the request path, and begins the history of versions anew if
// versions may have come and gone unseen, which it reports. It is called once the documents that an event brought are in
// the view.
func (c *control) updateLease(now time.Time) (interrupted bool) {
	l := &c.lease
	l.confirmations.Advance(c.catalog.feed.Position())
	if l.seenUntil.IsZero() {
		return false
	}
	at := l.confirmations.ConfirmedAt()
	l.takeFirst(at)
	if interrupted = at.Sub(l.seenUntil) >= membership.VersionLease && c.interruptHistory(now); interrupted {
		c.publish(now)
	}
	if at.After(l.seenUntil) {
		l.seenUntil = at
	}
	if before := c.documents.confirmedAt.Load(); !at.IsZero() && (before == nil || at.After(*before)) {
		c.documents.confirm(at)
	}
	c.documents.confirmRead(&l.confirmations, now)
	if lapsed := !now.Before(l.seenUntil.Add(membership.VersionLease)); lapsed != l.lapsed {
		l.lapsed = lapsed
		c.log.Lease(lapsed, now.Sub(l.seenUntil))
	}
	return interrupted
}
