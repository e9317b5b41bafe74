// This file implements the control loop: the goroutine that owns the documents, the
// roster and the messages to peers, and publishes the views that the request path reads.
// Parts of its state have their own files: catalog.go, heartbeat.go, sync.go.

package routes

import (
	"context"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	// eventQueue is the capacity of the event queue. Posting blocks while it is full.
	eventQueue = 512
	// heartbeatInterval is the time between two ticks. A small fleet's daemon sends a
	// heartbeat at each tick.
	heartbeatInterval = 200 * time.Millisecond
	// storeOutageWindow is how long after a store outage an expired replica entry is not
	// taken as proof that the replica is gone.
	storeOutageWindow = 5 * time.Second
	// statsInterval is how often the cost of the control loop is logged.
	statsInterval = 10 * time.Second
	// pauseThreshold is the time between two ticks above which the process is considered to have
	// been paused, so that its state is as old as the pause.
	pauseThreshold = time.Second
	// sizeChangeDivisor limits how often a view is built because the size of a large fleet
	// changed: the size must change by more than 1/sizeChangeDivisor of its value. In a large
	// fleet the size is an estimate that changes with each heartbeat.
	sizeChangeDivisor = 10
)

// sharedTables is the state that the control loop shares with the request path. Each table is safe
// for concurrent use.
type sharedTables struct {
	loads     *routing.Loads
	health    *routing.Health
	cache     *routing.CacheTable
	overloads *routing.Overloads
	brittle   *routing.BrittleServices
	crashes   *routing.Crashes
	// partCrashes records the parts of prompts on which replicas crashed.
	partCrashes *routing.Crashes
	cold        *routing.ColdLimiter
	budgets     *routing.RetryBudgets
	backoffs    *routing.Backoffs
	origins     *routing.StreamOrigins
	// departures is applied to each view that is built.
	departures *routing.Departures
}

// newSharedTables returns empty tables for a daemon of a fleet that is assumed to have at least the
// given number of daemons, among which the retry budget is divided.
func newSharedTables(daemon routing.PeerID, rule routing.RetryRule, daemons int) sharedTables {
	return sharedTables{
		loads: routing.NewLoads(), health: routing.NewHealth(), cache: routing.NewCacheTable(), overloads: routing.NewOverloads(), brittle: routing.NewBrittleServices(),
		crashes: routing.NewCrashes(), partCrashes: routing.NewPartCrashes(), cold: routing.NewColdLimiter(daemon), budgets: routing.NewRetryBudgets(rule, daemons),
		backoffs: routing.NewBackoffs(), origins: routing.NewStreamOrigins(), departures: routing.NewDepartures(),
	}
}

// placer returns a placer that chooses replicas by these tables.
func (t *sharedTables) placer() *routing.Placer {
	return &routing.Placer{
		Loads: t.loads, Health: t.health, Cache: t.cache, Overloads: t.overloads, Brittle: t.brittle, Cold: t.cold, Backoffs: t.backoffs, Departures: t.departures,
	}
}

// control is the state of the control loop.
type control struct {
	sharedTables
	domain     state.FailureDomain
	log        *Log
	roster     *membership.Roster
	catalog    *catalog
	heartbeats heartbeatState
	repeats    repeatState
	syncs      syncState
	transfers  transfers
	permits    *permits
	memory     memoryState

	originQuestions originQuestions
	keptOrigins     membership.Records[keptOrigin] // of streams of this daemon
	history         historyState
	lease           leaseState
	// lacksDocuments says that a peer is known to have newer documents than this daemon.
	lacksDocuments atomic.Bool
	documents      documentTimes

	// reach says which services this daemon reaches through its own links, and carriers which daemons
	// open connections for it meanwhile. dropCarrier makes the pool not use one for a while.
	reach       *routing.Reach
	carriers    *routing.Carriers
	dropCarrier func(routing.Carrier)
	// suspectRestart records a sign, seen at a time, that a replica may have terminated.
	suspectRestart func(i routing.Incarnation, at time.Time)
	// openSince returns when the oldest open idle connection to a replica was opened.
	openSince func(routing.Incarnation) (time.Time, bool)

	events chan event
	view   atomic.Pointer[routing.View]
	// configured is closed when the first configuration becomes active.
	configured chan struct{}
	// ended is closed when the control loop has ended, and nothing takes events any more.
	ended    chan struct{}
	readPlan atomic.Pointer[readPlan]

	daemons int // in the view; see sizeChanged
	// viewStale says that replicas which are ready in the view have announced their departure. They
	// get no requests in any case (coordination/routing/ineligible.go). The next tick builds one view
	// for all such replicas.
	viewStale          bool
	storeUnreachable   bool
	staleEntries       membership.StaleEntries
	fleetBound         membership.FleetBound
	era                eraState
	storeUnreachableAt time.Time                 // when the store was last known to be unreachable for this daemon or a peer
	tickedAt           atomic.Pointer[time.Time] // last
	resumedAt          atomic.Pointer[time.Time] // the tick that found the last long pause of the process
	startedAt          time.Time
	statsLoggedAt      time.Time
}

