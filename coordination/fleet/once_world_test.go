package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// strategy is a strategy that is meant to keep a request from running twice.
type strategy int

const (
	strategyLocal       strategy = iota // each daemon uses its own ledger and asks no other daemon
	strategyNoGrace                     // the owner acts as soon as it ranks first
	strategyNoLease                     // the owner acts on a list of any age
	strategyNoChallenge                 // the owner accepts delayed requests
	strategyOwner                       // the strategy in use for a caller's own key
	strategyTicket                      // the strategy in use for a ticket
)

// onceWorld simulates a few daemons in front of one service: lists differ, processes are
// paused, restarted and cut off, clocks drift. The decisions are made by package fleet.
type onceWorld struct {
	strategy     strategy
	rules        fleet.OwnerRules
	now          time.Time // true time
	rev          state.ListRevision
	listed       map[int]bool // daemons of the published list
	daemons      []*onceDaemon
	inTransit    []*onceForward // requests between two daemons
	pending      []*onceAttempt // attempts between decision and first byte
	runs         map[string]int
	first        map[string]time.Time
	asked        int
	refused      int
	incarnations int
}

type onceDaemon struct {
	n           int
	startedAt   time.Time
	rate        float64 // of its clock relative to true time
	frozen      bool
	cut         bool // receives no lists
	epoch       state.OwnershipState
	ledger      *fleet.Ledger
	issuer      *fleet.TicketIssuer
	incarnation state.Incarnation
	started     time.Time // own clock
}

// onceForward is a forwarded request that may be delayed.
type onceForward struct {
	to        *onceDaemon
	life      state.Incarnation
	key       fleet.LedgerKey
	challenge string
}

type onceAttempt struct {
	d   *onceDaemon
	key fleet.LedgerKey
}

func daemonID(n int) state.DaemonID { return state.DaemonID(fmt.Sprintf("d%d", n)) }

func newOnceWorld(w strategy, n int, rng *rand.Rand) *onceWorld {
	ow := &onceWorld{
		strategy: w,
		rules:    fleet.OwnerRules{Window: 2 * time.Minute, Lease: 20 * time.Second},
		now:      epoch,
		listed:   make(map[int]bool),
		runs:     make(map[string]int),
		first:    make(map[string]time.Time),
	}
	for i := range n {
		ow.listed[i] = true
		ow.daemons = append(ow.daemons, &onceDaemon{n: i})
	}
	ow.rev = 1
	for i := range n {
		ow.restart(i, rng)
	}
	// The grace periods have passed when the test begins.
	ow.passTicks(int((ow.rules.GracePeriod() + time.Minute) / time.Second))
	return ow
}

func (ow *onceWorld) pass(d time.Duration) { ow.now = ow.now.Add(d) }

// clock returns the time by the daemon's own clock.
func (ow *onceWorld) clock(d *onceDaemon) time.Time {
	return epoch.Add(time.Duration(float64(ow.now.Sub(d.startedAt)) * d.rate))
}

func (ow *onceWorld) restart(n int, rng *rand.Rand) {
	ow.incarnations++
	d := ow.daemons[n]
	*d = onceDaemon{n: n, startedAt: ow.now, rate: 0.995 + 0.01*rng.Float64(), incarnation: state.Incarnation(ow.incarnations)}
	d.ledger = fleet.NewLedger(1 << 20)
	d.issuer = fleet.NewTicketIssuer(daemonID(n), d.incarnation, fmt.Appendf(nil, "secret %d", ow.incarnations))
	d.started = ow.clock(d)
	ow.pending = removeOf(ow.pending, d)
	ow.learn(d)
}

func removeOf(pending []*onceAttempt, d *onceDaemon) []*onceAttempt {
	var out []*onceAttempt
	for _, a := range pending {
		if a.d != d {
			out = append(out, a)
		}
	}
	return out
}

