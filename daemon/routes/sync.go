// This file is the part of the control loop that fetches documents from a peer that
// holds newer ones. The rules for when and from which peer are:
//
//  1. A daemon that reads the store itself waits for syncDelay first, because the store's
//     own response is usually about to arrive. A daemon without documents waits for
//     firstSyncDelay, so that more peers can respond. Others send the request immediately.
//  2. Peers of the daemon's own failure domain are preferred, because the links to them are
//     short. Among these, the peer with the newest documents is chosen.
//  3. Only one request is in flight at a time.
//  4. If a daemon's revision is not enough to determine which documents it lacks, it is sent a
//     digest and requests the parts that differ. A daemon without documents is sent all documents.
//  5. A peer with a newer configuration is asked for it even if its revision is not higher, because
//     it may be in the middle of listing the store. After one peer has responded, no peer is asked for
//     that version again.
//  6. A peer in a later era of the store is newer, whatever the revisions are. From a response of an
//     earlier era only the configuration is used, if its version is higher.
//  7. A daemon whose first documents came from the store sends one request to one peer in any case:
//     the store may have been restored from a backup, and peers know the documents that it lacks.

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

// syncDelay is how long a daemon that reads the store waits for the store's own response once a peer
// is known to hold newer documents. It covers a few link delays and the store's response time.
const syncDelay = 60 * time.Millisecond

// firstSyncDelay is a few times the link delay. When a whole fleet starts, all daemons find
// the seeds first. Without the delay, half of 295 daemons asked three seeds, whose links took
// 0.25 s to respond.
const firstSyncDelay = 30 * time.Millisecond

// syncState is the state of fetching documents from peers.
type syncState struct {
	fetch func(ctx context.Context, from membership.Address, q documentsRequest) (documentsResponse, error)
	// newer contains the peers that hold newer documents; newerSince is when the first was found.
	newer          map[membership.Address]newerPeer
	newerSince     time.Time
	newest         feed.Position // that any peer is known to have, also one that could not be asked
	newestHeard    time.Time     // when a peer last told of it
	inFlight       bool
	needsPeerCheck bool // the first documents came from the store, and no peer has responded since
	// respondedVersion is the highest configuration version for which a peer answered a request.
	respondedVersion routing.ConfigVersion
}

// newerPeer is a peer that holds newer documents.
type newerPeer struct {
	position
	sameDomain bool
}

// position is the position of a daemon's documents and the version of its configuration.
type position struct {
	feed.Position
	version routing.ConfigVersion
}

// newerThan reports whether the documents or the configuration are newer than those of another
// position.
func (p position) newerThan(other position) bool {
	return other.Before(p.Position) || p.version > other.version
}

// documentsRequest is a request to a peer for the documents that changed after a revision, and for
// all documents in some parts, nil for none. A peer that can't determine what changed responds with
// a digest if the requester accepts one, and otherwise with all documents.
type documentsRequest struct {
	after         feed.Position
	knowsEras     bool // false if the requester's build lacks eras; its revision then counts in any era
	parts         feed.Parts
	digest        feed.Digest // the peer's digest, from which the parts were determined
	acceptsDigest bool
	version       routing.ConfigVersion // of the configuration that the peer is known to hold
	forHistory    bool                  // it was sent for the peer's history of versions (versions.go)
}

// documentsResponse is the response to a documentsRequest: a digest, a snapshot of all documents, or
// the requested documents if both are nil. In a received response snapshot is always nil, and a
// snapshot's documents are in documents.
type documentsResponse struct {
	documents gossip.Documents
	digest    *feed.Digest
	snapshot  *encodedSnapshot
	// versions is the peer's history of versions; nil if it tells none.
	versions *routing.VersionReport
}

// encodedSnapshot holds all documents of a daemon and their encoding, which is shared by all
// requests until a document changes: when a whole fleet starts, hundreds of daemons fetch the
// documents from the same few peers.
type encodedSnapshot struct {
	at        feed.Position
	documents gossip.Documents
	once      sync.Once
	payload   []byte
	err       error
}

