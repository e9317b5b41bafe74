// This file records what exchanges say about this daemon's own links to replicas.
// coordination/routing/reach.go decides whether they work, and probes.go probes them.

package relay

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// lastAttemptProbeWait is how long a call waits for probes that decide whether it has another attempt.
const lastAttemptProbeWait = 500 * time.Millisecond

// reportLink records what an exchange that failed says about this daemon's own link to the replica.
func (s *activeCall) reportLink(ctx context.Context, x *exchange, r *routing.Replica, f *failure) {
	if !s.isOwnLink(x.conn) || x.received || ctx.Err() != nil {
		return
	}
	switch {
	case f.result == routing.ResultSilent:
		s.Pool.reach.Silent(r, s.replicas(r), x.sent, clock.Now())
	case f.result == routing.ResultBroken && !x.conn.reused:
		// That an idle connection broke may mean that the replica closed it.
		s.Pool.reach.Failed(r, s.replicas(r), clock.Now())
		s.excludeIfCutOff(ctx, x, r)
	}
}

// connect returns a connection to a replica. After one broke in an earlier attempt, idle ones may be broken too.
func (s *activeCall) connect(ctx context.Context, r *routing.Replica, now time.Time) (*conn, error) {
	if s.broken != nil {
		return s.Pool.getNew(ctx, r, s.View(), now)
	}
	return s.Pool.get(ctx, r, s.View(), now)
}

// recordBroken records that the connection of an attempt broke, and whether its replica has crashed.
func (s *activeCall) recordBroken(ctx context.Context, t *routing.Target, a *Attempt, f *failure) {
	f.hasCrashed = s.checkCrash(ctx, &t.Replica, f.responding)
	s.broken, s.brokeInside = nil, f.received
	if !f.hasCrashed && a.Via == "" {
		s.broken = &t.Replica
	}
}

// excludeIfCutOff is called when a new connection to a replica broke before it brought anything. If an earlier one broke in
// the call too, two replicas are not reached, unless the earlier one was reached then, since it broke inside a response,
// and still is. If probes confirm that the links are down, the replica does not count towards those that the route allows:
// it is cut off.
func (s *activeCall) excludeIfCutOff(ctx context.Context, x *exchange, r *routing.Replica) {
	if s.broken == nil || s.broken.ID == r.ID {
		return
	}
	wait := min(lastAttemptProbeWait, clock.Until(s.call.Deadline)-routing.ReturnMargin)
	if s.brokeInside && s.Pool.reaches(ctx, s.broken, wait) {
		return
	}
	s.Pool.reach.Failed(s.broken, s.replicas(r), clock.Now())
	s.Pool.awaitProbes(ctx, r.Service, wait)
	if x.written && s.Pool.reach.State(r.Service) == routing.LinksDown {
		s.attempts.ExcludeLast()
	}
}

// isOwnLink reports whether a connection goes over this daemon's own link to the replica.
func (s *activeCall) isOwnLink(c *conn) bool { return c.via == "" }

// blamesOwnLink reports whether what fails on a connection says nothing about the replica, since this
// daemon's own links to the service are at fault.
func (s *activeCall) blamesOwnLink(c *conn) bool {
	return s.isOwnLink(c) && s.Pool.reach.IsDetoured(c.service)
}

// replicas returns the number of ready replicas of a replica's service.
func (s *activeCall) replicas(r *routing.Replica) int { return len(s.View().Pool(r.Service).Ready) }
