// This file records and checks how the capacity of a crowded service is shared.
//
// The inputs are the requests that callers sent to the service, with their workspaces and urgencies,
// how each was answered, and when each was at which replica, running or queued there. A time is calm
// if no daemon was disturbed or shut down in it, or within Recovery before it, and, but for QUEUED, no
// process stood still for disturbingStall. The rules, for times in which the service is crowded, from
// Settle after their start on:
//
//  1. PLACES: a replica holds no more requests than its slots plus extraPlaces, and no more than twice
//     as many in a time that isn't calm. The number is averaged over Window: a replica sees requests
//     that callers have left for a moment longer than the daemons do.
//  2. IDLE: in a calm time no request is refused as full if slots were idle from IdleTime before it was
//     sent until it was refused, more of them than planned returns were due, and no request waited.
//  3. QUEUED: in a calm time no request waits for longer than Decision and is then refused as full, unless
//     its deadline is near or it has been at a replica before. The time in which the process of its daemon,
//     or that of the run, stood still (stalls.go) does not count as waiting.
//  4. RETURN: in a calm time, while a planned return is valid, a request of its workspace and urgency is
//     not refused as full, unless another of them may have used the return. A return was planned if the
//     time to come back is less than returnFraction of what the caller has left.
//  5. SHARE: in a calm ShareWindow, the requests of a workspace that sends at most Modest of its equal
//     share of what its urgency class is served are not refused as full, except for MaxRefused of them,
//     while another of the class sends at least Greedy times as many.
//  6. URGENT: in a calm UrgencyWindow, of the requests of an urgency class, the share that is served is at
//     least that of each less urgent class, and at least half of that of each more urgent class. Both
//     are bounded with UrgencySlack.

package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// reasonFull is the reason of a refusal because no place is free in time.
const reasonFull = "upstreams_full"

// extraPlaces is the number of places of a replica beyond its slots. A place without a slot covers the
// time between the end of a request and the arrival of the next.
const extraPlaces = 2

// returnTime is how long a place is reserved for a caller that was told when to come back.
const returnTime = 150 * time.Millisecond

// returnFraction is the part of the time left after which callers are told to come back if no return is
// planned for them. Other times to come back are planned returns.
const returnFraction = 1.0 / 3

// crowdedBounds are the limits of the rules of crowded services.
type crowdedBounds struct {
	Settle        time.Duration // from the start of the load until all daemons ask for permits
	Recovery      time.Duration // from the end of a failure until the bounds of calm times hold
	Window        time.Duration // in which the requests at a replica are averaged
	Slack         float64       // in requests, for the average
	IdleTime      time.Duration // longer than a request usually takes
	Transit       time.Duration // from a caller to a replica, if there is a place
	Decision      time.Duration // from a caller until it is refused
	DeadlineSlack time.Duration
	ShareWindow   time.Duration
	Modest        float64 // of the equal share
	Greedy        float64 // times as many requests
	MaxRefused    float64 // of a modest workspace's requests
	MinRefused    int     // requests that may be refused, however few were sent
	UrgencyWindow time.Duration
	UrgencySlack  float64
	MinRequests   int // of each class in an UrgencyWindow
}

func defaultCrowdedBounds() crowdedBounds {
	return crowdedBounds{
		Settle: 2 * time.Second, Recovery: 2 * time.Second, Window: 500 * time.Millisecond, Slack: 0.25,
		IdleTime: 250 * time.Millisecond, Transit: 20 * time.Millisecond,
		Decision: 150 * time.Millisecond, DeadlineSlack: 100 * time.Millisecond,
		ShareWindow: 2 * time.Second, Modest: 0.9, Greedy: surgeFactor / 2, MaxRefused: 0.05, MinRefused: 2,
		UrgencyWindow: 5 * time.Second, UrgencySlack: 0.05, MinRequests: 50,
	}
}

// stay is a time in which a request is at a replica, running or queued.
type stay struct {
	from time.Time
	to   time.Time // zero: it is still there
}

