// This file is the part of the control loop that fetches documents from a peer that
// holds newer ones. It decides when, and from whom:
//
//  1. A daemon that reads the store itself waits syncDelay first, since the store's
//     own answer is mostly on its way. One that holds nothing yet waits firstSyncDelay
//     for more peers to answer. Others ask at once.
//  2. Peers of the own failure domain are asked first, whose links are short; of
//     these the one with the newest documents.
//  3. One request is under way at a time.
//  4. A daemon whose revision does not say what it lacks is sent a digest, and asks for the
//     parts that differ. One that holds nothing is sent everything.
//  5. A peer whose configuration is newer is asked for that, although its revision may be no
//     higher: it may be in the middle of a list of the store. Once one has answered, none is asked
//     for that version again.
//  6. A peer in a later era of the store is newer, whatever the revisions. Of an answer from an
//     earlier era only the configuration counts, by its own version.
//  7. A daemon whose first documents came from the store asks one peer once: the store may have come
//     back from a copy, and peers know what it lacks.

package routes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// syncDelay is how long a reader of the store waits for the store's own answer, once a peer is
// known to hold newer documents: some links' delays and an answer of the store.
const syncDelay = 60 * time.Millisecond

// firstSyncDelay is a few times the links' delay. When a whole fleet starts, all find the
// seeds first: without it half of 295 daemons asked three seeds, whose links took .25 s
// for that.
const firstSyncDelay = 30 * time.Millisecond

// syncs is the state of fetching documents from peers.
type syncs struct {
	fetch func(ctx context.Context, from membership.Address, q documentsRequest) (documentsAnswer, error)
	// newer are the peers that hold newer documents, and since when there is one.
	newer      map[membership.Address]newerPeer
	newerSince time.Time
	underWay   bool
	unasked    bool // the first documents came from the store, and no peer was asked since
	// answered is the highest version of the configuration that a peer was asked for and answered.
	answered routing.ConfigVersion
}

// newerPeer is a peer that holds newer documents.
type newerPeer struct {
	position
	sameDomain bool
}

// position is how new the documents are that a daemon holds.
type position struct {
	feed.Position
	version routing.ConfigVersion
}

// newerThan reports whether either is newer than another one's.
func (p position) newerThan(other position) bool {
	return other.Before(p.Position) || p.version > other.version
}

// documentsRequest is what a peer is asked for: what changed after a revision, and all that it
// holds in some parts, nil for none. Where it can't say what changed, it answers with a digest if
// that is taken, and else with everything.
type documentsRequest struct {
	after       feed.Position
	knowsEras   bool // false: a build that does not, and whose revision counts in any era
	parts       feed.Parts
	digest      feed.Digest // by which the parts differ
	takesDigest bool
	version     routing.ConfigVersion // of the configuration that the peer is known to hold
}

// documentsAnswer is an answer to it: a digest, everything, or documents where both are nil.
// What is received is never everything: that is documents then.
type documentsAnswer struct {
	documents  gossip.Documents
	digest     *feed.Digest
	everything *packing
}

// packing is all documents of a daemon. They are packed once for all who ask while nothing
// changes: when a whole fleet starts, hundreds ask the same few daemons.
type packing struct {
	at        feed.Position
	documents gossip.Documents
	once      sync.Once
	payload   []byte
	err       error
}

// pack returns the packed documents.
func (p *packing) pack() ([]byte, error) {
	p.once.Do(func() {
		p.payload, p.err = gossip.EncodeDocuments(&p.documents)
		p.documents.Items = nil
	})
	return p.payload, p.err
}

// encode returns the status and the body of an answer.
func (a *documentsAnswer) encode() (status int, payload []byte, err error) {
	switch {
	case a.digest != nil:
		payload, err = gossip.EncodeDigest(a.digest)
		return statusDigest, payload, err
	case a.everything != nil:
		payload, err = a.everything.pack()
	default:
		payload, err = gossip.EncodeDocuments(&a.documents)
	}
	return http.StatusOK, payload, err
}

// noteRevision takes in the revision of a heartbeat's sender.
func (c *control) noteRevision(ctx context.Context, h *gossip.Heartbeat, now time.Time) {
	at := feed.Position{Era: c.placeEra(h.Era, now), Revision: h.Revision}
	p := newerPeer{position: position{at, h.Version}, sameDomain: h.Sender.Domain == c.domain}
	if !p.newerThan(c.position()) {
		c.askOnce(ctx, h.Sender.Address, at)
		return
	}
	if len(c.syncs.newer) == 0 {
		c.syncs.newerSince = now
	}
	c.syncs.newer[h.Sender.Address] = p
	c.syncIfBehind(ctx, now)
}

