// This file plays upgrades while callers go on: daemons of the last build are replaced in series by
// this one, all or half of them, and back. A daemon of the last build is held to all promises but
// those that it does not know.

package soak

import (
	"math/rand/v2"
	"time"
)

// Build names the program that a daemon runs.
type Build string

// The builds of a run.
const (
	BuildCurrent  Build = ""
	BuildPrevious Build = "previous"
)

// Upgrade replaces daemons in series by a build.
type Upgrade struct {
	At    time.Duration `json:"at"`
	To    Build         `json:"to"`
	First int           `json:"first"` // number of the first daemon
	Count int           `json:"count"`
	Gap   time.Duration `json:"gap"` // between the end of one and the next
}

// Figures of upgrades.
const (
	shortestGap = 100 * time.Millisecond
	longestGap  = 900 * time.Millisecond
)

// drawUpgrades adds the upgrades of a seed, with draws of their own: the fleet begins with the last
// build, is replaced, all of it or half, and in two of three runs goes back and forth again.
func (p *Plan) drawUpgrades(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	step := func(part float64, to Build, count int) {
		p.Upgrades = append(p.Upgrades, Upgrade{
			At: time.Duration(part * float64(p.Trouble)), To: to, First: rng.IntN(p.Daemons), Count: count,
			Gap: shortestGap + time.Duration(rng.Int64N(int64(longestGap-shortestGap))),
		})
	}
	part := p.Daemons
	if rng.IntN(2) == 0 {
		part = (p.Daemons + 1) / 2
	}
	step(.1, BuildCurrent, part)
	if rng.IntN(3) > 0 {
		step(.4, BuildPrevious, part)
		step(.7, BuildCurrent, p.Daemons)
	}
}

// upgrade replaces daemons one after the other. Those that run the build already are left alone.
func (s *injector) upgrade(u *Upgrade) {
	pause(s.ctx, time.Until(s.begun.Add(u.At)))
	s.logf("upgrade to build %q begins: %d daemons from %d", u.To, u.Count, u.First)
	for i := range u.Count {
		d := s.fleet.daemons[(u.First+i)%len(s.fleet.daemons)]
		if s.ctx.Err() != nil {
			return
		}
		if d.setBuild(u.To) {
			s.stop(d)
			pause(s.ctx, u.Gap)
		}
	}
	s.logf("upgrade to build %q is over", u.To)
}

// setBuild sets what the daemon runs when it starts next. It returns false if it runs that.
func (d *daemon) setBuild(b Build) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.build != b
	d.build = b
	return changed
}

// processLife names a process of a daemon.
type processLife struct{ daemon, incarnation int }

// Runs notes which build a process of a daemon is.
func (l *Ledger) Runs(daemon, incarnation int, b Build) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.builds[processLife{daemon, incarnation}] = b
}

// Begins notes when a process of a daemon began.
func (l *Ledger) Begins(daemon, incarnation int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begins[processLife{daemon, incarnation}] = at
}

// isPrevious reports whether a process of a daemon is of the last build, which knows nothing of
// what replicas say of themselves and of ends that are disproved.
func (j *judgement) isPrevious(d processLife) bool { return j.builds[d] == BuildPrevious }
