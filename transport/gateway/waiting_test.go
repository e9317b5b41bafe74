package gateway

import (
	"context"
	"testing"
	"testing/synctest"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// TestWaitersGetNotRun makes repeats wait for a first attempt that ends as not-run. None
// of them may run the key in its place: the first caller would have been told not-run
// for a key that runs a moment later.
func TestWaitersGetNotRun(t *testing.T) {
	m := NewMetrics()
	defer m.Close()
	cfg, err := state.ParseConfig("f.yaml", []byte("version: 1\nservices: [{name: gate}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	snapshot := state.BuildSnapshot(state.Inputs{Config: cfg, Members: state.NewMemberList(1, nil, nil), Hash: coordination.Hash})
	synctest.Test(t, func(t *testing.T) {
		o := NewOnceRunner(OnceOptions{
			Self: "d0", Incarnation: 1, Secret: []byte("s"), Snapshot: func() *state.Snapshot { return snapshot },
			Recorder: transport.NewRecorder("d0", nil), Metrics: m, LedgerBytes: 1 << 20,
		})
		ticket, life := o.Issue("w", "gate")
		r := &OnceRequest{Workspace: "w", Service: "gate", Key: ticket}
		if _, ok := o.begin(r, life).(fleet.Start); !ok {
			t.Fatal("the first attempt was not started")
		}
		results := make(chan OnceResult, 5)
		for range cap(results) {
			go func() { results <- o.RunHere(context.Background(), r) }()
		}
		synctest.Wait()
		o.finish(r, coordination.NotRun{Reason: coordination.ReasonConnect}, nil)
		for range cap(results) {
			refusal, ok := (<-results).(OnceRefusal)
			if !ok || !coordination.MayRetry(refusal.Outcome) {
				t.Fatalf("a waiting repeat got %+v", refusal)
			}
			if refusal.Outcome.(coordination.NotRun).Reason != coordination.ReasonConnect {
				t.Fatalf("a waiting repeat ran the key: %+v", refusal.Outcome)
			}
		}
	})
}
