package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/internal/endless"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport"
)

// TestDaemonsMessagesWithoutEndAreGivenUp guards against a peer or a platform that fills the memory of a daemon.
func TestDaemonsMessagesWithoutEndAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
	m := NewMetrics()
	t.Cleanup(m.Close)
	meter := &Meter{Sent: m.ControlSent, Read: m.ControlRead}
	peers := NewPeers(nil, meter, transport.NewRecorder("d", nil), m, nil)
	exchange := func(address string) error {
		_, err := peers.Exchange(context.Background(), address, fleet.Gossip{})
		return err
	}
	read := func(address string) error {
		_, err := NewPlatform("http://"+address, meter, m).Reader(protocol.PathConfig).Read(context.Background())
		return err
	}
	for _, c := range []struct {
		name, begin, piece string
		call               func(address string) error
		most               int64
	}{
		{"exchange, header of 1 MB that ends", head + "Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 0\r\n\r\n", "x", exchange, maxHeaderBytes},
		{"exchange, body", head + "\r\n", "x", exchange, maxExchangeBytes},
		{"exchange, error", "HTTP/1.1 500 X\r\n\r\n", "x", exchange, maxExchangeBytes},
		{"document, header of 1 MB that ends", head + "Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 2\r\n\r\n{}", "x", read, maxHeaderBytes},
		{"document, body", head + "\r\n", "x", read, protocol.MaxDocumentBytes},
	} {
		s := endless.Start(t, c.begin, c.piece)
		if err, n := c.call(s.Address), s.Sent(); err == nil || n > c.most+endless.SocketBytes {
			t.Errorf("%s: %v after %d bytes, want an error after some %d", c.name, err, n, c.most)
		}
	}
}

// TestPeersRequestsAreBounded guards against a peer whose request fills the memory.
func TestPeersRequestsAreBounded(t *testing.T) {
	server := httptest.NewServer((&PeerServer{}).Handler())
	defer server.Close()
	read := 0
	body := readerFunc(func(p []byte) (int, error) {
		if read += len(p); read > 4*maxRunBytes {
			return 0, io.EOF
		}
		return len(p), nil
	})
	resp, err := http.Post(server.URL+"/twirp/hingewinch.peer.Peer/Exchange", "application/protobuf", body)
	if err == nil {
		_ = resp.Body.Close()
	}
	if read > 2*maxRunBytes {
		t.Errorf("%d bytes of a request were read, want some %d", read, maxRunBytes)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
