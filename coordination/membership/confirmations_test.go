package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

const (
	playStep = 10 * time.Millisecond
	playTick = 200 * time.Millisecond
	// maxUndetected is how long a message may have been under way without being noticed.
	maxUndetected = 600 * time.Millisecond
)

// leasePlay plays daemons that read a store and exchange heartbeats, in virtual time.
type leasePlay struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*leaseDaemon
	index   map[Address]int
	joined  []time.Time // when each revision of the store after the first was written
	transit func() time.Duration
	sync    func() time.Duration // from a heartbeat that tells of documents until they are fetched
	// cut reports whether daemon i is cut off from daemon k; -1 is the store.
	cut  func(i, k int) bool
	lost bool // a datagram in ten is lost
}

// leaseDaemon is a daemon of a play.
type leaseDaemon struct {
	roster   *Roster
	leases   *Confirmations
	at       feed.Position
	newest   feed.Position
	inbox    []leaseMessage // not read yet
	waits    SocketWaits
	readAt   time.Time // when the socket was last read
	tickedAt time.Time
	ticks    int
	offset   time.Duration
	pausedTo time.Time
	plan     ReadPlan
	reads    time.Time // end of the read under way; zero: none
	wait     time.Duration
	fetched  feed.Position // by a request under way
	fetches  time.Time
}

type leaseMessage struct {
	arrives time.Time
	peer    PeerConfirmation
	members []Member
}

func newLeasePlay(seed uint64, daemons, domains int) *leasePlay {
	now := time.Unix(1000, 0)
	p := &leasePlay{
		rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: now, index: make(map[Address]int),
		cut: func(_, _ int) bool { return false },
	}
	p.transit = func() time.Duration { return time.Duration(p.rng.IntN(10)) * time.Millisecond }
	p.sync = p.transit
	var members []Member
	for i := range daemons {
		members = append(members, Member{
			Address: Address(fmt.Sprintf("10.%d.%d.1:1", i/200, 10+i%200)), Domain: state.FailureDomain(fmt.Sprint("z", i%domains)), Incarnation: 1,
		})
		p.index[members[i].Address] = i
	}
	for i, m := range members {
		r := NewRoster(m, []Address{members[0].Address, members[1].Address})
		others := slices.Delete(slices.Clone(members), i, i+1)
		for k := range others {
			others[k].Heartbeats = 1
		}
		r.Observe(others, now)
		r.self.Heartbeats = 1
		p.daemons = append(p.daemons, &leaseDaemon{
			roster: r, leases: &Confirmations{}, at: feed.Position{Revision: 1}, offset: time.Duration(p.rng.IntN(int(playTick/playStep))) * playStep,
		})
	}
	return p
}

// run plays for a time. check is called for each daemon that is not paused, after each step.
func (p *leasePlay) run(d time.Duration, check func(i int, d *leaseDaemon)) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(playStep) {
		for i, d := range p.daemons {
			if p.now.Before(d.pausedTo) {
				continue
			}
			tickFirst := p.rng.IntN(2) == 0 // after a pause, the tick may be handled before or after what waits in the socket
			if tickFirst {
				p.tick(i, d)
			}
			p.receive(d)
			if !tickFirst {
				p.tick(i, d)
			}
			p.read(i, d)
			check(i, d)
		}
	}
}

func (p *leasePlay) tick(i int, d *leaseDaemon) {
	if since := p.now.Sub(d.tickedAt); since <= playTick && (p.now.Sub(time.Unix(1000, 0))-d.offset)%playTick != 0 {
		return
	}
	d.tickedAt = p.now
	d.plan = d.roster.PlanReads(p.now, d.roster.isLarge())
	d.leases.ObserveFleet(d.roster, d.at, d.newest, p.now)
	if d.ticks++; d.roster.isLarge() && d.ticks%2 == 0 {
		return
	}
	age, ok := d.leases.StoreAge(p.now)
	if !ok {
		age = time.Hour
	}
	self := d.roster.NextHeartbeat()
	members := append([]Member{self}, d.roster.Sample(p.now, p.rng)...)
	for _, to := range d.roster.Targets(p.now, p.rng) {
		k, known := p.index[to]
		if !known || p.cut(i, k) || p.lost && p.rng.IntN(10) == 0 {
			continue
		}
		m := leaseMessage{arrives: p.now.Add(p.transit()), peer: PeerConfirmation{Sender: self, Position: d.at, Age: age, HasAge: true}, members: members}
		p.daemons[k].inbox = append(p.daemons[k].inbox, m)
	}
}

