// This file records at which software versions streams began, at the daemons that hold these records, and
// asks them. coordination/routing/origins.go has the rules, coordination/membership chooses the holders.

package routes

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

const (
	// originTimeout is how long replies to a question are waited for: a round trip between failure domains
	// takes some milliseconds.
	originTimeout = 50 * time.Millisecond
	// maxOriginQuestions is how often holders are asked that don't reply, since datagrams can be lost.
	maxOriginQuestions = 2
	// documentsTimeout is how long a stream that its caller resumes waits for documents that a peer has: a daemon that
	// reads the store waits for syncDelay before it asks the peer.
	documentsTimeout = 200 * time.Millisecond
	// documentsPoll is how often it looks for them.
	documentsPoll = 5 * time.Millisecond
	// maxKeptOrigins bounds the streams whose origins this daemon keeps at their holders, to about 1 MB.
	maxKeptOrigins = 4096
	// renewalTimeout is how long a stream that its caller resumes and that no holder knows waits for a renewed lease: holders
	// send a heartbeat with their reply, and a daemon that reads the store asks it again after some tenths of a second.
	renewalTimeout = 200 * time.Millisecond
)

// originQuestions are the questions of this daemon that holders have not all replied to.
type originQuestions struct {
	// pending has the holders that were asked. Each is asked under an id of its own, since a reply does not name its sender. The
	// ids are random: a holder that was paused may reply to a question of this daemon's former process.
	pending map[gossip.OriginRequestID]askedHolder
}

// askedHolder is a holder that a question was sent to.
type askedHolder struct {
	*originQuestion
	address membership.Address
}

// originQuestion is a question for the origin of a stream.
type originQuestion struct {
	reply    chan<- originFound
	denied   *atomic.Bool // a holder has replied that it has no record
	waiting  int          // holders that have not replied
	answered bool
	until    time.Time
}

// keptOrigin is the origin of a stream of this daemon that it keeps at its holders.
type keptOrigin struct {
	stream  routing.StreamKey
	version routing.VersionKey
	until   time.Time
}

// message returns the origin as it is sent.
func (k keptOrigin) message(now time.Time) routing.StreamOrigin {
	return routing.StreamOrigin{Stream: k.stream, Version: k.version, Left: k.until.Sub(now)}
}

// originFound is the origin of a stream; version is 0 if no holder knows it, and holder empty if the record is this
// daemon's own.
type originFound struct {
	version routing.VersionKey
	holder  membership.Address
}

// streamOrigins lets the request path record and find the origins of streams.
type streamOrigins struct{ control *control }

var _ relay.Origins = streamOrigins{}

// OnlyVersion implements [relay.Origins].
func (o streamOrigins) OnlyVersion(s routing.ServiceName) (routing.VersionKey, bool) {
	now := clock.Now()
	if !o.control.holdsLease(now) || o.control.missedTick(now) || o.control.lacksDocuments.Load() {
		return 0, false
	}
	return o.control.view.Load().OnlyVersion(s, now)
}

// AwaitOnlyVersion implements [relay.Origins].
func (o streamOrigins) AwaitOnlyVersion(ctx context.Context, s routing.ServiceName) (v routing.VersionKey, ok bool) {
	awaitWhile(ctx, renewalTimeout, func() bool {
		v, ok = o.OnlyVersion(s)
		return !ok && !o.control.view.Load().HasSeveralVersions(s)
	})
	return v, ok
}

// AwaitDocuments implements [relay.Origins].
func (o streamOrigins) AwaitDocuments(ctx context.Context) {
	awaitWhile(ctx, documentsTimeout, o.control.lacksDocuments.Load)
}

