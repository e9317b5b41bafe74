// This file carries out the faults of a plan and notes what they disturb.

package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Figures of the faults.
const (
	// settling is how long after a fault's end its traces may last.
	settling     = 500 * time.Millisecond
	expiryTime   = 1500 * time.Millisecond // until a crashed replica's entry goes
	backTime     = time.Second             // until lapsed entries are back
	serveOn      = 5 * time.Second         // how long a leaving replica serves
	mostGrey     = 3                       // replicas that turn grey together
	stormGap     = 250 * time.Millisecond
	flapGap      = 700 * time.Millisecond
	linkDelay    = 40 * time.Millisecond
	fillerRoutes = 300
)

// injector carries out faults.
type injector struct {
	*site
	ctx       context.Context
	endpoints []*standin.StoreEndpoint
	note      func(format string, args ...any)

	copies backups // of the store

	// storeMu keeps troubles of the store apart: the last one would end all.
	storeMu sync.Mutex
}

// run carries out the plan's faults at their times.
func (s *injector) run(p *Plan) {
	var wg sync.WaitGroup
	begun := time.Now()
	if slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == restoreStore }) {
		go s.backUpPeriodically()
	}
	for _, f := range p.Faults {
		wg.Go(func() {
			pause(s.ctx, time.Until(begun.Add(f.At)))
			if s.ctx.Err() == nil {
				s.inject(&f)
			}
		})
	}
	wg.Wait()
}

func (s *injector) daemon(f *Fault) *daemon { return s.fleet.daemons[f.Target%len(s.fleet.daemons)] }

// disturb runs a fault of some daemons and notes the time.
func (s *injector) disturb(daemons []*daemon, inject func()) {
	from := time.Now()
	// Until it is over, nothing bounds the disturbance.
	far := from.Add(time.Hour)
	for _, d := range daemons {
		s.ledger.DisturbDaemon(d.number, from, far)
	}
	inject()
	for _, d := range daemons {
		s.ledger.EndDaemonDisturbance(d.number, from, time.Now().Add(settling))
	}
}

func (s *injector) inject(f *Fault) {
	s.note("%s target %d variant %d for %v", f.Kind, f.Target, f.Variant, f.For.Round(time.Millisecond))
	switch f.Kind {
	case killDaemon, killAll, freezeDaemon, stopDaemon, reloadDaemon:
		s.injectProcess(f)
	case storeUnreachable, storeRejects, storeExpires, storeLosesHistory:
		s.injectStore(f)
	case restoreStore:
		s.restore(f)
	case cutDaemon, cutDomain:
		s.cut(f)
	case linkReplica, linkCallers, linkStore:
		s.injectLink(f)
	case greyReplica, crashReplica, flapReplica, drainReplica, reuseAddress:
		s.injectReplica(f)
	case addKey, revokeKey, moveRoute, configStorm:
		s.changeConfig(f)
	case evacuateDomain:
		s.evacuate(f)
	case foreignEntries:
		s.writeForeign(f)
	case backoffReplicas:
		s.rest(f)
	case falseCrashes:
		s.sendFalseCrashReports(f)
	case departInResponses:
		s.leaveByAnswers(f)
	case callersRetry:
		s.callerFaults.repeat.Store(2)
		pause(s.ctx, f.For)
		s.callerFaults.repeat.Store(0)
	case callersDisconnect:
		s.callerFaults.leave.Store(30)
		pause(s.ctx, f.For)
		s.callerFaults.leave.Store(0)
	}
	s.note("%s target %d is over", f.Kind, f.Target)
}

