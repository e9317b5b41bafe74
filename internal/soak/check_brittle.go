// This file records and checks what becomes of a service whose replicas are brittle.
//
//  1. LIMIT: in one spell replicas fall at most AllowedFalls times plus a tenth of their number. A fall
//     counts if most of what the replica rejected in the second before it came from undisturbed daemons.
//  2. RECOVER: from Settle after the queues became shorter until the end of the spell, of the calls that
//     begin, at least MinServed of the share is served for which the slots have room: those of replicas that
//     other faults left alone, also if they fell. A fleet that refuses everything makes no replica fall.

package soak

import (
	"fmt"
	"slices"
	"time"
)

// brittleBounds are the limits of the rules of brittle services.
type brittleBounds struct {
	AllowedFalls int // beside a tenth of the replicas
	Settle       time.Duration
	MinServed    float64
	MinCalls     int
}

// brittleSpan is a spell as it was played.
type brittleSpan struct {
	service    string
	spell      BrittleSpell
	bitesAt    time.Time
	until      time.Time
	falls      []replicaEvent
	rejections []replicaRejection
}

// replicaEvent is something that happened to a replica.
type replicaEvent struct {
	replica string
	at      time.Time
}

// replicaRejection is a request that a replica rejected because it was full.
type replicaRejection struct {
	replicaEvent
	request string
}

// crowdedCall is a caller's request to the crowded service, with all its returns.
type crowdedCall struct {
	begun  time.Time
	daemon int // that the first try was sent to
	served bool
	ended  bool
}

// setCrowdedPlan sets the plan of the crowded service, before the run.
func (l *Ledger) setCrowdedPlan(c *Crowded) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crowdedPlan = c
}

// BrittleFrom records the begin of a spell.
func (l *Ledger) BrittleFrom(service string, spell BrittleSpell, bitesAt, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brittle = append(l.brittle, brittleSpan{service: service, spell: spell, bitesAt: bitesAt, until: until})
}

// Fell records that a replica terminated because it had to reject too much.
func (l *Ledger) Fell(service, replica string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.spellAt(service, at); b != nil {
		b.falls = append(b.falls, replicaEvent{replica, at})
	}
}

// RejectedWhileBrittle records that a brittle replica rejected a request because it was full.
func (l *Ledger) RejectedWhileBrittle(service, replica, request string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.spellAt(service, at); b != nil {
		b.rejections = append(b.rejections, replicaRejection{replicaEvent{replica, at}, request})
	}
}

// spellAt returns the spell of a service at a time, or nil. l.mu must be held.
func (l *Ledger) spellAt(service string, at time.Time) *brittleSpan {
	for i := range l.brittle {
		if b := &l.brittle[i]; b.service == service && !at.Before(b.bitesAt) && at.Before(b.until) {
			return b
		}
	}
	return nil
}

// CallBegan records the first try of a call to the crowded service.
func (l *Ledger) CallBegan(at time.Time, daemon int) *crowdedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &crowdedCall{begun: at, daemon: daemon}
	l.crowdedCalls = append(l.crowdedCalls, c)
	return c
}

// CallEnded records whether one of the tries of a call was served.
func (l *Ledger) CallEnded(c *crowdedCall, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.served, c.ended = served, true
}

// BrittleResult is what became of a service in one spell.
type BrittleResult struct {
	Spell    BrittleSpell `json:"spell"`
	Falls    int          `json:"falls"`
	Counted  int          `json:"counted"` // falls that undisturbed daemons caused
	Allowed  int          `json:"allowed"`
	Rejected int          `json:"rejected"`    // by replicas, while their queues were short
	ByDaemon float64      `json:"most_by_one"` // largest share of the rejections that one daemon sent
	// AsRetry is the share of the rejections at replicas that were not the first one of the request.
	AsRetry float64 `json:"rejected_as_retry"`
	// Refused are the requests that daemons refused while the queues were short, by reason.
	Refused map[string]int `json:"refused"`
	Before  float64        `json:"share_before"` // of the calls that were served before the spell
	Warning float64        `json:"share_warning"`
	Share   float64        `json:"share_brittle"`
	Room    float64        `json:"room"` // share for which the slots have room
	Calls   int            `json:"calls"`
}

// brittleResult judges one spell.
func (j *checker) brittleResult(c *Crowded, b *brittleSpan) BrittleResult {
	announced := b.bitesAt.Add(-brittleWarning)
	out := BrittleResult{
		Spell: b.spell, Falls: len(b.falls), Allowed: j.bounds.Brittle.AllowedFalls + c.Replicas/10, Rejected: len(b.rejections),
		Counted: j.countedFalls(b), ByDaemon: j.mostByOne(b),
		AsRetry: j.rejectedAsRetry(b), Refused: j.refusalsBy(b),
	}
	out.Before, _ = j.callsServed(announced.Add(-time.Second), announced)
	out.Warning, _ = j.callsServed(announced, b.bitesAt)
	out.Share, out.Calls = j.callsServed(b.bitesAt.Add(j.bounds.Brittle.Settle), b.until)
	from := b.bitesAt.Add(j.bounds.Brittle.Settle)
	capacity := c.capacity() * share(j.roomAt(b, from), c.Replicas) * b.until.Sub(from).Seconds()
	out.Room = min(1, capacity/max(1, float64(j.callsBegun(from, b.until))))
	return out
}

