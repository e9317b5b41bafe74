package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// restCase is what a replica "r" asked daemon 0 for at 100 s, and what reached it then.
type restCase struct {
	name     string
	broken   bool
	rest     float64   // seconds
	arrivals []float64 // by way of daemon 0
	play     func(l *Ledger)
}

// TestJudgeOfResting plays rests and the requests that reach the replica meanwhile.
func TestJudgeOfResting(t *testing.T) {
	send := func(l *Ledger, daemon, incarnation int, when float64) {
		q := Request{ID: fmt.Sprint(daemon, incarnation, when), Route: routes[1], Daemon: daemon, Incarnation: incarnation, Sent: at(when)}
		l.Sent(q)
		l.Arrived(q.ID, Arrival{Replica: "r", At: at(when)})
	}
	for _, c := range []restCase{
		{"two requests", false, 3, []float64{101, 102}, nil},
		{"three", true, 3, []float64{101, 102, 102.9}, nil},
		{"three, of which one came within half a second", false, 3, []float64{100.4, 102, 102.9}, nil},
		{"three, of which one came after the end", false, 3, []float64{101, 102, 103.1}, nil},
		{"three within a fraction of a second", true, .75, []float64{100.6, 100.65, 100.7}, nil},
		{"a rest that is over before anything counts", false, .4, []float64{100.1, 100.2, 100.3}, nil},
		{"a shorter rest asked for later does not cut it", true, 3, []float64{101, 102, 102.5}, func(l *Ledger) { l.AsksForRest("0 1 100", "r", time.Second, at(100.2)) }},
		{"a longer one asked for later counts for itself", true, 1, []float64{102, 103, 104}, func(l *Ledger) { l.AsksForRest("0 1 100", "r", 5*time.Second, at(100.5)) }},
		{"three by another daemon, which was asked nothing", false, 3, nil, func(l *Ledger) {
			for _, when := range []float64{101, 102, 102.5} {
				send(l, 1, 1, when)
			}
		}},
		{"three by the daemon after it started again", false, 3, nil, func(l *Ledger) {
			for _, when := range []float64{101, 102, 102.5} {
				send(l, 0, 2, when)
			}
		}},
		{"three after the daemon was frozen", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Froze(0, at(100.5), at(100.9)) }},
		{"three by the last build, which knows no rests", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"three by this build, after the last one", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) {
			l.Runs(0, 0, BuildPrevious)
			l.Runs(0, 1, BuildCurrent)
		}},
		{"three before it was frozen", true, 3, []float64{101, 102, 102.5}, func(l *Ledger) { l.Froze(0, at(102.8), at(104)) }},
		{"the store's trouble is no excuse", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbStore(at(100), at(104)) }},
		{"nor is trouble of the daemon's links", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbDaemon(0, at(100), at(104)) }},
		{"nor that the entry goes and is back", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) {
			l.Departed("r", at(100.5))
			l.Returned("r", at(100.8))
		}},
		{"three that the replica's link may have held up", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbReplica("r", at(99), at(104)) }},
		{"three after the replica started again", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Joined("r", "s", at(100.7)) }},
		{"three by a replica that had started before", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Joined("r", "s", at(99)) }},
	} {
		l := newLedger(defaultBounds())
		send(l, 0, 1, 100)
		l.AsksForRest("0 1 100", "r", time.Duration(c.rest*float64(time.Second)), at(100))
		for _, when := range c.arrivals {
			send(l, 0, 1, when)
		}
		if c.play != nil {
			c.play(l)
		}
		broken := slices.ContainsFunc(l.Check(at(200)), func(v Violation) bool { return v.Promise == "BUDGET" && strings.HasPrefix(v.Subject, restSubject) })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestJudgeOfLeavers plays a replica "r" that said to a request of daemon 0, whose answer began
// at 100 s, that it leaves, and a later request.
func TestJudgeOfLeavers(t *testing.T) {
	type later struct {
		sent        float64
		daemon      int
		incarnation int
	}
	for _, c := range []struct {
		name   string
		broken bool
		later  later
		play   func(l *Ledger)
	}{
		{"a request by the same daemon, soon", false, later{102, 0, 1}, nil},
		{"one sent too late", true, later{103, 0, 1}, nil},
		{"one by the daemon after it started again", false, later{103, 0, 2}, func(l *Ledger) { l.DisturbDaemon(0, at(101), at(101.5)) }},
		{"one by the daemon after it was frozen", false, later{103, 0, 1}, func(l *Ledger) {
			l.Froze(0, at(101), at(101.5))
			l.DisturbDaemon(0, at(101), at(101.5))
		}},
		{"the store's trouble is no excuse for it", true, later{103, 0, 1}, func(l *Ledger) { l.DisturbStore(at(99), at(104)) }},
		{"one by the same daemon of the last build", false, later{103, 0, 1}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"one by another daemon of the last build", false, later{103, 1, 1}, func(l *Ledger) { l.Runs(1, 1, BuildPrevious) }},
		{"one by another daemon, told by one of the last build", false, later{103, 1, 1}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"one by another daemon in touch", true, later{103, 1, 1}, nil},
		{"one by another daemon while the store is in trouble", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbStore(at(99), at(104)) }},
		{"one by another daemon that was out of touch", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbDaemon(1, at(99), at(101)) }},
		{"one by another daemon, the first out of touch", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbDaemon(0, at(99), at(101)) }},
		{"one that the replica's link may have held up", false, later{103, 0, 1}, func(l *Ledger) { l.DisturbReplica("r", at(102), at(104)) }},
		{"one after a refusal that nobody passed on", false, later{103, 0, 1}, func(l *Ledger) {
			l.Answered("q", Answer{At: at(100.1), Begun: at(100), Status: 503})
		}},
	} {
		l := newLedger(defaultBounds())
		l.Sent(Request{ID: "q", Route: routes[1], Daemon: 0, Incarnation: 1, Sent: at(99.9)})
		l.SaysThatItLeaves("q", "r")
		l.Answered("q", Answer{At: at(100.1), Begun: at(100), Status: 200, Seal: "r"})
		q := Request{ID: "late", Route: routes[1], Daemon: c.later.daemon, Incarnation: c.later.incarnation, Sent: at(c.later.sent)}
		l.Sent(q)
		l.Arrived(q.ID, Arrival{Replica: "r", At: at(c.later.sent)})
		if c.play != nil {
			c.play(l)
		}
		broken := slices.ContainsFunc(l.Check(at(200)), func(v Violation) bool { return v.Promise == "DRAIN" })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// Seen: a replica turned a daemon away with 503 and asked for 3 s of rest, and got three and
// four requests of that daemon in that time, twice on a day.
// How it came about: replicas in trouble turn all away for seconds. Each refusal was counted as
// a failure; the fourth ejected the replica for .5 s, the next for 1 s, and after each the
// daemon sent there again. Where most replicas are in trouble ejections are void.
// Cause: the daemon read nothing of what a replica says of itself in an answer but its load.
// Proved by: lines with the rest that each answer asked for. Of the requests that arrived too
// late, all were sent after the refusal that asked; here, over real processes, the more replicas
// are in trouble together the more rests are broken.
func TestReplicasThatAskForRestAreLeftAlone(t *testing.T) {
	const daemons = 8
	some := func(at time.Duration, target int) Fault {
		return Fault{At: at, For: 4 * time.Second, Kind: backoffReplicas, Target: target, Variant: 81}
	}
	whole := func(at time.Duration, target int) Fault {
		return Fault{At: at, For: 3500 * time.Millisecond, Kind: backoffReplicas, Target: target, Variant: 80}
	}
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 4, Chat: 16, Callers: 4 * daemons, Trouble: time.Second, Quiet: 6 * time.Second,
		Faults: []Fault{
			some(0, 9), some(time.Second, 12), some(2*time.Second, 15), some(3*time.Second, 18),
			whole(5*time.Second, 9), whole(6*time.Second, 0),
			{At: 6 * time.Second, Kind: reloadDaemon, Target: 3}, {At: 7 * time.Second, Kind: reloadDaemon, Target: 4},
		},
	}
	report := playPlan(t, plan)
	if report.Backoffs < 50 {
		t.Errorf("only %d rests were asked for; the replicas did not do what is played here", report.Backoffs)
	}
}

