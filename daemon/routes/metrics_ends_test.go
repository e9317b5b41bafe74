package routes

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/relay"
)

// TestEndsOfResponsesAreCounted guards against connections that end inside responses without a trace in the metrics, and
// against own links and other daemons' connections in one counter.
func TestEndsOfResponsesAreCounted(t *testing.T) {
	m := newMetrics()
	m.finished(&relay.Call{}, &relay.Summary{Outcome: coordination.Answered{Status: 200}, Attempts: []relay.Attempt{
		{ConnEnd: relay.ConnReset, Err: errors.New("e")},
		{ConnEnd: relay.ConnClosed, Via: "10.0.0.1:1", Err: errors.New("e")},
		{ConnEnd: relay.ConnTimedOut, Err: errors.New("e")},
		{End: routing.EndByConnection},
	}})
	var b bytes.Buffer
	if err := m.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"response_reset_total 1", "response_closed_total 0", "response_timed_out_total 1",
		"detour_response_reset_total 0", "detour_response_closed_total 1", "detour_response_timed_out_total 0",
		"response_end_connection_total 1", "response_end_length_total 0",
	} {
		if !strings.Contains(b.String(), "hingewinch_"+want+"\n") {
			t.Errorf("no %s", want)
		}
	}
}
