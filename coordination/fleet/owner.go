// This file decides whether a daemon may run a request that carries a caller's
// own key, which names no daemon. The owner of a key is the daemon that ranks
// first for it in the platform's member list.
//
// Inputs: the lists that this daemon took and when, when the newest was confirmed,
// when the process was paused, and the times of the operators' file. Lists differ
// between daemons, so two may rank first for one key at a time. The rule keeps
// their periods of acting apart:
//
//  1. A daemon acts only while its list was confirmed within the lease.
//  2. A new owner refuses until the grace period has passed since it ranked first:
//     the window in which callers retry, the longest lease, and a margin.
//  3. What was held up on the way, in a socket or a paused process, is refused.
//
// It holds under two assumptions (docs/design/at-most-once.md): a caller's retry
// reaches a daemon within the window, and a daemon that confirms its list has the
// newest one.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// ownerMargin is added to the grace period. It covers the pause that goes
// unnoticed, the time that a forwarded request may take, and drift between
// clocks that measure the same duration.
const ownerMargin = 30 * time.Second

// afterPause is for how long a daemon forwards no request with a caller's own key
// after a pause: what is read then may have waited in a socket.
const afterPause = 5 * time.Second

// OwnerRules are the times of the operators' file.
type OwnerRules struct {
	Window time.Duration
	Lease  time.Duration
}

// RulesOf returns the rules of a configuration, which may be nil.
func RulesOf(cfg *state.Config) OwnerRules {
	if cfg == nil {
		return OwnerRules{Window: state.DefaultWindow, Lease: state.DefaultLease}
	}
	return OwnerRules{Window: cfg.Once.Window, Lease: cfg.Once.Lease}
}

// GracePeriod is how long a new owner of a key refuses it. It counts the longest
// lease that any file may set and not the own one: the old owner may have another
// file in force.
func (r OwnerRules) GracePeriod() time.Duration { return r.Window + state.MaxLease + ownerMargin }

// keyHash is the ranking hash of a key.
func keyHash(k LedgerKey) uint64 {
	return uint64(coordination.ChatKeyOf(k.Workspace, state.ModelID(k.Service), []byte(k.Key)))
}

// OwnerOf returns the owner of a key by a member list, or false if the list
// holds no daemon. A leaving daemon keeps its keys until it is gone from the
// list: moving them earlier would only move the grace period.
func OwnerOf(l *state.MemberList, k LedgerKey) (state.Member, bool) {
	m := rankFirst(l.Daemons(), keyHash(k))
	if m == nil {
		return state.Member{}, false
	}
	return *m, true
}

// MayRunKey decides whether self may act on a key now. It must be asked again
// right before the first byte is written. A nil outcome means yes. No refusal
// says not-run: another owner may have run the key.
func MayRunKey(now time.Time, self state.DaemonID, epoch state.OwnershipState, k LedgerKey, r OwnerRules) coordination.Outcome {
	if epoch.Confirmed.IsZero() || now.Sub(epoch.Confirmed) > r.Lease || maybePaused(now, epoch) {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerListStale, RetryAfter: time.Second}
	}
	since, first := rankedFirstSince(self, epoch.History, k)
	if !first {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerUnreachable, RetryAfter: time.Second}
	}
	for _, t := range []time.Time{epoch.WindowGrownAt, epoch.LastPause} {
		// Keys of the time before were remembered for a shorter window, or
		// requests of the time before may still wait in sockets.
		if t.After(since) {
			since = t
		}
	}
	if left := r.GracePeriod() - now.Sub(since); left > 0 {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerNotSettled, RetryAfter: left}
	}
	return nil
}

// maybePaused reports whether the process may have been paused since its control
// loop last ran.
func maybePaused(now time.Time, epoch state.OwnershipState) bool {
	return now.Sub(epoch.LastTick) > pauseLimit
}

// MayForward decides whether a daemon may take in a request with a caller's own key
// and send it to the owner. A nil outcome means yes.
func MayForward(now time.Time, epoch state.OwnershipState) coordination.Outcome {
	if maybePaused(now, epoch) || (!epoch.LastPause.IsZero() && now.Sub(epoch.LastPause) < afterPause) {
		return coordination.MayHaveRun{Reason: coordination.ReasonOwnerListStale, RetryAfter: afterPause}
	}
	return nil
}

// rankedFirstSince walks the history from the newest list back to the first in
// which self did not rank first, and returns when the one after it was taken.
// The history begins with the process, so that a daemon refuses after a restart.
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
