// This file carries out the faults of the store: endpoints that turn daemons away, and
// entries that expire.

package soak

import (
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// storeModes are how the store can turn daemons away.
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
		// Daemons that are turned away learn from their peers, so that their
		// bounds hold.
		turned := 1 + f.Target%max(1, len(s.endpoints)/2)
		s.setModes(s.endpoints[:turned], mode, f.For, nil)
	case storeLosesHistory:
		s.store.SilenceWatches()
		s.changeConfig(&Fault{Kind: revokeKey, Target: f.Target})
		pause(s.ctx, time.Second)
		s.store.CompactSilently()
	}
}

// disturbStore notes the trouble before it begins: judgement goes on meanwhile.
func (s *injector) disturbStore(inject func()) {
	from := time.Now()
	s.ledger.DisturbStore(from, from.Add(time.Hour))
	inject()
	s.ledger.EndStoreDisturbance(from, time.Now().Add(settling))
}

// setModes sets the mode of some endpoints for a time; meanwhile runs then.
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

// expireEntries takes entries of living replicas away; they are back a moment after the
// store's return.
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
			time.AfterFunc(f.For+backTime, func() {
				s.mu.Lock()
				same := p.current == r && !p.idle
				s.mu.Unlock()
				if same {
					s.announce(p, r, false)
				}
			})
		}
	}
}
