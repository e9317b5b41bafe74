package routes

import (
	"context"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/internal/endless"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// TestPeersResponsesWithoutEndAreGivenUp guards against a peer whose documents fill the memory of the daemon that asked.
func TestPeersResponsesWithoutEndAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	p, err := openPeers("127.0.0.1:0", newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.socket.Close() })
	for _, c := range []struct {
		name, begin, piece string
		most               int64
	}{
		{"header line", head + "Long: ", "x", maxPeerHeaderBytes},
		{"header of 1 MB that ends", head + "Long: " + strings.Repeat("x", 1<<20) + "\r\nContent-Length: 4\r\n\r\nabcd", "x", maxPeerHeaderBytes},
		{"body", head + "\r\n", "x", gossip.MaxDocumentsBytes},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", 3 * gossip.MaxDocumentsBytes},
		{"declared body", head + "Content-Length: 9000000000\r\n\r\n", "x", 0},
	} {
		s := endless.Start(t, c.begin, c.piece)
		_, err := p.fetch(context.Background(), membership.Address(s.Address), documentsRequest{})
		if n := s.Sent(); err == nil || n > c.most+endless.SocketBytes {
			t.Errorf("%s: %v after %d bytes, want an error after some %d", c.name, err, n, c.most)
		}
		if c.most == maxPeerHeaderBytes && err != nil && !strings.Contains(err.Error(), "header") {
			t.Errorf("%s: %v, want an error about the header", c.name, err)
		}
	}
}
