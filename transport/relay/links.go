// This file records what exchanges say about this daemon's own links to replicas.
// coordination/routing/reach.go decides whether they work, and probes.go probes them.

package relay

import (
	"context"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

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
