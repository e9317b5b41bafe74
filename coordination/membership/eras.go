// This file decides in which era an answer of the store of documents counts, for a daemon that reads
// it.
//
// Inputs: the era that the answer names, 0 for none, its revision, where the daemon stood when the
// call was sent, and the time. The rule:
//
//  1. An answer that is not older than that counts in the era that it names. A higher era means that
//     the store came back from a copy of itself.
//  2. An older one is not believed: it may come from a copy that is about to go, or its era was lost
//     on the way. The daemon goes on as if the store were away.
//  3. If all answers are older for believeOlderAfter, the store stays like that, and they count in the
//     era after the one that is known. Else an era that was misread once, or a store that begins to
//     count anew, would keep all daemons from reading it until the last of them has started again.

package membership

import (
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

// believeOlderAfter is longer than a store that restarts is likely to answer from an old copy.
const believeOlderAfter = 10 * time.Second

// Eras places the answers of the store. Its owner guards it.
type Eras struct {
	shift      feed.Era  // what is added to the eras that the store names
	olderSince time.Time // zero: the last answer was not older
}

// Place returns the position of an answer, and whether it is believed.
func (e *Eras) Place(at, known feed.Position, now time.Time) (feed.Position, bool) {
	at.Era += e.shift
	if !at.Before(known) {
		e.olderSince = time.Time{}
		return at, true
	}
	if e.olderSince.IsZero() {
		e.olderSince = now
	}
	if now.Sub(e.olderSince) < believeOlderAfter {
		return at, false
	}
	e.shift += known.Era + 1 - at.Era
	e.olderSince = time.Time{}
	return feed.Position{Era: known.Era + 1, Revision: at.Revision}, true
}
