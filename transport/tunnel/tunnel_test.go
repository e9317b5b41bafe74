package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/tunnel"
)

const waitTime = 2 * time.Second

var replicaID = routing.Incarnation{ID: "i-1", StartTime: 1700}

// pair is a connection through a peer: its end at the daemon and its end at the replica.
type pair struct {
	daemon  net.Conn
	reader  *transport.ResponseReader
	replica *net.TCPConn
	server  *tunnel.Server
	peer    string // address
	broken  chan routing.Incarnation
}

// newPair opens a connection through a peer.
func newPair(t *testing.T) *pair {
	t.Helper()
	return newPairWith(t, net.ListenConfig{}, net.Dialer{})
}

// newPairWith is newPair with the configuration of the replica's listener and of the peer's dialer.
func newPairWith(t *testing.T, config net.ListenConfig, dialer net.Dialer) *pair {
	t.Helper()
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &pair{}
	p.server = &tunnel.Server{Open: func(_ context.Context, id routing.Incarnation) (net.Conn, error) {
		if id != replicaID {
			return nil, &tunnel.Refused{Reason: tunnel.ReasonUnknownReplica}
		}
		return dialer.Dial("tcp4", listener.Addr().String())
	}}
	p.broken = make(chan routing.Incarnation, 1)
	p.server.Broken = func(id routing.Incarnation) { p.broken <- id }
	p.peer = startPeer(t, p.server)
	p.daemon, p.reader, err = tunnel.Dial(context.Background(), &net.Dialer{}, p.peer, replicaID)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.daemon.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p.replica = accepted.(*net.TCPConn)
	t.Cleanup(func() { _ = p.replica.Close() })
	for _, c := range []net.Conn{p.daemon, p.replica} {
		_ = c.SetDeadline(time.Now().Add(waitTime))
	}
	return p
}

// startPeer serves a handler at tunnel.Path and returns the address.
func startPeer(t testing.TB, h http.Handler) string {
	mux := http.NewServeMux()
	mux.Handle("GET "+tunnel.Path, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestEachPieceIsPassedOnAtOnce guards against a stream that is held back until a buffer is full.
func TestEachPieceIsPassedOnAtOnce(t *testing.T) {
	p := newPair(t)
	buf := make([]byte, 64)
	for _, piece := range []string{"GET / HTTP/1.1\r\n", "\r\n", "x"} {
		_, _ = io.WriteString(p.daemon, piece)
		if n, err := p.replica.Read(buf); err != nil || string(buf[:n]) != piece {
			t.Fatalf("replica read %q, %v; want %q", buf[:n], err, piece)
		}
		_, _ = io.WriteString(p.replica, "event: "+piece)
		if n, err := p.reader.Read(buf); err != nil || string(buf[:n]) != "event: "+piece {
			t.Fatalf("daemon read %q, %v; want the event %q", buf[:n], err, piece)
		}
	}
}

// TestLargeBodiesPassWhole guards against bytes that are lost or out of order.
func TestLargeBodiesPassWhole(t *testing.T) {
	p := newPair(t)
	body := strings.Repeat("0123456789abcdef", 1<<16)
	go func() {
		_, _ = io.WriteString(p.daemon, body)
		_, _ = io.WriteString(p.daemon, "!")
	}()
	got, err := bufio.NewReader(p.replica).ReadString('!')
	if err != nil || got != body+"!" {
		t.Errorf("replica read %d bytes, %v; want %d", len(got), err, len(body)+1)
	}
}

// TestClosingStopsTheReplica guards against a replica that goes on working for a caller that left.
func TestClosingStopsTheReplica(t *testing.T) {
	p := newPair(t)
	_ = p.daemon.Close()
	if _, err := p.replica.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the replica's connection is still open: %v", err)
	}
	awaitClosed(t, p.server)
}

// TestResetIsPassedOn guards against a response without a length that looks complete although the
// replica reset the connection.
func TestResetIsPassedOn(t *testing.T) {
	p := newPair(t)
	_, _ = io.WriteString(p.replica, "half")
	if _, err := io.ReadFull(p.reader, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	_ = p.replica.SetLinger(0)
	_ = p.replica.Close()
	if _, err := p.reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("daemon reads %v, want a reset", err)
	}
	awaitClosed(t, p.server)
}

// TestConnectionThatNeverWorkedIsReported guards against a peer that goes on opening connections which its
// own links accept and then reset.
func TestConnectionThatNeverWorkedIsReported(t *testing.T) {
	p := newPair(t)
	_ = p.replica.SetLinger(0)
	_ = p.replica.Close()
	select {
	case id := <-p.broken:
		if id != replicaID {
			t.Errorf("%v is reported, want %v", id, replicaID)
		}
	case <-time.After(waitTime):
		t.Error("the broken connection is not reported")
	}
	p = newPair(t)
	_ = p.daemon.Close()
	awaitClosed(t, p.server)
	if len(p.broken) > 0 {
		t.Error("a connection that the daemon closed is reported as broken")
	}
}

// TestEndIsPassedOn checks the regular end of a response without a length.
func TestEndIsPassedOn(t *testing.T) {
	p := newPair(t)
	_, _ = io.WriteString(p.replica, "whole")
	_ = p.replica.Close()
	if got, err := io.ReadAll(p.reader); err != nil || string(got) != "whole" {
		t.Errorf("daemon read %q, %v", got, err)
	}
	awaitClosed(t, p.server)
}

// awaitClosed waits until a server carries nothing any more.
func awaitClosed(t *testing.T, s *tunnel.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTime)
	defer cancel()
	if s.Close(ctx); s.Len() > 0 {
		t.Errorf("%d connections are open", s.Len())
	}
}

