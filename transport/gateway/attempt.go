// This file determines whether a request can have reached an upstream. It intercepts
// writes at the connection, below the HTTP client, because the client's own trace
// reports a write only after the fact: after a call is cancelled, the client's writing
// goroutine may not have written anything yet and still be about to. A sealed attempt
// can't write any more.

package gateway

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// States of an attempt. Written and sealed are both final.
const (
	attemptIdle int32 = iota
	attemptWritten
	attemptSealed
)

// errSealed is returned by a write on an attempt that was declared not run.
var errSealed = errors.New("attempt was abandoned before its first byte")

// Attempt tracks one attempt to send a request.
type Attempt struct {
	state atomic.Int32
	// permit is called right before the first byte. It may be nil.
	permit func() error
	// denied holds the error that permit returned.
	denied atomic.Pointer[error]
}

// newAttempt returns an attempt. permit, which may be nil, is called right before the
// first byte is written and can still prevent the write.
func newAttempt(permit func() error) *Attempt { return &Attempt{permit: permit} }

// Seal abandons the attempt. It returns true if no byte of the request was handed to
// the operating system; in this case none will be.
func (a *Attempt) Seal() bool {
	return a.state.CompareAndSwap(attemptIdle, attemptSealed) || a.state.Load() == attemptSealed
}

// Denied returns the error that permit returned, or nil.
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

// trace binds the attempt to the connection that the client picks for it.
func (a *Attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c := trackedConnOf(info.Conn); c != nil {
				c.attempt.Store(a)
				return
			}
			// Writes on another kind of connection can't be observed: assume that bytes
			// were written.
			a.state.CompareAndSwap(attemptIdle, attemptWritten)
		},
	}
}

// trackedConn asks the attempt that uses it before each write. HTTP/1.1 gives a
// connection to one request at a time, and HTTP/2 is disabled for upstreams.
type trackedConn struct {
	net.Conn
	attempt atomic.Pointer[Attempt]
}

// Write writes unless the attempt was sealed. A TLS handshake precedes the binding of
// an attempt and does not count, since it carries nothing of the request.
func (c *trackedConn) Write(p []byte) (int, error) {
	if a := c.attempt.Load(); a != nil {
		if err := a.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// trackedConnOf returns the trackedConn below TLS, or nil.
func trackedConnOf(c net.Conn) *trackedConn {
	for {
		switch v := c.(type) {
		case *trackedConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