// encode returns the encoded documents.
func (p *encodedSnapshot) encode() ([]byte, error) {
	p.once.Do(func() {
		p.payload, p.err = gossip.EncodeDocuments(&p.documents)
		p.documents.Items = nil
	})
	return p.payload, p.err
}

// respond returns the response to a peer's request for documents.
func (c *control) respond(q *documentsRequest, now time.Time) documentsResponse {
	a := c.catalog.respond(q)
	history := c.catalog.versions.Report(c.catalog.feed.Position(), now)
	if c.lease.lapsed || c.missedTick(now) {
		history.Complete = 0
	}
	a.versions = &history
	return a
}

// encode returns the HTTP status and the body of the response.
func (a *documentsResponse) encode() (status int, payload []byte, err error) {
	switch {
	case a.digest != nil:
		payload, err = gossip.EncodeDigest(a.digest)
		return statusDigest, payload, err
	case a.snapshot != nil:
		payload, err = a.snapshot.encode()
	default:
		payload, err = gossip.EncodeDocuments(&a.documents)
	}
	return http.StatusOK, payload, err
}

// observePosition processes the document position in a peer's heartbeat.
func (c *control) observePosition(ctx context.Context, h *gossip.Heartbeat, now time.Time) {
	at := feed.Position{Era: c.resolveEra(h.Era, now), Revision: h.Revision}
	c.roster.ObservePosition(h.Sender, at)
	if !at.Before(c.syncs.newest) {
		c.syncs.newest, c.syncs.newestHeard = at, now
	}
	p := newerPeer{position: position{at, h.Version}, sameDomain: h.Sender.Domain == c.domain}
	if !p.newerThan(c.position()) {
		c.requestMissedDocuments(ctx, h.Sender.Address, at)
		return
	}
	if len(c.syncs.newer) == 0 {
		c.syncs.newerSince = now
	}
	c.syncs.newer[h.Sender.Address] = p
	c.syncIfBehind(ctx, now)
}

// updateLacksDocuments determines whether a peer is known to have newer documents than this daemon. It is called once
// the documents that an event brought are in the view. What no peer has told of for as long as a stream can last does not
// count: the peer may be gone, and so are the streams.
func (c *control) updateLacksDocuments(now time.Time) {
	if now.Sub(c.syncs.newestHeard) > c.catalog.table.StreamLife() {
		c.syncs.newest = feed.Position{}
	}
	c.lacksDocuments.Store(c.catalog.feed.Position().Before(c.syncs.newest))
}

// position returns the position of this daemon's documents. Its version is the highest that need not
// be fetched any more, by rule 5.
func (c *control) position() position {
	return position{c.catalog.feed.Position(), max(c.syncs.respondedVersion, c.version())}
}

// version returns the version of the active configuration, or 0 if there is none.
func (c *control) version() routing.ConfigVersion {
	if c.catalog.table == nil {
		return 0
	}
	return c.catalog.table.Version
}

// requestMissedDocuments sends the request of rule 7 to a peer in the same era.
func (c *control) requestMissedDocuments(ctx context.Context, from membership.Address, at feed.Position) {
	own := c.catalog.feed.Position()
	if !c.syncs.needsPeerCheck || c.syncs.inFlight || own.Era == 0 || at.Era != own.Era || at.Before(own) {
		return
	}
	c.requestDocuments(ctx, from, documentsRequest{after: own, acceptsDigest: true})
}