// TestRefusalsSayWhom checks which refusals say something about the replica, and that a replica which
// refuses the peer looks like one that refuses this daemon.
func TestRefusalsSayWhom(t *testing.T) {
	for _, c := range []struct {
		name         string
		open         error
		aboutReplica bool
		refused      bool
	}{
		{"the replica refused", &tunnel.Refused{Reason: tunnel.ReasonReplicaRefused}, true, true},
		{"the replica is silent", &tunnel.Refused{Reason: tunnel.ReasonReplicaUnreachable}, true, false},
		{"the peer has lost its links too", &tunnel.Refused{Reason: tunnel.ReasonNoLink}, false, false},
		{"the peer does not know the replica", &tunnel.Refused{Reason: tunnel.ReasonUnknownReplica}, false, false},
	} {
		peer := startPeer(t, &tunnel.Server{Open: func(context.Context, routing.Incarnation) (net.Conn, error) { return nil, c.open }})
		_, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, peer, replicaID)
		var refused *tunnel.Refused
		if !errors.As(err, &refused) {
			t.Fatalf("%s: %v is no refusal", c.name, err)
		}
		if refused.AboutReplica() != c.aboutReplica || errors.Is(err, syscall.ECONNREFUSED) != c.refused {
			t.Errorf("%s: %v, about the replica %t", c.name, err, refused.AboutReplica())
		}
	}
}

// TestPeerOfTheLastBuildIsTold checks that a peer which knows no connections for others is told from
// one that refuses.
func TestPeerOfTheLastBuildIsTold(t *testing.T) {
	s := httptest.NewServer(http.NewServeMux())
	defer s.Close()
	_, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, strings.TrimPrefix(s.URL, "http://"), replicaID)
	if !errors.Is(err, tunnel.ErrUnsupported) {
		t.Errorf("%v, want ErrUnsupported", err)
	}
}

// TestSilentPeerIsGivenUp guards against a request that waits for a peer that is frozen.
func TestSilentPeerIsGivenUp(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	begun := time.Now()
	if _, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, silent.Addr().String(), replicaID); err == nil {
		t.Error("a silent peer opened a connection")
	}
	if took := time.Since(begun); took > waitTime {
		t.Errorf("given up after %v", took)
	}
}

// TestPeerThatStopsRefuses checks that a peer takes no new connections while it shuts down.
func TestPeerThatStopsRefuses(t *testing.T) {
	p := newPair(t)
	p.server.Stop()
	_, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, p.peer, replicaID)
	var refused *tunnel.Refused
	if !errors.As(err, &refused) || refused.Reason != tunnel.ReasonStopping {
		t.Errorf("%v, want a refusal because it stops", err)
	}
	if p.server.Len() != 1 {
		t.Errorf("%d connections are open, want the one from before", p.server.Len())
	}
}
