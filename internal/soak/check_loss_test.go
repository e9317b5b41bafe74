package soak

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCheckKeptConnections guards against a daemon that is disturbed in other ways than by signals and by its callers'
// link, and closes kept connections without a response.
func TestCheckKeptConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		n      int
		play   func(s *scene, run *Run)
		fresh  bool // the connections are new
		broken bool
	}{
		{name: "more than are tolerated", n: 4, broken: true},
		{name: "as many as are tolerated", n: 3},
		{name: "on new connections", n: 4, fresh: true},
		{name: "by a daemon that was killed", n: 4, play: func(s *scene, _ *Run) { s.InterruptDaemon(0, at(100.15), at(101)) }},
		{name: "by replicas that broke off", n: 4, play: func(s *scene, run *Run) { s.BrokeOff(run, at(100.15)) }},
	} {
		s := newScene(routes[0])
		s.DisturbDaemon(0, at(99), at(103)) // from other daemons
		for i := range c.n {
			q := s.q
			q.ID, q.Kept = "q"+itoa(i), !c.fresh
			s.Sent(q)
			run := s.Began(q.ID, Run{Arrival: Arrival{Replica: "r1", Service: "gate", At: at(100.1), Deadline: q.Deadline}, Method: "POST", Target: "/x", Workspace: "w"})
			if c.play != nil {
				c.play(s, run)
			}
			s.Answered(q.ID, Answer{At: at(100.2), Err: errors.New("EOF")})
		}
		if broken := len(s.Check(at(101))) > 0; broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestCheckLossAroundConfigurations guards against a daemon that breaks off more of its requests around configurations
// than at other times. The configuration is sent at 100 s and acknowledged at 101 s.
func TestCheckLossAroundConfigurations(t *testing.T) {
	const each = 20 // requests that end around the configuration, and as many long after it
	for _, c := range []struct {
		name          string
		around, later int // how many of them are broken off
		broken        bool
	}{
		{"none", 0, 0, false},
		{"some around the configuration alone", 1, 0, true},
		{"three times as many", 6, 2, false},
		{"more than three times as many", 7, 2, true},
		{"at other times alone", 0, 2, false},
	} {
		s := newScene(routes[2])
		s.RouteTo("chat", "gate", time.Time{})
		s.ConfigurationSent(at(100))
		s.ConfigurationAcknowledged(at(100), at(101))
		for i := range 2 * each {
			sent, n := 103.5, c.around
			if i >= each {
				sent, n = 105, c.later
			}
			q := s.q
			q.ID, q.Sent, q.Deadline = "q"+itoa(i), at(sent), at(sent+3)
			s.Sent(q)
			s.Began(q.ID, Run{Arrival: Arrival{Replica: "r1", Service: "gate", At: at(sent + .1), Deadline: q.Deadline}, Method: "POST", Target: "/x", Workspace: "w"})
			a := Answer{At: at(sent + .4), Status: 200, Seal: "r1", Body: streamBody(q.ID, 0), Complete: true}
			if i%each < n {
				a.Complete, a.Err = false, errors.New("EOF")
			}
			s.Answered(q.ID, a)
		}
		found := slices.ContainsFunc(s.Check(at(110)), func(v Violation) bool { return v.Promise == "LOST" && v.Subject == "d0 around configurations" })
		if found != c.broken {
			t.Errorf("%s: found %t, want %t", c.name, found, c.broken)
		}
	}
}

// TestLossNamesItsCircumstances guards against a report of a broken response from which its cause can't be traced.
func TestLossNamesItsCircumstances(t *testing.T) {
	s := newScene(routes[2])
	s.RouteTo("chat", "gate", time.Time{})
	s.configure(99.5)
	s.HungUp(0, at(98))
	s.ShutdownBegan(0, at(99), at(103))
	s.hasConnection(connRecord{source: "127.1.2.3", delivered: at(100.35)})
	run := s.send().run("r1", 100.1)
	s.Wrote(run, 60, at(100.3))
	s.breaks(100.4)
	found := s.Check(at(101))
	if len(found) == 0 || found[0].Promise != "LOST" {
		t.Fatalf("found %v, want LOST", found)
	}
	for _, part := range []string{"daemon 0", "replica r1", "60 bytes", "nothing had arrived from it for 50ms", "configuration 900ms", "SIGTERM 1.4s", "SIGHUP 2.4s"} {
		if !strings.Contains(found[0].Detail, part) {
			t.Errorf("%q does not say %q", found[0].Detail, part)
		}
	}
}

// TestKillsAreRecorded guards against a connection to a replica that ends with the daemon that had opened it for another one,
// without a record that the run killed it.
func TestKillsAreRecorded(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end() // no fault waits
	for _, c := range []struct {
		kind faultKind
		want []int // kills of each daemon
	}{
		{killDaemon, []int{0, 1}},
		{killAll, []int{1, 1}},
		{freezeDaemon, []int{0, 0}},
	} {
		l := newLedger(defaultBounds())
		s := &injector{site: &site{ledger: l, fleet: &fleet{daemons: []*daemon{{}, {number: 1}}}}, ctx: ended}
		s.injectProcess(&Fault{Kind: c.kind, Target: 1})
		if got := []int{len(l.kills[0]), len(l.kills[1])}; !slices.Equal(got, c.want) {
			t.Errorf("%s: kills %v, want %v", c.kind, got, c.want)
		}
	}
}

// TestCheckLossAtAnotherVersion guards against a daemon that is blamed for a stream that it broke off since its second replica had
// started again at another software version, and against one that breaks streams off whose replica has their version. Replica r1
// broke off at 100.2 s, and r2 was at work when the response ended.
func TestCheckLossAtAnotherVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		second []versionSpan // of r2
		began  string        // in the body of the response
		broken bool
	}{
		{name: "the same version", second: []versionSpan{{at(90), "v1"}}, began: "v1", broken: true},
		{name: "another version", second: []versionSpan{{at(90), "v2"}}, began: "v1"},
		{name: "another version since just before", second: []versionSpan{{at(90), "v1"}, {at(100.24), "v2"}}, began: "v1"},
		{name: "another version until just before", second: []versionSpan{{at(90), "v2"}, {at(100.24), "v1"}}, began: "v1", broken: true},
		{name: "another version afterwards", second: []versionSpan{{at(90), "v1"}, {at(100.26), "v2"}}, began: "v1", broken: true},
		{name: "nothing had arrived", second: []versionSpan{{at(90), "v2"}}, broken: true},
		{name: "the replica names no version", began: "v1", broken: true},
	} {
		s := newScene(routes[3])
		for _, v := range c.second {
			s.HasVersion("r2", v.version, v.from)
		}
		s.BrokeOff(s.send().run("r1", 100.1), at(100.2))
		s.run("r2", 100.25)
		body := ""
		if c.began != "" {
			body = withVersion("id: 1\ndata: x\n\n", c.began)
		}
		s.answer(Answer{At: at(100.3), Status: 200, Body: body, Err: errors.New("EOF")})
		found := s.Check(at(101))
		if broken := slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == "LOST" }); broken != c.broken {
			t.Errorf("%s: found %v, want broken %t", c.name, found, c.broken)
		}
	}
}

