// This file serves requests at a replica of a crowded service, which queues what is beyond its slots.

package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// crowdedReplica is the state of a replica of a crowded service. The replica's lock protects it.
type crowdedReplica struct {
	queue *slotQueue
	work  workTime
	// brittle is the spell in which the replica is brittle; nil: it is not. rejections are those of the last
	// second while it bites.
	brittle    *brittleState
	rejections []time.Time
}

func newCrowdedReplica(slots int, work time.Duration) *crowdedReplica {
	return &crowdedReplica{queue: newSlotQueue(slots), work: workTime{usual: work}}
}

// TurnSlow makes a replica of a crowded service slow until a time, for requests that begin to run.
func (r *Replica) TurnSlow(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crowded.work.slowUntil = until
}

// serveCrowded queues and runs a request, or rejects it if the queue is full. It returns false if the
// connection must be closed.
func (x *exchange) serveCrowded(run *Run) bool {
	x.mu.Lock()
	place := x.crowded.queue.arriveWithin(x.crowded.queueLimit(run.At))
	x.mu.Unlock()
	if place == nil {
		return x.rejectFull(run.At)
	}
	here := x.ledger.Enters(x.Service, x.ID, run.At)
	leave := sync.OnceFunc(func() {
		// Under the lock, so that the ledger never has more requests in slots than there are.
		x.mu.Lock()
		defer x.mu.Unlock()
		x.ledger.Leaves(here, time.Now())
		x.crowded.queue.leave(place)
	})
	defer leave()
	select {
	case <-x.disconnected:
		return false
	case <-place.started:
	}
	run.At = time.Now()
	x.run = x.ledger.Began(x.id, *run)
	x.mu.Lock()
	d := x.crowded.work.next(rand.Float64(), run.At)
	x.mu.Unlock()
	if !x.work(d) {
		x.finish(0)
		return false
	}
	x.finish(200)
	leave() // the slot is free once the response is complete
	return x.write(standin.Response(200, x.id, x.ID, plainBody(x.id, x.ID), x.statements()))
}

// rejectFull rejects a request because the queue is full. A brittle replica may terminate under it.
func (x *exchange) rejectFull(now time.Time) bool {
	x.mu.Lock()
	falls := x.crowded.fallsAfterRejection(now)
	x.mu.Unlock()
	x.ledger.RejectedWhileBrittle(x.Service, x.ID, x.id, now)
	if falls {
		x.fell()
		return false
	}
	return x.write(standin.NotRun(x.id, x.statements()))
}
