// This file runs the control loop: the one goroutine that owns the documents
// and the roster, and publishes views.

package routes

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// Documents tells which of the store's documents are which.
type Documents interface {
	Config(f *feed.Feed) (feed.Item, bool)
	ParseConfig(it feed.Item) (*routing.Table, error)
	ParseReplica(it feed.Item) (routing.Replica, error)
	ReplicaID(key string) (routing.ReplicaID, bool)
}

// event is what the control loop takes.
type event interface{ isEvent() }

type (
	// listed is a whole list from the store.
	listed struct {
		items []feed.Item
		at    feed.Revision
	}
	// changed is news from the store's watch.
	changed struct{ items []feed.Item }
	// storeState tells that the store was lost or regained.
	storeState struct {
		lost bool
		err  error
	}
	// heard is a peer's beat.
	heard struct{ beat Beat }
	// pulled is a peer's answer to a request for news.
	pulled struct {
		news News
		from membership.Address
		err  error
	}
	// query runs a function in the loop, for operators and peers.
	query struct{ run func(*control) }
)

func (listed) isEvent()     {}
func (changed) isEvent()    {}
func (storeState) isEvent() {}
func (heard) isEvent()      {}
func (pulled) isEvent()     {}
func (query) isEvent()      {}

// Settings of the control loop.
const (
	eventQueue   = 512
	beatInterval = 200 * time.Millisecond
	// pullGrace is how long a peer may know more than this daemon before it is
	// asked: the store's own news is mostly on its way.
	pullGrace = 60 * time.Millisecond
	// mostSingleLines is the number of documents that change at once up to which
	// the log has a line for each replica. A start in a large fleet changes
	// thousands; the line of the documents tells their number.
	mostSingleLines = 100
	// troubleAge is how long after the store was in trouble the vanishing of a
	// replica's entry is doubted.
	troubleAge = 5 * time.Second
)

// control is the state of the control loop.
type control struct {
	documents Documents
	feed      *feed.Feed
	roster    *membership.Roster
	domain    state.FailureDomain
	rng       *rand.Rand
	loads     *routing.Loads
	health    *routing.Health
	holders   *routing.Holders
	budgets   *routing.Budgets
	log       *Log
	send      func(to membership.Address, payload []byte)
	pull      func(ctx context.Context, from membership.Address, after feed.Revision) (News, error)

	events chan event
	view   atomic.Pointer[routing.View]
	reads  atomic.Pointer[readPlan]

	table       *routing.Table
	tableRev    feed.Revision
	replicas    map[string]routing.Replica // by key of its document
	lapses      *routing.Lapses
	daemons     int
	pulling     bool
	ahead       map[membership.Address]aheadPeer // peers that know more
	aheadSince  time.Time
	storeIsLost bool
	changedAt   time.Time
	troubleAt   time.Time // when this daemon last knew the store to be in trouble
	ticked      time.Time
	figuresAt   time.Time
	terse       bool // the documents under way change too many replicas for a line each
	ticks       int
	beats       int
	nameMembers bool // the next beat names members
}

// aheadPeer is a peer that knows more than this daemon.
type aheadPeer struct {
	revision feed.Revision
	near     bool // it stands in the own failure domain
}

// readPlan tells the store's reader what to do.
type readPlan struct {
	reads bool          // this daemon reads the store
	wait  time.Duration // how long a watch may wait
	ended chan struct{} // closed when another plan takes its place
}

// tell hands an event to the loop and waits for room.
func (c *control) tell(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// run owns the state until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	c.plan(time.Now())
	c.beat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, time.Now())
		case e := <-c.events:
			c.handle(ctx, e, time.Now())
		}
	}
}

func (c *control) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case listed:
		c.apply(c.feed.ApplyList("", e.items, e.at), "store", now)
	case changed:
		c.apply(c.feed.Apply(e.items), "store", now)
	case storeState:
		c.noteStore(e, now)
	case heard:
		c.observe(ctx, &e.beat, now)
	case pulled:
		c.takeNews(&e, now)
	case query:
		e.run(c)
	}
}

