// This file is the part of the control loop that deals with other daemons.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// Settings of the reading of the store. In each failure domain one daemon reads.
// Of the readers that hear each other, one is the sentinel: its watches are
// short, so that changes are noticed although all watches have fallen silent.
// The watches of the others are long and cost little; news of a change comes
// through whichever watch hears it first.
const (
	sentinelWait = 450 * time.Millisecond
	readerWait   = 4 * time.Second
	// readerSilence is how long a reader may be silent before another one takes
	// its part. In a large fleet news of members travels over several daemons.
	readerSilence      = 700 * time.Millisecond
	readerSilenceLarge = 2 * time.Second
)

// figuresInterval is how often the log tells what control has cost.
const figuresInterval = 10 * time.Second

// tick sends a beat and takes care of what only time changes.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.notePause(now)
	if c.storeIsLost {
		c.troubleAt = now
	}
	c.plan(now)
	c.tickBeat(now)
	c.pullIfBehind(ctx, now)
	decided := c.lapses.Expire(now)
	if n := c.roster.Size(now); c.sizeChanged(n) || decided {
		c.daemons = n
		c.publish(now)
	}
	c.roster.Known(now)
	c.health.Forget(c.domain, now)
	if now.Sub(c.figuresAt) >= figuresInterval {
		c.figuresAt = now
		c.log.Figures(c.daemons, c.feed.Revision())
	}
}

// sizeShare is the part of a large fleet's size by which it must change to be
// taken over: there the number is an estimate that moves with each beat, and a
// view is not built anew for that.
const sizeShare = 10

func (c *control) sizeChanged(n int) bool {
	if !c.large() {
		return n != c.daemons
	}
	return sizeShare*max(n-c.daemons, c.daemons-n) > c.daemons
}

// longestTick is the time between two ticks above which the process stood still:
// what it believes is as old as the pause.
const longestTick = time.Second

// notePause tells of a pause of the process and asks the store anew: the watch
// may have been cut meanwhile, and what it told last is old.
func (c *control) notePause(now time.Time) {
	last := c.ticked
	c.ticked = now
	if last.IsZero() || now.Sub(last) < longestTick {
		return
	}
	c.log.Paused(now.Sub(last))
	if old := c.reads.Load(); old != nil {
		c.reads.Store(&readPlan{reads: old.reads, wait: old.wait, ended: make(chan struct{})})
		close(old.ended)
	}
}

// plan decides whether this daemon reads the store, and how long it waits. Of
// the daemons of a failure domain that can read, the one with the lowest address
// does; the reader with the lowest address of all is the sentinel. Two daemons
// that disagree on the list may both do so, which costs calls and no more.
func (c *control) plan(now time.Time) {
	self := c.roster.Entry()
	silence := readerSilence
	if c.large() {
		silence = readerSilenceLarge
	}
	reads, sentinel := true, true
	for _, m := range c.roster.Recent(now, silence) {
		if m.Leaving || m.Blind || m.Address > self.Address {
			continue
		}
		sentinel = false
		if m.Domain == self.Domain {
			reads = false
		}
	}
	// A daemon that can't read keeps trying, and leaves the sentinel's part to
	// one that can.
	wait := readerWait
	if sentinel || self.Blind {
		wait = sentinelWait
	}
	old := c.reads.Load()
	if old != nil && old.reads == reads && old.wait == wait {
		return
	}
	c.reads.Store(&readPlan{reads: reads, wait: wait, ended: make(chan struct{})})
	if old != nil {
		close(old.ended)
	}
}

// namingInterval is how many beats of a small fleet go out for each that names
// members; in between only those that have just been found are named.
const namingInterval = 5

// largeBeatTicks is how many ticks lie between the beats of a large fleet, which
// keeps what a daemon spends on control from growing with the fleet.
const largeBeatTicks = 2

// tickBeat sends a beat if one is due at this tick.
func (c *control) tickBeat(now time.Time) {
	c.ticks++
	if !c.large() || c.ticks%largeBeatTicks == 0 {
		c.beat(now)
		return
	}
	// Who holds which prompt is told at once: each daemon that does not know it
	// has the prompt read again.
	if holdings := c.untold(); len(holdings) > 0 {
		c.notify(holdings, now)
	}
}

// large reports whether the fleet is too large for all to tell all others.
func (c *control) large() bool { return c.daemons > membership.TellAll }

// head returns a beat that says which documents this daemon holds.
func (c *control) head() Beat {
	stamp := c.log.timeline.Stamp()
	b := Beat{
		Sender: c.roster.Self(), Wall: stamp.Wall, Counter: stamp.Counter, Revision: c.feed.Revision(),
		Fleet: c.roster.Size(time.Now()),
	}
	if c.table != nil {
		b.Version = c.table.Version
	}
	return b
}

// beat tells the peers what they need to know of this daemon.
func (c *control) beat(now time.Time) {
	b := c.head()
	b.Loads, b.Evidence, b.Holdings = c.loads.Own(), c.health.Own(now), c.untold()
	if c.beats++; c.nameMembers || c.large() || c.beats%namingInterval == 0 {
		b.Members, c.nameMembers = c.roster.Named(now, c.rng), false
	}
	c.spread(&b, now)
}

