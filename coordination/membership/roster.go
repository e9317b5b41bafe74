// Package membership lets daemons find each other without a list from outside.
// A daemon begins at its seeds and tells, several times a second, some others
// that it lives and whom it knows. Nothing is elected; a member that was not
// heard of for a while is taken as gone, and comes back with its next beat.
//
// # Usage
//
//	roster := membership.NewRoster(self, seeds)
//	targets := roster.Targets(now, rng)   // whom to tell
//	roster.Observe(beat, now)             // what was heard
//	live := roster.Live(now)
//
// The package is pure: messages are values, the time and randomness arguments.
package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hingewinch.org/hingewinch/state"
)

type (
	// Address is where a daemon takes beats, as IP:PORT.
	Address string
	// Life distinguishes the lives of a daemon at one address; a later one is
	// higher unless the clock was set back between them.
	Life uint64
)

// Member is what daemons tell each other of one daemon.
type Member struct {
	Address Address
	Domain  state.FailureDomain
	Life    Life
	Count   uint64 // beats sent in this life
	Leaving bool   // stops as planned
	Blind   bool   // can't read the source of the documents
}

// Settings of the roster.
const (
	// deadAfter is how long a member counts as live after news of it. In a large
	// fleet news of one member is rarer: nearDeadAfter holds in the own domain,
	// farDeadAfter in others.
	deadAfter     = 2500 * time.Millisecond
	nearDeadAfter = 10 * time.Second
	farDeadAfter  = 60 * time.Second
	// lowerAfter is how long the beats of a life with a lower number go on before
	// it is believed.
	lowerAfter = time.Second
	// forgetAfter is how long one that is gone is still tried.
	forgetAfter = 90 * time.Second
	// fanOut is how many members a beat of a large fleet goes to, and farFanOut
	// how many of them stand in other domains, whose links cost more.
	fanOut    = 5
	farFanOut = 1
	// namedInBeat is how many other members a beat of a small fleet names. One of
	// a large fleet names the first of each domain, and of the own domain namedNewest
	// of which there is the newest news, which is what spreads it, and namedNear
	// others, and namedFar of other domains.
	namedInBeat = 12
	namedNewest = 2
	namedNear   = 2
	namedFar    = 1
	// sizeFading is what is left of a size that others told at each beat. A fleet
	// that has shrunk is known to be smaller after a while; while some daemon
	// knows the size itself, all stand close to it.
	sizeFading = 0.99
	// introducedNear and introducedFar are how many members of its own domain and of
	// others a new daemon of a large fleet is told of.
	introducedNear = 8
	introducedFar  = 8
)

// TellAll is the number of members up to which a beat goes to all of them.
const TellAll = 12

// Roster is the set of known daemons. Its owner guards it.
type Roster struct {
	self    Member
	seeds   []Address
	members map[Address]*known
	largest int
	// heardSize is the size of the fleet as others told it, fading.
	heardSize float64
}

type known struct {
	Member
	heard time.Time // when its count last rose here
	// lower is a life with a lower number that was heard of, and lowerSince when
	// it was heard first; ended is a life that is over although its number is
	// higher than the present one's.
	lower      Member
	lowerSince time.Time
	ended      Life
}

// isNews reports whether m tells something new of the daemon. A lower life is
// news if its beats went on for lowerAfter while the higher one was silent: the
// clock that numbers lives was set back between the two. A single beat is late
// news of a life that has ended.
func (k *known) isNews(m Member, now time.Time) bool {
	switch {
	case m.Life == k.Life:
		return m.Count > k.Count
	case m.Life == k.ended:
		return false
	case m.Life > k.Life:
		return true
	case m.Life != k.lower.Life:
		k.lower, k.lowerSince = m, now
		return false
	}
	goesOn := m.Count > k.lower.Count && now.Sub(k.lowerSince) >= lowerAfter
	return goesOn && now.Sub(k.heard) > deadAfter
}

