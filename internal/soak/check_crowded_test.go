package soak

import (
	"slices"
	"testing"
	"time"
)

// crowdedScene is a ledger of a service that is crowded from 90 s to 120 s, with one replica of 6 slots.
type crowdedScene struct {
	*Ledger
	sent int
}

func newCrowdedScene() *crowdedScene {
	s := &crowdedScene{Ledger: newLedger(defaultBounds())}
	s.Crowds("s", at(90), at(120))
	s.HasSlots("s", "r", 6)
	s.RouteTo(routes[0].Name, "s", time.Time{})
	for _, workspace := range []string{"w", "greedy", "modest", "urgent", "other"} {
		s.KeyAdded(workspace, workspace, time.Time{})
	}
	return s
}

// hold keeps a number of requests at the replica.
func (s *crowdedScene) hold(n int, from, to float64) {
	for range n {
		s.Leaves(s.Enters("s", "r", at(from)), at(to))
	}
}

// send sends a request and returns its id. Its deadline is 2.5 s later.
func (s *crowdedScene) send(when float64, workspace string, urgency int) string {
	s.sent++
	q := Request{ID: "q" + itoa(s.sent), Route: routes[0], Target: "/x", Key: workspace, Service: "s", Workspace: workspace, Urgency: urgency, Sent: at(when), Deadline: at(when + 2.5)}
	s.Sent(q)
	return q.ID
}

// refuse sends a request that is refused as full after a time.
func (s *crowdedScene) refuse(when, after, retryAfter float64) string {
	id := s.send(when, "w", 0)
	s.Answered(id, Answer{At: at(when + after), Status: 503, Reason: reasonFull, RetryAfter: time.Duration(retryAfter * float64(time.Second))})
	return id
}

// sendMany sends requests evenly over two seconds, of which some are served and the others refused.
func (s *crowdedScene) sendMany(from float64, n, served int, workspace string, urgency int) {
	for i := range n {
		when := from + 2*float64(i)/float64(n)
		if i < served {
			s.serve(when, workspace, urgency)
		} else {
			s.Answered(s.send(when, workspace, urgency), Answer{At: at(when + 0.01), Status: 503, Reason: reasonFull})
		}
	}
}

// serve sends a request that is served.
func (s *crowdedScene) serve(when float64, workspace string, urgency int) {
	id := s.send(when, workspace, urgency)
	arrival := Arrival{Replica: "r", Service: "s", At: at(when), Deadline: at(when + 2.5)}
	s.Arrived(id, arrival)
	s.Ended(s.Began(id, Run{Arrival: arrival, Method: routes[0].Method, Target: "/x", Workspace: workspace}), 200, at(when+0.01))
	s.Answered(id, Answer{At: at(when + 0.01), Status: 200, Seal: "r", Body: plainBody(id, "r"), Complete: true})
}

