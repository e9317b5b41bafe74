// This file keeps the set of known daemons and decides which of them count as live.

package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/state"
)

// FullMeshSize is the number of other members up to which a heartbeat goes to all of
// them. A fleet above it is large: each daemon sends to a few and learns of most
// members over others. Chosen, not measured: the sites of today have 8 daemons.
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
	// forgetAfter is how long a member that is not live is still tried, so that a
	// long cut heals without the seeds. Chosen, not measured.
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
	largest int
	// reportedSize is the size of the fleet as others reported it, decaying.
	reportedSize float64
	// listenUntil is until when a daemon that has just started does not read the store.
	listenUntil time.Time
}

// NewRoster returns the roster of a daemon. Seeds may name the daemon itself.
func NewRoster(self Member, seeds []Address) *Roster {
	return &Roster{self: self, seeds: seeds, members: make(map[Address]*entry), largest: 1}
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
	return slices.ContainsFunc(r.live(now), func(e *entry) bool { return !e.StoreUnreachable })
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
		e := r.members[m.Address]
		if e == nil {
			e = &entry{}
			r.members[m.Address] = e
		}
		if !e.supersedes(m, now) {
			continue
		}
		wasLive := r.isLive(e, now)
		e.update(m, now)
		if !wasLive && r.isLive(e, now) {
			joined = append(joined, m)
		}
	}
	r.largest = max(r.largest, 1+len(r.live(now)))
	return joined
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
	return max(1+len(r.live(now)), int(math.Round(r.reportedSize)))
}

// ObserveSize takes in the number of daemons that another one reported.
func (r *Roster) ObserveSize(n int, now time.Time) {
	r.reportedSize = max(r.reportedSize, float64(n))
	r.largest = max(r.largest, r.Size(now))
}

// Largest returns the greatest number of daemons that were ever known or reported,
// this one counted.
func (r *Roster) Largest() int { return r.largest }

// Live returns the live members, this daemon not counted, sorted by address.
func (r *Roster) Live(now time.Time) []Member { return membersOf(r.live(now), now) }

// Domains returns when any member of each domain last sent a heartbeat that is known
// here, directly or over others.
func (r *Roster) Domains() map[state.FailureDomain]time.Time {
	out := make(map[state.FailureDomain]time.Time)
	for _, e := range r.members {
		if e.seen.After(out[e.Domain]) {
			out[e.Domain] = e.seen
		}
	}
	return out
}

// Forget drops the members that have not been seen for long, and returns how
// many are left.
func (r *Roster) Forget(now time.Time) int {
	for a, e := range r.members {
		if now.Sub(e.seen) > forgetAfter {
			delete(r.members, a)
		}
	}
	return len(r.members)
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
	return r.filter(func(e *entry) bool { return r.isLive(e, now) })
}

// recent returns the members that were seen within a time, sorted by address.
func (r *Roster) recent(now time.Time, within time.Duration) []*entry {
	return r.filter(func(e *entry) bool { return now.Sub(e.seen) <= within })
}

func (r *Roster) filter(keep func(*entry) bool) []*entry {
	var out []*entry
	for _, e := range r.members {
		if keep(e) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return out
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
