// This file decides which parts of prompts are quarantined because replicas crash on them. Such a part
// crashes every replica that begins to respond to a request with it, whatever else the request holds, so
// that no two of these requests need to be alike (crash.go knows a request only as a whole).
//
// Inputs: crashes of replicas with requests in flight, the parts of these requests' prompts but the last
// one, which no other request has, and for how long each replica had responded; requests with a part that
// were responded to. The rule:
//
//  1. A request whose response had gone on for partSoundAfter when its replica crashed did not crash it. Of
//     the others, each part is a suspect of that crash: some only waited there.
//  2. A request whose response is complete, or has gone on for partSoundAfter, shows that its parts are
//     sound: crashes up to then don't count against them, at any daemon. Sound parts are shared by many
//     requests, and are shown to be sound again and again while replicas crash.
//  3. A part is quarantined after minPartCrashes crashes since it was last sound, or more while replicas
//     crash so often that a sound request has a considerable chance to meet a crash: as many as make it
//     unlikely that they all are a coincidence. These crashes must be of minPartRequests different
//     requests; a single one that is sent again is a matter of its content.
//  4. A part that met far fewer crashes than another one was beside it: the crashes that the other one met
//     too don't count against it.
//  5. A daemon that quarantines a part tells all others, which do so too. They need not come to the same
//     conclusion: each knows only a part of what is in flight.
//  6. Only a request that is responded to after that, or an operator, ends a quarantine. Requests with the
//     part that were on their way may still show that it is sound. So may a probe (crash_probe.go). A common part
//     may have met each crash by coincidence while little else was served, and all its requests would be refused.
//  7. A crash is reported to other daemons only if partReportDelay has not shown the part to be sound,
//     which spares reports about the parts that most requests have. Rules 3 and 4 apply to crashes of which
//     all daemons have had the time to report.
//
// All this begins with the first crash that is known here; until then nothing is recorded.

package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPartCrashes is part of what callers are promised: at most three more requests reach replicas once
	// five have crashed and daemons had time to tell each other.
	minPartCrashes = 5
	// maxPartCrashes is the largest number that rule 3 asks for, and keptPartCrashes how many are kept of a
	// part, to tell those that met more from those that met fewer.
	maxPartCrashes  = 12
	keptPartCrashes = 32
	// besideShare is the share of another part's crashes up to which rule 4 applies.
	besideShare = 0.75
	// minPartRequests is how many requests must have met the crashes of a part.
	minPartRequests = 3
	// maxCoincidence is the chance at most that a sound part has met all of its crashes by coincidence.
	maxCoincidence = 1e-3
	// PartSoundAfter is how long a replica must have responded to a request to show that it does not crash
	// on it. Such crashes come within some tens of milliseconds after the first event.
	PartSoundAfter = 400 * time.Millisecond
	// partExposure is the time from sending a request until it shows that its parts are sound, in which it
	// can meet a crash.
	partExposure = time.Second
	// partReportDelay is longer than it takes to see other requests with a common part through, and
	// partSettleTime than it takes until all daemons have reported a crash.
	partReportDelay = 500 * time.Millisecond
	partSettleTime  = 800 * time.Millisecond
	// soundRetention is how long it is remembered that a part was sound: longer than a report of a crash
	// before that takes to arrive.
	soundRetention = 5 * time.Second
	// maxSoundParts bounds the memory for that.
	maxSoundParts = 4000
	// partWatchTime is how long after a crash it is recorded which parts are sound.
	partWatchTime = time.Minute
	// verdictPriority sends verdicts, and the ends of quarantines, ahead of crashes.
	verdictPriority = math.MaxInt
	// maxPartText is how much of a part's id is kept for operators, in bytes.
	maxPartText = 64
)

// partRule is rule 3 of this file, with the state that only parts need. It is guarded by Crashes.mu.
type partRule struct {
	chance     float64                      // that a sound request meets a crash
	sound      map[ContentKey]time.Time     // when each part was last sound
	withheld   []pendingReport[CrashReport] // own crashes, by rule 7
	watchUntil time.Time
}

