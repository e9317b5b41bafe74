// This file decides which requests are sent although parts of their prompts are quarantined (crash_part.go), in order
// to find out whether these are sound. If the replica responds, all parts of the request are sound, and every daemon
// is told. If it crashes, the probe has cost one of the three requests with a part that may still crash replicas.
//
// Inputs: the quarantined parts, the requests with such parts that come to this daemon, and which daemon of the
// fleet is responsible for a part. The rule:
//
//  1. One daemon of the fleet probes a part: the one that is responsible for it, if it knew of the quarantine within
//     partProbeUntil. A daemon that starts later can't know of earlier probes.
//  2. It sends a request as a probe from partProbeAfter on, one at a time, and maxPartProbes in all. A request that
//     reached no replica is no probe: replicas may be down for as long as it takes them to start.
//  3. A request with several quarantined parts is a probe only if at least minHeldRequests with these parts were
//     refused since the last one, or since a further part was quarantined, and none of them had fewer quarantined
//     parts: a part that crashes replicas comes with sound ones, which other requests have without it. The daemon
//     that is responsible for the first of the parts sends it.
//  4. If a replica crashes under a probe with one quarantined part, that part is not probed again.

package routing

import "time"

const (
	// partProbeAfter is the time that requests on their way take, and partProbeUntil that after which a daemon that
	// started anew can't probe again; both since the quarantine began.
	partProbeAfter = 2 * time.Second
	partProbeUntil = 12 * time.Second
	// maxPartProbes leaves one of the three requests for those that were on their way.
	maxPartProbes = 2
	// minHeldRequests is enough for one without the bad part among them to be likely, if half of the requests are
	// without.
	minHeldRequests = 5
)

// partProbe is the state of probing a quarantined part.
type partProbe struct {
	isKnown  bool // this daemon knew of the quarantine in time
	may      bool // this daemon is the one to probe the part
	isActive bool // a probe is under way
	crashes  int  // of the part when it began
	sent     int
	held     int // requests with the part that were refused since the last probe
	fewest   int // the least number of quarantined parts that one of them had
}

// assignProbes determines the parts that this daemon may probe. c.mu must be held.
func (c *Crashes) assignProbes(now time.Time, mayProbe func(part ContentKey) bool) {
	for key, s := range c.suspects {
		if !s.verdict {
			continue
		}
		s.probe.isKnown = s.probe.isKnown || now.Sub(s.verdictAt) <= partProbeUntil
		s.probe.may = s.probe.isKnown && mayProbe(key)
	}
}

// forgetHeld forgets which requests were refused, since a further part was quarantined. c.mu must be held.
func (c *Crashes) forgetHeld() {
	for _, s := range c.suspects {
		s.probe.held, s.probe.fewest = 0, 0
	}
}

// heldParts returns the quarantined parts of a request's prompt, in order. c.mu must be held.
func (c *Crashes) heldParts(q *Request) []*suspect {
	var out []*suspect
	for _, part := range q.SuspectParts() {
		if s := c.suspects[NewPartKey(part.ID)]; s != nil && c.isQuarantined(s) {
			out = append(out, s)
		}
	}
	return out
}

// recordHeld records that a request is refused for its quarantined parts.
func (c *Crashes) recordHeld(q *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := c.heldParts(q)
	for _, s := range parts {
		if s.probe.held++; s.probe.held == 1 || len(parts) < s.probe.fewest {
			s.probe.fewest = len(parts)
		}
	}
}

// BeginProbe reports whether a request is sent as a probe although parts of its prompt are quarantined. If so,
// [Crashes.EndProbe] must be called.
func (c *Crashes) BeginProbe(q *Request, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := c.heldParts(q)
	if len(parts) == 0 || !parts[0].probe.may {
		return false
	}
	for _, s := range parts {
		if !s.mayBeProbed(len(parts), now) {
			return false
		}
	}
	for _, s := range parts {
		s.probe.isActive, s.probe.crashes = true, len(s.crashes)
	}
	return true
}

// mayBeProbed reports whether the part may be probed by a request with a number of quarantined parts.
func (s *suspect) mayBeProbed(parts int, now time.Time) bool {
	p := &s.probe
	isTelling := parts == 1 || p.held >= minHeldRequests && p.fewest == parts
	return !p.isActive && p.sent < maxPartProbes && now.Sub(s.verdictAt) >= partProbeAfter && isTelling
}

// EndProbe records that a probe has ended, and whether it was sent to a replica.
func (c *Crashes) EndProbe(q *Request, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := c.heldParts(q)
	for _, s := range parts {
		p := &s.probe
		if !p.isActive {
			continue // it was quarantined anew
		}
		p.isActive = false
		if !sent {
			continue
		}
		p.sent, p.held = p.sent+1, 0
		if len(parts) == 1 && len(s.crashes) > p.crashes {
			p.sent = maxPartProbes
		}
	}
}
