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
	mu     sync.Mutex
	cached map[string]cachedChallenge
}

type cachedChallenge struct {
	challenge  string
	receivedAt time.Time
}

func (c *challengeCache) get(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.cached[address]
	if time.Since(d.receivedAt) > fleet.ChallengeLifetime/2 {
		delete(c.cached, address)
		return ""
	}
	return d.challenge
}

func (c *challengeCache) put(address, challenge string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil {
		c.cached = make(map[string]cachedChallenge)
	}
	c.cached[address] = cachedChallenge{challenge, time.Now()}
}