func (*partRule) isCrashRule() {}

// NewPartCrashes returns an empty record of parts of prompts.
func NewPartCrashes() *Crashes { return newCrashes(&partRule{sound: make(map[ContentKey]time.Time)}) }

// NewPartKey returns the key of a part of prompts, by its id.
func NewPartKey(id string) ContentKey { return ContentKey(max(1, xxhash.Sum64String("part\x00"+id))) }

// SuspectParts returns the parts of the request's prompt that can be quarantined: all but the last one,
// which no other request has.
func (r *Request) SuspectParts() []PromptPart {
	if len(r.Prompt) < 2 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}

// Watch begins to record which parts are sound, because a replica crashed.
func (c *Crashes) Watch(now time.Time) {
	p, ok := c.partRule()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.watchUntil = now.Add(partWatchTime)
	c.watching.Store(true)
}

// IsWatching reports whether a replica crashed lately, so that parts may have to be quarantined.
func (c *Crashes) IsWatching() bool { return c.watching.Load() }

// partRule returns the rule of a record of parts. It accepts a nil receiver.
func (c *Crashes) partRule() (*partRule, bool) {
	if c == nil {
		return nil, false
	}
	p, ok := c.rule.(*partRule)
	return p, ok
}

// ReportPartCrashes records that a replica crashed which had begun to respond to a request for the given
// time, or not at all if that is negative.
func (c *Crashes) ReportPartCrashes(q *Request, w WorkspaceName, r *Replica, responding time.Duration, now time.Time) {
	p, ok := c.partRule()
	if !ok {
		return
	}
	c.Watch(now)
	if responding >= PartSoundAfter {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range q.SuspectParts() {
		report := CrashReport{Content: NewPartKey(part.ID), Caller: NewCallerKey(w), Replica: r.LoadKey(), Request: q.Content}
		c.observe(report, now, func(r CrashReport, at time.Time) {
			p.withheld = append(p.withheld, pendingReport[CrashReport]{r, at})
		})
		if s := c.suspects[report.Content]; s != nil {
			s.part = part.ID[:min(len(part.ID), maxPartText)]
		}
	}
}

// RecordSound records that a replica has responded to a request, so that its parts are sound.
func (c *Crashes) RecordSound(q *Request, now time.Time) {
	p, ok := c.partRule()
	if !ok || c.known.Load() == 0 && !c.watching.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range q.SuspectParts() {
		key := NewPartKey(part.ID)
		if _, known := p.sound[key]; c.watching.Load() && (known || len(p.sound) < maxSoundParts) {
			p.sound[key] = now
		}
		if s := c.suspects[key]; s != nil && !s.isCleared() {
			c.observe(CrashReport{Content: key, Caller: s.caller, Clears: true}, now, c.outbox.add)
		}
	}
}

// QuarantinedPart returns the first part of a request's prompt that is quarantined, and counts a refusal.
func (c *Crashes) QuarantinedPart(q *Request, now time.Time) (string, bool) {
	if c == nil || c.known.Load() == 0 {
		return "", false
	}
	for _, part := range q.SuspectParts() {
		if c.Quarantined(NewPartKey(part.ID), now) {
			c.recordHeld(q)
			return part.ID, true
		}
	}
	return "", false
}

// SetCrashRate sets how many replicas crash per second, out of how many.
func (c *Crashes) SetCrashRate(perSecond float64, replicas int) {
	p, ok := c.partRule()
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.chance = 1 - math.Exp(-perSecond/float64(max(1, replicas))*partExposure.Seconds())
}

// neededCrashes returns how many crashes a part must have met to be quarantined, by rule 3.
func (p *partRule) neededCrashes() int {
	if p.chance <= 0 {
		return minPartCrashes
	}
	return max(minPartCrashes, min(maxPartCrashes, int(math.Ceil(math.Log(maxCoincidence)/math.Log(p.chance)))))
}

// isRefuted reports whether a part was sound at the time of a crash that a report tells, or later. Other
// daemons are told. c.mu must be held.
func (c *Crashes) isRefuted(r CrashReport, at time.Time) bool {
	p, ok := c.partRule()
	if !ok || r.Clears {
		return false
	}
	soundAt, known := p.sound[r.Content]
	if !known || soundAt.Before(at) {
		return false
	}
	c.outbox.add(CrashReport{Content: r.Content, Caller: r.Caller, Clears: true}, soundAt)
	return true
}

// QuarantinedPart is a part that was quarantined.
type QuarantinedPart struct {
	Key  ContentKey
	Part string // id of the part; empty if this daemon has had no request with it
}

// QuarantineParts quarantines parts by rules 3 to 5, and returns them. mayProbe reports whether this daemon
// is the one to probe a part.
func (c *Crashes) QuarantineParts(now time.Time, mayProbe func(part ContentKey) bool) []QuarantinedPart {
	p, ok := c.partRule()
	if !ok || c.known.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, most := c.countSettled(now), 0
	for _, n := range counts {
		most = max(most, n)
	}
	var out []QuarantinedPart
	for key, n := range counts {
		s := c.suspects[key]
		if n < p.neededCrashes() || float64(n) < besideShare*float64(most) || s.requests() < minPartRequests {
			continue
		}
		s.verdict, s.verdictAt = true, now
		c.outbox.add(CrashReport{Content: key, Caller: s.caller, Verdict: true, crashCount: verdictPriority}, now)
		out = append(out, QuarantinedPart{key, s.part})
	}
	if len(out) > 0 {
		c.forgetHeld()
	}
	c.dropExplained()
	c.assignProbes(now, mayProbe)
	return out
}

// countSettled returns how many crashes of which all daemons have reported each part has met that is not
// quarantined. c.mu must be held.
func (c *Crashes) countSettled(now time.Time) map[ContentKey]int {
	counts := make(map[ContentKey]int)
	for key, s := range c.suspects {
		if s.verdict {
			continue
		}
		for _, e := range s.crashes {
			if now.Sub(e.at) >= partSettleTime {
				counts[key]++
			}
		}
	}
	return counts
}

// dropExplained removes the crashes that a quarantined part has met from other parts, by rule 4. c.mu must
// be held.
func (c *Crashes) dropExplained() {
	explained := make(map[LoadKey]bool)
	for _, s := range c.suspects {
		if s.verdict {
			for _, e := range s.crashes {
				explained[e.replica] = true
			}
		}
	}
	if len(explained) == 0 {
		return
	}
	for _, s := range c.suspects {
		if !s.verdict {
			s.crashes = slices.DeleteFunc(s.crashes, func(e replicaCrash) bool { return explained[e.replica] })
		}
	}
}

// requests returns how many different requests met the crashes of a part.
func (s *suspect) requests() int {
	seen := make(map[ContentKey]bool, len(s.crashes))
	for _, e := range s.crashes {
		seen[e.request] = true
	}
	return len(seen)
}

// releaseWithheld queues the withheld reports whose delay is over, unless their parts have been sound since.
// c.mu must be held.
func (c *Crashes) releaseWithheld(now time.Time) {
	p, ok := c.partRule()
	if !ok {
		return
	}
	kept := p.withheld[:0]
	for _, w := range p.withheld {
		switch s := c.suspects[w.report.Content]; {
		case now.Sub(w.at) < partReportDelay:
			kept = append(kept, w)
		case s != nil && s.hasCrash(w.report.Replica):
			w.report.crashCount = len(s.crashes)
			c.outbox.add(w.report, w.at)
		}
	}
	p.withheld = kept
}

// forgetSound removes what is remembered of sound parts too long. c.mu must be held.
func (c *Crashes) forgetSound(now time.Time) {
	p, ok := c.partRule()
	if !ok {
		return
	}
	for key, at := range p.sound {
		if now.Sub(at) > soundRetention {
			delete(p.sound, key)
		}
	}
	if now.After(p.watchUntil) {
		c.watching.Store(false)
	}
}
