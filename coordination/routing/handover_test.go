package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestStreamIsNotLeftForAnotherSilentReplica guards against streams that are broken off because a second replica, to which they
// were left, was silent too and then rejected them or never sent anything.
func TestStreamIsNotLeftForAnotherSilentReplica(t *testing.T) {
	sent := time.Unix(1000, 0)
	before, after := sent.Add(-50*time.Millisecond), sent.Add(50*time.Millisecond)
	for _, c := range []struct {
		name  string
		h     routing.Handover
		keeps bool
	}{
		{"sends events of other streams", routing.Handover{ResponseStarted: true, SecondHeardAt: after, FirstHeardAt: before}, true},
		{"sends events of other streams, as the first one does", routing.Handover{ResponseStarted: true, SecondHeardAt: after, FirstHeardAt: after}, false},
		{"sends nothing on other streams", routing.Handover{ResponseStarted: true, SecondHeardAt: before, FirstHeardAt: before}, false},
		{"has no other streams", routing.Handover{ResponseStarted: true, FirstHeardAt: before}, false},
		{"has no other streams, while the first one sends events of others", routing.Handover{ResponseStarted: true, FirstHeardAt: after}, false},
		{"has begun to respond", routing.Handover{ResponseStarted: true, SecondResponded: true, FirstHeardAt: before}, true},
		{"has begun to respond, while the first one sends events of others", routing.Handover{ResponseStarted: true, SecondResponded: true, FirstHeardAt: after}, true},
		{"sends nothing, and the caller has nothing", routing.Handover{SecondHeardAt: before, FirstHeardAt: before}, true},
	} {
		c.h.Sent = sent
		if got := c.h.SecondKeepsCall(); got != c.keeps {
			t.Errorf("second replica %s: keeps the call: %t, want %t", c.name, got, c.keeps)
		}
	}
}