// untold returns the holdings of a beat.
func (c *control) untold() []routing.Holding {
	if c.large() {
		return c.holders.Untold(maxHoldingsLarge)
	}
	return c.holders.Untold(maxHoldings)
}

// notify sends a notice: the revision of the documents, and holdings if there are
// any.
func (c *control) notify(holdings []routing.Holding, now time.Time) {
	b := c.head()
	b.Notice, b.Holdings = true, holdings
	c.spread(&b, now)
}

// noticeTargets is how many daemons of a large fleet a notice goes to. Each hands
// it on, so that fewer do than of a beat.
const noticeTargets = 3

// introduce tells a daemon that has just been found of some others.
func (c *control) introduce(to membership.Member, now time.Time) {
	b := c.head()
	b.Notice, b.Members = true, c.roster.Introduce(to, now, c.rng)
	if payload, err := encodeBeat(&b); err == nil {
		c.send(to.Address, payload)
	}
}

func (c *control) spread(b *Beat, now time.Time) {
	payload, err := encodeBeat(b)
	if err != nil {
		c.log.BadBeat(err)
		return
	}
	targets := c.roster.Targets(now, c.rng)
	if b.Notice && c.large() {
		c.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), noticeTargets)]
	}
	for _, to := range targets {
		c.send(to, payload)
	}
}

// observe takes a peer's beat.
func (c *control) observe(ctx context.Context, b *Beat, now time.Time) {
	c.log.timeline.Observe(coordination.Stamp{Wall: b.Wall, Counter: b.Counter})
	joined := c.roster.Observe(append([]membership.Member{b.Sender}, b.Members...), now)
	for _, m := range joined {
		c.log.Peer(m)
		if m.Address == b.Sender.Address && c.large() {
			c.introduce(m, now)
		}
	}
	c.roster.HearSize(b.Fleet, now)
	c.plan(now)
	if b.Sender.Blind {
		c.troubleAt = now
	}
	if len(joined) > 0 {
		c.nameMembers = true
	}
	c.budgets.SetDaemons(c.roster.Largest())
	c.observeDomains()
	if !b.Notice {
		c.observeWork(b, now)
	}
	c.holders.Observe(b.Holdings, c.large(), now)
	if b.Revision > c.feed.Revision() {
		if len(c.ahead) == 0 {
			c.aheadSince = now
		}
		c.ahead[b.Sender.Address] = aheadPeer{revision: b.Revision, near: b.Sender.Domain == c.domain}
		c.pullIfBehind(ctx, now)
	}
}

// observeWork takes what a peer tells of its requests.
func (c *control) observeWork(b *Beat, now time.Time) {
	loadAge, evidenceAge := routing.PeerLoadAge, routing.PeerEvidenceAge
	if c.large() {
		loadAge, evidenceAge = routing.PeerLoadAgeLarge, routing.PeerEvidenceAgeLarge
	}
	peer := routing.PeerID(b.Sender.Address)
	c.loads.Observe(peer, b.Loads, now, loadAge)
	c.health.Observe(peer, b.Evidence, now, evidenceAge)
}

// observeDomains tells what is known of the other domains' daemons.
func (c *control) observeDomains() {
	domains := c.roster.Domains()
	delete(domains, c.domain)
	silence := routing.SilentDomain
	if c.large() {
		silence = routing.SilentDomainLarge
	}
	c.health.ObserveDomains(domains, silence)
}

// mostAhead returns the peer to ask for news: near ones first, whose links are
// short, and of these the one that knows most.
func (c *control) mostAhead() (from membership.Address) {
	own := c.feed.Revision()
	var best aheadPeer
	for a, p := range c.ahead {
		if p.revision <= own {
			delete(c.ahead, a)
			continue
		}
		better := p.near && !best.near || p.near == best.near && p.revision > best.revision
		if from == "" || better {
			from, best = a, p
		}
	}
	return from
}

// pullIfBehind asks a peer that knows more, unless the store's own news came
// meanwhile.
func (c *control) pullIfBehind(ctx context.Context, now time.Time) {
	own := c.feed.Revision()
	from := c.mostAhead()
	if from == "" || c.pulling {
		return
	}
	if grace := pullGrace - now.Sub(c.aheadSince); grace > 0 && own > 0 && c.reads.Load().reads {
		time.AfterFunc(grace, func() { c.tell(ctx, query{run: func(c *control) { c.pullIfBehind(ctx, time.Now()) }}) })
		return
	}
	c.pulling = true
	go func() {
		news, err := c.pull(ctx, from, own)
		c.tell(ctx, pulled{news: news, from: from, err: err})
	}()
}

func (c *control) takeNews(p *pulled, now time.Time) {
	c.pulling = false
	delete(c.ahead, p.from)
	if p.err != nil {
		c.log.PullFailed(p.from, p.err)
		return
	}
	if p.news.Whole {
		c.apply(c.feed.ApplyList("", p.news.Items, p.news.Revision), string(p.from), now)
		return
	}
	items := c.feed.Apply(p.news.Items)
	c.feed.Advance(p.news.Revision)
	c.apply(items, string(p.from), now)
}

// news answers a peer.
func (c *control) news(after feed.Revision) News {
	items, whole := c.feed.Since(after)
	return News{Items: items, Revision: c.feed.Revision(), Whole: whole}
}
