package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCrashingRequestsReachFewReplicas guards against a request that crashes each replica that
// runs it and spreads through the fleet. Its caller sends it again, with the same path and body
// and under another id, to any daemon. Daemons identified requests only by id and blamed a broken
// response on the replica alone, so each daemon took it for a new request and also retried it on a
// second replica. One request crashed 38 to 43 replicas of a service, and was forwarded 19 to 22
// times later than 3 s after the third crash. In the daemons' logs one prompt was in flight at 22
// of 25 crashes, through all 8 daemons, the next one at 5. Over real processes, as here, each try
// crashed 1.7 replicas where two attempts are allowed.
func TestCrashingRequestsReachFewReplicas(t *testing.T) {
	const daemons, replicas = 8, 12
	binary := buildOwnDaemon(t)
	reply, once := 3, 0
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 4, Chat: replicas, Callers: 3 * daemons, Trouble: time.Second, Quiet: 11 * time.Second,
		Crashing: []Crashing{
			{Route: reply, At: time.Second, Interval: 200 * time.Millisecond},
			{Route: reply, At: 2 * time.Second, Interval: 300 * time.Millisecond, MidResponse: true},
			{Route: once, At: 3 * time.Second, Interval: 400 * time.Millisecond},
		},
	}
	report, err := Play(context.Background(), plan, Options{Daemon: binary, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d replicas crashed; %.3f of %d other requests were served, %.3f at the end", report.Crashed, report.Share, report.Requests, report.QuietShare)
	for _, v := range report.Violations {
		t.Errorf("%s %s: %s", v.Promise, v.Subject, v.Detail)
	}
	if least := 3 * len(plan.Crashing); report.Crashed < least {
		t.Errorf("only %d replicas crashed; too few for what this test checks", report.Crashed)
	}
}

// ownDaemon builds the daemon of this checkout once, for all tests.
var ownDaemon struct {
	once   sync.Once
	binary string
	err    error
}

// TestMain removes the daemon that the tests share.
func TestMain(m *testing.M) {
	code := m.Run()
	if ownDaemon.binary != "" {
		_ = os.RemoveAll(filepath.Dir(ownDaemon.binary))
	}
	os.Exit(code)
}

// buildOwnDaemon returns the path of the daemon of this checkout.
func buildOwnDaemon(t *testing.T) string {
	t.Helper()
	ownDaemon.once.Do(func() {
		dir, err := os.MkdirTemp("", "hingewinchd")
		if err != nil {
			ownDaemon.err = err
			return
		}
		ownDaemon.binary = filepath.Join(dir, "hingewinchd")
		out, err := exec.Command("go", "build", "-o", ownDaemon.binary, "../../cmd/hingewinchd").CombinedOutput()
		if err != nil {
			ownDaemon.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if ownDaemon.err != nil {
		t.Fatal(ownDaemon.err)
	}
	return ownDaemon.binary
}

// TestCheckCrashing records crashes and later arrivals of one crashing request, through
// daemon 0 unless another one is named.
func TestCheckCrashing(t *testing.T) {
	type arrival struct {
		at     float64
		daemon int
	}
	arrivals := func(times ...float64) (out []arrival) {
		for _, s := range times {
			out = append(out, arrival{at: s})
		}
		return out
	}
	for _, c := range []struct {
		name   string
		broken bool
		ends   []string // replicas that crash, one each tenth of a second from 100 s on
		later  []arrival
		play   func(l *Ledger)
	}{
		{"three later arrivals", false, []string{"a", "b", "c"}, arrivals(104, 105, 106), nil},
		{"four", true, []string{"a", "b", "c"}, arrivals(104, 105, 106, 107), nil},
		{"four, one of them before daemons must know of the crashes", false, []string{"a", "b", "c"}, arrivals(103.1, 105, 106, 107), nil},
		{"many, but only two replicas crashed", false, []string{"a", "b"}, arrivals(104, 105, 106, 107, 108), nil},
		{"four after a replica that restarted under its id crashed twice", true, []string{"a", "b", "", "", "", "a"}, arrivals(104, 105, 106, 107), nil},
		{"many, one crash recorded twice", false, []string{"a", "a", "b"}, arrivals(104, 105, 106, 107), nil},
		{"four, long after", true, []string{"a", "b", "c"}, arrivals(104, 200, 300, 4000), nil},
		{"four by different daemons", true, []string{"a", "b", "c"}, []arrival{{104, 0}, {105, 1}, {106, 2}, {107, 0}}, nil},
		{"four, one by a daemon that is not up to date", false, []string{"a", "b", "c"}, []arrival{{104, 0}, {105, 1}, {106, 0}, {107, 0}},
			func(l *Ledger) { l.DisturbDaemon(1, at(103), at(104)) }},
		{"four, with the store disturbed before one", false, []string{"a", "b", "c"}, arrivals(104, 105, 106, 110),
			func(l *Ledger) { l.DisturbStore(at(108), at(109)) }},
	} {
		l := newLedger(defaultBounds())
		for i, replica := range c.ends {
			if replica != "" {
				l.Crashed(1, replica, at(100+float64(i)/10))
			}
		}
		for i, a := range c.later {
			q := Request{ID: fmt.Sprint(i), Route: routes[1], Daemon: a.daemon, Sent: at(a.at), Crashing: 1}
			l.Sent(q)
			l.Arrived(q.ID, Arrival{Replica: "z", At: at(a.at)})
		}
		if c.play != nil {
			c.play(l)
		}
		broken := slices.ContainsFunc(l.Check(at(5000)), func(v Violation) bool {
			return v.Promise == "BUDGET" && strings.HasPrefix(v.Subject, crashingPathPrefix)
		})
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestCheckFalseQuarantine records refusals because a request is quarantined.
func TestCheckFalseQuarantine(t *testing.T) {
	for _, c := range []struct {
		name     string
		target   string
		crashing int
		sent     float64
		held     bool
		broken   bool
	}{
		{"a crashing request", "/reply/crashing-1", 1, 100, true, false},
		{"an ordinary one", "/reply/7", 0, 100, true, true},
		{"an ordinary one that was refused for another reason", "/reply/7", 0, 100, false, false},
		{"a poll, in flight beside the crashes", pollTarget, 0, 100, true, false},
		{"the same at the end of the quiet time", pollTarget, 0, 120, true, true},
	} {
		l := newLedger(defaultBounds())
		l.KeyAdded("k", "w", time.Time{})
		l.RouteTo("safe", "gate", time.Time{})
		l.BeginRecoveryCheck(at(110))
		l.Sent(Request{ID: "q", Route: routes[1], Target: c.target, Key: "k", Sent: at(c.sent), Deadline: at(c.sent + 2), Crashing: c.crashing})
		l.Answered("q", Answer{At: at(c.sent), Status: 503, Quarantined: c.held})
		broken := slices.ContainsFunc(l.Check(at(200)), func(v Violation) bool { return v.Promise == "HELD" })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestCrashingNumber checks the number that replicas parse from a path.
func TestCrashingNumber(t *testing.T) {
	for path, want := range map[string]int{"/reply/crashing-2": 2, "/once/crashing-31-late": 31, "/reply/7": 0, "/reply/crashing-": 0} {
		if got := crashingNumber(path); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
}
