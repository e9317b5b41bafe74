// This file makes the replicas of the crowded service brittle for a time: they say so in each response, queue
// fewer requests from brittleWarning later, and terminate if they have to reject too many in a second.
//
// A replica that has terminated is back after some seconds, empty, under another id.

package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// BrittleSpell is a time in which the replicas of the crowded service are brittle.
type BrittleSpell struct {
	At    time.Duration `json:"at"`    // from the start of traffic until they begin to say so
	For   time.Duration `json:"for"`   // until they no longer are
	Limit int           `json:"limit"` // rejections in a second that a replica survives
	Queue int           `json:"queue"` // requests that a replica queues from brittleWarning on
}

const (
	// brittleWarning is how long replicas say that they are brittle before they queue fewer requests. Daemons
	// in touch learn from each other within that time.
	brittleWarning = 4 * time.Second
	// minDownAfterFall and maxDownAfterFall bound how long a replica that fell is away.
	minDownAfterFall = 2 * time.Second
	maxDownAfterFall = 3500 * time.Millisecond
	// impatientReturn is when a caller returns that does not wait as told.
	impatientReturn = 50 * time.Millisecond

	sourceBrittle = 15 // random source of the plan
)

// brittleState is the current spell at a site or a replica.
type brittleState struct {
	limit, queue int
	bitesAt      time.Time // when the queue becomes shorter and rejections can end a replica
	until        time.Time
}

// isOn reports whether replicas say that they are brittle.
func (b *brittleState) isOn(now time.Time) bool { return b != nil && now.Before(b.until) }

// bites reports whether replicas queue fewer requests, and terminate if they reject too many.
func (b *brittleState) bites(now time.Time) bool { return b.isOn(now) && !now.Before(b.bitesAt) }

// queueLimit returns how many requests a replica queues now.
func (r *crowdedReplica) queueLimit(now time.Time) int {
	if r.brittle.bites(now) {
		return min(r.brittle.queue, r.queue.maxQueued)
	}
	return r.queue.maxQueued
}

// fallsAfterRejection counts a rejection and reports whether the replica terminates under it.
func (r *crowdedReplica) fallsAfterRejection(now time.Time) bool {
	if !r.brittle.bites(now) {
		r.rejections = nil
		return false
	}
	r.rejections = append(r.rejections, now)
	for now.Sub(r.rejections[0]) > time.Second {
		r.rejections = r.rejections[1:]
	}
	return len(r.rejections) > r.brittle.limit
}

// drawBrittle adds spells to the crowded service of a seed, one after another.
func (p *Plan) drawBrittle(seed uint64, s Shape) {
	if !s.Brittle || p.Crowded == nil {
		return
	}
	rng := rand.New(rand.NewPCG(seed, sourceBrittle))
	c := p.Crowded
	c.Replicas, c.Load = 3+rng.IntN(2), 0.6+0.6*rng.Float64()
	if rng.IntN(2) == 0 {
		c.Replicas, c.Slots = 16+rng.IntN(24), 2
	}
	c.Generates, c.Impatient = rng.IntN(3) == 0, 0.25
	queues := []int{0, 1, 2, maxQueued / 2}
	for at := time.Second; at+brittleWarning+minSpell <= s.Trouble; {
		spell := BrittleSpell{At: at, For: brittleWarning + minSpell + time.Duration(rng.Int64N(int64(maxSpell-minSpell))), Limit: 1 + rng.IntN(4), Queue: queues[rng.IntN(len(queues))]}
		c.Brittle = append(c.Brittle, spell)
		at += spell.For + time.Second
	}
}

// minSpell and maxSpell bound the time in which the queues of brittle replicas are short.
const (
	minSpell = 6 * time.Second
	maxSpell = 9 * time.Second
)

// makeBrittle makes the replicas of the crowded service brittle at the planned times.
func (s *site) makeBrittle(ctx context.Context, begun time.Time, spells []BrittleSpell) {
	for _, spell := range spells {
		pause(ctx, time.Until(begun.Add(spell.At)))
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		state := &brittleState{limit: spell.Limit, queue: spell.Queue, bitesAt: now.Add(brittleWarning), until: now.Add(spell.For)}
		s.mu.Lock()
		s.brittle = state
		for _, p := range s.places {
			p.current.setBrittle(state)
		}
		s.mu.Unlock()
		s.ledger.BrittleFrom(serviceCrowded, spell, state.bitesAt, state.until)
		pause(ctx, time.Until(state.until))
	}
}

// setBrittle makes a replica of the crowded service brittle.
func (r *Replica) setBrittle(state *brittleState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crowded != nil {
		r.crowded.brittle = state
	}
}

// restartAfterFall replaces a replica that terminated because it had to reject too much.
func (s *site) restartAfterFall(p *place, r *Replica) {
	if !s.tryMarkIdle(p, r) {
		return
	}
	from := time.Now()
	s.ledger.DisturbReplica(r.ID, from, from.Add(time.Hour))
	s.terminateReplica(p, r)
	s.ledger.Fell(r.Service, r.ID, from)
	go func() {
		ctx := s.fleet.ctx
		pause(ctx, minDownAfterFall+rand.N(maxDownAfterFall-minDownAfterFall))
		s.deleteEntry(r)
		s.ledger.EndReplicaDisturbance(r.ID, from, time.Now().Add(settling))
		if ctx.Err() == nil {
			_ = s.startReplacement(p, r.Service)
		}
	}()
}
