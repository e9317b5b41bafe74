package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// TestPartsThatCrashReplicasReachFewOfThem guards against requests that share nothing but one part of their
// prompts and crash one replica after another, because daemons compare whole requests.
func TestPartsThatCrashReplicasReachFewOfThem(t *testing.T) {
	t.Parallel()
	const daemons, replicas = 8, 18
	reply, chat := 3, 2
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 4, Chat: replicas, Callers: 5 * daemons, Trouble: time.Second, Quiet: 15 * time.Second,
		CrashingParts: []CrashingPart{
			{Route: reply, At: 3 * time.Second, Interval: 200 * time.Millisecond},
			{Route: chat, At: 5 * time.Second, Interval: 400 * time.Millisecond},
		},
	}
	report, err := Play(context.Background(), plan, Options{Daemon: buildOwnDaemon(t), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d replicas crashed; %.3f of %d ordinary requests were served, %.3f at the end, %d refused for a part", report.Crashed, report.Share, report.Requests, report.QuietShare, report.HeldForParts)
	for i, v := range report.Violations {
		if i < 8 {
			t.Errorf("%s %s: %s", v.Promise, v.Subject, v.Detail)
		}
	}
	if least := 5 * len(plan.CrashingParts); report.Crashed < least {
		t.Errorf("only %d replicas crashed; too few for what this test checks", report.Crashed)
	}
}

// TestCheckCrashingParts records crashes under one part, one each tenth of a second from second 100 on,
// later arrivals of requests with it, and ordinary streams before and beside them, through daemon 0. The service has two
// replicas, a and b.
func TestCheckCrashingParts(t *testing.T) {
	for _, c := range []struct {
		name           string
		crashes        int
		later          []float64
		before, beside int // of 40 ordinary streams each that begin
		play           func(l *Ledger)
		budget, lost   bool
	}{
		{"three later arrivals", 5, []float64{104, 105, 106}, 40, 40, nil, false, false},
		{"four", 5, []float64{104, 105, 106, 107}, 40, 40, nil, true, false},
		{"four, long after", 5, []float64{104, 200, 300, 4000}, 40, 40, nil, true, false},
		{"four, one of them before daemons must know", 5, []float64{103, 105, 106, 107}, 40, 40, nil, false, false},
		{"many, but only four crashes", 4, []float64{104, 105, 106, 107, 108}, 40, 40, nil, false, false},
		{"four through a daemon that is not up to date", 5, []float64{104, 105, 106, 107}, 40, 40,
			func(l *Ledger) { l.DisturbDaemon(0, at(100), at(110)) }, false, false},
		{"ordinary streams begin half as often", 5, nil, 40, 20, nil, false, false},
		{"less than that", 5, nil, 40, 19, nil, false, true},
		{"less than that, after three crashes", 3, nil, 40, 10, nil, false, true},
		{"as rarely as before", 5, nil, 10, 10, nil, false, false},
		{"less than half as often, at no usable replica, as at the first crash", 5, nil, 40, 0, func(l *Ledger) {
			l.SetAside("a", at(95), at(101))
			l.SetAside("a", at(108), at(119))
			l.SetAside("b", at(95), at(119))
		}, false, false},
		{"less than half as often, at one usable replica, and none at the first crash", 5, nil, 40, 19, func(l *Ledger) {
			l.SetAside("a", at(95), at(101))
			l.SetAside("b", at(95), at(119))
		}, false, true},
		{"less than half as often, at one usable replica of two", 5, nil, 40, 19, func(l *Ledger) { l.SetAside("b", at(108), at(119)) }, false, true},
		{"less than half as often, at no usable replica of two", 5, nil, 40, 0, func(l *Ledger) {
			l.SetAside("a", at(108), at(119))
			l.SetAside("b", at(108), at(119))
		}, false, false},
	} {
		l := newLedger(defaultBounds())
		l.KeyAdded("k", "w", time.Time{})
		l.Joined("a", serviceChat, at(0))
		l.Joined("b", serviceChat, at(0))
		for i := range c.crashes {
			l.Crashed(crashingPartBase, fmt.Sprint("r", i), at(100+float64(i)/10))
		}
		for i, s := range c.later {
			id := fmt.Sprint("y", i)
			l.Sent(Request{ID: id, Route: routes[3], Key: "k", Sent: at(s), Deadline: at(s + 2), Crashing: crashingPartBase})
			l.Arrived(id, Arrival{Replica: "z", At: at(s)})
		}
		for i := range 80 {
			sent, begins := 90+float64(i)/10, i < c.before
			if i >= 40 {
				sent, begins = 110+float64(i)/10, i-40 < c.beside
			}
			id, status := fmt.Sprint("s", i), 503
			if begins {
				status = 200
			}
			l.Sent(Request{ID: id, Route: routes[3], Key: "k", Sent: at(sent), Deadline: at(sent + 2)})
			l.Answered(id, Answer{At: at(sent + .1), Status: status})
		}
		if c.play != nil {
			c.play(l)
		}
		found := l.Check(at(5000))
		has := func(promise, subject string) bool {
			return slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == promise && strings.HasPrefix(v.Subject, subject) })
		}
		if budget, lost := has("BUDGET", crashingPartPrefix), has("LOST", "beside"); budget != c.budget || lost != c.lost {
			t.Errorf("%s: BUDGET broken %t, want %t; LOST broken %t, want %t", c.name, budget, c.budget, lost, c.lost)
		}
	}
}

// TestCrashingReplicaGoesOnAfterLastEvent guards against a replica that, before it crashes on a part of the prompt, writes an
// event again that the daemon already has. The daemon has to reject it and end the response, which LOST takes for its fault.
func TestCrashingReplicaGoesOnAfterLastEvent(t *testing.T) {
	const id, maxTries = "y1000-1", 20 // in half of the tries the replica crashes without an event
	events := streamEvents(id)
	for after := range len(events) + 1 {
		want := ""
		if after < len(events) {
			want = events[after]
		}
		got := ""
		for try := 0; try < maxTries && got == ""; try++ {
			got = bodyBeforeCrash(t, id, after)
		}
		if got != want {
			t.Errorf("after event %d, the replica wrote %q, want %q", after, got, want)
		}
	}
}

// bodyBeforeCrash returns the body that a replica writes before it crashes on a part of the prompt, to a daemon that has a
// number of events.
func bodyBeforeCrash(t *testing.T, id string, after int) string {
	t.Helper()
	l := newLedger(defaultBounds())
	near, far := net.Pipe()
	defer near.Close()
	x := &exchange{Replica: &Replica{ID: "i-1", ledger: l, crashed: func() {}}, conn: far, id: id, head: standin.RequestHead{LastEventID: after}}
	x.run = l.Began(id, Run{})
	go func() {
		defer far.Close()
		x.crashWriting(crashingPartBase)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(near), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Fatal("the response of a replica that crashes is complete")
	}
	return string(body)
}
