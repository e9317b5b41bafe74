package soak

import (
	"errors"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// scene is a ledger with one request for a route, sent at 100 s through daemon 0
// with a key that is always valid.
type scene struct {
	*Ledger
	q Request
}

func newScene(route *Route) *scene {
	s := &scene{Ledger: newLedger(defaultBounds())}
	s.KeyAdded("k", "w", time.Time{})
	s.RouteTo(route.Name, "gate", time.Time{})
	s.q = Request{ID: "q", Route: route, Target: "/x", Key: "k", Sent: at(100), Deadline: at(100).Add(route.Timeout)}
	return s
}

func (s *scene) send() *scene {
	s.Sent(s.q)
	return s
}

func (s *scene) run(replica string, when float64) *Run {
	a := Arrival{Replica: replica, Service: "gate", At: at(when), Deadline: s.q.Deadline}
	s.Arrived("q", a)
	return s.Began("q", Run{Arrival: a, Method: s.q.Route.Method, Target: "/x", Workspace: "w"})
}

func (s *scene) answer(a Answer) {
	if a.At.IsZero() {
		a.At = at(100.2)
	}
	s.Answered("q", a)
}

// breaks ends the response as a partial stream.
func (s *scene) breaks(when float64) {
	s.answer(Answer{At: at(when), Status: 200, Seal: "r1", Body: streamEvents("q")[0], Err: errors.New("EOF")})
}

// configure records a configuration that is sent to the store and acknowledged at a time.
func (s *scene) configure(when float64) {
	s.ConfigurationSent(at(when))
	s.ConfigurationAcknowledged(at(when), at(when))
}

// hasConnection sets the link's record of the connections to all replicas.
func (s *scene) hasConnection(c connRecord) {
	s.connection = func(string, time.Time) (connRecord, bool) { return c, true }
}

func good() Answer {
	return Answer{Status: 200, Seal: "r1", Body: plainBody("q", "r1"), Complete: true}
}

// TestCheck covers each guarantee with a case that breaks it and a similar one that does not.
func TestCheck(t *testing.T) {
	once, safe, chat, reply := routes[0], routes[1], routes[2], routes[3]
	for _, c := range []struct {
		name, want string // want is empty if no guarantee is broken
		route      *Route
		play       func(s *scene)
	}{
		{"a complete response", "", once, func(s *scene) { s.send().run("r1", 100.1); s.answer(good()) }},
		{"a response with the body of another request", "MIXED", once, func(s *scene) {
			s.send().run("r1", 100.1)
			a := good()
			a.Body = plainBody("other", "r1")
			s.answer(a)
		}},
		{"a response with the seal of a replica that did not run it", "MIXED", once, func(s *scene) { s.send().run("r2", 100.1); s.answer(good()) }},
		{"a failure that its replica did not send", "MIXED", once, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 200, at(100.2))
			s.answer(Answer{Status: 500, Seal: "r1"})
		}},
		{"two runs", "TWICE", once, func(s *scene) {
			s.send().run("r1", 100.1)
			s.run("r2", 100.2)
			s.Answered("q", Answer{At: at(100.3), Status: 502})
		}},
		{"two runs of a repeatable request", "", safe, func(s *scene) { s.send().run("r2", 100.1); s.run("r1", 100.2); s.answer(good()) }},
		{"a refusal of a request that has run", "REFUSED", once, func(s *scene) { s.send().run("r1", 100.1); s.answer(Answer{Status: 503}) }},
		{"a refusal of a request that runs later", "REFUSED", once, func(s *scene) { s.send(); s.answer(Answer{Status: 503}); s.run("r1", 101) }},
		{"a failure that does not rule out a run", "", once, func(s *scene) { s.send().run("r1", 100.1); s.answer(Answer{Status: 502}) }},
		{"a run of a request that no caller sent", "UNASKED", once, func(s *scene) { s.run("r1", 100.1) }},
		{"a run for another workspace", "UNASKED", once, func(s *scene) {
			s.send()
			a := Arrival{Replica: "r1", Service: "gate", At: at(100.1), Deadline: s.q.Deadline}
			s.Began("q", Run{Arrival: a, Method: "POST", Target: "/x", Workspace: "forged"})
		}},
		{"a run with an unknown key", "ROUTE", once, func(s *scene) { s.q.Key = "none"; s.send().run("r1", 100.1) }},
		{"a run with a key revoked long before", "CONFIG", once, func(s *scene) { s.KeyRemoved("k", at(90)); s.send().run("r1", 100.1) }},
		{"a run with a key revoked just before", "", once, func(s *scene) { s.KeyRemoved("k", at(99)); s.send().run("r1", 100.1) }},
		{"the same by a daemon that is not up to date", "", once, func(s *scene) {
			s.KeyRemoved("k", at(90))
			s.DisturbDaemon(0, at(89), at(99))
			s.send().run("r1", 100.1)
		}},
		{"the same while the store is disturbed and has not recovered", "", once, func(s *scene) {
			s.KeyRemoved("k", at(90))
			s.DisturbStore(at(89), at(4000))
			s.send().run("r1", 100.1)
		}},
		{"the same when the store has recovered", "CONFIG", once, func(s *scene) {
			s.KeyRemoved("k", at(90))
			s.DisturbStore(at(80), at(4000))
			s.EndStoreDisturbance(at(80), at(81))
			s.send().run("r1", 100.1)
		}},
		{"the same by a daemon that has been up to date for long since the revocation", "CONFIG", once, func(s *scene) {
			s.KeyRemoved("k", at(90))
			s.DisturbDaemon(0, at(89), at(94))
			s.send().run("r1", 100.1)
		}},
		{"the same by a daemon that has been up to date for a moment", "", once, func(s *scene) {
			s.KeyRemoved("k", at(90))
			s.DisturbDaemon(0, at(89), at(95))
			s.send().run("r1", 100.1)
		}},
		{"a run at the former service of the route", "CONFIG", once, func(s *scene) { s.RouteTo("once", "gate-2", at(90)); s.send().run("r1", 100.1) }},
		{"a run at a service that the route never had", "ROUTE", once, func(s *scene) {
			s.send()
			a := Arrival{Replica: "r1", Service: "foreign", At: at(100.1), Deadline: s.q.Deadline}
			s.Began("q", Run{Arrival: a, Method: "POST", Target: "/x", Workspace: "w"})
		}},
		{"a key that was always valid is rejected", "DENIED", once, func(s *scene) { s.send(); s.answer(Answer{Status: 401}) }},
		{"a new key is rejected for long", "CONFIG", once, func(s *scene) { s.KeyAdded("k", "w", at(90)); s.send(); s.answer(Answer{Status: 401}) }},
		{"a run at a replica that left", "DRAIN", once, func(s *scene) { s.Departed("r1", at(95)); s.send().run("r1", 100.1) }},
		{"a run at one that left just before", "", once, func(s *scene) { s.Departed("r1", at(99)); s.send().run("r1", 100.1) }},
		{"a run in an evacuated domain", "EVAC", once, func(s *scene) { s.SetDomain("r1", "z"); s.Evacuated("z", at(95)); s.send().run("r1", 100.1) }},
		{"a run in one evacuated just before", "", once, func(s *scene) { s.SetDomain("r1", "z"); s.Evacuated("z", at(99)); s.send().run("r1", 100.1) }},
		{"a run in one returned to service", "", once, func(s *scene) {
			s.SetDomain("r1", "z")
			s.Evacuated("z", at(90))
			s.ReturnedToService("z", at(90), at(100))
			s.send().run("r1", 100.1)
		}},
		{"a run in an evacuated domain by a daemon that is not up to date", "", once, func(s *scene) {
			s.SetDomain("r1", "z")
			s.Evacuated("z", at(95))
			s.DisturbDaemon(0, at(96), at(99))
			s.send().run("r1", 100.1)
		}},
		{"a connection closed without a response", "LOST", once, func(s *scene) { s.send().run("r1", 100.1); s.answer(Answer{Err: errors.New("EOF")}) }},
		{"the same at the end of a graceful shutdown, while the replica runs it", "", once, func(s *scene) {
			s.ShutdownBegan(0, at(97.4), at(101))
			s.send().run("r1", 100.1)
			s.answer(Answer{Err: errors.New("EOF")})
		}},
		{"the same earlier in a graceful shutdown", "LOST", once, func(s *scene) {
			s.ShutdownBegan(0, at(99), at(102))
			s.send().run("r1", 100.1)
			s.answer(Answer{Err: errors.New("EOF")})
		}},
		{"the same at the end of a graceful shutdown, just after the replica responded", "LOST", once, func(s *scene) {
			s.ShutdownBegan(0, at(97.4), at(101))
			run := s.send().run("r1", 99)
			s.Ended(run, 200, at(100.1))
			s.answer(Answer{Err: errors.New("EOF")})
		}},
		{"the same at the end of a graceful shutdown, long after the replica responded", "LOST", once, func(s *scene) {
			s.ShutdownBegan(0, at(97.4), at(101))
			run := s.send().run("r1", 99)
			s.Ended(run, 200, at(99.2))
			s.answer(Answer{Err: errors.New("EOF")})
		}},
		{"the same of a killed daemon", "", once, func(s *scene) {
			s.send().run("r1", 100.1)
			s.DisturbDaemon(0, at(100.15), at(100.6))
			s.answer(Answer{Err: errors.New("EOF")})
		}},
		{"a truncated stream that ends as complete", "ORDER", chat, func(s *scene) {
			s.RouteTo("chat", "gate", time.Time{})
			s.send().run("r1", 100.1)
			s.answer(Answer{Status: 200, Seal: "r1", Body: streamEvents("q")[0], Complete: true})
		}},
		{"a stream that its replica breaks off", "", chat, func(s *scene) {
			s.BrokeOff(s.send().run("r1", 100.1), at(100.15))
			s.breaks(100.2)
		}},
		{"a stream that breaks off while its replica is at work", "LOST", chat, func(s *scene) { s.send().run("r1", 100.1); s.breaks(100.2) }},
		{"a stream that breaks off just before its replica breaks it off", "LOST", chat, func(s *scene) {
			s.BrokeOff(s.send().run("r1", 100.1), at(100.3))
			s.breaks(100.2)
		}},
		{"a stream that breaks off because its replica terminated", "", chat, func(s *scene) {
			s.send().run("r1", 100.1)
			s.ReplicaTerminated("r1", at(100.15))
			s.breaks(100.2)
		}},
		{"a stream that breaks off before its replica terminates", "LOST", chat, func(s *scene) {
			s.send().run("r1", 100.1)
			s.ReplicaTerminated("r1", at(100.25))
			s.breaks(100.2)
		}},
		{"a stream that breaks off after its replica has written it whole", "LOST", chat, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 200, at(100.15))
			s.breaks(100.2)
		}},
		{"a stream that breaks off at a replica of a faulty kind that is at work", "LOST", chat, func(s *scene) {
			s.DisturbReplica("r1", at(99), at(101))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream whose connection to the replica the run reset", "", chat, func(s *scene) {
			s.hasConnection(connRecord{reset: at(100.15)})
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream whose connection to the replica the run reset later", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{reset: at(100.25)})
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream whose connection the run reset just after the replica wrote it whole", "", chat, func(s *scene) {
			s.hasConnection(connRecord{reset: at(100.152)})
			s.Ended(s.send().run("r1", 100.1), 200, at(100.15))
			s.breaks(100.153)
		}},
		{"a stream whose connection the run reset long after the replica wrote it whole", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{reset: at(100.25)})
			s.Ended(s.send().run("r1", 100.1), 200, at(100.15))
			s.breaks(100.26)
		}},
		{"a stream whose connection the run reset after the daemon gave it up", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{reset: at(100.152)})
			s.Ended(s.send().run("r1", 100.1), 0, at(100.15))
			s.breaks(100.153)
		}},
		{"a stream whose connection to the replica another daemon had opened, which the run killed", "", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.16)})
			s.Killed(1, at(100.15))
			s.Ended(s.send().run("r1", 100.1), 0, at(100.17))
			s.breaks(100.2)
		}},
		{"the same when the run killed a third daemon", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.16)})
			s.Killed(2, at(100.15))
			s.Ended(s.send().run("r1", 100.1), 0, at(100.17))
			s.breaks(100.2)
		}},
		{"the same when the connection was closed before the kill", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.14)})
			s.Killed(1, at(100.15))
			s.Ended(s.send().run("r1", 100.1), 0, at(100.17))
			s.breaks(100.2)
		}},
		{"the same when the connection was not closed", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4"})
			s.Killed(1, at(100.15))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"the same when the link has not seen the end, since a partition holds it up", "", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4"})
			s.PartitionBegan([]int{1}, at(100.05))
			s.Killed(1, at(100.15))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"the same when the partition is of another daemon", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4"})
			s.PartitionBegan([]int{2}, at(100.05))
			s.Killed(1, at(100.15))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"the same when the kill was before the run", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.16)})
			s.Killed(1, at(100.05))
			s.Ended(s.send().run("r1", 100.1), 0, at(100.17))
			s.breaks(100.2)
		}},
		{"the same when the kill was after the replica had noticed the end", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.19)})
			s.Killed(1, at(100.18))
			s.Ended(s.send().run("r1", 100.1), 0, at(100.17))
			s.breaks(100.2)
		}},
		{"the same long after the replica wrote the stream whole", "LOST", chat, func(s *scene) {
			s.hasConnection(connRecord{source: "127.1.2.4", closed: at(100.26)})
			s.Killed(1, at(100.25))
			s.Ended(s.send().run("r1", 100.1), 200, at(100.15))
			s.breaks(100.27)
		}},
		{"a stream that its replica breaks off, sent to another one which a link keeps it from until later", "", reply, func(s *scene) {
			first := s.send().run("r1", 100.1)
			s.BrokeOff(first, at(100.2))
			s.Ended(first, 0, at(100.2))
			s.run("r2", 100.6)
			s.breaks(100.4)
		}},
		{"a stream that is given up at work, sent to another one which a link keeps it from until later", "LOST", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.2))
			s.run("r2", 100.6)
			s.breaks(100.4)
		}},
		{"a request that a link keeps from its only replica until its connection was closed", "LOST", once, func(s *scene) {
			s.send().run("r1", 100.6)
			s.answer(Answer{At: at(100.4), Err: errors.New("EOF")})
		}},
		{"a stream that is given up for a replica which then breaks it off", "", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.3))
			next := s.run("r2", 100.2)
			s.Wrote(next, 10, at(100.29))
			s.BrokeOff(next, at(100.4))
			s.Ended(next, 0, at(100.4))
			s.breaks(100.5)
		}},
		{"a stream that is given up for a replica which broke it off before it wrote anything", "LOST", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.3))
			next := s.run("r2", 100.2)
			s.BrokeOff(next, at(100.25))
			s.Ended(next, 0, at(100.25))
			s.breaks(100.4)
		}},
		{"a stream that is given up long after the other replica broke it off", "LOST", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.4))
			next := s.run("r2", 100.2)
			s.Wrote(next, 10, at(100.24))
			s.BrokeOff(next, at(100.25))
			s.Ended(next, 0, at(100.25))
			s.breaks(100.41)
		}},
		{"a stream that is given up, and then goes on at another replica which breaks it off", "", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.3))
			next := s.run("r2", 100.31)
			s.Wrote(next, 10, at(100.4))
			s.BrokeOff(next, at(100.5))
			s.Ended(next, 0, at(100.5))
			s.breaks(100.51)
		}},
		{"a stream that is given up, and then sent to another replica which breaks it off without a byte", "LOST", reply, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.3))
			next := s.run("r2", 100.31)
			s.BrokeOff(next, at(100.5))
			s.Ended(next, 0, at(100.5))
			s.breaks(100.51)
		}},
		{"a stream that is given up without another replica", "LOST", chat, func(s *scene) {
			s.Ended(s.send().run("r1", 100.1), 0, at(100.15))
			s.breaks(100.4)
		}},
		{"a stream that is resumed at a replica which fails", "", reply, func(s *scene) {
			s.BrokeOff(s.send().run("r1", 100.1), at(100.2))
			s.Ended(s.run("r2", 100.25), 500, at(100.3))
			s.breaks(100.4)
		}},
		{"a stream that breaks off after the deadline", "", chat, func(s *scene) { s.send().run("r1", 100.1); s.breaks(103.1) }},
		{"a stream that breaks off just before the deadline", "LOST", chat, func(s *scene) { s.send().run("r1", 100.1); s.breaks(102.9) }},
		{"a stream that a killed daemon breaks off", "", chat, func(s *scene) {
			s.send().run("r1", 100.1)
			s.DisturbDaemon(0, at(100.15), at(100.6))
			s.breaks(100.2)
		}},
		{"a stream that breaks off at a daemon disturbed a moment before the request", "", chat, func(s *scene) {
			s.DisturbDaemon(0, at(90), at(97.5))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream that breaks off at the start of a graceful shutdown", "LOST", chat, func(s *scene) {
			s.ShutdownBegan(0, at(100.15), at(104))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream that breaks off at the end of a graceful shutdown", "", chat, func(s *scene) {
			s.ShutdownBegan(0, at(97.4), at(101))
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream that breaks off after a SIGHUP, late in its time", "LOST", chat, func(s *scene) {
			s.HungUp(0, at(99))
			s.configure(100.4)
			s.send().run("r1", 100.1)
			s.breaks(102.2)
		}},
		{"a stream that breaks off around a configuration", "LOST", chat, func(s *scene) {
			s.configure(100.15)
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream that breaks off around a configuration, late in its time", "", chat, func(s *scene) {
			s.configure(100.15)
			s.send().run("r1", 100.1)
			s.breaks(102.2)
		}},
		{"a stream that breaks off late in its time, long after a configuration", "LOST", chat, func(s *scene) {
			s.configure(99.1)
			s.send().run("r1", 100.1)
			s.breaks(102.2)
		}},
		{"a stream whose caller disconnected", "", chat, func(s *scene) {
			s.send().run("r1", 100.1)
			s.Disconnected("q", at(100.18))
			s.breaks(100.2)
		}},
		{"a stream that the previous build breaks off", "", chat, func(s *scene) {
			s.Runs(0, 0, BuildPrevious)
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a stream that breaks off because its daemon ended by itself", "LOST", chat, func(s *scene) {
			s.TerminatedUnexpectedly("d0", at(100.2), "exit status 2")
			s.send().run("r1", 100.1)
			s.breaks(100.2)
		}},
		{"a refusal that breaks off", "LOST", once, func(s *scene) { s.send(); s.answer(Answer{Status: 503, Err: errors.New("EOF")}) }},
		{"a connection closed long after the request, which reached no replica", "LOST", once, func(s *scene) {
			s.send()
			s.answer(Answer{At: at(100.3), Written: at(100.05), Err: errors.New("EOF")})
		}},
		{"a connection closed at once, the request reached no replica", "", once, func(s *scene) {
			s.send()
			s.answer(Answer{At: at(100.2), Written: at(100.05), Err: errors.New("EOF")})
		}},
		{"a connection closed before the request was written whole", "", once, func(s *scene) {
			s.send()
			s.answer(Answer{At: at(100.9), Err: errors.New("EPIPE")})
		}},
		{"a connection closed without a response, at a replica of a faulty kind that is at work", "LOST", once, func(s *scene) {
			s.DisturbReplica("r1", at(99), at(101))
			s.send().run("r1", 100.1)
			s.answer(Answer{Err: errors.New("EOF")})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(c.route)
			s.ConnectsFrom("127.1.2.4", 1)
			c.play(s)
			found := s.Check(at(101))
			switch {
			case c.want == "" && len(found) > 0:
				t.Errorf("found %+v, want no violation", found)
			case c.want != "" && (len(found) == 0 || found[0].Promise != c.want):
				t.Errorf("found %+v, want %s", found, c.want)
			}
			if again := s.Check(at(101)); len(again) > 0 {
				t.Errorf("reported again: %+v", again)
			}
		})
	}
}

