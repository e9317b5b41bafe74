// This file simulates replicas that refuse all requests for a while and request a backoff from
// the daemon, and checks how many requests that daemon sends them during the backoff.

package soak

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Parameters of replicas that request a backoff.
const (
	minBackoff  = 600 * time.Millisecond
	maxBackoff  = 3 * time.Second
	maxRefusing = 3 // replicas that refuse requests in one fault
	// One fault in wholeServiceOneIn affects all replicas of a service instead.
	wholeServiceOneIn = 4
	// One refusal in invalidBackoffOneIn requests a backoff with a text that isn't a valid duration.
	invalidBackoffOneIn = 6
	// entryGap is how long the entry of a refusing replica is missing, in every second fault.
	entryGap = 300 * time.Millisecond
)

// backoffBounds limit the requests of a daemon to a replica that requested a backoff from it.
type backoffBounds struct {
	Grace time.Duration // after the response, in which requests in flight may still arrive
	Max   int           // requests allowed from then until the end of the backoff
}

// backoffRequest is a refusal that requested a backoff from a daemon.
type backoffRequest struct {
	replica  string
	at       time.Time
	duration time.Duration
	conn     string // name of the connection
}

// drawStatements adds the faults of replicas that request a backoff, and of those that announce
// their departure only in responses. They come from a random source of their own, so that the
// other faults of a seed don't depend on them.
func (p *Plan) drawStatements(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 6))
	for range int(math.Ceil(s.BackoffsPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = backoffReplicas
		f.For += maxBackoff
		p.Faults = append(p.Faults, f)
	}
	for range int(math.Ceil(s.DeparturesPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = departInResponses
		f.For += minServeAfterDeparture
		p.Faults = append(p.Faults, f)
	}
}

// refuseForBackoff makes some replicas, or all of one service, refuse all requests and request a
// backoff for the duration of the fault.
func (s *injector) refuseForBackoff(f *Fault) {
	backoff := minBackoff + time.Duration(f.Variant%100)*(maxBackoff-minBackoff)/100
	var wg sync.WaitGroup
	for _, p := range s.refusingPlaces(f) {
		wg.Go(func() {
			s.mu.Lock()
			r := p.current
			s.mu.Unlock()
			from := time.Now()
			s.ledger.SetAside(r.ID, from, from.Add(f.For+settling))
			r.SetBehaviour(behaviour{Shed: 1, Backoff: backoff})
			if f.Target%2 == 0 {
				s.dropEntry(p, r)
			}
			pause(s.ctx, time.Until(from.Add(f.For)))
			r.SetBehaviour(ordinary)
		})
	}
	wg.Wait()
}

// refusingPlaces returns the places whose replicas refuse requests because of a fault.
func (s *injector) refusingPlaces(f *Fault) []*place {
	first, r := s.pickPlace(f.Target)
	s.mu.Lock()
	defer s.mu.Unlock()
	allOfService := f.Variant%wholeServiceOneIn == 0
	out := []*place{first}
	for _, p := range s.places {
		same := p != first && !p.idle && p.current.Service == r.Service
		if same && (allOfService || len(out) < 1+f.Target%maxRefusing) {
			out = append(out, p)
		}
	}
	return out
}

// dropEntry deletes the entry of a replica for a short time.
func (s *injector) dropEntry(p *place, r *Replica) {
	pause(s.ctx, entryGap)
	s.deleteEntry(r)
	pause(s.ctx, entryGap)
	s.rewriteEntry(p, r)
}

// refuseRequest refuses a request, and requests a backoff if the behaviour says so.
func (x *exchange) refuseRequest() bool {
	says := x.statements()
	now := time.Now()
	switch {
	case x.behaviour.Backoff == 0:
	case rand.IntN(invalidBackoffOneIn) == 0:
		says.Backoff = []string{"-1", "NaN", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}[rand.IntN(4)]
	default:
		says.Backoff = strconv.FormatFloat(x.behaviour.Backoff.Seconds(), 'f', -1, 64)
		x.ledger.BackoffRequested(x.id, x.ID, x.behaviour.Backoff, now, x.connName())
	}
	return x.write(standin.NotRun(x.id, says))
}

// BackoffRequested records that the response to a request asked the daemon for a backoff. conn is the name
// of the connection.
func (l *Ledger) BackoffRequested(request, replica string, backoff time.Duration, at time.Time, conn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.record(request).by()
	l.backoffs[d] = append(l.backoffs[d], backoffRequest{replica: replica, at: at, duration: backoff, conn: conn})
}

// SetAside records a period in which a replica refuses all requests, or announces its
// departure only in responses.
func (l *Ledger) SetAside(replica string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setAside[replica] = append(l.setAside[replica], span{from, to})
}

// Froze records a period in which a daemon's process was suspended.
func (l *Ledger) Froze(daemon int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freezes[daemon] = append(l.freezes[daemon], span{from, to})
}

// Backoffs returns the number of backoffs that replicas requested.
func (l *Ledger) Backoffs() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, list := range l.backoffs {
		n += len(list)
	}
	return n
}

