package relay

import (
	"context"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/internal/endless"
)

// healthCodec is a codec of which only the health check is used.
type healthCodec struct{ Codec }

func (healthCodec) AppendHealthCheck(buf []byte, _ *routing.Replica, path string) []byte {
	return append(buf, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"...)
}

// TestProbesOfReplicasThatSendWithoutEnd guards against a health check whose response is read until the memory is full
// or the probe's time is over.
func TestProbesOfReplicasThatSendWithoutEnd(t *testing.T) {
	table, err := routing.NewTable(&routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, begin, piece string
		responds           bool
	}{
		{"header line", "HTTP/1.1 200 OK\r\nLong: ", "x", false},
		{"header of 1 MB that ends", "HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", "x", false},
		{"no header", "", "x", false},
		{"chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", true},
	} {
		s := endless.Start(t, c.begin, c.piece)
		r := New(Options{Pool: NewPool(nil), Codec: healthCodec{}})
		replica := routing.NewReplica(routing.Replica{ID: "r", Service: "s", Address: s.Address})
		if got := r.probe(context.Background(), &routing.View{Table: table}, &replica); got != c.responds {
			t.Errorf("%s: responds %t, want %t", c.name, got, c.responds)
		}
		if n := s.Sent(); n > endless.SocketBytes {
			t.Errorf("%s: %d bytes were sent", c.name, n)
		}
	}
}
