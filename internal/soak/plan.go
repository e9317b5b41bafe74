// This file draws what happens in a run from its seed.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of trouble.
type FaultKind string

// The kinds of trouble.
const (
	KillDaemon    FaultKind = "kill_daemon"    // SIGKILL, started again
	KillAll       FaultKind = "kill_all"       // every daemon at once
	FreezeDaemon  FaultKind = "freeze_daemon"  // SIGSTOP, SIGCONT later
	StopDaemon    FaultKind = "stop_daemon"    // SIGTERM, started again
	HangupDaemon  FaultKind = "hangup_daemon"  // the settings file changes, SIGHUP
	StoreAway     FaultKind = "store_away"     // for all daemons
	StoreTurns    FaultKind = "store_turns"    // turns some daemons away
	StoreLapses   FaultKind = "store_lapses"   // away, and entries lapse meanwhile
	StoreForgets  FaultKind = "store_forgets"  // watches fall silent, the history goes
	CutDaemon     FaultKind = "cut_daemon"     // from the other daemons
	CutDomain     FaultKind = "cut_domain"     // a failure domain's daemons from the others
	LinkReplica   FaultKind = "link_replica"   // trouble on connections to a replica
	LinkCallers   FaultKind = "link_callers"   // trouble on callers' connections to a daemon
	LinkStore     FaultKind = "link_store"     // trouble between a daemon and the store
	GreyReplica   FaultKind = "grey_replica"   // fails a share of its requests
	CrashReplica  FaultKind = "crash_replica"  // ends without notice, comes back anew
	FlapReplica   FaultKind = "flap_replica"   // down and up by turns
	DrainReplica  FaultKind = "drain_replica"  // replaced, with notice
	ReuseAddress  FaultKind = "reuse_address"  // another service takes its address
	AddKey        FaultKind = "add_key"        // a workspace gets a key
	RevokeKey     FaultKind = "revoke_key"     // a workspace loses a key
	MoveRoute     FaultKind = "move_route"     // a route goes to another service
	ConfigStorm   FaultKind = "config_storm"   // changes in quick succession
	CallersRepeat FaultKind = "callers_repeat" // callers repeat at once and often
	CallersLeave  FaultKind = "callers_leave"  // callers leave before their answer
)

// weights say how often a kind is drawn.
var weights = []struct {
	kind   FaultKind
	weight int
}{
	{KillDaemon, 4}, {KillAll, 1}, {FreezeDaemon, 4}, {StopDaemon, 5}, {HangupDaemon, 2},
	{StoreAway, 2}, {StoreTurns, 3}, {StoreLapses, 2}, {StoreForgets, 3},
	{CutDaemon, 3}, {CutDomain, 2}, {LinkReplica, 4}, {LinkCallers, 2}, {LinkStore, 2},
	{GreyReplica, 5}, {CrashReplica, 4}, {FlapReplica, 2}, {DrainReplica, 5}, {ReuseAddress, 3},
	{AddKey, 2}, {RevokeKey, 5}, {MoveRoute, 4}, {ConfigStorm, 2}, {CallersRepeat, 1}, {CallersLeave, 2},
}

// Fault is one trouble of a run.
type Fault struct {
	At   time.Duration `json:"at"`  // from the start of traffic
	For  time.Duration `json:"for"` // how long it lasts
	Kind FaultKind     `json:"kind"`
	// Target and Variant are draws; what they pick depends on the kind.
	Target  int `json:"target"`
	Variant int `json:"variant"`
}

// Plan is all that is decided before a run.
type Plan struct {
	Seed    uint64        `json:"seed"`
	Daemons int           `json:"daemons"`
	Domains int           `json:"domains"`
	Gate    int           `json:"gate_replicas"` // of each plain service
	Chat    int           `json:"chat_replicas"`
	Callers int           `json:"callers"`
	Faults  []Fault       `json:"faults"`
	Trouble time.Duration `json:"trouble"` // time in which faults begin
	Quiet   time.Duration `json:"quiet"`   // time after the last fault has ended
}

// Shape bounds what is drawn.
type Shape struct {
	Trouble      time.Duration
	Quiet        time.Duration
	MostDaemons  int
	FaultsPerSec float64
}

// DefaultShape returns the shape of a run by hand.
func DefaultShape() Shape {
	return Shape{Trouble: 18 * time.Second, Quiet: 9 * time.Second, MostDaemons: 10, FaultsPerSec: 1.2}
}

// Bounds of the draws.
const (
	leastDaemons  = 3
	longestFault  = 4 * time.Second
	shortestFault = 300 * time.Millisecond
)

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64, s Shape) *Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := &Plan{
		Seed: seed, Daemons: leastDaemons + rng.IntN(max(1, s.MostDaemons-leastDaemons+1)), Domains: 2 + rng.IntN(3),
		Gate: 3 + rng.IntN(3), Chat: 4 + rng.IntN(4), Trouble: s.Trouble, Quiet: s.Quiet,
	}
	p.Domains = min(p.Domains, p.Daemons)
	p.Callers = 4 * p.Daemons
	for range int(s.FaultsPerSec * s.Trouble.Seconds()) {
		p.Faults = append(p.Faults, drawFault(rng, s.Trouble))
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

func drawFault(rng *rand.Rand, within time.Duration) Fault {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	draw := rng.IntN(total)
	f := Fault{Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16), At: time.Duration(rng.Int64N(int64(within)))}
	f.For = shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
	for _, w := range weights {
		if draw -= w.weight; draw < 0 {
			f.Kind = w.kind
			break
		}
	}
	return f
}
