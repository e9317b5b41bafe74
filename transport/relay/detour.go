// This file opens connections to replicas, through another daemon while this daemon's own links are
// suspect or down (coordination/routing/reach.go). Which daemon is asked is decided in
// coordination/routing/carriers.go.

package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// Detours is how a pool finds other daemons to open connections for this one.
type Detours struct {
	Carriers *routing.Carriers
	// Find returns another daemon to try. It returns false if there is none.
	Find func(ctx context.Context, s routing.Search) (routing.Carrier, bool)
}

// UseDetours sets how the pool finds other daemons. It must be called before the pool is used.
func (p *Pool) UseDetours(d *Detours) { p.detours = d }

// otherReplicaTimeout is how long a second replica is tried while a peer waits. Links within a region take milliseconds.
const otherReplicaTimeout = 200 * time.Millisecond

// errNoCarrier means that no other daemon opens connections for this one.
var errNoCarrier = errors.New("this daemon's own links to the service are down, and no other daemon reaches it")

// errResetAtOnce means that a connection was accepted and reset before anything was sent.
var errResetAtOnce = errors.New("connection was reset before anything was sent")

// isRefused reports whether an error means that a replica's address refused a connection, or reset it at once.
func isRefused(err error) bool {
	var refused *tunnel.Refused
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errResetAtOnce) ||
		errors.As(err, &refused) && refused.Reason == tunnel.ReasonReplicaRefused
}

// connect opens a connection to a replica, directly or through another daemon.
func (p *Pool) connect(ctx context.Context, r *routing.Replica, v *routing.View, checkLink bool) (*conn, error) {
	p.awaitProbes(ctx, r.Service, p.probeWait)
	if p.reach.State(r.Service) == routing.LinksUp {
		c, err := p.openDirect(ctx, r, v, checkLink)
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		p.awaitProbes(ctx, r.Service, p.probeWait) // this failure may have made the links suspect
		if p.reach.State(r.Service) == routing.LinksUp {
			return nil, err
		}
		if c, detourErr := p.openThrough(ctx, r); !errors.Is(detourErr, errNoCarrier) {
			return c, detourErr
		}
		return nil, err
	}
	c, err := p.openThrough(ctx, r)
	if errors.Is(err, errNoCarrier) && !p.reach.IsDetoured(r.Service) {
		// Perhaps the replicas are gone, and are coming back.
		return p.openDirect(ctx, r, v, false)
	}
	return c, err
}

