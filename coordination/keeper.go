// This file decides whether a daemon may run a request that carries a caller's
// own key, which names no daemon. The keeper of a key is the daemon that ranks
// first for it in the platform's member list.
//
// Lists differ between daemons, so two may rank first for one key at a time.
// The rule below keeps their periods of acting apart, under two assumptions
// that the design note states: a caller repeats a key within the window, and a
// daemon learns of a new list within the lease or knows that it did not. An
// old keeper acts only while its list was confirmed within the lease; a new one
// stays quiet until the window, the longest lease and a margin have passed since
// it ranked first.

package coordination

import (
	"time"

	"hingewinch.org/hingewinch/state"
)

// KeeperMargin is added to the quiet time. It covers the time between the check
// of the lease and the first byte on the wire, in which a process may be
// paused, and drift between clocks that measure the same duration.
const KeeperMargin = 30 * time.Second

// KeeperRules are the times of the operators' file.
type KeeperRules struct {
	Window time.Duration
	Lease  time.Duration
}

// RulesOf returns the rules of a configuration, which may be nil.
func RulesOf(cfg *state.Config) KeeperRules {
	if cfg == nil {
		return KeeperRules{Window: state.DefaultWindow, Lease: state.DefaultLease}
	}
	return KeeperRules{Window: cfg.Once.Window, Lease: cfg.Once.Lease}
}

// QuietTime is how long a new keeper of a key refuses it. It counts the longest
// lease that any file may set and not the own one: the old keeper may have
// another file in force.
func (r KeeperRules) QuietTime() time.Duration { return r.Window + state.MaxLease + KeeperMargin }

// keyHash is the ranking hash of a key.
func keyHash(k LedgerKey) uint64 {
	return uint64(ChatKeyOf(k.Workspace, state.ModelID(k.Service), []byte(k.Key)))
}

// KeeperOf returns the keeper of a key by a member list, or false if the list
// holds no daemon. A leaving daemon keeps its keys until it is gone from the
// list: moving them earlier would only move the quiet time.
func KeeperOf(l *state.MemberList, k LedgerKey) (state.Member, bool) {
	m := rankFirst(l.Daemons(), keyHash(k))
	if m == nil {
		return state.Member{}, false
	}
	return *m, true
}

// MayKeep decides whether self may act on a key now. It must be asked again
// right before the first byte is written. A nil outcome means yes. No refusal
// says not-run: another keeper may have run the key.
func MayKeep(now time.Time, self state.DaemonID, epoch state.KeeperEpoch, k LedgerKey, r KeeperRules) Outcome {
	if now.Sub(epoch.Confirmed) > r.Lease || epoch.Confirmed.IsZero() {
		return MayHaveRun{Reason: ReasonKeeperStale, RetryAfter: r.Lease}
	}
	since, first := rankedFirstSince(self, epoch.History, k)
	if !first {
		return MayHaveRun{Reason: ReasonKeeperAway, RetryAfter: time.Second}
	}
	if epoch.WindowSince.After(since) {
		// Keys of the time before were remembered for a shorter window.
		since = epoch.WindowSince
	}
	if left := r.QuietTime() - now.Sub(since); left > 0 {
		return MayHaveRun{Reason: ReasonKeeperQuiet, RetryAfter: left}
	}
	return nil
}

// rankedFirstSince walks the history from the newest list back to the first in
// which self did not rank first, and returns when the one after it was taken.
// The history begins with the process, so a restart makes a daemon quiet.
func rankedFirstSince(self state.DaemonID, history []state.DatedList, k LedgerKey) (time.Time, bool) {
	var since time.Time
	first := false
	for _, d := range history {
		m, ok := KeeperOf(d.List, k)
		if !ok || m.ID != string(self) {
			break
		}
		since, first = d.Taken, true
	}
	return since, first
}