// readPlan says whether and how the reader reads the store.
type readPlan struct {
	membership.ReadPlan
	ended chan struct{} // closed when the plan is replaced
}

// post queues an event for the control loop, and blocks while the queue is full.
func (c *control) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// postAlways queues an event that must not be lost, unless the control loop has ended.
func (c *control) postAlways(e event) {
	select {
	case c.events <- e:
	case <-c.ended:
	}
}

// awaitHandled waits until the control loop has handled the events that were posted before, at most for a time.
func (c *control) awaitHandled(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan struct{})
	c.post(ctx, eventsHandled{done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// run is the control loop. It processes events until ctx is canceled.
func (c *control) run(ctx context.Context) {
	defer close(c.ended)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer c.permits.timer.Stop()
	c.startedAt = clock.Now()
	c.tickedAt.Store(new(c.startedAt)) // a pause may begin before the first tick
	c.roster.StartListening(c.startedAt)
	c.startPermitMembers(c.startedAt)
	c.planReads(clock.Now())
	c.sendHeartbeat(clock.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick(ctx, clock.Now())
		case <-c.overloads.Waiting():
			c.scheduleReports(ctx, overloadsDue{})
		case <-c.brittle.Waiting():
			c.updateBrittle(clock.Now())
			c.scheduleReports(ctx, brittleDue{})
		case <-c.crashes.Waiting():
			c.scheduleReports(ctx, crashesDue{})
		case <-c.partCrashes.Waiting():
			c.scheduleReports(ctx, partCrashesDue{})
		case <-c.health.LivenessWaiting():
			c.scheduleReports(ctx, livenessDue{})
		case <-c.departures.Waiting():
			c.viewStale = true
			c.scheduleReports(ctx, departuresDue{})
		case <-c.permits.timer.C:
			c.permitsDue(clock.Now())
		case e := <-c.events:
			c.handle(ctx, e, clock.Now())
			c.updateLacksDocuments(clock.Now())
			if c.updateLease(clock.Now()) {
				c.learnHistory(ctx, clock.Now()) // at once: resumed streams wait for it
			}
		}
	}
}

func (c *control) handle(ctx context.Context, e event, now time.Time) {
	switch e := e.(type) {
	case storeListed:
		c.syncs.needsPeerCheck = c.syncs.needsPeerCheck || c.catalog.feed.Revision() == 0
		c.applyList(e.items, e.at, sourceStore, now)
		c.confirmFromStore(e.at.Era, e.sent)
	case storePageRead:
		c.applyPage(&e, now)
	case storeChanged:
		if e.At.Era == c.catalog.feed.Position().Era {
			c.apply(c.catalog.feed.Apply(e.Items), sourceStore, now)
		}
		c.confirmFromStore(e.At.Era, e.confirms)
	case storeConfirmed:
		c.confirmFromStore(e.at.Era, e.confirms)
	case storeReachabilityChanged:
		c.setStoreUnreachable(e, now)
	case heartbeatReceived:
		c.receiveHeartbeat(ctx, &e.heartbeat, now)
		c.confirmFromPeer(&e, now)
	case silencesReceived:
		c.receiveSilences(e.reports, now)
	case overloadsReceived:
		c.overloads.Observe(e.reports, now)
	case brittleReceived:
		c.receiveBrittle(e.reports, now)
	case brittleDue:
		c.sendBrittle(now)
	case overloadsDue:
		c.sendOverloads(now)
	case crashesReceived:
		c.receiveCrashes(&e, now)
	case crashesDue:
		c.sendCrashes(now)
	case partCrashesReceived:
		c.receivePartCrashes(&e, now)
	case partCrashesDue:
		c.sendPartCrashes(now)
	case livenessReceived:
		c.receiveLiveness(e.reports, now)
	case livenessDue:
		c.sendLiveness(now)
	case departuresReceived:
		c.receiveDepartures(e.reports, now)
	case departuresDue:
		c.sendDepartures(now)
	case carrierNeeded:
		c.chooseCarrier(&e, now)
	case transferNeeded:
		c.requestTransfer(&e, now)
	case transferRequestsReceived:
		c.grantTransfers(e.requests, now)
	case transfersReceived:
		c.receiveTransfers(e.transfers)
	case permitNeeded:
		c.needPermit(e.ask, now)
	case permitWithdrawn:
		c.withdrawPermit(e.ask, now)
	case permitDone:
		c.finishPermit(&e, now)
	case saturationObserved:
		c.reportSaturated([]routing.ServiceName{e.service}, now)
	case permitRequestReceived:
		c.receivePermitRequest(e.request, now)
	case permitReplyReceived:
		c.receivePermitReply(e.reply, now)
	case saturationsReceived:
		c.reportSaturated(e.services, now)
	case streamBegan:
		c.recordOrigin(e.origin, now)
	case streamCompleted:
		c.keptOrigins.Remove(uint64(e.stream))
	case eventsHandled:
		close(e.done)
	case originNeeded:
		c.findOrigin(&e, now)
	case originsReceived:
		c.receiveOrigins(e.origins, now)
	case originRequestsReceived:
		c.answerOrigins(e.requests, now)
	case originRepliesReceived:
		c.receiveOriginReplies(e.replies)
	case syncDue:
		c.syncIfBehind(ctx, now)
	case syncCompleted:
		c.finishSync(ctx, &e, now)
	case callerWaiting:
		c.roster.StopListening()
		c.planReads(now)
	case shutdownStarted:
		c.roster.SetLeaving()
		c.permits.daemon.SetLeaving()
		c.sendHeartbeat(now)
	case documentsRequested:
		e.reply <- c.respond(&e.request, now)
	case operatorRequest:
		c.handleOperator(e, now)
	}
}

// handleOperator handles a query or command of an operator.
func (c *control) handleOperator(q operatorRequest, now time.Time) {
	switch q := q.(type) {
	case statusQuery:
		q.reply <- c.statusAnswer(now)
	case membersQuery:
		q.reply <- c.memberAnswers(now)
	case replicasQuery:
		q.reply <- c.replicaAnswers(now)
	case quarantineQuery:
		q.reply <- c.quarantinedAnswers(now)
	case admissionQuery:
		q.reply <- c.admissionAnswers(now)
	case releaseCommand:
		q.reply <- c.release(q.content, now)
	case liftBackoffCommand:
		q.reply <- c.liftBackoff(q.replica, now)
	}
}

// tick sends a heartbeat if one is due and runs all periodic work.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.detectPause(now)
	c.sampleMemory(now)
	if c.storeUnreachable {
		c.storeUnreachableAt = now
	}
	c.planReads(now)
	c.tickHeartbeat(now)
	c.sendSilences(now)
	c.sendCrashes(now)
	c.sendPartCrashes(now)
	c.sendLiveness(now)
	c.sendDepartures(now)
	c.repeatReports(now)
	c.expirePreRestore(now)
	c.transfers.dropExpired(now)
	c.originQuestions.dropExpired(now)
	c.origins.Forget(now)
	c.keepOrigins(now)
	c.updateLacksDocuments(now)
	c.tickLease(now)
	c.reach.Tick(now)
	c.dropLostCarriers(now)
	c.updateBrittle(now)
	c.tickPermits(now)
	c.syncIfBehind(ctx, now)
	c.learnHistory(ctx, now)
	c.updateShares(now)
	expired, established := c.catalog.expired.Expire(now), c.establishVersions(now)
	if n := c.roster.Size(now); c.sizeChanged(n) || expired || established || c.viewStale {
		c.daemons = n
		c.publish(now)
	}
	c.roster.Forget(now)
	c.health.SetEntriesStale(c.staleEntries.Update(&c.lease.confirmations, now))
	c.disproveTerminations(now)
	c.crashes.Disprove(c.isFalseCrash)
	c.partCrashes.Disprove(c.isFalseCrash)
	c.quarantineParts(now)
	c.health.Forget(c.domain, now)
	c.crashes.Forget(now)
	c.partCrashes.Forget(now)
	c.backoffs.Forget(now)
	c.brittle.Forget(now)
	if now.Sub(c.statsLoggedAt) >= statsInterval {
		c.statsLoggedAt = now
		c.log.Statistics(c.daemons, c.catalog.feed.Revision())
	}
}

