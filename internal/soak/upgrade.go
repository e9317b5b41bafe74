// This file upgrades daemons under traffic: all or half of the daemons of the previous build are
// replaced one after the other by the current one, and downgraded again. A daemon of the previous
// build is checked against all guarantees except those that it does not implement.

package soak

import (
	"math/rand/v2"
	"time"
)

// Build names the binary that a daemon runs.
type Build string

// The builds of a run.
const (
	BuildCurrent  Build = ""
	BuildPrevious Build = "previous"
)

// Upgrade replaces daemons by a build, one after the other.
type Upgrade struct {
	At    time.Duration `json:"at"`
	To    Build         `json:"to"`
	First int           `json:"first"` // number of the first daemon
	Count int           `json:"count"`
	Gap   time.Duration `json:"gap"` // between replacing one daemon and the next
}

// Parameters of upgrades.
const (
	minGap = 100 * time.Millisecond
	maxGap = 900 * time.Millisecond
)

// drawUpgrades adds the upgrades of a seed, from a random source of their own: the fleet begins with
// the previous build and all or half of it is upgraded; in two of three runs that part is downgraded
// and the whole fleet is upgraded again.
func (p *Plan) drawUpgrades(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	step := func(part float64, to Build, count int) {
		p.Upgrades = append(p.Upgrades, Upgrade{
			At: time.Duration(part * float64(p.Trouble)), To: to, First: rng.IntN(p.Daemons), Count: count,
			Gap: minGap + time.Duration(rng.Int64N(int64(maxGap-minGap))),
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

// upgrade replaces daemons one after the other. It skips those that run the build already.
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

// setBuild sets the build that the daemon runs from its next start. It reports whether it changed.
func (d *daemon) setBuild(b Build) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.build != b
	d.build = b
	return changed
}

// processID identifies a process of a daemon.
type processID struct{ daemon, incarnation int }

// Runs records which build a process of a daemon runs.
func (l *Ledger) Runs(daemon, incarnation int, b Build) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.builds[processID{daemon, incarnation}] = b
}

// Begins records when a process of a daemon started.
func (l *Ledger) Begins(daemon, incarnation int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begins[processID{daemon, incarnation}] = at
}

// runsPreviousBuild reports whether a process of a daemon is of the previous build, which does not support
// replicas' reports about themselves and crash reports that are disproved.
func (j *checker) runsPreviousBuild(d processID) bool { return j.builds[d] == BuildPrevious }
