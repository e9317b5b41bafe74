// This file plays replicas that turn every request away for a while and ask the daemon for
// rest, and judges what reaches them in that time from that daemon.

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Figures of replicas that ask for rest.
const (
	shortestRest = 600 * time.Millisecond
	longestRest  = 3 * time.Second
	mostResting  = 3 // replicas that turn away together
	// Of the faults, one in wholeServiceOneIn strikes all replicas of a service.
	wholeServiceOneIn = 4
	// Of the refusals, one in unreadableOneIn asks with a text that is no time.
	unreadableOneIn = 6
	// lapse is for how long the entry of a replica that rests goes, in every second fault.
	lapse = 300 * time.Millisecond
)

// restingBounds bound what reaches a replica from a daemon that it asked for rest.
type restingBounds struct {
	Grace time.Duration // after the answer, in which requests that were on their way arrive
	Most  int           // requests from then to the end of the rest
}

// backoffRequest is a refusal that asked a daemon for rest.
type backoffRequest struct {
	replica string
	at      time.Time
	rest    time.Duration
}

// drawStatements adds the faults of replicas that ask for rest, and of those that leave by
// their answers alone, with draws of their own.
func (p *Plan) drawStatements(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 6))
	for range int(math.Ceil(s.BackoffsPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = backoffReplicas
		f.For += longestRest
		p.Faults = append(p.Faults, f)
	}
	for range int(math.Ceil(s.DeparturesPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = departInResponses
		f.For += leastServeOn
		p.Faults = append(p.Faults, f)
	}
}

// rest has some replicas turn all requests away for a time, or all of one service.
func (s *injector) rest(f *Fault) {
	rest := shortestRest + time.Duration(f.Variant%100)*(longestRest-shortestRest)/100
	var wg sync.WaitGroup
	for _, p := range s.restingPlaces(f) {
		wg.Go(func() {
			s.mu.Lock()
			r := p.current
			s.mu.Unlock()
			from := time.Now()
			s.ledger.StandsAside(r.ID, from, from.Add(f.For+settling))
			r.SetBehaviour(behaviour{Shed: 1, Rest: rest})
			if f.Target%2 == 0 {
				s.lapse(p, r)
			}
			pause(s.ctx, time.Until(from.Add(f.For)))
			r.SetBehaviour(ordinary)
		})
	}
	wg.Wait()
}

// restingPlaces returns the places whose replicas a fault has turn requests away.
func (s *injector) restingPlaces(f *Fault) []*place {
	first, r := s.at(f.Target)
	s.mu.Lock()
	defer s.mu.Unlock()
	isWhole := f.Variant%wholeServiceOneIn == 0
	out := []*place{first}
	for _, p := range s.places {
		same := p != first && !p.idle && p.current.Service == r.Service
		if same && (isWhole || len(out) < 1+f.Target%mostResting) {
			out = append(out, p)
		}
	}
	return out
}

// lapse takes the entry of a replica away for a moment.
func (s *injector) lapse(p *place, r *Replica) {
	pause(s.ctx, lapse)
	s.remove(r)
	pause(s.ctx, lapse)
	s.announceAgain(p, r)
}

// turnAway refuses a request, and may ask for rest.
func (x *exchange) turnAway() bool {
	says := x.says()
	now := time.Now()
	switch {
	case x.behaviour.Rest == 0:
	case rand.IntN(unreadableOneIn) == 0:
		says.Rest = []string{"-1", "NaN", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}[rand.IntN(4)]
	default:
		says.Rest = strconv.FormatFloat(x.behaviour.Rest.Seconds(), 'f', -1, 64)
		x.ledger.AsksForRest(x.id, x.ID, x.behaviour.Rest, now)
	}
	return x.write(standin.NotRun(x.id, says))
}

// AsksForRest notes that a replica's answer to a request asks the daemon for rest.
func (l *Ledger) AsksForRest(request, replica string, rest time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(request)
	d := r.by()
	l.backoffs[d] = append(l.backoffs[d], backoffRequest{replica: replica, at: at, rest: rest})
}

// StandsAside notes when a replica rests, or leaves by its answers alone.
func (l *Ledger) StandsAside(replica string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setAside[replica] = append(l.setAside[replica], span{from, to})
}

// Froze notes when a daemon's process was stopped.
func (l *Ledger) Froze(daemon int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freezes[daemon] = append(l.freezes[daemon], span{from, to})
}

// Rests returns how many rests replicas asked for.
func (l *Ledger) Rests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, list := range l.backoffs {
		n += len(list)
	}
	return n
}

// restSubject begins the subjects of rests that were broken.
const restSubject = "rest of "

// path is a replica and a process of a daemon.
type path struct {
	replica string
	by      processID
}

// checkBackoffs looks for rests in which too much reached the replica. Each counts for itself. A
// daemon that starts knows nothing of what was asked before, and requests of one that was
// frozen are on their way for as long; nothing else is an excuse.
func (j *checker) checkBackoffs() {
	if len(j.backoffs) == 0 {
		return
	}
	arrivals := j.arrivalsByPath()
	for by, list := range j.backoffs {
		if j.runsPreviousBuild(by) {
			continue
		}
		for i := range list {
			j.checkBackoff(&list[i], by, arrivals[path{list[i].replica, by}])
		}
	}
}

// checkBackoff judges one rest by the arrivals at the replica from the daemon that was asked.
func (j *checker) checkBackoff(a *backoffRequest, by processID, arrivals []time.Time) {
	from, to := a.at.Add(j.bounds.Backoffs.Grace), j.restEnds(a)
	n, last := 0, from
	for _, at := range arrivals {
		if at.After(from) && at.Before(to) {
			n, last = n+1, at
		}
	}
	if n > j.bounds.Backoffs.Most && noneOverlaps(j.freezes[by.daemon], a.at, last) {
		j.out = append(j.out, Violation{
			Promise: "BUDGET", Subject: fmt.Sprintf("%s%s at daemon %d, %v", restSubject, a.replica, by.daemon, a.at.UnixMilli()), At: last,
			Detail: fmt.Sprintf("%s had asked daemon %d for %v of rest and got %d requests from it in that time", a.replica, by.daemon, a.rest, n),
		})
	}
}

// restEnds returns when a rest is over: a replica that starts again under its id did not ask.
func (j *checker) restEnds(a *backoffRequest) time.Time {
	to := a.at.Add(a.rest)
	for _, of := range j.joined {
		if began := of[a.replica]; began.After(a.at) && began.Before(to) {
			to = began
		}
	}
	return to
}

// rests reports whether a replica wants nothing from a daemon at a time.
func (j *checker) rests(replica string, d processID, at time.Time) bool {
	for i := range j.backoffs[d] {
		a := &j.backoffs[d][i]
		if a.replica == replica && !at.Before(a.at) && at.Before(a.at.Add(a.rest)) {
			return true
		}
	}
	return false
}

// arrivalsByPath returns when requests reached replicas, those left out that a link may have
// held up.
func (j *checker) arrivalsByPath() map[path][]time.Time {
	out := make(map[path][]time.Time)
	for _, r := range j.order {
		for _, a := range r.arrivals {
			if noneOverlaps(j.replicas[a.Replica], r.Sent, a.At) {
				key := path{a.Replica, r.by()}
				out[key] = append(out[key], a.At)
			}
		}
	}
	for _, list := range out {
		slices.SortFunc(list, time.Time.Compare)
	}
	return out
}