// TestCheckToleratesFewViolations covers the rules that tolerate a few
// violations.
func TestCheckToleratesFewViolations(t *testing.T) {
	for _, c := range []struct {
		promise string
		play    func(l *Ledger, id string, q Request)
	}{
		{"GONE", func(l *Ledger, id string, q Request) {
			l.Began(id, Run{Arrival: Arrival{Replica: "r", Service: "gate", At: at(100.1), Deadline: q.Deadline}, Method: q.Route.Method, Target: "/x", Workspace: "w"})
			l.Disconnected(id, at(100.2))
		}},
		{"BUDGET", func(l *Ledger, id string, q Request) {
			l.Arrived(id, Arrival{Replica: "r", Service: "gate", At: at(100.1), Deadline: q.Deadline.Add(time.Second)})
			l.Answered(id, Answer{At: at(100.2), Status: 502})
		}},
		{"CONFIG", func(l *Ledger, id string, q Request) {
			l.Answered(id, Answer{At: q.Deadline.Add(2 * time.Second), Status: 504})
		}},
	} {
		t.Run(c.promise, func(t *testing.T) {
			for _, n := range []int{defaultBounds().Tolerance, defaultBounds().Tolerance + 1} {
				s := newScene(routes[0])
				for i := range n {
					q := s.q
					q.ID = "q" + itoa(i)
					s.Sent(q)
					c.play(s.Ledger, q.ID, q)
				}
				found := s.Check(at(110))
				if broken := n > defaultBounds().Tolerance; broken != (len(found) > 0) {
					t.Errorf("%d cases: found %+v", n, found)
				}
				for _, v := range found {
					if v.Promise != c.promise {
						t.Errorf("found %s, want %s", v.Promise, c.promise)
					}
				}
			}
		})
	}
}

