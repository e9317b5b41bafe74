// This file maintains the set of known daemons and decides which of them are live.

package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// FullMeshSize is the maximum number of other members for which heartbeats go to all of them. A larger
// fleet is called large: each daemon sends to a few members and learns of most members through others.
const FullMeshSize = 12

const (
	// livenessTimeout is how long a member counts as live after its last message: about
	// twelve heartbeats. In a large fleet messages about a member are less frequent, and
	// livenessTimeoutLocal applies to members of the own domain and livenessTimeoutRemote to
	// others. The time counts from when the member sent its heartbeat, which can be about
	// 12 s ago in a domain with 85 daemons.
	livenessTimeout       = 2500 * time.Millisecond
	livenessTimeoutLocal  = 15 * time.Second
	livenessTimeoutRemote = 60 * time.Second
	// forgetAfter is how long a member that is not live still gets heartbeats, so that daemons find each
	// other after a long network partition even without the seeds.
	forgetAfter = 90 * time.Second
	// sizeDecay is the factor by which a fleet size that was reported by others decays
	// with each heartbeat, so that a fleet that has shrunk is eventually known to be
	// smaller. As long as some daemon knows the size itself, all stay close to it.
	sizeDecay = 0.99
)

// Roster is the set of daemons that a daemon knows. It is not safe for concurrent use.
type Roster struct {
	self    Member
	seeds   []Address
	members map[Address]*entry
	// ordered holds the members sorted by address, to avoid sorting them for each heartbeat.
	ordered []*entry
	// domains is the time of the newest known heartbeat of any member of each domain.
	domains  map[state.FailureDomain]time.Time
	peakSize int // highest fleet size that was ever known or reported
	// reportedSize is the fleet size that others reported, with decay.
	reportedSize float64
	// listenUntil is when a daemon that has just started begins to read the store.
	listenUntil time.Time
	// eraKnown says that this daemon knows the era of the store; the previous build does not.
	eraKnown bool
	restarts []Restart // found and not taken yet
	// forgotAt is when a member was last forgotten that may still run: it had not announced its shutdown. In a large fleet
	// it is the time at which nobody of such a member's domain was left.
	forgotAt time.Time
}

// NewRoster returns the roster of a daemon. Seeds may include the daemon itself.
func NewRoster(self Member, seeds []Address) *Roster {
	return &Roster{
		self: self, seeds: seeds, members: make(map[Address]*entry), domains: make(map[state.FailureDomain]time.Time), peakSize: 1,
	}
}

// Self returns the member that represents this daemon.
func (r *Roster) Self() Member { return r.self }

// NextHeartbeat counts a heartbeat and returns the daemon's own member to send in it.
func (r *Roster) NextHeartbeat() Member {
	r.self.Heartbeats++
	r.reportedSize *= sizeDecay
	return r.self
}

// SetStoreUnreachable sets whether this daemon can't read the store.
func (r *Roster) SetStoreUnreachable(unreachable bool) { r.self.StoreUnreachable = unreachable }

// HasStoreReader reports whether this daemon or any known live daemon may be able to read the store. The answer can be
// yes for a minute too long: a daemon that does not read never notices that it can't. So it only withholds confirmations
// (confirmations.go, rule 5); whether somebody reads the store is decided in stale_entries.go.
func (r *Roster) HasStoreReader(now time.Time) bool {
	if !r.self.StoreUnreachable {
		return true
	}
	return slices.ContainsFunc(r.ordered, func(e *entry) bool { return !e.StoreUnreachable && r.isLive(e, now) })
}

// SetEraKnown records that this daemon knows the era of the store.
func (r *Roster) SetEraKnown() { r.eraKnown = true }

// ObserveEra records the era that a member named in its own heartbeat, 0 for none.
func (r *Roster) ObserveEra(a Address, era feed.Era, now time.Time) {
	e := r.members[a]
	if e == nil {
		return
	}
	e.withEraAt, e.withoutEraAt = now, time.Time{}
	if era == 0 {
		e.withEraAt, e.withoutEraAt = time.Time{}, now
	}
}

// HasEraReader reports whether another daemon that names the era of the store can read the store.
func (r *Roster) HasEraReader(now time.Time) bool {
	return slices.ContainsFunc(r.ordered, func(e *entry) bool {
		return now.Sub(e.withEraAt) <= readerTimeout && !e.Leaving && !e.StoreUnreachable
	})
}

