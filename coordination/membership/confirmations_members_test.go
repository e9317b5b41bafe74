package membership

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// fleetWithoutStore plays a daemon that hears the other members of a small fleet and does not read the store.
type fleetWithoutStore struct {
	roster  *Roster
	leases  *Confirmations
	members []Member
	now     time.Time
	own     feed.Position
}

func newFleetWithoutStore() *fleetWithoutStore {
	now := time.Unix(1000, 0)
	members, rosters := holderFleet(6, 3, now)
	p := &fleetWithoutStore{roster: rosters[0], leases: &Confirmations{}, members: members[1:], now: now, own: feed.Position{Era: 3, Revision: 9}}
	p.roster.SetStoreUnreachable(true)
	return p
}

// run plays heartbeats of all members but those that are cut off. It returns the time since the last confirmation.
func (p *fleetWithoutStore) run(d time.Duration, isCut func(i int) bool) time.Duration {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(playTick)
		for i := range p.members {
			m := &p.members[i]
			if m.Heartbeats++; isCut(i) {
				continue
			}
			p.roster.Observe([]Member{*m}, p.now)
			p.leases.ObserveHeartbeat(&PeerConfirmation{Sender: *m, Position: p.own, Age: time.Hour, HasAge: true, Received: p.now}, p.own)
		}
		p.roster.Forget(p.now)
		p.leases.ObserveFleet(p.roster, p.own, p.own, p.now)
	}
	return p.now.Sub(p.leases.ConfirmedAt())
}

func nobody(int) bool { return false }

func lastOne(i int) bool { return i == 4 }

// TestMemberThatShutsDownIsHeard guards against a lease that holds although a member that shuts down is not heard: until its
// grace is over it serves callers and may read the store, beyond a cut too.
func TestMemberThatShutsDownIsHeard(t *testing.T) {
	p := newFleetWithoutStore()
	p.members[4].Leaving = true
	if age := p.run(5*time.Second, nobody); age > time.Second {
		t.Errorf("confirmed %v before, though the member that shuts down is heard", age)
	}
	if age := p.run(VersionLease, lastOne); age < VersionLease {
		t.Errorf("confirmed %v before, though the member that shuts down has been silent for %v", age, VersionLease)
	}
	p.members[4].Leaving, p.members[4].Incarnation, p.members[4].Heartbeats = false, 2, 0
	if age := p.run(time.Second, nobody); age > time.Second {
		t.Errorf("confirmed %v before, though the member has started again and is heard", age)
	}
}

// TestReportedDaemonIsHeard guards against a lease that holds although a daemon that others know, and this one does not, may read
// the store.
func TestReportedDaemonIsHeard(t *testing.T) {
	p := newFleetWithoutStore()
	p.run(time.Second, nobody)
	for range VersionLease / playTick {
		p.roster.ObserveSize(7)
		p.run(playTick, nobody)
		p.roster.NextHeartbeat()
	}
	if age := p.now.Sub(p.leases.ConfirmedAt()); age < VersionLease {
		t.Errorf("confirmed %v before, though a daemon that others report was never heard", age)
	}
	for range 5 * time.Second / playTick {
		p.run(playTick, nobody)
		p.roster.NextHeartbeat()
	}
	if age := p.now.Sub(p.leases.ConfirmedAt()); age > time.Second {
		t.Errorf("confirmed %v before, though nobody has reported more daemons than are known for 5 s", age)
	}
}

// TestForgottenMemberMayStillServe guards against a lease that holds because a member beyond a cut has been silent for so long
// that it is forgotten: it may serve callers and read the store as before.
func TestForgottenMemberMayStillServe(t *testing.T) {
	for _, c := range []struct {
		name              string
		leaving, reads    bool
		wantsConfirmation bool
	}{
		{"was silent", false, false, false},
		{"was silent, and this daemon has read the store since", false, true, true},
		{"had begun to shut down", true, false, true},
	} {
		p := newFleetWithoutStore()
		p.members[4].Leaving = c.leaving
		p.run(time.Second, nobody)
		p.run(forgetAfter+time.Second, lastOne)
		if p.roster.members[p.members[4].Address] != nil {
			t.Fatal("the member is not forgotten")
		}
		if c.reads {
			p.leases.ObserveRead(p.now)
		}
		age := p.run(VersionLease+time.Second, lastOne)
		if got := age < VersionLease; got != c.wantsConfirmation {
			t.Errorf("the forgotten member %s: confirmed %v before", c.name, age)
		}
	}
}

// TestForgottenDomainMayStillServe guards against a lease that holds in a large fleet because a failure domain beyond a cut has been
// silent for so long that all its daemons are forgotten.
func TestForgottenDomainMayStillServe(t *testing.T) {
	for _, cut := range []bool{false, true} {
		begun := time.Unix(1000, 0)
		now := begun.Add(forgetAfter + time.Second)
		members, rosters := holderFleet(60, 3, begun)
		r, l := rosters[0], &Confirmations{}
		r.SetStoreUnreachable(true)
		for i, m := range members[1:] {
			// One member of each domain was killed.
			if m.Heartbeats, m.StoreUnreachable = 2, true; i >= 3 && !(cut && m.Domain == members[1].Domain) {
				r.Observe([]Member{m}, now)
			}
		}
		r.Forget(now)
		l.ObserveFleet(r, feed.Position{}, feed.Position{}, now)
		if got := now.Before(l.Until()); got == cut {
			t.Errorf("a forgotten domain: %t; there is a lease: %t", cut, got)
		}
	}
}