// end returns when a stay ended, or now if it has not.
func (s *stay) end(now time.Time) time.Time {
	if s.to.IsZero() {
		return now
	}
	return s.to
}

// crowdedService is what is recorded of a crowded service.
type crowdedService struct {
	crowded []span             // while callers send more than it serves with ease
	slots   map[string]int     // by replica
	stays   map[string][]*stay // by replica
}

// crowdedService returns the record of a service. l.mu must be held.
func (l *Ledger) crowdedService(name string) *crowdedService {
	s := l.crowdedServices[name]
	if s == nil {
		s = &crowdedService{slots: make(map[string]int), stays: make(map[string][]*stay)}
		l.crowdedServices[name] = s
	}
	return s
}

// Crowds records a time in which callers send the load of a crowded service.
func (l *Ledger) Crowds(service string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.crowdedService(service)
	s.crowded = append(s.crowded, span{from, to})
}

// HasSlots records the slots of a replica of a crowded service.
func (l *Ledger) HasSlots(service, replica string, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crowdedService(service).slots[replica] = slots
}

// Enters records that a request is at a replica from now on, running or queued.
func (l *Ledger) Enters(service, replica string, at time.Time) *stay {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.crowdedService(service)
	here := &stay{from: at}
	s.stays[replica] = append(s.stays[replica], here)
	return here
}

// Leaves records the end of a stay: the request ended, or its daemon disconnected.
func (l *Ledger) Leaves(s *stay, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.to = at
}

// checkCrowded checks the crowded services.
func (j *checker) checkCrowded() {
	for name, s := range j.crowdedServices {
		c := &crowdedChecker{checker: j, crowdedService: s, name: name, bounds: defaultCrowdedBounds(), steps: make(map[string][]step)}
		for _, r := range j.order {
			if r.known && r.Service == name {
				c.requests = append(c.requests, r)
			}
		}
		slices.SortStableFunc(c.requests, func(a, b *record) int { return a.Sent.Compare(b.Sent) })
		for _, r := range c.requests {
			c.longest = max(c.longest, r.Deadline.Sub(r.Sent))
		}
		// The ledger is locked during a check: a search of all stays for each refusal would disturb the run.
		for replica, list := range s.stays {
			c.steps[replica] = stepsOf(list, j.now)
		}
		c.checkPlaces()
		c.checkRefusals()
		c.checkReturns()
		c.eachWindow(c.bounds.ShareWindow, c.checkShare)
		c.eachWindow(c.bounds.UrgencyWindow, c.checkUrgency)
	}
}

// crowdedChecker checks one crowded service.
type crowdedChecker struct {
	*checker
	*crowdedService
	name     string
	bounds   crowdedBounds
	requests []*record         // in the order in which they were sent
	longest  time.Duration     // from sending a request to its deadline
	steps    map[string][]step // by replica
}

// sentSince returns the requests that were sent at a time or later.
func (c *crowdedChecker) sentSince(from time.Time) []*record {
	i, _ := slices.BinarySearchFunc(c.requests, from, func(r *record, at time.Time) int { return r.Sent.Compare(at) })
	return c.requests[i:]
}

// isCalm reports whether no failure, and no process that stood still, may have had an effect in a time.
func (c *crowdedChecker) isCalm(from, to time.Time) bool {
	return c.isWithoutFailure(from, to) && !c.hasStalled(from.Add(-c.bounds.Recovery), to)
}

// isWithoutFailure reports whether no failure may have had an effect in a time.
func (c *crowdedChecker) isWithoutFailure(from, to time.Time) bool {
	from = from.Add(-c.bounds.Recovery)
	for _, list := range c.daemons {
		if !noneOverlaps(list, from, to) {
			return false
		}
	}
	for _, list := range c.shutdowns {
		if !noneOverlaps(list, from, to) {
			return false
		}
	}
	for replica := range c.slots {
		if !noneOverlaps(c.replicas[replica], from, to) {
			return false
		}
	}
	return true
}