// callsServed returns the share of the calls that began in a time and were served, and their number. Calls
// at daemons that were disturbed are left out.
func (j *checker) callsServed(from, to time.Time) (served float64, calls int) {
	n := 0
	for _, c := range j.crowdedCalls {
		if !c.ended || c.begun.Before(from) || !c.begun.Before(to) || !noneOverlaps(j.daemons[c.daemon], c.begun, c.begun.Add(crowdedTimeout)) {
			continue
		}
		calls++
		if c.served {
			n++
		}
	}
	return share(n, calls), calls
}

// roomAt returns how many replicas had room for requests from a time to the end of a spell: they were well all the
// time, in no evacuated domain, or fell.
func (j *checker) roomAt(b *brittleSpan, from time.Time) int {
	n := j.countUsable(b.service, from, b.until, func(replica string) bool {
		return noneOverlaps(j.evacuations[j.domains[replica]], from.Add(-j.bounds.SyncTime), b.until)
	})
	fell := make(map[string]bool)
	for _, f := range b.falls {
		if joined := j.joined[b.service][f.replica]; joined.Before(from) {
			fell[f.replica] = true
		}
	}
	return n + len(fell)
}

// callsBegun returns the number of calls that began in a time, also at daemons that were disturbed.
func (j *checker) callsBegun(from, to time.Time) int {
	n := 0
	for _, c := range j.crowdedCalls {
		if !c.begun.Before(from) && c.begun.Before(to) {
			n++
		}
	}
	return n
}

// countedFalls returns how many falls of a spell undisturbed daemons caused.
func (j *checker) countedFalls(b *brittleSpan) int {
	n := 0
	for _, f := range b.falls {
		undisturbed, all := 0, 0
		for _, r := range b.rejections {
			if r.replica != f.replica || r.at.After(f.at) || f.at.Sub(r.at) > time.Second {
				continue
			}
			all++
			if q := j.requests[r.request]; q != nil && j.undisturbed(q.Daemon, r.at, r.at) {
				undisturbed++
			}
		}
		if 2*undisturbed > all {
			n++
		}
	}
	return n
}

// mostByOne returns the largest share of the rejected requests of a spell that one daemon sent.
func (j *checker) mostByOne(b *brittleSpan) float64 {
	byDaemon, most := make(map[int]int), 0
	for _, r := range b.rejections {
		if q := j.requests[r.request]; q != nil {
			byDaemon[q.Daemon]++
			most = max(most, byDaemon[q.Daemon])
		}
	}
	return share(most, len(b.rejections))
}

// rejectedAsRetry returns the share of the rejections of a spell at replicas that were not the first one of
// the request.
func (j *checker) rejectedAsRetry(b *brittleSpan) float64 {
	n := 0
	for _, r := range b.rejections {
		if q := j.requests[r.request]; q != nil && len(q.arrivals) > 0 && q.arrivals[0].Replica != r.replica {
			n++
		}
	}
	return share(n, len(b.rejections))
}

// refusalsBy returns how many requests daemons refused while the queues were short, by reason.
func (j *checker) refusalsBy(b *brittleSpan) map[string]int {
	out := make(map[string]int)
	for _, r := range j.order {
		if r.Service == b.service && r.answer != nil && r.answer.Reason != "" && !r.Sent.Before(b.bitesAt) && r.Sent.Before(b.until) {
			out[r.answer.Reason]++
		}
	}
	return out
}

// checkBrittle applies the rules to the spells that have ended.
func (j *checker) checkBrittle() {
	for i := range j.brittle {
		b := &j.brittle[i]
		if j.now.Before(b.until.Add(crowdedTimeout)) {
			continue
		}
		r := j.brittleResult(j.crowdedPlan, b)
		subject := fmt.Sprintf("brittle %s, spell %d", b.service, i)
		if r.Counted > r.Allowed {
			j.out = append(j.out, Violation{Promise: "LIMIT", Subject: subject, At: b.until, Detail: fmt.Sprintf(
				"replicas that were brittle fell %d times, %d are allowed; they rejected %d requests", r.Counted, r.Allowed, r.Rejected)})
		}
		if least := j.bounds.Brittle.MinServed * r.Room; r.Calls >= j.bounds.Brittle.MinCalls && r.Share < least {
			j.out = append(j.out, Violation{Promise: "RECOVER", Subject: subject, At: b.until, Detail: fmt.Sprintf(
				"%.3f of %d calls were served while replicas were brittle, there was room for %.3f", r.Share, r.Calls, r.Room)})
		}
	}
}

// BrittleResults returns what became of the service in each spell.
func (l *Ledger) BrittleResults(now time.Time) []BrittleResult {
	j := &checker{observations: l.snapshot(), now: now}
	var out []BrittleResult
	for i := range j.brittle {
		out = append(out, j.brittleResult(j.crowdedPlan, &j.brittle[i]))
	}
	return out
}

// copyBrittle replaces the records of brittle services by copies.
func (o *observations) copyBrittle() {
	o.brittle = slices.Clone(o.brittle)
	for i := range o.brittle {
		o.brittle[i].falls = slices.Clone(o.brittle[i].falls)
		o.brittle[i].rejections = slices.Clone(o.brittle[i].rejections)
	}
	o.crowdedCalls = clonePointers(o.crowdedCalls)
}
