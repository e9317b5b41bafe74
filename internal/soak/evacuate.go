// This file empties failure domains, turns replicas cold, and judges both: what reaches an
// evacuated domain (EVAC), and how many requests a second reach a cold replica (FAILBACK).

package soak

import (
	"fmt"
	"slices"
	"time"
)

// Figures of cold replicas. A replica gets some 20 requests a second while it is warm.
const (
	coldStart     = 1500 * time.Millisecond
	coldPerSecond = 6 // requests that a cold replica bears
	coldOverage   = 1.5
	coldSlack     = 5
	// fallOver is the multiple of coldPerSecond above which it resets its callers.
	fallOver = 3
	// coldEntryLag is how much later than a replica turns cold its entry says so.
	coldEntryLag = 600 * time.Millisecond
)

// coldSpan is a time in which a replica is cold.
type coldSpan struct {
	span
	// known is when daemons could know first that it would be cold: those that were
	// disturbed since, or whose store was, are not counted. Zero: the replica's first
	// entry said so, and all are.
	known time.Time
}

// evacuate empties a domain and takes it back; its replicas turn cold a moment before, or
// stay warm. Of two that overlap the first end takes the domain back, and the second finds
// nothing to do: replicas that serve get more than they bear while they are cold, so that
// they must not turn cold then.
func (s *injector) evacuate(f *Fault) {
	domain := s.domains[f.Target%len(s.domains)]
	s.store.Evacuate(domain)
	from := time.Now()
	s.ledger.Evacuates(domain, from)
	s.mu.Lock()
	s.emptied[domain] = true
	s.mu.Unlock()
	pause(s.ctx, f.For)
	s.mu.Lock()
	inForce := s.emptied[domain]
	s.emptied[domain] = false
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
			s.chill(p, r, from)
			time.AfterFunc(coldEntryLag, func() { s.announceAgain(p, r) })
		}
	}
	s.ledger.TakesBack(domain, from, time.Now())
	s.store.TakeBack(domain)
}

// chill turns a replica cold. known is when daemons could know first.
func (s *site) chill(p *place, r *Replica, known time.Time) {
	now := time.Now()
	r.TurnCold(now.Add(coldStart))
	s.ledger.TurnsCold(r.ID, coldSpan{span: span{now, now.Add(coldStart)}, known: known})
	time.AfterFunc(coldStart, func() { s.announceAgain(p, r) })
}

// announceAgain writes the entry of a replica that still serves at its place.
func (s *site) announceAgain(p *place, r *Replica) {
	s.mu.Lock()
	serves := p.current == r && !p.idle
	s.mu.Unlock()
	if serves {
		s.announce(p, r, false)
	}
}

// StandsIn notes the domain of a replica.
func (l *Ledger) StandsIn(replica, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains[replica] = domain
}

// Evacuates notes that the store took the evacuation of a domain.
func (l *Ledger) Evacuates(domain string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations[domain] = append(l.evacuations[domain], span{at, at.Add(time.Hour)})
}

// TakesBack notes that an evacuation, which began at a time, ends. Of two that overlap the
// first end takes the domain back.
func (l *Ledger) TakesBack(domain string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.evacuations[domain] {
		if e := &l.evacuations[domain][i]; e.to.After(to) {
			e.to = to
		}
	}
}

// TurnsCold notes when a replica is cold.
func (l *Ledger) TurnsCold(replica string, c coldSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold[replica] = append(l.cold[replica], c)
}

// checkEvacuated looks for requests that reached an evacuated domain.
func (j *checker) checkEvacuated(r *record) {
	for _, a := range r.arrivals {
		for _, e := range j.evacuations[j.domains[a.Replica]] {
			late := a.At.Sub(e.from)
			if late <= j.bounds.Evacuate || !a.At.Before(e.to) {
				continue
			}
			held := !noneOverlaps(j.replicas[a.Replica], e.from, a.At) // a link may have held it up
			if !held && j.upToDate(r.Daemon, e.from, a.At) {
				j.add("EVAC", r, a.At, "reached %s %v after the store took the evacuation of %s, by way of daemon %d", a.Replica, late, j.domains[a.Replica], r.Daemon)
			}
		}
	}
}

// checkCold looks for seconds in which a cold replica got too much.
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
				j.out = append(j.out, Violation{Promise: "FAILBACK", Subject: replica, At: at, Detail: fmt.Sprintf("%d requests reached it in a second while it was cold, %d may", n, j.bounds.Cold)})
				break
			}
		}
	}
}

// countsWhileCold reports whether an arrival counts at a cold replica.
func (j *checker) countsWhileCold(r *record, a *Arrival) bool {
	if !noneOverlaps(j.replicas[a.Replica], a.At.Add(-time.Second), a.At) {
		return false
	}
	return slices.ContainsFunc(j.cold[a.Replica], func(c coldSpan) bool {
		if a.At.Before(c.from) || !a.At.Before(c.to) {
			return false
		}
		return c.known.IsZero() || j.upToDate(r.Daemon, c.known, a.At)
	})
}

// heldBack reports whether a replica may get nothing at a time: it was cold, or so lately that
// daemons can't know yet that it is warm (the store's watches may be silent for 1.7 s, and
// daemons that learn late that it is cold count its cold time from then on); its domain was
// evacuated, or it had been taken back so lately that daemons take its replicas for cold.
func (j *checker) heldBack(replica string, at time.Time) bool {
	isCold := slices.ContainsFunc(j.cold[replica], func(c coldSpan) bool {
		return !at.Before(c.from) && at.Before(c.to.Add(j.bounds.Apply))
	})
	return isCold || !noneOverlaps(j.evacuations[j.domains[replica]], at.Add(-coldStart-settling), at.Add(1))
}
