// This file holds reports that wait to be passed on to other daemons: of silent replicas, of
// crowded ones, and of requests that replicas ended under.

package routing

import (
	"slices"
	"time"
)

// pendingReport is a report that waits to be sent.
type pendingReport[R any] struct {
	report R
	at     time.Time // when it was found
}

// outbox holds the reports of one kind. Its owner guards it.
type outbox[R any] struct {
	// waiting has a value once reports wait.
	waiting chan struct{}
	most    int // reports that wait; more are dropped
	// perSecond bounds what is sent, saved up for a second at most; 0: no bound.
	perSecond float64
	// maxAge is the age from which a report is not sent any more; 0: none is too old.
	maxAge time.Duration
	// keeps says that what can't be sent now waits on.
	keeps bool
	// before orders reports: those that matter more go first.
	before func(a, b pendingReport[R]) int

	pending   []pendingReport[R]
	allowance float64 // how many may be sent, as of allowedAt
	allowedAt time.Time
}

// add has a report sent on. It is dropped if as many wait as may.
func (o *outbox[R]) add(r R, at time.Time) {
	if len(o.pending) >= o.most {
		return
	}
	o.pending = append(o.pending, pendingReport[R]{r, at})
	o.signal()
}

// signal fills waiting, unless it is full.
func (o *outbox[R]) signal() {
	select {
	case o.waiting <- struct{}{}:
	default:
	}
}

// take returns up to n reports to send, with their ages filled in.
func (o *outbox[R]) take(n int, now time.Time, withAge func(r R, age time.Duration) R) []R {
	pending := o.pending
	o.pending = nil
	slices.SortStableFunc(pending, o.before)
	n = min(n, o.allow(now))
	out := make([]R, 0, min(n, len(pending)))
	for _, p := range pending {
		age := max(0, now.Sub(p.at))
		switch {
		case o.maxAge > 0 && age >= o.maxAge:
		case len(out) < n:
			out = append(out, withAge(p.report, age))
		case o.keeps:
			o.pending = append(o.pending, p)
		}
	}
	o.allowance -= float64(len(out))
	return out
}

// allow returns how many reports may be sent.
func (o *outbox[R]) allow(now time.Time) int {
	if o.perSecond == 0 {
		return o.most
	}
	saved := o.allowance + o.perSecond*now.Sub(o.allowedAt).Seconds()
	o.allowance, o.allowedAt = min(o.perSecond, saved), now
	return int(o.allowance)
}