// isCrowded reports whether the service was crowded through a time, and for Settle before it.
func (c *crowdedChecker) isCrowded(from, to time.Time) bool {
	return slices.ContainsFunc(c.crowded, func(s span) bool {
		return !from.Before(s.from.Add(c.bounds.Settle)) && !to.After(s.to)
	})
}

// windows calls check for the windows of a length in which the service was crowded and that are over.
func (c *crowdedChecker) windows(length time.Duration, check func(from, to time.Time)) {
	for _, s := range c.crowded {
		for from := s.from.Add(c.bounds.Settle); !from.Add(length).After(s.to) && !from.Add(length).After(c.now); from = from.Add(length) {
			check(from, from.Add(length))
		}
	}
}

func (c *crowdedChecker) violated(promise, subject string, at time.Time, format string, args ...any) {
	c.out = append(c.out, Violation{Promise: promise, Subject: subject, At: at, Detail: fmt.Sprintf(format, args...)})
}

// checkPlaces applies rule 1.
func (c *crowdedChecker) checkPlaces() {
	c.windows(c.bounds.Window, func(from, to time.Time) {
		for _, replica := range slices.Sorted(maps.Keys(c.slots)) {
			if !noneOverlaps(c.replicas[replica], from.Add(-c.bounds.Recovery), to) {
				continue // its link may have held requests up
			}
			places := float64(c.slots[replica] + extraPlaces)
			if !c.isCalm(from, to) {
				places *= 2
			}
			if mean := c.meanHeld(replica, from, to); mean > places+c.bounds.Slack {
				c.violated("PLACES", replica, from, "held %.2f requests on average of %v, %g are allowed", mean, c.bounds.Window, places)
			}
		}
	})
}

// meanHeld returns the mean number of requests at a replica in a time.
func (c *crowdedChecker) meanHeld(replica string, from, to time.Time) float64 {
	var sum float64
	c.eachStep(replica, from, to, func(held int, d time.Duration) { sum += float64(held) * float64(d) })
	return sum / float64(to.Sub(from))
}

// mostHeld returns the largest number of requests at a replica at any moment of a time.
func (c *crowdedChecker) mostHeld(replica string, from, to time.Time) int {
	most := 0
	c.eachStep(replica, from, to, func(held int, _ time.Duration) { most = max(most, held) })
	return most
}

// step is a number of requests at a replica from a time until that of the next step.
type step struct {
	at   time.Time
	held int
}

// stepsOf returns the number of requests at a replica over time.
func stepsOf(list []*stay, now time.Time) []step {
	type change struct {
		at time.Time
		by int
	}
	changes := make([]change, 0, 2*len(list))
	for _, s := range list {
		changes = append(changes, change{s.from, 1}, change{s.end(now), -1})
	}
	// At equal times one request leaves before another arrives.
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.by, b.by)) })
	out := make([]step, 0, len(changes))
	held := 0
	for _, ch := range changes {
		held += ch.by
		out = append(out, step{ch.at, held})
	}
	return out
}

// eachStep calls f with each number of requests at a replica in a time, and for how long it lasted.
func (c *crowdedChecker) eachStep(replica string, from, to time.Time, f func(held int, d time.Duration)) {
	steps := c.steps[replica]
	i, _ := slices.BinarySearchFunc(steps, from, func(s step, at time.Time) int {
		if s.at.After(at) {
			return 1
		}
		return -1 // the first step after from
	})
	held, since := 0, from
	if i > 0 {
		held = steps[i-1].held
	}
	for ; i < len(steps) && steps[i].at.Before(to); i++ {
		f(held, steps[i].at.Sub(since))
		held, since = steps[i].held, steps[i].at
	}
	f(held, to.Sub(since))
}

// isRefused reports whether a request was refused as full.
func (r *record) isRefused() bool { return r.answer != nil && r.answer.Reason == reasonFull }

// isServed reports whether a request was served.
func (r *record) isServed() bool { return r.answer != nil && r.answer.Status/100 == 2 }