// awaitProbes waits for the first probes, for some time, if the links to a service have just become suspect.
func (p *Pool) awaitProbes(ctx context.Context, s routing.ServiceName, wait time.Duration) {
	probing := p.reach.Probing(s)
	if probing == nil {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-probing:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// openDirect opens a connection over this daemon's own link. If checkLink is set, one that the link resets at once is a
// failure.
func (p *Pool) openDirect(ctx context.Context, r *routing.Replica, v *routing.View, checkLink bool) (*conn, error) {
	dial := p.dial
	if checkLink {
		dial = p.dialChecked
	}
	raw, err := dial(ctx, r.Address)
	if err != nil {
		if ctx.Err() == nil || errors.Is(err, errResetAtOnce) {
			p.reach.Failed(r, len(v.Pool(r.Service).Ready), clock.Now())
		}
		return nil, err
	}
	return newConn(raw, transport.NewResponseReader(raw, readBufferBytes), r, ""), nil
}

// openThrough opens a connection through another daemon. The error is errNoCarrier if none of those that
// were asked could say anything about the replica.
func (p *Pool) openThrough(ctx context.Context, r *routing.Replica) (*conn, error) {
	if p.detours == nil {
		return nil, errNoCarrier
	}
	unreachable, begun := unreachableThrough{err: errNoCarrier}, clock.Now()
	for range routing.MaxCarrierTries {
		carrier, ok := p.detours.next(ctx, r.Service, unreachable.peers())
		if !ok || ctx.Err() != nil {
			break
		}
		raw, reader, err := tunnel.Dial(ctx, &p.peerDialer, string(carrier.Peer), r.Incarnation())
		if err == nil {
			for _, c := range unreachable.carriers {
				p.ExcludeCarrier(c, r.Service, routing.CarrierNoLink)
			}
			p.detours.Carriers.Opened(carrier)
			p.reach.Detoured(r.Service)
			return newConn(raw, reader, r, carrier.Peer), nil
		}
		var refused *tunnel.Refused
		switch {
		case errors.As(err, &refused) && refused.AboutReplica():
			unreachable.add(carrier, err)
			if refused.Reason == tunnel.ReasonReplicaRefused || !p.detours.Carriers.AsksAnother(begun, clock.Now()) {
				return nil, err
			}
		case errors.As(err, &refused) && refused.Reason == tunnel.ReasonUnknownReplica:
			// The replica is new, and others will hardly know it either. The carrier is well.
			return nil, unreachable.err
		case ctx.Err() == nil:
			p.ExcludeCarrier(carrier, r.Service, failureOf(err))
		}
	}
	return nil, unreachable.err
}

// unreachableThrough are the daemons that did not reach a replica.
type unreachableThrough struct {
	carriers []routing.Carrier
	err      error // of the last one
}

func (u *unreachableThrough) add(c routing.Carrier, err error) {
	u.carriers, u.err = append(u.carriers, c), err
}

func (u *unreachableThrough) peers() []routing.PeerID {
	var out []routing.PeerID
	for _, c := range u.carriers {
		out = append(out, c.Peer)
	}
	return out
}

// failureOf returns why a daemon opened no connection.
func failureOf(err error) routing.CarrierFailure {
	var refused *tunnel.Refused
	switch {
	case errors.Is(err, tunnel.ErrUnsupported):
		return routing.CarrierUnsupported
	case errors.As(err, &refused) && refused.Reason == tunnel.ReasonNoLink:
		return routing.CarrierNoLink
	}
	return routing.CarrierGone
}

// next returns the daemon to ask for the next connection to a service, other than those that were asked for this one. It
// returns false if there is none.
func (d *Detours) next(ctx context.Context, s routing.ServiceName, asked []routing.PeerID) (routing.Carrier, bool) {
	if c, ok := d.Carriers.Pick(s, clock.Now(), asked...); ok {
		return c, true
	}
	if c, ok := d.Find(ctx, d.Carriers.Search(s, clock.Now(), asked...)); ok {
		return c, true
	}
	d.Carriers.NoneFound(s, clock.Now())
	return d.Carriers.Pick(s, clock.Now(), asked...)
}

// mayReuseDetour reports whether an idle connection through another daemon may be used.
func (p *Pool) mayReuseDetour(c *conn) bool {
	return p.reach.State(c.service) != routing.LinksUp && p.detours.Carriers.Usable(c.via)
}

// ExcludeCarrier makes the pool not ask a daemon for a while, for a service or, if that is empty, for any.
// If the daemon is not used for any, the idle connections through it are closed: it may be waiting for that
// in order to end.
func (p *Pool) ExcludeCarrier(c routing.Carrier, s routing.ServiceName, why routing.CarrierFailure) {
	p.detours.Carriers.Exclude(c, s, why, clock.Now())
	if p.detours.Carriers.Usable(c.Peer) {
		return
	}
	p.closeIdle(func(idle *conn) bool { return idle.via == c.Peer })
}

// clearDetours forgets the daemons in use, since all links are up.
func (p *Pool) clearDetours() {
	if p.detours != nil {
		p.detours.Carriers.Clear()
	}
}

// tryDetour finds out whether another daemon reaches a replica of a service whose links are down, as long
// as no request has shown it. A daemon without requests would otherwise open connections for others that
// lead nowhere.
func (p *Pool) tryDetour(ctx context.Context, r *routing.Replica, v *routing.View) {
	if !p.reserve(r.Incarnation(), v.ConnectionLimit(r.Service)) {
		return
	}
	if c, err := p.openReserved(r, func() (*conn, error) { return p.openThrough(ctx, r) }); err == nil {
		p.put(c, clock.Now())
	}
}

// BrokenForPeer records that a connection which was opened for another daemon broke before the replica sent
// a byte.
func (p *Pool) BrokenForPeer(r *routing.Replica, v *routing.View) {
	p.reach.Failed(r, len(v.Pool(r.Service).Ready), clock.Now())
}

// OpenForPeer opens a connection to a replica for another daemon. The error is a [*tunnel.Refused].
func (p *Pool) OpenForPeer(ctx context.Context, r *routing.Replica, v *routing.View) (net.Conn, error) {
	if p.reach.IsDetoured(r.Service) {
		return nil, &tunnel.Refused{Reason: tunnel.ReasonNoLink}
	}
	raw, err := p.dialChecked(ctx, r.Address)
	if err == nil {
		return raw, nil
	}
	if ctx.Err() == nil {
		p.reach.Failed(r, len(v.Pool(r.Service).Ready), clock.Now())
		p.checkAnother(ctx, r, v)
		p.awaitProbes(ctx, r.Service, p.probeWait) // they tell a lost replica from lost links
	}
	links, replicaRefused := p.reach.State(r.Service), errors.Is(err, syscall.ECONNREFUSED)
	switch {
	case links == routing.LinksDown, links == routing.LinksSuspect && !replicaRefused:
		return nil, &tunnel.Refused{Reason: tunnel.ReasonNoLink}
	case replicaRefused:
		// Where links refuse everything, probes have ended by now.
		return nil, &tunnel.Refused{Reason: tunnel.ReasonReplicaRefused}
	}
	return nil, &tunnel.Refused{Reason: tunnel.ReasonReplicaUnreachable}
}

// dialChecked is dial for a connection that the link does not reset at once.
func (p *Pool) dialChecked(ctx context.Context, address string) (net.Conn, error) {
	raw, err := p.dial(ctx, address)
	if err == nil && breaksWithin(raw, linkCheckTime) {
		_ = raw.Close()
		return nil, errResetAtOnce
	}
	return raw, err
}

// reaches reports whether a connection to a replica can be opened within a time.
func (p *Pool) reaches(ctx context.Context, r *routing.Replica, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	raw, err := p.dialChecked(ctx, r.Address)
	if err != nil {
		return false
	}
	_ = raw.Close()
	return true
}

// checkAnother finds out, after a replica was not reached, whether another one of its service is. Without requests of its
// own, this daemon would take its lost links for a lost replica, and its peer would look for other replicas in vain.
func (p *Pool) checkAnother(ctx context.Context, lost *routing.Replica, v *routing.View) {
	if p.reach.State(lost.Service) != routing.LinksUp {
		return
	}
	pool := v.Pool(lost.Service)
	for _, r := range routing.ProbeTargets(pool, v.Domain) {
		if r.Incarnation() == lost.Incarnation() {
			continue
		}
		if !p.reaches(ctx, &r, otherReplicaTimeout) && ctx.Err() == nil {
			p.reach.Failed(&r, len(pool.Ready), clock.Now())
		}
		return
	}
}
