// This file simulates replicas that announce their departure only in their responses, while
// their entries still say ready, and checks that daemons stop sending them requests.

package soak

import (
	"slices"
	"time"
)

// minServeAfterDeparture is added to the duration of a fault, so that a departing replica serves
// on for longer than daemons may take to stop using it.
const minServeAfterDeparture = 4 * time.Second

// leaveByAnswers replaces a replica: another one starts, and the old one announces its
// departure in every response until it terminates. Its entry stays ready.
func (s *injector) leaveByAnswers(f *Fault) {
	p, r := s.pickPlace(f.Target)
	if !s.tryMarkIdle(p, r) || s.addPlaceAt(r.Service, r.Domain, p.version) != nil {
		return
	}
	from := time.Now()
	s.ledger.SetAside(r.ID, from, from.Add(time.Hour))
	r.AnnounceDeparture()
	if f.Variant%2 == 0 {
		// The entry disappears and returns, as after an outage of the store.
		pause(s.ctx, entryGap)
		s.deleteEntry(r)
		pause(s.ctx, entryGap)
		s.writeEntry(p, r, false)
	}
	pause(s.ctx, time.Until(from.Add(f.For)))
	s.disturbReplica(r, r.Terminate)
	s.deleteEntry(r)
}

// AnnounceDeparture makes the replica announce its departure in every response.
func (r *Replica) AnnounceDeparture() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departing = true
}

// DepartureAnnounced records that a replica announced its departure in the response to a request.
func (l *Ledger) DepartureAnnounced(request, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(request)
	r.departing = append(r.departing, replica)
}

// Departures returns the number of replicas that announced their departure in a response.
func (l *Ledger) Departures() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[string]bool)
	for _, r := range l.order {
		for _, replica := range r.departing {
			seen[replica] = true
		}
	}
	return len(seen)
}

// forwardedDeparture identifies the first response by which a daemon forwarded the announcement of a
// replica's departure.
type forwardedDeparture struct {
	at     time.Time
	daemon int
}

// checkDepartures finds requests that reached a replica too long after it announced its departure
// in a response. The daemon that forwarded the response must know of the departure even while
// it is out of touch, unless it was frozen or restarted. Other daemons must know if they and the
// forwarding daemon were in touch with the store and with each other.
func (j *checker) checkDepartures() {
	forwarded, earliest := j.forwardedDepartures()
	if len(earliest) == 0 {
		return
	}
	for _, r := range j.order {
		for _, a := range r.arrivals {
			p, ok := earliest[a.Replica]
			if !ok || j.runsPreviousBuild(r.by()) || j.mayBeDelayed(r, &a) {
				continue
			}
			at, hasForwarded := forwarded[path{a.Replica, r.by()}]
			switch {
			case hasForwarded && r.Sent.Sub(at) > j.bounds.Drain && noneOverlaps(j.freezes[r.Daemon], at, a.At):
				j.add("DRAIN", r, a.At, "reached %s, %v after the announcement of its departure, via daemon %d, which had forwarded the announcement", a.Replica, r.Sent.Sub(at), r.Daemon)
			case r.Sent.Sub(p.at) > j.bounds.Drain && j.upToDate(r.Daemon, p.at, a.At) && j.upToDate(p.daemon, p.at, a.At):
				j.add("DRAIN", r, a.At, "reached %s, %v after daemon %d forwarded the announcement of its departure, via daemon %d", a.Replica, r.Sent.Sub(p.at), p.daemon, r.Daemon)
			}
		}
	}
}

// forwardedDepartures returns when each daemon first forwarded the announcement of a replica's
// departure, and for each replica which daemon was the first to do so.
func (j *checker) forwardedDepartures() (forwarded map[path]time.Time, earliest map[string]forwardedDeparture) {
	forwarded, earliest = make(map[path]time.Time), make(map[string]forwardedDeparture)
	for _, r := range j.order {
		if r.answer == nil || !slices.Contains(r.departing, r.answer.Seal) || j.runsPreviousBuild(r.by()) {
			continue
		}
		replica, at := r.answer.Seal, r.answer.Begun
		key := path{replica, r.by()}
		if before, ok := forwarded[key]; !ok || at.Before(before) {
			forwarded[key] = at
		}
		if before, ok := earliest[replica]; !ok || at.Before(before.at) {
			earliest[replica] = forwardedDeparture{at, r.Daemon}
		}
	}
	return forwarded, earliest
}
