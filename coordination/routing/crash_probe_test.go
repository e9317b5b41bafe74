package routing_test

import (
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestQuarantinedPartsAreProbed guards against a part that is held back although it is sound, with all requests that
// have it, and against more than a few requests that try it.
func TestQuarantinedPartsAreProbed(t *testing.T) {
	type request struct {
		after   time.Duration // since the quarantine of a and b
		parts   []string
		unsent  bool // it reached no replica
		crashes bool // its replica crashed
		isProbe bool
	}
	held := func(after time.Duration, n int, parts ...string) (out []request) {
		for range n {
			out = append(out, request{after: after, parts: parts})
		}
		return out
	}
	const second = time.Second
	for _, c := range []struct {
		name     string
		mayProbe bool
		learned  time.Duration // when the daemon learned of the quarantine
		requests []request
	}{
		{"by the daemon that may", true, 0, []request{{after: second, parts: []string{"a"}}, {after: 3 * second, parts: []string{"a"}, isProbe: true}}},
		{"by no other", false, 0, []request{{after: 3 * second, parts: []string{"a"}}}},
		{"not by a daemon that started later", true, time.Minute, []request{{after: time.Minute, parts: []string{"a"}}}},
		{"later, by one that knew in time", true, 0, []request{{after: time.Minute, parts: []string{"a"}, isProbe: true}}},
		{"not again after a crash", true, 0, []request{{after: 3 * second, parts: []string{"a"}, crashes: true, isProbe: true}, {after: 4 * second, parts: []string{"a"}}}},
		{"twice, if nothing came of the first one", true, 0, []request{
			{after: 3 * second, parts: []string{"a"}, isProbe: true}, {after: 4 * second, parts: []string{"a"}, isProbe: true}, {after: 5 * second, parts: []string{"a"}},
		}},
		{"again as long as no replica is reached", true, 0, []request{
			{after: 3 * second, parts: []string{"a"}, unsent: true, isProbe: true}, {after: 4 * second, parts: []string{"a"}, unsent: true, isProbe: true},
			{after: 5 * second, parts: []string{"a"}, unsent: true, isProbe: true}, {after: 6 * second, parts: []string{"a"}, isProbe: true},
		}},
		{"not with another part that is quarantined, at first", true, 0, []request{{after: 3 * second, parts: []string{"a", "b"}}}},
		{"with another part that is quarantined, if no request has fewer", true, 0,
			append(held(second, 5, "a", "b"), request{after: 3 * second, parts: []string{"a", "b"}, isProbe: true})},
		{"not with another part, if a request has fewer", true, 0,
			append(append(held(second, 5, "a", "b"), held(second, 1, "a")...), request{after: 3 * second, parts: []string{"a", "b"}})},
		{"not a part that is not quarantined", true, 0, []request{{after: 3 * second, parts: []string{"c"}}}},
	} {
		parts, begun := quarantineTwo(c.mayProbe, c.learned)
		for i, r := range c.requests {
			q, now := promptOf(50+i, r.parts...), begun.Add(r.after)
			isProbe := parts.BeginProbe(q, now)
			if isProbe != r.isProbe {
				t.Errorf("%s: request %d is a probe: %t, want %t", c.name, i, isProbe, r.isProbe)
			}
			if r.crashes {
				parts.ReportPartCrashes(q, "w", numberedReplica(90), -1, now)
			}
			if isProbe {
				parts.EndProbe(q, !r.unsent)
				continue
			}
			parts.QuarantinedPart(q, now)
		}
	}
}

// quarantineTwo returns a record in which the parts a and b are quarantined, and since when.
func quarantineTwo(mayProbe bool, learned time.Duration) (*routing.Crashes, time.Time) {
	parts, begun := routing.NewPartCrashes(), epoch.Add(time.Second)
	for i := range 5 {
		parts.ReportPartCrashes(promptOf(i, "a", "b"), "w", numberedReplica(i), -1, epoch)
	}
	parts.QuarantineParts(begun, noProbe)
	if learned > 0 {
		reports, _ := parts.All(0, 100, begun.Add(learned))
		parts = routing.NewPartCrashes()
		parts.Observe(reports, begun.Add(learned))
	}
	parts.QuarantineParts(begun.Add(learned), func(routing.ContentKey) bool { return mayProbe })
	return parts, begun
}

// TestSoundPartsAreReleasedAfterAllReplicasCrashed guards against sound requests that are held back for good because
// they share parts with requests under which all replicas crashed at once: the probe was used up while none was up.
func TestSoundPartsAreReleasedAfterAllReplicasCrashed(t *testing.T) {
	for _, c := range []struct {
		daemons   int
		perSecond float64
		shared    []string
	}{
		{3, 4, []string{"first"}}, {8, 60, []string{"first"}}, {8, 60, []string{"first", "second"}}, {34, 150, []string{"first", "second", "third"}},
	} {
		for _, down := range []time.Duration{2 * time.Second, 5 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d daemons, %d parts, down for %v", c.daemons, len(c.shared), down), func(t *testing.T) {
				t.Parallel()
				late, refused, sound := 0, 0, 0
				for seed := range uint64(3) {
					w := newPartSim(c.daemons, 18, 330*time.Millisecond, c.perSecond, seed)
					w.downFor, w.wave, w.shared = down, 60, c.shared
					w.run(down + 40*time.Second)
					late = max(late, w.late)
					refused, sound = refused+w.refusedLater, sound+w.soundLater
				}
				t.Logf("at most %d bad requests sent too late; %d of %d sound ones refused 6 s after the fifth crash and later", late, refused, sound)
				if late > 3 {
					t.Errorf("%d bad requests were sent later than 3 s after the fifth crash, want at most 3", late)
				}
				if 2*refused > sound {
					t.Errorf("%d of %d sound requests were refused", refused, sound)
				}
			})
		}
	}
}