// position returns how new this daemon's documents are, by rule 5.
func (c *control) position() position {
	return position{c.catalog.feed.Position(), max(c.syncs.answered, c.version())}
}

// version returns the version of the configuration in force, 0 for none.
func (c *control) version() routing.ConfigVersion {
	if c.catalog.table == nil {
		return 0
	}
	return c.catalog.table.Version
}

// askOnce asks a peer that is in the same era by rule 7.
func (c *control) askOnce(ctx context.Context, from membership.Address, at feed.Position) {
	own := c.catalog.feed.Position()
	if !c.syncs.unasked || c.syncs.underWay || own.Era == 0 || at.Era != own.Era || at.Before(own) {
		return
	}
	c.ask(ctx, from, documentsRequest{after: own, takesDigest: true})
}

// source returns the peer to ask, and forgets those that hold nothing newer any
// more. The address is empty if there is none.
func (s *syncs) source(own position) (from membership.Address, best newerPeer) {
	for a, p := range s.newer {
		if !p.newerThan(own) {
			delete(s.newer, a)
			continue
		}
		better := p.sameDomain && !best.sameDomain || p.sameDomain == best.sameDomain && p.newerThan(best.position)
		if from == "" || better {
			from, best = a, p
		}
	}
	return from, best
}

// syncIfBehind asks a peer for newer documents if there is one.
func (c *control) syncIfBehind(ctx context.Context, now time.Time) {
	from, peer := c.syncs.source(c.position())
	if from == "" || c.syncs.underWay {
		return
	}
	f := c.catalog.feed
	if wait := c.syncDelay(f.Revision()) - now.Sub(c.syncs.newerSince); wait > 0 {
		time.AfterFunc(wait, func() { c.post(ctx, syncDue{}) })
		return
	}
	own := f.Position()
	q := documentsRequest{after: feed.Position{Era: own.Era, Revision: f.SyncAfter()}, takesDigest: f.Revision() > 0, version: peer.version}
	if !own.Before(peer.Position) {
		q.after, q.takesDigest = own, false // for the configuration alone
	}
	c.ask(ctx, from, q)
}

// ask asks a peer.
func (c *control) ask(ctx context.Context, from membership.Address, q documentsRequest) {
	c.syncs.underWay = true
	q.knowsEras = true
	go func() {
		answer, err := c.syncs.fetch(ctx, from, q)
		c.post(ctx, synced{asked: q, answer: answer, from: from, err: err})
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
func (c *control) finishSync(ctx context.Context, s *synced, now time.Time) {
	c.syncs.underWay = false
	delete(c.syncs.newer, s.from)
	if s.err != nil {
		c.log.SyncFailed(s.from, s.err)
		return
	}
	c.syncs.answered = max(c.syncs.answered, s.asked.version)
	c.syncs.unasked = false
	f, d, source := c.catalog.feed, &s.answer.documents, string(s.from)
	if s.answer.digest != nil {
		c.askForParts(ctx, s.from, *s.answer.digest, now)
		return
	}
	at := feed.Position{Era: c.placeEra(d.Era, now), Revision: d.Revision}
	own := f.Position()
	switch {
	case at.Era < own.Era:
		c.apply(f.ApplyRetained(d.Items), source, now)
	case d.Whole:
		c.takeList(d.Items, at, source, now)
	case s.asked.parts != nil && s.asked.digest.Era == at.Era:
		changed := f.ApplyParts(d.Items, d.Revision, s.asked.digest, s.asked.parts)
		c.apply(changed, source, now)
		c.noteEra(own, source, len(changed), now)
	case s.asked.parts == nil && own.Era == at.Era && s.asked.after.Era == at.Era:
		c.apply(f.ApplyChanges(d.Items, d.Revision), source, now)
	}
}

// askForParts asks a peer for the parts in which this daemon's documents differ from its digest.
func (c *control) askForParts(ctx context.Context, from membership.Address, d feed.Digest, now time.Time) {
	f := c.catalog.feed
	own := f.Position()
	if d.Era = c.placeEra(d.Era, now); d.Era < own.Era {
		return
	}
	parts := f.Differing(d)
	if !parts.Any() {
		changed := f.ApplyParts(nil, d.Revision, d, parts)
		c.apply(changed, string(from), now)
		c.noteEra(own, string(from), len(changed), now)
		return
	}
	c.ask(ctx, from, documentsRequest{after: feed.Position{Era: d.Era, Revision: d.Revision}, parts: parts, digest: d, takesDigest: true})
}
