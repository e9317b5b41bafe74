// Package endless simulates HTTP servers that send without end, for tests of what reads their responses.
//
// # Usage
//
//	s := endless.Start(t, "HTTP/1.1 200 OK\r\nLong: ", "x")
//	... send a request to s.Address ...
//	if n := s.Sent(); n > limit+endless.SocketBytes { ... }
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	// SocketBytes is how much the operating system may hold between server and client, in bytes.
	SocketBytes = 16 << 20
	// maxBytes is how much a server sends in all, in bytes, so that a failing test ends.
	maxBytes   = 160 << 20
	pieceBytes = 64 << 10
)

// Server is a server whose responses have no end.
type Server struct {
	Address string
	sent    atomic.Int64
}

// Sent returns the number of bytes that were sent, over all connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Start starts a server that responds with a text and then with a piece again and again.
func Start(t testing.TB, begin, piece string) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	text := strings.Repeat(piece, pieceBytes/len(piece))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, begin, text)
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn, begin, text string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, begin)
	for err == nil && s.Sent() < maxBytes {
		var n int
		n, err = io.WriteString(c, text)
		s.sent.Add(int64(n))
	}
}
