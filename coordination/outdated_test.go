package coordination_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// TestRequestsAwaitTheFirstReadAfterAPause guards against requests that are sent by documents as old as a pause of the process,
// and against waits of a daemon that was not paused, or has read its documents.
func TestRequestsAwaitTheFirstReadAfterAPause(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name  string
		times coordination.DocumentTimes
		want  bool
	}{
		{"just started", coordination.DocumentTimes{}, false},
		{"all is well", coordination.DocumentTimes{Ticked: ago(100 * time.Millisecond), Read: ago(time.Second)}, false},
		{"cut off for a minute", coordination.DocumentTimes{Ticked: ago(100 * time.Millisecond), Read: ago(time.Minute)}, false},
		{"paused, before the tick", coordination.DocumentTimes{Ticked: ago(5 * time.Second), Read: ago(6 * time.Second)}, true},
		{"paused for a moment, before the tick", coordination.DocumentTimes{Ticked: ago(2 * time.Second), Read: ago(6 * time.Second)}, false},
		{"paused, after the tick", coordination.DocumentTimes{Ticked: ago(time.Millisecond), Resumed: ago(time.Millisecond), Read: ago(6 * time.Second)}, true},
		{"paused, read since", coordination.DocumentTimes{Ticked: ago(time.Millisecond), Resumed: ago(50 * time.Millisecond), Read: ago(40 * time.Millisecond)}, false},
		{"paused, not read for long", coordination.DocumentTimes{Ticked: ago(time.Millisecond), Resumed: ago(coordination.AfterPause), Read: ago(6 * time.Second)}, false},
		{"paused, never confirmed", coordination.DocumentTimes{Ticked: ago(5 * time.Second)}, true},
	} {
		if got := c.times.AwaitsRead(now); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
