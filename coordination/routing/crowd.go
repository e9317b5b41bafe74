// This file keeps replicas from being crowded: it decides which replicas are avoided for
// a moment because they hold too much, and how many homes a prompt has that is asked for far
// more often than others.
//
// The bound of place.go can't do that in a large fleet. It compares what a daemon knows of a
// replica's load, which is a third of it at 87 daemons and a sixth at 295, of a moment some
// seconds ago; and one prompt asked for a dozen times a second fills its one or two homes.
//
// Inputs: the load that a replica reports on each answer, which is exact and of this moment,
// and the reports of other daemons. The rule:
//
//  1. A replica is crowded if it held more than crowdedFactor times the mean of what the
//     replicas of its service reported last to this daemon, plus crowdedSlack requests.
//  2. The daemon that finds it so reports that to the fleet at once. For crowdedAge, in a small
//     fleet crowdedAgeSmall, it is too loaded for all daemons (place.go, rule 2). A long prompt goes on at its one home
//     all the same: copies of long prompts cost more than a crowd that others caused.
//  3. If the replica was among the homes of the request's prompt, the report also asks for
//     more homes: twice as many, or as many as bring the crowd half-way back to the mean.
//  4. Of the homes that are asked for the most count, whatever the order of the reports, and
//     they are halved each homesHalfLife, so that a prompt that is no longer hot goes back to
//     the homes of others.
//  5. Every daemon passes on what is new to it, once, up to crowdsPerSecond: those that ask
//     for the most homes first, and none that is older than crowdedAge.
//
// With half of a route's requests about one subject, 3 to 7% of the requests of five seconds
// reached a replica over twice the mean and 3 at 87 daemons, 6 to 13% at 295; by this rule
// 0.1 to 0.7% and 0.8 to 1.6% (virtual time, three seeds). A replica that is crowded by
// chance costs a copy for each short prompt that goes elsewhere meanwhile. A service whose
// replicas report no load has no crowded ones.

package routing

import (
	"math"
	"sync"
	"time"
)

// CrowdReport says that a replica was found crowded.
type CrowdReport struct {
	Replica LoadKey
	// Prompt needs this many homes; with 0 the replica was no home of it.
	Prompt PromptKey
	Homes  uint16
	Age    time.Duration // since it was found
}

const (
	// crowdedFactor (a multiple of the mean) and crowdedSlack (requests) stay below twice the mean and
	// 3, which is promised.
	crowdedFactor = 1.8
	crowdedSlack  = 2.5
	// crowdedAge is how long a crowded replica is avoided in a large fleet: its requests take .1 to
	// 1.4 s. crowdedAgeSmall holds in a small fleet, whose daemons know all loads a moment later:
	// what one crowded replica does not get for longer crowds the next.
	crowdedAge      = 800 * time.Millisecond
	crowdedAgeSmall = 300 * time.Millisecond
	// leastHomesFactor is the least factor by which homes grow, and homesMargin how far
	// beyond the bound they bring a crowd back: at the bound every second request would
	// find the replica crowded again.
	leastHomesFactor = 2
	homesMargin      = 2
	// homesHalfLife is the time in which the homes of a prompt are halved.
	homesHalfLife = 4 * time.Second
	// newsFactor is how many times as many homes as are known a report must ask for to be
	// passed on, and newsAge by how much longer it must have a replica avoided.
	newsFactor = 1.3
	newsAge    = crowdedAge / 2
	// maxNeeds bounds the prompts, and maxPendingCrowds the reports that wait to be sent.
	// Both are far above what twelve hot prompts cause.
	maxNeeds         = 1000
	maxPendingCrowds = 200
	// crowdsPerSecond bounds what a daemon spends on reports: 20 of some 16 bytes to five daemons are
	// 1.6 KB/s. A fleet of 87 with 12 hot prompts has 8 to 16 a second.
	crowdsPerSecond = 20
)

// Crowds knows the crowded replicas and the prompts that need more homes. It is safe for
// use by many goroutines. A nil one knows none.
type Crowds struct {
	mu      sync.Mutex
	avoided map[LoadKey]time.Time // crowded replicas, and when they were found so
	needs   map[PromptKey]homesNeed
	loads   map[ServiceName]reportedLoads
	outbox  outbox[CrowdReport]
}

// homesNeed is how many homes a prompt needed at a time.
type homesNeed struct {
	homes float64
	at    time.Time
}

// remaining returns how many of the homes are still needed.
func (n homesNeed) remaining(now time.Time) float64 {
	return n.homes * math.Exp2(-float64(now.Sub(n.at))/float64(homesHalfLife))
}