// TestCheckCrowded covers each rule of crowded services with cases that break it and similar ones that
// do not.
func TestCheckCrowded(t *testing.T) {
	const places = 6 + extraPlaces
	for _, c := range []struct {
		name, want string // want is empty if no guarantee is broken
		play       func(s *crowdedScene)
	}{
		{"as many requests as places", "", func(s *crowdedScene) { s.hold(places, 100, 105) }},
		{"one more for a moment", "", func(s *crowdedScene) { s.hold(places, 100, 105); s.hold(1, 101, 101.1) }},
		{"one more for long", "PLACES", func(s *crowdedScene) { s.hold(places, 100, 105); s.hold(1, 101, 102) }},
		{"one more that has not left yet", "PLACES", func(s *crowdedScene) { s.hold(places, 100, 105); s.Enters("s", "r", at(101)) }},
		{"far more for a moment, often", "PLACES", func(s *crowdedScene) {
			s.hold(places, 100, 105)
			for i := range 10 {
				s.hold(10, 101+float64(i)/10, 101.04+float64(i)/10)
			}
		}},
		{"one more before all daemons ask for permits", "", func(s *crowdedScene) { s.hold(places+1, 90, 91.9) }},
		{"one more once the load has ended", "", func(s *crowdedScene) { s.hold(places+1, 120, 122) }},
		{"twice as many while a daemon is disturbed", "", func(s *crowdedScene) { s.hold(2*places, 100, 102); s.DisturbDaemon(3, at(99.5), at(103)) }},
		{"more than twice as many while a daemon is disturbed", "PLACES", func(s *crowdedScene) { s.hold(2*places+1, 100, 102); s.DisturbDaemon(3, at(99.5), at(103)) }},
		{"twice as many while a process stands still", "", func(s *crowdedScene) { s.hold(2*places, 100, 102); s.StoodStill(3, at(99.8), at(99.9)) }},
		{"more than twice as many while a process stands still", "PLACES", func(s *crowdedScene) { s.hold(2*places+1, 100, 102); s.StoodStill(3, at(99.8), at(99.9)) }},
		{"twice as many while a daemon shuts down", "", func(s *crowdedScene) { s.hold(2*places, 100, 102); s.ShutdownBegan(3, at(99.5), at(103)) }},
		{"one more just after a failure", "", func(s *crowdedScene) { s.hold(places+1, 100, 101); s.DisturbDaemon(3, at(95), at(99.1)) }},
		{"one more long after a failure", "PLACES", func(s *crowdedScene) { s.hold(places+1, 100, 101); s.DisturbDaemon(3, at(95), at(97.9)) }},
		{"far more that the replica's link held up", "", func(s *crowdedScene) { s.hold(30, 100, 101); s.DisturbReplica("r", at(99), at(101)) }},

		{"a refusal while a slot is idle", "IDLE", func(s *crowdedScene) { s.hold(5, 99, 101); s.refuse(100, .01, .1) }},
		{"a refusal while all slots are in use", "", func(s *crowdedScene) { s.hold(6, 99, 101); s.refuse(100, .01, .1) }},
		{"a refusal while a request has not left its slot yet", "", func(s *crowdedScene) { s.hold(5, 99, 101); s.Enters("s", "r", at(99)); s.refuse(100, .01, .1) }},
		{"a refusal while a slot has been idle for a moment", "", func(s *crowdedScene) { s.hold(5, 99, 101); s.hold(1, 99, 99.95); s.refuse(100, .01, .1) }},
		{"a refusal while an idle slot is reserved for another that returns", "", func(s *crowdedScene) {
			s.hold(6, 99, 99.7)
			s.hold(5, 99.7, 101)
			s.refuse(99.65, .01, .3)
			s.refuse(100, .01, .1)
		}},
		{"a refusal while two slots are idle and one is reserved", "IDLE", func(s *crowdedScene) {
			s.hold(6, 99, 99.7)
			s.hold(4, 99.7, 101)
			s.refuse(99.65, .01, .3)
			s.refuse(100, .01, .1)
		}},
		{"a refusal after the reservation of an idle slot has ended", "IDLE", func(s *crowdedScene) {
			s.hold(6, 99, 99.4)
			s.hold(5, 99.4, 101)
			s.refuse(99.3, .01, .05)
			s.refuse(100, .01, .1)
		}},
		{"a refusal while another waits", "", func(s *crowdedScene) { s.hold(5, 99, 101); s.send(99.9, "w", 0); s.refuse(100, .01, .1) }},
		{"a refusal while another is on its way", "IDLE", func(s *crowdedScene) {
			s.hold(5, 99, 101)
			s.Arrived(s.send(99.9, "w", 0), Arrival{Replica: "r", Service: "s", At: at(99.91), Deadline: at(102.4)})
			s.refuse(100, .01, .1)
		}},
		{"a refusal while a leaving replica has an idle slot", "", func(s *crowdedScene) { s.hold(5, 99, 101); s.Departed("r", at(99.5)); s.refuse(100, .01, .1) }},
		{"a refusal while a replica has an idle slot that has just joined", "", func(s *crowdedScene) { s.hold(5, 99, 101); s.Joined("r", "s", at(98.5)); s.refuse(100, .01, .1) }},
		{"a refusal while a cold replica has an idle slot", "", func(s *crowdedScene) {
			s.hold(5, 99, 101)
			s.TurnedCold("r", coldSpan{span: span{at(98), at(100)}})
			s.refuse(100, .01, .1)
		}},
		{"a refusal while a replica of an evacuated domain has an idle slot", "", func(s *crowdedScene) {
			s.hold(5, 99, 101)
			s.SetDomain("r", "z")
			s.Evacuated("z", at(99))
			s.refuse(100, .01, .1)
		}},
		{"a refusal while a slot is idle after a failure", "", func(s *crowdedScene) {
			s.hold(5, 99, 101)
			s.DisturbDaemon(3, at(95), at(98.5))
			s.refuse(100, .01, .1)
		}},
		{"a refusal while a slot is idle, before all daemons ask for permits", "", func(s *crowdedScene) { s.hold(5, 90, 101); s.refuse(91, .01, .1) }},
		{"a refusal for another reason while a slot is idle", "", func(s *crowdedScene) {
			s.hold(5, 99, 101)
			s.Answered(s.send(100, "w", 0), Answer{At: at(100.01), Status: 503, Reason: "upstream_refused"})
		}},

		{"few refusals after long waits", "", func(s *crowdedScene) { refuseAfter(s, 3, .2) }},
		{"many refusals after long waits", "QUEUED", func(s *crowdedScene) { refuseAfter(s, 4, .2) }},
		{"many refusals at once", "", func(s *crowdedScene) { refuseAfter(s, 4, .1) }},
		{"many refusals near the deadline", "", func(s *crowdedScene) { refuseAfter(s, 4, 2.45) }},
		{"many refusals of requests that a replica rejected", "", func(s *crowdedScene) {
			for _, id := range refuseAfter(s, 4, .2) {
				s.Arrived(id, Arrival{Replica: "r", Service: "s", At: at(100), Deadline: at(102)})
			}
		}},
		{"many refusals after long waits, after a failure", "", func(s *crowdedScene) { s.DisturbDaemon(3, at(95), at(98.5)); refuseAfter(s, 4, .2) }},

		{"many refusals after long waits while their daemon's process stood still", "", func(s *crowdedScene) {
			s.StoodStill(0, at(100.02), at(100.18))
			refuseAfter(s, 4, .3)
		}},
		{"many refusals after long waits while the run's process stood still", "", func(s *crowdedScene) {
			s.StoodStill(ownProcess, at(99.5), at(100.18))
			refuseAfter(s, 4, .3)
		}},
		{"many refusals after waits longer than their daemon's process stood still", "QUEUED", func(s *crowdedScene) {
			s.StoodStill(0, at(100.02), at(100.16))
			refuseAfter(s, 4, .3)
		}},
		{"many refusals after waits longer than processes stood still at the same time", "QUEUED", func(s *crowdedScene) {
			s.StoodStill(0, at(100.02), at(100.12))
			s.StoodStill(ownProcess, at(100.02), at(100.12))
			refuseAfter(s, 4, .3)
		}},
		{"many refusals after long waits while another daemon's process stood still", "QUEUED", func(s *crowdedScene) {
			s.StoodStill(1, at(100), at(100.3))
			refuseAfter(s, 4, .3)
		}},

		{"callers that come back as planned are refused", "RETURN", func(s *crowdedScene) { comeBack(s, 4, .25, .01, true) }},
		{"few callers that come back as planned are refused", "", func(s *crowdedScene) { comeBack(s, 3, .25, .01, true) }},
		{"another request of the workspace uses the planned return", "", func(s *crowdedScene) { comeBack(s, 4, .25, .01, false) }},
		{"callers that come back too late are refused", "", func(s *crowdedScene) { comeBack(s, 4, .25, .16, true) }},
		{"callers that come back without a plan are refused", "", func(s *crowdedScene) { comeBack(s, 4, .83, .01, true) }},
		{"callers that come back after a failure are refused", "", func(s *crowdedScene) { s.DisturbDaemon(3, at(95), at(98.5)); comeBack(s, 4, .25, .01, true) }},

		{"a modest workspace is refused", "SHARE", func(s *crowdedScene) { shareWith(s, 80, 20, 10, 5) }},
		{"a modest workspace is served", "", func(s *crowdedScene) { shareWith(s, 80, 20, 10, 10) }},
		{"few requests of a modest workspace are refused", "", func(s *crowdedScene) { shareWith(s, 80, 20, 10, 8) }},
		{"a modest workspace is refused while a process stands still", "", func(s *crowdedScene) { s.StoodStill(3, at(97), at(97.1)); shareWith(s, 80, 20, 10, 5) }},
		{"a modest workspace is refused while a process stands still for a moment", "SHARE", func(s *crowdedScene) { s.StoodStill(3, at(97), at(97.09)); shareWith(s, 80, 20, 10, 5) }},
		{"one beyond its share is refused", "", func(s *crowdedScene) { shareWith(s, 80, 20, 14, 7) }},
		{"one beside workspaces that send little more is refused", "", func(s *crowdedScene) { shareWith(s, 39, 20, 10, 5) }},
		{"a modest workspace is refused after a failure", "", func(s *crowdedScene) { s.DisturbDaemon(3, at(89), at(95.9)); shareWith(s, 80, 20, 10, 5) }},
		{"a modest workspace of a less urgent class is refused", "", func(s *crowdedScene) {
			s.hold(6, 90, 120)
			s.sendMany(96, 80, 20, "greedy", 0)
			s.sendMany(96, 10, 5, "modest", 1)
		}},

		{"equal classes", "", func(s *crowdedScene) { classes(s, 100, 50, 100, 50) }},
		{"a less urgent class is served more often", "URGENT", func(s *crowdedScene) { classes(s, 100, 50, 100, 60) }},
		{"a less urgent class is served hardly more often", "", func(s *crowdedScene) { classes(s, 100, 50, 100, 54) }},
		{"a less urgent class is served half as often", "", func(s *crowdedScene) { classes(s, 100, 90, 100, 42) }},
		{"a less urgent class starves", "URGENT", func(s *crowdedScene) { classes(s, 100, 90, 100, 38) }},
		{"a less urgent class of few requests starves", "", func(s *crowdedScene) { classes(s, 100, 90, 49, 5) }},
		{"a less urgent class starves after a failure", "", func(s *crowdedScene) { s.DisturbDaemon(3, at(80), at(90.1)); classes(s, 100, 90, 100, 38) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCrowdedScene()
			c.play(s)
			found := s.Check(at(110))
			switch {
			case c.want == "" && len(found) > 0:
				t.Errorf("found %+v, want no violation", found)
			case c.want != "" && (len(found) == 0 || slices.ContainsFunc(found, func(v Violation) bool { return v.Promise != c.want })):
				t.Errorf("found %+v, want only %s", found, c.want)
			}
		})
	}
}