// SetLeaving records that this daemon is shutting down.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// Observe merges the members that a heartbeat named. It returns those that became live.
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
		r.observeRestart(e, m, now)
		e.update(m, now)
		r.updateDomain(e)
		if !wasLive && r.isLive(e, now) {
			joined = append(joined, m)
		}
	}
	if len(joined) > 0 {
		r.peakSize = max(r.peakSize, 1+r.countLive(now))
	}
	return joined
}

// entry returns the entry of a member, creating it if it is unknown.
func (r *Roster) entry(a Address) *entry {
	e := r.members[a]
	if e == nil {
		e = &entry{Member: Member{Address: a}}
		r.members[a] = e
		i, _ := slices.BinarySearchFunc(r.ordered, a, compareAddress)
		r.ordered = slices.Insert(r.ordered, i, e)
	}
	return e
}

func compareAddress(e *entry, a Address) int { return strings.Compare(string(e.Address), string(a)) }

// updateDomain updates the time of the newest heartbeat of a member's domain.
func (r *Roster) updateDomain(e *entry) {
	if e.lastSeen.After(r.domains[e.Domain]) {
		r.domains[e.Domain] = e.lastSeen
	}
}

// IsNew reports whether a member is not live, or has restarted since it was last seen.
func (r *Roster) IsNew(m Member, now time.Time) bool {
	e := r.members[m.Address]
	return e == nil || !r.isLive(e, now) || m.Incarnation > e.Incarnation
}

// Size returns the number of daemons, including this one: the number of known live
// daemons, or the reported number if that is higher. When a large fleet starts, the
// seeds know all daemons within a second, and the others learn the size from them long
// before they know each member. A reported number that has decayed is rounded down: rounded up, daemons
// would report each other the former number for good.
func (r *Roster) Size(now time.Time) int {
	return max(1+r.countLive(now), int(r.reportedSize))
}

// ObserveSize records the number of daemons that another daemon reported.
func (r *Roster) ObserveSize(n int) {
	r.reportedSize = max(r.reportedSize, float64(n))
	r.peakSize = max(r.peakSize, n)
}

// PeakSize returns the highest number of daemons that was ever known or reported,
// including this one.
func (r *Roster) PeakSize() int { return r.peakSize }

// Live returns the live members except this daemon, sorted by address.
func (r *Roster) Live(now time.Time) []Member { return membersOf(r.live(now), now) }

// Domains returns the time of the newest known heartbeat of any member of each domain,
// received directly or through other daemons.
func (r *Roster) Domains() map[state.FailureDomain]time.Time { return maps.Clone(r.domains) }

// Forget removes members that have not been seen for forgetAfter and returns the number
// of remaining members.
func (r *Roster) Forget(now time.Time) int {
	var forgotten []*entry
	r.ordered = slices.DeleteFunc(r.ordered, func(e *entry) bool {
		isOld := now.Sub(e.lastSeen) > forgetAfter
		if isOld {
			delete(r.members, e.Address)
			forgotten = append(forgotten, e)
		}
		return isOld
	})
	if len(forgotten) > 0 {
		clear(r.domains)
		for _, e := range r.ordered {
			r.updateDomain(e)
		}
	}
	for _, e := range forgotten {
		if _, isHeard := r.domains[e.Domain]; !e.Leaving && !(r.isLarge() && isHeard) {
			r.forgotAt = now
		}
	}
	return len(r.ordered)
}

// isLarge reports whether the fleet is too large to send heartbeats to all members.
func (r *Roster) isLarge() bool { return len(r.members) > FullMeshSize }

// isLive reports whether a member was seen recently enough to count as live.
func (r *Roster) isLive(e *entry, now time.Time) bool {
	limit := livenessTimeout
	if r.isLarge() {
		limit = livenessTimeoutRemote
		if e.Domain == r.self.Domain {
			limit = livenessTimeoutLocal
		}
	}
	return now.Sub(e.lastSeen) <= limit
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

// countLive returns the number of live members.
func (r *Roster) countLive(now time.Time) int {
	n := 0
	for _, e := range r.ordered {
		if r.isLive(e, now) {
			n++
		}
	}
	return n
}

// membersOf returns the members of entries in the form in which they are sent, with their current age.
func membersOf(list []*entry, now time.Time) []Member {
	out := make([]Member, len(list))
	for i, e := range list {
		out[i] = e.Member
		out[i].Age = max(0, now.Sub(e.lastSeen))
	}
	return out
}
