// This file caches the challenges received from other daemons, so that most requests
// with a key are forwarded in a single call.

package gateway

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/fleet"
)

// challengeCache keeps the last challenge of each key owner for half its lifetime, so
// that a busy daemon asks for one every few seconds instead of for each request.
type challengeCache struct {
	mu   sync.Mutex
	kept map[string]datedChallenge
}

type datedChallenge struct {
	challenge string
	taken     time.Time
}

func (c *challengeCache) get(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.kept[address]
	if time.Since(d.taken) > fleet.ChallengeLife/2 {
		delete(c.kept, address)
		return ""
	}
	return d.challenge
}

func (c *challengeCache) put(address, challenge string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = make(map[string]datedChallenge)
	}
	c.kept[address] = datedChallenge{challenge, time.Now()}
}
