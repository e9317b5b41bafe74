// This file sends requests that crash the replicas that run them, and checks that they are
// quarantined: once such a request has crashed three replicas, daemons that are up to date may
// let it reach three more, ever. Meanwhile some callers repeat one harmless request, which must
// be served however many crashes it was in flight beside.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Crashing is a request that crashes each replica that begins to run it. It is sent repeatedly,
// with the same path, caller and body, to any daemon.
type Crashing struct {
	Route    int           `json:"route"` // number of its route
	At       time.Duration `json:"at"`    // when it is first sent
	Interval time.Duration `json:"every"` // mean pause between two attempts
	// MidResponse says that the replica has sent part of its response when it crashes.
	MidResponse bool `json:"late"`
}

// Parameters of crashing requests.
const (
	minInterval           = 150 * time.Millisecond
	maxInterval           = 500 * time.Millisecond
	maxCrashingStart      = 6 * time.Second
	maxCrashDelay         = 60 * time.Millisecond // at most, before the replica crashes
	minRestartDelay       = 400 * time.Millisecond
	maxRestartDelay       = 2 * time.Second
	maxSameIDRestartDelay = time.Second // at most, for one that restarts under the same id

	crashingPathPrefix = "crashing-"
	midResponseSuffix  = "-late"

	// One request in pollOneIn is a poll; all polls are identical.
	pollOneIn  = 40
	pollTarget = prefixSafe + "status"
	pollKey    = "first-0"
)

// crashingBounds limits how far a crashing request may spread.
type crashingBounds struct {
	Crashes       int // replicas that it may crash before it must be quarantined
	LaterArrivals int // arrivals at replicas later than SyncTime after the last of these crashes
}

// drawCrashing adds the crashing requests of a seed, from a random source of their own.
func (p *Plan) drawCrashing(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for range s.Crashing {
		p.Crashing = append(p.Crashing, Crashing{
			Route: rng.IntN(len(routes)), At: time.Duration(rng.Int64N(int64(maxCrashingStart))),
			Interval: minInterval + time.Duration(rng.Int64N(int64(maxInterval-minInterval))), MidResponse: rng.IntN(3) == 0,
		})
	}
}

// crasher is the caller of a crashing request.
type crasher struct {
	Crashing
	site     *site
	number   int
	attempts int
}

// run sends the request until ctx is done, each time on a new connection to a random
// daemon. It ignores the backoff that refusals request.
func (c *crasher) run(ctx context.Context) {
	c.site.sendRepeatedly(ctx, c.At, c.Interval, c.request)
}

// sendRepeatedly sends requests from a time on until ctx is done, each on a new connection to a random
// daemon. It ignores the backoff that refusals request.
func (s *site) sendRepeatedly(ctx context.Context, at, interval time.Duration, newRequest func(out *caller) Request) {
	pause(ctx, at)
	for ctx.Err() == nil {
		out := &caller{site: s, number: rand.IntN(1 << 16)}
		if out.connect() {
			q := newRequest(out)
			out.prepare(&q)
			out.roundTrip(&q)
			out.disconnect()
		}
		pause(ctx, interval/2+rand.N(interval))
	}
}

func (c *crasher) request(out *caller) Request {
	c.attempts++
	route := routes[c.Route]
	q := Request{
		ID: fmt.Sprintf("x%d-%d", c.number, c.attempts), Route: route, Key: pollKey, Crashing: c.number,
		Target: route.Prefix + crashingPathPrefix + itoa(c.number), Daemon: out.daemon, Incarnation: out.incarnation, Tokens: shortTokens,
	}
	if c.MidResponse {
		q.Target += midResponseSuffix
	}
	if route.Method == "POST" {
		q.Body = "crash"
	}
	return q
}

// crashingNumber returns the number of the crashing request that a path names, or 0 for none.
func crashingNumber(path string) int {
	_, rest, ok := strings.Cut(path, crashingPathPrefix)
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(strings.TrimSuffix(rest, midResponseSuffix)) // a path of another form yields 0
	return n
}

// poll turns a request into one that is identical to all other polls.
func (c *caller) poll(q Request) Request {
	q.Route, q.Target, q.Key = routes[1], pollTarget, pollKey
	return q
}

// crash crashes the replica while it runs a request.
func (x *exchange) crash(number int) bool {
	if !x.work(rand.N(maxCrashDelay)) {
		x.finish(0)
		return false
	}
	if strings.HasSuffix(x.run.Target, midResponseSuffix) {
		x.write(standin.StreamHead(x.id, x.ID, x.statementsWithLoad()))
		x.work(rand.N(maxCrashDelay))
	}
	x.breakOffWith(0)
	x.ledger.Crashed(number, x.ID, time.Now())
	x.crashed()
	return false
}

