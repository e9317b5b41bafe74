// This file decides whether a daemon may run a request with a key that the caller
// chose and that therefore names no daemon. The owner of such a key is the daemon
// that ranks first for it in the platform's member list.
//
// Inputs: the lists that this daemon applied and when, when the newest was confirmed,
// when the process was paused, and the times of the configuration file. Lists differ
// between daemons, so two daemons may rank first for a key at the same time. Three
// rules ensure that only one of them acts at a time:
//
//  1. A daemon acts only while its list was confirmed within the lease.
//  2. A new owner refuses until the grace period has passed since it ranked first:
//     the window in which callers retry, the longest lease, and a margin.
//  3. A request that was delayed, in a socket or by a paused process, is refused.
//
// The rules rely on two assumptions (docs/design/at-most-once.md): a caller's retry
// reaches a daemon within the window, and a daemon that confirms its list has the
// newest one.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// ownerMargin is added to the grace period. It covers pauses too short to be detected,
// the time that a forwarded request may take, and drift between clocks that measure
// the same duration.
const ownerMargin = 30 * time.Second

// pauseHoldTime is how long after a pause a daemon forwards no request with a caller's
// own key: what it reads then may have waited in a socket.
const pauseHoldTime = 5 * time.Second

// OwnerRules holds the window and the lease of the configuration file.
type OwnerRules struct {
	Window time.Duration
	Lease  time.Duration
}

// RulesOf returns the rules of a configuration, or the defaults if it is nil.
func RulesOf(cfg *state.Config) OwnerRules {
	if cfg == nil {
		return OwnerRules{Window: state.DefaultWindow, Lease: state.DefaultLease}
	}
	return OwnerRules{Window: cfg.Once.Window, Lease: cfg.Once.Lease}
}

// GracePeriod is how long a new owner of a key refuses it. It includes the longest
// lease that any configuration may set instead of r.Lease, because the previous owner
// may have another configuration in force.
func (r OwnerRules) GracePeriod() time.Duration { return r.Window + state.MaxLease + ownerMargin }

// keyHash returns the hash of a key for ranking.
func keyHash(k LedgerKey) uint64 {
	return uint64(coordination.ChatKeyOf(k.Workspace, state.ModelID(k.Service), []byte(k.Key)))
}

// OwnerOf returns the owner of a key in a member list, or false if the list has no
// daemon. A leaving daemon keeps its keys until it is removed from the list: moving
// them earlier would only move the grace period.
func OwnerOf(l *state.MemberList, k LedgerKey) (state.Member, bool) {
	m := rankFirst(l.Daemons(), keyHash(k))
	if m == nil {
		return state.Member{}, false
	}
	return *m, true
}

// MayRunKey decides whether self may act on a key now. It must be called again right
// before the first byte is written. A nil outcome means yes. A refusal is never
// NotRun, because another owner may have run the key.
func MayRunKey(now time.Time, self state.DaemonID, ownership state.OwnershipState, k LedgerKey, r OwnerRules) coordination.Outcome {
	if ownership.Confirmed.IsZero() || now.Sub(ownership.Confirmed) > r.Lease || maybePaused(now, ownership) {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerListStale, RetryAfter: time.Second}
	}
	since, first := rankedFirstSince(self, ownership.History, k)
	if !first {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerUnreachable, RetryAfter: time.Second}
	}
	for _, t := range []time.Time{ownership.WindowGrownAt, ownership.LastPause} {
		// Keys from before this time were remembered for a shorter window, or requests
		// from before this time may still wait in sockets.
		if t.After(since) {
			since = t
		}
	}
	if remaining := r.GracePeriod() - now.Sub(since); remaining > 0 {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerNotSettled, RetryAfter: remaining}
	}
	return nil
}

// maybePaused reports whether the process may have been paused since its control loop
// last ran.
func maybePaused(now time.Time, ownership state.OwnershipState) bool {
	return now.Sub(ownership.LastTick) > pauseLimit
}

// MayForward decides whether a daemon may accept a request with a caller's own key and
// forward it to the owner. A nil outcome means yes.
func MayForward(now time.Time, ownership state.OwnershipState) coordination.Outcome {
	if maybePaused(now, ownership) || (!ownership.LastPause.IsZero() && now.Sub(ownership.LastPause) < pauseHoldTime) {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerListStale, RetryAfter: pauseHoldTime}
	}
	return nil
}

// rankedFirstSince returns since when self has ranked first without interruption, by
// the lists that it applied, newest first. The history starts with the process, so a
// daemon also refuses after a restart.
func rankedFirstSince(self state.DaemonID, history []state.AppliedList, k LedgerKey) (time.Time, bool) {
	var since time.Time
	first := false
	for _, d := range history {
		m, ok := OwnerOf(d.List, k)
		if !ok || m.ID != string(self) {
			break
		}
		since, first = d.AppliedAt, true
	}
	return since, first
}
