// This file carries out the faults of replicas: grey ones, crashes and drains.

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
	p, r := s.at(f.Target)
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
		// What was lost is made good at an address of its own.
		_ = s.addPlace(r.Service, r.Domain)
	case flapReplica:
		for range 3 {
			if s.ctx.Err() != nil {
				return
			}
			s.crash(p, r, r.Service, flapGap)
			s.mu.Lock()
			r = p.current
			s.mu.Unlock()
			pause(s.ctx, flapGap)
		}
	case drainReplica:
		s.drain(p, r, f.Variant%2 == 0)
	}
}

// makeGrey gives some replicas a bad behaviour for a time.
func (s *injector) makeGrey(f *Fault) {
	var wg sync.WaitGroup
	for i := range 1 + f.Variant%mostGrey {
		_, r := s.at(f.Target + i)
		wg.Go(func() {
			s.disturbReplica(r, func() {
				r.SetBehaviour(greyBehaviours[(f.Variant/mostGrey)%len(greyBehaviours)])
				pause(s.ctx, f.For)
				r.SetBehaviour(ordinary)
			})
		})
	}
	wg.Wait()
}

// crash ends a replica without draining; its entry expires, and a new replica of a
// service begins at its address.
func (s *injector) crash(p *place, r *Replica, next string, down time.Duration) {
	if !s.takeDown(p, r) {
		return
	}
	s.disturbReplica(r, func() {
		s.terminateReplica(p, r)
		pause(s.ctx, max(down, expiryTime))
		s.remove(r)
	})
	_ = s.startReplacement(p, next)
}

// drain replaces a replica: the new one starts, the old one says that it leaves,
// or its entry goes, and it serves on for a while.
func (s *injector) drain(p *place, r *Replica, announced bool) {
	s.vacate(p)
	if s.addPlace(r.Service, r.Domain) != nil {
		return
	}
	if announced {
		s.announce(p, r, true)
		s.ledger.Departed(r.ID, time.Now())
	} else {
		s.remove(r)
	}
	pause(s.ctx, serveOn)
	s.disturbReplica(r, r.End)
	s.remove(r)
}
