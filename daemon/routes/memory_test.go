package routes

import (
	"bytes"
	"context"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// TestMemoryNearLimitIsLogged guards against a daemon that is killed for its memory and leaves no hint.
func TestMemoryNearLimitIsLogged(t *testing.T) {
	const limitMB = 284
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	c := newTestControl(l, nil)
	held := uint64(100 * megabyte)
	c.memory = memoryState{watch: coordination.NewMemoryWatch(limitMB * megabyte), read: func() uint64 { return held }}
	now := time.Unix(1_000_000, 0)
	tick := func(after time.Duration) {
		now = now.Add(after)
		c.sampleMemory(now)
	}
	tick(heartbeatInterval)
	held = 250 * megabyte
	tick(heartbeatInterval)
	held = 270 * megabyte
	tick(heartbeatInterval)
	held = 90 * megabyte
	for range 40 {
		tick(heartbeatInterval)
	}
	lines := linesOf(t, l, &out)
	if len(lines) != 2 {
		t.Fatalf("%d lines, want 2: %v", len(lines), lines)
	}
	near, far := lines[0], lines[1]
	if near["memory_mb"] != 250.0 || near["limit_mb"] != 284.0 {
		t.Errorf("got %v", near)
	}
	if far["memory_mb"] != 90.0 || far["largest_mb"] != 270.0 || far["limit_mb"] != 284.0 || far["after_ms"] != 5200.0 {
		t.Errorf("got %v", far)
	}
	if m.Memory.Value() != 90*megabyte || m.MemoryMax.Value() != 270*megabyte || m.MemoryNearLimit.Count() != 1 {
		t.Errorf("memory %d, largest %d, %d times near the limit", m.Memory.Value(), m.MemoryMax.Value(), m.MemoryNearLimit.Count())
	}
}

// TestMemoryNearLimitIsWrittenAtOnce guards against a line that waits for the next flush of the log, while the process
// is killed. The log is closed first, so that nothing takes the request to flush.
func TestMemoryNearLimitIsWrittenAtOnce(t *testing.T) {
	l := newLog(&bytes.Buffer{}, "info", "d", newMetrics())
	l.Close()
	for range 2 {
		l.MemoryNear(9, 10)
	}
	if len(l.flushNow) != 1 {
		t.Errorf("%d requests to flush, want 1", len(l.flushNow))
	}
}

// TestResidentMemory guards against a figure that does not follow what the process holds.
func TestResidentMemory(t *testing.T) {
	m := newResidentMemory()
	debug.FreeOSMemory() // free heap of earlier tests, which is resident, would be used again
	before := m.bytes()
	const added = 64 * megabyte
	held := make([]byte, added)
	for i := 0; i < len(held); i += 512 {
		held[i] = 1
	}
	after := m.bytes()
	runtime.KeepAlive(held)
	if before == 0 || after < before+added*3/4 {
		t.Errorf("%d bytes before and %d after %d were added", before, after, added)
	}
	for text, want := range map[string]uint64{"": 0, "5": 0, "5 x": 0, "100 42 7 1 0 2 0\n": 42, "100 42 ": 42} {
		if got := residentPages([]byte(text)); got != want {
			t.Errorf("%q: %d pages, want %d", text, got, want)
		}
	}
}

// TestTickSamplesMemory guards against a watch that nothing feeds.
func TestTickSamplesMemory(t *testing.T) {
	c := newTestControl(newLog(&bytes.Buffer{}, "info", "d", newMetrics()), nil)
	samples := 0
	c.memory = memoryState{watch: coordination.NewMemoryWatch(0), read: func() uint64 { samples++; return 1 }}
	c.tick(context.Background(), time.Unix(1_000_000, 0))
	if samples != 1 {
		t.Errorf("%d samples in a tick, want 1", samples)
	}
}

// BenchmarkResidentMemory measures a sample.
func BenchmarkResidentMemory(b *testing.B) {
	m := newResidentMemory()
	b.ReportAllocs()
	for b.Loop() {
		m.bytes()
	}
}
