// This file is the part of the control loop that passes reports on to other daemons: which
// replicas are silent (coordination/routing/silence.go), which are crowded (crowd.go), under
// which requests replicas end (crash.go), of which ends that is not true (lives.go), and which
// replicas leave by their own word (leaving.go). They are rare, and go out as datagrams of their own.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

const (
	// reportsDelay is how long reports of crowded replicas and of ends wait for others, which bounds
	// the datagrams that they cost.
	reportsDelay = 10 * time.Millisecond
	// repeatTicks is how many ticks lie between two times at which what is known of ends and of
	// replicas that leave is repeated to a daemon drawn by chance: one datagram of each a
	// second, 1.4 KB at most. A daemon that missed all has been sent a part by some other within
	// a second on average, at any size of the fleet.
	repeatTicks = 5
	// closeDelay is how long the end of a process may take to close a connection here.
	closeDelay = 300 * time.Millisecond
	// introductions bounds the datagrams of each kind with which a daemon that has just started
	// is sent what is known: some 60 contents that are held back, 400 replicas that leave. The
	// rest is repeated to it.
	introductions = 4
)

// repeats is the state of repeating.
type repeats struct {
	ticks    int
	crashes  routing.ContentKey // where the next datagram begins
	leavings routing.LoadKey
}

// sendReports sends reports to some daemons, if there are any.
func sendReports[R any](c *control, to []membership.Address, reports []R, encode func([]R) ([]byte, error)) {
	if len(reports) == 0 {
		return
	}
	payload, err := encode(reports)
	c.sendPayload(to, payload, err)
}

// spreadReports sends reports to as many daemons as a whole heartbeat, if there are any.
func spreadReports[R any](c *control, reports []R, encode func([]R) ([]byte, error), now time.Time) {
	if len(reports) > 0 {
		sendReports(c, c.targets(false, now), reports, encode)
	}
}

// logReplicas writes a line for each replica of the view that is among some.
func (c *control) logReplicas(keys []routing.LoadKey, line func(routing.ReplicaID)) {
	for _, key := range keys {
		if id, ok := c.view.Load().ReplicaOf(key); ok {
			line(id)
		}
	}
}

// sendSilences passes reports of silent replicas on, if any wait. They go to as many daemons as a
// whole heartbeat: each is passed on once only.
func (c *control) sendSilences(now time.Time) {
	spreadReports(c, c.health.TakeSilences(gossip.MaxSilences, now), gossip.EncodeSilences, now)
}

// awaitMoreReports has the reports sent that wait, by the event that says so, together with
// those that come within reportsDelay.
func (c *control) awaitMoreReports(ctx context.Context, due event) {
	time.AfterFunc(reportsDelay, func() { c.post(ctx, due) })
}

// sendCrowds passes reports of crowded replicas on.
func (c *control) sendCrowds(now time.Time) {
	spreadReports(c, c.crowds.TakeReports(gossip.MaxCrowds, now), gossip.EncodeCrowds, now)
}

// receiveSilences takes in a peer's reports of silent replicas.
func (c *control) receiveSilences(reports []routing.SilenceReport, now time.Time) {
	c.logReplicas(c.health.ObserveSilences(reports, now), c.log.FoundSilent)
}

// sendCrashes passes reports of ends on, if any wait.
func (c *control) sendCrashes(now time.Time) {
	spreadReports(c, c.crashes.TakeReports(gossip.MaxCrashes, now), gossip.EncodeCrashes, now)
}

// receiveCrashes takes in a peer's reports of ends.
func (c *control) receiveCrashes(reports []routing.CrashReport, now time.Time) {
	reports = c.health.Believable(reports, now)
	c.health.ReportEnds(reports, now)
	for _, content := range c.crashes.Observe(reports, now) {
		c.log.Quarantined(content)
	}
}

// disproveEnds looks for open connections to replicas that are held to have ended.
func (c *control) disproveEnds(now time.Time) {
	for _, key := range c.health.Ended(now) {
		r := c.view.Load().Replica(key)
		if r == nil {
			continue
		}
		if opened, ok := c.openSince(r.Incarnation()); ok {
			c.health.Lived(r, opened, now.Add(-closeDelay))
		}
	}
}

// sendLives passes reports of replicas that live on, if any wait.
func (c *control) sendLives(now time.Time) {
	spreadReports(c, c.health.TakeLives(gossip.MaxLives, now), gossip.EncodeLives, now)
}

// receiveLives takes in a peer's reports of replicas that live.
func (c *control) receiveLives(reports []routing.LifeReport, now time.Time) {
	c.logReplicas(c.health.ObserveLives(reports, now), c.log.Lives)
}

// sendLeavings passes reports of replicas that leave on, if any wait.
func (c *control) sendLeavings(now time.Time) {
	spreadReports(c, c.leavings.TakeReports(gossip.MaxLeavings, now), gossip.EncodeLeavings, now)
}

// receiveLeavings takes in a peer's reports of replicas that leave.
func (c *control) receiveLeavings(reports []routing.LeavingReport, now time.Time) {
	c.logReplicas(c.leavings.Observe(reports, now), c.log.LeavesByReport)
}

// repeatReports sends one daemon a part of what is known of ends and of replicas that leave, of
// which it finds out first what their entries say.
func (c *control) repeatReports(now time.Time) {
	r := &c.repeats
	if r.ticks++; r.ticks%repeatTicks != 0 {
		return
	}
	if c.leavings.Known() {
		c.leavings.Named(c.catalog.allReplicas(), now)
	}
	targets := c.targets(false, now)
	if len(targets) == 0 {
		return
	}
	to := []membership.Address{targets[c.heartbeats.rng.IntN(len(targets))]}
	r.crashes = c.sendKnownCrashes(to, r.crashes, now)
	r.leavings = c.sendKnownLeavings(to, r.leavings, now)
}

// introduceReports sends a daemon that has just been found what is known, before it learns of
// documents and takes requests.
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

// sendKnownCrashes sends a datagram of what is known of ends, from a content on. It returns
// where the next one begins, 0 after the last.
func (c *control) sendKnownCrashes(to []membership.Address, after routing.ContentKey, now time.Time) routing.ContentKey {
	reports, last := c.crashes.All(after, gossip.MaxCrashes, now)
	sendReports(c, to, reports, gossip.EncodeCrashes)
	return last
}

// sendKnownLeavings does the same with replicas that leave.
func (c *control) sendKnownLeavings(to []membership.Address, after routing.LoadKey, now time.Time) routing.LoadKey {
	reports, last := c.leavings.All(after, gossip.MaxLeavings, now)
	sendReports(c, to, reports, gossip.EncodeLeavings)
	return last
}
