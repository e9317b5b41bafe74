// This file decides which idle connections are doubted: those to a failure domain whose
// links broke under a request a moment ago.
//
// A request that is written to a connection whose link has broken may have run, so that one
// which must not run twice ends there. A new connection that fails proves that nothing has
// run, and the request goes elsewhere. Inputs: when a connection broke before a byte of the
// answer came, and since when another one is idle. The rule:
//
//  1. After a connection to a domain broke so, none that was idle before then is used: a
//     new one is opened.
//
// Where all links of a domain break at once a daemon loses one request to each domain in
// place of some three. A replica that crashed alone breaks its connections too; the others
// of its domain are then opened anew, 28 for each daemon that saw it.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

// LinkDoubts remembers when links to failure domains broke. It is safe for use by many
// goroutines. The zero value has no doubts.
type LinkDoubts struct {
	mu    sync.Mutex
	broke map[state.FailureDomain]time.Time
}

// Broke records that a connection to a replica of a domain broke before it answered.
func (l *LinkDoubts) Broke(d state.FailureDomain, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broke == nil {
		l.broke = make(map[state.FailureDomain]time.Time)
	}
	l.broke[d] = now
}

// Trusts reports whether a connection to a domain that has been idle since a time may be
// used.
func (l *LinkDoubts) Trusts(d state.FailureDomain, idleSince time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return idleSince.After(l.broke[d])
}