// The same cause, seen with replicas that leave and say so in their answers, while their entries
// go on saying that they are ready: 83 requests reached such replicas too late, at 14 pairs of
// daemon and replica.
func TestReplicasThatLeaveByTheirAnswersAreLeftAlone(t *testing.T) {
	const daemons = 8
	leave := func(at time.Duration, target int) Fault {
		return Fault{At: at, For: 6 * time.Second, Kind: departInResponses, Target: target, Variant: target}
	}
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 4, Chat: 16, Callers: 4 * daemons, Trouble: time.Second, Quiet: 6 * time.Second,
		Faults: []Fault{leave(0, 9), leave(0, 12), leave(time.Second, 15), leave(time.Second, 0)},
	}
	report := playPlan(t, plan)
	if report.Departures < len(plan.Faults)/2 {
		t.Errorf("only %d replicas left by their answers; they did not do what is played here", report.Departures)
	}
}

// playPlan plays a plan with a daemon of this checkout, and reports each broken promise.
func playPlan(t *testing.T, plan *Plan) *Report {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	report, err := Play(context.Background(), plan, Options{Daemon: buildDaemon(t, root), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %.3f served, %.3f at the end; %d rests, %d replicas that left by their answers, %d violations",
		report.Requests, report.Share, report.QuietShare, report.Backoffs, report.Departures, len(report.Violations))
	const shown = 10
	for _, v := range report.Violations[:min(shown, len(report.Violations))] {
		t.Errorf("%s %s: %s", v.Promise, v.Subject, v.Detail)
	}
	return report
}
