// This file is the part of the control loop that learns from peers which software versions services lately had
// (coordination/routing/version_history.go). The rules for when and from which peer are:
//
//  1. Each response to a request for documents contains the peer's history, so that a daemon whose first
//     documents come from a peer knows it from the start.
//  2. A daemon whose history does not go back far enough asks one of the peers that have run longest, since these
//     most likely know. It asks again after firstHistoryPause, and then after pauses that double: if a whole
//     fleet has just started, nobody knows.
//  3. A daemon that was paused or cut off has missed versions that came and went meanwhile. Its history begins
//     anew (lease.go has when). So it does if the removal of a replica's entry comes that the daemon has never had, and that is
//     newer than its documents were: the entry came and went within one change. A removal that a peer sends has the last
//     content, which names the version. A list of the store tells no removals.
//  4. Daemons of the previous build tell no history.
//  5. Which versions are new is determined anew with each view, and on each tick and heartbeat while one may be: peers tell in
//     heartbeats which documents they have.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

const (
	firstHistoryPause   = heartbeatInterval
	longestHistoryPause = 3200 * time.Millisecond
)

// historyState is the state of learning the history of versions from peers.
type historyState struct {
	askedAt time.Time
	pause   time.Duration // until the next request
	asked   membership.Address
}

// learnHistory requests a peer's history of versions if the own one does not go back far enough.
func (c *control) learnHistory(ctx context.Context, now time.Time) {
	h := &c.history
	if !c.lacksHistory(now) {
		h.asked, h.pause = "", 0
		return
	}
	if c.syncs.inFlight || now.Sub(h.askedAt) < h.pause {
		return
	}
	from, ok := c.roster.RandomElder(now, c.heartbeats.rng, h.asked)
	if !ok {
		return
	}
	h.asked, h.askedAt, h.pause = from, now, min(max(2*h.pause, firstHistoryPause), longestHistoryPause)
	c.requestDocuments(ctx, from, documentsRequest{after: c.catalog.feed.Position(), acceptsDigest: true, forHistory: true})
}

// lacksHistory reports whether this daemon has documents, but does not know all versions that services lately had.
func (c *control) lacksHistory(now time.Time) bool {
	since := c.catalog.versions.Since()
	return !since.IsZero() && c.catalog.table != nil && now.Sub(since) < c.catalog.table.StreamLife()
}

// mergeHistory takes over the history of versions that a peer told.
func (c *control) mergeHistory(r *routing.VersionReport, from string, now time.Time) {
	r.At.Era = c.resolveEra(r.At.Era, now)
	lacked := c.lacksHistory(now)
	isLonger := c.catalog.versions.Merge(r, now)
	if established := c.establishVersions(now); !isLonger && !established {
		return
	}
	if lacked && isLonger {
		c.log.VersionsLearned(from, now.Sub(c.catalog.versions.Since()), len(r.Versions))
	}
	c.publish(now)
}

// establishVersions determines which versions of services are new (coordination/routing/establishment.go), and logs what has
// changed. It reports whether the view has to be built again. While no version has joined a moment ago it does nothing.
func (c *control) establishVersions(now time.Time) bool {
	if !c.catalog.versions.AwaitsEstablishment() {
		return false
	}
	own := c.catalog.feed.Position()
	changes := c.catalog.versions.Establish(now, own, func(at feed.Position) bool { return c.roster.AllHold(at, own) })
	for i := range changes {
		c.log.VersionChanged(&changes[i])
	}
	return len(changes) > 0
}

// interruptHistory begins the history of versions anew, since this daemon may have missed some. It reports whether
// the view has to be built again.
func (c *control) interruptHistory(now time.Time) bool {
	if c.catalog.versions.Since().IsZero() {
		return false
	}
	c.catalog.versions.Begin(c.catalog.feed.Position(), now)
	return true
}

// missedTick reports whether the last tick is so long ago that the process must have been paused. It may be called
// by any goroutine.
func (c *control) missedTick(now time.Time) bool {
	last := c.tickedAt.Load()
	return last != nil && now.Sub(*last) >= pauseThreshold
}
