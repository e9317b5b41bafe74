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
	backupInterval = 250 * time.Millisecond
	maxBackupAge   = 8 * time.Second
	// minOutage and outageRange limit how long the store is unreachable.
	minOutage   = 100 * time.Millisecond
	outageRange = 2 * time.Second
	// rewriteDelay is how long after the store is restored the lost documents are rewritten.
	rewriteDelay = 200 * time.Millisecond
	// lostChanges changes are written to one document shortly before the store becomes unreachable. Only
	// one of them is rewritten, so that daemons are ahead of the store's revision when it is restored.
	lostChanges     = 8
	lostChangesLead = 300 * time.Millisecond
	// immediateChanges changes are written immediately after that in half of the restores, so that the lost
	// revisions are soon assigned again. In the other half they stay unassigned for long.
	immediateChanges = 6
)

// drawRestores adds the restores of a seed, from a random source of their own.
func (p *Plan) drawRestores(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range int(math.Ceil(s.RestoresPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = restoreStore
		f.For = minOutage + time.Duration(rng.Int64N(int64(outageRange)))
		p.Faults = append(p.Faults, f)
	}
}

// backups holds the most recent backups of the store, oldest first.
type backups struct{ list []backup }

type backup struct {
	at    time.Time
	store *standin.StoreBackup
}

// backUpPeriodically backs up the store periodically.
func (s *injector) backUpPeriodically() {
	for s.ctx.Err() == nil {
		now := time.Now()
		s.mu.Lock()
		s.copies.add(backup{now, s.store.Backup()})
		s.mu.Unlock()
		pause(s.ctx, backupInterval)
	}
}

func (c *backups) add(d backup) {
	c.list = append(c.list, d)
	for d.at.Sub(c.list[0].at) > maxBackupAge {
		c.list = c.list[1:]
	}
}

// atLeastAsOldAs returns the newest backup that has at least the given age, or the oldest one.
func (c *backups) atLeastAsOldAs(age time.Duration, now time.Time) *standin.StoreBackup {
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
	age := time.Second + time.Duration(f.Variant%int(maxBackupAge/time.Millisecond))*time.Millisecond
	s.storeMu.Lock()
	for range lostChanges {
		s.addKey()
	}
	pause(s.ctx, lostChangesLead)
	s.disturbStore(func() {
		mode := storeModes[f.Variant%len(storeModes)]
		s.setModes(s.endpoints, mode, f.For, func() {
			s.mu.Lock()
			copied := s.copies.atLeastAsOldAs(age, time.Now())
			s.mu.Unlock()
			sent := time.Now()
			s.ledger.ConfigurationSent(sent)
			s.store.Restore(copied)
			s.ledger.ConfigurationAcknowledged(sent, time.Now())
			s.ledger.Restored(time.Now())
		})
		pause(s.ctx, rewriteDelay)
		s.rewrite()
		if f.Target%2 == 0 {
			for range immediateChanges {
				s.addKey()
			}
		}
	})
	s.storeMu.Unlock()
	pause(s.ctx, s.ledger.bounds.SyncTime+2*settling)
	s.revokeKey(f.Target)
	p, r := s.pickPlace(f.Target)
	s.drain(p, r, f.Variant%2 == 0)
}

// rewrite writes what the operator and the replicas have written and the backup lacks. Entries of
// replicas that have terminated since then expire.
func (s *injector) rewrite() {
	s.mu.Lock()
	c := s.config()
	sent := time.Now()
	s.ledger.ConfigurationSent(sent)
	s.store.RestoreConfig(&c)
	s.ledger.ConfigurationAcknowledged(sent, time.Now())
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
	time.AfterFunc(expiryTime-rewriteDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, id := range gone {
			if _, ok := s.entries[id]; !ok {
				s.store.DeleteReplica(id)
			}
		}
	})
}