// choosePeer returns the peer to fetch documents from, and drops peers that no longer hold newer
// documents. The address is empty if there is no such peer.
func (s *syncState) choosePeer(own position) (from membership.Address, best newerPeer) {
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

// syncIfBehind requests documents from a peer that holds newer ones, if there is one.
func (c *control) syncIfBehind(ctx context.Context, now time.Time) {
	from, peer := c.syncs.choosePeer(c.position())
	if from == "" || c.syncs.inFlight {
		return
	}
	f := c.catalog.feed
	if wait := c.syncDelay(f.Revision()) - now.Sub(c.syncs.newerSince); wait > 0 {
		time.AfterFunc(wait, func() { c.post(ctx, syncDue{}) })
		return
	}
	own := f.Position()
	q := documentsRequest{after: feed.Position{Era: own.Era, Revision: f.SyncAfter()}, acceptsDigest: f.Revision() > 0, version: peer.version}
	if !own.Before(peer.Position) {
		q.after, q.acceptsDigest = own, false // only the configuration is newer
	}
	c.requestDocuments(ctx, from, q)
}

// requestDocuments sends a request for documents to a peer. The response is posted as an event.
func (c *control) requestDocuments(ctx context.Context, from membership.Address, q documentsRequest) {
	c.syncs.inFlight = true
	q.knowsEras = true
	go func() {
		answer, err := c.syncs.fetch(ctx, from, q)
		c.post(ctx, syncCompleted{request: q, response: answer, from: from, err: err})
	}()
}

// syncDelay returns how long to wait, by rule 1, once a peer is known to hold newer documents.
func (c *control) syncDelay(own feed.Revision) time.Duration {
	switch {
	case own == 0:
		return firstSyncDelay
	case c.readPlan.Load().Reads:
		return syncDelay
	}
	return 0
}

// finishSync processes a peer's response to a request for documents.
func (c *control) finishSync(ctx context.Context, s *syncCompleted, now time.Time) {
	c.syncs.inFlight = false
	delete(c.syncs.newer, s.from)
	if s.err != nil {
		c.log.SyncFailed(s.from, s.err)
		return
	}
	c.syncs.respondedVersion = max(c.syncs.respondedVersion, s.request.version)
	c.syncs.needsPeerCheck = c.syncs.needsPeerCheck && s.request.forHistory
	defer c.mergeResponse(s, now)
	f, d, source := c.catalog.feed, &s.response.documents, string(s.from)
	if s.response.digest != nil {
		c.requestParts(ctx, s.from, *s.response.digest, now)
		return
	}
	at := feed.Position{Era: c.resolveEra(d.Era, now), Revision: d.Revision}
	own := f.Position()
	switch {
	case at.Era < own.Era:
		c.apply(f.ApplyRetained(d.Items), source, now)
	case d.Whole:
		c.applyList(d.Items, at, source, now)
	case s.request.parts != nil && s.request.digest.Era == at.Era:
		changed := f.ApplyParts(d.Items, d.Revision, s.request.digest, s.request.parts)
		c.apply(changed, source, now)
		c.recordEraChange(own, source, len(changed), now)
	case s.request.parts == nil && own.Era == at.Era && s.request.after.Era == at.Era:
		c.apply(f.ApplyChanges(d.Items, d.Revision), source, now)
	}
}

// mergeResponse takes over the history of versions in a peer's response, once its documents are applied.
func (c *control) mergeResponse(s *syncCompleted, now time.Time) {
	if s.response.versions != nil {
		c.mergeHistory(s.response.versions, string(s.from), now)
	}
}

// requestParts requests the parts in which this daemon's documents differ from a peer's digest.
func (c *control) requestParts(ctx context.Context, from membership.Address, d feed.Digest, now time.Time) {
	f := c.catalog.feed
	own := f.Position()
	if d.Era = c.resolveEra(d.Era, now); d.Era < own.Era {
		return
	}
	parts := f.Differing(d)
	if !parts.Any() {
		changed := f.ApplyParts(nil, d.Revision, d, parts)
		c.apply(changed, string(from), now)
		c.recordEraChange(own, string(from), len(changed), now)
		return
	}
	c.requestDocuments(ctx, from, documentsRequest{after: feed.Position{Era: d.Era, Revision: d.Revision}, parts: parts, digest: d, acceptsDigest: true})
}
