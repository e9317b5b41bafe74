package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

func TestDialTimeout(t *testing.T) {
	for _, c := range []struct {
		name        string
		took        []time.Duration // repeated 50 times
		least, most time.Duration
	}{
		{"no samples", nil, 400 * time.Millisecond, 400 * time.Millisecond},
		{"fast links", []time.Duration{time.Millisecond, 4 * time.Millisecond}, 100 * time.Millisecond, 100 * time.Millisecond},
		{"a slow VM", []time.Duration{20 * time.Millisecond, 120 * time.Millisecond}, 150 * time.Millisecond, 400 * time.Millisecond},
		{"very slow", []time.Duration{time.Second}, 400 * time.Millisecond, 400 * time.Millisecond},
	} {
		var d routing.DialTimes
		for range 50 {
			for _, took := range c.took {
				d.Observe(took)
			}
		}
		if got := d.Timeout(); got < c.least || got > c.most {
			t.Errorf("%s: timeout %s, want %s to %s", c.name, got, c.least, c.most)
		}
	}
}
