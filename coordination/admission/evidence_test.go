package admission

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestSlowResponses guards against saturation by responses that are within the target, or at routes
// that have none.
func TestSlowResponses(t *testing.T) {
	for _, c := range []struct {
		took, target time.Duration
		slow         bool
	}{
		{90 * time.Millisecond, 120 * time.Millisecond, false},
		{91 * time.Millisecond, 120 * time.Millisecond, true},
		{time.Hour, 0, false},
	} {
		if IsSlow(c.took, c.target) != c.slow {
			t.Errorf("%s of %s: slow is %t", c.took, c.target, !c.slow)
		}
	}
}

// TestFullReplicas guards against saturation while a replica has a free place or does not state its slots, and on a side
// of a fleet that is cut, against requests without permits until all places hold requests of that side alone.
func TestFullReplicas(t *testing.T) {
	for _, c := range []struct {
		name     string
		least    routing.Occupancy
		coverage float64
		full     bool
	}{
		{"a free place", routing.Occupancy{Load: 7, Slots: 6}, 1, false},
		{"no free place", routing.Occupancy{Load: 8, Slots: 6}, 1, true},
		{"unknown slots", routing.Occupancy{Load: 100}, 1, false},
		{"two of three daemons, a free place", routing.Occupancy{Load: 5, Slots: 6}, 2.0 / 3, false},
		{"two of three daemons", routing.Occupancy{Load: 6, Slots: 6}, 2.0 / 3, true},
		{"one of twelve daemons, a free place", routing.Occupancy{Load: 3, Slots: 6}, 1.0 / 12, false},
		{"one of twelve daemons", routing.Occupancy{Load: 4, Slots: 6}, 1.0 / 12, true},
	} {
		if IsFull(&routing.Target{Least: c.least, Coverage: c.coverage}) != c.full {
			t.Errorf("%s: full is %t", c.name, !c.full)
		}
	}
}
