// This file runs a daemon and shuts it down gracefully.

package routes

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/transport/clock"
)

// sweepInterval is how often the pool of idle connections to replicas is cleaned up.
const sweepInterval = 2 * time.Second

// Phases of a graceful shutdown, as fractions of the grace period. New connections are accepted until
// acceptFraction, because the load balancer stops sending callers only after two failed readiness checks.
// Open requests may finish until drainFraction, and are sent to a replica only while keepFraction is left until then.
// The others are ended then; their error responses may take responsesFraction. The lines of those that are broken off
// after that are waited for for linesFraction at most.
const (
	acceptFraction    = 0.35
	drainFraction     = 0.94
	keepFraction      = 0.06
	responsesFraction = 0.01
	linesFraction     = 0.02
)

// linesPoll is how often it is checked whether requests that are broken off have written their lines.
const linesPoll = 2 * time.Millisecond

// Run serves until ctx is canceled, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	var wg sync.WaitGroup
	wg.Go(func() { d.control.run(work) })
	wg.Go(func() { d.reader.run(work) })
	wg.Go(func() { d.peers.receive(work, d.control) })
	wg.Go(func() { d.sweepConnections(work) })
	wg.Go(func() { d.Relay.WatchLinks(work) })
	failed := make(chan error, len(d.listeners()))
	for _, l := range d.listeners() {
		wg.Go(func() { l.Serve(failed) })
	}
	d.Log.Started(d.settings.Listen.Callers)
	var err error
	select {
	case <-ctx.Done():
		d.stop(work)
	case err = <-failed:
	}
	endWork()
	d.Log.Stopped(err)
	d.close()
	wg.Wait()
	return err
}

// sweepConnections periodically closes connections to replicas that were idle for too long, or whose
// replica is gone or shutting down.
func (d *Daemon) sweepConnections(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		d.pool.Sweep(d.View().KeepsConnections, clock.Now())
	}
}

// stop shuts down gracefully: it reports the daemon as not ready, accepts connections until
// the load balancer has noticed, then closes idle connections, and waits for open requests
// until the grace period is nearly over.
func (d *Daemon) stop(ctx context.Context) {
	d.Log.Stopping()
	d.stopping.Store(true)
	grace := d.settings.Stop.Grace
	end := clock.Now().Add(fraction(drainFraction, grace))
	d.Relay.Shutdown.Begin(routing.Shutdown{End: end, Keep: fraction(keepFraction, grace)})
	d.carried.Stop()
	d.control.post(ctx, shutdownStarted{})
	pause(ctx, fraction(acceptFraction, grace))
	wait, cancel := context.WithTimeout(ctx, clock.Until(end))
	defer cancel()
	_ = d.callers.Server.Shutdown(wait) // an error means that the grace period is over
	if d.openRequests.Load() > 0 {
		d.endOpen(ctx, grace)
	}
	d.control.awaitHandled(ctx, fraction(linesFraction, grace)) // the origins of streams that were broken off
	d.carried.Close(wait)
}

// fraction returns a part of a time.
func fraction(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// endOpen ends the open requests: their callers get an error response, or their connection is closed.
func (d *Daemon) endOpen(ctx context.Context, grace time.Duration) {
	d.closing.Store(true)
	d.Relay.Shutdown.End()
	responses, cancel := context.WithTimeout(ctx, fraction(responsesFraction, grace))
	defer cancel()
	_ = d.callers.Server.Shutdown(responses) // an error means that some are still open
	if d.openRequests.Load() > 0 {
		d.breakOff(ctx, fraction(linesFraction, grace))
	}
}

// breakOff closes the connections of callers whose requests are open, and waits for the lines of these requests.
func (d *Daemon) breakOff(ctx context.Context, wait time.Duration) {
	until := clock.Now().Add(wait)
	d.callers.Close()
	for d.openRequests.Load() > 0 && clock.Now().Before(until) {
		pause(ctx, linesPoll)
	}
}

// countOpen returns a handler that counts the open requests of another one.
func (d *Daemon) countOpen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.openRequests.Add(1)
		defer d.openRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// listeners returns the open listeners.
func (d *Daemon) listeners() []*daemon.Listener {
	all := []*daemon.Listener{d.callers, d.readiness, d.operators, d.documents, d.scrapers}
	return slices.DeleteFunc(all, func(l *daemon.Listener) bool { return l == nil })
}

func (d *Daemon) close() {
	d.closing.Store(true)
	for _, l := range d.listeners() {
		l.Close()
	}
	if d.peers != nil {
		_ = d.peers.socket.Close()
	}
	d.Log.Close()
}