// checkRefusals applies rules 2 and 3.
func (c *crowdedChecker) checkRefusals() {
	for _, r := range c.requests {
		if !r.isRefused() || !c.isCrowded(r.Sent, r.answer.At) || !c.isWithoutFailure(r.Sent, r.answer.At) {
			continue
		}
		at := r.answer.At
		if waited := at.Sub(r.Sent); waited > c.bounds.Decision && len(r.arrivals) == 0 && r.Deadline.Sub(at) > c.bounds.DeadlineSlack {
			if stalled := c.stalledFor(r.Daemon, r.Sent, at); waited-stalled > c.bounds.Decision {
				c.addTolerated("QUEUED", r, at, "was refused as full after it had waited for %v, through daemon %d, whose process or the run's stood still for %v of it", waited, r.Daemon, stalled)
			}
		}
		if !c.isCalm(r.Sent, at) {
			continue
		}
		from := r.Sent.Add(-c.bounds.IdleTime)
		idle := c.idleSlots(from, at)
		if idle == 0 {
			continue
		}
		if due := c.dueReturns(from, at); idle > due && !c.anyWaited(r, from, at) {
			c.add("IDLE", r, at, "was refused as full by daemon %d while %d slots were idle, %d returns were due, and no request waited", r.Daemon, idle, due)
		}
	}
}

// checkReturns applies rule 4.
func (c *crowdedChecker) checkReturns() {
	for _, r := range c.requests {
		if !r.isRefused() || !c.isPlanned(r) {
			continue
		}
		// The coordinator decided between the sending of r and its answer.
		earliest, latest := r.Sent.Add(r.answer.RetryAfter), r.answer.At.Add(r.answer.RetryAfter)
		refused, used := (*record)(nil), false
		for _, other := range c.sentSince(earliest.Add(-c.bounds.Transit)) {
			if !other.Sent.Before(earliest.Add(returnTime)) {
				break
			}
			if other.Workspace != r.Workspace || other.Urgency != r.Urgency {
				continue
			}
			switch {
			case !other.isRefused():
				used = true
			case refused == nil && !other.Sent.Before(latest) && other.answer.At.Before(earliest.Add(returnTime)):
				refused = other
			}
		}
		if refused != nil && !used && c.isCrowded(r.Sent, refused.answer.At) && c.isCalm(r.Sent, refused.answer.At) {
			c.addTolerated("RETURN", refused, refused.answer.At, "was refused as full by daemon %d although a return of %s was planned since %v", refused.Daemon, r.Workspace, refused.Sent.Sub(latest))
		}
	}
}

// isPlanned reports whether the time to come back of a refused request is a planned return.
func (c *crowdedChecker) isPlanned(r *record) bool {
	left := r.Deadline.Sub(r.answer.At)
	return r.answer.RetryAfter > 0 && r.answer.RetryAfter < time.Duration(returnFraction*float64(left))-c.bounds.Transit
}

// idleSlots returns how many slots of the service were idle through a time.
func (c *crowdedChecker) idleSlots(from, to time.Time) int {
	idle := 0
	for replica, slots := range c.slots {
		isThere := !c.joined[c.name][replica].After(from.Add(-c.bounds.Settle)) && noneOverlaps(c.departures[replica], from, to)
		if isThere && !c.isIneligible(replica, from) && !c.isIneligible(replica, to) {
			idle += max(0, slots-c.mostHeld(replica, from, to))
		}
	}
	return idle
}

// dueReturns returns how many callers were told to come back at a moment for which a place may have
// been reserved in a time.
func (c *crowdedChecker) dueReturns(from, to time.Time) int {
	n := 0
	for _, r := range c.sentSince(from.Add(-2 * c.longest)) { // the time to come back is before the deadline
		if r.Sent.After(to) {
			break
		}
		if r.isRefused() {
			due := r.answer.At.Add(r.answer.RetryAfter)
			if due.Before(to) && due.Add(returnTime).After(from) {
				n++
			}
		}
	}
	return n
}