// awaitWhile waits while a condition holds, at most for a time.
func awaitWhile(ctx context.Context, limit time.Duration, condition func() bool) {
	if !condition() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(documentsPoll)
	defer ticker.Stop()
	for condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Record implements [relay.Origins].
func (o streamOrigins) Record(origin routing.StreamOrigin) {
	o.control.postAlways(streamBegan{origin})
}

// Completed implements [relay.Origins].
func (o streamOrigins) Completed(stream routing.StreamKey) {
	o.control.postAlways(streamCompleted{stream})
}

// Find implements [relay.Origins].
func (o streamOrigins) Find(ctx context.Context, stream routing.StreamKey) (relay.OriginRecord, bool) {
	var denied atomic.Bool
	for range maxOriginQuestions {
		if found, ok := o.ask(ctx, stream, &denied); ok {
			return relay.OriginRecord{Version: found.version, Holder: routing.PeerID(found.holder), Denied: found.version == 0}, found.version != 0
		}
	}
	return relay.OriginRecord{Denied: denied.Load()}, false
}

// ask asks the holders once. It returns false if they did not all reply in time and those that did know
// nothing; denied is set if there are such.
func (o streamOrigins) ask(ctx context.Context, stream routing.StreamKey, denied *atomic.Bool) (originFound, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	reply := make(chan originFound, 1)
	o.control.post(ctx, originNeeded{stream: stream, reply: reply, denied: denied})
	select {
	case found := <-reply:
		return found, true
	case <-ctx.Done():
		return originFound{}, false
	}
}

// recordOrigin records the origin of a stream of this daemon at its holders, and keeps it there. This daemon keeps it in any case:
// callers mostly return to a daemon that they know.
func (c *control) recordOrigin(o routing.StreamOrigin, now time.Time) {
	c.origins.Observe(o, now)
	c.log.metrics.OriginsRecorded.Inc(1)
	if c.keptOrigins.Len() >= maxKeptOrigins {
		sendReports(c, c.others(c.roster.Holders(uint64(o.Stream), now)), []routing.StreamOrigin{o}, gossip.EncodeOrigins)
		return
	}
	kept := keptOrigin{stream: o.Stream, version: o.Version, until: now.Add(o.Left)}
	holders := c.keptOrigins.Add(uint64(o.Stream), kept, kept.until, c.roster, now)
	sendReports(c, holders, []routing.StreamOrigin{o}, gossip.EncodeOrigins)
}

// keepOrigins sends the origins of streams of this daemon to holders that lack them.
func (c *control) keepOrigins(now time.Time) {
	for _, unsent := range c.keptOrigins.TakeUnsent(c.roster, now) {
		for some := range slices.Chunk(unsent.Records, gossip.MaxOrigins) {
			origins := make([]routing.StreamOrigin, len(some))
			for i, kept := range some {
				origins[i] = kept.message(now)
			}
			sendReports(c, []membership.Address{unsent.Holder}, origins, gossip.EncodeOrigins)
		}
		c.log.metrics.OriginsResent.Inc(int64(len(unsent.Records)))
	}
}

// others returns addresses without this daemon's own.
func (c *control) others(all []membership.Address) []membership.Address {
	own := c.roster.Self().Address
	return slices.DeleteFunc(all, func(a membership.Address) bool { return a == own })
}

// receiveOrigins keeps the origins of streams that a peer records at this daemon.
func (c *control) receiveOrigins(origins []routing.StreamOrigin, now time.Time) {
	for _, o := range origins {
		c.origins.Observe(o, now)
	}
}

// findOrigin looks for the origin of a stream, here and at the daemons that may hold it.
func (c *control) findOrigin(need *originNeeded, now time.Time) {
	if v, ok := c.origins.Find(need.stream, now); ok {
		need.reply <- originFound{version: v}
		return
	}
	others := c.others(c.roster.PossibleHolders(uint64(need.stream), now))
	if len(others) == 0 {
		need.reply <- originFound{}
		return
	}
	q := &c.originQuestions
	if q.pending == nil {
		q.pending = make(map[gossip.OriginRequestID]askedHolder)
	}
	question := &originQuestion{reply: need.reply, denied: need.denied, waiting: len(others), until: now.Add(originTimeout)}
	for _, holder := range others {
		id := gossip.OriginRequestID(c.heartbeats.rng.Uint32())
		q.pending[id] = askedHolder{question, holder}
		ask := gossip.OriginRequest{ID: id, From: c.roster.Self().Address, Stream: need.stream}
		sendReports(c, []membership.Address{holder}, []gossip.OriginRequest{ask}, gossip.EncodeOriginRequests)
	}
}

// answerOrigins replies to a peer's questions.
func (c *control) answerOrigins(requests []gossip.OriginRequest, now time.Time) {
	for _, r := range requests {
		v, _ := c.origins.Find(r.Stream, now)
		sendReports(c, []membership.Address{r.From}, []gossip.OriginReply{{ID: r.ID, Version: v}}, gossip.EncodeOriginReplies)
		c.renewLease(r.From, now)
	}
}

// renewLease sends a heartbeat to a peer that asks for the origin of a stream, as its lease may have ended. It is sent at most
// once in heartbeatInterval: when a daemon ends, many streams are resumed at once.
func (c *control) renewLease(to membership.Address, now time.Time) {
	l := &c.lease
	if now.Sub(l.renewedAt[to]) < heartbeatInterval {
		return
	}
	if l.renewedAt == nil {
		l.renewedAt = make(map[membership.Address]time.Time)
	}
	l.renewedAt[to] = now
	h := c.newHeartbeat(now)
	h.Partial = true
	c.sendTo([]membership.Address{to}, &h)
}

// receiveOriginReplies passes replies to the requests that wait for them. The first one that knows the
// origin is enough.
func (c *control) receiveOriginReplies(replies []gossip.OriginReply) {
	for _, r := range replies {
		holder, ok := c.originQuestions.pending[r.ID]
		if !ok {
			continue
		}
		delete(c.originQuestions.pending, r.ID)
		if holder.waiting--; holder.answered || r.Version == 0 && holder.waiting > 0 {
			holder.denied.Store(true)
			continue
		}
		holder.answered = true
		found := originFound{version: r.Version}
		if r.Version != 0 {
			found.holder = holder.address
		}
		holder.reply <- found
	}
}

// dropExpired drops questions that nobody waits for any more.
func (q *originQuestions) dropExpired(now time.Time) {
	for id, asked := range q.pending {
		if now.After(asked.until) {
			delete(q.pending, id)
		}
	}
}
