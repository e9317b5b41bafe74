// This file ends calls whose content, or a part of whose prompt, is quarantined because replicas crash on it.
// coordination/routing/crash.go, crash_part.go and crash_probe.go decide which are.

package relay

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// isQuarantined reports whether the call's content, or a part of its prompt, is quarantined because
// replicas crash on it. If so, it sets the outcome.
func (s *activeCall) isQuarantined(now time.Time) bool {
	if part, ok := s.quarantinedPart(now); ok {
		s.summary.QuarantinedPart = part
		s.attempts.RecordQuarantined(coordination.ReasonPartQuarantined)
		return true
	}
	if s.Crashes.Quarantined(s.call.Content, now) {
		s.attempts.RecordQuarantined(coordination.ReasonQuarantined)
		return true
	}
	return false
}

// quarantinedPart returns a part of the call's prompt that is quarantined, unless the call is a probe of it that was
// not sent yet.
func (s *activeCall) quarantinedPart(now time.Time) (string, bool) {
	if s.attempts.Sent == 0 {
		s.isProbe = s.isProbe || s.PartCrashes.BeginProbe(&s.call.Request, now)
		if s.isProbe {
			return "", false
		}
	}
	return s.PartCrashes.QuarantinedPart(&s.call.Request, now)
}

// endProbe ends the probe of quarantined parts that the call was, if it was one.
func (s *activeCall) endProbe() {
	if s.isProbe {
		s.PartCrashes.EndProbe(&s.call.Request, s.attempts.Sent > 0)
	}
}
