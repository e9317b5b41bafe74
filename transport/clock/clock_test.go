package clock

import (
	"testing"
	"time"
)

// fakeSource is a Source whose clocks are set by the test.
type fakeSource struct {
	monotonic, wall, boot time.Duration
	unknown               bool // CLOCK_BOOTTIME is not available
}

func (f *fakeSource) Read() Reading {
	return Reading{Time: time.Unix(1_000_000, 0).Add(f.monotonic), Monotonic: f.monotonic, Wall: f.wall}
}

func (f *fakeSource) SuspendLead() (time.Duration, bool) { return f.boot - f.monotonic, !f.unknown }

func (f *fakeSource) run(d time.Duration)     { f.monotonic += d; f.wall += d; f.boot += d }
func (f *fakeSource) suspend(d time.Duration) { f.wall += d; f.boot += d }
func (f *fakeSource) step(d time.Duration)    { f.wall += d }

func TestClockCountsSuspensions(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *fakeSource, read func())
		want time.Duration // elapsed by the clock
	}{
		{"no suspension", func(f *fakeSource, _ func()) { f.run(time.Minute) }, time.Minute},
		{"one suspension", func(f *fakeSource, _ func()) { f.run(time.Second); f.suspend(5 * time.Second); f.run(time.Second) }, 7 * time.Second},
		{"two suspensions", func(f *fakeSource, read func()) {
			f.suspend(5 * time.Second)
			read()
			f.run(time.Second)
			f.suspend(3 * time.Second)
		}, 9 * time.Second},
		{"wall clock steps forward", func(f *fakeSource, _ func()) { f.run(time.Second); f.step(time.Hour) }, time.Second},
		{"wall clock steps forward and back", func(f *fakeSource, read func()) { f.step(time.Hour); read(); f.run(time.Second); f.step(-time.Hour) }, time.Second},
		{"suspension after the wall clock stepped back", func(f *fakeSource, read func()) { f.step(-time.Hour); read(); f.suspend(4 * time.Second) }, 4 * time.Second},
		{"CLOCK_BOOTTIME is not available", func(f *fakeSource, _ func()) { f.unknown = true; f.run(time.Second); f.suspend(5 * time.Second) }, time.Second},
		{"CLOCK_BOOTTIME jumps by itself", func(f *fakeSource, _ func()) { f.boot += 1000 * time.Hour; f.step(time.Second) }, time.Second + minOffsetChange},
		{"gradual wall clock adjustments", func(f *fakeSource, read func()) {
			for range 50 {
				f.run(time.Second)
				f.step(time.Millisecond)
				read()
			}
		}, 50 * time.Second},
	} {
		f := &fakeSource{boot: time.Hour}
		clock := New(f)
		start := clock.Now()
		c.run(f, func() { clock.Now() })
		if got := clock.Now().Sub(start); got != c.want {
			t.Errorf("%s: %v elapsed, want %v", c.name, got, c.want)
		}
	}
}

// TestRuntimeTime checks that a deadline converted to the runtime's clock
// leaves the same time as it does on this clock after a suspension.
func TestRuntimeTime(t *testing.T) {
	f := &fakeSource{}
	clock := New(f)
	deadline := clock.Now().Add(8 * time.Second)
	f.suspend(5 * time.Second)
	clock.Now()
	if left := clock.RuntimeTime(deadline).Sub(f.Read().Time); left != 3*time.Second {
		t.Errorf("the runtime would wait %v, want 3s", left)
	}
}

// TestSystemClock uses the real clocks of the machine that runs the test.
func TestSystemClock(t *testing.T) {
	a := Now()
	time.Sleep(2 * time.Millisecond)
	if d := Since(a); d < 2*time.Millisecond || d > time.Minute {
		t.Errorf("%v elapsed, want at least 2ms and at most a minute", d)
	}
	if lead, ok := (systemSource{}).SuspendLead(); !ok || lead < 0 {
		t.Errorf("CLOCK_BOOTTIME is %v ahead, known %t, want a known duration that is not negative", lead, ok)
	}
	if left := Until(a.Add(time.Hour)); left > time.Hour || left < 59*time.Minute {
		t.Errorf("%v until a time one hour ahead, want between 59 and 60 minutes", left)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
