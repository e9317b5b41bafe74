// This file injects the faults of replicas: grey failures, crashes and drains.

package soak

import (
	"sync"
	"time"
)

func (s *injector) disturbReplica(r *Replica, inject func()) {
	from := time.Now()
	s.ledger.DisturbReplica(r.ID, from, from.Add(time.Hour))
	inject()
	s.ledger.EndReplicaDisturbance(r.ID, from, time.Now().Add(settling))
}

func (s *injector) injectReplica(f *Fault) {
	p, r := s.pickPlace(f.Target)
	switch f.Kind {
	case greyReplica:
		s.makeGrey(f)
	case crashReplica:
		s.crash(p, r, r.Service, f.For)
	case reuseAddress:
		other := serviceGate
		if r.Service == serviceGate {
			other = serviceOther
		}
		s.crash(p, r, other, expiryTime)
		// Another replica, at a new address, replaces the one that crashed.
		_ = s.addPlaceAt(r.Service, r.Domain, p.version)
	case flapReplica:
		for range 3 {
			if s.ctx.Err() != nil {
				return
			}
			s.crash(p, r, r.Service, flapInterval)
			s.mu.Lock()
			r = p.current
			s.mu.Unlock()
			pause(s.ctx, flapInterval)
		}
	case drainReplica:
		s.drain(p, r, f.Variant%2 == 0)
	}
}

// makeGrey gives up to maxGrey replicas one of the greyBehaviours for the duration of the fault.
func (s *injector) makeGrey(f *Fault) {
	var wg sync.WaitGroup
	for i := range 1 + f.Variant%maxGrey {
		_, r := s.pickPlace(f.Target + i)
		wg.Go(func() {
			s.disturbReplica(r, func() {
				r.SetBehaviour(greyBehaviours[(f.Variant/maxGrey)%len(greyBehaviours)])
				pause(s.ctx, f.For)
				r.SetBehaviour(ordinary)
			})
		})
	}
	wg.Wait()
}

// crash terminates a replica without draining it. Its entry expires, and a new replica of the
// service next starts at its address.
func (s *injector) crash(p *place, r *Replica, next string, down time.Duration) {
	if !s.tryMarkIdle(p, r) {
		return
	}
	s.disturbReplica(r, func() {
		s.terminateReplica(p, r)
		pause(s.ctx, max(down, expiryTime))
		s.deleteEntry(r)
	})
	_ = s.startReplacement(p, next)
}

// drain replaces a replica: a new one starts, and the old one announces its departure in its
// entry or deletes the entry, and serves on for a while.
func (s *injector) drain(p *place, r *Replica, inEntry bool) {
	s.drainTo(p, r, p.version, inEntry)
}

// drainTo is drain with a replacement of a software version.
func (s *injector) drainTo(p *place, r *Replica, version string, inEntry bool) {
	s.markIdle(p)
	if s.addPlaceAt(r.Service, r.Domain, version) != nil {
		return
	}
	if inEntry {
		s.writeEntry(p, r, true)
		s.ledger.Departed(r.ID, time.Now())
	} else {
		s.deleteEntry(r)
	}
	pause(s.ctx, serveAfterDeparture)
	s.disturbReplica(r, r.Terminate)
	s.deleteEntry(r)
}
