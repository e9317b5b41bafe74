// This file defines a mean of durations that forgets.

package coordination

import (
	"math"
	"time"
)

// DecayingMean is a mean of durations in which the weight of a duration decays exponentially with
// its age. The zero value is empty. It is not safe for concurrent use.
type DecayingMean struct {
	mean   float64 // in nanoseconds
	weight float64 // in durations
	at     time.Time
}

// Add adds a duration. The weight of former ones has decayed to 1/e after span.
func (m *DecayingMean) Add(d, span time.Duration, now time.Time) {
	m.weight = m.WeightAt(span, now) + 1
	m.mean += (float64(d) - m.mean) / m.weight
	m.at = now
}

// WeightAt returns the weight of the mean at a time, in durations.
func (m *DecayingMean) WeightAt(span time.Duration, now time.Time) float64 {
	if m.weight == 0 || !now.After(m.at) {
		return m.weight
	}
	return m.weight * math.Exp(-float64(now.Sub(m.at))/float64(span))
}

// IsEmpty reports whether no duration was added.
func (m *DecayingMean) IsEmpty() bool { return m.weight == 0 }

// Mean returns the mean; 0 if it is empty.
func (m *DecayingMean) Mean() time.Duration { return time.Duration(m.mean) }
