package tunnel_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// smallReceiveBuffer is the smallest receive buffer of Linux, in bytes. With it a write waits on loopback as it does on
	// a link with a small window.
	smallReceiveBuffer = 2304
	smallSendBuffer    = 8192
	// settleTime is how long bytes take to arrive and to fill the buffers.
	settleTime = 20 * time.Millisecond
)

// newNarrowPair opens a connection through a peer whose link to the replica has a small window.
func newNarrowPair(t *testing.T) *pair {
	t.Helper()
	control := func(option, value int) func(network, address string, c syscall.RawConn) error {
		return func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, value) })
			return errors.Join(err, failed)
		}
	}
	return newPairWith(t, net.ListenConfig{Control: control(unix.SO_RCVBUF, smallReceiveBuffer/2)}, // the kernel doubles it
		net.Dialer{Control: control(unix.SO_SNDBUF, smallSendBuffer)})
}

// bodySizes are sizes in bytes around what the buffers between the peer and the replica hold, and the sizes that users have.
func bodySizes() []int {
	sizes := []int{24 << 10, 140 << 10}
	for size := 4 << 10; size <= 32<<10; size += 1 << 10 {
		sizes = append(sizes, size)
	}
	return sizes
}

// Guards against a response that looks complete because the write of the request took the replica's reset.
func TestResetDuringWriteIsPassedOn(t *testing.T) {
	for _, size := range bodySizes() {
		for range 4 {
			p := newNarrowPair(t)
			go func() { _, _ = p.daemon.Write(make([]byte, size)) }()
			_, _ = io.WriteString(p.replica, "half")
			time.Sleep(settleTime)
			_ = p.replica.SetLinger(0)
			_ = p.replica.Close()
			if got, err := io.ReadAll(p.reader); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("body of %d bytes: daemon reads %q, %v; want a reset", size, got, err)
				break
			}
			awaitClosed(t, p.server)
		}
	}
}

// Guards against a complete response that looks broken because the replica reads no more of the request.
func TestEndDuringWriteIsPassedOn(t *testing.T) {
	for _, size := range bodySizes() {
		p := newNarrowPair(t)
		go func() { _, _ = p.daemon.Write(make([]byte, size)) }()
		time.Sleep(settleTime)
		_, _ = io.WriteString(p.replica, "whole")
		_ = p.replica.CloseWrite()
		if got, err := io.ReadAll(p.reader); err != nil || string(got) != "whole" {
			t.Errorf("body of %d bytes: daemon read %q, %v; want the whole response", size, got, err)
		}
		_ = p.daemon.Close()
		awaitClosed(t, p.server)
	}
}