// TestCheckIgnoresDeadlinesDelayedByLinks covers requests that the link to the replica
// delayed: their deadlines look late there although the daemon set them correctly.
func TestCheckIgnoresDeadlinesDelayedByLinks(t *testing.T) {
	s := newScene(routes[0])
	s.DisturbReplica("r", at(99), at(101.5))
	for i := range 2 * defaultBounds().Tolerance {
		q := s.q
		q.ID = "q" + itoa(i)
		s.Sent(q)
		s.Arrived(q.ID, Arrival{Replica: "r", Service: "gate", At: at(101.4), Deadline: q.Deadline.Add(time.Second)})
		s.Answered(q.ID, Answer{At: at(101.5), Status: 502})
	}
	if found := s.Check(at(110)); len(found) > 0 {
		t.Errorf("found %+v", found)
	}
}

// TestCheckIgnoresDeadlinesDelayedByOtherDaemons covers requests on connections that another daemon opened: while that one, or
// the way to it, is disturbed, they arrive late although daemon 0 set their deadlines correctly.
func TestCheckIgnoresDeadlinesDelayedByOtherDaemons(t *testing.T) {
	for _, c := range []struct {
		name   string
		source string
		from   float64 // of daemon 1's disturbance until second 101.5
		broken bool
	}{
		{"opened by a disturbed daemon", "127.1.2.4", 99, false},
		{"opened by a daemon that is disturbed after the arrival", "127.1.2.4", 101.45, true},
		{"opened by a daemon that is not disturbed", "127.1.2.5", 99, true},
		{"opened by the request's daemon", "127.1.2.3", 99, true},
		{"opened by a daemon that is not known", "127.0.0.1", 99, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(routes[0])
			s.hasConnection(connRecord{source: c.source})
			s.ConnectsFrom("127.1.2.3", 0)
			s.ConnectsFrom("127.1.2.4", 1)
			s.ConnectsFrom("127.1.2.5", 2)
			s.DisturbDaemon(1, at(c.from), at(101.5))
			for i := range 2 * defaultBounds().Tolerance {
				q := s.q
				q.ID = "q" + itoa(i)
				s.Sent(q)
				s.Arrived(q.ID, Arrival{Replica: "r", Service: "gate", At: at(101.4), Deadline: q.Deadline.Add(time.Second)})
				s.Answered(q.ID, Answer{At: at(101.5), Status: 502})
			}
			if found := s.Check(at(110)); c.broken != (len(found) > 0) {
				t.Errorf("found %+v", found)
			}
		})
	}
}

