package experiment_test

import (
	"fmt"
	"testing"

	"hingewinch.org/hingewinch/internal/experiment"
)

// TestGateKeepsReuse holds what the choice of the gate rests on: it keeps the
// reuse of plain hashing, which a controller that follows each report does not.
func TestGateKeepsReuse(t *testing.T) {
	reuse := func(w experiment.Way) float64 {
		x := experiment.New(w, experiment.Scenes[0], 8, 20)
		x.Run()
		return x.Result().Reuse
	}
	hash, fast, gate := reuse(experiment.Hash), reuse(experiment.FastGate), reuse(experiment.Gate)
	if gate < 0.9 || gate < hash-0.02 {
		t.Errorf("reuse is %.3f, plain hashing has %.3f", gate, hash)
	}
	if fast > hash-0.1 {
		t.Errorf("the quick gate has reuse %.3f: the world no longer shows its fault", fast)
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{8, 20}, {64, 400}} {
		for _, s := range experiment.Scenes {
			for _, w := range experiment.Ways {
				b.Run(fmt.Sprintf("%dx%d/%s/%s", size.routers, size.engines, s.Name, w), func(b *testing.B) {
					for range b.N {
						x := experiment.New(w, s, size.routers, size.engines)
						x.Run()
						report(b, x.Result())
					}
				})
			}
		}
	}
}

// BenchmarkBound is the curve between skew and reuse that the bound draws.
func BenchmarkBound(b *testing.B) {
	for _, w := range []experiment.Way{experiment.Bounded, experiment.Probe, experiment.Gate} {
		for _, bound := range []float64{1.1, 1.25, 1.4, 1.6, 2} {
			b.Run(fmt.Sprintf("%s/%v", w, bound), func(b *testing.B) {
				for range b.N {
					x := experiment.New(w, experiment.Scenes[0], 8, 20)
					x.Bound = bound
					x.Run()
					report(b, x.Result())
				}
			})
		}
	}
}

func report(b *testing.B, r experiment.Result) {
	b.ReportMetric(100*r.Reuse, "%reuse")
	b.ReportMetric(r.MaxMean, "max/mean")
	b.ReportMetric(r.P99Mean, "p99/mean")
	b.ReportMetric(100*r.Over, "%over")
	b.ReportMetric(r.WorstOver, "s-worst-over")
	b.ReportMetric(r.WaitP99, "s-wait-p99")
	b.ReportMetric(r.Bytes, "B/daemon/s")
}
