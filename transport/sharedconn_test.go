package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/transport"
)

const (
	// smallReceiveBuffer is the smallest receive buffer of Linux, in bytes. With it a write waits on loopback as it does on
	// a link with a small window.
	smallReceiveBuffer = 2304
	smallSendBuffer    = 8192
	// waitingBody is more than the buffers of both sides hold, in bytes.
	waitingBody = 140 << 10
	// settleTime is how long a write takes to fill the buffers, or a packet to arrive.
	settleTime = 20 * time.Millisecond
)

// setSocketOption returns a control function that sets an option of a new socket.
func setSocketOption(level, option, value int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), level, option, value) })
		return errors.Join(err, failed)
	}
}

// smallWindowPair returns both ends of a connection whose buffers are small: this process's own, and the other side's.
func smallWindowPair(t *testing.T) (own net.Conn, other *net.TCPConn) {
	t.Helper()
	// The kernel doubles the size.
	config := net.ListenConfig{Control: setSocketOption(unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBuffer/2)}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{Control: setSocketOption(unix.SOL_SOCKET, unix.SO_SNDBUF, smallSendBuffer)}
	own, err = transport.Dial(context.Background(), dialer, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = own.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	_ = own.SetDeadline(time.Now().Add(2 * time.Second))
	return own, accepted.(*net.TCPConn)
}

// writeConcurrently writes a body that does not fit into the buffers, and returns the channel of the write's error.
func writeConcurrently(c net.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, waitingBody))
		done <- err
	}()
	time.Sleep(settleTime)
	return done
}

// Guards against a reset that a waiting write gets reported, so that the reader takes the connection for ended.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for _, afterPart := range []bool{false, true} {
		for range 20 {
			own, other := smallWindowPair(t)
			writeConcurrently(own)
			if afterPart {
				_, _ = io.WriteString(other, "part")
				time.Sleep(settleTime / 4)
			}
			_ = other.SetLinger(0)
			_ = other.Close()
			if got, err := io.ReadAll(own); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("read %q, %v; want a reset", got, err)
			}
			if _, err := own.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the next read returns %v, want the reset again", err)
			}
		}
	}
}

// Guards against a reset that was read once and then looks like an end to a parser that reads on.
func TestResetIsReadAgain(t *testing.T) {
	own, other := smallWindowPair(t)
	_ = other.SetLinger(0)
	_ = other.Close()
	for range 3 {
		if _, err := own.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("%v, want a reset", err)
		}
	}
}

// Guards against a complete response that is taken for broken because its sender reads nothing more.
func TestEndDuringWriteIsAnEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(other *net.TCPConn)
	}{
		{"half-closed", func(*net.TCPConn) {}},
		{"half-closed, then reset", func(other *net.TCPConn) {
			time.Sleep(settleTime / 4)
			_ = other.SetLinger(0)
			_ = other.Close()
			time.Sleep(settleTime / 4)
		}},
		{"half-closed, then closed with unread bytes", func(other *net.TCPConn) { _ = other.Close() }},
	} {
		for range 10 {
			own, other := smallWindowPair(t)
			done := writeConcurrently(own)
			_, _ = io.WriteString(other, "whole")
			_ = other.CloseWrite()
			c.after(other)
			begun := time.Now()
			if got, err := io.ReadAll(own); err != nil || string(got) != "whole" {
				t.Fatalf("%s: read %q, %v; want the whole response", c.name, got, err)
			}
			if took := time.Since(begun); took > time.Second {
				t.Fatalf("%s: read after %v", c.name, took)
			}
			if err := <-done; err == nil {
				t.Fatalf("%s: the write has ended without an error", c.name)
			}
		}
	}
}

// Guards against a timeout of the connection that the waiting write gets reported, which the reader takes for an end.
func TestTimeoutDuringWriteIsNoEnd(t *testing.T) {
	own, _ := smallWindowPair(t)
	raw, err := own.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const userTimeoutMS = 100
	if err := setSocketOption(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)("", "", raw); err != nil {
		t.Fatal(err)
	}
	done := writeConcurrently(own)
	if _, err := io.ReadAll(own); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("%v, want the connection's timeout", err)
	}
	t.Log("the write returned", <-done)
}

// Guards against an end that a deadline of this process's own write makes look broken.
func TestOwnWriteDeadlineLeavesTheEnd(t *testing.T) {
	own, other := smallWindowPair(t)
	_ = own.SetWriteDeadline(time.Now().Add(settleTime))
	if err := <-writeConcurrently(own); err == nil {
		t.Fatal("the write ended before its deadline")
	}
	_, _ = io.WriteString(other, "whole")
	_ = other.CloseWrite()
	if got, err := io.ReadAll(own); err != nil || string(got) != "whole" {
		t.Errorf("read %q, %v; want the whole response", got, err)
	}
}
