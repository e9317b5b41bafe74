package membership

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// TestConfirmationsOfAnotherEra guards against confirmations by peers whose documents are from before the store was restored: the
// copy may lack a version that these documents have, so that a daemon in the new era does not know it.
func TestConfirmationsOfAnotherEra(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := feed.Position{Era: 3, Revision: 9}, feed.Position{Era: 4, Revision: 2}
	peer := func(at feed.Position) *PeerConfirmation {
		return &PeerConfirmation{Sender: Member{Address: "10.0.0.2:1", Heartbeats: 1}, Position: at, HasAge: true, Received: now}
	}
	for _, c := range []struct {
		name string
		play func(l *Confirmations)
		want bool
	}{
		{"a heartbeat of the era before", func(l *Confirmations) { l.ObserveHeartbeat(peer(before), after) }, false},
		{"a heartbeat of the same era", func(l *Confirmations) { l.ObserveHeartbeat(peer(after), after) }, true},
		{"one that waited for documents of the era before", func(l *Confirmations) {
			l.ObserveHeartbeat(peer(before), feed.Position{Era: 3, Revision: 8})
			l.Advance(after)
		}, false},
		{"one that waited for documents of the new era", func(l *Confirmations) {
			l.ObserveHeartbeat(peer(after), before)
			l.Advance(after)
		}, true},
	} {
		l := &Confirmations{}
		c.play(l)
		if got := !l.ConfirmedAt().IsZero(); got != c.want {
			t.Errorf("%s confirms: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestMemberInAnotherEraKnowsMore guards against a lease that holds because all members are heard, while one of them has documents
// from before the store was restored, which the restored store may lack.
func TestMemberInAnotherEraKnowsMore(t *testing.T) {
	p := newFleetWithoutStore()
	p.run(time.Second, nobody)
	p.own = feed.Position{Era: 4, Revision: 2}
	p.leases.Advance(p.own)
	for range VersionLease / playTick {
		p.run(playTick, lastOne)
		m := &p.members[4]
		p.roster.Observe([]Member{*m}, p.now)
		p.leases.ObserveHeartbeat(&PeerConfirmation{Sender: *m, Position: feed.Position{Era: 3, Revision: 9}, Age: time.Hour, HasAge: true, Received: p.now}, p.own)
	}
	if age := p.now.Sub(p.leases.ConfirmedAt()); age < VersionLease-playTick {
		t.Errorf("confirmed %v before, though a member is in the era before", age)
	}
	if age := p.run(time.Second, nobody); age > time.Second {
		t.Errorf("confirmed %v before, though all members are in the same era", age)
	}
}