// take takes news over.
func (k *known) take(m Member, now time.Time) {
	if m.Life < k.Life {
		k.ended = k.Life
	}
	k.Member, k.heard = m, now
}

// NewRoster returns the roster of a daemon. Seeds may name the daemon itself.
func NewRoster(self Member, seeds []Address) *Roster {
	return &Roster{self: self, seeds: seeds, members: make(map[Address]*known), largest: 1}
}

// Self returns the daemon's own entry for its next beat.
func (r *Roster) Self() Member {
	r.self.Count++
	r.heardSize *= sizeFading
	return r.self
}

// Size returns the number of daemons, this one counted: those that it knows to
// live, or more if others know more. In a large fleet that starts as a whole the
// seeds know all within a second, and others learn the number from them long
// before they know each member.
func (r *Roster) Size(now time.Time) int {
	return max(1+len(r.live(now)), int(math.Round(r.heardSize)))
}

// HearSize takes the number of daemons that another one told.
func (r *Roster) HearSize(n int, now time.Time) {
	r.heardSize = max(r.heardSize, float64(n))
	r.largest = max(r.largest, r.Size(now))
}

// SetBlind marks whether the daemon can read the source of the documents.
func (r *Roster) SetBlind(blind bool) { r.self.Blind = blind }

// SetLeaving marks that the daemon stops.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// Observe takes what a beat says of daemons. It returns those that were not
// live before.
func (r *Roster) Observe(members []Member, now time.Time) []Member {
	var joined []Member
	for _, m := range members {
		if m.Address == r.self.Address {
			continue
		}
		k := r.members[m.Address]
		if k == nil {
			k = &known{}
			r.members[m.Address] = k
		}
		if !k.isNews(m, now) {
			continue
		}
		if !r.isLive(k, now) {
			joined = append(joined, m)
		}
		k.take(m, now)
	}
	r.largest = max(r.largest, 1+len(r.live(now)))
	return joined
}

// large reports whether the fleet is too large for a beat to go to all.
func (r *Roster) large() bool { return len(r.members) > TellAll }

// isLive reports whether the last news of a member is fresh enough.
func (r *Roster) isLive(k *known, now time.Time) bool {
	limit := deadAfter
	if r.large() {
		limit = farDeadAfter
		if k.Domain == r.self.Domain {
			limit = nearDeadAfter
		}
	}
	return now.Sub(k.heard) <= limit
}

// live returns the live members, sorted by address.
func (r *Roster) live(now time.Time) []*known {
	return r.filter(func(k *known) bool { return r.isLive(k, now) })
}

func (r *Roster) filter(keep func(*known) bool) []*known {
	var out []*known
	for _, k := range r.members {
		if keep(k) {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *known) int { return strings.Compare(string(a.Address), string(b.Address)) })
	return out
}

func membersOf(list []*known) []Member {
	out := make([]Member, len(list))
	for i, k := range list {
		out[i] = k.Member
	}
	return out
}

// Live returns the live members, this daemon not counted, sorted by address.
func (r *Roster) Live(now time.Time) []Member { return membersOf(r.live(now)) }

// Recent returns the members of which there was news within a time, sorted by
// address.
func (r *Roster) Recent(now time.Time, age time.Duration) []Member {
	return membersOf(r.filter(func(k *known) bool { return now.Sub(k.heard) <= age }))
}

// Domains returns when there was last news of any member of each domain, own news
// or told by others.
func (r *Roster) Domains() map[state.FailureDomain]time.Time {
	out := make(map[state.FailureDomain]time.Time)
	for _, k := range r.members {
		if k.heard.After(out[k.Domain]) {
			out[k.Domain] = k.heard
		}
	}
	return out
}

// Known returns the number of members that are not forgotten, and forgets old
// ones.
func (r *Roster) Known(now time.Time) int {
	for a, k := range r.members {
		if now.Sub(k.heard) > forgetAfter {
			delete(r.members, a)
		}
	}
	return len(r.members)
}

