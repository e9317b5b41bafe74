// This file sends requests that share one part of their prompts, on which each replica crashes that
// begins to write a response, whatever else the request holds. No two of them are alike. It checks that
// once five replicas have crashed, daemons that are up to date let at most three more reach replicas, and
// that ordinary requests beside them are served as before.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/platform/standin"
)

// CrashingPart is a part of prompts that crashes replicas.
type CrashingPart struct {
	Route    int           `json:"route"` // number of the route of its requests
	At       time.Duration `json:"at"`    // when the first one is sent
	Interval time.Duration `json:"every"` // mean pause between two of them
}

// Parameters of crashing parts.
const (
	maxCrashingPartInterval = 500 * time.Millisecond
	// crashingPartBase is the number of the first crashing part among crashing requests.
	crashingPartBase   = 1000
	crashingPartPrefix = "dead"
	firstPart          = "aa" // of all prompts
	// maxCrashAfterEvent is how soon a replica crashes after it has begun to write, at most.
	maxCrashAfterEvent = 60 * time.Millisecond
	// rareParts is how many different middle parts ordinary requests with several parts have.
	rareParts = 60
)

// partBounds limits requests with a part that crashes replicas, and what others bear for them.
type partBounds struct {
	Crashes       int     // replicas that may crash before the part must be known
	LaterArrivals int     // arrivals at replicas later than SyncTime after the last of these crashes
	MinShare      float64 // of ordinary streams that begin at the first try, as a part of the share before
	MinRequests   int     // of each, for the comparison
}

// drawCrashingParts adds the crashing parts of a seed, from a random source of their own.
func (p *Plan) drawCrashingParts(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 11))
	streams := []int{2, 3}
	for range s.CrashingParts {
		p.CrashingParts = append(p.CrashingParts, CrashingPart{
			Route: streams[rng.IntN(len(streams))], At: 2*time.Second + time.Duration(rng.Int64N(int64(maxCrashingStart))),
			Interval: minInterval + time.Duration(rng.Int64N(int64(maxCrashingPartInterval-minInterval))),
		})
	}
}

// partCrasher is the caller of requests with one crashing part.
type partCrasher struct {
	CrashingPart
	site   *site
	number int
	sent   int
}

// run sends requests until ctx is done, each on a new connection to a random daemon.
func (c *partCrasher) run(ctx context.Context) {
	c.site.sendRepeatedly(ctx, c.At, c.Interval, c.request)
}

// request returns a request that is like no other but for the crashing part.
func (c *partCrasher) request(out *caller) Request {
	c.sent++
	route := routes[c.Route]
	q := Request{
		ID: fmt.Sprintf("y%d-%d", c.number, c.sent), Route: route, Key: c.site.drawValidKey(), Crashing: c.number, Body: strings.Repeat("b", 1+rand.IntN(500)),
		Target: fmt.Sprintf("%s%d?y=%d", route.Prefix, rand.IntN(100), c.sent), Daemon: out.daemon, Incarnation: out.incarnation,
		Subject: rand.IntN(chatTopics), Tokens: shortTokens,
	}
	dead, rare := fmt.Sprintf("%s%d", crashingPartPrefix, c.number), rarePart(rand.IntN(rareParts))
	q.Middle = []string{dead}
	switch rand.IntN(3) {
	case 0:
		q.Middle = []string{dead, rare}
	case 1:
		q.Middle = []string{rare, dead}
	}
	return q
}

func rarePart(n int) string { return fmt.Sprintf("c%d", n) }

// prompt returns the parts of a request's prompt, as it is sent.
func (q *Request) prompt() string {
	parts := []string{firstPart + ":800", fmt.Sprintf("%x:%d", q.Subject+1, q.Tokens)}
	for _, p := range q.Middle {
		parts = append(parts, p+":120")
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:250", hashOf(q.ID))), ",")
}

// crashingPart returns the number of the crashing part that a prompt holds, or 0.
func crashingPart(prompt string) int {
	for part := range strings.SplitSeq(prompt, ",") {
		id, _, _ := strings.Cut(part, ":")
		if rest, ok := strings.CutPrefix(id, crashingPartPrefix); ok {
			n := 0
			_, _ = fmt.Sscan(rest, &n) // a part of another form yields 0
			return n
		}
	}
	return 0
}

// crashWriting crashes the replica when it has begun to write the response.
func (x *exchange) crashWriting(number int) bool {
	if !x.work(x.workDuration(1)) || !x.write(x.framed(standin.StreamHead(x.id, x.ID, x.statementsWithLoad()))) {
		x.finish(0)
		return false
	}
	events, next := streamEvents(x.streamID()), x.head.LastEventID // a daemon that resumes the stream has the events before
	if rand.IntN(2) == 0 && next < len(events) {
		x.write(x.chunk(withVersion(events[next], x.version)))
	}
	x.work(rand.N(maxCrashAfterEvent))
	x.breakOffWith(0)
	x.ledger.Crashed(number, x.ID, time.Now())
	x.crashed()
	return false
}

// drawValidKey returns a random key that was never revoked.
func (s *site) drawValidKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[rand.IntN(min(3, len(s.keys)))].key
}

