// This file decides whether this daemon has lost its own links to the replicas of a service. Its
// connections to them then go through another daemon (carriers.go), which reaches them.
//
// That one replica gives no sign says nothing about the links: it may have crashed or be silent for a
// while, and eject.go avoids it. Inputs: connections to replicas that could not be opened, or that
// broke or stayed silent before the first byte of a response; when bytes of any replica arrived; the
// requests that wait for a response; and probes. Only connections of this daemon's own count, not
// those through others. The rule, for each service:
//
//  1. The links are suspect once connections to minUnreached replicas, or to the only one, failed
//     within reachWindow, and no new connection carried a response since. Silence counts as such a
//     failure if nothing arrived from any replica of the service since the request was sent.
//  2. They are suspect too if requests wait at as many replicas and nothing arrived from any for
//     silentTicks ticks in a row. Ticks are counted rather than time, so that a daemon that was
//     paused does not take its own pause for silence. Each false alarm doubles the number, up to
//     maxSilentTicks: a service may be slow by nature.
//  3. Probes of some replicas follow at once, and every ProbeInterval from then on: one replica in the
//     own failure domain, and one in each of some others, so that links between domains are told from
//     this daemon's own. If none of the first ones gets a response, the links are down. If one does,
//     they are up.
//     Once they are down although another daemon reaches the replicas, the links to all other services
//     are suspect: those that get few requests would be found late.
//  4. Links that are down are up again when probes reached a replica in probesToRecover rounds in a
//     row, so that one packet that gets through does not end a detour.
//  5. While the links are suspect or down, other daemons open this one's connections. Idle ones of its
//     own are not used, then or afterwards: they may have been cut in silence.
//  6. Once another daemon has opened a connection, it is proved that replicas can be reached, and what
//     fails on this daemon's own connections is not held against them. Until then it is, since the
//     replicas may be gone.

package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

// LinkState says whether a daemon's own links to the replicas of a service work.
type LinkState int

// The states of links.
const (
	LinksUp      LinkState = iota
	LinksSuspect           // not yet probed
	LinksDown              // confirmed by probes
)

const (
	minUnreached = 2
	// reachWindow is how long a failed connection counts: two replicas that crash a while apart are
	// no sign of broken links.
	reachWindow = 2 * time.Second
	// silentTicks is the number of ticks of the control loop, 200 ms each.
	silentTicks    = 3
	maxSilentTicks = 48
	// ProbeInterval is the time between two rounds of probes, and probeReplicas the number of replicas
	// that a round tries at most.
	ProbeInterval   = 500 * time.Millisecond
	probeReplicas   = 3
	probesToRecover = 2
	// ProbeWait is how long a request waits for the first round of probes before it goes through another
	// daemon. Where replicas are lost rather than links, a probe gets a response in a few milliseconds,
	// and the other daemon would only wait for the lost replica too.
	ProbeWait = 30 * time.Millisecond
)

// Reach records which services this daemon reaches through its own links. It is safe for concurrent
// use.
type Reach struct {
	mu       sync.Mutex
	services map[ServiceName]*serviceReach
	suspects chan struct{}
}

// serviceReach is the state of one service.
type serviceReach struct {
	state LinkState
	since time.Time // when the links became suspect; zero: they are up
	// bySilence means that rule 2 made the links suspect.
	bySilence bool
	detoured  bool                      // another daemon has opened a connection since
	failed    map[Incarnation]time.Time // when connections failed, since a new one last worked
	waiting   map[Incarnation]int       // requests on connections of this daemon's own
	replicas  int                       // number of ready replicas, as last reported
	arrivedAt time.Time                 // when bytes last arrived on a connection of this daemon's own
	arrived   bool                      // since the last tick
	quiet     int                       // ticks in a row in which nothing arrived
	patience  int                       // ticks of rule 2
	regained  time.Time                 // when the links were last found to be up again
	rounds    int                       // rounds of probes in a row that reached a replica
	probedAt  time.Time                 // when the last round ended
	probed    chan struct{}             // closed once links that became suspect were probed, or are up
}

