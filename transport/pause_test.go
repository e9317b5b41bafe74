package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hingewinch.org/hingewinch/internal/pause"
	"hingewinch.org/hingewinch/transport"
)

// fullListener returns the address of a listener that lets connections hang: its queue is full.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = unix.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: at.(*unix.SockaddrInet4).Port}).String()
	for range 10 {
		c, err := net.DialTimeout("tcp4", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener's queue is not full after 10 connections")
	return ""
}

// TestDialWhoseTimeoutHasPassed guards against a connection that counts as failed though it is established, because
// the process was paused when its timeout passed. The timeout has passed here before the dial begins. A busy machine may
// take longer than the slack, so that one of several dials has to succeed.
func TestDialWhoseTimeoutHasPassed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range 20 {
		c, dialErr := transport.Dial(context.Background(), net.Dialer{Timeout: time.Nanosecond}, l.Addr().String())
		if dialErr == nil {
			_ = c.Close()
			return
		}
		err = dialErr
	}
	t.Errorf("no dial succeeded: %v", err)
}

// TestDialTimesOut guards against a dial without end, and against an error that does not say that it timed out.
func TestDialTimesOut(t *testing.T) {
	c, err := transport.Dial(context.Background(), net.Dialer{Timeout: 10 * time.Millisecond}, fullListener(t))
	var timeout net.Error
	if c != nil || !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("got %v, want a timeout", err)
	}
}

// TestDialEndsWithItsContext guards against a dial that outlives the request that it is for.
func TestDialEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := transport.Dial(ctx, net.Dialer{Timeout: time.Minute}, fullListener(t)); err == nil || ctx.Err() == nil {
		t.Errorf("got %v, want the end of the context", err)
	}
}

// TestFetchDuringPause guards against a store or peer that counts as unreachable after a pause of the process, although its
// response arrived in time.
func TestFetchDuringPause(t *testing.T) {
	timeouts := transport.Timeouts{FirstByte: 300 * time.Millisecond, Idle: 300 * time.Millisecond}
	for range 5 {
		address := pause.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 400*time.Millisecond)
		req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if err != nil {
			t.Fatal(err)
		}
		err = transport.Fetch(&http.Client{Transport: &http.Transport{}}, req, timeouts, func(resp *http.Response) error {
			_, err := io.ReadAll(resp.Body)
			return err
		})
		if err != nil {
			t.Error(err)
		}
	}
}