func (c *control) noteStore(e storeState, now time.Time) {
	if e.lost == c.storeIsLost {
		return
	}
	c.storeIsLost = e.lost
	c.troubleAt = now
	c.roster.SetBlind(e.lost)
	c.plan(now)
	c.beat(now)
	c.log.Store(e.lost, e.err, c.feed.Revision())
}

// apply publishes what changed in the documents. News goes to the peers at
// once, so that one whom the store turns away learns of it.
func (c *control) apply(items []feed.Item, source string, now time.Time) {
	if len(items) == 0 {
		return
	}
	c.terse = len(items) > mostSingleLines
	for _, it := range items {
		c.applyReplica(it, now)
	}
	c.applyConfig(now, source)
	c.changedAt = now
	c.log.Documents(len(items), source, c.feed.Revision())
	c.publish(now)
	c.notify(c.untold(), now)
}

func (c *control) applyReplica(it feed.Item, now time.Time) {
	id, ok := c.documents.ReplicaID(it.Key)
	if !ok {
		return
	}
	before, known := c.replicas[it.Key]
	if it.Gone {
		if known && !before.Draining {
			c.lapses.Add(before, now.Sub(c.troubleAt) < troubleAge, now)
		}
		delete(c.replicas, it.Key)
		c.logReplica(id, "gone", it.Revision)
		return
	}
	r, err := c.documents.ParseReplica(it)
	if err != nil {
		c.log.Bad(it.Key, err)
		return
	}
	if !known || known && before.Draining != r.Draining {
		c.logReplica(id, stateName(&r), it.Revision)
	}
	c.lapses.Remove(r.ID)
	c.replicas[it.Key] = r
}

// logReplica tells of one replica, unless so many change at once that their lines
// would push others out of the log.
func (c *control) logReplica(id routing.ReplicaID, state string, at feed.Revision) {
	if !c.terse {
		c.log.Replica(id, state, at)
	}
}

func stateName(r *routing.Replica) string {
	if r.Draining {
		return "draining"
	}
	return "ready"
}

// applyConfig takes a newer configuration. One that can't be read changes
// nothing.
func (c *control) applyConfig(now time.Time, source string) {
	it, ok := c.documents.Config(c.feed)
	if !ok || it.Revision <= c.tableRev {
		return
	}
	t, err := c.documents.ParseConfig(it)
	if err != nil {
		c.log.Bad(it.Key, err)
		return
	}
	if c.table != nil && t.Version < c.table.Version {
		c.log.Bad(it.Key, errOlderVersion)
		return
	}
	c.table, c.tableRev = t, it.Revision
	c.log.Config(t.Version, it.Revision, source)
}

// publish builds a view and makes it visible to traffic.
func (c *control) publish(now time.Time) {
	v := &routing.View{
		Table: c.table, Revision: uint64(c.feed.Revision()), Domain: c.domain, Daemons: c.daemons,
		Pools: make(map[routing.ServiceName]*routing.Pool),
	}
	for _, r := range c.replicas {
		p := poolOf(v, r.Service)
		if r.Draining {
			p.Leaving = append(p.Leaving, r)
			continue
		}
		p.Ready = append(p.Ready, r)
	}
	for _, s := range c.lapses.Services() {
		p := poolOf(v, s)
		left := len(p.Ready)
		if usedOn := c.lapses.Fill(s, p, now); len(usedOn) > 0 {
			c.log.Doubted(s, len(usedOn), left)
		}
	}
	for _, p := range v.Pools {
		p.Sort()
	}
	c.view.Store(v)
}

func poolOf(v *routing.View, s routing.ServiceName) *routing.Pool {
	p := v.Pools[s]
	if p == nil {
		p = &routing.Pool{}
		v.Pools[s] = p
	}
	return p
}
