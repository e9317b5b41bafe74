package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// TestRandomCarrierIsNearAndWell guards against connections through daemons that are shutting down, not
// heard or excluded, and through another failure domain while the own one has a daemon.
func TestRandomCarrierIsNearAndWell(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	r := membership.NewRoster(membership.Member{Address: "10.0.0.1:1", Domain: "a"}, nil)
	observe := func(a membership.Address, d string, age time.Duration, leaving bool) {
		m := membership.Member{Address: a, Incarnation: 1, Heartbeats: 1, Age: age, Leaving: leaving}
		m.Domain = "b"
		if d == "a" {
			m.Domain = "a"
		}
		r.Observe([]membership.Member{m}, now)
	}
	observe("10.0.0.2:1", "a", 0, false)
	observe("10.0.0.3:1", "a", 1500*time.Millisecond, false)
	observe("10.0.0.4:1", "a", 0, true)
	observe("10.0.0.5:1", "b", 0, false)
	pick := func(anyDomain bool, excluded ...membership.Address) map[membership.Address]bool {
		out := make(map[membership.Address]bool)
		for range 50 {
			m, ok := r.RandomCarrier(now, rng, func(a membership.Address) bool {
				for _, e := range excluded {
					if a == e {
						return true
					}
				}
				return false
			}, anyDomain)
			if ok {
				out[m.Address] = true
			}
		}
		return out
	}
	if got := pick(false); len(got) != 1 || !got["10.0.0.2:1"] {
		t.Errorf("%v, want the daemon of the own domain that is well", got)
	}
	if got := pick(true); len(got) != 2 || !got["10.0.0.5:1"] {
		t.Errorf("%v, want the well daemons of both domains", got)
	}
	if got := pick(false, "10.0.0.2:1"); len(got) != 1 || !got["10.0.0.5:1"] {
		t.Errorf("%v, want the one of the other domain", got)
	}
	if got := pick(true, "10.0.0.2:1", "10.0.0.5:1"); len(got) != 0 {
		t.Errorf("%v, want none", got)
	}
}