// updateShares updates among how many daemons the rate of cold replicas and the extra retries are divided. Up to
// minAssumedFleet daemons get enough of the retries whether they hear each other or not.
func (c *control) updateShares(now time.Time) {
	bound, known := c.fleetBound.Update(c.roster)
	if known && now.Sub(c.startedAt) >= routing.FleetSizeKnownAfter {
		c.cold.SetFleetSize(bound)
	}
	if known && c.roster.PeakSize() > minAssumedFleet {
		c.budgets.SetDaemons(bound)
	}
}

// detectPause detects that the process was paused. It then interrupts the reader's watch:
// the connection may have been lost during the pause, and the last result is outdated. So is the history of
// versions.
func (c *control) detectPause(now time.Time) {
	last := c.tickedAt.Load()
	if last != nil && now.Sub(*last) >= coordination.LongPause {
		c.resumedAt.Store(&now) // before tickedAt: requests look at both
	}
	c.tickedAt.Store(&now)
	if last == nil || now.Sub(*last) < pauseThreshold {
		return
	}
	c.log.Paused(now.Sub(*last))
	if c.interruptHistory(now) {
		c.publish(now)
	}
	if old := c.readPlan.Load(); old != nil {
		c.setReadPlan(old.ReadPlan)
	}
}

// planReads updates the reader's plan if it has changed.
func (c *control) planReads(now time.Time) {
	plan := c.roster.PlanReads(now, c.largeFleet())
	if old := c.readPlan.Load(); old != nil && old.ReadPlan == plan {
		return
	}
	c.setReadPlan(plan)
}