// receive processes what has arrived, and documents that were fetched.
func (p *leasePlay) receive(d *leaseDaemon) {
	var later []leaseMessage
	inTime := d.waits.Read(d.readAt, p.now)
	d.readAt = p.now
	for _, m := range d.inbox {
		if m.arrives.After(p.now) {
			later = append(later, m)
			continue
		}
		m.peer.Received, m.peer.Waited = p.now, !inTime
		d.roster.Observe(m.members, p.now)
		if d.newest.Before(m.peer.Position) {
			d.newest = m.peer.Position
		}
		if d.at.Before(m.peer.Position) && d.fetches.IsZero() {
			d.fetched, d.fetches = m.peer.Position, p.now.Add(p.sync())
		}
		d.leases.ObserveHeartbeat(&m.peer, d.at)
	}
	d.inbox = later
	if !d.fetches.IsZero() && !p.now.Before(d.fetches) {
		d.advance(d.fetched)
		d.fetches = time.Time{}
	}
}

func (d *leaseDaemon) advance(to feed.Position) {
	if d.at.Before(to) {
		d.at = to
	}
	d.leases.Advance(d.at)
}

// read plays the reader of the store: a watch returns at the end of its wait, or at once if there is something new.
func (p *leasePlay) read(i int, d *leaseDaemon) {
	plan := d.plan
	newest := feed.Position{Revision: feed.Revision(1 + len(p.joined))}
	switch {
	case !plan.Reads:
		d.reads = time.Time{}
	case p.cut(i, -1):
		if d.reads.IsZero() {
			d.reads = p.now.Add(plan.Wait)
		}
		if p.now.After(d.reads.Add(300 * time.Millisecond)) {
			d.roster.SetStoreUnreachable(true)
		}
	case d.reads.IsZero() || d.wait != plan.Wait:
		d.wait = plan.Wait
		d.reads = p.now.Add(plan.Wait*3/4 + time.Duration(p.rng.Int64N(int64(plan.Wait/2))))
		d.roster.SetStoreUnreachable(false)
	case d.at.Before(newest):
		d.advance(newest)
		d.reads = time.Time{}
	case !p.now.Before(d.reads):
		d.leases.ObserveRead(d.reads)
		d.reads = time.Time{}
	}
}

// TestLeaseEndsWithoutConfirmation guards against a daemon that takes the versions that it knows for all that there are
// although another one has been in the store for longer than the lease: while it is cut off, alone or with its failure
// domain, in one direction or both, from the store or not; while it gets documents late; and during and after pauses.
func TestLeaseEndsWithoutConfirmation(t *testing.T) {
	for _, c := range []struct{ daemons, plays int }{{8, 120}, {60, 12}, {930, 1}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			t.Parallel()
			refused := 0
			for seed := range uint64(c.plays) {
				refused += playFaults(t, seed, c.daemons)
			}
			if refused == 0 {
				t.Error("no lease ended over a version that its daemon did not know; the plays show nothing")
			}
		})
	}
}