// anyWaited reports whether a request other than r waited for a place in a time.
func (c *crowdedChecker) anyWaited(r *record, from, to time.Time) bool {
	for _, other := range c.sentSince(from.Add(-c.longest)) {
		if other.Sent.After(to) {
			break
		}
		if other == r {
			continue
		}
		until := c.now
		switch {
		case len(other.arrivals) > 0:
			until = other.arrivals[0].At
		case !other.disconnected.IsZero():
			until = other.disconnected
		case other.answer != nil:
			until = other.answer.At
		}
		// A request that is refused waits only for the decision.
		if began := other.Sent.Add(c.bounds.Transit); !other.isRefused() && began.Before(until) && began.Before(to) && until.After(from) {
			return true
		}
	}
	return false
}

// eachWindow calls check with the requests that were sent in each calm window of a length.
func (c *crowdedChecker) eachWindow(length time.Duration, check func(from time.Time, sent []*record)) {
	c.windows(length, func(from, to time.Time) {
		var sent []*record
		for _, r := range c.sentSince(from) {
			if !r.Sent.Before(to) {
				break
			}
			if r.answer == nil && r.disconnected.IsZero() && c.now.Before(r.Deadline) {
				return // not all requests are decided yet: that may take until their deadline
			}
			if r.disconnected.IsZero() {
				sent = append(sent, r)
			}
		}
		if c.isCalm(from, to) {
			check(from, sent)
		}
	})
}

// counts are the requests of a workspace or a class in a window.
type counts struct{ sent, served, refused int }

func (n *counts) add(r *record) {
	n.sent++
	if r.isServed() {
		n.served++
	}
	if r.isRefused() {
		n.refused++
	}
}

// checkShare applies rule 5.
func (c *crowdedChecker) checkShare(from time.Time, sent []*record) {
	classes := make(map[int]map[string]*counts)
	for _, r := range sent {
		if classes[r.Urgency] == nil {
			classes[r.Urgency] = make(map[string]*counts)
		}
		if classes[r.Urgency][r.Workspace] == nil {
			classes[r.Urgency][r.Workspace] = &counts{}
		}
		classes[r.Urgency][r.Workspace].add(r)
	}
	for urgency, class := range classes {
		served, most := 0, 0
		for _, n := range class {
			served, most = served+n.served, max(most, n.sent)
		}
		equal := float64(served) / float64(len(class))
		for name, n := range class {
			isModest := float64(n.sent) <= c.bounds.Modest*equal && float64(most) >= c.bounds.Greedy*float64(n.sent)
			if allowed := max(c.bounds.MinRefused, int(c.bounds.MaxRefused*float64(n.sent))); isModest && n.refused > allowed {
				c.violated("SHARE", fmt.Sprintf("%s %s %v", c.name, name, from.UnixMilli()), from,
					"%d of %d requests in %v were refused as full, %d are allowed; the equal share is %.0f, another workspace of urgency %d sent %d", n.refused, n.sent, c.bounds.ShareWindow, allowed, equal, urgency, most)
			}
		}
	}
}

// checkUrgency applies rule 6.
func (c *crowdedChecker) checkUrgency(from time.Time, sent []*record) {
	classes := make(map[int]*counts)
	for _, r := range sent {
		if classes[r.Urgency] == nil {
			classes[r.Urgency] = &counts{}
		}
		classes[r.Urgency].add(r)
	}
	for urgent, more := range classes {
		for other, less := range classes {
			if other <= urgent || min(more.sent, less.sent) < c.bounds.MinRequests {
				continue
			}
			a, b := share(more.served, more.sent), share(less.served, less.sent)
			if b > a+c.bounds.UrgencySlack || b < a/2-c.bounds.UrgencySlack {
				c.violated("URGENT", fmt.Sprintf("%s %d %d %v", c.name, urgent, other, from.UnixMilli()), from,
					"%.2f of %d requests of urgency %d were served, and %.2f of %d of urgency %d", a, more.sent, urgent, b, less.sent, other)
			}
		}
	}
}
