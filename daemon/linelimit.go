// This file limits how often lines of one kind are written, where many events can have the same cause.

package daemon

import (
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/transport/clock"
)

// lineInterval is how often a limited line is written. Metrics count what the others would say.
const lineInterval = time.Second

// LineLimit limits how often a line is written. It is safe for concurrent use; its zero value has written none.
type LineLimit struct{ writtenAt atomic.Int64 } // Unix nanoseconds

// Allow reports whether a line may be written now.
func (l *LineLimit) Allow() bool {
	now := clock.Now().UnixNano()
	last := l.writtenAt.Load()
	return now-last >= int64(lineInterval) && l.writtenAt.CompareAndSwap(last, now)
}
