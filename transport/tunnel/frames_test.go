package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/tunnel"
)

const accepted = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: hingewinch-connection\r\nHingewinch-Framing: 1\r\n\r\n"

// withoutFraming removes the header by which a daemon asks for frames, as if its build or the peer's did not know it.
func withoutFraming(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("Hingewinch-Framing")
		h.ServeHTTP(w, r)
	})
}

// dialFramed returns a connection through a peer that sends the given bytes with its response, and the peer's end.
func dialFramed(t *testing.T, early string) (*tunnel.FramedConn, *transport.ResponseReader, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peers := make(chan *net.TCPConn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(peers)
			return
		}
		_, _ = transport.NewResponseReader(c, 4096).ReadSlice('\n') // a part of the request arrived
		_, _ = io.WriteString(c, accepted+early)
		peers <- c.(*net.TCPConn)
	}()
	conn, reader, err := tunnel.Dial(context.Background(), &net.Dialer{}, l.Addr().String(), replicaID)
	if err != nil {
		t.Fatal(err)
	}
	peer := <-peers
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTime))
	framed, ok := conn.(*tunnel.FramedConn)
	if !ok {
		t.Fatalf("%T is not framed", conn)
	}
	return framed, reader, peer
}

// TestEndOfFramedConnection guards against connections that look ended by the replica though the peer ended them, and against
// frames that are taken apart wrongly where reads split them.
func TestEndOfFramedConnection(t *testing.T) {
	const data, end = "\x00\x03abc\x00\x02de", "\x00\x00"
	for _, c := range []struct {
		name, early, sent string
		want              string
		err               error
	}{
		{"ended by the replica", "", data + end, "abcde", nil},
		{"ended by the replica at once", end, "", "", nil},
		{"all with the response", data + end, "", "abcde", nil},
		{"a part with the response", data[:4], data[4:] + end, "abcde", nil},
		{"cut off between frames", "", data, "abcde", tunnel.ErrCutOff},
		{"cut off inside a frame", "", data[:4], "ab", tunnel.ErrCutOff},
		{"cut off inside a length", "", data + end[:1], "abcde", tunnel.ErrCutOff},
		{"cut off before the first byte", "", "", "", tunnel.ErrCutOff},
	} {
		for _, size := range []int{1, 2, 3, 64} {
			conn, reader, peer := dialFramed(t, c.early)
			_, _ = io.WriteString(peer, c.sent)
			_ = peer.CloseWrite()
			var got []byte
			var err error
			for p := make([]byte, size); err == nil; {
				var n int
				n, err = conn.Read(p)
				got = append(got, p[:n]...)
			}
			if c.err == nil && err != io.EOF || c.err != nil && !errors.Is(err, c.err) || string(got) != c.want {
				t.Errorf("%s, reads of %d: %q, %v; want %q, %v", c.name, size, got, err, c.want, c.err)
			}
			if conn.EndConfirmed() != (c.err == nil) || reader.Buffered() > 0 {
				t.Errorf("%s, reads of %d: confirmed %t", c.name, size, conn.EndConfirmed())
			}
		}
	}
}

// TestBytesAfterTheEndFrameAreAnError guards against a response that is taken for whole although the peer sent more.
func TestBytesAfterTheEndFrameAreAnError(t *testing.T) {
	conn, _, peer := dialFramed(t, "")
	_, _ = io.WriteString(peer, "\x00\x01a\x00\x00\x00\x01b")
	got, err := io.ReadAll(conn)
	if string(got) != "a" || err == nil || conn.EndConfirmed() {
		t.Errorf("%q, %v, confirmed %t", got, err, conn.EndConfirmed())
	}
}

// TestExpiredDeadlineLosesNothing guards against a decoder that is out of step after a wait for bytes was interrupted
// inside a frame.
func TestExpiredDeadlineLosesNothing(t *testing.T) {
	conn, _, peer := dialFramed(t, "")
	p := make([]byte, 16)
	var got []byte
	for _, b := range []byte("\x00\x02ab\x00\x01c") {
		_, _ = peer.Write([]byte{b})
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		for {
			n, err := conn.Read(p)
			got = append(got, p[:n]...)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
	}
	if string(got) != "abc" || conn.IsInsideFrame() {
		t.Errorf("%q, inside a frame: %t", got, conn.IsInsideFrame())
	}
}

// TestIdleConnectionShowsItsEnd guards against the reuse of a connection whose end or whose stray bytes were read together with
// a response, so that the socket shows nothing of them.
func TestIdleConnectionShowsItsEnd(t *testing.T) {
	for _, c := range []struct {
		sent string
		want bool
	}{{"\x00\x02ab", false}, {"\x00\x02ab\x00\x00", true}, {"\x00\x03ab", true}, {"\x00\x02ab\x00", true}} {
		conn, _, peer := dialFramed(t, "")
		_, _ = io.WriteString(peer, c.sent)
		if n, err := conn.Read(make([]byte, 16)); err != nil || n != 2 {
			t.Fatalf("%d, %v", n, err)
		}
		if got := conn.IsInsideFrame(); got != c.want {
			t.Errorf("%q: %t, want %t", c.sent, got, c.want)
		}
	}
}

// TestResetOfFramedConnectionIsAReset guards against a reset that is taken for something else.
func TestResetOfFramedConnectionIsAReset(t *testing.T) {
	conn, _, peer := dialFramed(t, "")
	_ = peer.SetLinger(0)
	_ = peer.Close()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
}

// TestShutdownResetsOpenConnections guards against a peer that ends connections in an ordinary way at the end of its grace:
// to a daemon of the last build, responses look complete.
func TestShutdownResetsOpenConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := &tunnel.Server{Open: func(context.Context, routing.Incarnation) (net.Conn, error) {
		return net.Dial("tcp4", listener.Addr().String())
	}}
	conn, reader, err := tunnel.Dial(context.Background(), &net.Dialer{}, startPeer(t, withoutFraming(server)), replicaID)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, ok := conn.(*tunnel.FramedConn); ok {
		t.Fatal("framed, though the peer was not asked")
	}
	_ = conn.SetDeadline(time.Now().Add(waitTime))
	replica, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	_, _ = io.WriteString(replica, strings.Repeat("x", 4))
	if _, err := io.ReadFull(reader, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	server.Close(ctx)
	if _, err := reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%v, want a reset", err)
	}
	awaitClosed(t, server)
}
