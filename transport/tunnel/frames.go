// This file marks the end of what a replica sent over a carried connection. The connection between two daemons may end for
// other reasons than the replica's: the operating system ends those of a process that is killed as the process would.
//
// Both daemons must know of it: the daemon that asks says so in a header of its request, and the peer in that of its response.
// Otherwise bytes are copied as they are. Only the direction from the replica is framed. The rule:
//
//  1. A frame is a length of two bytes, the most significant one first, and as many bytes. Each piece that the peer reads from
//     the replica is a frame, and is sent at once.
//  2. A frame of no bytes says that the replica has closed the connection in an ordinary way. Nothing follows it.
//  3. A connection that ends without it was cut off. A reset is passed on as a reset.

package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

const (
	// headerFraming says that a daemon understands frames of the given version.
	headerFraming  = "Hingewinch-Framing"
	framingVersion = "1"
	// frameHeadBytes is the size of a frame's length.
	frameHeadBytes = 2
)

// ErrCutOff means that a carried connection ended, and not because the replica closed it.
var ErrCutOff = fmt.Errorf("connection through a peer was cut off: %w", io.ErrUnexpectedEOF)

// errAfterEnd means that a peer sent bytes after the end frame.
var errAfterEnd = errors.New("peer sent bytes after the end of a connection")

// copyFrames is the [copyFunc] that sends frames, and the end frame once the source has ended.
func copyFrames(to io.Writer, from io.Reader) (n int64, readErr, writeErr error) {
	n, readErr, writeErr = copyPieces(from, frameHeadBytes, func(frame []byte) error {
		binary.BigEndian.PutUint16(frame, uint16(len(frame)-frameHeadBytes))
		_, err := to.Write(frame)
		return err
	})
	if readErr == nil && writeErr == nil {
		_, writeErr = to.Write(make([]byte, frameHeadBytes))
	}
	return n, readErr, writeErr
}

// FramedConn is a connection through a peer that marks the end. It is read by one goroutine at a time. It holds no bytes that
// it has read from the connection, so that those of the socket and [FramedConn.IsInsideFrame] tell whether something is unread.
type FramedConn struct {
	net.Conn
	early []byte // bytes that arrived with the peer's response
	head  [frameHeadBytes]byte
	known int // bytes of head that were read
	left  int // bytes of the current frame that were not read
	ended bool
	err   error // why nothing more is read; nil: it is
}

var _ syscall.Conn = (*FramedConn)(nil)

// EndConfirmed reports whether the replica has closed the connection, by the peer's word.
func (c *FramedConn) EndConfirmed() bool { return c.ended && c.err == nil }

// IsInsideFrame reports whether bytes follow, or nothing any more, so that an idle connection can't be used again.
func (c *FramedConn) IsInsideFrame() bool {
	return c.err != nil || c.ended || c.known > 0 || c.left > 0 || len(c.early) > 0
}

// Read implements [io.Reader]. Frames are read into p and their lengths removed there. A deadline that expires inside a
// frame loses nothing.
func (c *FramedConn) Read(p []byte) (int, error) {
	for len(p) > 0 {
		switch {
		case c.err != nil:
			return 0, c.err
		case c.ended:
			return 0, io.EOF
		}
		n, err := c.readRaw(p)
		if size := c.decode(p[:n]); size > 0 {
			return size, nil
		}
		switch {
		case err == nil, c.ended:
		case errors.Is(err, io.EOF):
			c.err = ErrCutOff
		default:
			return 0, err
		}
	}
	return 0, nil
}

// readRaw reads bytes with the lengths of frames.
func (c *FramedConn) readRaw(p []byte) (int, error) {
	if len(c.early) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.early)
	if c.early = c.early[n:]; len(c.early) == 0 {
		c.early = nil
	}
	return n, nil
}

// decode removes the lengths of frames from p, and returns the number of bytes that remain at its beginning.
func (c *FramedConn) decode(p []byte) (size int) {
	for at := 0; at < len(p); {
		if c.ended {
			c.err = errAfterEnd
			return size
		}
		if c.left > 0 {
			n := copy(p[size:], p[at:min(at+c.left, len(p))])
			c.left, at, size = c.left-n, at+n, size+n
			continue
		}
		c.head[c.known] = p[at]
		at++
		if c.known++; c.known == frameHeadBytes {
			c.known, c.left = 0, int(binary.BigEndian.Uint16(c.head[:]))
			c.ended = c.left == 0
		}
	}
	return size
}

// SyscallConn implements [syscall.Conn].
func (c *FramedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, os.ErrInvalid
}