// setReadPlan replaces the reader's plan, which interrupts its current wait.
func (c *control) setReadPlan(plan membership.ReadPlan) {
	old := c.readPlan.Swap(&readPlan{ReadPlan: plan, ended: make(chan struct{})})
	if old != nil {
		close(old.ended)
	}
}

// setStoreUnreachable records that the store became unreachable or reachable for this daemon.
func (c *control) setStoreUnreachable(e storeReachabilityChanged, now time.Time) {
	if e.unreachable == c.storeUnreachable {
		return
	}
	c.storeUnreachable = e.unreachable
	c.storeUnreachableAt = now
	c.roster.SetStoreUnreachable(e.unreachable)
	c.planReads(now)
	c.sendHeartbeat(now)
	c.log.Store(e.unreachable, e.err, c.catalog.feed.Revision())
}

// apply updates the catalog from changed documents and publishes a view. The new revision
// is sent to peers immediately, so that peers which can't read the store learn of it.
func (c *control) apply(changed []feed.Item, source string, now time.Time) {
	if len(changed) == 0 {
		c.catalog.checkOverruledConfig()
		return
	}
	c.documents.change(now)
	c.lease.begin(now)
	c.cache.Forget(c.catalog.apply(changed, source, now.Sub(c.storeUnreachableAt) < storeOutageWindow, now))
	if c.catalog.takeMissedVersion() {
		c.interruptHistory(now)
	}
	c.announce(now)
}

// announce publishes a view and sends the new position to peers.
func (c *control) announce(now time.Time) {
	c.publish(now)
	c.sendPartial(c.takePendingLocations(), now)
}

// applyPage applies one page of a list that is still being read. The first page contains the
// configuration, and with ten thousand replicas the last page follows seconds later. A daemon
// without documents waits for the whole list, because otherwise it would accept callers before it
// knows most replicas. So does a daemon whose documents are of another era of the store than the
// list: it has to enter the list's era first, and from then on counts every document that it holds
// as one from before the store was restored, until the complete list has been merged.
func (c *control) applyPage(p *storePageRead, now time.Time) {
	f := c.catalog.feed
	if f.Revision() > 0 && f.Position().Era == p.at.Era {
		c.apply(f.ApplyPage(p.items, p.after, p.upTo, p.at.Revision), sourceStore, now)
	}
}

// publish builds a view and makes it visible to the request path.
func (c *control) publish(now time.Time) {
	c.viewStale = false
	c.establishVersions(now)
	v := c.catalog.view(c.departures, now)
	v.Domain, v.Daemons, v.LargeFleet = c.domain, c.daemons, c.largeFleet()
	old := c.view.Swap(v)
	if v.Table != nil && (old == nil || old.Table == nil) {
		close(c.configured)
	}
}

// viewPosition returns the position of the view's documents. It may be called by any goroutine.
func (c *control) viewPosition() feed.Position {
	v := c.view.Load()
	if v == nil {
		return feed.Position{}
	}
	return v.Position
}

// largeFleet reports whether the fleet is too large for a full mesh of heartbeats.
func (c *control) largeFleet() bool { return c.daemons > membership.FullMeshSize }

// sizeChanged reports whether the number of daemons has changed enough to build a view.
func (c *control) sizeChanged(n int) bool {
	if !c.largeFleet() {
		return n != c.daemons
	}
	return sizeChangeDivisor*max(n-c.daemons, c.daemons-n) > c.daemons
}
