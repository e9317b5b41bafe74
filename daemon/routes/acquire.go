// This file is the request path's part of the permits for saturated services: it asks the control
// loop for them and waits. permits.go has the control loop's part.

package routes

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// permitGate acquires permits from the control loop. It is safe for concurrent use.
type permitGate struct {
	control *control
	// needed are the services whose requests need permits, atReplica those whose requests need permits at the
	// replica that this daemon chooses; nil: none.
	needed, atReplica atomic.Pointer[[]routing.ServiceName]
}

var _ relay.Permits = (*permitGate)(nil)

// permitAsk is a request that waits for a permit or holds one. Its fields do not change, except id
// and granted, which belong to the control loop.
type permitAsk struct {
	call  *relay.Call
	tried []routing.LoadKey
	// replica is the one at which the request needs a permit; nil: the coordinator chooses.
	replica *routing.Replica
	mayWait bool              // at that replica
	reply   chan relay.Permit // has a buffer of one
	id      admission.PermitID
	// granted says that the request holds the permit.
	granted bool
}

// Needed implements [relay.Permits].
func (g *permitGate) Needed(s routing.ServiceName) bool {
	return isIn(&g.needed, s)
}

// NeededAtReplica implements [relay.Permits].
func (g *permitGate) NeededAtReplica(s routing.ServiceName) bool { return isIn(&g.atReplica, s) }

func isIn(p *atomic.Pointer[[]routing.ServiceName], s routing.ServiceName) bool {
	list := p.Load()
	return list != nil && slices.Contains(*list, s)
}

// Acquire implements [relay.Permits].
func (g *permitGate) Acquire(ctx context.Context, c *relay.Call, tried []routing.LoadKey) relay.Permit {
	return g.acquire(ctx, &permitAsk{call: c, tried: slices.Clone(tried)})
}

// AcquireAt implements [relay.Permits].
func (g *permitGate) AcquireAt(ctx context.Context, c *relay.Call, r *routing.Replica, mayWait bool) relay.Permit {
	return g.acquire(ctx, &permitAsk{call: c, replica: r, mayWait: mayWait})
}

func (g *permitGate) acquire(ctx context.Context, a *permitAsk) relay.Permit {
	ctx, cancel := context.WithTimeout(ctx, clock.Until(a.call.Deadline)-routing.ReturnMargin)
	defer cancel()
	a.reply = make(chan relay.Permit, 1)
	g.control.post(ctx, permitNeeded{a})
	select {
	case p := <-a.reply:
		return p
	case <-ctx.Done():
		g.control.postAlways(permitWithdrawn{a})
		return relay.PermitExpired{}
	}
}

// Release implements [relay.Permits].
func (g *permitGate) Release(p relay.PermitGranted, took time.Duration, result admission.Result) {
	done := permitDone{service: p.Service, finished: admission.Finished{ID: p.ID, Took: took, Result: result}}
	if p.AtReplica {
		done.replica = p.Replica
	}
	g.control.postAlways(done)
}

// ReportSaturated implements [relay.Permits]. The report is dropped while the event queue is full:
// the next slow or rejected request gives another one.
func (g *permitGate) ReportSaturated(s routing.ServiceName) {
	if !g.control.view.Load().IsPlain(s) {
		return
	}
	select {
	case g.control.events <- saturationObserved{s}:
	default:
	}
}
