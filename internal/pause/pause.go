// Package pause simulates a pause of the process, as of a VM that is suspended, for tests of deadlines that pass
// meanwhile. It needs Linux.
//
// # Usage
//
//	address := pause.Start(t, "HTTP/1.1 200 OK\r\n\r\n", time.Second)
//	... send a request to address ...
package pause

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// requestBytes is more than a request has.
const requestBytes = 4 << 10

// Start starts a server that, once it has received bytes, pauses the test's process for some time, of more than
// 200 ms. After that time of the pause the system sends reply: it holds back bytes of a corked connection for so long.
func Start(t testing.TB, reply string, length time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, requestBytes)); err != nil {
			return
		}
		if err := cork(c.(*net.TCPConn)); err != nil {
			t.Error(err)
			return
		}
		_, err = io.WriteString(c, reply)
		if err == nil {
			err = stop(length)
		}
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, c) // until the client closes the connection
	}()
	return l.Addr().String()
}

func cork(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
	if err != nil {
		return err
	}
	return failed
}

// stop stops the process. A timer of the system lets it go on after some time.
func stop(length time.Duration) error {
	event := struct { // struct sigevent
		value          uint64
		signal, notify int32
		_              [48]byte
	}{signal: int32(unix.SIGCONT)}
	var id int32
	if _, _, e := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_MONOTONIC, uintptr(unsafe.Pointer(&event)), uintptr(unsafe.Pointer(&id))); e != 0 {
		return e
	}
	after := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(length))}
	if _, _, e := unix.Syscall6(unix.SYS_TIMER_SETTIME, uintptr(id), 0, uintptr(unsafe.Pointer(&after)), 0, 0, 0); e != 0 {
		return e
	}
	return unix.Kill(os.Getpid(), unix.SIGSTOP)
}
