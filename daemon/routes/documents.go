// This file keeps when the daemon's documents were last confirmed (lease.go) and when they last changed, for the request path
// and the line of a request that resumes a stream.

package routes

import (
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// documentTimes is when the documents were last confirmed and changed. The control loop writes it, and any goroutine may
// read it.
type documentTimes struct{ confirmedAt, readAt, changedAt atomic.Pointer[time.Time] }

// confirm records that the documents are known to have been complete at a time.
func (d *documentTimes) confirm(at time.Time) { d.confirmedAt.Store(&at) }

// read records that a read of the store has shown the documents to be complete at a time.
func (d *documentTimes) read(at time.Time) { d.readAt.Store(&at) }

// change records that documents changed.
func (d *documentTimes) change(at time.Time) { d.changedAt.Store(&at) }

// ages returns how long ago the documents were last known to be complete, and how long ago they changed.
func (d *documentTimes) ages(now time.Time) relay.DocumentAges {
	return relay.DocumentAges{
		Confirmed: ageOf(d.confirmedAt.Load(), now), Read: ageOf(d.readAt.Load(), now), Changed: ageOf(d.changedAt.Load(), now),
	}
}

func ageOf(at *time.Time, now time.Time) time.Duration {
	if at == nil {
		return relay.UnknownAge
	}
	return max(0, now.Sub(*at))
}

// DocumentAges implements [relay.Origins].
func (o streamOrigins) DocumentAges() relay.DocumentAges {
	return o.control.documents.ages(clock.Now())
}
