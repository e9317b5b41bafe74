package membership_test

import (
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
)

// member returns the member with a number.
func member(i int) membership.Member {
	return membership.Member{Address: membership.Address(fmt.Sprintf("10.0.0.%d:1", i+1)), Domain: "z", Incarnation: 5, Heartbeats: 1}
}

// positionFleet is a roster that knows some members, which have told no position yet.
func positionFleet(members int, now time.Time) (*membership.Roster, []membership.Member) {
	r := membership.NewRoster(member(0), []membership.Address{member(0).Address})
	var list []membership.Member
	for i := range members {
		list = append(list, member(i+1))
	}
	r.Observe(list, now)
	return r, list
}

// TestAllMembersHoldAPosition guards against a version that counts as established while a daemon may not know it, also since it had left by
// the position that the daemon tells, or came before the store was restored.
func TestAllMembersHoldAPosition(t *testing.T) {
	at := position(3, 9)
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		members int
		seeds   []membership.Address
		meddle  func(r *membership.Roster, m []membership.Member) // after all members but the last one told the position
		own     feed.Position                                     // zero: era 3, revision 20
		want    bool
	}{
		{name: "no other daemon", want: true},
		{name: "a seed that was never heard", seeds: []membership.Address{"10.9.9.9:1"}},
		{name: "one member has told nothing", members: 3},
		{name: "all have told it", members: 3, meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], at) }, want: true},
		{name: "one has told a later revision", members: 3, meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(3, 12)) }, want: true},
		{name: "one has told a later revision than the own one", members: 3, own: position(3, 11), meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(3, 12)) }},
		{name: "the own documents are in a later era", members: 3, own: position(4, 1), meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(3, 12)) }},
		{name: "all have told it, and the own list is not read to its end", members: 3, own: position(3, 5), meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], at) }, want: true},
		{name: "one has told an earlier revision", members: 3, meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(3, 8)) }},
		{name: "one has told a higher revision of an earlier era", members: 3, meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(2, 90)) }},
		{name: "one has told a lower revision of a later era", members: 3, meddle: func(r *membership.Roster, m []membership.Member) { r.ObservePosition(m[2], position(4, 1)) }},
		{name: "a late datagram tells an earlier revision", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			r.ObservePosition(m[2], at)
			r.ObservePosition(m[2], position(3, 4))
		}, want: true},
		{name: "one restarted after it had told it", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			r.ObservePosition(m[2], at)
			m[2].Incarnation++
			r.Observe(m[2:], now)
		}},
		{name: "a late datagram of the run before a restart tells it", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			former := m[2]
			m[2].Incarnation++
			r.Observe(m[2:], now)
			r.ObservePosition(former, at)
		}},
		{name: "a restarted one has told it again", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			m[2].Incarnation++
			r.Observe(m[2:], now)
			r.ObservePosition(m[2], at)
		}, want: true},
		{name: "one that shuts down has not told it", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			m[2].Leaving, m[2].Heartbeats = true, m[2].Heartbeats+1
			r.Observe(m[2:], now)
		}},
		{name: "one that is gone for long has not told it, and is not forgotten", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			r.Forget(now.Add(80 * time.Second))
		}},
		{name: "one that has not told it is forgotten", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			m[0].Heartbeats++
			m[1].Heartbeats++
			r.Observe(m[:2], now.Add(80*time.Second))
			r.Forget(now.Add(100 * time.Second))
		}, want: true},
		{name: "more daemons are reported than are known", members: 3, meddle: func(r *membership.Roster, m []membership.Member) {
			r.ObservePosition(m[2], at)
			r.ObserveSize(6)
		}},
		{name: "a large fleet", members: membership.FullMeshSize + 1, meddle: func(r *membership.Roster, m []membership.Member) {
			r.ObservePosition(m[len(m)-1], at)
		}},
	} {
		r, members := positionFleet(c.members, now)
		if c.seeds != nil {
			r = membership.NewRoster(member(0), c.seeds)
		}
		for _, m := range members[:max(0, len(members)-1)] {
			r.ObservePosition(m, at)
		}
		if c.meddle != nil {
			c.meddle(r, members)
		}
		own := c.own
		if own == (feed.Position{}) {
			own = position(3, 20)
		}
		if got := r.AllHold(at, own); got != c.want {
			t.Errorf("%s: all hold the position: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestUnknownMemberTellsNothing guards against a heartbeat of a daemon that is not in the roster.
func TestUnknownMemberTellsNothing(t *testing.T) {
	r, _ := positionFleet(0, time.Unix(1000, 0))
	r.ObservePosition(member(7), feed.Position{Revision: 3})
	if !r.AllHold(feed.Position{Revision: 9}, feed.Position{Revision: 9}) {
		t.Error("a daemon that is not in the roster counts")
	}
}
