package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// restCase describes a backoff that replica "r" requests from daemon 0 at 100 s, and the requests
// that reach the replica after that.
type restCase struct {
	name     string
	broken   bool
	rest     float64   // seconds
	arrivals []float64 // in seconds, via daemon 0
	play     func(l *Ledger)
}

// TestBackoffViolations checks which arrivals at a replica during a requested backoff violate it.
func TestBackoffViolations(t *testing.T) {
	send := func(l *Ledger, daemon, incarnation int, when float64) {
		q := Request{ID: fmt.Sprint(daemon, incarnation, when), Route: routes[1], Daemon: daemon, Incarnation: incarnation, Sent: at(when)}
		l.Sent(q)
		l.Arrived(q.ID, Arrival{Replica: "r", At: at(when)})
	}
	unread := func(conn string) func(string, time.Time) (bool, string) {
		return func(c string, _ time.Time) (bool, string) { return c != conn, "" }
	}
	for _, c := range []restCase{
		{"two requests", false, 3, []float64{101, 102}, nil},
		{"three", true, 3, []float64{101, 102, 102.9}, nil},
		{"three, one of them within the grace of half a second", false, 3, []float64{100.4, 102, 102.9}, nil},
		{"three, one of them after the end of the backoff", false, 3, []float64{101, 102, 103.1}, nil},
		{"three within a fraction of a second", true, .75, []float64{100.6, 100.65, 100.7}, nil},
		{"a backoff shorter than the grace", false, .4, []float64{100.1, 100.2, 100.3}, nil},
		{"a shorter backoff requested later doesn't shorten it", true, 3, []float64{101, 102, 102.5}, func(l *Ledger) { l.BackoffRequested("0 1 100", "r", time.Second, at(100.2), "conn") }},
		{"a longer backoff requested later is checked on its own", true, 1, []float64{102, 103, 104}, func(l *Ledger) { l.BackoffRequested("0 1 100", "r", 5*time.Second, at(100.5), "conn") }},
		{"three from another daemon, which wasn't asked to back off", false, 3, nil, func(l *Ledger) {
			for _, when := range []float64{101, 102, 102.5} {
				send(l, 1, 1, when)
			}
		}},
		{"three from the daemon after its restart", false, 3, nil, func(l *Ledger) {
			for _, when := range []float64{101, 102, 102.5} {
				send(l, 0, 2, when)
			}
		}},
		{"three after the daemon was frozen", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Froze(0, at(100.5), at(100.9)) }},
		{"three from the previous build, which doesn't know backoffs", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"three from the current build, which replaced the previous one", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) {
			l.Runs(0, 0, BuildPrevious)
			l.Runs(0, 1, BuildCurrent)
		}},
		{"three before the daemon was frozen", true, 3, []float64{101, 102, 102.5}, func(l *Ledger) { l.Froze(0, at(102.8), at(104)) }},
		{"three while the store is disturbed", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbStore(at(100), at(104)) }},
		{"three while the daemon's links are disturbed", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbDaemon(0, at(100), at(104)) }},
		{"three after the entry was deleted and written again", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) {
			l.Departed("r", at(100.5))
			l.Returned("r", at(100.8))
		}},
		{"three that a fault of the replica's link may have delayed", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbReplica("r", at(99), at(104)) }},
		{"three after the replica restarted", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Joined("r", "s", at(100.7)) }},
		{"three after a refusal that the daemon can't have read", false, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.wasRead = unread("conn") }},
		{"three after a refusal that the daemon read, though its caller had disconnected", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Disconnected("0 1 100", at(99.99)) }},
		{"three after a refusal whose caller disconnected later", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Disconnected("0 1 100", at(100.6)) }},
		{"three after a second refusal, which the daemon read", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) {
			l.wasRead = unread("conn")
			send(l, 0, 1, 100.2)
			l.BackoffRequested("0 1 100.2", "r", 3*time.Second, at(100.2), "another")
		}},
		{"three after a refusal that the daemon read, though a fault of the replica's link may have delayed its request", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbReplica("r", at(99), at(100.1)) }},
		{"three after a refusal just after a fault of the replica's link", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.DisturbReplica("r", at(99), at(99.9)) }},
		{"three at a replica that had started before the backoff", true, 3, []float64{101, 102, 102.9}, func(l *Ledger) { l.Joined("r", "s", at(99)) }},
	} {
		l := newLedger(defaultBounds())
		send(l, 0, 1, 100)
		l.BackoffRequested("0 1 100", "r", time.Duration(c.rest*float64(time.Second)), at(100), "conn")
		for _, when := range c.arrivals {
			send(l, 0, 1, when)
		}
		if c.play != nil {
			c.play(l)
		}
		broken := slices.ContainsFunc(l.Check(at(200)), func(v Violation) bool { return v.Promise == "BUDGET" && strings.HasPrefix(v.Subject, backoffSubject) })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestDepartureViolations checks which requests reach a replica too late after its departure. Replica
// "r" announces it in a response that daemon 0 begins to forward at 100 s; one later request
// follows.
func TestDepartureViolations(t *testing.T) {
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
		{"soon, from the same daemon", false, later{102, 0, 1}, nil},
		{"too late, from the same daemon", true, later{103, 0, 1}, nil},
		{"from the daemon after its restart", false, later{103, 0, 2}, func(l *Ledger) { l.DisturbDaemon(0, at(101), at(101.5)) }},
		{"from the daemon after it was frozen", false, later{103, 0, 1}, func(l *Ledger) {
			l.Froze(0, at(101), at(101.5))
			l.DisturbDaemon(0, at(101), at(101.5))
		}},
		{"from the same daemon while the store is disturbed", true, later{103, 0, 1}, func(l *Ledger) { l.DisturbStore(at(99), at(104)) }},
		{"from the same daemon, of the previous build", false, later{103, 0, 1}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"from another daemon, of the previous build", false, later{103, 1, 1}, func(l *Ledger) { l.Runs(1, 1, BuildPrevious) }},
		{"from another daemon, the announcement forwarded by the previous build", false, later{103, 1, 1}, func(l *Ledger) { l.Runs(0, 1, BuildPrevious) }},
		{"from another daemon in touch", true, later{103, 1, 1}, nil},
		{"from another daemon while the store is disturbed", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbStore(at(99), at(104)) }},
		{"from another daemon that was out of touch", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbDaemon(1, at(99), at(101)) }},
		{"from another daemon, the forwarding one out of touch", false, later{103, 1, 1}, func(l *Ledger) { l.DisturbDaemon(0, at(99), at(101)) }},
		{"possibly delayed by a fault of the replica's link", false, later{103, 0, 1}, func(l *Ledger) { l.DisturbReplica("r", at(102), at(104)) }},
		{"after an announcement that wasn't forwarded", false, later{103, 0, 1}, func(l *Ledger) {
			l.Answered("q", Answer{At: at(100.1), Begun: at(100), Status: 503})
		}},
	} {
		l := newLedger(defaultBounds())
		l.Sent(Request{ID: "q", Route: routes[1], Daemon: 0, Incarnation: 1, Sent: at(99.9)})
		l.DepartureAnnounced("q", "r")
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

// TestDaemonsHonorRequestedBackoffs guards against daemons that ignore the backoff which a
// replica requests in a refusal. A replica responded with 503 and requested a backoff of 3 s, and
// received three requests from that daemon in one case and four in another, all sent after the
// refusal: the daemon read only the load from responses. It counted each refusal as a failure,
// ejected the replica for 0.5 s after the fourth and for 1 s after the next, and then sent to it
// again. When most replicas are in trouble, ejections are ignored, so that more replicas in
// trouble at once mean more violations.
func TestDaemonsHonorRequestedBackoffs(t *testing.T) {
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
		t.Errorf("only %d backoffs were requested, want at least 50; the faults did not take effect", report.Backoffs)
	}
}

// TestDaemonsHonorAnnouncedDepartures guards against the same failure to read
// responses, with replicas that announce their departure in responses while their entries stay
// ready. 83 requests reached such replicas too late, over 14 pairs of daemon and replica.
func TestDaemonsHonorAnnouncedDepartures(t *testing.T) {
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
		t.Errorf("only %d replicas announced their departure in responses; the faults did not take effect", report.Departures)
	}
}

// playPlan runs a plan with the daemon built from this checkout, and fails the test if there are
// violations.
func playPlan(t *testing.T, plan *Plan) *Report {
	t.Helper()
	report, err := Play(context.Background(), plan, Options{Daemon: buildOwnDaemon(t), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %.3f served, %.3f at the end; %d backoffs requested, %d replicas that announced their departure, %d violations",
		report.Requests, report.Share, report.QuietShare, report.Backoffs, report.Departures, len(report.Violations))
	const shown = 10
	for _, v := range report.Violations[:min(shown, len(report.Violations))] {
		t.Errorf("%s %s: %s", v.Promise, v.Subject, v.Detail)
	}
	return report
}
