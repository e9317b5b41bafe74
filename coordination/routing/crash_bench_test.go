package routing_test

import (
	"runtime"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// BenchmarkContentKey hashes a request without a body, with a typical body and with the largest
// body.
func BenchmarkContentKey(b *testing.B) {
	for name, size := range map[string]int{"0": 0, "2KB": 2 << 10, "4MB": 4 << 20} {
		body := make([]byte, size)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				routing.NewContentKey("h.example", "/path/x", "w", body)
			}
		})
	}
}

// BenchmarkQuarantined looks up a content as each request does: with no content recorded, and
// with the maximum number.
func BenchmarkQuarantined(b *testing.B) {
	now := time.Now()
	for name, contents := range map[string]int{"nothing_known": 0, "all_known": 2000} {
		c := newQuarantinedCrashes(contents, now)
		b.Run(name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c.Quarantined(5, now)
				}
			})
		})
	}
}

// BenchmarkCrashesMemory reports the largest memory use, in bytes.
func BenchmarkCrashesMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newQuarantinedCrashes(2000, time.Now())
		c.TakeReports(1<<20, time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
		runtime.KeepAlive(c)
	}
}

// newQuarantinedCrashes records the given number of contents, all of which are quarantined.
func newQuarantinedCrashes(contents int, now time.Time) *routing.Crashes {
	c := routing.NewCrashes()
	for i := range contents {
		for r := range 3 {
			c.ReportCrash(routing.ContentKey(1000+i), "w", numberedReplica(r), now)
		}
	}
	return c
}

// BenchmarkClearancesMemory reports the memory, in bytes, of the greatest number of clearances that are kept.
func BenchmarkClearancesMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, now := routing.NewCrashes(), time.Now()
		for i := range 4 * 1000 {
			c.ReportCrash(routing.ContentKey(1+i), "w", numberedReplica(0), now)
			c.Clear(routing.ContentKey(1+i), now)
			if i%1000 == 999 {
				c.TakeReports(1<<20, now)
				c.Forget(now.Add(time.Hour))
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
		runtime.KeepAlive(c)
	}
}
