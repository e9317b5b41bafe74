// Overloaded replicas and hot prompts. This file decides which replicas are avoided for a moment
// because they report too many requests in flight, and how many homes a hot prompt has, that is,
// one that is requested far more often than others.
//
// The load bound of place.go is not enough in a large fleet. It uses a daemon's estimate of a
// replica's load, which covers a third of the load at 87 daemons and a sixth at 295, and is some
// seconds old. A prompt that is requested a dozen times a second overloads its one or two homes.
//
// The inputs are the load that a replica reports in each response, which is exact and current,
// and the reports of other daemons.
//
//  1. A replica is overloaded if it had more requests in flight than overloadFactor times the mean
//     of the latest reports that this daemon has from the replicas of the service, plus
//     overloadSlack.
//  2. The daemon that detects this reports it to the fleet at once. For overloadAge, or
//     overloadAgeSmall in a small fleet, all daemons treat the replica as too loaded (place.go,
//     rule 2). A long prompt still goes to its one home: copying long prompts costs more than an
//     overload that other prompts cause.
//  3. If the replica was among the homes of the request's prompt, the report also asks for more
//     homes: twice as many, or as many as it takes to bring the excess load half-way back to the
//     mean.
//  4. The largest number of homes that was asked for counts, whatever the order of the reports.
//     It is halved each homesHalfLife, so that a prompt that is no longer hot returns to the
//     usual number.
//  5. Every daemon forwards what is new to it, once, up to overloadsPerSecond: the reports that ask
//     for the most homes first, and none older than overloadAge.
//
// With half of a route's requests about one subject, 3 to 7% of the requests of five seconds
// reached a replica with over twice the mean plus 3 requests at 87 daemons, and 6 to 13% at 295.
// With these rules it was 0.1 to 0.7% and 0.8 to 1.6% (virtual time, three seeds). A replica
// that is overloaded by chance costs one copy for each short prompt that is placed elsewhere
// meanwhile. A service whose replicas report no load has no overloaded ones.

package routing

import (
	"math"
	"sync"
	"time"
)

// OverloadReport is a daemon's report that a replica was found overloaded.
type OverloadReport struct {
	Replica LoadKey
	// Prompt should have this many homes; 0 if the replica was not one of its homes.
	Prompt PromptKey
	Homes  uint16
	Age    time.Duration // since it was detected
}

const (
	// overloadFactor (a multiple of the mean) and overloadSlack (requests) stay below the bound
	// that is promised: twice the mean plus 3.
	overloadFactor = 1.8
	overloadSlack  = 2.5
	// overloadAge is how long an overloaded replica is avoided in a large fleet; its requests take
	// .1 to 1.4 s. overloadAgeSmall applies in a small fleet, whose daemons know all loads a
	// moment later: avoiding an overloaded replica for longer would only overload the next one.
	overloadAge      = 800 * time.Millisecond
	overloadAgeSmall = 300 * time.Millisecond
	// minHomesFactor is the smallest factor by which the number of homes grows. homesMargin is
	// how far beyond the bound the added homes bring the load back: if they only brought it back
	// to the bound, every second request would find the replica overloaded again.
	minHomesFactor = 2
	homesMargin    = 2
	// homesHalfLife is the half-life of the number of homes that a prompt needs, which decays
	// while no report raises it.
	homesHalfLife = 4 * time.Second
	// A report is forwarded only if it asks for at least forwardFactor times as many homes as are
	// known, or has a replica avoided for more than forwardAge longer.
	forwardFactor = 1.3
	forwardAge    = overloadAge / 2
	// maxDemands bounds the prompts with additional homes, and maxPendingOverloads the reports that
	// wait to be sent. Both are far above what twelve hot prompts cause.
	maxDemands          = 1000
	maxPendingOverloads = 200
	// overloadsPerSecond bounds the bandwidth that a daemon spends on reports: 20 of some 16 bytes
	// to five daemons are 1.6 KB/s. A fleet of 87 with 12 hot prompts has 8 to 16 a second.
	overloadsPerSecond = 20
)

// Overloads tracks the overloaded replicas and the prompts that need additional homes. It is safe
// for concurrent use. A nil Overloads tracks nothing.
type Overloads struct {
	mu      sync.Mutex
	avoided map[LoadKey]time.Time // overloaded replicas, and when that was detected
	demands map[PromptKey]homesDemand
	loads   map[ServiceName]reportedLoads
	outbox  outbox[OverloadReport]
}

// homesDemand is how many homes a prompt needed at a point in time.
type homesDemand struct {
	homes float64
	at    time.Time
}

// remaining returns how many homes are still needed.
func (n homesDemand) remaining(now time.Time) float64 {
	return n.homes * math.Exp2(-float64(now.Sub(n.at))/float64(homesHalfLife))
}

