// This file plans a crowded service: a plain service of few slots, and callers that ask for more than
// it can serve. Its load, the workspaces that send it, and the faults that are particular to it come
// from random sources of their own, so that the other faults of a seed don't depend on them.
//
// The rule of the load:
//
//  1. The load is a multiple of what the service can serve. It rises and falls in waves.
//  2. Requests arrive in bursts of one workspace each.
//  3. Each workspace usually sends an equal part. During its surge, a workspace sends surgeFactor
//     times as much; the others send what they usually do.

package soak

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Crowded is the crowded service of a run.
type Crowded struct {
	Seed     uint64 `json:"seed"`
	Replicas int    `json:"replicas"`
	// Slots are those of each replica; 0: gateSlots. Work is the usual time of a request; 0: crowdedWork.
	Slots int           `json:"slots,omitempty"`
	Work  time.Duration `json:"work,omitempty"`
	// Generates says that the service has a model and its requests have prompts.
	Generates bool `json:"generates,omitempty"`
	// Impatient is the share of the callers that return early, whatever they are told.
	Impatient  float64        `json:"impatient,omitempty"`
	Load       float64        `json:"load"`   // mean, as a multiple of what the service can serve
	Period     time.Duration  `json:"period"` // of the waves
	Workspaces []Sender       `json:"workspaces"`
	Surges     []Surge        `json:"surges"`
	Slow       []SlowSpell    `json:"slow"`
	Brittle    []BrittleSpell `json:"brittle,omitempty"`
}

// Sender is a workspace that sends requests to the crowded service.
type Sender struct {
	Name    string `json:"name"`
	Urgency int    `json:"urgency"` // 0 is the most urgent
}

// Surge is a time in which a workspace sends surgeFactor times its usual load.
type Surge struct {
	Workspace int           `json:"workspace"`
	At        time.Duration `json:"at"`
	For       time.Duration `json:"for"`
}

// SlowSpell is a time of slowPeriod in which a replica is slower by slowFactor.
type SlowSpell struct {
	Replica int           `json:"replica"`
	At      time.Duration `json:"at"`
}

// CrowdedArrival is one request that a workspace sends to the crowded service.
type CrowdedArrival struct {
	At        time.Duration
	Workspace int
}

// Faults of the daemon that coordinates the crowded service.
const (
	killCoordinator  faultKind = "kill_coordinator"  // SIGKILL, started again
	pauseCoordinator faultKind = "pause_coordinator" // SIGSTOP, SIGCONT later
	cutCoordinator   faultKind = "cut_coordinator"   // its failure domain is cut off from the others
)

// Parameters of the crowded service.
const (
	crowdedReplicas = 3
	// crowdedWork is the usual time of a request. Three replicas of gateSlots slots serve 112
	// requests a second. With twice as many, a play with a surge had a thousand requests a second, and
	// checks held the ledger for up to .2 s.
	crowdedWork = 160 * time.Millisecond
	minLoad     = 0.8
	maxLoad     = 1.4
	waveHeight  = 0.55 // of the mean load
	minPeriod   = 3 * time.Second
	maxPeriod   = 8 * time.Second
	burst       = 3
	// burstSpread is the time between the requests of a burst.
	burstSpread   = 2 * time.Millisecond
	surgeFactor   = 8
	surgeDuration = 4 * time.Second
	slowEvery     = 3 * time.Second // mean time between two slow spells
	// coordinatorFaultEvery is the mean time between two faults of the coordinator. A pause or a cut
	// lasts for pauseTime, which is the longest that the design covers.
	coordinatorFaultEvery = 9 * time.Second
	pauseTime             = 5 * time.Second

	sourceCrowded = 10 // random source of the plan
	sourceLoad    = 11 // random source of the arrivals
)

// senders are the workspaces that send to the crowded service: some in each of two urgencies.
var senders = []Sender{{"crowd-0", 0}, {"crowd-1", 0}, {"crowd-2", 0}, {"crowd-3", 1}, {"crowd-4", 1}}

var coordinatorFaults = []faultKind{killCoordinator, pauseCoordinator, cutCoordinator}

// drawCrowded adds the crowded service of a seed, and the faults of its coordinator.
func (p *Plan) drawCrowded(seed uint64, s Shape) {
	if !s.Crowded {
		return
	}
	rng := rand.New(rand.NewPCG(seed, sourceCrowded))
	within := func() time.Duration { return time.Duration(rng.Int64N(int64(s.Trouble))) }
	c := &Crowded{
		Seed: seed, Replicas: crowdedReplicas, Load: minLoad + rng.Float64()*(maxLoad-minLoad),
		Period: minPeriod + time.Duration(rng.Int64N(int64(maxPeriod-minPeriod))), Workspaces: senders,
	}
	for range 1 + rng.IntN(2) {
		c.Surges = append(c.Surges, Surge{Workspace: rng.IntN(len(senders)), At: within(), For: surgeDuration})
	}
	for range int(s.Trouble / slowEvery) {
		c.Slow = append(c.Slow, SlowSpell{Replica: rng.IntN(c.Replicas), At: within()})
	}
	for range int(math.Ceil(float64(s.Trouble) / float64(coordinatorFaultEvery))) {
		p.Faults = append(p.Faults, Fault{At: within(), For: pauseTime, Kind: coordinatorFaults[rng.IntN(len(coordinatorFaults))], Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16)})
	}
	p.Crowded = c
}

