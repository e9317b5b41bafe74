package routes

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// BenchmarkFinished measures the line of a request's end, by the number of its attempts.
func BenchmarkFinished(b *testing.B) {
	for _, attempts := range []int{0, 1, 2} {
		b.Run(fmt.Sprintf("attempts=%d", attempts), func(b *testing.B) {
			l := newLog(io.Discard, "info", "d1", newMetrics())
			defer l.Close()
			call := &relay.Call{Request: routing.Request{ID: "c51f5fc4fb056e34", Route: &routing.Route{Name: "refund-draft"}, Prompt: []routing.PromptPart{{ID: "p", Tokens: 5}}}}
			summary := &relay.Summary{Outcome: coordination.Answered{Status: 200}, Status: 200, FirstByte: 50 * time.Millisecond, Total: time.Second, Events: 32}
			for i := range attempts {
				a := relay.Attempt{Replica: "i-13dfdccacc", Version: "v1", Rank: i, Load: 2, MeanLoad: 0.6, LoadCoverage: 1, Duration: time.Second}
				if i < attempts-1 {
					a.Err = errors.New("replica is silent")
				}
				summary.Attempts = append(summary.Attempts, a)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Finished(call, summary)
			}
		})
	}
}
