package tunnel_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/internal/endless"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// TestPeerThatSendsWithoutEndIsGivenUp guards against a peer whose response is read until the memory is full, and
// against the end of a refusal being waited for.
func TestPeerThatSendsWithoutEndIsGivenUp(t *testing.T) {
	var refused *tunnel.Refused
	for _, c := range []struct {
		name, begin, piece string
		want               func(error) bool
	}{
		{"header line", "HTTP/1.1 101 Switching Protocols\r\nLong: ", "x", func(err error) bool { return errors.Is(err, transport.ErrHeaderTooLarge) }},
		{"header of 1 MB that ends", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: hingewinch-connection\r\nLong: " + strings.Repeat("x", 1<<20) + "\r\n\r\n", "x",
			func(err error) bool { return errors.Is(err, transport.ErrHeaderTooLarge) }},
		{"no header", "", "x", func(err error) bool { return errors.Is(err, transport.ErrHeaderTooLarge) }},
		{"refusal", "HTTP/1.1 503 X\r\nHingewinch-Reason: busy\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n",
			func(err error) bool { return errors.As(err, &refused) && refused.Reason == tunnel.ReasonBusy }},
	} {
		s := endless.Start(t, c.begin, c.piece)
		_, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, s.Address, replicaID)
		if !c.want(err) {
			t.Errorf("%s: %v", c.name, err)
		}
		if n := s.Sent(); n > endless.SocketBytes {
			t.Errorf("%s: %d bytes were sent", c.name, n)
		}
	}
}