func (s *injector) injectProcess(f *Fault) {
	d := s.daemon(f)
	switch f.Kind {
	case killDaemon:
		s.disturb([]*daemon{d}, func() { d.kill(); pause(s.ctx, restartPause) })
	case killAll:
		s.disturb(s.fleet.daemons, func() {
			for _, d := range s.fleet.daemons {
				d.kill()
			}
			pause(s.ctx, restartPause)
		})
	case freezeDaemon:
		s.disturb([]*daemon{d}, func() {
			from := time.Now()
			d.freeze(s.ctx, f.For)
			s.ledger.Froze(d.number, from, time.Now())
		})
	case stopDaemon:
		s.stop(d)
	case reloadDaemon:
		s.hangUp(d, f.Variant)
	}
}

// stop is a planned stop. One that begins while the process is frozen, or that a
// kill ends, is judged by nobody: the other fault disturbs the daemon.
func (s *injector) stop(d *daemon) {
	from := time.Now()
	s.ledger.ShutdownBegan(d.number, from, from.Add(time.Hour))
	inTime := d.stop(s.ctx)
	now := time.Now()
	s.ledger.ShutdownEnded(d.number, from, now.Add(restartPause+settling))
	if !inTime {
		s.ledger.ShutdownTimedOut(d.number, from, now)
	}
}

// hangUp changes the settings file and signals it.
func (s *injector) hangUp(d *daemon, variant int) {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(text), "\n")
	_ = os.WriteFile(d.file, []byte(fmt.Sprintf("# generation %d\n%s", variant, rest)), 0o600)
	d.signal(syscall.SIGHUP, false)
}

func hashInt(text string) int { return int(hashOf(text) >> 1) }

// cut parts daemons from the others: in both directions, or in one.
func (s *injector) cut(f *Fault) {
	var inside []*daemon
	domain := s.domains[f.Target%len(s.domains)]
	for _, d := range s.fleet.daemons {
		if (f.Kind == cutDomain && d.domain == domain) || (f.Kind == cutDaemon && d == s.daemon(f)) {
			inside = append(inside, d)
		}
	}
	isInside := make(map[string]bool)
	for _, d := range inside {
		isInside[d.ip] = true
	}
	inbound, outbound := f.Variant%3 != 1, f.Variant%3 != 2
	s.disturb(inside, func() {
		for _, d := range s.fleet.daemons {
			in := isInside[d.ip]
			d.peers.block(func(from string) bool {
				return (in && inbound && !isInside[from]) || (!in && outbound && isInside[from])
			}, in)
		}
		pause(s.ctx, f.For)
		for _, d := range s.fleet.daemons {
			d.peers.block(func(string) bool { return false }, false)
		}
	})
}

// linkTroubles are the variants of trouble on a link.
var linkTroubles = []Trouble{
	{Share: 1, Delay: linkDelay}, {Share: 0.5, Reset: true}, {Share: 0.5, Forward: true, Back: true},
	{Share: 1, Forward: true}, {Share: 1, Back: true}, {Share: 1, Reset: true}, {Share: 0.3, Delay: 10 * linkDelay},
}

func (s *injector) injectLink(f *Fault) {
	t := linkTroubles[f.Variant%len(linkTroubles)]
	hold := func(l *Link) {
		l.SetTrouble(t)
		pause(s.ctx, f.For)
		l.SetTrouble(Trouble{})
	}
	d := s.daemon(f)
	switch f.Kind {
	case linkReplica:
		p, r := s.at(f.Target)
		s.disturbReplica(r, func() { hold(p.link) })
	case linkCallers:
		s.disturb([]*daemon{d}, func() { hold(d.callers) })
	case linkStore:
		s.disturb([]*daemon{d}, func() { hold(d.store) })
	}
}

func (s *injector) changeConfig(f *Fault) {
	switch f.Kind {
	case addKey:
		s.addKey()
	case revokeKey:
		s.revokeKey(f.Target)
	case moveRoute:
		s.moveRoute(f.Target)
	case configStorm:
		for i := range 8 {
			switch i % 3 {
			case 0:
				s.addKey()
			case 1:
				s.grow(fillerRoutes)
			default:
				s.revokeKey(f.Target + i)
			}
			pause(s.ctx, stormGap)
		}
	}
}
