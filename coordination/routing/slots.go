// Slot numbers of sliding windows.

package routing

import "time"

// slotClock numbers the slots of a window, starting at the first time that it is asked for. It
// uses differences of times, which are computed from the monotonic clock: the wall clock may
// jump, and a window based on it would lose what was counted as spent.
type slotClock struct{ begun time.Time }

// slot returns the number of the slot that contains a time.
func (c *slotClock) slot(now time.Time, length time.Duration) int64 {
	if c.begun.IsZero() {
		c.begun = now
	}
	return int64(now.Sub(c.begun) / length)
}
