// This file finds out what is known of the end of a response. coordination/routing/response_end.go decides whether the
// response is complete.

package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

// errCarrierGone means that the end of a connection was not the replica's.
var errCarrierGone = errors.New("the daemon that opened the connection to the replica has terminated")

// errCutOff means that the replica may not have ended the connection.
var errCutOff = fmt.Errorf("connection ended before the response was known to be complete: %w", io.ErrUnexpectedEOF)

// framingOf returns how a response marks its end.
func framingOf(resp *http.Response) routing.Framing {
	switch {
	case resp.Body == http.NoBody: // of HEAD, or by its status
		return routing.FramedByLength
	case len(resp.TransferEncoding) > 0:
		return routing.FramedByChunks
	case resp.ContentLength < 0:
		return routing.FramedByConnection
	}
	return routing.FramedByLength
}

// errNoEvent means that a stream ended with its connection before its first event.
var errNoEvent = fmt.Errorf("stream ended with its connection before its first event: %w", io.ErrUnexpectedEOF)

// endsWithConn reports whether a response has neither a length nor chunks, so that its body ends only when the
// connection does.
func endsWithConn(resp *http.Response) bool { return framingOf(resp) == routing.FramedByConnection }

// checkEnd records how it is known that the response, which was read without an error, is complete. It returns an error
// if the response may have been cut off. The connection of a response without a length and chunks is closed.
func (x *exchange) checkEnd(ctx context.Context, s *activeCall) error {
	end := routing.ResponseEnd{Framing: framingOf(x.response), ThroughPeer: x.conn.via != ""}
	end.LacksEvent = x.awaitsEvents && s.events.forwarded.count == 0 && s.call.LastEventID == ""
	if end.Framing == routing.FramedByConnection {
		x.collectEnd(ctx, s, &end)
	}
	x.endBasis = end.Basis()
	switch {
	case x.endBasis != routing.EndUnknown:
		return nil
	case end.LacksEvent:
		return errNoEvent
	case end.DependsOnPeer() && !end.PeerRuns:
		return errCarrierGone
	}
	return errCutOff
}

// collectEnd finds out what is known of the end of a response that ended with its connection, and closes that.
func (x *exchange) collectEnd(ctx context.Context, s *activeCall, end *routing.ResponseEnd) {
	ctx, cancel := context.WithDeadline(ctx, clock.RuntimeTime(x.deadline))
	defer cancel()
	view := s.View()
	end.EndConfirmed = x.conn.framed != nil && x.conn.framed.EndConfirmed()
	end.Leaving = x.head.SelfReport.Leaving || s.Placer.Departures.IsLeaving(x.replica) || !view.IsReady(x.replica)
	x.closeConn() // it counts towards the limit of a new one
	if end.DependsOnOthers() {
		end.OtherOpen = x.pool.hasOtherOpen(ctx, x.conn, routing.EndSettleTime)
	}
	if end.DependsOnPeer() {
		end.PeerRuns = x.pool.peerRuns(ctx, x.conn.via)
	}
	if end.DependsOnNewConn() {
		end.NewConn = x.pool.tryNewConn(ctx, x, view, routing.EndConnTime)
	}
}

// hasOtherOpen reports whether another connection to the replica that goes the same way as one that has ended is open after
// a time.
func (p *Pool) hasOtherOpen(ctx context.Context, ended *conn, after time.Duration) bool {
	others := p.connsLike(ended) // later ones say nothing of that time
	select {
	case <-time.After(after):
	case <-ctx.Done():
	}
	return slices.ContainsFunc(others, func(c *conn) bool { return c.state() == connOpen })
}

// connsLike returns the open connections to the same replica that go the same way as another one, itself excepted.
func (p *Pool) connsLike(c *conn) (out []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for o := range p.open[c.replica] {
		if o != c && o.via == c.via {
			out = append(out, o)
		}
	}
	return out
}

// tryNewConn tries to open a connection to a replica the way that the exchange's went. An accepted one is put into the pool.
// within is for how long it tries.
func (p *Pool) tryNewConn(ctx context.Context, x *exchange, v *routing.View, within time.Duration) routing.NewConn {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if !p.reserve(x.replica.Incarnation(), v.ConnectionLimit(x.replica.Service)) {
		return routing.NewConnUnknown
	}
	c, err := p.openReserved(x.replica, func() (*conn, error) {
		if x.conn.via != "" {
			return p.openThrough(ctx, x.replica)
		}
		return p.openToCheck(ctx, x.replica, v)
	})
	switch {
	case err == nil:
		p.put(c, clock.Now())
		return routing.NewConnAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return routing.NewConnRefused
	}
	return routing.NewConnUnknown
}

// peerRuns reports whether another daemon accepts connections. Its listener is closed if it has terminated.
func (p *Pool) peerRuns(ctx context.Context, peer routing.PeerID) bool {
	c, err := transport.Dial(ctx, p.peerDialer, string(peer))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
