// This file defines the hybrid logical clock that stamps events, so that a
// merged time line never shows an effect before its cause although the VMs'
// clocks differ (Kulkarni et al., "Logical Physical Clocks", 2014).

package coordination

import (
	"fmt"
	"time"
)

// Stamp is a point in hybrid logical time.
type Stamp struct {
	Wall    int64 // nanoseconds of Unix time
	Counter uint32
}

// MaxStampLead is how far ahead of the own clock a received stamp may be. A
// stamp beyond it is cut, so that one VM with a wrong clock can't drag the
// whole fleet's time line into the future.
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

// String formats the stamp as UTC time, with the counter behind it.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", time.Unix(0, s.Wall).UTC().Format("15:04:05.000000"), s.Counter)
}

// HybridClock issues stamps. It must be guarded by its owner.
type HybridClock struct{ last Stamp }

// Next returns the stamp of a local event at the wall time now.
func (c *HybridClock) Next(now time.Time) Stamp {
	wall := now.UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Counter++
	}
	return c.last
}

// Observe takes in the stamp of a message that was received at the wall time
// now. Stamps issued afterwards are later than it.
func (c *HybridClock) Observe(now time.Time, received Stamp) {
	limit := now.Add(MaxStampLead).UnixNano()
	if received.Wall > limit {
		received = Stamp{Wall: limit}
	}
	if received.Compare(c.last) > 0 {
		c.last = received
	}
}
