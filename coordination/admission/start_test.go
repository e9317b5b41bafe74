// Daemons that start under load: a whole fleet, or one of a running fleet. They find each other by the heartbeats of a
// [membership.Roster], as in daemon/routes/heartbeat.go.

package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

const (
	startHeartbeats   = 200 * time.Millisecond
	startSampleEvery  = 5 // heartbeats
	startSeeds        = 3
	startedLongAgo    = 10 // settleFor in units of an incarnation
	fleetIncarnation  = 100
	latestIncarnation = fleetIncarnation + 5*startedLongAgo
)

// gossip is the heartbeats of the daemons that have started.
type gossip struct {
	s     *loadSim
	seeds []membership.Address
	peers map[membership.Address]*gossiper
	loss  float64
}

// gossiper is the roster of a daemon and what its heartbeats need.
type gossiper struct {
	*loadDaemon
	roster    *membership.Roster
	sent      int
	sampleDue bool
}

func newGossip(s *loadSim) *gossip {
	g := &gossip{s: s, peers: make(map[membership.Address]*gossiper)}
	for _, d := range s.fleet[:min(startSeeds, len(s.fleet))] {
		g.seeds = append(g.seeds, d.d.self.Address)
	}
	return g
}

// start starts a daemon's process.
func (g *gossip) start(d *loadDaemon, incarnation membership.Incarnation) {
	self, replicas := d.d.self, d.d.client(svc).replicas
	self.Incarnation = incarnation
	d.d = NewDaemon(self)
	d.d.SetReplicas(svc, replicas, g.s.now)
	p := &gossiper{loadDaemon: d, roster: membership.NewRoster(self, g.seeds)}
	g.peers[self.Address] = p
	g.beat(p)
}

// setMembers sets the members of a daemon's permits.
func (g *gossip) setMembers(p *gossiper) {
	live, self := p.roster.Live(g.s.now), p.roster.Self()
	e := RosterEvidence{Seedless: true, KnowsSeeds: true}
	for _, a := range g.seeds {
		if a != self.Address {
			e.Seedless = false
			e.KnowsSeeds = e.KnowsSeeds && slices.ContainsFunc(live, func(m membership.Member) bool { return m.Address == a })
		}
	}
	e.KnowsSettled = slices.ContainsFunc(live, func(m membership.Member) bool { return m.Incarnation+startedLongAgo <= self.Incarnation })
	p.d.SetRosterEvidence(e)
	p.d.SetMembers(live, p.roster.Size(g.s.now), g.s.now)
	p.take()
}

// beat sends a heartbeat, and the next one later.
func (g *gossip) beat(p *gossiper) {
	var named []membership.Member
	if p.sent++; p.sampleDue || p.sent%startSampleEvery == 0 {
		named, p.sampleDue = p.roster.Sample(g.s.now, g.s.rng), false
	}
	g.send(p, p.roster.Targets(g.s.now, g.s.rng), named)
	g.setMembers(p)
	g.s.after(startHeartbeats, func() { g.beat(p) })
}

func (g *gossip) send(from *gossiper, to []membership.Address, named []membership.Member) {
	sender, size := from.roster.NextHeartbeat(), from.roster.Size(g.s.now)
	for _, a := range to {
		if g.s.rng.Float64() < g.loss {
			continue
		}
		g.s.after(messageFar, func() {
			if p := g.peers[a]; p != nil {
				g.receive(p, sender, named, size)
			}
		})
	}
}

func (g *gossip) receive(p *gossiper, sender membership.Member, named []membership.Member, size int) {
	joined := p.roster.Observe(append([]membership.Member{sender}, named...), g.s.now)
	p.roster.ObserveSize(size)
	for _, m := range joined {
		p.sampleDue = true
		if m.Address == sender.Address {
			g.send(p, []membership.Address{m.Address}, p.roster.Bootstrap(m, g.s.now, g.s.rng))
		}
	}
	g.setMembers(p)
}

// startTogether starts all daemons of a fleet within a tenth of a second. The load begins when a balancer has seen that they
// are ready.
func startTogether(s *loadSim) {
	g := newGossip(s)
	for i, d := range s.fleet {
		s.after(100*time.Millisecond*time.Duration(i)/time.Duration(len(s.fleet)), func() { g.start(d, fleetIncarnation) })
	}
	s.run(300 * time.Millisecond)
}

// startOne starts the last daemon of a fleet three seconds after the load has begun. The others have run for long, and report the
// saturated service to it.
func startOne(s *loadSim) {
	g := newGossip(s)
	last := len(s.fleet) - 1
	d := s.fleet[last]
	s.fleet = s.fleet[:last]
	for _, d := range s.fleet {
		g.start(d, fleetIncarnation)
	}
	s.run(2 * time.Second)
	s.after(3*time.Second, func() {
		g.start(d, latestIncarnation)
		s.after(100*time.Millisecond, func() {
			s.fleet = append(s.fleet, d)
			if s.fleet[0].d.Saturated(svc, s.now) {
				d.d.ReportSaturated(svc, s.now)
			}
		})
	})
}

