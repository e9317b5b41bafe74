// This file runs the control loop: the one goroutine that owns the documents, the
// roster and what is sent to peers, and that publishes the view which traffic
// reads. What it owns stands in files of its own: catalog.go, heartbeat.go,
// sync.go.

package routes

import (
	"context"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	// eventQueue is how many events may wait. Who posts one waits for room.
	eventQueue = 512
	// heartbeatInterval is the time between two ticks, at each of which a heartbeat goes out in a
	// small fleet.
	heartbeatInterval = 200 * time.Millisecond
	// storeTroubleMemory is how long after the store was unreachable the expiry of a
	// replica's entry is doubted.
	storeTroubleMemory = 5 * time.Second
	// entriesReturn is how long after the store was read again its entries may be those of before:
	// those of living replicas are back within about two seconds, and are passed on by peers.
	entriesReturn = 3 * time.Second
	// figuresInterval is how often the log says what control has cost.
	figuresInterval = 10 * time.Second
	// pauseLimit is the time between two ticks above which the process was paused:
	// what it knows is as old as the pause.
	pauseLimit = time.Second
	// sizeTolerance is the part of a large fleet's size by which it must change
	// before a view is built for it, as a divisor: there the number is an estimate
	// that moves with each heartbeat.
	sizeTolerance = 10
)

// tables are what the control loop shares with traffic. They guard themselves.
type tables struct {
	loads   *routing.Loads
	health  *routing.Health
	cache   *routing.CacheTable
	crowds  *routing.Crowds
	crashes *routing.Crashes
	cold    *routing.ColdLimiter
	budgets *routing.RetryBudgets
	rests   *routing.Backoffs
	// leavings are applied to each view that is built.
	leavings *routing.Departures
}

// newTables returns empty tables of a daemon, which shares its retry budget with others.
func newTables(daemon routing.PeerID, rule routing.RetryRule, daemons int) tables {
	return tables{
		loads: routing.NewLoads(), health: routing.NewHealth(), cache: routing.NewCacheTable(), crowds: routing.NewCrowds(),
		crashes: routing.NewCrashes(), cold: routing.NewColdLimiter(daemon), budgets: routing.NewRetryBudgets(rule, daemons),
		rests: routing.NewBackoffs(), leavings: routing.NewDepartures(),
	}
}

// control is the state of the control loop.
type control struct {
	tables
	domain     state.FailureDomain
	log        *Log
	roster     *membership.Roster
	catalog    *catalog
	heartbeats heartbeats
	repeats    repeats
	syncs      syncs
	loans      loans

	// openSince returns when the oldest idle connection to a replica that is open was opened.
	openSince func(routing.Incarnation) (time.Time, bool)

	events chan event
	view   atomic.Pointer[routing.View]
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	readPlan   atomic.Pointer[readPlan]

	daemons int // in the view; see sizeChanged
	// viewIsOld says that replicas leave which the view calls ready. They get nothing all the same
	// (coordination/routing/ineligible.go); the next tick builds a view, for all that are new by then.
	viewIsOld      bool
	storeLost      bool
	storeUnreadAt  time.Time // when no daemon that is known could read the store
	era            eraState
	storeTroubleAt time.Time // when the store was last known to be unreachable, here or at a peer
	tickedAt       time.Time
	startedAt      time.Time
	figuresAt      time.Time
}

// readPlan is the plan of the store's reader.
type readPlan struct {
	membership.ReadPlan
	ended chan struct{} // closed when another plan takes its place
}

// post hands an event to the loop and waits for room.
func (c *control) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// run owns the state until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	c.startedAt = clock.Now()
	c.roster.ListenFirst(c.startedAt)
	c.planReads(clock.Now())
	c.sendHeartbeat(clock.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, clock.Now())
		case <-c.crowds.Waiting():
			c.awaitMoreReports(ctx, crowdsDue{})
		case <-c.crashes.Waiting():
			c.awaitMoreReports(ctx, crashesDue{})
		case <-c.health.LivenessWaiting():
			c.awaitMoreReports(ctx, livesDue{})
		case <-c.leavings.Waiting():
			c.viewIsOld = true
			c.awaitMoreReports(ctx, leavingsDue{})
		case e := <-c.events:
			c.handle(ctx, e, clock.Now())
		}
	}
}

