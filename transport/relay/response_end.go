// This file finds out what is known of the end of a response. coordination/routing/response_end.go decides whether the
// response is complete.

package relay

import (
	"context"
	"errors"
	"net/http"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
)

// errCarrierGone means that the end of a connection was not the replica's.
var errCarrierGone = errors.New("the daemon that opened the connection to the replica has terminated")

// framingOf returns how a response marks its end.
func framingOf(resp *http.Response) routing.Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return routing.FramedByChunks
	case resp.ContentLength < 0:
		return routing.FramedByConnection
	}
	return routing.FramedByLength
}

// endsWithConn reports whether a response has neither a length nor chunks, so that its body ends only when the
// connection does.
func endsWithConn(resp *http.Response) bool { return framingOf(resp) == routing.FramedByConnection }

// checkEnd records how it is known that the response, which was read without an error, is complete. It returns an error
// if the response may have been cut off.
func (x *exchange) checkEnd(ctx context.Context) error {
	end := routing.ResponseEnd{Framing: framingOf(x.response), ThroughPeer: x.conn.via != ""}
	end.EndConfirmed = x.conn.framed != nil && x.conn.framed.EndConfirmed()
	if end.DependsOnPeer() {
		end.PeerRuns = x.pool.peerRuns(ctx, x.conn.via)
	}
	x.endBasis = end.Basis()
	if x.endBasis == routing.EndUnknown {
		return errCarrierGone
	}
	return nil
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
