// This file plays replicas that leave and say so in their answers only, whatever their entries
// say, and judges what reaches them after that.

package soak

import (
	"slices"
	"time"
)

// leastServeOn is added to the length of a fault: a replica that leaves by its answers serves
// on for longer than daemons may need.
const leastServeOn = 4 * time.Second

// leaveByAnswers replaces a replica: another one starts, and the old one says in all its
// answers that it leaves, until it ends. Its entry goes on saying that it is ready.
func (s *injector) leaveByAnswers(f *Fault) {
	p, r := s.at(f.Target)
	if !s.takeDown(p, r) || s.addPlace(r.Service, r.Domain) != nil {
		return
	}
	from := time.Now()
	s.ledger.StandsAside(r.ID, from, from.Add(time.Hour))
	r.Leave()
	if f.Variant%2 == 0 {
		// Its entry goes and is back, as when the store was away.
		pause(s.ctx, lapse)
		s.remove(r)
		pause(s.ctx, lapse)
		s.announce(p, r, false)
	}
	pause(s.ctx, time.Until(from.Add(f.For)))
	s.disturbReplica(r, r.End)
	s.remove(r)
}

// Leave has the replica say in all answers that it leaves.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SaysThatItLeaves notes that a replica's answer to a request says that it leaves.
func (l *Ledger) SaysThatItLeaves(request, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(request)
	r.departing = append(r.departing, replica)
}

// Leavers returns how many replicas have said in their answers that they leave.
func (l *Ledger) Leavers() int {
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

// passedOn is the first answer with which a daemon passed on that a replica leaves.
type passedOn struct {
	at     time.Time
	daemon int
}

// checkDepartures looks for requests that reached a replica although it had said in an answer that
// it leaves. The daemon that passed the answer on must know, in touch or not, unless it was
// frozen or started again; so must others, in touch with the store and each other.
func (j *checker) checkDepartures() {
	told, first := j.leavings()
	if len(first) == 0 {
		return
	}
	for _, r := range j.order {
		for _, a := range r.arrivals {
			p, ok := first[a.Replica]
			if !ok || j.runsPreviousBuild(r.by()) || !noneOverlaps(j.replicas[a.Replica], r.Sent, a.At) {
				continue
			}
			own, wasTold := told[path{a.Replica, r.by()}]
			switch {
			case wasTold && r.Sent.Sub(own) > j.bounds.Drain && noneOverlaps(j.freezes[r.Daemon], own, a.At):
				j.add("DRAIN", r, a.At, "reached %s, which had said %v before that it leaves, by way of daemon %d, which had passed that on", a.Replica, r.Sent.Sub(own), r.Daemon)
			case r.Sent.Sub(p.at) > j.bounds.Drain && j.upToDate(r.Daemon, p.at, a.At) && j.upToDate(p.daemon, p.at, a.At):
				j.add("DRAIN", r, a.At, "reached %s, which had said %v before by way of daemon %d that it leaves, by way of daemon %d", a.Replica, r.Sent.Sub(p.at), p.daemon, r.Daemon)
			}
		}
	}
}

// leavings returns when each daemon passed on first that a replica leaves, and who did so first
// of all.
func (j *checker) leavings() (told map[path]time.Time, first map[string]passedOn) {
	told, first = make(map[path]time.Time), make(map[string]passedOn)
	for _, r := range j.order {
		if r.answer == nil || !slices.Contains(r.departing, r.answer.Seal) || j.runsPreviousBuild(r.by()) {
			continue
		}
		replica, at := r.answer.Seal, r.answer.Begun
		key := path{replica, r.by()}
		if before, ok := told[key]; !ok || at.Before(before) {
			told[key] = at
		}
		if before, ok := first[replica]; !ok || at.Before(before.at) {
			first[replica] = passedOn{at, r.Daemon}
		}
	}
	return told, first
}