// NewReach returns a Reach for which all links are up.
func NewReach() *Reach {
	return &Reach{services: make(map[ServiceName]*serviceReach), suspects: make(chan struct{}, 1)}
}

// Suspected returns a channel that receives a value when links became suspect and are to be probed, or
// were found to have a detour.
func (r *Reach) Suspected() <-chan struct{} { return r.suspects }

// notify sends a value to the channel of Suspected.
func (r *Reach) notify() {
	select {
	case r.suspects <- struct{}{}:
	default: // a signal is pending
	}
}

// service returns the state of a service. The caller holds the lock.
func (r *Reach) service(s ServiceName) *serviceReach {
	v := r.services[s]
	if v == nil {
		v = &serviceReach{failed: make(map[Incarnation]time.Time), waiting: make(map[Incarnation]int), patience: silentTicks}
		r.services[s] = v
	}
	return v
}

// State returns the state of the links to a service's replicas.
func (r *Reach) State(s ServiceName) LinkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.services[s]; v != nil {
		return v.state
	}
	return LinksUp
}

// MayReuse reports whether an idle connection of this daemon's own may be used.
func (r *Reach) MayReuse(s ServiceName, idleSince time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.services[s]
	return v == nil || v.state == LinksUp && idleSince.After(v.regained)
}

// Begin records that a request waits for a response of a replica, on a connection of this daemon's
// own. replicas is the number of ready replicas of the service.
func (r *Reach) Begin(to *Replica, replicas int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(to.Service)
	v.replicas = replicas
	v.waiting[to.Incarnation()]++
}

// End records the end of a request that was recorded by Begin.
func (r *Reach) End(to *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(to.Service)
	if v.waiting[to.Incarnation()]--; v.waiting[to.Incarnation()] <= 0 {
		delete(v.waiting, to.Incarnation())
	}
}

// Arrived records that bytes of a service's replica arrived on a connection of this daemon's own. If
// they are the first on a new connection, earlier failures no longer count, and links that were
// suspect or down are up.
func (r *Reach) Arrived(s ServiceName, firstOnNew bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(s)
	v.arrived, v.arrivedAt = true, now
	if !firstOnNew {
		return
	}
	clear(v.failed)
	if v.state != LinksUp {
		v.recover(now)
	}
}

// Failed records that a connection of this daemon's own could not be opened, or that it broke before
// the first byte of a response. It returns true if this makes the links suspect.
func (r *Reach) Failed(to *Replica, replicas int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fail(to, replicas, now)
}

// Silent records that a replica has sent nothing since a request was sent to it. It returns true if
// this makes the links suspect.
func (r *Reach) Silent(to *Replica, replicas int, sent, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.service(to.Service).arrivedAt.After(sent) {
		return false
	}
	return r.fail(to, replicas, now)
}

// fail applies rule 1. The caller holds the lock.
func (r *Reach) fail(to *Replica, replicas int, now time.Time) bool {
	v := r.service(to.Service)
	v.replicas = replicas
	for other, at := range v.failed {
		if now.Sub(at) > reachWindow {
			delete(v.failed, other)
		}
	}
	v.failed[to.Incarnation()] = now
	if v.state != LinksUp || len(v.failed) < v.enough() {
		return false
	}
	v.suspect(false, now)
	r.notify()
	return true
}

// enough returns at how many replicas failures make the links suspect.
func (v *serviceReach) enough() int { return max(1, min(minUnreached, v.replicas)) }

// suspect makes the links suspect.
func (v *serviceReach) suspect(bySilence bool, now time.Time) {
	v.state, v.since, v.bySilence, v.rounds, v.quiet, v.detoured = LinksSuspect, now, bySilence, 0, 0, false
	v.probed = make(chan struct{})
}

