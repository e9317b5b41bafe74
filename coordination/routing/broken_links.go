// This file decides which idle connections are not reused: those to a failure domain to which
// connections broke a moment ago while a request was in flight.
//
// A request that is written to a connection whose link is down may have run, so that a
// non-idempotent one can't be retried. A new connection that fails proves that nothing has run,
// and the request can go elsewhere. Inputs: when a connection broke before the first byte of the
// response, and since when another one has been idle. The rule:
//
//  1. After a connection to a domain broke that way, no connection to that domain that was idle
//     before then is reused; a new one is opened.
//
// If all links of a domain break at once, a daemon loses one request to that domain instead of
// about three. A replica that crashes alone breaks its connections too; connections to the other
// replicas of its domain are then opened again, 28 for each daemon that saw it.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/state"
)

// BrokenLinks records when connections to failure domains broke. It is safe for concurrent use.
// The zero value is ready to use.
type BrokenLinks struct {
	mu       sync.Mutex
	brokenAt map[state.FailureDomain]time.Time
}

// Record records that a connection to a replica of a domain broke before the response began.
func (l *BrokenLinks) Record(d state.FailureDomain, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.brokenAt == nil {
		l.brokenAt = make(map[state.FailureDomain]time.Time)
	}
	l.brokenAt[d] = now
}

// MayReuse reports whether a connection to a domain that has been idle since the given time may
// be reused.
func (l *BrokenLinks) MayReuse(d state.FailureDomain, idleSince time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return idleSince.After(l.brokenAt[d])
}
