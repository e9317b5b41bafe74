// This file is the part of the control loop that forwards reports to other daemons: which
// replicas are silent (coordination/routing/silence.go) or overloaded (overload.go), which
// requests replicas crashed under (crash.go), which reported terminations are disproved (liveness.go),
// and which replicas announced their departure (departures.go). Reports are rare and sent in
// datagrams of their own.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

const (
	// reportBatchDelay is how long reports are collected before they are sent, which limits the
	// number of datagrams.
	reportBatchDelay = 10 * time.Millisecond
	// reportRepeatTicks is the number of ticks after which known crashes and departures are
	// repeated to a randomly chosen daemon: one datagram of each kind per second, 1.4 KB at most.
	// A daemon that missed all reports is sent a part of them by some other daemon within one
	// second on average, at any fleet size.
	reportRepeatTicks = 5
	// connectionCloseDelay bounds the time from a replica's termination until this daemon sees its
	// connections closed.
	connectionCloseDelay = 300 * time.Millisecond
	// maxInitialDatagrams limits the datagrams of each kind that are sent to a daemon that has just
	// started. They hold about 60 quarantined contents and 400 departures. The rest reaches it by
	// repetition.
	maxInitialDatagrams = 4
)

// repeatState is the state of the periodic repetition of reports.
type repeatState struct {
	ticks       int
	crashes     routing.ContentKey // position at which the next datagram begins
	partCrashes routing.ContentKey
	departures  routing.LoadKey
}

// sendReports sends reports, if there are any, to the given daemons.
func sendReports[R any](c *control, to []membership.Address, reports []R, encode func([]R) ([]byte, error)) {
	if len(reports) == 0 {
		return
	}
	payload, err := encode(reports)
	c.sendPayload(to, payload, err)
}

// sendReportsToTargets sends reports, if there are any, to the targets of a full heartbeat.
func sendReportsToTargets[R any](c *control, reports []R, encode func([]R) ([]byte, error), now time.Time) {
	if len(reports) > 0 {
		sendReports(c, c.targets(false, now), reports, encode)
	}
}

// logReplicas calls line for each of the replicas that is in the view.
func (c *control) logReplicas(keys []routing.LoadKey, line func(routing.ReplicaID)) {
	for _, key := range keys {
		if id, ok := c.view.Load().ReplicaID(key); ok {
			line(id)
		}
	}
}

// sendSilences forwards pending reports of silent replicas. They go to the targets of a full
// heartbeat, because each daemon forwards a report only once.
func (c *control) sendSilences(now time.Time) {
	sendReportsToTargets(c, c.health.TakeSilences(gossip.MaxSilences, now), gossip.EncodeSilences, now)
}

// scheduleReports posts the event due after reportBatchDelay, so that pending reports are sent
// together with those that are added until then.
func (c *control) scheduleReports(ctx context.Context, due event) {
	time.AfterFunc(reportBatchDelay, func() { c.post(ctx, due) })
}

// sendOverloads forwards pending reports of overloaded replicas.
func (c *control) sendOverloads(now time.Time) {
	sendReportsToTargets(c, c.overloads.TakeReports(gossip.MaxOverloads, now), gossip.EncodeOverloads, now)
}

// receiveSilences processes a peer's reports of silent replicas.
func (c *control) receiveSilences(reports []routing.SilenceReport, now time.Time) {
	for i := range reports {
		c.suspect(reports[i].Replica, reports[i].Age, now)
	}
	c.logReplicas(c.health.ObserveSilences(reports, now), c.log.ReportedSilent)
}

// suspect records that another daemon saw a sign, some time ago, that a replica may have terminated.
func (c *control) suspect(key routing.LoadKey, age time.Duration, now time.Time) {
	view := c.view.Load()
	if view == nil {
		return // no replica is known
	}
	if r := view.Replica(key); r != nil {
		c.suspectRestart(r.Incarnation(), now.Add(-age))
	}
}

// sendCrashes forwards pending crash reports.
func (c *control) sendCrashes(now time.Time) {
	sendReportsToTargets(c, c.crashes.TakeReports(gossip.MaxCrashes, now), gossip.EncodeCrashes, now)
}

// receiveCrashes processes a peer's crash reports. A peer that missed a clearance is sent it.
func (c *control) receiveCrashes(e *crashesReceived, now time.Time) {
	reports := c.health.FilterDisproved(e.reports, now)
	c.health.ReportTerminations(reports, now)
	for i := range reports {
		if !reports[i].Clears {
			c.suspect(reports[i].Replica, reports[i].Age, now)
		}
	}
	c.partCrashes.Watch(now)
	for _, content := range c.crashes.Observe(reports, now) {
		c.log.Quarantined(content)
	}
	sendReports(c, []membership.Address{e.from}, c.crashes.Refute(reports, now), gossip.EncodeCrashes)
}

// sendPartCrashes forwards pending reports of parts of prompts on which replicas crashed.
func (c *control) sendPartCrashes(now time.Time) {
	sendReportsToTargets(c, c.partCrashes.TakeReports(gossip.MaxPartCrashes, now), gossip.EncodePartCrashes, now)
}

// receivePartCrashes processes a peer's reports of parts of prompts on which replicas crashed.
func (c *control) receivePartCrashes(e *partCrashesReceived, now time.Time) {
	reports := c.health.FilterDisproved(e.reports, now)
	c.partCrashes.Watch(now)
	for _, part := range c.partCrashes.Observe(reports, now) {
		c.log.PartQuarantined(part, "")
	}
	sendReports(c, []membership.Address{e.from}, c.partCrashes.Refute(reports, now), gossip.EncodePartCrashes)
}

