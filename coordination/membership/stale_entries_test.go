package membership

import (
	"fmt"
	"testing"
	"time"
)

// TestEntriesAreStaleWhileNobodyHeardReadsTheStore guards against daemons that take the entries of replicas for fresh
// although nobody whom they hear reads the store: a failure domain that is cut off from all readers, and a store that is
// away. Replicas that restart meanwhile would get the load of warm ones.
func TestEntriesAreStaleWhileNobodyHeardReadsTheStore(t *testing.T) {
	const cutFor = 20 * time.Second
	for _, c := range []struct {
		name    string
		daemons int
		cut     func(i, k int) bool // daemon i, and daemon k or the store (-1)
	}{
		{"a domain of a small fleet", 9, cutDomain},
		{"a domain of a large fleet", 60, cutDomain},
		{"the store, small fleet", 9, func(_, k int) bool { return k < 0 }},
		{"the store, large fleet", 60, func(_, k int) bool { return k < 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newLeasePlay(1, c.daemons, 3)
			p.lost = true
			stale := make([]StaleEntries, c.daemons)
			isStale := make([]bool, c.daemons)
			check := func(i int, d *leaseDaemon) { isStale[i] = stale[i].Update(d.leases, p.now) }
			p.run(8*time.Second, check)
			p.run(10*time.Second, func(i int, d *leaseDaemon) {
				if check(i, d); isStale[i] {
					t.Fatalf("daemon %d takes entries for stale though all is well", i)
				}
			})
			begun, noticed := p.now, time.Duration(0)
			p.cut = c.cut
			p.run(cutFor, func(i int, d *leaseDaemon) {
				if check(i, d); c.cut(i, -1) && !isStale[i] {
					noticed = p.now.Sub(begun)
				}
			})
			t.Logf("entries of the last daemon are stale after %v", noticed)
			if noticed > entriesFreshFor+maxUndetected {
				t.Errorf("%v after the cut a daemon still took its entries for fresh", noticed)
			}
			p.cut = func(_, _ int) bool { return false }
			p.run(8*time.Second, check)
			if s := fmt.Sprint(isStale); s != fmt.Sprint(make([]bool, c.daemons)) {
				t.Errorf("8 s after the cut entries are still stale: %s", s)
			}
		})
	}
}

// cutDomain cuts the first of three failure domains off from the others and the store.
func cutDomain(i, k int) bool {
	return i%3 == 0 && (k < 0 || k%3 != 0) || i%3 != 0 && k >= 0 && k%3 == 0
}