// TestCheckLossOfHeldResponses guards against a response that is taken for broken off by the daemon although a link of the run held
// what the replica wrote, and against one that the daemon broke off although it had arrived. Replica r1 writes its whole response
// of 300 bytes by 100.15 s, and the daemon closes the connection at 100.4 s. Replica r2, to which the request was sent at
// 100.35 s, writes three events, a fault of the run resets its connection at 100.7 s, and the response breaks off then.
func TestCheckLossOfHeldResponses(t *testing.T) {
	const written = 300
	closed := connRecord{closed: at(100.4)}
	delivered := func(when float64, bytes int) connRecord {
		return connRecord{closed: closed.closed, deliveries: []deliveredBytes{{at(when), bytes}}}
	}
	for _, c := range []struct {
		name   string
		first  connRecord // of r1, at the link
		second func(s *scene, run *Run)
		broken bool
	}{
		{name: "nothing had arrived", first: closed},
		{name: "a part had arrived", first: delivered(100.15, written-1)},
		{name: "all had arrived", first: delivered(100.15, written), broken: true},
		{name: "all had arrived, with a surplus of the connection's former response", first: delivered(100.15, written+10), broken: true},
		{name: "as much had arrived, for former requests", first: delivered(99.9, written)},
		{name: "all arrived after the daemon had closed the connection", first: delivered(100.41, written)},
		{name: "the daemon did not close the connection", first: connRecord{}, broken: true},
		{name: "the daemon closed the connection when the response had ended", first: connRecord{closed: at(100.71)}, broken: true},
		{name: "the other replica got the request later, and wrote nothing", first: closed, broken: true, second: func(s *scene, run *Run) {
			run.At, run.Written = at(100.45), 0
		}},
		{name: "the other replica had ended long before", first: closed, broken: true, second: func(s *scene, run *Run) {
			run.At, run.Ended, run.BrokeOff = at(100.2), at(100.3), at(100.3)
		}},
		{name: "the other replica is at work", first: closed, broken: true, second: func(s *scene, run *Run) {
			run.Conn, run.Ended = "at work", time.Time{}
		}},
	} {
		s := newScene(routes[3])
		s.connection = func(conn string, _ time.Time) (connRecord, bool) {
			switch conn {
			case "first":
				return c.first, true
			case "reset":
				return connRecord{reset: at(100.7)}, true
			}
			return connRecord{}, true
		}
		first := s.send().run("r1", 100.1)
		first.Conn = "first"
		s.Wrote(first, written, at(100.15))
		s.Ended(first, 200, at(100.15))
		second := s.run("r2", 100.35)
		second.Conn = "reset"
		s.Wrote(second, 60, at(100.6))
		s.Ended(second, 0, at(100.7))
		if c.second != nil {
			c.second(s, second)
		}
		s.breaks(100.7)
		found := s.Check(at(101))
		if broken := len(found) > 0 && found[0].Promise == "LOST"; broken != c.broken {
			t.Errorf("%s: found %v, want broken %t", c.name, found, c.broken)
		}
	}
}

