// Package clock is the time by which daemons of the front end in production judge how old
// things are. It is the runtime's steady clock and, beyond that, counts the time for which the
// VM was suspended: the runtime's clock and timers stand still then, while replicas, peers, the
// store and callers go on. What a daemon believes is as old after a suspension as after a pause
// of its process, and the same code deals with both.
//
// It owns how long the VM was suspended, as far as it has found out. It relies on the time of
// day, which counts a suspension, to notice one at the next look, and on CLOCK_BOOTTIME to tell
// it from a step of the time of day. Where the system does not give that clock, a suspension
// counts as no time, as it does for the runtime.
//
// # Usage
//
//	now := clock.Now()                         // for ages and deadlines of the product
//	left := clock.Until(deadline)
//	conn.SetReadDeadline(clock.Timer(deadline)) // what the runtime waits for
//
// The time of day itself (incarnations, stamps of the time line) is the time package's.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// noticed is by how much the time of day must move against the steady clock before it is
// looked at why. Both are adjusted by less in any second.
const noticed = 100 * time.Millisecond

// Reading is what the system's clocks show at a moment.
type Reading struct {
	At     time.Time     // as the runtime has it
	Steady time.Duration // of the steady clock, since some begin
	Wall   time.Duration // of the time of day, since some begin
}

// Source gives readings of the system's clocks.
type Source interface {
	Read() Reading
	// Lead returns by how much the clock that counts suspensions is ahead of the steady one,
	// or false if that is not known.
	Lead() (time.Duration, bool)
}

// Clock counts suspensions. It is safe for use by many goroutines.
type Clock struct {
	source Source

	suspended atomic.Int64 // in nanoseconds, so far
	drift     atomic.Int64 // of the time of day against the steady clock, at the last look

	mu   sync.Mutex
	lead time.Duration // at the last look
}

// New returns a clock on a source.
func New(s Source) *Clock {
	c := &Clock{source: s}
	r := s.Read()
	c.drift.Store(int64(r.Wall - r.Steady))
	c.lead, _ = s.Lead()
	return c
}

// Now returns the time, suspensions counted.
func (c *Clock) Now() time.Time {
	r := c.source.Read()
	drift := r.Wall - r.Steady
	if (drift - time.Duration(c.drift.Load())).Abs() >= noticed {
		c.look(drift)
	}
	return r.At.Add(c.Suspended())
}

// look finds out whether the time of day moved because of a suspension, which moves it ahead
// by as much.
func (c *Clock) look(drift time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := drift - time.Duration(c.drift.Swap(int64(drift)))
	lead, ok := c.source.Lead()
	if !ok {
		return
	}
	by := min(lead-c.lead, moved+noticed)
	c.suspended.Add(int64(max(0, by)))
	c.lead = lead
}

// Suspended returns for how long the VM was suspended, as far as that was noticed.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// Timer returns a time of this clock as the runtime's timers and deadlines understand it.
func (c *Clock) Timer(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// system is the clock of the process.
var system = New(processSource{begun: time.Now()})

// processSource reads the clocks of the machine.
type processSource struct{ begun time.Time }

var _ Source = processSource{}

// Read implements [Source]. It makes no system call.
func (s processSource) Read() Reading {
	t := time.Now()
	return Reading{At: t, Steady: t.Sub(s.begun), Wall: time.Duration(t.UnixNano())}
}

// Lead implements [Source].
func (processSource) Lead() (time.Duration, bool) {
	var steady, counting unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil {
		return 0, false
	}
	return time.Duration(counting.Nano() - steady.Nano()), true
}

// Now returns the time by the clock of the process.
func Now() time.Time { return system.Now() }

// Since returns how long ago a time of [Now] is.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of [Now].
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Timer returns a time of [Now] as the runtime's timers and deadlines understand it.
func Timer(t time.Time) time.Time { return system.Timer(t) }
