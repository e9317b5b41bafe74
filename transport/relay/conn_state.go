// This file reads the state of connections to replicas from the operating system.

package relay

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// connState is the state of a connection.
type connState int

const (
	connUnknown connState = iota // this daemon has closed it, or its end may be queued behind unread bytes
	connOpen
	connEnded // the other side has ended it
	connReset
)

// States of TCP connections in Linux, include/net/tcp_states.h.
const (
	tcpEstablished = 1
	tcpClose       = 7 // after a reset
	tcpCloseWait   = 8
)

// state returns the state of a connection. Unlike a read, even one that only peeks, this does not take the error of a
// reset from the call that waits for it, and does not wait for a read of another goroutine.
func (c *conn) state() connState {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connUnknown
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return connUnknown
	}
	state := connUnknown
	_ = raw.Control(func(fd uintptr) { // on failure, the connection is closed
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpEstablished:
			if unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err != nil || unread == 0 {
				state = connOpen
			}
		case tcpCloseWait:
			state = connEnded
		case tcpClose:
			state = connReset
		}
	})
	return state
}
