package membership

import (
	"testing"
	"time"
)

// TestStoreIsRead holds who reads the store as far as a daemon knows.
func TestStoreIsRead(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name    string
		self    bool // can't read it
		peers   []bool
		later   time.Duration
		someone bool
	}{
		{"alone", false, nil, 0, true},
		{"alone, without the store", true, nil, 0, false},
		{"a peer reads it", true, []bool{true, false}, 0, true},
		{"nobody does", true, []bool{true, true}, 0, false},
		{"the peer that did is silent", true, []bool{false}, time.Minute, false},
	} {
		r := NewRoster(Member{Address: "10.0.0.1:1", Domain: "z"}, nil)
		r.SetStoreUnreachable(c.self)
		for i, lost := range c.peers {
			peer := Member{Address: Address("10.0.0." + string(rune('2'+i)) + ":1"), Domain: "z", Incarnation: 1, Heartbeats: 1, StoreUnreachable: lost}
			r.Observe([]Member{peer}, now)
		}
		if got := r.StoreIsRead(now.Add(c.later)); got != c.someone {
			t.Errorf("%s: %t, want %t", c.name, got, c.someone)
		}
	}
}
