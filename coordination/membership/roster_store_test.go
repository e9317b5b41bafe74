package membership

import (
	"testing"
	"time"
)

// TestHasStoreReader checks whether a daemon knows of a live daemon that can read the store.
func TestHasStoreReader(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name             string
		unreachable      bool   // this daemon can't read the store
		peersUnreachable []bool // likewise for each peer
		later            time.Duration
		want             bool
	}{
		{"alone", false, nil, 0, true},
		{"alone, without the store", true, nil, 0, false},
		{"a peer reads it", true, []bool{true, false}, 0, true},
		{"no peer reads it", true, []bool{true, true}, 0, false},
		{"the peer that read it is silent", true, []bool{false}, time.Minute, false},
	} {
		r := NewRoster(Member{Address: "10.0.0.1:1", Domain: "z"}, nil)
		r.SetStoreUnreachable(c.unreachable)
		for i, unreachable := range c.peersUnreachable {
			peer := Member{Address: Address("10.0.0." + string(rune('2'+i)) + ":1"), Domain: "z", Incarnation: 1, Heartbeats: 1, StoreUnreachable: unreachable}
			r.Observe([]Member{peer}, now)
		}
		if got := r.HasStoreReader(now.Add(c.later)); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
