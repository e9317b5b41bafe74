// This file simulates how a replica of a plain service with few slots handles requests, and how long
// they take. It has no clock and no goroutines, so that tests run it in virtual time.
//
// The inputs are the arrivals, ends and disconnects of requests. The rule:
//
//  1. A request that arrives while a slot is free runs at once.
//  2. Otherwise it waits in the replica's own queue, first come, first served.
//  3. If the queue is full, the request is rejected. It has not run.
//  4. A request that ends, or whose daemon disconnects, leaves its slot to the first one in the queue;
//     one that is still queued leaves the queue.
//
// The time of a request is the usual time, varied evenly by half of it, and longer by a factor while
// the replica is slow.

package soak

import (
	"slices"
	"time"
)

const (
	// maxQueued is how many requests a replica of a crowded service queues beyond its slots.
	maxQueued = 24
	// slowFactor and slowPeriod are by how much a replica of a crowded service becomes slower, and for
	// how long.
	slowFactor = 2.5
	slowPeriod = 600 * time.Millisecond
)

// slotQueue holds the requests at a replica. It is not safe for concurrent use.
type slotQueue struct {
	slots     int
	maxQueued int
	running   int
	queued    []*slotRequest
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{slots: slots, maxQueued: maxQueued} }

// slotRequest is a request at a replica.
type slotRequest struct {
	started chan struct{} // closed when the request gets a slot
}

// arrive adds a request. It returns nil if the request is rejected.
func (q *slotQueue) arrive() *slotRequest { return q.arriveWithin(q.maxQueued) }

// arriveWithin is arrive for a queue that is shorter at the moment.
func (q *slotQueue) arriveWithin(maxQueued int) *slotRequest {
	r := &slotRequest{started: make(chan struct{})}
	switch {
	case q.running < q.slots:
		q.start(r)
	case len(q.queued) < maxQueued:
		q.queued = append(q.queued, r)
	default:
		return nil
	}
	return r
}

func (q *slotQueue) start(r *slotRequest) {
	q.running++
	close(r.started)
}

// leave removes a request that arrive returned.
func (q *slotQueue) leave(r *slotRequest) {
	if i := slices.Index(q.queued, r); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
		return
	}
	q.running--
	if len(q.queued) > 0 {
		next := q.queued[0]
		q.queued = q.queued[1:]
		q.start(next)
	}
}

// held returns how many requests are at the replica, running or queued.
func (q *slotQueue) held() int { return q.running + len(q.queued) }

// workTime is how long the requests of a replica take.
type workTime struct {
	usual     time.Duration
	slowUntil time.Time
}

// next returns the time of a request that begins to run, given a random number in [0, 1).
func (w *workTime) next(draw float64, now time.Time) time.Duration {
	d := float64(w.usual) * (0.5 + draw)
	if now.Before(w.slowUntil) {
		d *= slowFactor
	}
	return time.Duration(d)
}