// playFaults plays a fleet with faults drawn from a seed, in which versions join. It returns how often a daemon that did
// not know a version had no lease any more.
func playFaults(t *testing.T, seed uint64, daemons int) (refused int) {
	t.Helper()
	p := newLeasePlay(seed, daemons, 3)
	p.lost = seed%2 == 1
	syncDelay := time.Duration(p.rng.IntN(6)) * time.Second
	p.sync = func() time.Duration { return syncDelay }
	none := func(_ int, _ *leaseDaemon) {}
	p.run(3*time.Second, none)
	inside := func(i int) bool { return i >= 0 && i == p.daemonOf(seed) }
	if seed%3 == 0 {
		inside = func(i int) bool { return i >= 0 && i%3 == int(seed/3)%3 }
	}
	storeToo, direction := seed%4 < 2, seed/4%3
	p.cut = func(i, k int) bool {
		if k < 0 {
			return inside(i) && storeToo
		}
		return inside(i) != inside(k) && (direction == 0 || inside(i) == (direction == 1))
	}
	pause := time.Duration(0)
	if seed%5 >= 2 {
		pause = time.Duration(100+p.rng.IntN(2900)) * time.Millisecond
		p.cut = func(_, _ int) bool { return false }
	}
	check := func(i int, d *leaseDaemon) {
		if pause > 0 && inside(i) && !p.now.Before(d.pausedTo.Add(time.Duration(p.rng.IntN(400))*time.Millisecond)) {
			d.pausedTo = p.now.Add(pause)
		}
		known := int(d.at.Revision) - 1
		if known == len(p.joined) {
			return
		}
		switch missing := p.now.Sub(p.joined[known]); {
		case p.now.Before(d.leases.Until()) && missing > VersionLease+maxUndetected:
			t.Fatalf("%d daemons, seed %d: daemon %d holds a lease over a version that joined %v before and that it does not know", daemons, seed, i, missing)
		case !p.now.Before(d.leases.Until()):
			refused++
		}
	}
	for range 3 {
		p.run(time.Duration(p.rng.IntN(500))*time.Millisecond, check)
		p.joined = append(p.joined, p.now)
	}
	p.run(5*time.Second, check)
	return refused
}

// TestConfirmationsDoNotRenewThemselves guards against two daemons that are cut off and pass a confirmation to and fro, so
// that it gets newer each time by what a message waits without being noticed.
func TestConfirmationsDoNotRenewThemselves(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := &Confirmations{}, &Confirmations{}
	a.ObserveRead(now)
	end := now.Add(VersionLease + maxUndetected)
	for n := uint64(1); now.Before(end); n++ {
		for _, to := range []*Confirmations{b, a} {
			from := a
			if to == a {
				from = b
			}
			age, ok := from.StoreAge(now)
			now = now.Add(MaxSocketWait)
			to.ObserveHeartbeat(&PeerConfirmation{Sender: Member{Address: "10.0.0.2:1", Heartbeats: n}, Age: age, HasAge: ok, Received: now}, feed.Position{})
		}
	}
	if now.Before(a.Until()) || now.Before(b.Until()) {
		t.Errorf("%v after the last read of the store the leases end in %v and %v", VersionLease+maxUndetected, a.Until().Sub(now), b.Until().Sub(now))
	}
}

// TestConfirmationsWaitForDocuments guards against confirmations of documents that the daemon does not have, and against a
// daemon whose documents are always a little behind and that never confirms anything.
func TestConfirmationsWaitForDocuments(t *testing.T) {
	begun := time.Unix(1000, 0)
	c := &Confirmations{}
	own, now := feed.Position{Revision: 1}, begun
	for n := range 20 {
		now = begun.Add(time.Duration(n+1) * 200 * time.Millisecond)
		told := feed.Position{Revision: feed.Revision(n + 10)}
		c.ObserveHeartbeat(&PeerConfirmation{Sender: Member{Address: "10.0.0.2:1", Heartbeats: uint64(n + 1)}, Position: told, HasAge: true, Received: now}, own)
		if n == 3 && !c.ConfirmedAt().IsZero() {
			t.Fatal("documents are confirmed that the daemon does not have")
		}
		if n > 3 {
			own.Revision = told.Revision - 2 // fetched meanwhile
			c.Advance(own)
		}
	}
	if age := now.Sub(c.ConfirmedAt()); age > time.Second {
		t.Errorf("the documents were last confirmed %v before, though they are never more than .4 s behind", age)
	}
}