// NewOverloads returns an empty tracker.
func NewOverloads() *Overloads {
	return &Overloads{
		avoided: make(map[LoadKey]time.Time), demands: make(map[PromptKey]homesDemand), loads: make(map[ServiceName]reportedLoads),
		outbox: outbox[OverloadReport]{
			notify: make(chan struct{}, 1), capacity: maxPendingOverloads, rate: overloadsPerSecond, maxAge: overloadAge,
			compare: func(a, b pendingReport[OverloadReport]) int { return int(b.report.Homes) - int(a.report.Homes) },
		},
	}
}

// Waiting returns a channel that receives a value when reports wait for [Overloads.TakeReports].
func (c *Overloads) Waiting() <-chan struct{} { return c.outbox.notify }

// homes returns how many homes a prompt has; base is the usual number for its size.
func (c *Overloads) homes(prompt uint64, base int, now time.Time) int {
	if c == nil {
		return base
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(base, int(c.demands[PromptKey(prompt)].remaining(now)))
}

// markAvoided sets the elements of overloaded whose replicas among the ready ones of a pool are
// overloaded.
func (c *Overloads) markAvoided(overloaded []bool, pool *Pool, largeFleet bool, now time.Time) {
	if c == nil {
		return
	}
	age := overloadAgeSmall
	if largeFleet {
		age = overloadAge
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, at := range c.avoided {
		if now.Sub(at) >= age {
			delete(c.avoided, key)
			continue
		}
		if i, ok := pool.positions.lookup(key); ok {
			overloaded[i] = true
		}
	}
}

// reportLoad records how many requests the target had in flight when a request reached it, and
// reports whether it was overloaded.
func (c *Overloads) reportLoad(r *Request, t *Target, inFlight int, now time.Time) bool {
	if c == nil || len(r.Prompt) == 0 {
		return false
	}
	report, found := c.detectOverload(r, t, inFlight, now)
	if found {
		c.record(report, now, now)
	}
	return found
}

// detectOverload applies rules 1 and 3.
func (c *Overloads) detectOverload(r *Request, t *Target, inFlight int, now time.Time) (OverloadReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := c.loads[r.Service]
	if loads == nil {
		loads = make(reportedLoads)
		c.loads[r.Service] = loads
	}
	loads[t.Replica.LoadKey()] = reportedLoad{requests: inFlight, at: now}
	mean, known := loads.mean(now)
	limit := overloadFactor*mean + overloadSlack
	if known < min(minReports, t.replicas/2) || float64(inFlight) <= limit {
		return OverloadReport{}, false
	}
	report := OverloadReport{Replica: t.Replica.LoadKey()}
	if t.Rank < t.homes {
		grow := max(minHomesFactor, homesMargin*(float64(inFlight)-mean)/(limit-mean))
		report.Prompt, report.Homes = PromptKey(r.Key()), saturate(min(t.replicas, int(math.Ceil(grow*float64(t.homes)))))
	}
	return report, true
}

// Observe records a peer's reports.
func (c *Overloads) Observe(reports []OverloadReport, now time.Time) {
	for _, r := range reports {
		c.record(r, now.Add(-r.Age), now)
	}
}

// record records a report of something that was detected at the given time, and queues it for
// forwarding if it is new.
func (c *Overloads) record(r OverloadReport, at, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.markOverloaded(r.Replica, at, now)
	isNew = c.raiseDemand(r, at, now) || isNew
	if isNew {
		c.outbox.add(r, at)
	}
}

// markOverloaded marks a replica as overloaded. It reports whether that is new enough to forward.
func (c *Overloads) markOverloaded(replica LoadKey, at, now time.Time) bool {
	known := c.avoided[replica]
	if now.Sub(at) >= overloadAge || !at.After(known) {
		return false
	}
	c.avoided[replica] = at
	return at.Sub(known) > forwardAge
}

// raiseDemand raises the number of homes of a prompt if the report asks for more than are known. It
// reports whether the increase is large enough to forward.
func (c *Overloads) raiseDemand(r OverloadReport, at, now time.Time) bool {
	need := homesDemand{homes: float64(r.Homes), at: at}
	asked, known := need.remaining(now), c.demands[r.Prompt].remaining(now)
	if asked < 1 || asked <= known {
		return false
	}
	if len(c.demands) >= maxDemands {
		c.pruneDemands(now)
	}
	if len(c.demands) >= maxDemands {
		return false
	}
	c.demands[r.Prompt] = need
	return asked >= forwardFactor*known
}

// pruneDemands drops the prompts that no longer need additional homes.
func (c *Overloads) pruneDemands(now time.Time) {
	for prompt, need := range c.demands {
		if need.remaining(now) <= 1 {
			delete(c.demands, prompt)
		}
	}
}

// TakeReports returns up to n reports to forward to peers, within overloadsPerSecond. The others
// are dropped: they would be out of date by the time they could be sent.
func (c *Overloads) TakeReports(n int, now time.Time) []OverloadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.take(n, now, func(r OverloadReport, age time.Duration) OverloadReport {
		r.Age = age
		return r
	})
}
