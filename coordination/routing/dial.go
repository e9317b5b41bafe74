// The connection timeout: how long a connection to a replica may take to be established.
//
// The input is how long recent connections took. The timeout is their mean plus four times their
// mean deviation, as for TCP's retransmission timeout, between minDialTimeout and maxDialTimeout.
// A lost SYN is retransmitted only after a second, so a timeout between maxDialTimeout and that
// gains nothing, and a request that waits for a replica behind a network partition misses its
// latency target.

package routing

import (
	"sync"
	"time"
)

const (
	// minDialTimeout allows for a replica or a VM that is slow for a moment.
	minDialTimeout = 100 * time.Millisecond
	// maxDialTimeout also applies before the first connection. If it were the only timeout, each
	// unreachable replica behind a network partition would cost a request 400 ms.
	maxDialTimeout = 400 * time.Millisecond
	// dialMeanGain and dialDeviationGain are the weights of the newest sample, and
	// dialDeviationFactor is the multiple of the deviation: the constants of RFC 6298.
	dialMeanGain        = 1.0 / 8
	dialDeviationGain   = 1.0 / 4
	dialDeviationFactor = 4
)

// DialTimes estimates how long connections take to be established. It is safe for concurrent use;
// its zero value has no samples.
type DialTimes struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

// Observe adds the duration of a connection attempt that succeeded.
func (d *DialTimes) Observe(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		d.mean, d.deviation = took, took/2
		return
	}
	d.deviation += time.Duration(dialDeviationGain * float64((took-d.mean).Abs()-d.deviation))
	d.mean += time.Duration(dialMeanGain * float64(took-d.mean))
}

// Timeout returns how long the next connection may take.
func (d *DialTimes) Timeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mean == 0 {
		return maxDialTimeout
	}
	return min(max(d.mean+dialDeviationFactor*d.deviation, minDialTimeout), maxDialTimeout)
}
