package tunnel_test

import (
	"context"
	"net"
	"testing"
	"time"

	"hingewinch.org/hingewinch/internal/pause"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// TestOpenDuringPause guards against a peer that counts as gone after a pause of the process, although its response
// arrived in time.
func TestOpenDuringPause(t *testing.T) {
	for range 3 {
		address := pause.Start(t, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: hingewinch-connection\r\n\r\n", 800*time.Millisecond)
		c, _, err := tunnel.Dial(context.Background(), &net.Dialer{Timeout: 200 * time.Millisecond}, address, replicaID)
		if err != nil {
			t.Error(err)
			continue
		}
		_ = c.Close()
	}
}
