// This file defines Fleet, the state machine of a daemon's control loop: its state
// and the dispatch of events. Documents, reports and exchanges are handled in files
// of their own.

package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Self identifies the local daemon, from its settings.
type Self struct {
	ID          state.DaemonID
	Incarnation state.Incarnation
	Domain      state.FailureDomain
	Address     string   // where peers reach it
	Seeds       []string // addresses of peers to contact while no list is known
}

// Intervals and timeouts of the control loop.
const (
	// TickInterval is how often the owner must send a Tick.
	TickInterval = 500 * time.Millisecond
	// exchangeTicks is the number of ticks between two exchanges that a daemon
	// initiates without a change. Each exchange costs about 0.8 KB on the wire, so this
	// number determines most of the control traffic.
	exchangeTicks = 2
	// pauseLimit is the delay of a tick from which the process counts as paused.
	pauseLimit = 3 * time.Second
	// platformInterval is how often each reader reads the platform.
	platformInterval = time.Second
	// readersPerDomain is the number of daemons per failure domain that read it.
	readersPerDomain = 2
	// fallbackReadAge is the age of the list from which other daemons read it as well.
	fallbackReadAge = 9 * time.Second
	// startupSyncTimeout is how long a new daemon asks peers for a newer configuration before
	// it uses the platform's alone. A daemon that is cut off from all peers refuses
	// requests for at most this long after its start.
	startupSyncTimeout = 10 * time.Second
	// suspectTime is how long a peer or upstream that failed is excluded, and
	// startupSuspectTime how long until the startup synchronization is complete.
	suspectTime        = 5 * time.Second
	startupSuspectTime = time.Second
	// deferListTime is how long a list that lost most members is deferred.
	deferListTime = 20 * time.Second
)

// Fleet is the state of one daemon's control loop. One goroutine owns it.
type Fleet struct {
	self     Self
	rng      *rand.Rand
	started  time.Time
	now      time.Time // of the event being handled
	lastTick time.Time // of the last tick
	lastWall time.Time // wall clock of the last tick
	stopped  bool

	config            *state.Config
	refused           map[state.Head]bool
	startupSynced     bool
	contactedPeers    map[state.DaemonID]bool
	list              *state.MemberList
	history           []state.AppliedList
	confirmed         time.Time
	lastPause         time.Time // when a pause was last detected
	windowGrownAt     time.Time
	deferredList      *state.MemberList
	deferredListUntil time.Time

	reports  map[state.UpstreamID]*knownReport
	position uint64
	suspects map[state.UpstreamID]time.Time
	watched  map[state.UpstreamID]state.Member
	loads    map[state.UpstreamID]float64 // mean loads of the watched upstreams

	neighbours    []state.Member
	edges         map[state.DaemonID]*edge
	peerSuspects  map[state.DaemonID]time.Time         // end of the exclusion
	unreachable   map[state.DaemonID]bool              // failed, and no message received since
	peerLeaving   map[state.DaemonID]state.Incarnation // incarnation that announced its departure
	reportBudget  reportBudget
	nextNeighbour int
	ticks         int
	nextRead      time.Time

	urgent         bool // exchange with all neighbours after this event
	dirty          bool // the snapshot is out of date
	statsDirty     bool // loads or admissions changed: rebuild the snapshot at the next tick
	ownershipDirty bool // only the snapshot's ownership state is out of date
	current        *state.Snapshot
	effects        []Effect
}

// New returns the state of a daemon that has just started. rng must not be shared.
func New(self Self, rng *rand.Rand) *Fleet {
	return &Fleet{
		self:           self,
		rng:            rng,
		refused:        make(map[state.Head]bool),
		contactedPeers: make(map[state.DaemonID]bool),
		reports:        make(map[state.UpstreamID]*knownReport),
		suspects:       make(map[state.UpstreamID]time.Time),
		watched:        make(map[state.UpstreamID]state.Member),
		loads:          make(map[state.UpstreamID]float64),
		edges:          make(map[state.DaemonID]*edge),
		peerSuspects:   make(map[state.DaemonID]time.Time),
		unreachable:    make(map[state.DaemonID]bool),
		peerLeaving:    make(map[state.DaemonID]state.Incarnation),
	}
}

