// This file queues reports to other daemons: of silent, overloaded, terminated, live and leaving
// replicas.

package routing

import (
	"slices"
	"time"
)

// pendingReport is a queued report.
type pendingReport[R any] struct {
	report R
	at     time.Time // when the reported event was seen
}

// outbox queues the reports of one kind. It is not safe for concurrent use.
type outbox[R any] struct {
	// notify receives a value when reports are queued.
	notify   chan struct{}
	capacity int // maximum number of queued reports; more are dropped
	// rate is the number of reports sent a second, with bursts of up to one second's worth; 0:
	// unlimited.
	rate float64
	// maxAge is the age from which a report is dropped instead of sent; 0: unlimited.
	maxAge time.Duration
	// keepUnsent keeps reports that can't be sent now in the queue.
	keepUnsent bool
	// compare orders reports by priority: those that sort first are sent first.
	compare func(a, b pendingReport[R]) int

	pending    []pendingReport[R]
	tokens     float64 // reports that may be sent, as of refilledAt
	refilledAt time.Time
}

// add queues a report. It is dropped if the queue is full.
func (o *outbox[R]) add(r R, at time.Time) {
	if len(o.pending) >= o.capacity {
		return
	}
	o.pending = append(o.pending, pendingReport[R]{r, at})
	o.signal()
}

// signal sends a value to notify, unless one is pending.
func (o *outbox[R]) signal() {
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// take removes up to n reports from the queue to be sent, and sets their ages with withAge.
func (o *outbox[R]) take(n int, now time.Time, withAge func(r R, age time.Duration) R) []R {
	pending := o.pending
	o.pending = nil
	slices.SortStableFunc(pending, o.compare)
	n = min(n, o.refill(now))
	out := make([]R, 0, min(n, len(pending)))
	for _, p := range pending {
		age := max(0, now.Sub(p.at))
		switch {
		case o.maxAge > 0 && age >= o.maxAge:
		case len(out) < n:
			out = append(out, withAge(p.report, age))
		case o.keepUnsent:
			o.pending = append(o.pending, p)
		}
	}
	o.tokens -= float64(len(out))
	return out
}

// refill returns how many reports may be sent now.
func (o *outbox[R]) refill(now time.Time) int {
	if o.rate == 0 {
		return o.capacity
	}
	saved := o.tokens + o.rate*now.Sub(o.refilledAt).Seconds()
	o.tokens, o.refilledAt = min(o.rate, saved), now
	return int(o.tokens)
}
