// This file defines the hybrid logical clock that timestamps events, so that a merged
// timeline never shows an effect before its cause although the clocks of the VMs
// differ (Kulkarni et al., "Logical Physical Clocks", 2014).

package coordination

import (
	"fmt"
	"time"
)

// Stamp is a hybrid logical timestamp.
type Stamp struct {
	Wall    int64 // nanoseconds of Unix time
	Counter uint32
}

// MaxStampLead is how far a received stamp may be ahead of the local clock. A later
// stamp is truncated to this limit, so that one VM with a wrong clock can't move the
// timeline of the whole fleet into the future.
const MaxStampLead = 10 * time.Minute

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	switch {
	case s.Wall < o.Wall:
		return -1
	case s.Wall > o.Wall:
		return 1
	case s.Counter < o.Counter:
		return -1
	case s.Counter > o.Counter:
		return 1
	}
	return 0
}

// String formats the stamp as UTC time, followed by the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, s.Wall).UTC().Format("15:04:05.000000"), s.Counter)
}

// HybridClock issues stamps. It is not safe for concurrent use.
type HybridClock struct{ last Stamp }

// Next returns the stamp of a local event at wall time now.
func (c *HybridClock) Next(now time.Time) Stamp {
	wall := now.UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Observe records the stamp of a message that was received at wall time now. Stamps
// issued afterwards are later than it.
func (c *HybridClock) Observe(now time.Time, received Stamp) {
	limit := now.Add(MaxStampLead).UnixNano()
	if received.Wall > limit {
		received = Stamp{Wall: limit}
	}
	if received.Compare(c.last) > 0 {
		c.last = received
	}
}
