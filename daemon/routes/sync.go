// This file is the part of the control loop that fetches documents from a peer that
// holds newer ones. It decides when, and from whom:
//
//  1. A daemon that reads the store itself waits syncDelay first, since the store's
//     own answer is mostly on its way. One that holds nothing yet waits firstSyncDelay
//     for more peers to answer. Others ask at once.
//  2. Peers of the own failure domain are asked first, whose links are short; of
//     these the one with the newest documents.
//  3. One request is under way at a time.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// syncDelay is how long a reader of the store waits for the store's own answer, once
// a peer is known to hold newer documents: some links' delays and an answer of the
// store. With 0 a fleet of 8 does as well.
const syncDelay = 60 * time.Millisecond

// firstSyncDelay is a few times the links' delay. When a whole fleet starts, all find the
// seeds first: without it half of 295 daemons asked three seeds, whose links took .25 s
// for that.
const firstSyncDelay = 30 * time.Millisecond

// syncs is the state of fetching documents from peers.
type syncs struct {
	fetch func(ctx context.Context, from membership.Address, after feed.Revision) (gossip.Documents, error)
	// newer are the peers that hold newer documents, and since when there is one.
	newer      map[membership.Address]newerPeer
	newerSince time.Time
	underWay   bool
}

// newerPeer is a peer that holds newer documents.
type newerPeer struct {
	revision   feed.Revision
	sameDomain bool
}

// noteRevision takes in the revision of a heartbeat's sender.
func (c *control) noteRevision(ctx context.Context, h *gossip.Heartbeat, now time.Time) {
	if h.Revision <= c.catalog.feed.Revision() {
		return
	}
	if len(c.syncs.newer) == 0 {
		c.syncs.newerSince = now
	}
	c.syncs.newer[h.Sender.Address] = newerPeer{revision: h.Revision, sameDomain: h.Sender.Domain == c.domain}
	c.syncIfBehind(ctx, now)
}

// source returns the peer to ask, and forgets those that hold nothing newer any
// more. The address is empty if there is none.
func (s *syncs) source(own feed.Revision) (from membership.Address) {
	var best newerPeer
	for a, p := range s.newer {
		if p.revision <= own {
			delete(s.newer, a)
			continue
		}
		better := p.sameDomain && !best.sameDomain || p.sameDomain == best.sameDomain && p.revision > best.revision
		if from == "" || better {
			from, best = a, p
		}
	}
	return from
}

// syncIfBehind asks a peer for newer documents if there is one.
func (c *control) syncIfBehind(ctx context.Context, now time.Time) {
	own := c.catalog.feed.Revision()
	from := c.syncs.source(own)
	if from == "" || c.syncs.underWay {
		return
	}
	if wait := c.syncDelay(own) - now.Sub(c.syncs.newerSince); wait > 0 {
		time.AfterFunc(wait, func() { c.post(ctx, syncDue{}) })
		return
	}
	c.syncs.underWay = true
	after := c.catalog.feed.AskAfter()
	go func() {
		documents, err := c.syncs.fetch(ctx, from, after)
		c.post(ctx, synced{documents: documents, from: from, err: err})
	}()
}

// syncDelay returns how long to wait once a peer is known to hold newer documents.
func (c *control) syncDelay(own feed.Revision) time.Duration {
	switch {
	case own == 0:
		return firstSyncDelay
	case c.readPlan.Load().Reads:
		return syncDelay
	}
	return 0
}

// finishSync takes in a peer's answer.
func (c *control) finishSync(s *synced, now time.Time) {
	c.syncs.underWay = false
	delete(c.syncs.newer, s.from)
	if s.err != nil {
		c.log.SyncFailed(s.from, s.err)
		return
	}
	f, d := c.catalog.feed, &s.documents
	if d.Whole {
		c.apply(f.ApplyList(d.Items, d.Revision), string(s.from), now)
		return
	}
	c.apply(f.ApplyChanges(d.Items, d.Revision), string(s.from), now)
}