// publish adds a daemon to the platform's list or removes it.
func (ow *onceWorld) publish(n int) {
	ow.listed[n] = !ow.listed[n]
	ow.rev++
}

func (ow *onceWorld) list() *state.MemberList {
	var members []state.Member
	for i := range ow.daemons {
		if ow.listed[i] {
			members = append(members, state.Member{ID: string(daemonID(i)), Kind: state.KindDaemon, State: state.Live, Domain: "a"})
		}
	}
	return state.NewMemberList(ow.rev, fmt.Appendf(nil, "%d", ow.rev), members)
}

// learn makes a daemon read the platform.
func (ow *onceWorld) learn(d *onceDaemon) {
	if d.frozen {
		return
	}
	now := ow.clock(d)
	if d.cut {
		d.epoch.LastTick = now
		return
	}
	if len(d.epoch.History) > 0 && now.Sub(d.epoch.LastTick) > 3*time.Second {
		d.epoch.LastPause = now
	}
	d.epoch.LastTick = now
	d.epoch.Confirmed = now
	l := ow.list()
	if len(d.epoch.History) == 0 || l.Head.Compare(d.epoch.History[0].List.Head) > 0 {
		d.epoch.History = append([]state.AppliedList{{List: l, AppliedAt: now}}, d.epoch.History...)
	}
}

// send sends a key through a daemon. The caller observes the contract: it repeats a key
// only within the window.
func (ow *onceWorld) send(key string, via *onceDaemon) {
	if via.frozen || len(via.epoch.History) == 0 {
		return
	}
	if t, sent := ow.first[key]; !sent {
		ow.first[key] = ow.now
	} else if ow.now.Sub(t) > ow.rules.Window {
		return
	}
	ow.asked++
	k := fleet.LedgerKey{Workspace: "w", Service: "s", Key: key}
	d := ow.owner(k, via)
	if d == nil || (ow.strategy == strategyOwner && fleet.MayForward(ow.clock(via), via.epoch) != nil) {
		ow.refused++
		return
	}
	if d != via {
		challenge := d.issuer.Challenge(ow.clock(d).Sub(d.started))
		ow.inTransit = append(ow.inTransit, &onceForward{d, d.incarnation, k, challenge})
		return
	}
	if !ow.decide(d, k) {
		ow.refused++
	}
}

// arrive delivers a forwarded request, however late.
func (ow *onceWorld) arrive(i int) {
	f := ow.inTransit[i]
	if f.to.frozen {
		return
	}
	ow.inTransit = append(ow.inTransit[:i:i], ow.inTransit[i+1:]...)
	stale := ow.strategy != strategyNoChallenge && ow.strategy != strategyTicket && !f.to.issuer.IsFresh(f.challenge, ow.clock(f.to).Sub(f.to.started))
	if stale || !ow.decide(f.to, f.key) {
		ow.refused++
	}
}

func (ow *onceWorld) owner(k fleet.LedgerKey, via *onceDaemon) *onceDaemon {
	if ow.strategy == strategyLocal {
		return via
	}
	id := ""
	if ow.strategy == strategyTicket {
		t, err := fleet.ParseTicket(k.Key)
		if err != nil {
			return nil
		}
		id = string(t.Daemon)
	} else if m, ok := fleet.OwnerOf(via.epoch.History[0].List, k); ok {
		id = m.ID
	}
	for _, d := range ow.daemons {
		if string(daemonID(d.n)) == id {
			return d
		}
	}
	return nil
}

// decide applies the daemon's rules and its ledger. A request that may start waits for
// its first byte.
func (ow *onceWorld) decide(d *onceDaemon, k fleet.LedgerKey) bool {
	if !ow.mayRun(d, k) {
		return false
	}
	now := ow.clock(d)
	switch d.ledger.Begin(now, k, fleet.Fingerprint{}, ow.rules.GracePeriod()).(type) {
	case fleet.Start:
		ow.pending = append(ow.pending, &onceAttempt{d, k})
		return true
	case fleet.Wait, fleet.Replay:
		return true
	}
	return false
}

