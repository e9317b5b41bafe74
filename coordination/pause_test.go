package coordination

import (
	"testing"
	"time"
)

// TestPausableTimeout guards against operations that count as failed because the process was paused, and against
// a timeout that never comes.
func TestPausableTimeout(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		late []time.Duration // how late the timer fires, in turn
		want []time.Duration
	}{
		{"no pause", []time.Duration{0, 0}, []time.Duration{PauseSlack, 0}},
		{"a busy machine", []time.Duration{3 * time.Millisecond, 4 * time.Millisecond}, []time.Duration{PauseSlack, 0}},
		{"a pause of 30 ms", []time.Duration{30 * time.Millisecond, 0}, []time.Duration{30 * time.Millisecond, 0}},
		{"a long pause", []time.Duration{time.Hour, 0}, []time.Duration{limit, 0}},
		{"pauses without end", []time.Duration{60 * time.Millisecond, 60 * time.Millisecond, 60 * time.Millisecond}, []time.Duration{60 * time.Millisecond, 40 * time.Millisecond, 0}},
		{"a pause after the timer", []time.Duration{0, time.Second, 0}, []time.Duration{PauseSlack, limit, 0}},
		{"a clock that goes back", []time.Duration{-time.Second, -time.Second}, []time.Duration{PauseSlack, 0}},
	} {
		timeout := NewPausableTimeout(limit)
		for i, late := range c.late {
			if got := timeout.Fired(late); got != c.want[i] {
				t.Errorf("%s: firing %d: %s, want %s", c.name, i, got, c.want[i])
			}
		}
	}
}