// HeldForParts returns how many ordinary requests were refused for a part of their prompts.
func (l *Ledger) HeldForParts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.order {
		if r.known && r.Crashing == 0 && r.answer != nil && r.answer.Reason == string(coordination.ReasonPartQuarantined) {
			n++
		}
	}
	return n
}

// checkCrashingParts reports parts that crash replicas and whose requests kept reaching them, and ordinary
// streams that begin far less often than before while such requests come.
func (j *checker) checkCrashingParts() {
	b := j.bounds.Parts
	for number, ends := range j.crashes {
		if number < crashingPartBase || len(ends) < b.Crashes {
			continue
		}
		fifth := ends[b.Crashes-1].at
		var late []time.Time
		for _, r := range j.order {
			if r.known && r.Crashing == number {
				late = append(late, j.lateArrivals(r, fifth.Add(j.bounds.SyncTime))...)
			}
		}
		if len(late) > b.LaterArrivals {
			slices.SortFunc(late, time.Time.Compare)
			j.out = append(j.out, Violation{
				Promise: "BUDGET", Subject: crashingPartPrefix + itoa(number), At: late[b.LaterArrivals],
				Detail: fmt.Sprintf("requests with this part reached replicas %d more times after it had crashed the fifth, %d are allowed; it crashed %d", len(late), b.LaterArrivals, len(ends)),
			})
		}
	}
	j.checkBesideCrashingParts()
}

// checkBesideCrashingParts compares ordinary streams from twice SyncTime after the fifth crash on, or after
// the last if there are fewer, with those of before the first crash, at daemons that are up to date. Those that
// other faults refuse don't count, nor those of moments in which these leave no replica, or fewer than half of the replicas
// that were usable at the first crash.
func (j *checker) checkBesideCrashingParts() {
	b := j.bounds.Parts
	var first, settled time.Time
	for number, ends := range j.crashes {
		if number < crashingPartBase {
			continue
		}
		if first.IsZero() || ends[0].at.Before(first) {
			first = ends[0].at
		}
		if at := ends[min(len(ends), b.Crashes)-1].at.Add(2 * j.bounds.SyncTime); at.After(settled) {
			settled = at
		}
	}
	if first.IsZero() {
		return
	}
	usable := j.usableReplicas(serviceChat, first, first)
	var before, beside tally
	for _, r := range j.order {
		if !r.known || !r.Route.Stream || r.Crashing > 0 || r.answer == nil || !r.disconnected.IsZero() || !j.upToDate(r.Daemon, r.Sent, r.answer.At) || j.runsPreviousBuild(r.by()) {
			continue
		}
		if slices.Contains(withheldReasons, r.answer.Reason) {
			continue
		}
		begins := btoi(r.answer.Status/100 == 2)
		switch {
		case r.Sent.Before(first.Add(-settling)):
			before = tally{before.served + begins, before.all + 1}
		case r.Sent.After(settled) && j.hasHalfUsable(r, usable):
			beside = tally{beside.served + begins, beside.all + 1}
		}
	}
	if min(before.all, beside.all) < b.MinRequests || share(beside.served, beside.all) >= b.MinShare*share(before.served, before.all) {
		return
	}
	j.out = append(j.out, Violation{
		Promise: "LOST", Subject: "beside crashing parts", At: j.now,
		Detail: fmt.Sprintf("%d of %d ordinary streams began beside requests with crashing parts, %d of %d before", beside.served, beside.all, before.served, before.all),
	})
}

// hasHalfUsable reports whether at least one replica, and at least half as many as a number, were usable while a stream was
// asked for. The number itself can be 0, where other faults left no replica.
func (j *checker) hasHalfUsable(r *record, usable int) bool {
	n := j.usableReplicas(serviceChat, r.Sent, r.answer.At)
	return n > 0 && 2*n >= usable
}
