// This file decides whether the entries of replicas may be those of former incarnations, because the store has not been
// read lately by this daemon or by one that it hears.
//
// Input: when the documents were last confirmed by a read of the store (confirmations.go), the own one or one that
// heartbeats told of, directly or through other daemons. What daemons say of themselves is no input: one that does not
// read the store does not notice that it can't, and in a large fleet a member counts for a minute after its last message.
// The rule:
//
//  1. Entries are stale if the documents were not confirmed within entriesFreshFor.
//  2. They remain stale for entryRenewalTime after they are confirmed again.

package membership

import "time"

const (
	// entriesFreshFor is how old a confirmation may be. In a fleet of 930 daemons where one datagram in ten is lost, it is
	// at most 2.7 s. A termination that happened after the last confirmation still counts when this time is over, since
	// it counts for 3 s with fresh entries (coordination/routing/terminated.go).
	entriesFreshFor = 3 * time.Second
	// entryRenewalTime is how long entries may be outdated after the store became readable again: live replicas renew
	// their entries within about two seconds, and peers forward them.
	entryRenewalTime = 3 * time.Second
)

// StaleEntries keeps when the entries of replicas were last stale. The zero value is ready for use.
type StaleEntries struct{ last time.Time }

// Update returns whether entries may be those of former incarnations. It is called several times a second.
func (s *StaleEntries) Update(c *Confirmations, now time.Time) bool {
	if age, ok := c.StoreAge(now); !ok || age > entriesFreshFor {
		s.last = now
	}
	return now.Sub(s.last) < entryRenewalTime
}
