package membership

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// TestReportedSizeOfASmallFleetDecays guards against daemons that keep each other believing in members that are gone: each
// reports the size that the other has reported, so that it never falls. No version is established by positions then, and a
// daemon that counts the reported ones never hears all.
func TestReportedSizeOfASmallFleetDecays(t *testing.T) {
	for _, c := range []struct{ before, left int }{{8, 2}, {13, 5}, {3, 2}} {
		now, at := time.Unix(1000, 0), feed.Position{Era: 3, Revision: 9}
		members, rosters := holderFleet(c.before, 3, now)
		rosters = rosters[:c.left]
		for _, r := range rosters {
			r.ObserveSize(c.before)
		}
		for range (forgetAfter + 30*time.Second) / (200 * time.Millisecond) {
			now = now.Add(200 * time.Millisecond)
			for i, r := range rosters {
				members[i] = r.NextHeartbeat()
				for k, to := range rosters {
					if k != i {
						to.Observe(members[i:i+1], now)
						to.ObserveSize(r.Size(now))
					}
				}
				r.Forget(now)
			}
		}
		for i, r := range rosters {
			for _, m := range members[:c.left] {
				r.ObservePosition(m, at)
			}
			if n := r.Size(now); n != c.left {
				t.Errorf("%d of %d daemons are left, and daemon %d takes the fleet for one of %d", c.left, c.before, i, n)
			}
			if !r.AllHold(at, at) {
				t.Errorf("%d of %d daemons are left and have told a position, which daemon %d does not count", c.left, c.before, i)
			}
		}
	}
}
