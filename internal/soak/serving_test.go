package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// TestCheckServing records refusals because no replica was found, one each tenth of a second from
// 100 s on, by daemon 0 unless another one is named, while replica "r" of the service is live.
func TestCheckServing(t *testing.T) {
	none := string(coordination.ReasonNoUpstream)
	refuse := func(l *Ledger, from, to float64, daemon int, reason string) {
		for when := from; when < to; when += .1 {
			id := fmt.Sprint(daemon, when)
			l.Sent(Request{ID: id, Route: routes[1], Target: "/x", Key: "k", Daemon: daemon, Sent: at(when), Deadline: at(when + 2)})
			l.Answered(id, Answer{At: at(when + .01), Status: 503, Reason: reason})
		}
	}
	for _, c := range []struct {
		name   string
		broken bool
		play   func(l *Ledger)
	}{
		{"for 1.5 s", true, func(l *Ledger) { refuse(l, 100, 101.5, 0, none) }},
		{"for less than 1 s", false, func(l *Ledger) { refuse(l, 100, 100.9, 0, none) }},
		{"with a success between", false, func(l *Ledger) {
			refuse(l, 100, 100.8, 0, none)
			l.Sent(Request{ID: "served", Route: routes[1], Sent: at(100.85)})
			l.Answered("served", Answer{At: at(100.86), Status: 200, Complete: true})
			refuse(l, 100.9, 101.6, 0, none)
		}},
		{"by two daemons in turn", false, func(l *Ledger) {
			refuse(l, 100, 100.9, 0, none)
			refuse(l, 101, 101.9, 1, none)
		}},
		{"because the replica refused", false, func(l *Ledger) { refuse(l, 100, 101.5, 0, string(coordination.ReasonUpstreamBusy)) }},
		{"by a daemon that is not up to date", false, func(l *Ledger) {
			l.DisturbDaemon(0, at(98), at(99))
			refuse(l, 100, 101.5, 0, none)
		}},
		{"while the replica is disturbed", false, func(l *Ledger) {
			l.DisturbReplica("r", at(98), at(100.5))
			refuse(l, 100, 101.5, 0, none)
		}},
		{"while it is backing off", false, func(l *Ledger) {
			l.SetAside("r", at(98), at(100.5))
			refuse(l, 100, 101.5, 0, string(coordination.ReasonBackingOff))
		}},
		{"while it is cold", false, func(l *Ledger) {
			l.TurnedCold("r", coldSpan{span: span{at(99), at(101)}})
			refuse(l, 100, 101.5, 0, string(coordination.ReasonCold))
		}},
		{"while its domain is evacuated", false, func(l *Ledger) {
			l.SetDomain("r", "z")
			l.Evacuated("z", at(99))
			refuse(l, 100, 101.5, 0, string(coordination.ReasonNoUpstream))
		}},
		{"while the route moves", false, func(l *Ledger) {
			l.RouteTo("safe", "gate-2", at(101))
			refuse(l, 100, 101.5, 0, none)
		}},
	} {
		l := newLedger(defaultBounds())
		l.KeyAdded("k", "w", time.Time{})
		l.RouteTo("safe", "gate", time.Time{})
		l.Joined("r", "gate", at(50))
		c.play(l)
		broken := slices.ContainsFunc(l.Check(at(200)), func(v Violation) bool { return v.Promise == "SERVES" })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestRequestsServedDespiteFalseCrashReports reproduces the incident of transport/relay's
// TestResponseDisprovesReportedCrash over real processes: all daemons receive reports, as after
// a cut (which is not simulated), that all replicas of each service have crashed.
func TestRequestsServedDespiteFalseCrashReports(t *testing.T) {
	const daemons = 8
	reported := func(at time.Duration, target, variant int) Fault {
		return Fault{At: at, For: 2 * time.Second, Kind: falseCrashes, Target: target, Variant: variant}
	}
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 3, Chat: 6, Callers: 4 * daemons, Trouble: time.Second, Quiet: 8 * time.Second,
		Faults: []Fault{reported(4*time.Second, 0, 300), reported(4*time.Second, 6, 900), reported(7*time.Second, 0, 10), reported(7*time.Second, 3, 500)},
	}
	report := playPlan(t, plan)
	if report.Share < 0.9 {
		t.Errorf("%.3f of the requests were served although all replicas were live", report.Share)
	}
}
