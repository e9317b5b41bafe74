// This file is the part of the control loop for services whose replicas are brittle
// (coordination/routing/brittle.go).

package routes

import (
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// receiveBrittle processes a peer's reports of brittle services.
func (c *control) receiveBrittle(reports []routing.BrittleReport, now time.Time) {
	c.brittle.Observe(reports, now)
	c.updateBrittle(now)
}

// sendBrittle sends pending reports of brittle services.
func (c *control) sendBrittle(now time.Time) {
	sendReportsToTargets(c, c.brittle.TakeReports(gossip.MaxBrittle, now), gossip.EncodeBrittle, now)
}

// isFalseCrash reports whether the crash of a replica at a time does not count against the requests that it
// had: it has not terminated, or has because it had to reject too much.
func (c *control) isFalseCrash(replica routing.LoadKey, at time.Time) bool {
	return c.health.Disproves(replica, at) || c.brittle.Overran(replica, at)
}

// updateBrittle makes requests to the services that are brittle need permits, and logs which services became
// brittle and which no longer are.
func (c *control) updateBrittle(now time.Time) {
	before, known := c.permits.brittle, c.brittle.Services(now)
	if len(before) == 0 && len(known) == 0 {
		return
	}
	c.permits.brittle = known
	for _, s := range known {
		if !isBrittleIn(before, s.Service) {
			c.log.BrittleBegan(s)
		}
	}
	for _, s := range before {
		if !isBrittleIn(known, s.Service) {
			c.permits.daemon.SetBrittle(s.Service, false, 0, now)
			c.log.BrittleEnded(s, now)
		}
	}
	c.updateAtReplica(known)
	for _, s := range known {
		c.updatePermitService(s.Service, now)
		c.permits.daemon.SetBrittle(s.Service, true, int(s.Limit), now)
	}
	c.settlePermits(now)
}

func isBrittleIn(list []routing.BrittleStatus, s routing.ServiceName) bool {
	return slices.ContainsFunc(list, func(b routing.BrittleStatus) bool { return b.Service == s })
}