// recover makes the links up again.
func (v *serviceReach) recover(now time.Time) {
	v.state, v.since, v.regained, v.rounds, v.quiet, v.detoured = LinksUp, time.Time{}, now, 0, 0, false
	clear(v.failed)
	v.endProbing()
}

// Detoured records that another daemon opened a connection to a replica of a service whose links are
// suspect or down.
func (r *Reach) Detoured(s ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.service(s); v.state != LinksUp && !v.detoured {
		v.detoured = true
		r.notify()
	}
}

// IsDetoured reports whether this daemon's own links to a service are suspect or down while another
// daemon reaches the replicas.
func (r *Reach) IsDetoured(s ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.services[s]
	return v != nil && v.detoured
}

// Suspect makes the links to a service suspect that are up.
func (r *Reach) Suspect(s ServiceName, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.service(s); v.state == LinksUp {
		v.suspect(false, now)
		r.notify()
	}
}

// endProbing releases the requests that wait for the first round of probes.
func (v *serviceReach) endProbing() {
	if v.probed != nil {
		close(v.probed)
		v.probed = nil
	}
}

// Probing returns a channel that is closed once the links to a service, which are suspect, were probed or
// are up. It returns nil if they are not suspect.
func (r *Reach) Probing(s ServiceName) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.services[s]; v != nil {
		return v.probed
	}
	return nil
}

// Tick applies rule 2. It returns the services whose links became suspect.
func (r *Reach) Tick(now time.Time) []ServiceName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var suspects []ServiceName
	for name, v := range r.services {
		silent := !v.arrived && v.state == LinksUp && len(v.waiting) >= v.enough()
		v.arrived = false
		if !silent {
			v.quiet = 0
			continue
		}
		if v.quiet++; v.quiet > v.patience {
			v.suspect(true, now)
			r.notify()
			suspects = append(suspects, name)
		}
	}
	return suspects
}

// Probed records a round of probes. reached says whether one of them got a response.
func (r *Reach) Probed(s ServiceName, reached bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.service(s)
	v.probedAt = now
	switch {
	case v.state == LinksUp:
	case !reached:
		v.state, v.rounds, v.patience = LinksDown, 0, silentTicks
		v.endProbing()
	case v.state == LinksSuspect:
		if v.bySilence {
			v.patience = min(2*v.patience, maxSilentTicks)
		}
		v.recover(now)
	default:
		if v.rounds++; v.rounds >= probesToRecover {
			v.recover(now)
		}
	}
}

// ProbesDue returns the services that are to be probed now.
func (r *Reach) ProbesDue(now time.Time) []ServiceName {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []ServiceName
	for name, v := range r.services {
		if v.state == LinksSuspect || v.state == LinksDown && now.Sub(v.probedAt) >= ProbeInterval {
			due = append(due, name)
		}
	}
	return due
}

// ProbeTargets returns random ready replicas of a pool for a round of probes, each of another failure
// domain, the own one among them. If there are fewer domains, others fill the round up.
func ProbeTargets(p *Pool, own state.FailureDomain) []Replica {
	order := rand.Perm(len(p.Ready))
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(boolToInt(p.Ready[a].Domain != own), boolToInt(p.Ready[b].Domain != own))
	})
	var out, rest []Replica
	probed := make(map[state.FailureDomain]bool)
	for _, i := range order {
		r := p.Ready[i]
		if probed[r.Domain] {
			rest = append(rest, r)
			continue
		}
		probed[r.Domain] = true
		out = append(out, r)
	}
	out = append(out, rest...)
	return out[:min(probeReplicas, len(out))]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// LostService is a service whose links are suspect or down.
type LostService struct {
	Service  ServiceName
	State    LinkState
	Since    time.Time
	Detoured bool // another daemon reaches the replicas
}

// Lost returns the services whose links are suspect or down.
func (r *Reach) Lost() []LostService {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []LostService
	for name, v := range r.services {
		if v.state != LinksUp {
			out = append(out, LostService{Service: name, State: v.state, Since: v.since, Detoured: v.detoured})
		}
	}
	return out
}
