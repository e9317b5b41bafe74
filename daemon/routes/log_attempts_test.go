package routes

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// TestLineHasEachAttempt guards against attempts whose fields are keys of the line itself: a reader of JSON keeps only
// the last of equal keys, and so of a stream that two replicas had it shows one.
func TestLineHasEachAttempt(t *testing.T) {
	call := &relay.Call{Request: routing.Request{ID: "r1", Route: &routing.Route{Name: "n"}}}
	for _, attempts := range [][]relay.Attempt{
		nil,
		{{Replica: "i-1", Duration: time.Second}},
		{
			{Replica: "i-1", Err: errors.New(`silent "replica"`), Duration: 600 * time.Millisecond, Reused: true, MeanLoad: 0.66, LoadCoverage: 1},
			{Replica: "i-2", Rank: 1, Via: "10.0.0.1:1", Duration: 20 * time.Millisecond, End: routing.EndByChunks, Reported: relay.ReportedLoad{Known: true, Requests: 3}},
		},
	} {
		var out bytes.Buffer
		l := newLog(&out, "info", "d", newMetrics())
		l.Finished(call, &relay.Summary{Outcome: coordination.Answered{Status: 200}, Attempts: attempts})
		lines := linesOf(t, l, &out)
		if len(lines) != 1 {
			t.Fatalf("%d lines, want 1", len(lines))
		}
		list, ok := lines[0]["attempts"].([]any)
		if !ok || len(list) != len(attempts) {
			t.Fatalf("attempts %v, want %d", lines[0]["attempts"], len(attempts))
		}
		for i := range attempts {
			a, got := &attempts[i], list[i].(map[string]any)
			want := map[string]any{
				"replica": string(a.Replica), "ms": float64(a.Duration.Milliseconds()), "rank": float64(a.Rank), "reused": a.Reused,
				"mean": float64(int(a.MeanLoad*10)) / 10, "coverage": a.LoadCoverage, "reported_load": float64(reportedLoad(a.Reported)), "error": nil, "via": nil, "end": string(a.End),
			}
			if a.Err != nil {
				want["error"] = a.Err.Error()
			}
			if a.Via != "" {
				want["via"] = string(a.Via)
			}
			for name, value := range want {
				if got[name] != value {
					t.Errorf("attempt %d: %s is %v, want %v", i, name, got[name], value)
				}
			}
		}
		if _, ok := lines[0]["replica"]; ok {
			t.Error("the line itself has a replica")
		}
	}
}
