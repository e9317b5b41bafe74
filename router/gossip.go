// This file is the part of the control loop that deals with other daemons.

package router

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/feed"
	"hingewinch.org/hingewinch/membership"
	"hingewinch.org/hingewinch/routing"
)

// Settings of the reading of the store.
const (
	// readersPerZone is how many daemons of a failure domain read the store. The
	// others learn from peers.
	readersPerZone = 1
	// fleetReadInterval is the time within which some daemon of the fleet asks
	// the store anew, should all watches be silent. Each waits so long times the
	// number of readers that it knows.
	fleetReadInterval = 350 * time.Millisecond
	leastWait         = 700 * time.Millisecond
	// readerSilence is how long a reader may be silent before another one of its
	// failure domain reads.
	readerSilence = 700 * time.Millisecond
	longestWait   = 10 * time.Second
)

// tick sends a beat and takes care of what only time changes.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.plan(now)
	c.beat(now)
	c.pullIfBehind(ctx, now)
	if n := 1 + len(c.roster.Live(now)); n != c.daemons {
		c.daemons = n
		c.publish(now)
	}
	c.roster.Known(now)
	c.health.Forget(c.zone, now)
}

// plan decides whether this daemon reads the store, and how long it waits. Of
// the live daemons of a failure domain, those with the lowest addresses read;
// two that disagree on the list may both read, which costs a call and no more.
func (c *control) plan(now time.Time) {
	self := c.roster.Entry()
	before, readers := 0, 1
	zones := make(map[string]int)
	for _, m := range c.roster.Recent(now, readerSilence) {
		if m.Leaving {
			continue
		}
		if m.Zone == self.Zone && m.Address < self.Address {
			before++
		}
		if zones[m.Zone] < readersPerZone {
			zones[m.Zone]++
			readers++
		}
	}
	wait := min(max(fleetReadInterval*time.Duration(readers), leastWait), longestWait)
	c.reads.Store(&readPlan{reads: before < readersPerZone, wait: wait})
}

// beat tells the peers what they need to know of this daemon.
func (c *control) beat(now time.Time) {
	b := Beat{
		Sender: c.roster.Self(), Members: c.roster.Named(now, c.rng), Revision: c.feed.Revision(),
		Loads: c.loads.Own(), Evidence: c.health.Own(now),
		Holdings: c.holders.Untold(maxHoldings),
	}
	if c.table != nil {
		b.Version = c.table.Version
	}
	payload, err := encodeBeat(&b)
	if err != nil {
		return
	}
	for _, to := range c.roster.Targets(now, c.rng) {
		c.send(to, payload)
	}
}

// observe takes a peer's beat.
func (c *control) observe(ctx context.Context, b *Beat, now time.Time) {
	joined := c.roster.Observe(append([]membership.Member{b.Sender}, b.Members...), now)
	for _, m := range joined {
		c.log.Peer(m)
	}
	if len(joined) > 0 {
		c.budgets.SetDaemons(c.roster.Largest())
	}
	c.loads.Observe(routing.PeerID(b.Sender.Address), b.Loads, now)
	c.health.Observe(routing.PeerID(b.Sender.Address), b.Sender.Zone, b.Evidence, now)
	c.holders.Observe(b.Holdings, now)
	if b.Revision > c.feed.Revision() {
		if len(c.ahead) == 0 {
			c.aheadSince = now
		}
		c.ahead[b.Sender.Address] = b.Revision
		c.pullIfBehind(ctx, now)
	}
}

// pullIfBehind asks a peer that knows more, unless the store's own news came
// meanwhile.
func (c *control) pullIfBehind(ctx context.Context, now time.Time) {
	own := c.feed.Revision()
	var from membership.Address
	var newest feed.Revision
	for a, r := range c.ahead {
		if r <= own {
			delete(c.ahead, a)
			continue
		}
		if r > newest {
			from, newest = a, r
		}
	}
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
