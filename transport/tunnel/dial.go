// This file asks a peer to open a connection.

package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
)

const (
	// openTimeout bounds the whole exchange: connecting to the peer, and the peer's connection to the
	// replica, which takes up to 400 ms.
	openTimeout = 600 * time.Millisecond
	// bufferBytes is the size of the reader of a connection. It holds a response's header and some
	// events.
	bufferBytes = 4 << 10
)

// Dial connects to a replica through a peer. The error is a [*Refused] or wraps [ErrUnsupported] if
// the peer responded. Whatever the error, the replica has received nothing. The connection is a [FramedConn] if the peer's
// build marks the end.
func Dial(ctx context.Context, dialer *net.Dialer, peer string, id routing.Incarnation) (net.Conn, *transport.ResponseReader, error) {
	ctx, cancel := transport.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, *dialer, peer)
	if err != nil {
		return nil, nil, eris.Wrap(err, "connect to peer")
	}
	// Closing the connection ends the exchange if the caller disconnects or the time is over.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader := transport.NewResponseReader(conn, bufferBytes)
	framed, err := open(conn, reader, peer, id)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	if !framed {
		return conn, reader, nil
	}
	early := make([]byte, reader.Buffered())
	_, _ = reader.Read(early) // they are buffered
	c := &FramedConn{Conn: conn, early: early}
	reader.SetSource(c)
	return c, reader, nil
}

// open sends the request and reads the peer's response. It reports whether the peer sends frames.
func open(conn net.Conn, reader *transport.ResponseReader, peer string, id routing.Incarnation) (framed bool, err error) {
	head := "GET " + Path + "?" + encodeReplica(id) + " HTTP/1.1\r\nHost: " + peer +
		"\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n" + headerFraming + ": " + framingVersion + "\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return false, eris.Wrap(err, "ask peer for a connection")
	}
	resp, err := reader.ReadResponse(nil)
	if err != nil {
		return false, eris.Wrap(err, "read peer's response")
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && resp.Header.Get("Upgrade") == upgradeProtocol {
		return resp.Header.Get(headerFraming) == framingVersion, nil
	}
	// The body is not closed, since that would read it to its end. The connection is closed in any case.
	if reason := resp.Header.Get(headerReason); reason != "" {
		return false, &Refused{Reason: Reason(reason)}
	}
	return false, eris.Wrapf(ErrUnsupported, "status %d", resp.StatusCode)
}
