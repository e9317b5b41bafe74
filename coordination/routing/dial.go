// This file decides how long a connection to a replica may take to come up.
//
// Inputs: how long connections took lately. The rule: their mean and four times
// their deviation, as TCP chooses its own time-outs, between dialLeast and dialMost.
// A lost first packet is sent again after a second only, so that a longer wait gains
// nothing, and a request that waits for a replica behind a cut misses its target.

package routing

import (
	"sync"
	"time"
)

const (
	// dialLeast leaves room for a replica or a VM that is slow for a moment.
	dialLeast = 100 * time.Millisecond
	// dialMost holds before the first connection, too. As the only time-out it
	// would cost a request 400 ms for each replica behind a cut.
	dialMost = 400 * time.Millisecond
	// dialMeanShare and dialDeviationShare are the parts of the newest sample, and
	// dialDeviations the multiple of the deviation: the figures of RFC 6298.
	dialMeanShare      = 1.0 / 8
	dialDeviationShare = 1.0 / 4
	dialDeviations     = 4
)

// DialTimes estimates how long connections take to come up. It is safe for use by many
// goroutines; its zero value has no samples.
type DialTimes struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

// Observe takes in how long a connection took that came up.
func (d *DialTimes) Observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += time.Duration(dialDeviationShare * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(dialMeanShare * float64(took-d.mean))
}

// Timeout returns how long the next connection may take.
func (d *DialTimes) Timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		return dialMost
	}
	return min(max(d.mean+dialDeviations*d.deviation, dialLeast), dialMost)
}
