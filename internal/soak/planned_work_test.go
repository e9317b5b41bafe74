package soak

import (
	"testing"
	"time"
)

// plannedWorkPlan returns a plan in which configurations change in series and daemons are stopped and hung up, while
// replicas are silent, drain, crash and break responses off. No daemon is disturbed otherwise.
func plannedWorkPlan() *Plan {
	const (
		daemons = 4
		trouble = 20 * time.Second
	)
	p := &Plan{Daemons: daemons, Domains: 2, Gate: 4, Chat: 6, Callers: 8 * daemons, Trouble: trouble, Quiet: 5 * time.Second, Unframed: true}
	add := func(kind faultKind, first, interval, length time.Duration) {
		for i, at := 0, first; at < trouble; i, at = i+1, at+interval {
			p.Faults = append(p.Faults, Fault{At: at, For: length, Kind: kind, Target: i, Variant: i})
		}
	}
	add(configStorm, time.Second, 4*time.Second, 0)
	add(moveRoute, 2*time.Second, 3*time.Second, 0)
	add(stopDaemon, 3*time.Second, 6*time.Second, 0)
	add(reloadDaemon, 2500*time.Millisecond, 2*time.Second, 0)
	add(silenceReplica, 1500*time.Millisecond, time.Second, maxSilence)
	add(drainReplica, 4*time.Second, 5*time.Second, 0)
	add(crashReplica, 5*time.Second, 5*time.Second, time.Second)
	add(greyReplica, 3500*time.Millisecond, 3*time.Second, 2*time.Second)
	return p
}

// TestDaemonsBreakNothingOffAroundPlannedWork guards against a daemon that breaks off responses around configurations,
// SIGTERM and SIGHUP, at replicas that are silent or at work.
func TestDaemonsBreakNothingOffAroundPlannedWork(t *testing.T) {
	t.Parallel()
	report := playPlan(t, plannedWorkPlan())
	t.Logf("responses broken off: %v", report.BrokenOff)
	if report.BrokenOff[lossByOthers] == 0 {
		t.Error("replicas broke no response off; the plan does not check what it should")
	}
}
