// This file gives evidence of whether a request can have reached an upstream.
// It stands below the HTTP client, at the connection, because the client's own
// trace reports a write only after the fact: between a cancelled call and the
// client's writing goroutine there is a moment in which nothing is written yet
// and something still may be. An attempt that is sealed can write nothing any
// more.

package gateway

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// attemptState orders the states of an attempt. Both ends are final.
const (
	attemptIdle int32 = iota
	attemptWritten
	attemptSealed
)

// errSealed is returned to a write on an attempt that was declared not run.
var errSealed = errors.New("attempt was given up before its first byte")

// Attempt is one try to send one request.
type Attempt struct {
	state atomic.Int32
	// permit is asked right before the first byte. It may be nil.
	permit func() error
	// denied holds the permit's refusal.
	denied atomic.Pointer[error]
}

// newAttempt returns an attempt. permit, which may be nil, is called right
// before the first byte is written and can still stop it.
func newAttempt(permit func() error) *Attempt { return &Attempt{permit: permit} }

// Seal gives the attempt up. The result is true if no byte of the request was
// handed to the operating system, and then none will be.
func (a *Attempt) Seal() bool {
	return a.state.CompareAndSwap(attemptIdle, attemptSealed) || a.state.Load() == attemptSealed
}

// Denied returns the permit's refusal, or nil.
func (a *Attempt) Denied() error {
	if p := a.denied.Load(); p != nil {
		return *p
	}
	return nil
}

// beforeWrite is called before each write to the connection.
func (a *Attempt) beforeWrite() error {
	if a.state.Load() == attemptWritten {
		return nil
	}
	if a.permit != nil {
		if err := a.permit(); err != nil {
			a.denied.CompareAndSwap(nil, &err)
			a.Seal()
			return err
		}
	}
	if a.state.CompareAndSwap(attemptIdle, attemptWritten) || a.state.Load() == attemptWritten {
		return nil
	}
	return errSealed
}

// trace binds the attempt to the connection that the client chooses for it.
func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c := evidenceOf(info.Conn); c != nil {
				c.attempt.Store(a)
				return
			}
			// A connection of another kind gives no evidence: assume the worst.
			a.state.CompareAndSwap(attemptIdle, attemptWritten)
		},
	}
}

// evidenceConn reports each write to the attempt that uses it. HTTP/1.1 gives a
// connection to one request at a time, and HTTP/2 is off towards upstreams.
type evidenceConn struct {
	net.Conn
	attempt atomic.Pointer[Attempt]
}

// Write writes unless the attempt was sealed. A TLS handshake comes before an
// attempt is bound and is not counted: it carries nothing of the request.
func (c *evidenceConn) Write(p []byte) (int, error) {
	if a := c.attempt.Load(); a != nil {
		if err := a.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// evidenceOf finds the evidence below TLS.
func evidenceOf(c net.Conn) *evidenceConn {
	for {
		switch v := c.(type) {
		case *evidenceConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
