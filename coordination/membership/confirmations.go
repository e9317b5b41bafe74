// This file decides for how long a daemon may take what it knows of software versions for complete. A daemon that is
// cut off or paused hears nothing that refutes what it knows, so that its knowledge holds only for a limited time after
// it was last confirmed (a lease). Only times of the daemon's own clock are compared.
//
// Inputs: the times of the own reads of the store; the heartbeats of peers, with the position of their documents, how long
// ago these were confirmed, and when they were read from the socket; the position of the own documents; and the roster. The
// rule:
//
//  1. A read of the store confirms the documents that it brought. A list, and a watch that returned changes, confirm the
//     time at which they were sent; a watch that returned nothing after its full wait confirms the end of the wait,
//     since the store replied later than that.
//  2. A peer's heartbeat confirms the time at which it was received, less the age that it names, once the own documents are
//     at its position or newer in the same era of the store. Until then the confirmation is pending. Documents of an earlier
//     era confirm nothing: the copy from which the store was restored may lack a version that they have. Ages add up over
//     several daemons, so that each confirmation goes back to a read of the store.
//  3. Two confirmations may be pending: the earliest position, which the own documents reach first, and the latest. With
//     only one, a daemon whose documents are always a little behind would never confirm anything.
//  4. A heartbeat of a build that names no age counts as age 0 if its sender can read the store.
//  5. A daemon that hears all members knows what they know, whether they can read the store or not: the time at which the
//     one heard longest ago was heard is confirmed, if all seeds are known and the own documents are as new as any that a
//     member has told of, in the same era. Members that shut down count like others: they serve callers and may read the
//     store until their grace is over. Nothing is confirmed while others report more daemons than are known, nor at a daemon
//     whose documents were last confirmed by a read of the store before it forgot a member that had not announced its
//     shutdown: that one may serve beyond a cut. In a large fleet, where most members are heard of through others, members
//     and forgotten ones count by failure domain, reported ones don't, and this holds only while no known live member can
//     read the store. Heartbeats don't pass this time on, as the sender may know fewer members than the receiver.
//  6. Messages that may have waited in the socket (socket_waits.go) confirm nothing, nor do heartbeats that a later one of
//     their sender has overtaken. Each heartbeat counts as MaxSocketWait older than it is: daemons that pass a confirmation
//     to and fro would otherwise renew it again and again by the time for which messages wait undetected.
//  7. The knowledge is complete until VersionLease after the latest time that was confirmed.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// VersionLease is how long after a confirmation a daemon takes what it knows of software versions for complete. In a fleet
// of 930 daemons where all is well and one datagram in ten is lost, confirmations were up to 2.7 s old.
const VersionLease = 3 * time.Second

// Confirmations records until when the documents of a daemon are known to have been complete. In the zero value nothing is
// confirmed. It is not safe for concurrent use.
type Confirmations struct {
	store    time.Time // latest confirmation that goes back to a read of the store
	fleet    time.Time // latest confirmation by rule 5
	earliest pendingConfirmation
	latest   pendingConfirmation
	heard    map[Address]heardMember
	// waitedAt is when a message was last read that may have waited in the socket.
	waitedAt time.Time
}

// pendingConfirmation is a confirmation for which the own documents have to reach a position. The zero value is none.
type pendingConfirmation struct {
	position feed.Position
	at       time.Time
}

// heardMember is the newest heartbeat that was received from a member itself.
type heardMember struct {
	incarnation Incarnation
	heartbeats  uint64
	at          time.Time
	era         feed.Era // of the member's documents
}

// PeerConfirmation is what a peer's own heartbeat tells about the peer's documents.
type PeerConfirmation struct {
	Sender   Member
	Position feed.Position // of the peer's documents
	Age      time.Duration // since they were confirmed
	HasAge   bool          // false: the peer's build names no age
	Received time.Time     // when the heartbeat was read from the socket
	Waited   bool          // it may have waited there
}

// ConfirmedByWatch returns the time that a watch of the store confirms. wait is how long the store was asked to wait.
func ConfirmedByWatch(sent, returned time.Time, wait time.Duration, changed bool) time.Time {
	if end := sent.Add(wait); !changed && !returned.Before(end) {
		return end
	}
	return sent
}

// Until returns the end of the lease. It is long past if nothing was confirmed.
func (c *Confirmations) Until() time.Time { return c.ConfirmedAt().Add(VersionLease) }

