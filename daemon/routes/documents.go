// This file keeps when the daemon's documents were last confirmed (lease.go) and when they last changed, for the request path
// and the line of a request that resumes a stream.

package routes

import (
	"context"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// documentTimes is when the documents were last confirmed and changed. The control loop writes it, and any goroutine may
// read it.
type documentTimes struct {
	confirmedAt, changedAt atomic.Pointer[time.Time]
	// readAt is when they were last confirmed by a read of the store, the own one or one that a peer told of.
	readAt atomic.Pointer[time.Time]
}

// confirm records that the documents are known to have been complete at a time.
func (d *documentTimes) confirm(at time.Time) { d.confirmedAt.Store(&at) }

// confirmRead records what confirmations that go back to a read of the store say.
func (d *documentTimes) confirmRead(c *membership.Confirmations, now time.Time) {
	age, ok := c.StoreAge(now)
	if at := now.Add(-age); ok && at.After(timeOf(d.readAt.Load())) {
		d.readAt.Store(&at)
	}
}

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

// awaitRead waits after a pause of the process until the documents have been read (coordination/outdated.go), at most for
// [coordination.AfterPause]. It may be called by any goroutine.
func (c *control) awaitRead(ctx context.Context) {
	awaitWhile(ctx, coordination.AfterPause, func() bool {
		times := coordination.DocumentTimes{
			Ticked: timeOf(c.tickedAt.Load()), Resumed: timeOf(c.resumedAt.Load()), Read: timeOf(c.documents.readAt.Load()),
		}
		return times.AwaitsRead(clock.Now())
	})
}

// timeOf returns a time, or the zero time for nil.
func timeOf(at *time.Time) time.Time {
	if at == nil {
		return time.Time{}
	}
	return *at
}