// refuseAfter refuses requests after they have waited, while all slots are in use.
func refuseAfter(s *crowdedScene, n int, after float64) []string {
	s.hold(6, 90, 120)
	var ids []string
	for range n {
		ids = append(ids, s.refuse(100, after, .1))
	}
	return ids
}

// comeBack refuses callers, and again when they come back late after the planned time. If all is
// false, another request of their workspace is served then.
func comeBack(s *crowdedScene, n int, retryAfter, late float64, all bool) {
	s.hold(6, 90, 120)
	for i := range n {
		when := 100 + float64(i)
		s.refuse(when, .01, retryAfter)
		s.refuse(when+.01+retryAfter+late, .01, 0)
		if !all {
			s.serve(when+.01+retryAfter+.005, "w", 0)
		}
	}
}

// shareWith sends requests of a greedy and a modest workspace in one window, while all slots are in use.
func shareWith(s *crowdedScene, greedy, greedyServed, modest, modestServed int) {
	s.hold(6, 90, 120)
	s.sendMany(96, greedy, greedyServed, "greedy", 0)
	s.sendMany(96, modest, modestServed, "modest", 0)
}

// classes sends requests of two urgencies in one window, while all slots are in use.
func classes(s *crowdedScene, more, moreServed, less, lessServed int) {
	s.hold(6, 90, 120)
	s.sendMany(93, more, moreServed, "urgent", 0)
	s.sendMany(93, less, lessServed, "other", 1)
}
