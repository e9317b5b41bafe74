// This file generates the plan of a run from its seed.

package soak

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type faultKind string

// The kinds of faults.
const (
	killDaemon        faultKind = "kill_daemon"    // SIGKILL, started again
	killAll           faultKind = "kill_all"       // every daemon at once
	freezeDaemon      faultKind = "freeze_daemon"  // SIGSTOP, SIGCONT later
	stopDaemon        faultKind = "stop_daemon"    // SIGTERM, started again
	reloadDaemon      faultKind = "hangup_daemon"  // the settings file changes, SIGHUP
	storeUnreachable  faultKind = "store_away"     // unreachable for all daemons
	storeRejects      faultKind = "store_turns"    // rejects some daemons
	storeExpires      faultKind = "store_lapses"   // unreachable, and entries expire meanwhile
	storeLosesHistory faultKind = "store_forgets"  // watches fall silent, then the history is lost
	restoreStore      faultKind = "restore_store"  // unreachable, then restored from a backup
	cutDaemon         faultKind = "cut_daemon"     // from the other daemons
	cutDomain         faultKind = "cut_domain"     // a failure domain's daemons from the others
	linkReplica       faultKind = "link_replica"   // disturbs connections to a replica
	linkCallers       faultKind = "link_callers"   // disturbs callers' connections to a daemon
	linkStore         faultKind = "link_store"     // disturbs connections of a daemon to the store
	greyReplica       faultKind = "grey_replica"   // fails a fraction of its requests
	crashReplica      faultKind = "crash_replica"  // terminates without draining, then restarts
	flapReplica       faultKind = "flap_replica"   // goes down and up repeatedly
	drainReplica      faultKind = "drain_replica"  // replaced, after it announced that it is draining
	reuseAddress      faultKind = "reuse_address"  // another service takes its address
	addKey            faultKind = "add_key"        // adds a key to a workspace
	revokeKey         faultKind = "revoke_key"     // removes a key from a workspace
	moveRoute         faultKind = "move_route"     // a route leads to another service
	configStorm       faultKind = "config_storm"   // configuration changes in quick succession
	callersRetry      faultKind = "callers_repeat" // callers retry immediately and often
	callersDisconnect faultKind = "callers_leave"  // callers disconnect before their response

	evacuateDomain    faultKind = "evacuate_domain"  // a failure domain is evacuated and returned to service
	foreignEntries    faultKind = "foreign_entries"  // another client writes among the replicas' entries
	backoffReplicas   faultKind = "rest_replicas"    // some refuse all requests and request a backoff
	falseCrashes      faultKind = "false_ends"       // daemons receive crash reports of live replicas
	departInResponses faultKind = "leave_by_answers" // a replica announces its departure in its responses only
)

// weights are the relative frequencies of the kinds.
var weights = []struct {
	kind   faultKind
	weight int
}{
	{killDaemon, 4}, {killAll, 1}, {freezeDaemon, 4}, {stopDaemon, 5}, {reloadDaemon, 2},
	{storeUnreachable, 2}, {storeRejects, 3}, {storeExpires, 2}, {storeLosesHistory, 3},
	{cutDaemon, 3}, {cutDomain, 2}, {linkReplica, 4}, {linkCallers, 2}, {linkStore, 2},
	{greyReplica, 5}, {crashReplica, 4}, {flapReplica, 2}, {drainReplica, 5}, {reuseAddress, 3},
	{addKey, 2}, {revokeKey, 5}, {moveRoute, 4}, {configStorm, 2}, {callersRetry, 1}, {callersDisconnect, 2},
}

// Fault is one fault of a run.
type Fault struct {
	At   time.Duration `json:"at"`  // from the start of traffic
	For  time.Duration `json:"for"` // how long it lasts
	Kind faultKind     `json:"kind"`
	// Target and Variant are random numbers; what they select depends on the kind.
	Target  int `json:"target"`
	Variant int `json:"variant"`
}

// Plan is everything that is decided before a run.
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
	Steady  *Steady       `json:"steady,omitempty"`
	// Cold says that replicas are cold after a start, and when their domain is returned to service.
	Cold bool `json:"cold"`
	// Crashing are requests that crash each replica that begins to run them. If there are any,
	// terminated replicas refuse connections, and some callers poll with identical requests.
	Crashing []Crashing `json:"crashing,omitempty"`
	// Upgrades replace daemons by another build. If there are any, the run begins with the previous build.
	Upgrades []Upgrade `json:"upgrades,omitempty"`
	// Crowded is a service that callers ask for more than it can serve; nil: there is none.
	Crowded *Crowded `json:"crowded,omitempty"`
	// Partitions cut daemons off from all replicas.
	Partitions []Partition `json:"partitions,omitempty"`
	// CrashingParts are parts of prompts that crash each replica that begins to write a response on them.
	CrashingParts []CrashingPart `json:"crashing_parts,omitempty"`
	// Versions lets replicas run several software versions; nil: they don't name theirs.
	Versions *Versions `json:"versions,omitempty"`
	// Unframed lets a part of the responses end with their connections.
	Unframed bool `json:"unframed,omitempty"`
	// Uploads lets callers send large bodies, which replicas read slowly while they respond.
	Uploads bool `json:"uploads,omitempty"`
}

