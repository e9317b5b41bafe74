package soak

import (
	"testing"
	"time"
)

// TestStreamOutlivesLateRejection guards against a daemon that gives up a silent replica for one that has not
// taken the stream: all replicas are silent for 1.2 s, from the middle of a stream on, and all but its own are
// full, so that the second one rejects the request once it is no longer silent.
func TestStreamOutlivesLateRejection(t *testing.T) {
	w, dir := startLinks(t)
	const id, silence = "late", 1200 * time.Millisecond
	go func() {
		pause(w.ctx, 400*time.Millisecond)
		w.runs.mu.Lock()
		running := w.runs.runs[id][0].Replica
		w.runs.mu.Unlock()
		for _, r := range w.replicas {
			r.mu.Lock()
			r.silentUntil = time.Now().Add(silence)
			if r.id != running {
				r.queue.slots, r.maxQueued = 0, 0
			}
			r.mu.Unlock()
		}
	}()
	if e := w.streamAt(w.fleet.daemons[0], pacedRoutes[1], id); !e.Complete {
		t.Errorf("ended after %v with status %d, %d of %d events and %q", e.Ended.Sub(e.Sent), e.Status, e.Events, pacedRoutes[1].Events, e.Err)
	}
	pause(w.ctx, 300*time.Millisecond) // the daemon writes its line
	lines, panics, _, err := readLogs(dir)
	if err != nil || len(panics) > 0 {
		t.Fatal(err, panics)
	}
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	for _, run := range w.runs.runs[id] {
		t.Logf("at %s from event %d, %d events, %s", run.Replica, run.From, run.Events, run.End)
	}
	t.Logf("log: %s", summaryOf(lines[id]))
}