// TestCheckLossOfHeldResponsesThatAreReset guards against a response that is taken for broken off by the daemon although a link of
// the run held what the replica wrote until a fault ended the connection, and against one that the daemon broke off before. Replica
// r1 writes its whole response of 300 bytes by 100.15 s, long before the connection is closed, at 100.4 s unless a case says otherwise.
func TestCheckLossOfHeldResponsesThatAreReset(t *testing.T) {
	const written = 300
	all := []deliveredBytes{{at(100.15), written}}
	for _, c := range []struct {
		name       string
		conn       connRecord
		terminated float64 // when the replica terminates; 0: it does not
		broken     bool
	}{
		{name: "reset while the link held all", conn: connRecord{reset: at(100.4), closed: at(100.4)}},
		{name: "reset while the link held a part", conn: connRecord{reset: at(100.4), closed: at(100.4), deliveries: []deliveredBytes{{at(100.15), written - 1}}}},
		{name: "reset after all had arrived", conn: connRecord{reset: at(100.4), closed: at(100.4), deliveries: all}, broken: true},
		{name: "reset after the daemon closed the connection", conn: connRecord{reset: at(100.41), closed: at(100.4)}, broken: true},
		{name: "reset after the response ended", conn: connRecord{reset: at(100.5), closed: at(100.5)}, broken: true},
		{name: "closed by the daemon", conn: connRecord{closed: at(100.4)}, broken: true},
		{name: "held, the replica terminates", conn: connRecord{closed: at(100.4)}, terminated: 100.39},
		{name: "all had arrived, the replica terminates", conn: connRecord{closed: at(100.4), deliveries: all}, terminated: 100.39, broken: true},
		{name: "held, the replica terminates after the daemon closed the connection", conn: connRecord{closed: at(100.4)}, terminated: 100.41, broken: true},
		{name: "held, the daemon that opened the connection is killed", conn: connRecord{source: "127.1.2.4", closed: at(100.4)}},
	} {
		s := newScene(routes[2])
		s.ConnectsFrom("127.1.2.4", 1)
		s.Killed(1, at(100.35))
		s.hasConnection(c.conn)
		run := s.send().run("r1", 100.1)
		s.Wrote(run, written, at(100.15))
		s.Ended(run, 200, at(100.15))
		if c.terminated > 0 {
			s.ReplicaTerminated("r1", at(c.terminated))
		}
		s.breaks(100.45)
		found := s.Check(at(101))
		if broken := len(found) > 0 && found[0].Promise == "LOST"; broken != c.broken {
			t.Errorf("%s: found %v, want broken %t", c.name, found, c.broken)
		}
	}
}

// TestCheckLossOfResponsesGivenUpWhileTheyArrive guards against a daemon that gives a replica up although its bytes arrive, and
// that is excused since the last of them were on the way. Replica r1 writes 300 bytes from 100.2 s on. Replica r2, to which the
// request was sent at 100.1 s, writes nothing before 100.6 s, and a fault of the run resets its connection at 100.7 s.
func TestCheckLossOfResponsesGivenUpWhileTheyArrive(t *testing.T) {
	s := newScene(routes[3])
	s.connection = func(conn string, _ time.Time) (connRecord, bool) {
		if conn == "first" {
			return connRecord{closed: at(100.4), deliveries: []deliveredBytes{{at(100.2), 100}, {at(100.3), 100}, {at(100.39), 95}}}, true
		}
		return connRecord{reset: at(100.7)}, true
	}
	first := s.send().run("r1", 100.05)
	first.Conn = "first"
	s.Wrote(first, 300, at(100.4))
	s.Ended(first, 200, at(100.395))
	second := s.run("r2", 100.1)
	second.Conn = "second"
	s.Wrote(second, 60, at(100.6))
	s.Ended(second, 0, at(100.7))
	s.breaks(100.7)
	if found := s.Check(at(101)); len(found) == 0 || found[0].Promise != "LOST" {
		t.Errorf("found %v, want LOST", found)
	}
}
