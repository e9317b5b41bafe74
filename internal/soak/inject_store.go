// This file injects the faults of the store: endpoints that refuse daemons, entries that
// expire, and silent compactions.

package soak

import (
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// storeModes are the ways in which an endpoint of the store can refuse daemons.
var storeModes = []standin.StoreMode{standin.StoreBusy, standin.StoreResets, standin.StoreSilent}

func (s *injector) injectStore(f *Fault) {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	mode := storeModes[f.Variant%len(storeModes)]
	switch f.Kind {
	case storeUnreachable:
		s.disturbStore(func() { s.setModes(s.endpoints, mode, f.For, nil) })
	case storeExpires:
		s.disturbStore(func() { s.setModes(s.endpoints, mode, f.For, s.expireEntries(f)) })
	case storeRejects:
		// Daemons whose endpoint refuses them learn from their peers. Their time bounds hold,
		// so that the fault isn't recorded as a disturbance.
		turned := 1 + f.Target%max(1, len(s.endpoints)/2)
		s.setModes(s.endpoints[:turned], mode, f.For, nil)
	case storeLosesHistory:
		s.store.SilenceWatches()
		s.changeConfig(&Fault{Kind: revokeKey, Target: f.Target})
		pause(s.ctx, time.Second)
		s.store.CompactSilently()
	}
}

// disturbStore runs inject and records that it disturbs the store. It records the start first,
// because the ledger is judged while the fault lasts.
func (s *injector) disturbStore(inject func()) {
	from := time.Now()
	s.ledger.DisturbStore(from, from.Add(time.Hour))
	inject()
	s.ledger.EndStoreDisturbance(from, time.Now().Add(settling))
}

// setModes sets the mode of some endpoints for a time. It calls meanwhile, unless that is nil,
// once the mode is set.
func (s *injector) setModes(endpoints []*standin.StoreEndpoint, mode standin.StoreMode, d time.Duration, meanwhile func()) {
	for _, endpoint := range endpoints {
		endpoint.SetMode(mode)
	}
	if meanwhile != nil {
		meanwhile()
	}
	pause(s.ctx, d)
	for _, endpoint := range endpoints {
		endpoint.SetMode(standin.StoreServes)
	}
}

// expireEntries returns a function that deletes the entries of about three in four live
// replicas; each is written again reannounceDelay after the end of the fault.
func (s *injector) expireEntries(f *Fault) func() {
	return func() {
		s.mu.Lock()
		places := append([]*place(nil), s.places...)
		s.mu.Unlock()
		for _, p := range places {
			s.mu.Lock()
			r, idle := p.current, p.idle
			s.mu.Unlock()
			if idle || (f.Variant+hashInt(r.ID))%4 == 0 {
				continue
			}
			s.store.DeleteReplica(r.ID)
			time.AfterFunc(f.For+reannounceDelay, func() {
				s.mu.Lock()
				same := p.current == r && !p.idle
				s.mu.Unlock()
				if same {
					s.writeEntry(p, r, false)
				}
			})
		}
	}
}
