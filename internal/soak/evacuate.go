// This file evacuates failure domains and makes replicas cold. It checks that no requests reach
// an evacuated domain (EVAC), and that the request rate of a cold replica is limited (FAILBACK).

package soak

import (
	"fmt"
	"slices"
	"time"
)

// Parameters of cold replicas. A warm replica receives about 20 requests per second.
const (
	coldStart     = 1500 * time.Millisecond
	coldPerSecond = 6 // requests that a cold replica can serve
	coldOverage   = 1.5
	coldSlack     = 5
	// coldFailureFactor is the multiple of coldPerSecond above which a cold replica resets
	// connections.
	coldFailureFactor = 3
	// coldEntryDelay is the delay from the moment a replica turns cold until its entry says so.
	coldEntryDelay = 600 * time.Millisecond
)

// coldSpan is a period in which a replica is cold.
type coldSpan struct {
	span
	// known is the earliest time at which daemons could know that the replica would be cold.
	// Requests from daemons that were disturbed since then, or while the store was, don't
	// count. If known is zero, the replica's first entry said so and all requests count.
	known time.Time
}

// evacuate evacuates a domain and later returns it to service; depending on the variant its
// replicas turn cold just before that. If two evacuations overlap, the first to end returns the
// domain to service and the second does nothing more: replicas that are already serving must
// not turn cold, because they receive more than a cold replica can serve.
func (s *injector) evacuate(f *Fault) {
	domain := s.domains[f.Target%len(s.domains)]
	s.store.Evacuate(domain)
	from := time.Now()
	s.ledger.Evacuated(domain, from)
	s.mu.Lock()
	s.evacuated[domain] = true
	s.mu.Unlock()
	pause(s.ctx, f.For)
	s.mu.Lock()
	inForce := s.evacuated[domain]
	s.evacuated[domain] = false
	places := slices.Clone(s.places)
	s.mu.Unlock()
	if !inForce {
		return
	}
	if isCold := f.Variant%3 != 0; isCold {
		for _, p := range places {
			s.mu.Lock()
			r, idle := p.current, p.idle
			s.mu.Unlock()
			if p.domain != domain || idle {
				continue
			}
			s.makeCold(p, r, from)
			time.AfterFunc(coldEntryDelay, func() { s.rewriteEntry(p, r) })
		}
	}
	s.ledger.ReturnedToService(domain, from, time.Now())
	s.store.ReturnToService(domain)
}

// makeCold makes a replica cold for coldStart. See coldSpan.known for known.
func (s *site) makeCold(p *place, r *Replica, known time.Time) {
	now := time.Now()
	r.TurnCold(now.Add(coldStart))
	s.ledger.TurnedCold(r.ID, coldSpan{span: span{now, now.Add(coldStart)}, known: known})
	time.AfterFunc(coldStart, func() { s.rewriteEntry(p, r) })
}

// rewriteEntry rewrites the entry of a replica unless it was replaced or has terminated.
func (s *site) rewriteEntry(p *place, r *Replica) {
	s.mu.Lock()
	serves := p.current == r && !p.idle
	s.mu.Unlock()
	if serves {
		s.writeEntry(p, r, false)
	}
}

// SetDomain records the domain of a replica.
func (l *Ledger) SetDomain(replica, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains[replica] = domain
}

// Evacuated records that the store accepted the evacuation of a domain.
func (l *Ledger) Evacuated(domain string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations[domain] = append(l.evacuations[domain], span{at, at.Add(time.Hour)})
}

// ReturnedToService records that a domain is returned to service at a time. It ends all
// evacuations of the domain, also those that overlap.
func (l *Ledger) ReturnedToService(domain string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.evacuations[domain] {
		if e := &l.evacuations[domain][i]; e.to.After(to) {
			e.to = to
		}
	}
}

// TurnedCold records a period in which a replica is cold.
func (l *Ledger) TurnedCold(replica string, c coldSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold[replica] = append(l.cold[replica], c)
}

// checkEvacuated finds arrivals of a request in an evacuated domain.
func (j *checker) checkEvacuated(r *record) {
	for _, a := range r.arrivals {
		for _, e := range j.evacuations[j.domains[a.Replica]] {
			late := a.At.Sub(e.from)
			if late <= j.bounds.Evacuate || !a.At.Before(e.to) {
				continue
			}
			disturbed := !noneOverlaps(j.replicas[a.Replica], e.from, a.At)
			if !disturbed && !j.mayBeDelayed(r, &a) && j.upToDate(r.Daemon, e.from, a.At) {
				j.add("EVAC", r, a.At, "reached %s %v after the store accepted the evacuation of domain %s, via daemon %d", a.Replica, late, j.domains[a.Replica], r.Daemon)
			}
		}
	}
}

// checkCold finds cold replicas that received more than bounds.Cold requests within one second.
func (j *checker) checkCold() {
	arrivals := make(map[string][]time.Time)
	for _, r := range j.order {
		for _, a := range r.arrivals {
			if j.countsWhileCold(r, &a) {
				arrivals[a.Replica] = append(arrivals[a.Replica], a.At)
			}
		}
	}
	for replica, list := range arrivals {
		slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) >= time.Second {
				first++
			}
			if n := i + 1 - first; n > j.bounds.Cold {
				j.out = append(j.out, Violation{Promise: "FAILBACK", Subject: replica, At: at, Detail: fmt.Sprintf("received %d requests within one second while cold, limit is %d", n, j.bounds.Cold)})
				break
			}
		}
	}
}

// countsWhileCold reports whether an arrival counts toward the limit of a cold replica.
func (j *checker) countsWhileCold(r *record, a *Arrival) bool {
	if !noneOverlaps(j.replicas[a.Replica], a.At.Add(-time.Second), a.At) || j.mayBeDelayed(r, a) {
		return false
	}
	return slices.ContainsFunc(j.cold[a.Replica], func(c coldSpan) bool {
		if a.At.Before(c.from) || !a.At.Before(c.to) {
			return false
		}
		return c.known.IsZero() || j.upToDate(r.Daemon, c.known, a.At)
	})
}

// isIneligible reports whether daemons may send nothing to a replica at a time. That is so while the
// replica is cold and until daemons must know that it is warm (the store's watches may be silent
// for 1.7 s, and a daemon that learns late that a replica is cold counts the cold time from then
// on). It is also so while its domain is evacuated, and just after the domain returned to
// service, when daemons treat its replicas as cold.
func (j *checker) isIneligible(replica string, at time.Time) bool {
	isCold := slices.ContainsFunc(j.cold[replica], func(c coldSpan) bool {
		return !at.Before(c.from) && at.Before(c.to.Add(j.bounds.Apply))
	})
	return isCold || !noneOverlaps(j.evacuations[j.domains[replica]], at.Add(-coldStart-settling), at.Add(1))
}
