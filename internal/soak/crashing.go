// This file plays requests that crash the replicas that run them, and judges what becomes of
// them: once such a request has ended three replicas, daemons in touch may let it reach three
// more, ever. Beside them some callers ask for one thing over and over, which must be served
// however many ends it was near.

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

// Crashing is a request that crashes each replica that begins to run it. It comes again and
// again, with the same path, caller and body, at any daemon.
type Crashing struct {
	Route int           `json:"route"` // number of its route
	At    time.Duration `json:"at"`    // when it comes first
	Every time.Duration `json:"every"` // mean pause between two tries
	// Late says that the replica has sent a part of its answer when it ends.
	Late bool `json:"late"`
}

// Figures of crashing requests.
const (
	leastEvery      = 150 * time.Millisecond
	mostEvery       = 500 * time.Millisecond
	latestCrashing  = 6 * time.Second
	crashWork       = 60 * time.Millisecond // at most, before the replica ends
	shortestRestart = 400 * time.Millisecond
	longestRestart  = 2 * time.Second
	sameIDRestart   = time.Second // at most, for one that comes back under its id

	crashingPath = "crashing-"
	latePath     = "-late"

	// One request in pollOneIn is the same as all others of its kind.
	pollOneIn  = 40
	pollTarget = prefixSafe + "status"
	pollKey    = "first-0"
)

// crashingBounds bound what becomes of a crashing request.
type crashingBounds struct {
	Ends int // replicas that it may end before it is known
	More int // arrivals at replicas later than Contact after the last of them
}

// drawCrashing adds the crashing requests of a seed, with draws of their own.
func (p *Plan) drawCrashing(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for range s.Crashing {
		p.Crashing = append(p.Crashing, Crashing{
			Route: rng.IntN(len(routes)), At: time.Duration(rng.Int64N(int64(latestCrashing))),
			Every: leastEvery + time.Duration(rng.Int64N(int64(mostEvery-leastEvery))), Late: rng.IntN(3) == 0,
		})
	}
}

// crasher is the caller of a crashing request.
type crasher struct {
	Crashing
	site   *site
	number int
	tries  int
}

// run sends the request until ctx ends, each time on a new connection to a daemon that is
// drawn. It does not wait as long as refusals ask it to.
func (c *crasher) run(ctx context.Context) {
	pause(ctx, c.At)
	for ctx.Err() == nil {
		out := &caller{site: c.site, number: rand.IntN(1 << 16)}
		if out.connect() {
			q := c.request(out)
			out.prepare(&q)
			out.roundTrip(&q)
			out.disconnect()
		}
		pause(ctx, c.Every/2+rand.N(c.Every))
	}
}

func (c *crasher) request(out *caller) Request {
	c.tries++
	route := routes[c.Route]
	q := Request{
		ID: fmt.Sprintf("x%d-%d", c.number, c.tries), Route: route, Key: pollKey, Crashing: c.number,
		Target: route.Prefix + crashingPath + itoa(c.number), Daemon: out.daemon, Incarnation: out.incarnation, Tokens: shortTokens,
	}
	if c.Late {
		q.Target += latePath
	}
	if route.Method == "POST" {
		q.Body = "crash"
	}
	return q
}

// crashingNumber returns the number of the crashing request that a path names; 0: none.
func crashingNumber(path string) int {
	_, rest, ok := strings.Cut(path, crashingPath)
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(strings.TrimSuffix(rest, latePath)) // a path of another form names none
	return n
}

// poll makes a request one that is asked for over and over.
func (c *caller) poll(q Request) Request {
	q.Route, q.Target, q.Key = routes[1], pollTarget, pollKey
	return q
}

// crash ends the replica under a request.
func (x *exchange) crash(number int) bool {
	if !x.work(rand.N(crashWork)) {
		x.finish(0)
		return false
	}
	if strings.HasSuffix(x.run.Target, latePath) {
		x.write(standin.StreamHead(x.id, x.ID, x.statementsWithLoad()))
		x.work(rand.N(crashWork))
	}
	x.finish(0)
	x.ledger.Crashed(number, x.ID, time.Now())
	x.crashed()
	return false
}