// TestHeartbeatsThatConfirmNothing guards against heartbeats of which it is not known how old they are, or whose sender does
// not know, that extend a lease; and against heartbeats of the previous build that do not.
func TestHeartbeatsThatConfirmNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		before uint64 // number of a heartbeat that was received 10 s before; 0: none
		peer   PeerConfirmation
		want   bool
	}{
		{"with an age", 0, PeerConfirmation{Sender: Member{Heartbeats: 2}, HasAge: true}, true},
		{"may have waited", 0, PeerConfirmation{Sender: Member{Heartbeats: 2}, HasAge: true, Waited: true}, false},
		{"overtaken by a later one", 3, PeerConfirmation{Sender: Member{Heartbeats: 2}, HasAge: true}, false},
		{"after a restart", 3, PeerConfirmation{Sender: Member{Incarnation: 1, Heartbeats: 2}, HasAge: true}, true},
		{"of the previous build", 0, PeerConfirmation{Sender: Member{Heartbeats: 2}}, true},
		{"of the previous build, which can't read the store", 0, PeerConfirmation{Sender: Member{Heartbeats: 2, StoreUnreachable: true}}, false},
	} {
		l := &Confirmations{}
		if c.before > 0 {
			l.ObserveHeartbeat(&PeerConfirmation{Sender: Member{Heartbeats: c.before}, HasAge: true, Received: now.Add(-10 * time.Second)}, feed.Position{})
		}
		c.peer.Received = now
		l.ObserveHeartbeat(&c.peer, feed.Position{})
		if got := now.Before(l.Until()); got != c.want {
			t.Errorf("a heartbeat %s confirms: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestMemberWithALowerIncarnationConfirms guards against a member whose clock was set back before it restarted, and which
// confirms nothing from then on although the roster has taken its incarnation over.
func TestMemberWithALowerIncarnationConfirms(t *testing.T) {
	now, at := time.Unix(1000, 0), feed.Position{Revision: 1}
	m := Member{Address: "10.0.0.2:1", Incarnation: 50, Heartbeats: 9}
	r, c := NewRoster(Member{Address: "10.0.0.1:1"}, []Address{m.Address}), &Confirmations{}
	hear := func(m Member) {
		r.Observe([]Member{m}, now)
		c.ObserveHeartbeat(&PeerConfirmation{Sender: m, Position: at, HasAge: true, Received: now}, at)
		c.ObserveFleet(r, at, at, now)
	}
	hear(m)
	late := m
	m.Incarnation, m.Heartbeats = 40, 0
	for i := range 2 {
		for range 20 * time.Second / playTick {
			now = now.Add(playTick)
			m.Heartbeats++
			hear(m)
		}
		if age := now.Sub(c.ConfirmedAt()); age > time.Second {
			t.Errorf("confirmed %v ago after %d late datagrams of the run before", age, i)
		}
		late.Heartbeats++
		hear(late)
	}
}

// TestConfirmedByWatch guards against watches that confirm a time after the one at which the store replied.
func TestConfirmedByWatch(t *testing.T) {
	sent, wait := time.Unix(1000, 0), 400*time.Millisecond
	for _, c := range []struct {
		name    string
		took    time.Duration
		changed bool
		want    time.Duration // after it was sent
	}{
		{"nothing, after its wait", 410 * time.Millisecond, false, wait},
		{"nothing, read after a pause", 5 * time.Second, false, wait},
		{"nothing, too early", 100 * time.Millisecond, false, 0},
		{"changes", 410 * time.Millisecond, true, 0},
	} {
		if got := ConfirmedByWatch(sent, sent.Add(c.took), wait, c.changed).Sub(sent); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFleetConfirmsWithoutTheStore guards against leases that end in a small fleet in which all daemons hear each other but
// none reads the store, and against leases that don't although a member or a seed is not heard, or told of newer documents.
func TestFleetConfirmsWithoutTheStore(t *testing.T) {
	begun := time.Unix(1000, 0)
	now := begun.Add(10 * time.Second)
	for _, c := range []struct {
		name    string
		silent  bool // one member since the beginning
		leaving bool // that one has shut down
		newest  feed.Revision
		seeds   []Address
		want    bool
	}{
		{"all are heard", false, false, 0, nil, true},
		{"one is silent", true, false, 0, nil, false},
		{"one that shuts down is silent", true, true, 0, nil, false},
		{"one told of newer documents", false, false, 9, nil, false},
		{"a seed is unknown", false, false, 0, []Address{"10.9.9.9:1"}, false},
	} {
		members, rosters := holderFleet(8, 3, begun)
		r, l := rosters[0], &Confirmations{}
		r.seeds = c.seeds
		for i, m := range members[1:] {
			at := now
			if i == 3 && c.silent {
				at = begun
				m.Leaving, m.Heartbeats = c.leaving, 2
				r.Observe([]Member{m}, begun)
			}
			l.ObserveHeartbeat(&PeerConfirmation{Sender: m, Age: time.Hour, HasAge: true, Received: at}, feed.Position{})
		}
		l.ObserveFleet(r, feed.Position{}, feed.Position{Revision: c.newest}, now)
		if got := now.Before(l.Until()); got != c.want {
			t.Errorf("%s: there is a lease: %t, want %t", c.name, got, c.want)
		}
		if age, _ := l.StoreAge(now); age < time.Hour {
			t.Errorf("%s: tells an age of %v though no daemon read the store", c.name, age)
		}
	}
}

// TestLargeFleetConfirmsByDomain guards against leases of a large fleet without the store that end although all failure domains
// are heard, and against leases that don't although one is not, a seed is unknown or a daemon may read the store.
func TestLargeFleetConfirmsByDomain(t *testing.T) {
	begun := time.Unix(1000, 0)
	now := begun.Add(10 * time.Second)
	for _, c := range []struct {
		name                   string
		silent, reader, waited bool // a failure domain; a member that can read the store; the last message
		seeds                  []Address
		want                   bool
	}{
		{"all are heard", false, false, false, nil, true},
		{"a domain is silent", true, false, false, nil, false},
		{"a member can read the store", false, true, false, nil, false},
		{"the messages may have waited", false, false, true, nil, false},
		{"a seed is unknown", false, false, false, []Address{"10.9.9.9:1"}, false},
	} {
		members, rosters := holderFleet(60, 3, begun)
		r, l := rosters[0], &Confirmations{}
		r.seeds = c.seeds
		r.SetStoreUnreachable(true)
		for i, m := range members[1:] {
			m.Heartbeats, m.StoreUnreachable = 2, !c.reader || i != 10
			at := now
			if c.silent && m.Domain == members[1].Domain {
				at = begun
			}
			r.Observe([]Member{m}, at)
		}
		l.ObserveHeartbeat(&PeerConfirmation{Sender: members[1], Age: time.Hour, HasAge: true, Received: now, Waited: c.waited}, feed.Position{})
		l.ObserveFleet(r, feed.Position{}, feed.Position{}, now)
		if got := now.Before(l.Until()); got != c.want {
			t.Errorf("%s: there is a lease: %t, want %t", c.name, got, c.want)
		}
	}
}

// daemonOf returns the daemon that a play's fault concerns.
func (p *leasePlay) daemonOf(seed uint64) int { return int(seed) % len(p.daemons) }

// TestLeasesHoldWhileAllIsWell guards against daemons that refuse to resume streams although nothing is wrong: of fleets
// of all sizes, while datagrams are lost, and while the store is silent to all daemons of a small fleet.
func TestLeasesHoldWhileAllIsWell(t *testing.T) {
	for _, c := range []struct {
		daemons, domains int
		lost, silent     bool
		length           time.Duration
	}{
		{8, 3, false, false, time.Minute}, {8, 3, true, false, time.Minute}, {8, 3, false, true, time.Minute},
		{60, 3, false, false, 20 * time.Second}, {60, 3, true, false, 20 * time.Second}, {930, 12, true, false, 7 * time.Second},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			const warmUp = 4 * time.Second
			p := newLeasePlay(1, c.daemons, c.domains)
			p.lost = c.lost
			begun := p.now
			p.cut = func(_, k int) bool { return k < 0 && c.silent && p.now.Sub(begun) > warmUp }
			var ages []time.Duration
			p.run(c.length, func(_ int, d *leaseDaemon) {
				if p.now.Sub(begun) > warmUp {
					ages = append(ages, p.now.Sub(d.leases.ConfirmedAt()))
				}
				if p.now.Sub(begun)%(4*time.Second) == 0 && d == p.daemons[0] {
					p.joined = append(p.joined, p.now)
				}
			})
			slices.Sort(ages)
			at := func(q float64) time.Duration { return ages[int(q*float64(len(ages)-1))].Round(time.Millisecond) }
			t.Logf("confirmed %v before (median), %v at 99%%, %v at 99.9%%, %v at most", at(.5), at(.99), at(.999), at(1))
			if at(1) >= VersionLease {
				t.Errorf("a lease ended, as the documents were last confirmed %v before", at(1))
			}
		})
	}
}
