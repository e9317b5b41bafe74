package soak

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestLinkForwardsResetThatItsWriteTakes guards against a link that turns a replica's reset into an ordinary end because its
// own write of the request took the error: the soak would blame the daemon for it.
func TestLinkForwardsResetThatItsWriteTakes(t *testing.T) {
	const times = 40
	for range times {
		replica, err := listenTCP("127.0.0.1:0", true)
		if err != nil {
			t.Fatal(err)
		}
		link, err := openLinkWith("127.0.0.1:0", replica.Addr().String(), true)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp4", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		r, err := replica.Accept()
		if err != nil {
			t.Fatal(err)
		}
		writing := make(chan struct{})
		go func() {
			defer close(writing)
			_, _ = c.Write(bytes.Repeat([]byte("b"), 20_000)) // fits into the send buffer, and fills those of the link
		}()
		<-writing
		time.Sleep(10 * time.Millisecond)
		resetConn(r.(*net.TCPConn))
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %v after a reset of the replica, want %v", err, syscall.ECONNRESET)
		}
		_, _ = c.Close(), replica.Close()
		link.Close()
	}
}

// TestWriteWaitsForRoom guards against a soak whose links take a whole body at once, so that no write of a daemon waits when its
// connection is reset.
func TestWriteWaitsForRoom(t *testing.T) {
	replica, err := listenTCP("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	link, err := openLinkWith("127.0.0.1:0", replica.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	c, err := net.Dial("tcp4", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	n, err := c.Write(bytes.Repeat([]byte("b"), uploadBodies[1]))
	if err == nil {
		t.Errorf("a body of %d bytes was written without waiting", n)
	}
	t.Logf("%d bytes were written without waiting", n)
}

// TestLinkRecordsCloseThatItsWriteFinds guards against a link that never records that a daemon is gone, since the request that it
// copies waits for room at the replica: the soak would blame the request's daemon for a carrier that was killed.
func TestLinkRecordsCloseThatItsWriteFinds(t *testing.T) {
	replica, err := listenTCP("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	link, err := openLinkWith("127.0.0.1:0", replica.Addr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.deliveries = &deliveries{}
	c, err := net.Dial("tcp4", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	r, err := replica.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = c.Write(bytes.Repeat([]byte("b"), uploadBodies[1]))
	resetConn(c.(*net.TCPConn))
	name := connName(r.RemoteAddr().String(), r.LocalAddr().String())
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, _ = r.Write([]byte("event"))
		if record, ok := link.deliveries.connection(name, time.Now()); ok && !record.closed.IsZero() {
			return
		}
	}
	t.Error("the close of a daemon's side is not recorded")
}