func (ow *onceWorld) mayRun(d *onceDaemon, k fleet.LedgerKey) bool {
	now := ow.clock(d)
	epoch := d.epoch
	switch ow.strategy {
	case strategyLocal:
		return true
	case strategyTicket:
		t, _ := fleet.ParseTicket(k.Key)
		_, refusal, err := d.issuer.Admit(t, k.Workspace, k.Service, now.Sub(d.started))
		return err == nil && refusal == nil
	case strategyNoGrace:
		m, ok := fleet.OwnerOf(epoch.History[0].List, k)
		return ok && m.ID == string(daemonID(d.n)) && now.Sub(epoch.Confirmed) <= ow.rules.Lease
	case strategyNoLease:
		epoch.Confirmed = now
	}
	return fleet.MayRunKey(now, daemonID(d.n), epoch, k, ow.rules) == nil
}

// firstByte makes one waiting attempt write, unless its daemon is no longer allowed to.
// lost means that the response does not arrive.
func (ow *onceWorld) firstByte(i int, lost bool) {
	a := ow.pending[i]
	if a.d.frozen {
		return
	}
	ow.pending = append(ow.pending[:i:i], ow.pending[i+1:]...)
	if ow.strategy != strategyTicket && !ow.mayRun(a.d, a.key) {
		a.d.ledger.Finish(a.key, coordination.NotRun{}, nil)
		return
	}
	ow.runs[a.key.Key]++
	if lost {
		a.d.ledger.Finish(a.key, coordination.MayHaveRun{}, nil)
		return
	}
	a.d.ledger.Finish(a.key, coordination.Answered{}, &fleet.StoredAnswer{Status: 200})
}

// newKey returns a new key for the strategy.
func (ow *onceWorld) newKey(n int, via *onceDaemon) string {
	if ow.strategy != strategyTicket {
		return fmt.Sprintf("key-%d", n)
	}
	age := ow.clock(via).Sub(via.started)
	return via.issuer.Issue("w", "s", age+ow.rules.Window, fmt.Sprintf("%d", n))
}

func (ow *onceWorld) maxRuns() int {
	most := 0
	for _, n := range ow.runs {
		most = max(most, n)
	}
	return most
}

// step performs one random action. Ordinary actions are many times as likely as faults,
// so that a fault lasts long enough to have an effect. intn returns a random number
// below its argument.
func (ow *onceWorld) step(intn func(int) int, rng *rand.Rand, keys *[]string) {
	d := ow.daemons[intn(len(ow.daemons))]
	switch draw := intn(100); {
	case draw < 2:
		ow.publish(d.n)
	case draw < 5:
		d.frozen = true
	case draw < 9:
		d.frozen = false
	case draw < 12:
		d.cut = !d.cut
	case draw < 13:
		ow.restart(d.n, rng)
	case draw < 28:
		ow.passTicks(1 + intn(40))
	case draw < 40:
		if !d.frozen {
			*keys = append(*keys, ow.newKey(len(*keys), d))
			ow.send((*keys)[len(*keys)-1], d)
		}
	case draw < 65:
		if len(*keys) > 0 {
			ow.send((*keys)[len(*keys)-1-intn(min(len(*keys), 8))], d)
		}
	case draw < 82:
		if len(ow.inTransit) > 0 {
			ow.arrive(intn(len(ow.inTransit)))
		}
	default:
		if len(ow.pending) > 0 {
			ow.firstByte(intn(len(ow.pending)), intn(2) == 0)
		}
	}
}

// passTicks advances the time; daemons that are not cut off or paused read the platform
// every second.
func (ow *onceWorld) passTicks(seconds int) {
	for range seconds {
		ow.pass(time.Second)
		for _, d := range ow.daemons {
			ow.learn(d)
		}
	}
}
