// This file finds out whether a connection that one goroutine reads while another one writes has ended or broken. Linux
// reports that a connection broke to one system call only: if a write gets the error, the next read returns an ordinary end.
//
// Inputs: the end that a read returned, and the errors of earlier reads and writes on the connection. The rule:
//
//  1. At an end, a write under way is interrupted and awaited, since it may have got the error without having returned
//     it. The other side has closed its direction, so that nothing more is read in any case. The write may otherwise
//     wait for as long as the other side leaves its receive buffer full.
//  2. The end is genuine if no read or write got an error of the connection. Otherwise the read returns that error.
//  3. EPIPE is no such error: a connection that is reset after the other side's end reports it, and so does each write
//     after the first error. A deadline that passed and a connection that this process closed are none either.

package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// SharedConn is a TCP connection that may be read and written concurrently: a read returns [io.EOF] only if the other
// side has ended the connection, not if it broke. It has no ReadFrom and WriteTo, which would pass it by.
type SharedConn struct {
	net.Conn // tcp
	tcp      *net.TCPConn

	writing sync.Mutex // held during a write

	mu          sync.Mutex
	broken      error // first error of the connection; nil: there was none
	interrupted bool  // writes fail, since a read has returned an end
}

var _ syscall.Conn = (*SharedConn)(nil)

// Share returns a connection as a [SharedConn] if it is a TCP connection, and as it is otherwise. It must be called
// before the connection is used.
func Share(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &SharedConn{Conn: tcp, tcp: tcp}
	}
	return c
}

// Read implements [io.Reader]. Once the connection has broken, each read at its end returns a [BrokenError].
func (c *SharedConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		c.record(err)
		return n, err
	}
	c.endWriting()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return n, &BrokenError{Err: c.broken}
	}
	return n, err
}

// Write implements [io.Writer].
func (c *SharedConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	c.record(err)
	return n, err
}

// record keeps the error by which a read or write failed if it is the first one of the connection.
func (c *SharedConn) record(err error) {
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = err
	}
}

// endWriting interrupts a write under way, and waits until it has returned.
func (c *SharedConn) endWriting() {
	if !c.writing.TryLock() {
		c.mu.Lock()
		c.interrupted = true
		_ = c.tcp.SetWriteDeadline(time.Unix(1, 0)) // on failure, the connection is closed
		c.mu.Unlock()
		c.writing.Lock()
	}
	c.writing.Unlock()
}

// SetDeadline implements [net.Conn].
func (c *SharedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements [net.Conn]. It leaves an interrupted write so.
func (c *SharedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.tcp.SetWriteDeadline(t)
}

// SyscallConn implements [syscall.Conn].
func (c *SharedConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// SetLinger sets how closing the connection treats unsent bytes, as [net.TCPConn.SetLinger] does.
func (c *SharedConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// BrokenError means that a connection broke, although the operating system reported its end as an ordinary one. It is a
// reset for [errors.Is], whichever error the other read or write got.
type BrokenError struct{ Err error }

func (e *BrokenError) Error() string { return "connection broke: " + e.Err.Error() }

// Unwrap returns the error by which the other read or write failed.
func (e *BrokenError) Unwrap() error { return e.Err }

// Is reports whether the error counts as another one.
func (e *BrokenError) Is(target error) bool { return target == syscall.ECONNRESET }
