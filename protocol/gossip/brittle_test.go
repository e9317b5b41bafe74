package gossip_test

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// TestBrittleReports guards against reports of brittle services that change on the way or are taken for others.
func TestBrittleReports(t *testing.T) {
	var want []routing.BrittleReport
	for i := range gossip.MaxBrittle {
		want = append(want, routing.BrittleReport{Service: routing.ServiceName(rune('a' + i)), Limit: routing.RejectionLimit(i * 4000), Age: time.Duration(i) * time.Second, Rejecting: routing.LoadKey(i << 28)})
	}
	payload, err := gossip.EncodeBrittle(want)
	if err != nil || len(payload) > gossip.MaxHeartbeatBytes {
		t.Fatalf("%d bytes, error %v", len(payload), err)
	}
	got, err := gossip.DecodeBrittle(payload)
	if err != nil || !slices.Equal(got, want) || !gossip.IsBrittle(payload) || gossip.IsSaturations(payload) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
	if _, err := gossip.EncodeBrittle(append(want, want[0])); err == nil {
		t.Error("more reports than fit were encoded")
	}
}
