// This file is the part of the control loop that forwards reports to other daemons: which
// replicas are silent (coordination/routing/silence.go) or overloaded (crowd.go), which
// requests replicas crashed under (crash.go), which reported terminations are disproved (lives.go),
// and which replicas announced their departure (leaving.go). Reports are rare and sent in
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
	// reportsDelay is how long reports are collected before they are sent, which limits the
	// number of datagrams.
	reportsDelay = 10 * time.Millisecond
	// repeatTicks is the number of ticks after which known crashes and departures are
	// repeated to a randomly chosen daemon: one datagram of each kind per second, 1.4 KB at most.
	// A daemon that missed all reports is sent a part of them by some other daemon within one
	// second on average, at any fleet size.
	repeatTicks = 5
	// closeDelay bounds the time between a replica's termination and the close of its connections
	// being seen here.
	closeDelay = 300 * time.Millisecond
	// introductions limits the datagrams of each kind that are sent to a daemon that has just
	// started. They hold about 60 quarantined contents and 400 departures. The rest
	// reaches it by repetition.
	introductions = 4
)

// repeats is the state of the periodic repetition of reports.
type repeats struct {
	ticks    int
	crashes  routing.ContentKey // position at which the next datagram begins
	leavings routing.LoadKey
}

// sendReports sends reports, if there are any, to the given daemons.
func sendReports[R any](c *control, to []membership.Address, reports []R, encode func([]R) ([]byte, error)) {
	if len(reports) == 0 {
		return
	}
	payload, err := encode(reports)
	c.sendPayload(to, payload, err)
}

// spreadReports sends reports, if there are any, to the targets of a full heartbeat.
func spreadReports[R any](c *control, reports []R, encode func([]R) ([]byte, error), now time.Time) {
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
	spreadReports(c, c.health.TakeSilences(gossip.MaxSilences, now), gossip.EncodeSilences, now)
}

// awaitMoreReports posts the event due after reportsDelay, so that pending reports are sent together
// with those that are added until then.
func (c *control) awaitMoreReports(ctx context.Context, due event) {
	time.AfterFunc(reportsDelay, func() { c.post(ctx, due) })
}

// sendCrowds forwards pending reports of overloaded replicas.
func (c *control) sendCrowds(now time.Time) {
	spreadReports(c, c.crowds.TakeReports(gossip.MaxCrowds, now), gossip.EncodeCrowds, now)
}

// receiveSilences processes a peer's reports of silent replicas.
func (c *control) receiveSilences(reports []routing.SilenceReport, now time.Time) {
	c.logReplicas(c.health.ObserveSilences(reports, now), c.log.FoundSilent)
}

// sendCrashes forwards pending crash reports.
func (c *control) sendCrashes(now time.Time) {
	spreadReports(c, c.crashes.TakeReports(gossip.MaxCrashes, now), gossip.EncodeCrashes, now)
}

// receiveCrashes processes a peer's crash reports.
func (c *control) receiveCrashes(reports []routing.CrashReport, now time.Time) {
	reports = c.health.FilterDisproved(reports, now)
	c.health.ReportTerminations(reports, now)
	for _, content := range c.crashes.Observe(reports, now) {
		c.log.HeldBack(content)
	}
}

// disproveEnds looks for open connections to replicas that are considered terminated. An open
// connection proves that the replica has not terminated since it was opened.
func (c *control) disproveEnds(now time.Time) {
	for _, key := range c.health.Terminated(now) {
		r := c.view.Load().Replica(key)
		if r == nil {
			continue
		}
		if opened, ok := c.openSince(r.Incarnation()); ok {
			c.health.RecordAlive(r, opened, now.Add(-closeDelay))
		}
	}
}

// sendLives forwards pending liveness reports.
func (c *control) sendLives(now time.Time) {
	spreadReports(c, c.health.TakeLivenessReports(gossip.MaxLives, now), gossip.EncodeLives, now)
}

// receiveLives processes a peer's liveness reports.
func (c *control) receiveLives(reports []routing.LivenessReport, now time.Time) {
	c.logReplicas(c.health.ObserveLiveness(reports, now), c.log.Lives)
}

// sendLeavings forwards pending reports of departures.
func (c *control) sendLeavings(now time.Time) {
	spreadReports(c, c.leavings.TakeReports(gossip.MaxLeavings, now), gossip.EncodeLeavings, now)
}

// receiveLeavings processes a peer's reports of departures.
func (c *control) receiveLeavings(reports []routing.DepartureReport, now time.Time) {
	c.logReplicas(c.leavings.Observe(reports, now), c.log.LeavesByReport)
}

// repeatReports sends a part of the known crashes and departures to one randomly chosen
// daemon. Before that it updates the departures from the replicas' entries.
func (c *control) repeatReports(now time.Time) {
	r := &c.repeats
	if r.ticks++; r.ticks%repeatTicks != 0 {
		return
	}
	if c.leavings.Known() {
		c.leavings.ObserveEntries(c.catalog.allReplicas(), now)
	}
	targets := c.targets(false, now)
	if len(targets) == 0 {
		return
	}
	to := []membership.Address{targets[c.heartbeats.rng.IntN(len(targets))]}
	r.crashes = c.sendKnownCrashes(to, r.crashes, now)
	r.leavings = c.sendKnownLeavings(to, r.leavings, now)
}

// introduceReports sends a newly found daemon the known crashes and departures, before it
// learns of documents and accepts requests.
func (c *control) introduceReports(to membership.Address, now time.Time) {
	peer := []membership.Address{to}
	var content routing.ContentKey
	for range introductions {
		if content = c.sendKnownCrashes(peer, content, now); content == 0 {
			break
		}
	}
	var replica routing.LoadKey
	for range introductions {
		if replica = c.sendKnownLeavings(peer, replica, now); replica == 0 {
			break
		}
	}
}

// sendKnownCrashes sends one datagram of known crashes, beginning after the given content. It returns
// the position at which the next datagram begins, or 0 after the last one.
func (c *control) sendKnownCrashes(to []membership.Address, after routing.ContentKey, now time.Time) routing.ContentKey {
	reports, last := c.crashes.All(after, gossip.MaxCrashes, now)
	sendReports(c, to, reports, gossip.EncodeCrashes)
	return last
}

// sendKnownLeavings sends one datagram of departures, as sendKnownCrashes does for crashes.
func (c *control) sendKnownLeavings(to []membership.Address, after routing.LoadKey, now time.Time) routing.LoadKey {
	reports, last := c.leavings.All(after, gossip.MaxLeavings, now)
	sendReports(c, to, reports, gossip.EncodeLeavings)
	return last
}
