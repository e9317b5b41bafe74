// Package clock provides the clock by which daemons of the production front end measure ages
// and deadlines: the Go runtime's monotonic clock plus the time for which the VM was suspended.
// The runtime's clock and timers stop during a suspension, while replicas, peers, the store and
// callers go on. With this clock, the state of a daemon has the same age after a suspension of
// the VM as after a pause of the process, and the same code handles both.
//
// A clock keeps the total suspended time that it has detected. It detects a suspension at the
// next call of Now, by the wall clock, which advances during a suspension, and uses
// CLOCK_BOOTTIME to tell it from a step of the wall clock. On systems without CLOCK_BOOTTIME
// suspensions are not counted, just as the runtime does not count them.
//
// # Usage
//
//	now := clock.Now() // for ages and deadlines
//	left := clock.Until(deadline)
//	conn.SetReadDeadline(clock.RuntimeTime(deadline)) // for deadlines that the runtime enforces
//
// For the wall clock (incarnations, timeline stamps) use the time package.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minOffsetChange is the change of the offset between the wall clock and the monotonic clock from
// which a suspension is checked for. Gradual adjustments change it by less in any second.
const minOffsetChange = 100 * time.Millisecond

// Reading is a simultaneous reading of the system's clocks.
type Reading struct {
	Time      time.Time     // of the runtime's clock
	Monotonic time.Duration // of the monotonic clock, since a fixed but arbitrary time
	Wall      time.Duration // of the wall clock, since a fixed but arbitrary time
}

// Source reads the system's clocks.
type Source interface {
	Read() Reading
	// SuspendLead returns by how much the clock that counts suspensions (CLOCK_BOOTTIME) is ahead of
	// the monotonic clock, or false if that is not known.
	SuspendLead() (time.Duration, bool)
}

// Clock is a monotonic clock that includes suspensions of the VM. It is safe for concurrent use.
type Clock struct {
	source Source

	suspended  atomic.Int64 // total suspended time detected so far, in nanoseconds
	wallOffset atomic.Int64 // wall clock minus monotonic clock at the last check, in nanoseconds

	mu          sync.Mutex
	suspendLead time.Duration // Source.SuspendLead at the last check
}

// New returns a clock that reads the given source.
func New(s Source) *Clock {
	c := &Clock{source: s}
	r := s.Read()
	c.wallOffset.Store(int64(r.Wall - r.Monotonic))
	c.suspendLead, _ = s.SuspendLead()
	return c
}

// Now returns the current time, suspensions included.
func (c *Clock) Now() time.Time {
	r := c.source.Read()
	wallOffset := r.Wall - r.Monotonic
	if (wallOffset - time.Duration(c.wallOffset.Load())).Abs() >= minOffsetChange {
		c.checkSuspension(wallOffset)
	}
	return r.Time.Add(c.Suspended())
}

// checkSuspension is called when the wall clock has moved against the monotonic clock. It adds to
// the suspended time what CLOCK_BOOTTIME gained since the last check. A suspension moves the wall
// clock ahead by the same amount, so that at most minOffsetChange more than that is added.
func (c *Clock) checkSuspension(wallOffset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offsetChange := wallOffset - time.Duration(c.wallOffset.Swap(int64(wallOffset)))
	lead, ok := c.source.SuspendLead()
	if !ok {
		return
	}
	suspended := min(lead-c.suspendLead, offsetChange+minOffsetChange)
	c.suspended.Add(int64(max(0, suspended)))
	c.suspendLead = lead
}

// Suspended returns the total suspended time detected so far.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// RuntimeTime converts a time of this clock to the runtime's clock, for timers and I/O deadlines.
func (c *Clock) RuntimeTime(t time.Time) time.Time { return t.Add(-c.Suspended()) }

// system is the clock behind the package-level functions.
var system = New(systemSource{start: time.Now()})

// systemSource reads the operating system's clocks.
type systemSource struct{ start time.Time }

var _ Source = systemSource{}

// Read implements [Source]. It makes no system call: Clock.Now calls it each time.
func (s systemSource) Read() Reading {
	t := time.Now()
	return Reading{Time: t, Monotonic: t.Sub(s.start), Wall: time.Duration(t.UnixNano())}
}

// SuspendLead implements [Source].
func (systemSource) SuspendLead() (time.Duration, bool) {
	var steady, counting unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil {
		return 0, false
	}
	return time.Duration(counting.Nano() - steady.Nano()), true
}

// Now returns the current time, suspensions of the VM included.
func Now() time.Time { return system.Now() }

// Since returns the time elapsed since t, which is a time of [Now].
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the duration until t, which is a time of [Now].
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// RuntimeTime converts a time of [Now] to the runtime's clock, for timers and I/O deadlines.
func RuntimeTime(t time.Time) time.Time { return system.RuntimeTime(t) }
