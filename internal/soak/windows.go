// This file opens sockets with small buffers, so that a peer's write waits for room.

package soak

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// smallBuffer is the size, in bytes, that is asked for receive and send buffers. It is the least receive buffer
	// that Linux allows.
	smallBuffer = 2304
	// ethernetSegment is the segment size of connections with small buffers, in bytes. The system sizes the send buffer of
	// the other side by it: with the 64 KB segments of the loopback interface, that side's write takes 2 MB without waiting,
	// with these 34 KB.
	ethernetSegment = 1448
	// copyBytes and smallCopyBytes are how much a link holds of each direction, without and with small buffers.
	copyBytes      = 16 << 10
	smallCopyBytes = 2 << 10
)

// listenTCP listens on an address, with small buffers for its connections if they are asked for.
func listenTCP(address string, small bool) (net.Listener, error) {
	var config net.ListenConfig
	if small {
		config.Control = control(syscall.SO_RCVBUF, true)
	}
	return config.Listen(context.Background(), "tcp4", address)
}

// dialTCP connects to an address, with a small send buffer if it is asked for.
func dialTCP(address string, small bool) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if small {
		dialer.Control = control(syscall.SO_SNDBUF, false)
	}
	c, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// control sets the size of a buffer before the socket is connected, so that the first window is small too.
func control(buffer int, segment bool) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, buffer, smallBuffer)
			if failed == nil && segment {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// refusesWrites reports whether the system refuses an empty write to a connection, as it does after a reset. It reports a reset
// itself once, to the first call: if that is a write, a read afterwards returns an ordinary end.
func refusesWrites(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var refused error
	err = raw.Control(func(fd uintptr) { _, refused = syscall.Write(int(fd), nil) })
	return err != nil || errors.Is(refused, syscall.EPIPE) || errors.Is(refused, syscall.ECONNRESET)
}
