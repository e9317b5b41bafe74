// This file restores the store from a backup. What was written since the backup was made is lost,
// its revisions are assigned again, and the operator and the replicas rewrite what was lost. Some
// time later, when the store counts as undisturbed, a change follows whose effects are checked.

package soak

import (
	"math"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Parameters of restores.
const (
	copyInterval = 250 * time.Millisecond
	oldestCopy   = 8 * time.Second
	// shortestAway and moreAway limit how long the store is unreachable.
	shortestAway = 100 * time.Millisecond
	moreAway     = 2 * time.Second
	// rewriteTime is how long after the store is restored the lost documents are rewritten.
	rewriteTime = 200 * time.Millisecond
	// changesLost changes are written to one document shortly before the store becomes unreachable. Only
	// one of them is rewritten, so that daemons are ahead of the store's revision when it is restored.
	changesLost = 8
	lostBefore  = 300 * time.Millisecond
	// changesAtOnce changes are written immediately after that in half of the restores, so that the lost
	// revisions are soon assigned again. In the other half they stay unassigned for long.
	changesAtOnce = 6
)

// drawRestores adds the restores of a seed, from a random source of their own.
func (p *Plan) drawRestores(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range int(math.Ceil(s.RestoresPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = restoreStore
		f.For = shortestAway + time.Duration(rng.Int64N(int64(moreAway)))
		p.Faults = append(p.Faults, f)
	}
}

// copies holds the most recent backups of the store, oldest first.
type copies struct{ list []datedCopy }

type datedCopy struct {
	at    time.Time
	store *standin.StoreCopy
}

// keepCopies backs up the store periodically.
func (s *injector) keepCopies() {
	for s.ctx.Err() == nil {
		now := time.Now()
		s.mu.Lock()
		s.copies.add(datedCopy{now, s.store.Copy()})
		s.mu.Unlock()
		pause(s.ctx, copyInterval)
	}
}

func (c *copies) add(d datedCopy) {
	c.list = append(c.list, d)
	for d.at.Sub(c.list[0].at) > oldestCopy {
		c.list = c.list[1:]
	}
}

// of returns the newest backup that has at least the given age, or the oldest one.
func (c *copies) of(age time.Duration, now time.Time) *standin.StoreCopy {
	found := c.list[0]
	for _, d := range c.list {
		if now.Sub(d.at) >= age {
			found = d
		}
	}
	return found.store
}

// restore makes the store unreachable and restores it from a backup. The changes that follow are checked.
func (s *injector) restore(f *Fault) {
	age := time.Second + time.Duration(f.Variant%int(oldestCopy/time.Millisecond))*time.Millisecond
	s.storeMu.Lock()
	for range changesLost {
		s.addKey()
	}
	pause(s.ctx, lostBefore)
	s.disturbStore(func() {
		mode := storeModes[f.Variant%len(storeModes)]
		s.setModes(s.endpoints, mode, f.For, func() {
			s.mu.Lock()
			copied := s.copies.of(age, time.Now())
			s.mu.Unlock()
			s.store.Restore(copied)
			s.ledger.Restored(time.Now())
		})
		pause(s.ctx, rewriteTime)
		s.rewrite()
		if f.Target%2 == 0 {
			for range changesAtOnce {
				s.addKey()
			}
		}
	})
	s.storeMu.Unlock()
	pause(s.ctx, s.ledger.bounds.Contact+2*settling)
	s.revokeKey(f.Target)
	p, r := s.at(f.Target)
	s.drain(p, r, f.Variant%2 == 0)
}

// rewrite writes what the operator and the replicas have written and the backup lacks. Entries of
// replicas that have terminated since then expire.
func (s *injector) rewrite() {
	s.mu.Lock()
	c := s.config()
	s.store.PutConfigAgain(&c)
	for domain, emptied := range s.emptied {
		switch isEvacuated := s.store.IsEvacuated(domain); {
		case emptied && !isEvacuated:
			s.store.Evacuate(domain)
		case !emptied && isEvacuated:
			s.store.TakeBack(domain)
		}
	}
	var gone []string
	for _, id := range s.store.Replicas() {
		if _, ok := s.entries[id]; !ok {
			gone = append(gone, id)
		}
	}
	for _, r := range s.entries {
		s.store.PutReplicaAgain(r)
	}
	s.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	time.AfterFunc(expiryTime-rewriteTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, id := range gone {
			if _, ok := s.entries[id]; !ok {
				s.store.DeleteReplica(id)
			}
		}
	})
}
