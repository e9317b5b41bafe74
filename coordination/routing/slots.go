// This file numbers the parts of which a sliding window is counted.

package routing

import "time"

// slotClock numbers the parts of a window from the first time that it is asked for. It goes by the
// difference of two times, which is that of the steady clock: the time of day may jump, and a
// window that goes by it would forget what was spent.
type slotClock struct{ begun time.Time }

// slot returns the number of the part in which a time is.
func (c *slotClock) slot(now time.Time, length time.Duration) int64 {
	if c.begun.IsZero() {
		c.begun = now
	}
	return int64(now.Sub(c.begun) / length)
}