// Guards against daemons that refuse callers while slots are idle, for the first second after their start: each decides alone,
// with one place. Load: 1.1 and 2 times what the service can handle.
func TestDaemonsThatHaveStartedRefuseNobodyWhileSlotsAreIdle(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		daemons int
		starts  func(*loadSim)
	}{
		{"the only daemon", 1, startTogether},
		{"a fleet", 3, startTogether}, {"a fleet", 5, startTogether}, {"a fleet", 8, startTogether},
		{"one beside others", 2, startOne}, {"one beside others", 5, startOne}, {"one beside others", 8, startOne},
	} {
		t.Run(fmt.Sprint(c.name, "/", c.daemons), func(t *testing.T) {
			t.Parallel()
			for _, level := range []float64{1.1, 2} {
				load := onset(c.daemons, level, 0)
				load.starts, load.lasts = c.starts, 5*time.Second
				if r := load.playSeeds(t, seeds(2, 12)); r.aloneIdle > 2 || r.alone > 4 {
					t.Errorf("load %.1f: %d calls were refused by daemons that decided alone while a slot was idle; %d decided alone", level, r.aloneIdle, r.alone)
				}
			}
		})
	}
}

// Guards against more than twice the places while daemons that start together under load do not know each other yet, although
// datagrams are lost and the last one starts long after the first one. All ask for permits from their start on.
func TestDaemonsThatStartUnderLoadGrantTwiceThePlacesAtMost(t *testing.T) {
	t.Parallel()
	const places = 3 * (loadSlots + extraPlaces)
	for _, daemons := range []int{2, 5, 13} {
		for _, over := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			for _, loss := range []float64{0, .3} {
				t.Run(fmt.Sprint(daemons, "/", over, "/", loss), func(t *testing.T) {
					t.Parallel()
					c := onset(daemons, 3, 0)
					c.lasts = 3 * time.Second
					c.starts = func(s *loadSim) { startUnderLoad(s, over, loss) }
					r := c.playSeeds(t, seeds(3, 24))
					if r.mostOut > 2*places || r.crowding > 2*(loadSlots+extraPlaces)+.25 {
						t.Errorf("%d permits, %d are allowed; %.1f requests at a replica on average of %v", r.mostOut, 2*places, r.crowding, crowdingWindow)
					}
				})
			}
		}
	}
}

// startUnderLoad starts the daemons of a fleet one after another, under load.
func startUnderLoad(s *loadSim, over time.Duration, loss float64) {
	g := newGossip(s)
	g.loss = loss
	all := s.fleet
	s.fleet = nil
	for i, d := range all {
		s.after(over*time.Duration(i)/time.Duration(len(all)), func() {
			g.start(d, fleetIncarnation)
			s.fleet = append(s.fleet, d)
			d.d.ReportSaturated(svc, s.now)
		})
	}
	s.run(time.Millisecond)
}

// Guards against a daemon that takes a part of its fleet for all of it, and then asks a coordinator that others do not ask, or
// grants all places itself; and against one that goes on to decide alone although it knows the others.
func TestDaemonThatStartsKnowsWhenItsRosterIsComplete(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name           string
		evidence       RosterEvidence
		known, daemons int // when the last one joined, .1 s after the start
		at             time.Duration
		settles        bool
	}{
		{"it hears nobody", RosterEvidence{}, 1, 1, settleFor - 1, false},
		{"for a second", RosterEvidence{}, 1, 1, settleFor, true},
		{"it has no seeds", RosterEvidence{Seedless: true}, 1, 1, 0, true},
		{"it knows no seed, and no other daemon", RosterEvidence{KnowsSeeds: true}, 1, 1, settleFor - 1, false},
		{"all seeds, and others may join", RosterEvidence{KnowsSeeds: true}, 5, 5, ms(399), false},
		{"all seeds, and none has joined since", RosterEvidence{KnowsSeeds: true}, 5, 5, ms(400), true},
		{"a seed is missing", RosterEvidence{}, 5, 5, ms(999), false},
		{"one that has run for long", RosterEvidence{KnowsSettled: true}, 5, 5, ms(100), true},
		{"one that has run for long knows more", RosterEvidence{KnowsSettled: true, KnowsSeeds: true}, 5, 7, ms(999), false},
		{"another knows more", RosterEvidence{}, 3, 5, ms(999), false},
		{"another knows a few more", RosterEvidence{}, 4, 5, ms(100), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 8)
			d := w.nodes[0].d
			var live []membership.Member
			for _, n := range w.nodes[1:c.known] {
				live = append(live, n.m)
			}
			if c.known == 1 {
				d.SetRosterEvidence(c.evidence)
			}
			d.SetMembers(nil, 1, w.now)
			if c.known > 1 {
				d.SetRosterEvidence(c.evidence)
				d.SetMembers(live, c.daemons, w.now.Add(ms(100)))
			}
			if got := !d.isSettling(w.now.Add(c.at)); got != c.settles {
				t.Errorf("%v after its start its roster is complete: %v, want %v", c.at, got, c.settles)
			}
		})
	}
}
