// This file probes links to replicas that are suspect or down, and reports which are lost and regained.
// coordination/routing/reach.go decides when, and which replicas.

package relay

import (
	"context"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

// probeTimeout bounds a probe. A replica may let a health check wait for a slot.
const probeTimeout = time.Second

// WatchLinks probes links that are suspect or down until ctx is done.
func (r *Relay) WatchLinks(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.Pool.reach.Suspected():
		}
		known := linkReports{exonerated: make(map[routing.ServiceName]bool), down: make(map[routing.ServiceName]time.Time)}
		for lost := r.Pool.reach.Lost(); len(lost) > 0 && ctx.Err() == nil; lost = r.Pool.reach.Lost() {
			r.exonerate(lost, &known)
			r.probeServices(ctx, r.Pool.reach.ProbesDue(clock.Now()))
			r.reportLinks(&known)
			r.awaitProbes(ctx)
			r.reportLinks(&known)
		}
		r.Pool.clearDetours()
	}
}

// linkReports is what was done and reported about links until all are up again.
type linkReports struct {
	exonerated map[routing.ServiceName]bool
	down       map[routing.ServiceName]time.Time // since when
}

// exonerate takes back what this daemon has held against replicas, once its own links turn out to be at
// fault.
func (r *Relay) exonerate(lost []routing.LostService, known *linkReports) {
	view, now := r.View(), clock.Now()
	for _, l := range lost {
		if l.Detoured && !known.exonerated[l.Service] {
			known.exonerated[l.Service] = true
			r.Placer.Health.Exonerate(view.Pool(l.Service), now)
		}
	}
}

// reportLinks notifies the observer of links that are newly down, while another daemon reaches the
// replicas, or up again.
func (r *Relay) reportLinks(known *linkReports) {
	now, lost := clock.Now(), make(map[routing.ServiceName]bool)
	for _, l := range r.Pool.reach.Lost() {
		lost[l.Service] = true
		if _, ok := known.down[l.Service]; !ok && l.State == routing.LinksDown && l.Detoured {
			known.down[l.Service] = l.Since
			r.Observer.LinksLost(l.Service, now.Sub(l.Since))
			r.suspectAll(now)
		}
	}
	for s, since := range known.down {
		if !lost[s] {
			delete(known.down, s)
			r.Observer.LinksRegained(s, now.Sub(since))
		}
	}
	for s := range known.exonerated {
		if !lost[s] {
			delete(known.exonerated, s)
		}
	}
}

// awaitProbes waits until the next round of probes is due.
func (r *Relay) awaitProbes(ctx context.Context) {
	timer := time.NewTimer(routing.ProbeInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.Pool.reach.Suspected():
	case <-timer.C:
	}
}

// suspectAll makes the links to all services suspect that have replicas.
func (r *Relay) suspectAll(now time.Time) {
	for s, pool := range r.View().Pools {
		if len(pool.Ready) > 0 {
			r.Pool.reach.Suspect(s, now)
		}
	}
}

// probeServices performs a round of probes for each service.
func (r *Relay) probeServices(ctx context.Context, due []routing.ServiceName) {
	var wg sync.WaitGroup
	for _, s := range due {
		wg.Go(func() { r.probeService(ctx, s) })
	}
	wg.Wait()
}

// probeService probes some replicas of a service and records the result.
func (r *Relay) probeService(ctx context.Context, s routing.ServiceName) {
	view := r.View()
	replicas := routing.ProbeTargets(view.Pool(s), view.Domain)
	r.Pool.reach.Probed(s, r.probeAny(ctx, view, replicas), clock.Now())
	if r.Pool.reach.State(s) == routing.LinksDown && !r.Pool.reach.IsDetoured(s) && len(replicas) > 0 {
		r.Pool.tryDetour(ctx, &replicas[0], view)
	}
}

// probeAny probes replicas at the same time and reports whether one of them responds. It does not wait for
// the others then: one of them may be silent, and requests and peers wait for the result.
func (r *Relay) probeAny(ctx context.Context, v *routing.View, replicas []routing.Replica) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses := make(chan bool, len(replicas))
	for i := range replicas {
		go func() { responses <- r.probe(ctx, v, &replicas[i]) }()
	}
	for range replicas {
		if <-responses {
			return true
		}
	}
	return false
}

// probe reports whether a replica responds to a health check on a new connection of this daemon's own.
// Any response will do, since only the link is in question.
func (r *Relay) probe(ctx context.Context, v *routing.View, to *routing.Replica) bool {
	ctx, cancel := transport.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.Pool.dial(ctx, to.Address)
	if err != nil {
		return false
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := conn.Write(r.Codec.AppendHealthCheck(nil, to, v.Table.HealthPath(to.Service))); err != nil {
		return false
	}
	// The body is not closed, since that would read it to its end. The connection is closed in any case.
	_, err = transport.NewResponseReader(conn, readBufferBytes).ReadResponse(nil)
	return err == nil
}
