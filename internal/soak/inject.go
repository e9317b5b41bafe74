// This file injects the faults of a plan and records what they disturb.

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

// Parameters of the faults.
const (
	// settling is how long the effects of a fault may last after its end.
	settling            = 500 * time.Millisecond
	expiryTime          = 1500 * time.Millisecond // until a crashed replica's entry expires
	reannounceDelay     = time.Second             // until expired entries are written again
	serveAfterDeparture = 5 * time.Second         // how long a departing replica serves on
	maxGrey             = 3                       // replicas affected by one grey fault
	stormInterval       = 250 * time.Millisecond
	flapInterval        = 700 * time.Millisecond
	linkDelay           = 40 * time.Millisecond
	fillerRoutes        = 300
)

// injector injects the faults of a run.
type injector struct {
	*site
	ctx       context.Context
	endpoints []*standin.StoreEndpoint
	logf      func(format string, args ...any)

	copies backups // of the store
	cuts   cuts

	// storeMu serializes faults of the store: the end of one resets the modes that another set.
	storeMu sync.Mutex
}

// run injects the plan's faults at their times and waits for them to end.
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

// disturb runs inject and records that it disturbs the daemons meanwhile.
func (s *injector) disturb(daemons []*daemon, inject func()) {
	from := time.Now()
	// The end isn't known yet; an hour is longer than any fault lasts.
	far := from.Add(time.Hour)
	for _, d := range daemons {
		s.ledger.DisturbDaemon(d.number, from, far)
	}
	inject()
	for _, d := range daemons {
		s.ledger.EndDaemonDisturbance(d.number, from, time.Now().Add(settling))
	}
}

// interrupt is disturb for faults that may end connections of the daemons' callers.
func (s *injector) interrupt(daemons []*daemon, inject func()) {
	from := time.Now()
	for _, d := range daemons {
		s.ledger.InterruptDaemon(d.number, from, from.Add(time.Hour))
	}
	s.disturb(daemons, inject)
	for _, d := range daemons {
		s.ledger.EndDaemonInterruption(d.number, from, time.Now().Add(settling))
	}
}

func (s *injector) inject(f *Fault) {
	s.logf("%s target %d variant %d for %v", f.Kind, f.Target, f.Variant, f.For.Round(time.Millisecond))
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
	case killCoordinator, pauseCoordinator, cutCoordinator:
		s.injectCoordinator(f)
	case foreignEntries, oddEntries:
		s.writeForeign(f)
	case backoffReplicas:
		s.refuseForBackoff(f)
	case falseCrashes:
		s.sendFalseCrashReports(f)
	case departInResponses:
		s.leaveByAnswers(f)
	case resetUploads, endInOrder, killOfCarriers:
		s.injectUploads(f)
	case silenceReplica:
		s.fallSilent(f)
	case callersRetry:
		s.callerFaults.resends.Store(2)
		pause(s.ctx, f.For)
		s.callerFaults.resends.Store(0)
	case callersDisconnect:
		s.callerFaults.cancelPercent.Store(30)
		pause(s.ctx, f.For)
		s.callerFaults.cancelPercent.Store(0)
	}
	s.logf("%s target %d ended", f.Kind, f.Target)
}

func (s *injector) injectProcess(f *Fault) {
	d := s.daemon(f)
	switch f.Kind {
	case killDaemon:
		s.interrupt([]*daemon{d}, func() { s.kill(d); pause(s.ctx, restartPause) })
	case killAll:
		s.interrupt(s.fleet.daemons, func() {
			for _, d := range s.fleet.daemons {
				s.kill(d)
			}
			pause(s.ctx, restartPause)
		})
	case freezeDaemon:
		s.interrupt([]*daemon{d}, func() {
			from := time.Now()
			s.ledger.FellOutOfStep(d.number, from, from.Add(f.For))
			d.freeze(s.ctx, f.For)
			s.ledger.Froze(d.number, from, time.Now())
		})
	case stopDaemon:
		s.stop(d)
	case reloadDaemon:
		s.hangUp(d, f.Variant)
	}
}

// kill kills a daemon, and with it the connections to replicas that it opened for other daemons.
func (s *injector) kill(d *daemon) {
	s.ledger.Killed(d.number, time.Now())
	d.kill()
}

// stop shuts a daemon down gracefully. If the process is frozen when that begins, or is killed
// meanwhile, the shutdown isn't checked, because the other fault disturbs the daemon.
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

// hangUp changes the settings file and sends SIGHUP to the daemon.
func (s *injector) hangUp(d *daemon, variant int) {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(text), "\n")
	_ = replaceFile(d.file, fmt.Sprintf("# generation %d\n%s", variant, rest))
	s.ledger.HungUp(d.number, time.Now())
	d.signal(syscall.SIGHUP, false)
}

func hashInt(text string) int { return int(hashOf(text) >> 1) }

// linkFaults are the variants of link faults.
var linkFaults = []LinkFault{
	{Share: 1, Delay: linkDelay}, {Share: 0.5, Reset: true}, {Share: 0.5, Forward: true, Back: true},
	{Share: 1, Forward: true}, {Share: 1, Back: true}, {Share: 1, Reset: true}, {Share: 0.3, Delay: 10 * linkDelay},
}

func (s *injector) injectLink(f *Fault) {
	t := linkFaults[f.Variant%len(linkFaults)]
	apply := func(l *Link) {
		l.SetFault(t)
		pause(s.ctx, f.For)
		l.SetFault(LinkFault{})
	}
	d := s.daemon(f)
	switch f.Kind {
	case linkReplica:
		p, r := s.pickPlace(f.Target)
		s.disturbReplica(r, func() { apply(p.link) })
	case linkCallers:
		s.interrupt([]*daemon{d}, func() { apply(d.callers) })
	case linkStore:
		s.disturb([]*daemon{d}, func() { apply(d.store) })
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
				s.addFillerRoutes(fillerRoutes)
			default:
				s.revokeKey(f.Target + i)
			}
			pause(s.ctx, stormInterval)
		}
	}
}
