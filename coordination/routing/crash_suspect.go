// This file keeps what is known of one content, or one part of prompts, during whose requests replicas
// crashed (crash.go, crash_part.go).

package routing

import (
	"slices"
	"time"
)

// suspect is what is known of one content, or of one part of prompts.
type suspect struct {
	caller    CallerKey
	part      string         // id of the part, if it is one and known here
	crashes   []replicaCrash // since the suspect was last cleared, oldest first
	clearedAt time.Time
	// wasQuarantined says that it was quarantined here until it was cleared.
	wasQuarantined bool
	verdict        bool // it is a part that this daemon or another one quarantined
	verdictAt      time.Time
	probe          partProbe
	lastUsed       time.Time // when it was last reported or requested
	refused        int       // requests refused by this daemon
}

// replicaCrash is the crash of a replica while it served a request.
type replicaCrash struct {
	replica LoadKey
	request ContentKey // of a part: the content of the request that had it
	at      time.Time
}

// isCleared reports whether nothing counts against the suspect.
func (s *suspect) isCleared() bool { return len(s.crashes) == 0 && !s.verdict }

// apply applies a report of an event at the given time and returns true if it is new. A clearance
// is new if it is the first one known or if it removes crashes; times alone can't tell, because
// the time of one clearance differs from daemon to daemon by the network delay. At most kept crashes are
// kept.
func (s *suspect) apply(r CrashReport, at time.Time, kept int) bool {
	switch {
	case r.Clears:
		return s.clear(at)
	case r.Verdict:
		isNew := !s.verdict && at.After(s.clearedAt)
		s.verdict = s.verdict || isNew
		s.verdictAt = latest(s.verdictAt, at)
		return isNew
	}
	if !at.After(s.clearedAt) || len(s.crashes) >= kept || s.hasCrash(r.Replica) {
		return false
	}
	s.crashes = append(s.crashes, replicaCrash{replica: r.Replica, request: r.Request, at: at})
	slices.SortFunc(s.crashes, func(a, b replicaCrash) int { return a.at.Compare(b.at) })
	return true
}

// hasCrash reports whether the crash of a replica counts against the suspect.
func (s *suspect) hasCrash(replica LoadKey) bool {
	return slices.ContainsFunc(s.crashes, func(e replicaCrash) bool { return e.replica == replica })
}

// clear removes what counts against the suspect up to a time. It returns true if that is new.
func (s *suspect) clear(at time.Time) bool {
	isNew, before := s.clearedAt.IsZero(), len(s.crashes)
	s.clearedAt = latest(s.clearedAt, at)
	s.crashes = slices.DeleteFunc(s.crashes, func(e replicaCrash) bool { return !e.at.After(at) })
	if s.verdict && !s.verdictAt.After(at) {
		s.verdict, s.probe, isNew = false, partProbe{}, true
	}
	return isNew || len(s.crashes) < before
}

// since returns when the suspect was last seen to crash a replica, or since when it is quarantined.
func (s *suspect) since() time.Time {
	if len(s.crashes) == 0 {
		return s.verdictAt
	}
	return s.crashes[len(s.crashes)-1].at
}

// suspect returns the record of a content, which is created if needed. c.mu must be held.
func (c *Crashes) suspect(content ContentKey, caller CallerKey, now time.Time) *suspect {
	s := c.suspects[content]
	if s == nil {
		if len(c.suspects) >= maxContents {
			c.evict()
		}
		kept := c.clearances[content]
		delete(c.clearances, content)
		s = &suspect{caller: caller, clearedAt: kept.at, wasQuarantined: kept.quarantined, lastUsed: now}
		c.suspects[content] = s
		c.known.Store(int64(len(c.suspects)))
	}
	return s
}

// evict removes one content: a cleared one if there is any, else one of the caller that has the
// most. Among those it prefers one that is not quarantined, then the least recently used.
func (c *Crashes) evict() {
	counts := make(map[CallerKey]int)
	for _, s := range c.suspects {
		counts[s.caller]++
	}
	var victim ContentKey
	var worst *suspect
	for content, s := range c.suspects {
		if worst == nil || c.evictsBefore(s, worst, counts) {
			victim, worst = content, s
		}
	}
	c.keepClearance(victim, worst)
	delete(c.suspects, victim)
}

// evictsBefore reports whether one suspect is evicted before another.
func (c *Crashes) evictsBefore(s, than *suspect, counts map[CallerKey]int) bool {
	if a, b := s.isCleared(), than.isCleared(); a != b {
		return a
	}
	if a, b := counts[s.caller], counts[than.caller]; a != b {
		return a > b
	}
	if a, b := c.isQuarantined(s), c.isQuarantined(than); a != b {
		return b
	}
	return s.lastUsed.Before(than.lastUsed)
}

// reports returns all that is known of a content.
func (s *suspect) reports(content ContentKey, now time.Time) []CrashReport {
	var out []CrashReport
	if !s.clearedAt.IsZero() {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Clears: true, Age: max(0, now.Sub(s.clearedAt))})
	}
	for _, e := range s.crashes {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Replica: e.replica, Request: e.request, Age: max(0, now.Sub(e.at))})
	}
	if s.verdict {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Verdict: true, Age: max(0, now.Sub(s.verdictAt))})
	}
	return out
}
