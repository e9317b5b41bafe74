package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestChecksDoNotHoldUpTheRun guards against checks that stop callers, replicas and the store for as long as
// they take, which looks like daemons that hold requests.
func TestChecksDoNotHoldUpTheRun(t *testing.T) {
	l := newLedger(defaultBounds())
	l.BackoffRequested("0", "r", 3*time.Second, at(100), "conn")
	for i := range 3 {
		id := fmt.Sprint(i)
		l.Sent(Request{ID: id, Route: routes[1], Sent: at(101)})
		l.Arrived(id, Arrival{Replica: "r", At: at(101)})
	}
	during := false
	l.wasRead = func(string, time.Time) (bool, string) {
		recorded := make(chan struct{})
		go func() {
			l.Sent(Request{ID: "late", Route: routes[1], Sent: at(102)})
			close(recorded)
		}()
		select {
		case <-recorded:
			during = true
		case <-time.After(5 * time.Second):
		}
		return true, ""
	}
	found := l.Check(at(110))
	if len(found) == 0 {
		t.Fatal("the backoff was not checked")
	}
	if !during {
		t.Error("a request was not recorded while the records were checked")
	}
}

// TestChecksSeeWhatWasRecordedBefore guards against a copy for the checks that changes while they run.
func TestChecksSeeWhatWasRecordedBefore(t *testing.T) {
	l := newLedger(defaultBounds())
	l.Sent(Request{ID: "1", Route: routes[1], Sent: at(1)})
	run := l.Began("1", Run{Arrival: Arrival{Replica: "r", At: at(1)}})
	l.DisturbDaemon(0, at(1), at(100))
	l.Departed("r", at(1))
	l.KeyAdded("k", "w", at(1))
	l.Evacuated("z", at(1))
	l.PartitionBegan([]int{0}, at(1))
	stay := l.Enters("s", "r", at(1))
	before := l.snapshot()

	l.Ended(run, 200, at(2))
	l.Answered("1", Answer{Status: 200})
	l.EndDaemonDisturbance(0, at(1), at(2))
	l.Returned("r", at(2))
	l.KeyRemoved("k", at(2))
	l.ReturnedToService("z", at(2), at(2))
	l.PartitionEnded([]int{0}, at(1), at(2))
	l.Leaves(stay, at(2))
	l.Sent(Request{ID: "2", Route: routes[1], Sent: at(2)})

	r := before.requests["1"]
	if len(before.order) != 1 || before.order[0] != r || r.answer != nil || r.runs[0].Status != 0 {
		t.Errorf("the copy's requests changed: %+v", r)
	}
	for what, end := range map[string]time.Time{
		"disturbance": before.daemons[0][0].to, "departure": before.departures["r"][0].to, "evacuation": before.evacuations["z"][0].to,
		"partition": before.partitions[0].to,
	} {
		if end.Equal(at(2)) {
			t.Errorf("the copy's %s ended", what)
		}
	}
	if !before.keys["k"].removed.IsZero() || !before.crowdedServices["s"].stays["r"][0].to.IsZero() {
		t.Error("the copy's key was removed, or its request left the replica")
	}
}
