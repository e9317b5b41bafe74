// This file decides whether a daemon may run a request that carries a caller's
// own key, which names no daemon. The keeper of a key is the daemon that ranks
// first for it in the platform's member list.
//
// Lists differ between daemons, so two may rank first for one key at a time.
// The rules below keep their periods of acting apart, under two assumptions
// that the design note states: a repeat reaches a daemon within the window, and
// a daemon that confirms its list has the newest one. An old keeper acts only
// while its list was confirmed within the lease. A new one stays quiet until the
// window, the longest lease and a margin have passed since it ranked first. And
// what was held up on the way, in a socket or a paused process, is refused.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// KeeperMargin is added to the quiet time. It covers the pause that goes
// unnoticed, the time that a forwarded request may take, and drift between
// clocks that measure the same duration.
const KeeperMargin = 30 * time.Second

// afterPause is for how long a daemon passes no request with a caller's own key
// on after a pause: what is read then may have waited in a socket.
const afterPause = 5 * time.Second

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
	return uint64(coordination.ChatKeyOf(k.Workspace, state.ModelID(k.Service), []byte(k.Key)))
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
func MayKeep(now time.Time, self state.DaemonID, epoch state.KeeperEpoch, k LedgerKey, r KeeperRules) coordination.Outcome {
	if epoch.Confirmed.IsZero() || now.Sub(epoch.Confirmed) > r.Lease || asleep(now, epoch) {
		return coordination.MayHaveRun{Reason: coordination.ReasonKeeperStale, RetryAfter: time.Second}
	}
	since, first := rankedFirstSince(self, epoch.History, k)
	if !first {
		return coordination.MayHaveRun{Reason: coordination.ReasonKeeperAway, RetryAfter: time.Second}
	}
	for _, t := range []time.Time{epoch.WindowSince, epoch.Paused} {
		// Keys of the time before were remembered for a shorter window, or
		// requests of the time before may still wait in sockets.
		if t.After(since) {
			since = t
		}
	}
	if left := r.QuietTime() - now.Sub(since); left > 0 {
		return coordination.MayHaveRun{Reason: coordination.ReasonKeeperQuiet, RetryAfter: left}
	}
	return nil
}

// asleep reports whether the process may have been paused since its control
// loop last ran.
func asleep(now time.Time, epoch state.KeeperEpoch) bool {
	return now.Sub(epoch.Ticked) > freezeAfter
}

// MayPassOn decides whether a daemon may take in a request with a caller's own
// key and send it to the keeper. A nil outcome means yes.
func MayPassOn(now time.Time, epoch state.KeeperEpoch) coordination.Outcome {
	if asleep(now, epoch) || (!epoch.Paused.IsZero() && now.Sub(epoch.Paused) < afterPause) {
		return coordination.MayHaveRun{Reason: coordination.ReasonKeeperStale, RetryAfter: afterPause}
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
