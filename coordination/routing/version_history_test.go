package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestHistoryOfThePreviousBuildCounts guards against a daemon that refuses to resume streams for minutes while a fleet with long
// streams is upgraded: its peers of the previous build tell a history of two minutes at most.
func TestHistoryOfThePreviousBuildCounts(t *testing.T) {
	for told, want := range map[time.Duration]time.Duration{time.Minute: time.Minute, 2 * time.Minute: 8 * time.Minute, 3 * time.Minute: 3 * time.Minute} {
		h := routing.NewVersionHistory()
		h.RetainFor(8 * time.Minute)
		h.Begin(revision(5), epoch)
		h.Merge(&routing.VersionReport{At: revision(5), Complete: told}, epoch)
		if got := epoch.Sub(h.Since()); got != want {
			t.Errorf("complete for %v by a peer that tells %v, want %v", got, told, want)
		}
	}
}
