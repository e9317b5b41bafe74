// This file keeps which contents, and parts of prompts, were cleared for as long as another daemon may keep their crashes.
//
// Inputs: clearances (crash.go, rule 2), and reports of crashes that other daemons still know. A daemon that was cut off
// when a content was cleared keeps its crashes until it is told, without a limit of time. The rule:
//
//  1. A clearance older than clearedRetention is no longer repeated. It is kept, and crashes up to it don't count.
//  2. A daemon that reports such crashes is sent the clearance. Those younger than clearanceSpread are under way to it in
//     any case, and replies would add to the reports of a series of crashes.
//  3. There are at most maxClearances. The oldest are dropped first, and those of contents that were quarantined here
//     last: the others count again only together with crashes that nobody has cleared.

package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxClearances bounds the memory to about 0.5 MB for contents, and as much for parts. A crash a second with ten
	// requests in flight leaves as many within seven minutes.
	maxClearances = 4000
	// clearanceSpread is longer than it takes to send a clearance to all daemons that are not cut off.
	clearanceSpread = 10 * time.Second
)

// clearance is what is kept of a content that was cleared.
type clearance struct {
	caller      CallerKey
	at          time.Time
	quarantined bool // the content was quarantined here
}

// keepClearance keeps the clearance of a suspect that is about to be removed, if it was cleared. c.mu must be held.
func (c *Crashes) keepClearance(content ContentKey, s *suspect) {
	if s.isCleared() && !s.clearedAt.IsZero() && len(c.clearances) < 2*maxClearances {
		c.clearances[content] = clearance{caller: s.caller, at: s.clearedAt, quarantined: s.wasQuarantined}
	}
}

// limitClearances applies rule 3. c.mu must be held.
func (c *Crashes) limitClearances() {
	n := len(c.clearances) - maxClearances
	if n <= 0 {
		return
	}
	contents := make([]ContentKey, 0, len(c.clearances))
	for content := range c.clearances {
		contents = append(contents, content)
	}
	slices.SortFunc(contents, func(a, b ContentKey) int {
		x, y := c.clearances[a], c.clearances[b]
		if x.quarantined != y.quarantined {
			if x.quarantined {
				return 1
			}
			return -1
		}
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(a, b))
	})
	for _, content := range contents[:n] {
		delete(c.clearances, content)
	}
}

// refutedByClearance reports whether a report of an event at a time adds nothing to a clearance that is kept. c.mu must be
// held.
func (c *Crashes) refutedByClearance(r CrashReport, at time.Time) bool {
	kept, ok := c.clearances[r.Content]
	if !ok {
		return false
	}
	if r.Clears && at.Sub(kept.at) >= clearanceSpread { // of later crashes, which others know; it is forwarded as a new one
		delete(c.clearances, r.Content)
		return false
	}
	return r.Clears || !at.After(kept.at)
}

// Refute returns the clearances for the sender of reports that tell crashes from before them, by rule 2.
func (c *Crashes) Refute(reports []CrashReport, now time.Time) []CrashReport {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []CrashReport
	for _, r := range reports {
		kept, ok := c.clearances[r.Content]
		if s := c.suspects[r.Content]; s != nil {
			kept, ok = clearance{caller: s.caller, at: s.clearedAt}, !s.clearedAt.IsZero()
		}
		isKnown := slices.ContainsFunc(out, func(o CrashReport) bool { return o.Content == r.Content })
		if age := now.Sub(kept.at); ok && !r.Clears && !isKnown && age > clearanceSpread && r.Age >= age {
			out = append(out, CrashReport{Content: r.Content, Caller: kept.caller, Clears: true, Age: age})
		}
	}
	return out
}
