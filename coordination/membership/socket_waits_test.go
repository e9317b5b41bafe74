package membership

import (
	"testing"
	"time"
)

// TestMessagesThatWaitedDoNotCount guards against messages that count as new although they waited in the socket while the
// process was paused, before or during a read, or while it did not read as fast as messages came.
func TestMessagesThatWaitedDoNotCount(t *testing.T) {
	const ms = time.Millisecond
	type read struct{ pause, takes time.Duration } // since the read before
	idle := read{0, SocketPoll}
	for _, c := range []struct {
		name  string
		reads []read
		want  bool // for the last one
	}{
		{"the first message", []read{{0, 10 * ms}}, true},
		{"messages in a row", []read{idle, {0, 5 * ms}, {1 * ms, 0}, {1 * ms, 0}}, true},
		{"a short pause during a read", []read{idle, {0, 90 * ms}}, true},
		{"a pause during a read", []read{idle, {0, 110 * ms}}, false},
		{"a pause between two reads", []read{idle, {110 * ms, 0}}, false},
		{"the second message after a pause", []read{idle, {0, 500 * ms}, {0, 0}}, false},
		{"interrupted while it reads what waited", []read{idle, {0, 500 * ms}, {0, 2 * ms}, {0, 0}}, false},
		{"long after a pause", []read{idle, {0, 500 * ms}, idle, idle, idle, idle, idle, {0, 0}}, true},
		{"messages come faster than they are read", []read{idle, {0, 5 * ms}, {30 * ms, 0}, {30 * ms, 0}, {30 * ms, 0}, {30 * ms, 0}}, false},
	} {
		now, got := time.Unix(1000, 0), false
		var w SocketWaits
		for _, r := range c.reads {
			began := now.Add(r.pause)
			now = began.Add(r.takes)
			got = w.Read(began, now)
		}
		if got != c.want {
			t.Errorf("%s: counts as read in time: %t, want %t", c.name, got, c.want)
		}
	}
}