// restartAfterCrash terminates a replica, and after a delay starts another one in its place, or
// the same one again under its id.
func (s *site) restartAfterCrash(p *place, r *Replica) {
	if !s.tryMarkIdle(p, r) {
		r.Terminate()
		return
	}
	from := time.Now()
	s.ledger.DisturbReplica(r.ID, from, from.Add(time.Hour))
	s.terminateReplica(p, r)
	go func() {
		ctx := s.fleet.ctx
		if rand.IntN(2) == 0 {
			pause(ctx, minRestartDelay+rand.N(maxSameIDRestartDelay-minRestartDelay))
			s.ledger.EndReplicaDisturbance(r.ID, from, time.Now())
			s.mu.Lock()
			p.version = s.versions.restartVersion(p.version)
			s.mu.Unlock()
			if ctx.Err() == nil && p.link.Reopen() == nil {
				_ = s.startAs(r.ID, p, r.Service)
			}
			return
		}
		expiry := time.AfterFunc(expiryTime, func() { s.deleteEntry(r) })
		pause(ctx, minRestartDelay+rand.N(maxRestartDelay-minRestartDelay))
		if expiry.Stop() {
			s.deleteEntry(r)
		}
		s.ledger.EndReplicaDisturbance(r.ID, from, time.Now())
		if ctx.Err() == nil {
			_ = s.startReplacement(p, r.Service)
		}
	}()
}

// terminateReplica terminates a replica. Where the site's replicas refuse, new connections are refused
// until another one starts in its place.
func (s *site) terminateReplica(p *place, r *Replica) {
	if s.refuses {
		p.link.Close()
	}
	r.Terminate()
}

// startReplacement starts a replica in a place whose previous one has terminated.
func (s *site) startReplacement(p *place, service string) error {
	if s.refuses {
		if err := p.link.Reopen(); err != nil {
			return err
		}
	}
	return s.startNew(p, service)
}

// crash is one crash of a replica that a crashing request caused.
type crash struct {
	replica string
	at      time.Time
}

// Crashed records that a crashing request crashed a replica.
func (l *Ledger) Crashed(number int, replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := func(c crash) bool { return c.replica == replica && at.Sub(c.at) < minRestartDelay }
	if !slices.ContainsFunc(l.crashes[number], same) {
		l.crashes[number] = append(l.crashes[number], crash{replica, at})
	}
}

// checkCrashing reports crashing requests that kept reaching replicas.
func (j *checker) checkCrashing() {
	for number, ends := range j.crashes {
		if number >= crashingPartBase || len(ends) < j.bounds.Crashing.Crashes {
			continue
		}
		third := ends[j.bounds.Crashing.Crashes-1].at
		var late []time.Time
		for _, r := range j.order {
			if r.known && r.Crashing == number {
				late = append(late, j.lateArrivals(r, third.Add(j.bounds.SyncTime))...)
			}
		}
		if len(late) > j.bounds.Crashing.LaterArrivals {
			slices.SortFunc(late, time.Time.Compare)
			j.out = append(j.out, Violation{
				Promise: "BUDGET", Subject: crashingPathPrefix + itoa(number), At: late[j.bounds.Crashing.LaterArrivals],
				Detail: fmt.Sprintf("reached replicas %d more times after it had crashed the third, %d are allowed; it crashed %d", len(late), j.bounds.Crashing.LaterArrivals, len(ends)),
			})
		}
	}
}

// lateArrivals returns when a request reached replicas after a time through a daemon that was up
// to date.
func (j *checker) lateArrivals(r *record, after time.Time) []time.Time {
	var out []time.Time
	for _, a := range r.arrivals {
		if a.At.After(after) && !j.mayBeDelayed(r, &a) && j.upToDate(r.Daemon, a.At, a.At) {
			out = append(out, a.At)
		}
	}
	return out
}

// Crashes returns how many replicas crashing requests crashed.
func (l *Ledger) Crashes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, ends := range l.crashes {
		n += len(ends)
	}
	return n
}

// checkFalseQuarantine reports ordinary requests that were quarantined as if they crashed replicas.
// A poll may have been in flight at three crashes in a row, for which it is quarantined;
// by the end of the quiet time a complete response has cleared it.
func (j *checker) checkFalseQuarantine(r *record) {
	isPoll := r.Target == pollTarget
	if r.Crashing == 0 && r.answer.Quarantined && !j.metThreeCrashes(r) && (!isPoll || r.Sent.After(j.recoveryCheckFrom) && !j.recoveryCheckFrom.IsZero()) {
		j.add("HELD", r, r.answer.At, "daemon %d quarantined a request for %s, which crashes no replica", r.Daemon, r.Target)
	}
}

// metThreeCrashes reports whether a request resumes a stream whose earlier requests, which are the same
// content, were in flight at the crashes of three replicas: for that it is quarantined.
func (j *checker) metThreeCrashes(r *record) bool {
	if r.After == 0 && !isLongStream(r.ID) {
		return false
	}
	crashes := 0
	for _, earlier := range j.order {
		if !earlier.known || earlier.Target != r.Target || earlier.Key != r.Key || earlier.Sent.After(r.Sent) {
			continue
		}
		for _, a := range earlier.arrivals {
			if !noneOverlaps(j.replicas[a.Replica], a.At, a.At.Add(earlier.Route.Timeout)) {
				crashes++
			}
		}
	}
	return crashes >= j.bounds.Crashing.Crashes
}

// BeginRecoveryCheck records the time from which requests that are sent must be served.
func (l *Ledger) BeginRecoveryCheck(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recoveryCheckFrom = at
}