// Shape limits the random choices of a plan.
type Shape struct {
	Trouble      time.Duration
	Quiet        time.Duration
	MaxDaemons   int
	FaultsPerSec float64
	// EvacuationsPerSec is how often domains are evacuated. Above 0 replicas are cold
	// after a start. Seeds that were recorded before evacuations existed are run with 0.
	EvacuationsPerSec float64
	// Crashing is how many requests crash the replicas that run them.
	Crashing int
	// CrashingParts is how many parts of prompts crash the replicas.
	CrashingParts int
	// ForeignPerSec is how often another client writes among the replicas' entries.
	ForeignPerSec float64
	// OddEntriesPerSec is how often it writes odd ones.
	OddEntriesPerSec float64
	// BackoffsPerSec is how often some replicas request a backoff, and DeparturesPerSec how often one
	// announces its departure in its responses alone.
	BackoffsPerSec   float64
	DeparturesPerSec float64
	// FalseCrashesPerSec is how often daemons receive crash reports of live replicas.
	FalseCrashesPerSec float64
	// RestoresPerSec is how often the store is restored from a backup.
	RestoresPerSec float64
	// PartitionsPerSec is how often daemons lose their links to all replicas.
	PartitionsPerSec float64
	// Upgrades says whether the fleet is upgraded while it runs.
	Upgrades bool
	// Crowded says whether there is a crowded service.
	Crowded bool
	// Brittle says whether the replicas of the crowded service are brittle at times.
	Brittle bool
	// Versions says whether replicas run several software versions.
	Versions bool
	// OutOfStep says whether releases begin while daemons are out of step with them.
	OutOfStep bool
	// Unframed says whether a part of the responses ends with their connections.
	Unframed bool
	// Uploads says what a run does with large bodies; nil: there are none.
	Uploads *Uploads
	// SilencesPerSec is how often a sound replica falls silent for a moment.
	SilencesPerSec float64
}

// DefaultShape returns the shape of a run that is started by hand.
func DefaultShape() Shape {
	return Shape{Trouble: 18 * time.Second, Quiet: 9 * time.Second, MaxDaemons: 10, FaultsPerSec: 1.2, EvacuationsPerSec: 0.15, Crashing: 1, ForeignPerSec: 0.15, BackoffsPerSec: 0.3, DeparturesPerSec: 0.15, FalseCrashesPerSec: 0.1, RestoresPerSec: 0.1}
}

// Limits of the random choices.
const (
	minDaemons       = 3
	maxFaultDuration = 4 * time.Second
	minFaultDuration = 300 * time.Millisecond
	// minEvacuation is added to the length of a fault: all but one evacuation in eighteen last
	// longer than the 2.5 s after which they are checked.
	minEvacuation = 2 * time.Second
)

// NewPlan generates the plan of a seed.
func NewPlan(seed uint64, s Shape) *Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := &Plan{
		Seed: seed, Daemons: minDaemons + rng.IntN(max(1, s.MaxDaemons-minDaemons+1)), Domains: 2 + rng.IntN(3),
		Gate: 3 + rng.IntN(3), Chat: 4 + rng.IntN(4), Trouble: s.Trouble, Quiet: s.Quiet, Unframed: s.Unframed,
	}
	p.Domains = min(p.Domains, p.Daemons)
	p.Callers = 4 * p.Daemons
	for range int(s.FaultsPerSec * s.Trouble.Seconds()) {
		p.Faults = append(p.Faults, drawFault(rng, s.Trouble))
	}
	p.drawEvacuations(seed, s)
	p.drawCrashing(seed, s)
	p.drawForeign(seed, s)
	p.drawOdd(seed, s)
	p.drawStatements(seed, s)
	p.drawFalseCrashes(seed, s)
	p.drawRestores(seed, s)
	p.drawCrowded(seed, s)
	p.drawBrittle(seed, s)
	p.drawPartitions(seed, s)
	p.drawVersions(seed, s)
	p.drawCrashingParts(seed, s)
	p.drawSilences(seed, s)
	p.drawUploads(seed, s)
	p.drawOutOfStep(seed, s)
	if s.Upgrades {
		p.drawUpgrades(seed)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawEvacuations adds the evacuations of a seed. They have a random source of their own, so
// that the other faults of a seed are the same without them.
func (p *Plan) drawEvacuations(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 3))
	p.Cold = s.EvacuationsPerSec > 0
	for range int(math.Ceil(s.EvacuationsPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = evacuateDomain
		f.For += minEvacuation
		p.Faults = append(p.Faults, f)
	}
}

func drawFault(rng *rand.Rand, within time.Duration) Fault {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	draw := rng.IntN(total)
	f := Fault{Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16), At: time.Duration(rng.Int64N(int64(within)))}
	f.For = minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	for _, w := range weights {
		if draw -= w.weight; draw < 0 {
			f.Kind = w.kind
			break
		}
	}
	return f
}
