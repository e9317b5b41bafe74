package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestLostLinksAreNotHeldAgainstReplicas guards against a daemon without links that goes on avoiding
// replicas, and whose reports make daemons with links avoid them: three reporters are believed.
func TestLostLinksAreNotHeldAgainstReplicas(t *testing.T) {
	pool := &routing.Pool{}
	for n := range 3 {
		pool.Ready = append(pool.Ready, *reachReplica(n))
	}
	pool.Sort()
	h := routing.NewHealth()
	h.Reporter = 7
	h.Report(&pool.Ready[0], routing.ResultUnreachable, epoch)
	h.Report(&pool.Ready[1], routing.ResultSilent, epoch)
	h.ReportSilence(&pool.Ready[1], epoch)
	h.ObserveSilences([]routing.SilenceReport{{Replica: pool.Ready[2].LoadKey(), Reporter: 8}}, epoch)
	h.Exonerate(pool, epoch)
	for i := range pool.Ready {
		if _, why := h.Explain(&pool.Ready[i], epoch); why != "" {
			t.Errorf("replica %d still gets nothing: %s", i, why)
		}
	}
	reports := h.TakeSilences(10, epoch.Add(time.Millisecond))
	if len(reports) != 1 || reports[0].Reporter != 8 {
		t.Errorf("reports %v are sent, want only the one of another daemon", reports)
	}
}
