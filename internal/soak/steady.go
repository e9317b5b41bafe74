// This file plans steady runs: healthy daemons and replicas, in the requested number, and streams
// of a second's work on many prompts, of which a few become far more popular from some moment on.
// Violations in such a run are caused by the fleet's own decisions.

package soak

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Steady is the traffic of a steady run.
type Steady struct {
	Prompts   int           `json:"prompts"`    // that are equally popular
	HotAt     time.Duration `json:"hot_at"`     // when the hot prompts become popular
	HotShares []float64     `json:"hot_shares"` // fraction of the streams, for each hot prompt
	HotTokens int           `json:"hot_tokens"` // that requests with a hot prompt share
}

// Parameters of steady runs.
const (
	replicasPerDaemon = 1.29 // 112 replicas for 87 daemons, as in the production fleet
	callersPerDaemon  = 4    // some 2.5 requests at each replica
	promptsPerReplica = 9
	minHotShare       = 0.1
	maxHotShare       = 0.3
	maxHotPrompts     = 12
	hotDecay          = 0.7 // the weight of hot prompt i is (i+1)^-hotDecay
	hotAfter          = 5 * time.Second
	shortTokens       = 900
	longTokens        = 9000
	steadyFaults      = 0.4 // per second

	// steadyPrefix is the prefix of the ids of the requests of a steady run, whose streams
	// have steadyEvents events, each taking steadyWork on average.
	steadyPrefix = "s"
	steadyEvents = 10
	steadyWork   = 100 * time.Millisecond
	// streamShare is the fraction of the requests that are streams.
	streamShare = 0.85
)

// steadyKinds are the faults that do not affect replicas, daemons and the store.
var steadyKinds = []faultKind{callersDisconnect, addKey, moveRoute}

// NewSteadyPlan generates the plan of a steady run with a number of daemons.
func NewSteadyPlan(seed uint64, daemons int, s Shape) *Plan {
	rng := rand.New(rand.NewPCG(seed, 2))
	p := &Plan{
		Seed: seed, Daemons: daemons, Domains: min(daemons, 3+rng.IntN(2)), Gate: 4,
		Chat: max(4, int(replicasPerDaemon*float64(daemons))), Callers: callersPerDaemon * daemons, Trouble: s.Trouble, Quiet: s.Quiet,
	}
	p.Steady = &Steady{
		Prompts: promptsPerReplica * p.Chat, HotAt: hotAfter, HotTokens: []int{shortTokens, longTokens}[rng.IntN(2)],
		HotShares: drawHotShares(rng),
	}
	for range int(steadyFaults * s.Trouble.Seconds()) {
		f := drawFault(rng, s.Trouble)
		f.Kind = steadyKinds[rng.IntN(len(steadyKinds))]
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawHotShares draws the fractions of the streams that the hot prompts get.
func drawHotShares(rng *rand.Rand) []float64 {
	total := minHotShare + rng.Float64()*(maxHotShare-minHotShare)
	shares, sum := make([]float64, 3+rng.IntN(maxHotPrompts-2)), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -hotDecay)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] *= total / sum
	}
	return shares
}

// drawPrompt draws the prompt of a stream at a time of the run, and returns how many tokens its
// requests share.
func (s *Steady) drawPrompt(at time.Duration) (subject, tokens int) {
	draw := rand.Float64()
	if at >= s.HotAt {
		for i, share := range s.HotShares {
			if draw -= share; draw < 0 {
				return i, s.HotTokens
			}
		}
	}
	subject = len(s.HotShares) + rand.IntN(s.Prompts)
	return subject, []int{shortTokens, longTokens}[subject%2]
}

// steadyRoute draws the route of a request.
func steadyRoute() *Route {
	isStream := rand.Float64() < streamShare
	for {
		if r := routes[rand.IntN(len(routes))]; r.Stream == isStream {
			return r
		}
	}
}

func isSteady(id string) bool { return strings.HasPrefix(id, steadyPrefix) }
