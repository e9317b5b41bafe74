package membership_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

// TestFleetBound guards against daemons that have not heard of each other since they started, and each take the part of a
// limit that is due to all of them; and against a part that stays too small once the seeds are found.
func TestFleetBound(t *testing.T) {
	seed := func(n ...int) []membership.Address {
		var out []membership.Address
		for _, i := range n {
			out = append(out, member(i).Address)
		}
		return out
	}
	for _, c := range []struct {
		name     string
		seeds    []membership.Address
		heard    [][]int // one after the other
		reported int
		want     int // 0: not known
	}{
		{"no seeds", nil, nil, 0, 1},
		{"itself is the only seed", seed(0), nil, 0, 1},
		{"itself is a seed of three, alone", seed(0, 1, 2), nil, 0, 3},
		{"alone", seed(1, 2, 3), nil, 0, 0},
		{"a seed of three is heard", seed(1, 2, 3), [][]int{{1}}, 0, 6},
		{"a seed of three is heard, which reports 8", seed(1, 2, 3), [][]int{{1}}, 8, 24},
		{"all seeds are heard", seed(0, 1, 2), [][]int{{1}, {2, 3, 4}}, 8, 8},
		{"others are heard, and no seed", seed(1, 2, 3), [][]int{{7, 8}}, 0, 9},
		{"a seed is listed twice", seed(1, 1, 2), [][]int{{1, 2}}, 0, 3},
	} {
		r := membership.NewRoster(member(0), c.seeds)
		now := time.Unix(1000, 0)
		var b membership.FleetBound
		b.Update(r)
		for _, heard := range c.heard {
			for _, i := range heard {
				r.Observe([]membership.Member{member(i)}, now)
			}
			b.Update(r)
		}
		if c.reported > 0 {
			r.ObserveSize(c.reported)
		}
		for _, later := range []time.Duration{0, time.Hour} {
			r.Forget(now.Add(later))
			if n, known := b.Update(r); n != c.want || known != (c.want > 0) {
				t.Errorf("%s, %v later: %d daemons, known: %t; want %d", c.name, later, n, known, c.want)
			}
		}
	}
}