// Largest returns the greatest number of daemons that were ever known or told,
// this one counted.
func (r *Roster) Largest() int { return r.largest }

// Targets returns whom to tell now: the live members, or some of them in a
// large fleet, and one that is not known to live, so that a cut that has healed
// is noticed.
func (r *Roster) Targets(now time.Time, rng *rand.Rand) []Address {
	live := r.live(now)
	if len(live) > TellAll {
		live = r.draw(live, rng)
	}
	out := make([]Address, 0, len(live)+1)
	for _, k := range live {
		out = append(out, k.Address)
	}
	if lost := r.lost(now); len(lost) > 0 {
		out = append(out, lost[rng.IntN(len(lost))])
	}
	return out
}

// draw picks whom a beat of a large fleet goes to: mostly members of the own
// domain, and some of others, over which news crosses.
func (r *Roster) draw(live []*known, rng *rand.Rand) []*known {
	rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	near, far := r.split(live)
	far = far[:min(len(far), max(farFanOut, fanOut-len(near)))]
	near = near[:min(len(near), fanOut-len(far))]
	return append(near, far...)
}

// lost returns the seeds and known members that are not live.
func (r *Roster) lost(now time.Time) []Address {
	var out []Address
	for _, s := range r.seeds {
		k := r.members[s]
		if s != r.self.Address && (k == nil || !r.isLive(k, now)) {
			out = append(out, s)
		}
	}
	for a, k := range r.members {
		if !r.isLive(k, now) && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Named returns the members that a beat names, besides its sender. A small fleet
// is told of all. In a large one the first of each domain are named, on which the
// others' duties depend, and some more.
func (r *Roster) Named(now time.Time, rng *rand.Rand) []Member {
	live := r.live(now)
	if !r.large() {
		rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		return membersOf(live[:min(len(live), namedInBeat)])
	}
	firsts, rest := firstOfEachDomain(live)
	near, far := r.split(rest)
	slices.SortStableFunc(near, func(a, b *known) int { return b.heard.Compare(a.heard) })
	newest := min(len(near), namedNewest)
	drawn := near[newest:]
	rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	out := append(firsts, near[:newest]...)
	out = append(out, drawn[:min(len(drawn), namedNear)]...)
	return membersOf(append(out, far[:min(len(far), namedFar)]...))
}

// Introduce returns the members that a daemon is told of that has just been
// found: the first of each domain, some of its own domain and some others. In a large
// fleet it would else learn of them slowly.
func (r *Roster) Introduce(to Member, now time.Time, rng *rand.Rand) []Member {
	firsts, rest := firstOfEachDomain(r.live(now))
	rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	out := firsts
	neighbours, others := introducedNear, introducedFar
	for _, k := range rest {
		left := &others
		if k.Domain == to.Domain {
			left = &neighbours
		}
		if *left > 0 {
			*left--
			out = append(out, k)
		}
	}
	return membersOf(out)
}

// firstOfEachDomain takes the first member of each domain that neither leaves nor is
// blind out of a sorted list.
func firstOfEachDomain(live []*known) (firsts, rest []*known) {
	seen := make(map[state.FailureDomain]bool)
	for _, k := range live {
		if seen[k.Domain] || k.Leaving || k.Blind {
			rest = append(rest, k)
			continue
		}
		seen[k.Domain] = true
		firsts = append(firsts, k)
	}
	return firsts, rest
}

// split parts the members of the own domain from the others.
func (r *Roster) split(list []*known) (near, far []*known) {
	for _, k := range list {
		if k.Domain == r.self.Domain {
			near = append(near, k)
			continue
		}
		far = append(far, k)
	}
	return near, far
}

// Heard returns when there was last news of a member; zero if there was none.
func (r *Roster) Heard(a Address) time.Time {
	if k := r.members[a]; k != nil {
		return k.heard
	}
	return time.Time{}
}

// Entry returns the daemon's own entry.
func (r *Roster) Entry() Member { return r.self }
