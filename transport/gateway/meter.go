// This file counts the bytes of control traffic on its connections, including TLS and
// HTTP framing.

package gateway

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"

	"hingewinch.org/hingewinch/transport"
)

// Meter counts the bytes of connections.
type Meter struct{ Sent, Read metrics.Counter }

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps a dial function; nil stands for the default dialer.
func (m *Meter) Dial(dial dialFunc) dialFunc {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbe}
		dial = d.DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: transport.Share(c), m: m}, nil
	}
}

// Listener wraps a listener so that its connections are counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return &meteredListener{Listener: l, m: m} }

var _ net.Listener = (*meteredListener)(nil)

type meteredListener struct {
	net.Listener
	m *Meter
}

// Accept returns the next connection, wrapped for counting.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, m: l.m}, nil
}

type meteredConn struct {
	net.Conn
	m *Meter
}

// NetConn returns the connection below, as [tls.Conn.NetConn] does.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.m.Read.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.m.Sent.Inc(int64(n))
	return n, err
}
