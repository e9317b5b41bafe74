// This file decides which daemons read the store of documents, and how long their
// watches wait.
//
// Inputs: the members that were seen within readerTimeout, whether they are
// leaving or can't read the store, and whether the fleet is large. The rule:
//
//  1. In each failure domain the daemon with the lowest address reads, of those
//     that are neither leaving nor without the store. The others learn of changes
//     from it.
//  2. The reader with the lowest address of all keeps its watches short. All
//     watches can fall silent at once; then this one still asks the store every
//     half second, and all daemons learn from it.
//  3. After a watch that returned changes a reader pauses, so that changes which come
//     in series are read in one call. The reader with short watches pauses for
//     shortGap. The others pause for longGap: they learn of changes from that one,
//     and watch for the case that they are cut off from it.
//  4. A daemon that can't read the store goes on trying, with short watches, and
//     leaves both roles to one that can.
//  5. A daemon that has just started listens to others for listenFirst and reads only
//     then, unless it is a seed, knows no other seed, or has a caller that waits for
//     its first configuration. Peers send all documents, and compressed.
//  6. A daemon that knows the era of the store relies on none that names no era: it may be of a build
//     that takes changes for older ones once the store has come back from a copy.
//
// Two daemons that know different members may both read; that costs calls and
// nothing else. With one reader a domain and one short watch a calm day takes 311
// calls, and changes are known within the gap of a watch plus 0.6 s.

package membership

import (
	"slices"
	"time"
)

const (
	// shortWatch and longWatch are how long a watch of the store may wait. 450 ms
	// bounds the age of a change below the 2 s that the users allow, with the time
	// to find that a watch is silent; the long one costs few calls.
	shortWatch = 450 * time.Millisecond
	longWatch  = 4 * time.Second
	// shortGap and longGap are pauses after changes. A domain that is cut off knows a change that much
	// later, of 3 s that it has.
	shortGap = 100 * time.Millisecond
	longGap  = time.Second
	// readerTimeout is how long a reader may be silent before another one takes its
	// place: three heartbeats. readerTimeoutLarge holds in a large fleet, where
	// a member is seen over several daemons.
	readerTimeout      = 700 * time.Millisecond
	readerTimeoutLarge = 2 * time.Second
	// listenFirst is long enough for seeds that start some 0.3 s later, the next heartbeat to them and
	// their answer. Without it each daemon of a fleet that starts lists the store for itself.
	listenFirst = time.Second
)

// ReadPlan says whether a daemon reads the store, and how.
type ReadPlan struct {
	Reads bool
	Wait  time.Duration // how long a watch may wait
	Gap   time.Duration // the pause after a watch that returned changes
}

// ListenFirst says that the daemon has just started.
func (r *Roster) ListenFirst(now time.Time) {
	others := slices.ContainsFunc(r.seeds, func(s Address) bool { return s != r.self.Address })
	if others && !slices.Contains(r.seeds, r.self.Address) {
		r.listenUntil = now.Add(listenFirst)
	}
}

// StopListening says that a caller waits for what the store has.
func (r *Roster) StopListening() { r.listenUntil = time.Time{} }

// PlanReads returns the plan of this daemon. large says whether the fleet is large.
func (r *Roster) PlanReads(now time.Time, large bool) ReadPlan {
	if now.Before(r.listenUntil) {
		return ReadPlan{Wait: longWatch, Gap: longGap}
	}
	timeout := readerTimeout
	if large {
		timeout = readerTimeoutLarge
	}
	reads, lowest := true, true
	for _, e := range r.ordered {
		if e.Address > r.self.Address {
			break
		}
		if e.Leaving || e.StoreUnreachable || now.Sub(e.seen) > timeout || r.eraKnown && now.Sub(e.eralessAt) <= timeout {
			continue
		}
		lowest = false
		if e.Domain == r.self.Domain {
			reads = false
		}
	}
	if lowest || r.self.StoreUnreachable {
		return ReadPlan{Reads: reads, Wait: shortWatch, Gap: shortGap}
	}
	return ReadPlan{Reads: reads, Wait: longWatch, Gap: longGap}
}
