// This file is about connections to replicas through other daemons: it proposes daemons to the pool, which
// asks them, and opens connections for peers. coordination/routing/carriers.go has the rules.

package routes

import (
	"context"
	"net"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/tunnel"
)

const (
	// findCarrierTimeout bounds the wait for the control loop, which answers within a millisecond unless
	// the daemon is overloaded.
	findCarrierTimeout = 100 * time.Millisecond
	// carriedLogInterval limits how often it is logged that connections are opened for a peer.
	carriedLogInterval = 10 * time.Second
)

// findCarrier asks the control loop for a daemon that may open connections for this one.
func (c *control) findCarrier(ctx context.Context, s routing.Search) (routing.Carrier, bool) {
	ctx, cancel := context.WithTimeout(ctx, findCarrierTimeout)
	defer cancel()
	reply := make(chan routing.Carrier, 1)
	c.post(ctx, carrierNeeded{search: s, reply: reply})
	select {
	case carrier, ok := <-reply:
		return carrier, ok
	case <-ctx.Done():
		return routing.Carrier{}, false
	}
}

// chooseCarrier responds to findCarrier.
func (c *control) chooseCarrier(e *carrierNeeded, now time.Time) {
	defer close(e.reply)
	excluded := func(a membership.Address) bool { return e.search.Excluded[routing.PeerID(a)] }
	if m, ok := c.roster.RandomCarrier(now, c.heartbeats.rng, excluded, e.search.AnyDomain); ok {
		e.reply <- routing.Carrier{Peer: routing.PeerID(m.Address), Local: m.Domain == c.domain}
	}
}

// dropLostCarriers stops using daemons that are shutting down or not heard.
func (c *control) dropLostCarriers(now time.Time) {
	for _, r := range c.carriers.InUse() {
		if !c.roster.MayCarry(membership.Address(r.Peer), now) {
			c.dropCarrier(r)
		}
	}
}

// newCarrier returns the server that opens connections for peers.
func (d *Daemon) newCarrier() *tunnel.Server {
	var log carriedLog
	return &tunnel.Server{
		Open: func(ctx context.Context, id routing.Incarnation) (net.Conn, error) {
			view := d.View()
			r := view.Lookup(id)
			if r == nil {
				return nil, &tunnel.Refused{Reason: tunnel.ReasonUnknownReplica}
			}
			return d.pool.OpenForPeer(ctx, r, view)
		},
		Broken: func(id routing.Incarnation) {
			view := d.View()
			if r := view.Lookup(id); r != nil {
				d.pool.BrokenForPeer(r, view)
			}
		},
		Opened: func(peer string) {
			d.Metrics.CarriedConnections.Inc(1)
			if host, _, err := net.SplitHostPort(peer); err == nil && log.due(host, clock.Now()) {
				d.Log.Carries(host)
			}
		},
	}
}

// carriedLog limits the log lines about connections that are opened for peers. The zero value is ready to
// use.
type carriedLog struct {
	mu     sync.Mutex
	logged map[string]time.Time // by the peer's IP number
}

// due reports whether a line about a peer is due, and if so, assumes that it is written.
func (l *carriedLog) due(peer string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, at := range l.logged {
		if now.Sub(at) >= carriedLogInterval {
			delete(l.logged, p)
		}
	}
	if _, ok := l.logged[peer]; ok {
		return false
	}
	if l.logged == nil {
		l.logged = make(map[string]time.Time)
	}
	l.logged[peer] = now
	return true
}
