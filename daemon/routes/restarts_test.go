package routes

import (
	"bytes"
	"context"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// TestPeersThatStartAgainAreLogged guards against a daemon that ends by itself, so that its responses end without a
// line, and of which nobody else says anything.
func TestPeersThatStartAgainAreLogged(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		var out bytes.Buffer
		m := newMetrics()
		l := newLog(&out, "info", "d", m)
		c := newTestControl(l, nil)
		c.heartbeats.send = func(membership.Address, []byte) {}
		now := time.Unix(1_000_000, 0)
		receive := func(incarnation membership.Incarnation, heartbeats uint64, leaving bool) {
			sender := membership.Member{Address: "10.0.0.2:1", Domain: "z2", Incarnation: incarnation, Heartbeats: heartbeats, Leaving: leaving}
			c.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: sender}, now)
			now = now.Add(heartbeatInterval)
		}
		receive(10, 1, false)
		receive(10, 2, leaving)
		receive(17, 1, false)
		receive(17, 2, false)
		found := 0
		for _, line := range linesOf(t, l, &out) {
			if line["former_life"] == nil {
				continue
			}
			found++
			if line["peer"] != "10.0.0.2:1" || line["domain"] != "z2" || line["life"] != 17.0 || line["former_life"] != 10.0 || line["silent_ms"] != 200.0 {
				t.Errorf("got %v", line)
			}
		}
		want := 1
		if leaving {
			want = 0
		}
		if found != want || m.PeersRestarted.Count() != int64(want) {
			t.Errorf("leaving %v: %d lines and %d counted, want %d", leaving, found, m.PeersRestarted.Count(), want)
		}
	}
}