func (c *control) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case storeListed:
		c.syncs.unasked = c.syncs.unasked || c.catalog.feed.Revision() == 0
		c.takeList(e.items, e.at, sourceStore, now)
	case storePaged:
		c.takePage(&e, now)
	case storeChanged:
		if e.At.Era == c.catalog.feed.Position().Era {
			c.apply(c.catalog.feed.Apply(e.Items), sourceStore, now)
		}
	case storeReachable:
		c.setStoreLost(e, now)
	case heartbeatReceived:
		c.receiveHeartbeat(ctx, &e.heartbeat, now)
	case silencesReceived:
		c.receiveSilences(e.reports, now)
	case crowdsReceived:
		c.crowds.Observe(e.reports, now)
	case crowdsDue:
		c.sendCrowds(now)
	case crashesReceived:
		c.receiveCrashes(e.reports, now)
	case crashesDue:
		c.sendCrashes(now)
	case livesReceived:
		c.receiveLives(e.reports, now)
	case livesDue:
		c.sendLives(now)
	case leavingsReceived:
		c.receiveLeavings(e.reports, now)
	case leavingsDue:
		c.sendLeavings(now)
	case loanWanted:
		c.askForLoan(&e, now)
	case loanAsksReceived:
		c.lend(e.asks, now)
	case loansReceived:
		c.takeLoans(e.loans)
	case syncDue:
		c.syncIfBehind(ctx, now)
	case synced:
		c.finishSync(ctx, &e, now)
	case callerWaits:
		c.roster.StopListening()
		c.planReads(now)
	case stopBegun:
		c.roster.SetLeaving()
		c.sendHeartbeat(now)
	case documentsAsked:
		e.reply <- c.catalog.answer(&e.request)
	case question:
		c.answer(e, now)
	}
}

// answer answers an operator.
func (c *control) answer(q question, now time.Time) {
	switch q := q.(type) {
	case statusAsked:
		q.reply <- c.statusAnswer(now)
	case membersAsked:
		q.reply <- c.memberAnswers(now)
	case replicasAsked:
		q.reply <- c.replicaAnswers(now)
	case heldAsked:
		q.reply <- c.heldAnswers(now)
	case releaseAsked:
		q.reply <- c.release(q.content, now)
	case restLifted:
		q.reply <- c.liftRest(q.replica, now)
	}
}

// tick sends a heartbeat and takes care of what only time changes.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.checkPause(now)
	if c.storeLost {
		c.storeTroubleAt = now
	}
	c.planReads(now)
	c.tickHeartbeat(now)
	c.sendSilences(now)
	c.sendCrashes(now)
	c.sendLives(now)
	c.sendLeavings(now)
	c.repeatReports(now)
	c.settleFormer(now)
	c.loans.forget(now)
	c.syncIfBehind(ctx, now)
	if now.Sub(c.startedAt) >= routing.FleetSizeKnownAfter {
		c.cold.SetFleetSize(c.roster.Largest())
	}
	expired := c.catalog.expired.Expire(now)
	if n := c.roster.Size(now); c.sizeChanged(n) || expired || c.viewIsOld {
		c.daemons = n
		c.publish(now)
	}
	c.roster.Forget(now)
	if !c.roster.StoreIsRead(now) {
		c.storeUnreadAt = now
	}
	c.health.SetEntriesStale(now.Sub(c.storeUnreadAt) < entriesReturn)
	c.disproveEnds(now)
	c.crashes.Disprove(c.health.Disproves)
	c.health.Forget(c.domain, now)
	c.crashes.Forget(now)
	c.rests.Forget(now)
	if now.Sub(c.figuresAt) >= figuresInterval {
		c.figuresAt = now
		c.log.Figures(c.daemons, c.catalog.feed.Revision())
	}
}

