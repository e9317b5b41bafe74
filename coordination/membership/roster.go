// This file keeps the set of known daemons and decides which of them count as live.

package membership

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// FullMeshSize is the number of other members up to which a heartbeat goes to all of them. A fleet
// above it is large: each daemon sends to a few and learns of most members over others.
const FullMeshSize = 12

const (
	// liveness is how long a member counts as live after its last message: some
	// twelve heartbeats. In a large fleet a message about one member is rarer:
	// livenessNear holds in the own domain, livenessFar in others. They count from the
	// time at which the member sent it, which is up to some 12 s ago among 85 daemons
	// of one domain.
	liveness     = 2500 * time.Millisecond
	livenessNear = 15 * time.Second
	livenessFar  = 60 * time.Second
	// forgetAfter is how long a member that is not live is still tried, so that a long cut heals
	// without the seeds.
	forgetAfter = 90 * time.Second
	// sizeDecay is what is left, at each heartbeat, of a fleet size that others
	// reported. A fleet that has shrunk is known to be smaller after a while; while
	// some daemon knows the size itself, all stand close to it.
	sizeDecay = 0.99
)

// Roster is the set of known daemons. Its owner guards it.
type Roster struct {
	self    Member
	seeds   []Address
	members map[Address]*entry
	// ordered are the members sorted by address, kept so that no heartbeat sorts them.
	ordered []*entry
	// domains is when any member of each domain last sent a heartbeat that is known here.
	domains map[state.FailureDomain]time.Time
	largest int
	// reportedSize is the size of the fleet as others reported it, decaying.
	reportedSize float64
	// listenUntil is until when a daemon that has just started does not read the store.
	listenUntil time.Time
	// eraKnown says that this daemon knows the era of the store, which the build before does not.
	eraKnown bool
}

// NewRoster returns the roster of a daemon. Seeds may name the daemon itself.
func NewRoster(self Member, seeds []Address) *Roster {
	return &Roster{
		self: self, seeds: seeds, members: make(map[Address]*entry), domains: make(map[state.FailureDomain]time.Time), largest: 1,
	}
}

// Self returns the daemon's own member.
func (r *Roster) Self() Member { return r.self }

// NextHeartbeat returns the daemon's own member for its next heartbeat.
func (r *Roster) NextHeartbeat() Member {
	r.self.Heartbeats++
	r.reportedSize *= sizeDecay
	return r.self
}

// SetStoreUnreachable marks whether this daemon can read the store.
func (r *Roster) SetStoreUnreachable(unreachable bool) { r.self.StoreUnreachable = unreachable }

// StoreIsRead reports whether any live daemon that is known reads the store, this one counted: what
// it learns reaches the others.
func (r *Roster) StoreIsRead(now time.Time) bool {
	if !r.self.StoreUnreachable {
		return true
	}
	return slices.ContainsFunc(r.ordered, func(e *entry) bool { return !e.StoreUnreachable && r.isLive(e, now) })
}

// SetEraKnown says that this daemon knows the era of the store.
func (r *Roster) SetEraKnown() { r.eraKnown = true }

// ObserveEra takes in the era that a member named in its own heartbeat, 0 for none.
func (r *Roster) ObserveEra(a Address, era feed.Era, now time.Time) {
	e := r.members[a]
	if e == nil {
		return
	}
	e.eraAt, e.eralessAt = now, time.Time{}
	if era == 0 {
		e.eraAt, e.eralessAt = time.Time{}, now
	}
}

// EraIsRead reports whether another daemon names the era of the store and can read it.
func (r *Roster) EraIsRead(now time.Time) bool {
	return slices.ContainsFunc(r.ordered, func(e *entry) bool {
		return now.Sub(e.eraAt) <= readerTimeout && !e.Leaving && !e.StoreUnreachable
	})
}

// SetLeaving marks that the daemon stops.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// Observe takes in the members that a heartbeat named. It returns those that were
// not live before.
func (r *Roster) Observe(members []Member, now time.Time) []Member {
	var joined []Member
	for _, m := range members {
		if m.Address == r.self.Address {
			continue
		}
		e := r.entry(m.Address)
		if !e.supersedes(m, now) {
			continue
		}
		wasLive := r.isLive(e, now)
		e.update(m, now)
		r.noteDomain(e)
		if !wasLive && r.isLive(e, now) {
			joined = append(joined, m)
		}
	}
	if len(joined) > 0 {
		r.largest = max(r.largest, 1+r.countLive(now))
	}
	return joined
}

