// This file keeps the connections of a listener's clients within its limits. coordination/connections.go has the rules.

package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/transport/clock"
)

// clientListener accepts connections that have a place in a room.
type clientListener struct {
	net.Listener
	room *coordination.ConnRoom
}

// Accept implements [net.Listener]. Connections without a place are closed.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		client := &clientConn{TCPConn: tcp, room: l.room}
		client.place.Close = client.drop
		if l.room.Open(&client.place, clock.Now()) {
			return client, nil
		}
		_ = tcp.Close()
	}
}

// clientConn is a connection that counts the bytes of heads.
type clientConn struct {
	*net.TCPConn
	room    *coordination.ConnRoom
	place   coordination.ClientConn
	serving atomic.Bool // what arrives belongs to a request whose head is whole
	dropped atomic.Bool // it has given way
}

// drop closes the connection, which has given way.
func (c *clientConn) drop() {
	c.dropped.Store(true)
	_ = c.TCPConn.Close()
}

// Read implements [net.Conn].
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.serving.Load() && !c.room.Arrived(&c.place, n, bytes.Count(p[:n], []byte{'\n'}), clock.Now()) {
		return 0, net.ErrClosed
	}
	return n, err
}

// clientOf returns the client's connection below others, such as one of TLS, or false if it is none of a room.
func clientOf(conn net.Conn) (*clientConn, bool) {
	for {
		if c, ok := conn.(*clientConn); ok {
			return c, true
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = outer.NetConn()
	}
}

// observeState records what net/http says of a connection. A head has been read once it is active.
func observeState(conn net.Conn, state http.ConnState) {
	c, ok := clientOf(conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.serving.Store(true)
		c.room.Begin(&c.place, clock.Now())
	case http.StateIdle:
		c.serving.Store(false)
		c.room.End(&c.place, clock.Now())
	case http.StateHijacked, http.StateClosed:
		c.serving.Store(true)
		c.room.Closed(&c.place)
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a client's connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := clientOf(conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// observeBodies returns a handler that records when the bodies of requests have been read. Requests on connections that have just
// given way are not served: their callers could get no response.
func observeBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*clientConn)
		if ok && c.dropped.Load() {
			panic(http.ErrAbortHandler)
		}
		if ok && r.Body != http.NoBody && r.ContentLength != 0 {
			c.room.BeginBody(&c.place, clock.Now())
			r.Body = &observedBody{ReadCloser: r.Body, conn: c, left: r.ContentLength}
		}
		next.ServeHTTP(w, r)
	})
}

// observedBody is a body that records when it has been read, or is not read any more.
type observedBody struct {
	io.ReadCloser
	conn *clientConn
	left int64 // bytes; negative: the length is not known
	read bool
}

// Read implements [io.Reader].
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	isLast := b.left >= 0 && int64(n) >= b.left
	if b.left >= 0 {
		b.left -= int64(n)
	}
	if err != nil || isLast {
		b.end()
	}
	if b.conn.dropped.Load() {
		return n, net.ErrClosed // the request must not run: its caller could get no response
	}
	return n, err
}

// Close implements [io.Closer].
func (b *observedBody) Close() error {
	b.end()
	return b.ReadCloser.Close()
}

func (b *observedBody) end() {
	if !b.read {
		b.read = true
		b.conn.room.Begin(&b.conn.place, clock.Now())
	}
}

// FileLimit returns how many descriptors the process may open.
func FileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFiles
	}
	return int(min(limit.Cur, maxFiles))
}

const (
	// defaultFiles is the usual limit of a process, used if it can't be read.
	defaultFiles = 1024
	// maxFiles is what a limit counts as that is none.
	maxFiles = 1 << 20
)