func TestCheckCountsRetries(t *testing.T) {
	for _, c := range []struct {
		repeats int
		broken  bool
	}{{60, false}, {100, true}} {
		s := newScene(routes[1])
		for i := range c.repeats {
			q := s.q
			q.ID = "q" + itoa(i)
			s.Sent(q)
			for _, replica := range []string{"r1", "r2"} {
				s.Arrived(q.ID, Arrival{Replica: replica, Service: "gate", At: at(100.1), Deadline: q.Deadline})
			}
			s.Answered(q.ID, Answer{At: at(100.2), Status: 502})
		}
		if found := s.Check(at(101)); c.broken != (len(found) > 0) {
			t.Errorf("%d repeats: found %+v", c.repeats, found)
		}
	}
}

// TestCheckCountsRequestsToColdReplica sends requests to a replica within a second.
func TestCheckCountsRequestsToColdReplica(t *testing.T) {
	most := defaultBounds().Cold
	for _, c := range []struct {
		name   string
		n      int
		turn   func(*Ledger)
		broken bool
	}{
		{"as many as are allowed", most, func(l *Ledger) { l.TurnedCold("r1", coldSpan{span: span{at(99), at(103)}}) }, false},
		{"one more", most + 1, func(l *Ledger) { l.TurnedCold("r1", coldSpan{span: span{at(99), at(103)}}) }, true},
		{"one more at a warm replica", most + 1, func(l *Ledger) { l.TurnedCold("r1", coldSpan{span: span{at(90), at(99)}}) }, false},
		{"one more by a daemon that could not have been informed", most + 1, func(l *Ledger) {
			l.TurnedCold("r1", coldSpan{span: span{at(99), at(103)}, known: at(98)})
			l.DisturbDaemon(0, at(97), at(100))
		}, false},
		{"one more by a daemon that could", most + 1, func(l *Ledger) { l.TurnedCold("r1", coldSpan{span: span{at(99), at(103)}, known: at(98)}) }, true},
	} {
		l := newLedger(defaultBounds())
		c.turn(l)
		for i := range c.n {
			id := "q" + itoa(i)
			l.Sent(Request{ID: id, Route: routes[1], Sent: at(100), Deadline: at(102)})
			l.Arrived(id, Arrival{Replica: "r1", Service: "gate", At: at(100 + float64(i)*.01), Deadline: at(102)})
		}
		broken := slices.ContainsFunc(l.Check(at(104)), func(v Violation) bool { return v.Promise == "FAILBACK" })
		if broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// TestEvacuationsKeepOtherFaultsOfSeed checks that seeds that were recorded before
// evacuations existed can still be reproduced.
func TestEvacuationsKeepOtherFaultsOfSeed(t *testing.T) {
	shape := DefaultShape()
	with := NewPlan(5, shape)
	shape.EvacuationsPerSec = 0
	without := NewPlan(5, shape)
	others := slices.DeleteFunc(slices.Clone(with.Faults), func(f Fault) bool { return f.Kind == evacuateDomain })
	if !slices.Equal(others, without.Faults) || len(with.Faults) == len(others) {
		t.Errorf("%d faults with evacuations, %d besides them, %d without", len(with.Faults), len(others), len(without.Faults))
	}
}

// TestPlanIsDeterminedBySeed checks that a seed determines the plan, and that all kinds
// of faults are drawn.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	seen := make(map[faultKind]bool)
	for seed := range uint64(100) {
		a, b := NewPlan(seed, DefaultShape()), NewPlan(seed, DefaultShape())
		for i, f := range a.Faults {
			seen[f.Kind] = true
			if f != b.Faults[i] {
				t.Fatalf("seed %d: %+v and %+v", seed, f, b.Faults[i])
			}
		}
	}
	for _, w := range weights {
		if !seen[w.kind] {
			t.Errorf("%s is never drawn", w.kind)
		}
	}
}

// TestCheckFindsOverloadedReplicas covers a service of three replicas. The first has a number of
// requests in flight when more requests reach it.
func TestCheckFindsOverloadedReplicas(t *testing.T) {
	const sent, over = 100, 4
	for _, c := range []struct {
		name    string
		held    int // by the first replica
		over    int // requests that reach it, others reach the second
		disturb func(l *Ledger)
		broken  bool
	}{
		{"more than the share", 20, over, nil, true},
		{"just the share", 20, over - 1, nil, false},
		{"above the bound", 10, over, nil, true},
		{"at the bound", 9, over, nil, false},
		{"a disturbed replica", 20, over, func(l *Ledger) { l.DisturbReplica("r2", at(99), at(101)) }, false},
		{"a replica that was disturbed earlier", 20, over, func(l *Ledger) { l.DisturbReplica("r2", at(90), at(94)) }, true},
		{"a daemon that is not up to date", 20, over, func(l *Ledger) { l.DisturbDaemon(0, at(90), at(98)) }, false},
		{"a fleet that has just started", 20, over, func(l *Ledger) { l.Ready(at(98)) }, false},
		{"a fourth replica without requests", 9, over, func(l *Ledger) { l.Joined("r4", "gate", at(1)) }, true},
		{"a fourth replica that has left", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.Departed("r4", at(50))
		}, false},
		{"a fourth replica that was cold a second ago, as daemons may assume that it still is", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.TurnedCold("r4", coldSpan{span: span{at(90), at(99)}})
		}, false},
		{"a fourth replica that backs off for the daemon that sent them", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.BackoffRequested("q1", "r4", 5*time.Second, at(98), "conn")
		}, false},
		{"a fourth replica whose backoff is over", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.BackoffRequested("q1", "r4", 5*time.Second, at(90), "conn")
		}, true},
		{"a fourth replica that backs off for another daemon", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.Sent(Request{ID: "other", Route: routes[1], Daemon: 1, Sent: at(97)})
			l.BackoffRequested("other", "r4", 5*time.Second, at(98), "conn")
		}, true},
		{"a fourth replica that was cold long ago", 9, over, func(l *Ledger) {
			l.Joined("r4", "gate", at(1))
			l.TurnedCold("r4", coldSpan{span: span{at(90), at(96)}})
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(routes[1])
			for _, replica := range []string{"r1", "r2", "r3"} {
				s.Joined(replica, "gate", at(1))
			}
			s.Ready(at(10))
			n := 0
			arrive := func(replica string, when float64) *Run {
				n++
				q := s.q
				q.ID, q.Sent, q.Deadline = "q"+itoa(n), at(when), at(when+100)
				s.Sent(q)
				a := Arrival{Replica: replica, Service: "gate", At: at(when), Deadline: q.Deadline}
				s.Arrived(q.ID, a)
				return s.Began(q.ID, Run{Arrival: a, Method: q.Route.Method, Target: q.Target, Workspace: "w"})
			}
			for range c.held {
				arrive("r1", 20)
			}
			if c.disturb != nil {
				c.disturb(s.Ledger)
			}
			for i := range sent {
				replica, when := "r2", 100+float64(i)/100
				if i >= sent-c.over {
					replica = "r1"
				}
				s.Ended(arrive(replica, when), 200, at(when+0.005))
			}
			found := slices.ContainsFunc(s.Check(at(102)), func(v Violation) bool { return v.Promise == "LIMIT" })
			if found != c.broken {
				t.Errorf("found: %t, want %t", found, c.broken)
			}
		})
	}
}