// entry returns the entry of a member, which is new if it was not known.
func (r *Roster) entry(a Address) *entry {
	e := r.members[a]
	if e == nil {
		e = &entry{Member: Member{Address: a}}
		r.members[a] = e
		i, _ := slices.BinarySearchFunc(r.ordered, a, byAddress)
		r.ordered = slices.Insert(r.ordered, i, e)
	}
	return e
}

func byAddress(e *entry, a Address) int { return strings.Compare(string(e.Address), string(a)) }

// noteDomain takes in when a member was seen.
func (r *Roster) noteDomain(e *entry) {
	if e.seen.After(r.domains[e.Domain]) {
		r.domains[e.Domain] = e.seen
	}
}

// IsNew reports whether a member is not live yet, or has started again since it was seen last.
func (r *Roster) IsNew(m Member, now time.Time) bool {
	e := r.members[m.Address]
	return e == nil || !r.isLive(e, now) || m.Incarnation > e.Incarnation
}

// Size returns the number of daemons, this one counted: those that it knows to
// live, or more if others reported more. When a large fleet starts as a whole the
// seeds know all daemons within a second, and the others learn the number from
// them long before they know each member.
func (r *Roster) Size(now time.Time) int {
	return max(1+r.countLive(now), int(math.Round(r.reportedSize)))
}

// ObserveSize takes in the number of daemons that another one reported.
func (r *Roster) ObserveSize(n int) {
	r.reportedSize = max(r.reportedSize, float64(n))
	r.largest = max(r.largest, n)
}

// Largest returns the greatest number of daemons that were ever known or reported,
// this one counted.
func (r *Roster) Largest() int { return r.largest }

// Live returns the live members, this daemon not counted, sorted by address.
func (r *Roster) Live(now time.Time) []Member { return membersOf(r.live(now), now) }

// Domains returns when any member of each domain last sent a heartbeat that is known
// here, directly or over others.
func (r *Roster) Domains() map[state.FailureDomain]time.Time { return maps.Clone(r.domains) }

// Forget drops the members that have not been seen for long, and returns how
// many are left.
func (r *Roster) Forget(now time.Time) int {
	before := len(r.ordered)
	r.ordered = slices.DeleteFunc(r.ordered, func(e *entry) bool {
		isOld := now.Sub(e.seen) > forgetAfter
		if isOld {
			delete(r.members, e.Address)
		}
		return isOld
	})
	if len(r.ordered) < before {
		clear(r.domains)
		for _, e := range r.ordered {
			r.noteDomain(e)
		}
	}
	return len(r.ordered)
}

// large reports whether the fleet is too large for a heartbeat to go to all.
func (r *Roster) large() bool { return len(r.members) > FullMeshSize }

// isLive reports whether a member was seen lately.
func (r *Roster) isLive(e *entry, now time.Time) bool {
	limit := liveness
	if r.large() {
		limit = livenessFar
		if e.Domain == r.self.Domain {
			limit = livenessNear
		}
	}
	return now.Sub(e.seen) <= limit
}

// live returns the live members, sorted by address.
func (r *Roster) live(now time.Time) []*entry {
	out := make([]*entry, 0, len(r.ordered))
	for _, e := range r.ordered {
		if r.isLive(e, now) {
			out = append(out, e)
		}
	}
	return out
}

// countLive returns how many members are live.
func (r *Roster) countLive(now time.Time) int {
	n := 0
	for _, e := range r.ordered {
		if r.isLive(e, now) {
			n++
		}
	}
	return n
}

// membersOf returns members as they are passed on, with the age of what is known.
func membersOf(list []*entry, now time.Time) []Member {
	out := make([]Member, len(list))
	for i, e := range list {
		out[i] = e.Member
		out[i].Age = max(0, now.Sub(e.seen))
	}
	return out
}