// ConfirmedAt returns the latest time at which the documents are known to have been complete, or the zero time.
func (c *Confirmations) ConfirmedAt() time.Time {
	if c.fleet.After(c.store) {
		return c.fleet
	}
	return c.store
}

// StoreAge returns how long ago the documents were confirmed by a read of the store, as heartbeats tell it. It returns
// false if they never were.
func (c *Confirmations) StoreAge(now time.Time) (time.Duration, bool) {
	return max(0, now.Sub(c.store)), !c.store.IsZero()
}

// ObserveRead records that a read of the store, whose documents this daemon has, confirms a time.
func (c *Confirmations) ObserveRead(at time.Time) { c.confirm(at) }

// ObserveHeartbeat records what a peer's own heartbeat confirms. own is the position of the own documents.
func (c *Confirmations) ObserveHeartbeat(p *PeerConfirmation, own feed.Position) {
	if p.Waited {
		c.waitedAt = p.Received
		return
	}
	last := c.heard[p.Sender.Address]
	if p.Sender.Incarnation < last.incarnation || p.Sender.Incarnation == last.incarnation && p.Sender.Heartbeats <= last.heartbeats {
		return
	}
	if c.heard == nil {
		c.heard = make(map[Address]heardMember)
	}
	c.heard[p.Sender.Address] = heardMember{p.Sender.Incarnation, p.Sender.Heartbeats, p.Received, p.Position.Era}
	if !p.HasAge && p.Sender.StoreUnreachable {
		return
	}
	told := pendingConfirmation{p.Position, p.Received.Add(-p.Age - MaxSocketWait)}
	if !own.Before(p.Position) {
		c.confirmPending(told, own)
		return
	}
	c.wait(told)
}

// wait records a confirmation that is pending.
func (c *Confirmations) wait(p pendingConfirmation) {
	switch {
	case !p.at.After(c.store):
	case c.earliest.at.IsZero() || !c.earliest.position.Before(p.position):
		if p.at.After(c.earliest.at) {
			c.earliest = p
		}
	case p.at.After(c.latest.at):
		c.latest = p
	}
}

// Advance records that the own documents are at a position.
func (c *Confirmations) Advance(own feed.Position) {
	for !c.earliest.at.IsZero() && !own.Before(c.earliest.position) {
		c.confirmPending(c.earliest, own)
		c.earliest, c.latest = c.latest, pendingConfirmation{}
	}
}

// confirmPending confirms the time of a position that the own documents have reached.
func (c *Confirmations) confirmPending(p pendingConfirmation, own feed.Position) {
	if p.position.Era == own.Era {
		c.confirm(p.at)
	}
}

func (c *Confirmations) confirm(at time.Time) {
	if at.After(c.store) {
		c.store = at
	}
}

// ObserveFleet confirms what rule 5 says. own is the position of the own documents, and newest the newest one that a
// member has told of.
func (c *Confirmations) ObserveFleet(r *Roster, own, newest feed.Position, now time.Time) {
	for a, last := range c.heard {
		// A lower incarnation replaces a higher one if the clock was set back before a restart.
		if e := r.members[a]; e == nil || e.Incarnation < last.incarnation {
			delete(c.heard, a)
		}
	}
	if own.Before(newest) || r.lacksSeed() || !r.forgotAt.IsZero() && !c.store.After(r.forgotAt) {
		return
	}
	if at := c.heardAll(r, own.Era, now); at.After(c.fleet) {
		c.fleet = at
	}
}

// heardAll returns the time at which the member, or in a large fleet the failure domain, was heard that was heard
// longest ago, or the zero time if it can't be told. A member whose documents are of another era counts as not heard.
func (c *Confirmations) heardAll(r *Roster, own feed.Era, now time.Time) time.Time {
	oldest := now
	if r.isLarge() {
		for _, at := range r.domains {
			oldest = earlier(oldest, at)
		}
		// The roster takes messages that waited for new ones.
		if r.HasStoreReader(now) || oldest.Before(c.waitedAt.Add(distrustPeriod)) {
			return time.Time{}
		}
		return oldest
	}
	if r.lacksReported() {
		return time.Time{}
	}
	for _, e := range r.ordered {
		last := c.heard[e.Address]
		if last.era != own {
			return time.Time{}
		}
		oldest = earlier(oldest, last.at.Add(-MaxSocketWait))
	}
	return oldest
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
