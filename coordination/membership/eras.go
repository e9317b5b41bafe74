// This file decides to which era a response of the store of documents belongs, for a daemon that reads
// the store.
//
// Inputs: the era that the response names, 0 for none, its revision, the daemon's position when it sent the
// request, and the time. The rules:
//
//  1. A response that is not older than the daemon's position belongs to the era that it names. A higher era
//     means that the store was restored from a backup.
//  2. An older response is rejected: it may come from a copy that is about to be replaced, or its era was lost
//     in transit. The daemon continues as if the store were unreachable.
//  3. If all responses are older for acceptOlderAfter, this is taken to be the lasting state of the store,
//     and its responses belong to the era after the known one. Otherwise an era that was misread once, or a store
//     that restarts its era count, would keep all daemons from reading the store until every daemon has
//     restarted.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// acceptOlderAfter is longer than a restarting store is likely to respond from an old copy.
const acceptOlderAfter = 10 * time.Second

// EraTracker determines the positions of responses of the store. It is not safe for concurrent use.
type EraTracker struct {
	offset     feed.Era  // added to the eras that the store names
	olderSince time.Time // when the current series of older responses began; zero: the last response was not older
}

// Resolve returns the position of a response. It returns false if the response is rejected.
func (e *EraTracker) Resolve(at, known feed.Position, now time.Time) (feed.Position, bool) {
	at.Era += e.offset
	if !at.Before(known) {
		e.olderSince = time.Time{}
		return at, true
	}
	if e.olderSince.IsZero() {
		e.olderSince = now
	}
	if now.Sub(e.olderSince) < acceptOlderAfter {
		return at, false
	}
	e.offset += known.Era + 1 - at.Era
	e.olderSince = time.Time{}
	return feed.Position{Era: known.Era + 1, Revision: at.Revision}, true
}