// Excused returns the violations of backoffs that the daemon can't have read.
func (l *Ledger) Excused() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.SortedFunc(maps.Values(l.excused), func(a, b Violation) int { return a.At.Compare(b.At) })
}

// backoffSubject is the prefix of the subject of violations of a backoff.
const backoffSubject = "backoff of "

// path identifies the requests from one process of a daemon to a replica.
type path struct {
	replica string
	by      processID
}

// checkBackoffs finds backoffs during which the daemon sent the replica too many requests. Each
// backoff is checked on its own. A restarted daemon doesn't know of backoffs that were requested
// before, and requests from a frozen daemon may be in flight for as long as it is frozen. A daemon
// closes the connection to the replica once its caller has disconnected, or once the replica has been
// silent for too long; a refusal that arrives later is not judged. No other disturbance of a daemon, of
// the replica's link or of the store is an excuse.
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

// checkBackoff checks one backoff, given the arrivals at the replica from the daemon it asked.
func (j *checker) checkBackoff(a *backoffRequest, by processID, arrivals []time.Time) {
	from, to := a.at.Add(j.bounds.Backoffs.Grace), j.backoffEnd(a)
	n, last := 0, from
	for _, at := range arrivals {
		if at.After(from) && at.Before(to) {
			n, last = n+1, at
		}
	}
	if n <= j.bounds.Backoffs.Max || !noneOverlaps(j.freezes[by.daemon], a.at, last) {
		return
	}
	read, what := j.wasRead(a.conn, a.at)
	v := Violation{
		Promise: "BUDGET", Subject: fmt.Sprintf("%s%s at daemon %d, %v", backoffSubject, a.replica, by.daemon, a.at.UnixMilli()), At: last,
		Detail: fmt.Sprintf("%s had asked daemon %d for a backoff of %v and received %d requests from it meanwhile; %s", a.replica, by.daemon, a.duration, n, what),
	}
	if !read {
		j.excused = append(j.excused, v)
		return
	}
	j.out = append(j.out, v)
}

// backoffEnd returns when a backoff ends: after the requested time, or when the replica restarts
// under the same id, because the new process didn't request it.
func (j *checker) backoffEnd(a *backoffRequest) time.Time {
	to := a.at.Add(a.duration)
	for _, of := range j.joined {
		if began := of[a.replica]; began.After(a.at) && began.Before(to) {
			to = began
		}
	}
	return to
}

// mustBackOff reports whether a daemon must back off from a replica at a time.
func (j *checker) mustBackOff(replica string, d processID, at time.Time) bool {
	for i := range j.backoffs[d] {
		a := &j.backoffs[d][i]
		if a.replica == replica && !at.Before(a.at) && at.Before(a.at.Add(a.duration)) {
			return true
		}
	}
	return false
}

// arrivalsByPath returns the arrival times of requests by replica and daemon process, without
// those that a fault of the replica or its link, or a partition, may have delayed.
func (j *checker) arrivalsByPath() map[path][]time.Time {
	out := make(map[path][]time.Time)
	for _, r := range j.order {
		for _, a := range r.arrivals {
			if !j.mayBeDelayed(r, &a) {
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