// quarantineParts quarantines the parts of prompts on which replicas crash.
func (c *control) quarantineParts(now time.Time) {
	if !c.partCrashes.IsWatching() {
		return
	}
	c.partCrashes.SetCrashRate(c.crashes.Rate(now), c.view.Load().ReadyReplicas()-len(c.health.Terminated(now)))
	mayProbe := func(part routing.ContentKey) bool {
		return c.roster.Responsible(uint64(part), now) == c.roster.Self().Address
	}
	for _, q := range c.partCrashes.QuarantineParts(now, mayProbe) {
		c.log.PartQuarantined(q.Key, q.Part)
	}
}

// disproveTerminations looks for open connections to replicas that are considered terminated. An open
// connection proves that the replica has not terminated since it was opened.
func (c *control) disproveTerminations(now time.Time) {
	for _, key := range c.health.Terminated(now) {
		r := c.view.Load().Replica(key)
		if r == nil {
			continue
		}
		if opened, ok := c.openSince(r.Incarnation()); ok {
			c.health.RecordAlive(r, opened, now.Add(-connectionCloseDelay))
		}
	}
}

// sendLiveness forwards pending liveness reports.
func (c *control) sendLiveness(now time.Time) {
	sendReportsToTargets(c, c.health.TakeLivenessReports(gossip.MaxLiveness, now), gossip.EncodeLiveness, now)
}

// receiveLiveness processes a peer's liveness reports.
func (c *control) receiveLiveness(reports []routing.LivenessReport, now time.Time) {
	c.logReplicas(c.health.ObserveLiveness(reports, now), c.log.Alive)
}

// sendDepartures forwards pending reports of departures.
func (c *control) sendDepartures(now time.Time) {
	sendReportsToTargets(c, c.departures.TakeReports(gossip.MaxDepartures, now), gossip.EncodeDepartures, now)
}

// receiveDepartures processes a peer's reports of departures.
func (c *control) receiveDepartures(reports []routing.DepartureReport, now time.Time) {
	c.logReplicas(c.departures.Observe(reports, now), c.log.DepartureReported)
}

// repeatReports sends a part of the known crashes and departures to one randomly chosen
// daemon. Before that it updates the departures from the replicas' entries.
func (c *control) repeatReports(now time.Time) {
	r := &c.repeats
	if r.ticks++; r.ticks%reportRepeatTicks != 0 {
		return
	}
	if c.departures.Known() {
		c.viewStale = c.departures.ObserveEntries(c.catalog.allReplicas(), now) || c.viewStale
	}
	targets := c.targets(false, now)
	if len(targets) == 0 {
		return
	}
	to := []membership.Address{targets[c.heartbeats.rng.IntN(len(targets))]}
	r.crashes = c.knownCrashes().send(c, to, r.crashes, now)
	r.partCrashes = c.knownPartCrashes().send(c, to, r.partCrashes, now)
	r.departures = c.knownDepartures().send(c, to, r.departures, now)
}

// sendKnownReports sends a newly found daemon the known crashes, departures and saturated services, before it
// learns of documents and accepts requests.
func (c *control) sendKnownReports(to membership.Address, now time.Time) {
	peer := []membership.Address{to}
	c.knownCrashes().sendFirst(c, peer, now)
	c.knownPartCrashes().sendFirst(c, peer, now)
	c.sendKnownSaturations(peer, now)
	sendReports(c, peer, c.brittle.All(gossip.MaxBrittle, now), gossip.EncodeBrittle)
	c.knownDepartures().sendFirst(c, peer, now)
}

// knownReports are the reports of one kind that this daemon keeps for others.
type knownReports[Key comparable, Report any] struct {
	// list returns up to n reports after a key, and the last one's key, or the zero key at the end.
	list   func(after Key, n int, now time.Time) ([]Report, Key)
	most   int // in a datagram
	encode func([]Report) ([]byte, error)
}

func (c *control) knownCrashes() knownReports[routing.ContentKey, routing.CrashReport] {
	return knownReports[routing.ContentKey, routing.CrashReport]{c.crashes.All, gossip.MaxCrashes, gossip.EncodeCrashes}
}

func (c *control) knownPartCrashes() knownReports[routing.ContentKey, routing.CrashReport] {
	return knownReports[routing.ContentKey, routing.CrashReport]{c.partCrashes.All, gossip.MaxPartCrashes, gossip.EncodePartCrashes}
}

func (c *control) knownDepartures() knownReports[routing.LoadKey, routing.DepartureReport] {
	return knownReports[routing.LoadKey, routing.DepartureReport]{c.departures.All, gossip.MaxDepartures, gossip.EncodeDepartures}
}

// send sends one datagram of reports, beginning after the given key. It returns the key after which the next
// datagram begins, or the zero key after the last one.
func (k knownReports[Key, Report]) send(c *control, to []membership.Address, after Key, now time.Time) Key {
	reports, last := k.list(after, k.most, now)
	sendReports(c, to, reports, k.encode)
	return last
}

// sendFirst sends the first reports, up to maxInitialDatagrams.
func (k knownReports[Key, Report]) sendFirst(c *control, to []membership.Address, now time.Time) {
	var after, end Key
	for range maxInitialDatagrams {
		if after = k.send(c, to, after, now); after == end {
			return
		}
	}
}
