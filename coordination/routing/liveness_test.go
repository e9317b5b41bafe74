package routing_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestLivenessDisprovesTerminations checks which responses disprove a termination at second 100.
func TestLivenessDisprovesTerminations(t *testing.T) {
	type response struct{ opened, at float64 }
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name      string
		responses []response
		disproved bool
	}{
		{"nothing", nil, false},
		{"a response on a connection from before", []response{{50, 101}}, true},
		{"a response before it", []response{{50, 99.9}}, false},
		{"a response at the same time, as far as ages can tell", []response{{50, 100.01}}, false},
		{"a response to a request that was sent right after it", []response{{50, 100.02}}, true},
		{"a response on a connection that was opened right before it", []response{{99.8, 101}}, false},
		{"a response on a connection that was opened after it", []response{{100.5, 101}}, false},
		{"the same after one on a connection from before", []response{{50, 99.9}, {100.5, 101}}, false},
		{"two connections that overlap", []response{{50, 99}, {98, 101}}, true},
		{"the newer response first", []response{{98, 101}, {50, 99}}, true},
	} {
		h := routing.NewHealth()
		r := routing.NewReplica(routing.Replica{ID: "r"})
		for _, a := range c.responses {
			h.RecordAlive(&r, at(a.opened), at(a.at))
		}
		if got := h.Disproves(r.LoadKey(), at(100)); got != c.disproved {
			t.Errorf("%s: disproved %t, want %t", c.name, got, c.disproved)
		}
	}
}

// TestDaemonsForwardDisprovedTerminations checks that a daemon that can disprove a termination
// replies to the report of one that accepted it, so that both use the replica again, and that the
// crash no longer counts against requests.
func TestDaemonsForwardDisprovedTerminations(t *testing.T) {
	here, there := routing.NewHealth(), routing.NewHealth()
	crashes := routing.NewCrashes()
	r := routing.NewReplica(routing.Replica{ID: "r"})
	there.ReportTermination(&r, epoch)
	reports := []routing.CrashReport{{Content: 5, Replica: r.LoadKey(), Age: 2 * time.Second}, {Content: 6, Clears: true}}
	crashes.Observe([]routing.CrashReport{{Content: 5, Replica: r.LoadKey()}}, epoch)
	now := epoch.Add(2 * time.Second)
	here.RecordAlive(&r, epoch.Add(-time.Minute), now)
	if got := here.FilterDisproved(reports, now); len(got) != 1 || !got[0].Clears {
		t.Fatalf("got %+v, want only the clearance", got)
	}
	intervals := here.TakeLivenessReports(10, now)
	if len(intervals) != 1 || intervals[0].Since < time.Minute {
		t.Fatalf("reports are %+v, want one interval", intervals)
	}
	if here.FilterDisproved(reports, now); len(here.TakeLivenessReports(10, now)) != 0 {
		t.Error("the same report is queued again at once")
	}
	found := there.ObserveLiveness(intervals, now)
	if _, why := there.Explain(&r, now); len(found) != 1 || why != "" {
		t.Errorf("disproved are %v; the replica gets no requests because %q", found, why)
	}
	if len(there.TakeLivenessReports(10, now)) != 1 {
		t.Error("the report that disproves a termination is not forwarded")
	}
	if there.ObserveLiveness(intervals, now); len(there.TakeLivenessReports(10, now)) != 0 {
		t.Error("the report is forwarded twice")
	}
	crashes.Disprove(there.Disproves)
	for _, replica := range []string{"a", "b"} {
		other := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(replica)})
		crashes.ReportCrash(5, "w", &other, now)
	}
	if crashes.Quarantined(5, now) {
		t.Error("a request is quarantined after three crashes, one of which is disproved")
	}
}

// TestRealTerminationsAreNeverDisproved simulates in virtual time a replica that restarts again
// and again, any number of connections that are opened and used at any time while an incarnation
// lives, and reports that arrive late, in any order. No real termination may be disproved.
func TestRealTerminationsAreNeverDisproved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := []*routing.Health{routing.NewHealth(), routing.NewHealth(), routing.NewHealth()}
		r := routing.NewReplica(routing.Replica{ID: "r"}) // one key for all incarnations
		draw := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		now := epoch
		var terminations []time.Time
		for range rapid.IntRange(1, 8).Draw(t, "incarnations") {
			started := now
			now = now.Add(draw("uptime", 3000))
			terminated := now
			for range rapid.IntRange(0, 6).Draw(t, "responses") {
				opened := started.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "opened") * float64(terminated.Sub(started))))
				sent := opened.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "sent") * float64(terminated.Sub(opened))))
				rapid.SampledFrom(daemons).Draw(t, "daemon").RecordAlive(&r, opened, sent)
			}
			terminations = append(terminations, terminated)
			now = now.Add(draw("down", 2000) + time.Millisecond)
			for _, d := range daemons {
				d.ObserveLiveness(rapid.SampledFrom(daemons).Draw(t, "sender").TakeLivenessReports(10, now), now.Add(draw("delay", 100)))
			}
		}
		for i, d := range daemons {
			for _, end := range terminations {
				if d.Disproves(r.LoadKey(), end.Add(draw("late", 40))) {
					t.Fatalf("daemon %d disproves the termination at %v", i, end.Sub(epoch))
				}
			}
		}
	})
}
