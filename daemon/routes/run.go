// This file runs a daemon and stops it as planned.

package routes

import (
	"context"
	"slices"
	"sync"
	"time"

	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/transport/clock"
)

// sweepInterval is how often connections to replicas are closed that were idle for
// too long.
const sweepInterval = 2 * time.Second

// The planned stop, as parts of the grace: until stopAccept new connections are taken, because the
// balancer takes a while to notice (two misses of its question); until stopWait open requests are
// waited for.
const (
	stopAccept = 0.35
	stopWait   = 0.94
)

// Run serves until ctx ends, and then stops as planned.
func (d *Daemon) Run(ctx context.Context) error {
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	var wg sync.WaitGroup
	wg.Go(func() { d.control.run(work) })
	wg.Go(func() { d.reader.run(work) })
	wg.Go(func() { d.peers.receive(work, d.control) })
	wg.Go(func() { d.sweep(work) })
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

// sweep closes connections to replicas that were idle for too long or whose replica
// is gone or leaves.
func (d *Daemon) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		d.pool.Sweep(d.View().KeepsConnections, clock.Now())
	}
}

// stop is the planned stop: not ready at once, new connections until the
// balancer has noticed, then the end of idle connections, and the wait for open
// requests until the grace is nearly over.
func (d *Daemon) stop(ctx context.Context) {
	begun := time.Now()
	d.Log.Stopping()
	d.stopping.Store(true)
	d.control.post(ctx, stopBegun{})
	grace := d.settings.Stop.Grace
	pause(ctx, time.Duration(stopAccept*float64(grace)))
	wait, cancel := context.WithDeadline(ctx, begun.Add(time.Duration(stopWait*float64(grace))))
	defer cancel()
	_ = d.callers.Server.Shutdown(wait) // an error means that the grace is over
}

// listeners returns the listeners that are open.
func (d *Daemon) listeners() []*daemon.Listener {
	all := []*daemon.Listener{d.callers, d.readiness, d.operators, d.documents, d.scrapers}
	return slices.DeleteFunc(all, func(l *daemon.Listener) bool { return l == nil })
}

func (d *Daemon) close() {
	for _, l := range d.listeners() {
		l.Close()
	}
	if d.peers != nil {
		_ = d.peers.socket.Close()
	}
	d.Log.Close()
}
