// This file has the store come back from a copy of itself. What was written since the copy was made
// is gone, its revisions are given out again, and the operator and the replicas write again what
// was lost. Some time later, when the store counts as calm, something changes that is judged.

package soak

import (
	"math"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Figures of restores.
const (
	copyInterval = 250 * time.Millisecond
	oldestCopy   = 8 * time.Second
	// shortestAway and moreAway bound how long the store is away.
	shortestAway = 100 * time.Millisecond
	moreAway     = 2 * time.Second
	// rewriteTime is how long after the store's return what was lost is written again.
	rewriteTime = 200 * time.Millisecond
	// changesLost are written to one document shortly before the store goes away: one of them is written
	// again, so that daemons stand above the store's revision when it is back.
	changesLost = 8
	lostBefore  = 300 * time.Millisecond
	// changesAtOnce are written at once after that in half of the restores, so that the revisions of
	// before are soon given out again. In the other half they stay unused for long.
	changesAtOnce = 6
)

// drawRestores adds the restores of a seed, with draws of their own.
func (p *Plan) drawRestores(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range int(math.Ceil(s.RestoresPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = restoreStore
		f.For = shortestAway + time.Duration(rng.Int64N(int64(moreAway)))
		p.Faults = append(p.Faults, f)
	}
}

// copies are the newest copies of the store.
type copies struct{ list []datedCopy }

type datedCopy struct {
	at    time.Time
	store *standin.StoreBackup
}

// keepCopies copies the store over and over.
func (s *injector) keepCopies() {
	for s.ctx.Err() == nil {
		now := time.Now()
		s.mu.Lock()
		s.copies.add(datedCopy{now, s.store.Backup()})
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

// of returns the newest copy of at least an age, or the oldest one.
func (c *copies) of(age time.Duration, now time.Time) *standin.StoreBackup {
	found := c.list[0]
	for _, d := range c.list {
		if now.Sub(d.at) >= age {
			found = d
		}
	}
	return found.store
}

// restore takes the store away, and brings it back from a copy. What follows its return is judged.
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
	p, r := s.pickPlace(f.Target)
	s.drain(p, r, f.Variant%2 == 0)
}

// rewrite writes what the operator and the replicas have written and the copy lacks. Entries of
// replicas that have gone since expire.
func (s *injector) rewrite() {
	s.mu.Lock()
	c := s.config()
	s.store.RestoreConfig(&c)
	for domain, emptied := range s.evacuated {
		switch isEvacuated := s.store.IsEvacuated(domain); {
		case emptied && !isEvacuated:
			s.store.Evacuate(domain)
		case !emptied && isEvacuated:
			s.store.ReturnToService(domain)
		}
	}
	var gone []string
	for _, id := range s.store.Replicas() {
		if _, ok := s.entries[id]; !ok {
			gone = append(gone, id)
		}
	}
	for _, r := range s.entries {
		s.store.RestoreReplica(r)
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