// checkPause finds out that the process was paused, and ends the reader's wait: the
// watch may have been cut meanwhile, and what it returned last is old.
func (c *control) checkPause(now time.Time) {
	last := c.tickedAt
	c.tickedAt = now
	if last.IsZero() || now.Sub(last) < pauseLimit {
		return
	}
	c.log.Paused(now.Sub(last))
	if old := c.readPlan.Load(); old != nil {
		c.setReadPlan(old.ReadPlan)
	}
}

// planReads takes up another plan for the store's reader if there is one.
func (c *control) planReads(now time.Time) {
	plan := c.roster.PlanReads(now, c.largeFleet())
	if old := c.readPlan.Load(); old != nil && old.ReadPlan == plan {
		return
	}
	c.setReadPlan(plan)
}

// setReadPlan replaces the reader's plan, which ends its present wait.
func (c *control) setReadPlan(plan membership.ReadPlan) {
	old := c.readPlan.Swap(&readPlan{ReadPlan: plan, ended: make(chan struct{})})
	if old != nil {
		close(old.ended)
	}
}

// setStoreLost takes in that this daemon lost or regained the store.
func (c *control) setStoreLost(e storeReachable, now time.Time) {
	if e.lost == c.storeLost {
		return
	}
	c.storeLost = e.lost
	c.storeTroubleAt = now
	c.roster.SetStoreUnreachable(e.lost)
	c.planReads(now)
	c.sendHeartbeat(now)
	c.log.Store(e.lost, e.err, c.catalog.feed.Revision())
}

// apply takes over documents that changed and publishes the view. Peers are sent the
// new revision at once, so that one that the store turns away learns of it.
func (c *control) apply(changed []feed.Item, source string, now time.Time) {
	if len(changed) == 0 {
		return
	}
	c.cache.Forget(c.catalog.apply(changed, source, now.Sub(c.storeTroubleAt) < storeTroubleMemory, now))
	c.announce(now)
}

// announce publishes a view and tells peers the new position.
func (c *control) announce(now time.Time) {
	c.publish(now)
	c.sendPartial(c.pendingLocations(), now)
}

// takePage takes over a page of a list that goes on. The first page has the configuration: with ten
// thousand replicas the last comes seconds later. A daemon that holds nothing yet waits for the
// whole list: it would take callers before it knows most replicas. So does one that is in another era:
// all that it holds would become former.
func (c *control) takePage(p *storePaged, now time.Time) {
	f := c.catalog.feed
	if f.Revision() > 0 && f.Position().Era == p.at.Era {
		c.apply(f.ApplyPage(p.items, p.after, p.upTo, p.at.Revision), sourceStore, now)
	}
}

// publish builds a view and makes it visible to traffic.
func (c *control) publish(now time.Time) {
	c.viewIsOld = false
	v := c.catalog.view(c.leavings, now)
	v.Domain, v.Daemons, v.LargeFleet = c.domain, c.daemons, c.largeFleet()
	old := c.view.Swap(v)
	if v.Table != nil && (old == nil || old.Table == nil) {
		close(c.configured)
	}
}

// viewPosition returns where the documents of the view stand. Any goroutine may ask.
func (c *control) viewPosition() feed.Position {
	v := c.view.Load()
	if v == nil {
		return feed.Position{}
	}
	return v.Position
}

// largeFleet reports whether the fleet is too large for all to send to all others.
func (c *control) largeFleet() bool { return c.daemons > membership.FullMeshSize }

// sizeChanged reports whether the number of daemons changed enough for a new view.
func (c *control) sizeChanged(n int) bool {
	if !c.largeFleet() {
		return n != c.daemons
	}
	return sizeTolerance*max(n-c.daemons, c.daemons-n) > c.daemons
}
