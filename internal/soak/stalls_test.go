package soak

import (
	"os"
	"testing"
	"time"
)

// TestStallsOfThreads guards against a process that is taken for one that stood still because its threads often wait for a
// moment, and against one that is not because its other threads ran.
func TestStallsOfThreads(t *testing.T) {
	const between = 20 * time.Millisecond
	ms := time.Millisecond
	for _, c := range []struct {
		name          string
		first, second threadWaits
		want          time.Duration
	}{
		{"no sample before", nil, threadWaits{"1": time.Hour}, 0},
		{"a thread that has just started", threadWaits{"1": 0}, threadWaits{"1": 0, "2": time.Second}, 0},
		{"threads that wait in turn", threadWaits{"1": 0, "2": 0}, threadWaits{"1": 39 * ms, "2": 39 * ms}, 0},
		{"many threads", threadWaits{"1": 0, "2": 0, "3": 0}, threadWaits{"1": 20 * ms, "2": 20 * ms, "3": 20 * ms}, 0},
		{"a wait that began before the first sample", threadWaits{"1": time.Second, "2": 0}, threadWaits{"1": time.Second + 170*ms, "2": ms}, 150 * ms},
		{"one just long enough", threadWaits{"1": 0}, threadWaits{"1": between + minStall}, minStall},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := stallBefore(c.first, c.second, between); got != c.want {
				t.Errorf("stood still for %v, want %v", got, c.want)
			}
		})
	}
}

// TestThreadWaitsAreRead guards against figures of another field or unit than the wait.
func TestThreadWaitsAreRead(t *testing.T) {
	if wait, ok := parseThreadWait([]byte("467174 384256 7\n")); !ok || wait != 384256 {
		t.Errorf("wait %v, %v, want 384.256µs", wait, ok)
	}
	for _, text := range []string{"", "467174", "467174 x 7"} {
		if _, ok := parseThreadWait([]byte(text)); ok {
			t.Errorf("%q has a wait", text)
		}
	}
	if len(readThreadWaits(os.Getpid())) == 0 {
		t.Error("no thread of this process has a wait")
	}
}