// TestSteadyPlanIsDeterminedBySeed checks that a seed determines the plan, that no fault affects
// a replica, a daemon or the store, and that prompts become hot as planned.
func TestSteadyPlanIsDeterminedBySeed(t *testing.T) {
	for seed := range uint64(50) {
		a, b := NewSteadyPlan(seed, 30, DefaultShape()), NewSteadyPlan(seed, 30, DefaultShape())
		if !slices.Equal(a.Faults, b.Faults) || !slices.Equal(a.Steady.HotShares, b.Steady.HotShares) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		if a.Daemons != 30 || a.Chat < 30 {
			t.Errorf("seed %d: %d daemons for %d replicas", seed, a.Daemons, a.Chat)
		}
		for _, f := range a.Faults {
			if !slices.Contains(steadyKinds, f.Kind) {
				t.Errorf("seed %d has %s", seed, f.Kind)
			}
		}
		hot, n := 0, 4000
		for range n {
			if before, _ := a.Steady.drawPrompt(a.Steady.HotAt - 1); before < len(a.Steady.HotShares) {
				t.Fatalf("seed %d: hot prompt %d is drawn too early", seed, before)
			}
			if subject, tokens := a.Steady.drawPrompt(a.Steady.HotAt); subject < len(a.Steady.HotShares) && tokens == a.Steady.HotTokens {
				hot++
			}
		}
		if share := float64(hot) / float64(n); share < minHotShare-0.03 || share > maxHotShare+0.03 {
			t.Errorf("seed %d: %.2f of the requests have hot prompts", seed, share)
		}
	}
}