// isBrittle reports whether the replicas are brittle at times.
func (c *Crowded) isBrittle() bool { return c != nil && len(c.Brittle) > 0 }

// slots returns the slots of each replica.
func (c *Crowded) slots() int {
	if c.Slots == 0 {
		return gateSlots
	}
	return c.Slots
}

// work returns the usual time of a request.
func (c *Crowded) work() time.Duration {
	if c.Work == 0 {
		return crowdedWork
	}
	return c.Work
}

// capacity returns how many requests a second the service can serve.
func (c *Crowded) capacity() float64 {
	return float64(c.Replicas*c.slots()) / c.work().Seconds()
}

// crowdedReplicas returns the number of replicas of the crowded service.
func (p *Plan) crowdedReplicas() int {
	if p.Crowded == nil {
		return 0
	}
	return p.Crowded.Replicas
}

// addTo adds the crowded service, its route and its workspaces to a configuration. Each workspace has
// its name as its key.
func (c *Crowded) addTo(config *standin.Config) {
	service := standin.Service{Name: serviceCrowded}
	if c.Generates {
		service.Engine = &standin.Engine{}
	}
	config.Services = append(config.Services, service)
	config.Routes = append(config.Routes, standin.Route{
		Name: crowdedRoute.Name, Host: routeHost, Prefix: crowdedRoute.Prefix, Kind: kindOf(crowdedRoute), TimeoutMS: crowdedRoute.Timeout.Milliseconds(),
		FirstByteMS: int(crowdedTarget.Milliseconds()), Service: serviceCrowded, Attempts: crowdedRoute.Attempts,
	})
	for _, w := range c.Workspaces {
		config.Workspaces = append(config.Workspaces, standin.Workspace{Name: w.Name, Keys: []string{w.Name}, Priority: w.Urgency})
	}
}

// setCrowded sets the crowded service of the site and records its workspaces and its route.
func (s *site) setCrowded(c *Crowded) {
	s.crowded = c
	s.ledger.setCrowdedPlan(c)
	for _, w := range c.Workspaces {
		s.ledger.KeyAdded(w.Name, w.Name, time.Time{})
	}
	s.ledger.RouteTo(crowdedRoute.Name, serviceCrowded, time.Time{})
}

// slowDown makes replicas of the crowded service slow at the planned times.
func (s *site) slowDown(ctx context.Context, begun time.Time, spells []SlowSpell) {
	for _, spell := range slices.SortedFunc(slices.Values(spells), func(a, b SlowSpell) int { return cmp.Compare(a.At, b.At) }) {
		pause(ctx, time.Until(begun.Add(spell.At)))
		if ctx.Err() != nil {
			return
		}
		n := 0
		s.mu.Lock()
		for _, p := range s.places {
			if r := p.current; r.crowded != nil {
				if n == spell.Replica {
					r.TurnSlow(time.Now().Add(slowPeriod))
				}
				n++
			}
		}
		s.mu.Unlock()
	}
}

// rate returns how many requests a second a workspace sends at a time.
func (c *Crowded) rate(workspace int, at time.Duration) float64 {
	wave := 1 + waveHeight*math.Sin(2*math.Pi*float64(at)/float64(c.Period))
	r := c.Load * c.capacity() * wave / float64(len(c.Workspaces))
	for _, s := range c.Surges {
		if s.Workspace == workspace && at >= s.At && at < s.At+s.For {
			return surgeFactor * r
		}
	}
	return r
}

// arrivals returns the requests of a workspace until a time, in order.
func (c *Crowded) arrivals(workspace int, until time.Duration) []CrowdedArrival {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(sourceLoad+workspace)))
	// Bursts are drawn at the highest rate and kept in proportion to the rate at their time.
	highest := surgeFactor * (1 + waveHeight) * c.Load * c.capacity() / float64(len(c.Workspaces))
	var out []CrowdedArrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * burst / highest * float64(time.Second))
		if at >= until {
			slices.SortFunc(out, func(a, b CrowdedArrival) int { return cmp.Compare(a.At, b.At) })
			return out
		}
		if rng.Float64()*highest < c.rate(workspace, at) {
			for i := range burst {
				out = append(out, CrowdedArrival{At: at + time.Duration(i)*burstSpread, Workspace: workspace})
			}
		}
	}
}