// NewCrowds returns an empty table.
func NewCrowds() *Crowds {
	return &Crowds{
		avoided: make(map[LoadKey]time.Time), needs: make(map[PromptKey]homesNeed), loads: make(map[ServiceName]reportedLoads),
		outbox: outbox[CrowdReport]{
			notify: make(chan struct{}, 1), capacity: maxPendingCrowds, rate: crowdsPerSecond, maxAge: crowdedAge,
			compare: func(a, b pendingReport[CrowdReport]) int { return int(b.report.Homes) - int(a.report.Homes) },
		},
	}
}

// Waiting has a value once reports wait for [Crowds.TakeReports].
func (c *Crowds) Waiting() <-chan struct{} { return c.outbox.notify }

// homes returns how many homes a prompt has; base is how many others of its size have.
func (c *Crowds) homes(prompt uint64, base int, now time.Time) int {
	if c == nil {
		return base
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(base, int(c.needs[PromptKey(prompt)].remaining(now)))
}

// mark marks the crowded ones among the ready replicas of a pool.
func (c *Crowds) mark(crowded []bool, pool *Pool, largeFleet bool, now time.Time) {
	if c == nil {
		return
	}
	age := crowdedAgeSmall
	if largeFleet {
		age = crowdedAge
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, at := range c.avoided {
		if now.Sub(at) >= age {
			delete(c.avoided, key)
			continue
		}
		if i, ok := pool.places.place(key); ok {
			crowded[i] = true
		}
	}
}

// reportLoad takes in how many requests the target held when a request reached it. It
// returns true if that is too many.
func (c *Crowds) reportLoad(r *Request, t *Target, held int, now time.Time) bool {
	if c == nil || len(r.Prompt) == 0 {
		return false
	}
	report, found := c.judge(r, t, held, now)
	if found {
		c.take(report, now, now)
	}
	return found
}

// judge applies the rules 1 and 3.
func (c *Crowds) judge(r *Request, t *Target, held int, now time.Time) (CrowdReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := c.loads[r.Service]
	if loads == nil {
		loads = make(reportedLoads)
		c.loads[r.Service] = loads
	}
	loads[t.Replica.LoadKey()] = reportedLoad{requests: held, at: now}
	mean, known := loads.mean(now)
	most := crowdedFactor*mean + crowdedSlack
	if known < min(leastReports, t.replicas/2) || float64(held) <= most {
		return CrowdReport{}, false
	}
	report := CrowdReport{Replica: t.Replica.LoadKey()}
	if t.Rank < t.homes {
		grow := max(leastHomesFactor, homesMargin*(float64(held)-mean)/(most-mean))
		report.Prompt, report.Homes = PromptKey(r.Key()), saturate(min(t.replicas, int(math.Ceil(grow*float64(t.homes)))))
	}
	return report, true
}

// Observe takes in a peer's reports.
func (c *Crowds) Observe(reports []CrowdReport, now time.Time) {
	for _, r := range reports {
		c.take(r, now.Add(-r.Age), now)
	}
}

// take takes in what was found at a time, and has it sent on if it is new.
func (c *Crowds) take(r CrowdReport, at, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := c.avoid(r.Replica, at, now)
	news = c.raise(r, at, now) || news
	if news {
		c.outbox.add(r, at)
	}
}

// avoid has a crowded replica avoided. It returns true if that is new.
func (c *Crowds) avoid(replica LoadKey, at, now time.Time) bool {
	known := c.avoided[replica]
	if now.Sub(at) >= crowdedAge || !at.After(known) {
		return false
	}
	c.avoided[replica] = at
	return at.Sub(known) > newsAge
}

// raise takes over how many homes a prompt needs if that is more than is known. It returns
// true if that is new.
func (c *Crowds) raise(r CrowdReport, at, now time.Time) bool {
	need := homesNeed{homes: float64(r.Homes), at: at}
	asked, known := need.remaining(now), c.needs[r.Prompt].remaining(now)
	if asked < 1 || asked <= known {
		return false
	}
	if len(c.needs) >= maxNeeds {
		c.forget(now)
	}
	if len(c.needs) >= maxNeeds {
		return false
	}
	c.needs[r.Prompt] = need
	return asked >= newsFactor*known
}

// forget drops the prompts that need no more homes than others.
func (c *Crowds) forget(now time.Time) {
	for prompt, need := range c.needs {
		if need.remaining(now) <= 1 {
			delete(c.needs, prompt)
		}
	}
}

// TakeReports returns up to n reports to pass on to peers, as far as crowdsPerSecond allows.
// The rest is dropped: when it could be sent it would be old.
func (c *Crowds) TakeReports(n int, now time.Time) []CrowdReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.take(n, now, func(r CrowdReport, age time.Duration) CrowdReport {
		r.Age = age
		return r
	})
}
