package soak

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestStreamOutlivesLateRejection guards against a daemon that gives up a silent replica for one that has not
// taken the stream: all replicas are silent for 1.2 s, from the middle of a stream on, and the second one is full,
// so that it rejects the request once it is no longer silent. In one case there is room at others, in the other
// at none but the first.
func TestStreamOutlivesLateRejection(t *testing.T) {
	t.Parallel()
	for _, othersFull := range []bool{false, true} {
		t.Run(fmt.Sprintf("others_full=%v", othersFull), func(t *testing.T) {
			w, dir := startLinks(t)
			const id, silence = "late", 1200 * time.Millisecond
			go func() {
				pause(w.ctx, 400*time.Millisecond)
				w.setFull(func(r *pacedReplica) bool { return r.id != w.replicaOf(id, 0) }, time.Now().Add(silence))
				for w.replicaOf(id, 1) == "" && w.ctx.Err() == nil {
					pause(w.ctx, 5*time.Millisecond)
				}
				if !othersFull {
					w.setFull(func(r *pacedReplica) bool { return r.id == w.replicaOf(id, 1) }, time.Time{})
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
		})
	}
}

// replicaOf returns the replica of a run of a request, or an empty string if there is no such run.
func (w *configurationsRun) replicaOf(id string, run int) string {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	if runs := w.runs.runs[id]; run < len(runs) {
		return runs[run].Replica
	}
	return ""
}

// setFull makes the replicas that meet a condition full and the others not. All are silent until a time, unless that
// is zero.
func (w *configurationsRun) setFull(isFull func(r *pacedReplica) bool, silentUntil time.Time) {
	for _, r := range w.replicas {
		full := isFull(r)
		r.mu.Lock()
		r.queue.slots = modelSlots
		if full {
			r.queue.slots, r.maxQueued = 0, 0
		}
		if !silentUntil.IsZero() {
			r.silentUntil = silentUntil
		}
		r.mu.Unlock()
	}
}

// TestStreamOutlivesReplacedService guards against a daemon that gives up a silent replica although there is no other:
// a configuration has given the service another name while the replica was silent.
func TestStreamOutlivesReplacedService(t *testing.T) {
	t.Parallel()
	w, dir := startLinks(t)
	const id, silence = "replaced", 1200 * time.Millisecond
	go func() {
		pause(w.ctx, 400*time.Millisecond)
		w.setFull(func(*pacedReplica) bool { return false }, time.Now().Add(silence))
		w.change(changeReplaces)
	}()
	if e := w.streamAt(w.fleet.daemons[0], pacedRoutes[1], id); !e.Complete {
		t.Errorf("ended after %v with status %d, %d of %d events and %q", e.Ended.Sub(e.Sent), e.Status, e.Events, pacedRoutes[1].Events, e.Err)
	}
	pause(w.ctx, 300*time.Millisecond) // the daemon writes its line
	lines, panics, _, err := readLogs(dir)
	if err != nil || len(panics) > 0 {
		t.Fatal(err, panics)
	}
	t.Logf("log: %s", summaryOf(lines[id]))
}

// TestConfigurationsBreakNothingOff plays a short run of the deployment of the incident with configurations in series
// and replicas that fall silent around them. It guards against a daemon that breaks a response off meanwhile, ends by
// itself or panics.
func TestConfigurationsBreakNothingOff(t *testing.T) {
	const seed, length = 2, 10 * time.Second
	report, err := PlayConfigurations(context.Background(), NewConfigurationsPlan(seed, length, SilentReplicas), Options{Daemon: daemonUnderTest(t), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report.Table())
	const enough = 300 // a tenth of what callers ask for
	if report.Served < enough || len(report.Lost) > 0 || len(report.Ends) > 0 || len(report.Panics) > 0 {
		t.Errorf("%d served, %d broken off by daemons, %d daemons ended, %d panics", report.Served, len(report.Lost), len(report.Ends), len(report.Panics))
	}
}
