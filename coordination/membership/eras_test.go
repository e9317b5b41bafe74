package membership_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
)

func position(era feed.Era, revision feed.Revision) feed.Position {
	return feed.Position{Era: era, Revision: revision}
}

// TestEraOfResponses checks the first response to a daemon with a known position.
func TestEraOfResponses(t *testing.T) {
	begun := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name      string
		at, known feed.Position
		want      bool
	}{
		{"the first", position(3, 9), position(0, 0), true},
		{"a later revision", position(3, 9), position(3, 8), true},
		{"the same", position(3, 9), position(3, 9), true},
		{"a lower revision of a later era", position(4, 2), position(3, 9), true},
		{"two eras later", position(5, 2), position(3, 9), true},
		{"an earlier revision", position(3, 8), position(3, 9), false},
		{"an earlier era", position(2, 50), position(3, 9), false},
		{"no era, one is known", position(0, 50), position(3, 9), false},
		{"no era, none is known", position(0, 50), position(0, 49), true},
	} {
		var e membership.EraTracker
		if got, ok := e.Resolve(c.at, c.known, begun); ok != c.want || got != c.at {
			t.Errorf("%s: %v, %t", c.name, got, ok)
		}
	}
}

// TestRestartedEraCountIsAccepted guards against a fleet that never reads the store again because
// an era was misread once or the store has restarted its era count.
func TestRestartedEraCountIsAccepted(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var e membership.EraTracker
	known := position(700, 9)
	for range 99 {
		if at, ok := e.Resolve(position(8, 20), known, now); ok {
			t.Fatalf("%v is accepted at once", at)
		}
		now = now.Add(100 * time.Millisecond)
	}
	now = now.Add(time.Second)
	at, ok := e.Resolve(position(8, 20), known, now)
	if !ok || at != position(701, 20) {
		t.Fatalf("%v, %t; want era 701", at, ok)
	}
	if at, ok = e.Resolve(position(9, 5), at, now); !ok || at != position(702, 5) {
		t.Errorf("the next era of the store: %v, %t; want era 702", at, ok)
	}
}

// TestIsolatedOlderResponsesAreRejected checks that each accepted response restarts the time until older responses
// are accepted.
func TestIsolatedOlderResponsesAreRejected(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var e membership.EraTracker
	known := position(3, 9)
	for range 20 {
		if _, ok := e.Resolve(position(2, 9), known, now); ok {
			t.Fatal("an old response is accepted")
		}
		now = now.Add(6 * time.Second)
		if _, ok := e.Resolve(position(3, 9), known, now); !ok {
			t.Fatal("a response at the known position is rejected")
		}
	}
}

// TestReadersNeverGoBack checks, for random responses, that an accepted position is never before the known one
// and that responses are not rejected for 10 s or longer.
func TestReadersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var e membership.EraTracker
		var known feed.Position
		var rejectedSince time.Time
		for range rapid.IntRange(1, 100).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			response := position(feed.Era(rapid.Uint64Range(0, uint64(feed.MaxEra)).Draw(t, "era")%8), feed.Revision(rapid.IntRange(0, 50).Draw(t, "revision")))
			at, ok := e.Resolve(response, known, now)
			switch {
			case ok && at.Before(known):
				t.Fatalf("went back from %v to %v", known, at)
			case ok:
				known, rejectedSince = at, time.Time{}
			case rejectedSince.IsZero():
				rejectedSince = now
			case now.Sub(rejectedSince) >= 10*time.Second:
				t.Fatalf("responses were rejected for %v", now.Sub(rejectedSince))
			}
		}
	})
}

// TestReadersWithoutEraAreIgnored guards against a domain whose only reader runs
// a build that does not support eras and ignores writes after a restore of the store as older changes.
func TestReadersWithoutEraAreIgnored(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := membership.NewRoster(membership.Member{Address: "10.0.0.5:1", Domain: "a", Incarnation: 1}, nil)
	other := membership.Member{Address: "10.0.0.1:1", Domain: "a", Incarnation: 1, Heartbeats: 1}
	observe := func(era feed.Era) {
		other.Heartbeats++
		r.Observe([]membership.Member{other}, now)
		r.ObserveEra(other.Address, era, now)
	}
	for _, step := range []struct {
		known bool
		era   feed.Era
		reads bool
	}{{false, 0, false}, {false, 1, false}, {true, 0, true}, {true, 2, false}} {
		if step.known {
			r.SetEraKnown()
		}
		observe(step.era)
		if got := r.PlanReads(now, false).Reads; got != step.reads {
			t.Errorf("era known %t, peer in era %d: reads %t, want %t", step.known, step.era, got, step.reads)
		}
		if got := r.HasEraReader(now); got != (step.era > 0) {
			t.Errorf("peer in era %d: the era is read %t", step.era, got)
		}
	}
}
