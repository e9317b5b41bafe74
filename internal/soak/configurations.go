// This file plans runs of a fleet whose configuration changes in series: a model service with long streams, of
// which one route's may be resumed, a plain service of few slots, and callers that keep their connections.
//
// The inputs are a seed, a duration and the conditions of the run. The rule:
//
//  1. A configuration is published every half to one and a half changeInterval. In one of seriesOneIn cases
//     seriesLength configurations follow each other within seriesGap.
//  2. Each configuration changes one thing: a timeout, a quota, a key, the service of a route, routes that
//     nobody calls, or the name of the model service together with the entries of its replicas.
//  3. Each condition begins up to maxLead before a configuration, or up to maxLag after it, and lasts as long as
//     its kind does. No other fault occurs.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Condition is what happens around the configurations of a run.
type Condition string

// The conditions.
const (
	SilentReplicas   Condition = "silent_replicas"   // sound replicas send nothing for a moment
	SilentLinks      Condition = "silent_links"      // a daemon's connections to replicas say nothing, new ones too
	ResetLinks       Condition = "reset_links"       // they are reset
	NewLinksReset    Condition = "new_links_reset"   // open ones work, new ones are reset
	NoDescriptors    Condition = "no_descriptors"    // a daemon can't open any connection; open ones work
	PartOfCore       Condition = "part_of_core"      // every daemon has coreShare of a core
	Releases         Condition = "releases"          // replicas are replaced one after the other
	Scaling          Condition = "scaling"           // replicas are added and taken away
	Saturated        Condition = "saturated"         // the services have fewer slots than requests
	ConnectionLimits Condition = "connection_limits" // replicas allow fewer connections than requests
	EndlessHeads     Condition = "endless_heads"     // a response whose header has no end
	EndlessBodies    Condition = "endless_bodies"    // a response whose event has no end
	Garbled          Condition = "garbled"           // bytes after a whole response, and late responses
	SlowStore        Condition = "slow_store"        // the store does not respond to some daemons
	CrashingReplicas Condition = "crashing_replicas" // a control: the replica ends the response
)

// ConfigurationChange is what a configuration changes.
type ConfigurationChange string

// The changes.
const (
	changeTimeouts ConfigurationChange = "timeouts"
	changeQuotas   ConfigurationChange = "quotas"
	changeKeys     ConfigurationChange = "keys"
	changeMoves    ConfigurationChange = "moves"
	changeAdds     ConfigurationChange = "adds"
	changeRemoves  ConfigurationChange = "removes"
	changeService  ConfigurationChange = "service"
	changeReplaces ConfigurationChange = "replaces"
)

var configurationChanges = []ConfigurationChange{changeTimeouts, changeQuotas, changeKeys, changeMoves, changeAdds, changeRemoves, changeService, changeReplaces}

const (
	changeInterval = 1500 * time.Millisecond // mean time between two configurations
	seriesOneIn    = 4
	seriesLength   = 4
	seriesGap      = 120 * time.Millisecond
	maxLead        = 700 * time.Millisecond
	maxLag         = 400 * time.Millisecond
	// conditionOneIn is the share of the configurations that a condition accompanies.
	conditionOneIn = 2
	// changedRoutes is how many routes that nobody calls are added and removed at once.
	changedRoutes = 350
)

// ConfigurationsPlan is the plan of a run.
type ConfigurationsPlan struct {
	Seed       uint64         `json:"seed"`
	For        time.Duration  `json:"for"`
	Conditions []Condition    `json:"conditions"`
	Steps      []PlannedStep  `json:"steps"`
	Around     []PlannedFault `json:"around"`
}

// PlannedStep is one configuration.
type PlannedStep struct {
	At     time.Duration       `json:"at"`
	Change ConfigurationChange `json:"change"`
}

// PlannedFault is one occurrence of a condition.
type PlannedFault struct {
	At        time.Duration `json:"at"`
	Condition Condition     `json:"condition"`
	Target    int           `json:"target"`
}

// NewConfigurationsPlan returns the plan of a seed.
func NewConfigurationsPlan(seed uint64, length time.Duration, conditions ...Condition) *ConfigurationsPlan {
	rng := rand.New(rand.NewPCG(seed, 20))
	p := &ConfigurationsPlan{Seed: seed, For: length, Conditions: conditions}
	for at := changeInterval; at < length; at += changeInterval/2 + time.Duration(rng.Int64N(int64(changeInterval))) {
		n := 1
		if rng.IntN(seriesOneIn) == 0 {
			n = seriesLength
		}
		for i := range n {
			p.Steps = append(p.Steps, PlannedStep{At: at + time.Duration(i)*seriesGap, Change: configurationChanges[rng.IntN(len(configurationChanges))]})
		}
		for _, c := range conditions {
			offset := time.Duration(rng.Int64N(int64(maxLead+maxLag))) - maxLead
			if target := rng.IntN(1 << 16); rng.IntN(conditionOneIn) == 0 {
				p.Around = append(p.Around, PlannedFault{At: at + offset, Condition: c, Target: target})
			}
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b PlannedStep) int { return int(a.At - b.At) })
	slices.SortStableFunc(p.Around, func(a, b PlannedFault) int { return int(a.At - b.At) })
	return p
}

// has reports whether a condition is among those of the run.
func (p *ConfigurationsPlan) has(c Condition) bool { return slices.Contains(p.Conditions, c) }