// Handle processes one event at the time now, which must not decrease, and returns
// the effects to execute. The result is valid until the next call.
func (f *Fleet) Handle(now time.Time, ev Event) []Effect {
	f.effects = nil
	f.now = now
	if f.started.IsZero() {
		f.started = now
	}
	switch ev := ev.(type) {
	case ConfigReceived:
		f.applyConfig(now, ev.Config)
	case ConfigRefused:
		f.rejectConfig(ev)
	case ListReceived:
		f.receiveList(now, ev)
	case ListConfirmed:
		f.confirmList(ev.Head, ev.Asked)
	case UpstreamReported:
		f.observeUpstream(ev)
	case UpstreamFailed:
		f.suspects[ev.ID] = now.Add(suspectTime)
		f.dirty = true
	case GossipReceived:
		f.receiveGossip(now, ev)
	case PeerFailed:
		f.excludePeer(now, ev.ID)
	case Tick:
		f.tick(now, ev.Wall)
	case StopBegun:
		f.stopped = true
		f.record(coordination.EventStopBegun, string(f.self.ID), "graceful shutdown started; no new duties")
		f.urgent = true
	}
	if f.urgent {
		f.urgent = false
		f.exchangeWithAll()
	}
	f.publish()
	return f.effects
}

func (f *Fleet) emit(e Effect) { f.effects = append(f.effects, e) }

func (f *Fleet) record(kind coordination.EventKind, about, format string, args ...any) {
	f.emit(TimelineEntry{Kind: kind, About: about, Text: fmt.Sprintf(format, args...)})
}

// publish emits a new snapshot if its content has changed. The pools are rebuilt only
// if they may differ: a list is confirmed several times a second and rarely changes.
func (f *Fleet) publish() {
	switch {
	case f.dirty:
		f.current = f.snapshot()
	case f.ownershipDirty && f.current != nil:
		f.current = f.current.WithOwnership(f.ownership())
	default:
		return
	}
	f.dirty, f.statsDirty, f.ownershipDirty = false, false, false
	f.emit(Publish{f.current})
}

func (f *Fleet) snapshot() *state.Snapshot {
	in := state.Inputs{
		Members:   f.list,
		Status:    f.statuses(),
		Domain:    f.self.Domain,
		Hash:      coordination.Hash,
		Ownership: f.ownership(),
	}
	if f.startupSynced {
		in.Config = f.config
	}
	return state.BuildSnapshot(in)
}

// ownership returns the ownership state. The snapshot can share the history because
// applying a list makes a new slice.
func (f *Fleet) ownership() state.OwnershipState {
	return state.OwnershipState{
		Confirmed:     f.confirmed,
		LastTick:      f.lastTick,
		LastPause:     f.lastPause,
		WindowGrownAt: f.windowGrownAt,
		History:       f.history,
	}
}

func (f *Fleet) tick(now, wall time.Time) {
	f.checkPause(now, wall)
	f.dirty = f.dirty || f.statsDirty
	f.checkStartupSync(now)
	f.applyDeferredList(now)
	f.expireSuspects(now)
	f.requestPlatformRead(now)
	if f.ticks++; f.ticks%exchangeTicks == 0 || !f.startupSynced {
		f.exchangeWithNext()
	}
}

// checkPause marks the member list as unconfirmed after a pause. The wall clock reveals
// a pause in which the monotonic clock stood still; setting the clock looks the same
// and costs one confirmation.
func (f *Fleet) checkPause(now, wall time.Time) {
	late := now.Sub(f.lastTick)
	jump := wall.Sub(f.lastWall) - late
	first := f.lastTick.IsZero()
	f.lastTick, f.lastWall = now, wall
	f.ownershipDirty = true
	if first || (late < pauseLimit && jump < pauseLimit) {
		return
	}
	f.record(coordination.EventPaused, string(f.self.ID), "control loop was paused for about %v; the member list is unconfirmed until it is read again", max(late, jump).Round(time.Millisecond))
	f.confirmed = time.Time{}
	f.lastPause = now
	f.nextRead = now
}

func (f *Fleet) expireSuspects(now time.Time) {
	for id, until := range f.suspects {
		if !until.After(now) {
			delete(f.suspects, id)
			f.dirty = true
		}
	}
	changed := false
	for id, until := range f.peerSuspects {
		if !until.After(now) {
			delete(f.peerSuspects, id)
			changed = true
		}
	}
	if changed {
		f.updateDuties()
	}
}

// regionOf returns the region of a failure domain in the configuration in force.
func (f *Fleet) regionOf(d state.FailureDomain) state.RegionID {
	if f.config == nil {
		return ""
	}
	return f.config.RegionOf(d)
}