// crashedByRequest ends a replica, and starts another one at its place a while later, or the
// same one again under its id.
func (s *site) crashedByRequest(p *place, r *Replica) {
	if !s.tryMarkIdle(p, r) {
		r.Terminate()
		return
	}
	from := time.Now()
	s.ledger.DisturbReplica(r.ID, from, from.Add(time.Hour))
	s.endReplica(p, r)
	go func() {
		ctx := s.fleet.ctx
		if rand.IntN(2) == 0 {
			pause(ctx, shortestRestart+rand.N(sameIDRestart-shortestRestart))
			s.ledger.CalmReplica(r.ID, from, time.Now())
			if ctx.Err() == nil && p.link.Reopen() == nil {
				_ = s.startAs(r.ID, p, r.Service)
			}
			return
		}
		expiry := time.AfterFunc(expiryTime, func() { s.deleteEntry(r) })
		pause(ctx, shortestRestart+rand.N(longestRestart-shortestRestart))
		if expiry.Stop() {
			s.deleteEntry(r)
		}
		s.ledger.CalmReplica(r.ID, from, time.Now())
		if ctx.Err() == nil {
			_ = s.beginAgain(p, r.Service)
		}
	}()
}

// endReplica ends a replica. Where the site's replicas refuse, new connections are refused
// until another one begins at its place.
func (s *site) endReplica(p *place, r *Replica) {
	if s.refuses {
		p.link.Close()
	}
	r.Terminate()
}

// beginAgain starts a replica at a place whose last one has ended.
func (s *site) beginAgain(p *place, service string) error {
	if s.refuses {
		if err := p.link.Reopen(); err != nil {
			return err
		}
	}
	return s.startNew(p, service)
}

// crash is the end of a replica under a crashing request.
type crash struct {
	replica string
	at      time.Time
}

// Crashed notes that a crashing request ended a replica.
func (l *Ledger) Crashed(number int, replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := func(c crash) bool { return c.replica == replica && at.Sub(c.at) < shortestRestart }
	if !slices.ContainsFunc(l.crashes[number], same) {
		l.crashes[number] = append(l.crashes[number], crash{replica, at})
	}
}

// judgeCrashing looks for crashing requests that went on reaching replicas.
func (j *judgement) judgeCrashing() {
	for number, ends := range j.crashes {
		if len(ends) < j.bounds.Crashing.Ends {
			continue
		}
		third := ends[j.bounds.Crashing.Ends-1].at
		var late []time.Time
		for _, r := range j.order {
			if r.known && r.Crashing == number {
				late = append(late, j.lateArrivals(r, third.Add(j.bounds.Contact))...)
			}
		}
		if len(late) > j.bounds.Crashing.More {
			slices.SortFunc(late, time.Time.Compare)
			j.out = append(j.out, Violation{
				Promise: "BUDGET", Subject: crashingPath + itoa(number), At: late[j.bounds.Crashing.More],
				Detail: fmt.Sprintf("reached replicas %d times more after it had ended the third, %d are allowed; it ended %d", len(late), j.bounds.Crashing.More, len(ends)),
			})
		}
	}
}

// lateArrivals returns when a request reached replicas after a time by way of a daemon in touch.
func (j *judgement) lateArrivals(r *record, after time.Time) []time.Time {
	var out []time.Time
	for _, a := range r.arrivals {
		held := !calm(j.replicas[a.Replica], r.Sent, a.At)
		if a.At.After(after) && !held && j.inTouch(r.Daemon, a.At, a.At) {
			out = append(out, a.At)
		}
	}
	return out
}

// Ends returns how many replicas crashing requests ended.
func (l *Ledger) Ends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, ends := range l.crashes {
		n += len(ends)
	}
	return n
}

// judgeInnocent looks for ordinary requests that were refused as if replicas ended under them.
// One that is the same as others may have been beside three ends in a row, for which it is
// held back; at the end of the quiet time a whole answer has acquitted it.
func (j *judgement) judgeInnocent(r *record) {
	isPoll := r.Target == pollTarget
	if r.Crashing == 0 && r.answer.Held && (!isPoll || r.Sent.After(j.quietFrom) && !j.quietFrom.IsZero()) {
		j.add("HELD", r, r.answer.At, "daemon %d held back a request for %s, which crashes no replica", r.Daemon, r.Target)
	}
}

// EndsSoon notes that requests sent from now on must be served.
func (l *Ledger) EndsSoon(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quietFrom = at
}
