package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"

	"hingewinch.org/hingewinch/transport/tunnel"
)

// TestCutHeadOpensNoConnection guards against a peer that stops inside the head of its response: without the last line of the
// head, the connection would be taken for one without frames, whose end is the replica's.
func TestCutHeadOpensNoConnection(t *testing.T) {
	const head = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: hingewinch-connection\r\nHingewinch-Framing: 1\r\n\r\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	cuts := make(chan int, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, head[:<-cuts])
			_ = c.Close()
		}
	}()
	for at := range len(head) + 1 {
		cuts <- at
		c, _, err := tunnel.Dial(context.Background(), &net.Dialer{}, l.Addr().String(), replicaID)
		if isWhole := at == len(head); (err == nil) != isWhole {
			t.Errorf("cut at %d: %v", at, err)
		}
		if err == nil {
			_ = c.Close()
		}
	}
}
