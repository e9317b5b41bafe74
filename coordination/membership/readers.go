// This file decides which daemons read the store of documents, and how long their
// watches wait.
//
// Inputs: the members that were seen within readerTimeout, whether they are
// leaving or can't read the store, and whether the fleet is large. The rules:
//
//  1. In each failure domain, the reader is the daemon with the lowest address among
//     those that are not leaving and can read the store. The others learn of changes
//     from it.
//  2. The reader with the lowest address of all uses short watches. All watches can stall
//     at the same time; this reader then still queries the store every half second,
//     and all daemons learn of changes from it.
//  3. After a watch that returned changes, a reader pauses, so that a burst of changes
//     is read in one call. The reader with short watches pauses for shortGap. The
//     others pause for longGap: they learn of changes from that reader, and watch in
//     case they are cut off from it.
//  4. A daemon that can't read the store keeps trying with short watches and leaves
//     both roles to daemons that can.
//  5. A daemon that has just started does not read for listenPeriod but listens to other
//     daemons, unless it is a seed, knows no other seed, or a caller waits for its first
//     configuration. Peers send it all documents, compressed.
//  6. A daemon that knows the era of the store does not rely on readers that name no era: they may run a
//     build that ignores changes as older after the store was restored from a backup.
//
// Two daemons that know different members may both read, which only costs additional
// calls. With one reader per domain and one reader with short watches, a calm day takes
// 311 calls, and changes are known within the gap of a watch plus 0.6 s.

package membership

import (
	"slices"
	"time"
)

const (
	// shortWait and longWait are the maximum wait times of a watch of the store. 450 ms,
	// plus the time to detect that a watch has stalled, keeps the propagation delay of a
	// change below the 2 s that users require. The long wait takes few calls.
	shortWait = 450 * time.Millisecond
	longWait  = 4 * time.Second
	// shortGap and longGap are the pauses after changes. They delay a change in a domain that is cut off,
	// where it must be known within 3 s.
	shortGap = 100 * time.Millisecond
	longGap  = time.Second
	// readerTimeout is how long a reader may be silent before another daemon replaces
	// it: three heartbeats. readerTimeoutLarge applies in a large fleet, where heartbeats
	// reach a daemon through several others.
	readerTimeout      = 700 * time.Millisecond
	readerTimeoutLarge = 2 * time.Second
	// listenPeriod is long enough for seeds that start about 0.3 s later, the next heartbeat to them and
	// their response. Without it, each daemon of a starting fleet lists the store itself.
	listenPeriod = time.Second
)

// ReadPlan says whether and how a daemon reads the store.
type ReadPlan struct {
	Reads bool
	Wait  time.Duration // maximum wait time of a watch
	Gap   time.Duration // pause after a watch that returned changes
}

// StartListening starts the listening period of a daemon that has just started, if rule 5 requires one.
func (r *Roster) StartListening(now time.Time) {
	others := slices.ContainsFunc(r.seeds, func(s Address) bool { return s != r.self.Address })
	if others && !slices.Contains(r.seeds, r.self.Address) {
		r.listenUntil = now.Add(listenPeriod)
	}
}

// StopListening ends the listening period, because a caller waits for documents of the store.
func (r *Roster) StopListening() { r.listenUntil = time.Time{} }

// PlanReads returns the read plan of this daemon. large says whether the fleet is large.
func (r *Roster) PlanReads(now time.Time, large bool) ReadPlan {
	if now.Before(r.listenUntil) {
		return ReadPlan{Wait: longWait, Gap: longGap}
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
		if e.Leaving || e.StoreUnreachable || now.Sub(e.lastSeen) > timeout || r.eraKnown && now.Sub(e.withoutEraAt) <= timeout {
			continue
		}
		lowest = false
		if e.Domain == r.self.Domain {
			reads = false
		}
	}
	if lowest || r.self.StoreUnreachable {
		return ReadPlan{Reads: reads, Wait: shortWait, Gap: shortGap}
	}
	return ReadPlan{Reads: reads, Wait: longWait, Gap: longGap}
}
