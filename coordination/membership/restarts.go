// This file finds daemons that started again though they had not announced their shutdown: their former process was
// killed, or ended by itself.
//
// The inputs are the newest known state of a member's former incarnation, the first known one of the next, and whether
// the fleet is large. The rule:
//
//  1. A member starts again when another incarnation replaces one that is known here.
//  2. It was a graceful shutdown if the newest known state of the former incarnation is leaving. A daemon sends that in
//     each heartbeat of its shutdown.
//  3. In a large fleet the state of a member arrives seconds late, so that an announcement may be missed. There the
//     former incarnation must have sent its newest known heartbeat at most shortestShutdown before the next one
//     sent its first.
//  4. A member that is forgotten when it starts again is a new one.
//
// A small fleet has no such bound. A daemon that was shut down gracefully while it was cut off from this one is reported too;
// Silent then tells how long nothing was known of it.

package membership

import "time"

// shortestShutdown is less than the time for which a daemon announces its shutdown, which is 2.8 s with the default
// grace period of 8 s.
const shortestShutdown = 2 * time.Second

// Restart is a start of a daemon whose former incarnation had not announced its shutdown.
type Restart struct {
	Member               // as it started again
	Former Incarnation   // the incarnation before
	Silent time.Duration // between the newest known heartbeats of the former incarnation and of the new one
}

// observeRestart records that m replaces an entry, if it is a restart without an announcement.
func (r *Roster) observeRestart(e *entry, m Member, now time.Time) {
	if e.Incarnation == 0 || m.Incarnation == e.Incarnation || e.Leaving {
		return
	}
	silent := max(0, now.Add(-m.Age).Sub(e.lastSeen))
	if r.isLarge() && silent > shortestShutdown {
		return
	}
	r.restarts = append(r.restarts, Restart{Member: m, Former: e.Incarnation, Silent: silent})
}

// TakeRestarts returns the restarts without an announcement that were found since the last call.
func (r *Roster) TakeRestarts() []Restart {
	out := r.restarts
	r.restarts = nil
	return out
}
