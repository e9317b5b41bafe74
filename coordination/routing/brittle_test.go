package routing_test

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// brittleAt is a moment of the tests.
func brittleAt(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// isBrittle reports whether a service is among the brittle ones.
func isBrittle(b *routing.BrittleServices, s routing.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(b.Services(now), func(known routing.BrittleStatus) bool { return known.Service == s })
}

// TestBrittleServiceEndsWithLaterResponse guards against a service that stays brittle for good, or is
// no longer brittle although only a response from before the spell, or none, has arrived.
func TestBrittleServiceEndsWithLaterResponse(t *testing.T) {
	b := routing.NewBrittleServices()
	if b.RecordOrdinary("s", brittleAt(0), brittleAt(0)) || isBrittle(b, "s", brittleAt(0)) {
		t.Fatal("a service is brittle although no replica said so")
	}
	if !b.Record("s", 3, brittleAt(1)) || b.Record("s", 5, brittleAt(1.5)) {
		t.Fatal("want the first statement to be new and the second not")
	}
	if b.RecordOrdinary("s", brittleAt(3.4), brittleAt(9)) || !isBrittle(b, "s", brittleAt(30)) {
		t.Error("a response to a request that was sent too early ended the spell")
	}
	if !b.RecordOrdinary("s", brittleAt(3.6), brittleAt(9)) || isBrittle(b, "s", brittleAt(9)) {
		t.Error("a later response without the statement did not end the spell")
	}
	if b.Observe([]routing.BrittleReport{{Service: "s", Limit: 1, Age: 6 * time.Second}}, brittleAt(9)) != nil || isBrittle(b, "s", brittleAt(9)) {
		t.Error("a late report began the spell again that had ended")
	}
	if !b.Record("s", 2, brittleAt(20)) || !isBrittle(b, "s", brittleAt(79)) || isBrittle(b, "s", brittleAt(81)) {
		t.Error("want a second spell that ends after a minute without any response")
	}
}

// TestBrittleReportsReachAllOnce guards against daemons that are not told of a spell, and against a
// message for each response of a brittle replica.
func TestBrittleReportsReachAllOnce(t *testing.T) {
	b := routing.NewBrittleServices()
	for i := range 1000 {
		b.Record("s", 3, brittleAt(float64(i)/500))
	}
	if n := len(b.TakeReports(100, brittleAt(2))); n != 2 {
		t.Errorf("%d reports for two seconds of responses, want 2", n)
	}
	b.Record("s", 1, brittleAt(2))
	got := b.TakeReports(100, brittleAt(2.5))
	want := []routing.BrittleReport{{Service: "s", Limit: 1, Age: 500 * time.Millisecond}}
	if !slices.Equal(got, want) {
		t.Errorf("reports %+v, want %+v", got, want)
	}
	peer := routing.NewBrittleServices()
	if got := peer.Observe(want, brittleAt(3)); !slices.Equal(got, []routing.ServiceName{"s"}) {
		t.Errorf("newly brittle services %v, want s", got)
	}
	if peer.Observe(want, brittleAt(3)) != nil || len(peer.TakeReports(100, brittleAt(3))) != 1 || len(peer.All(9, brittleAt(3))) != 1 {
		t.Error("want the report to be forwarded once and kept for daemons that start")
	}
	status := peer.Services(brittleAt(3))
	if len(status) != 1 || status[0].Limit != 1 || !status[0].Since.Equal(brittleAt(2.5)) {
		t.Errorf("status %+v, want limit 1 since the statement", status)
	}
}

// TestOverrunReplicaIsKnownToAll guards against requests and parts of prompts that are quarantined because
// brittle replicas terminated under their load, and against brittle replicas that no request is blamed for.
func TestOverrunReplicaIsKnownToAll(t *testing.T) {
	b, peer := routing.NewBrittleServices(), routing.NewBrittleServices()
	overran := routing.NewReplica(routing.Replica{ID: "i-1", Service: "s"})
	crashed := routing.NewReplica(routing.Replica{ID: "i-2", Service: "s"})
	b.RecordRejection(&overran, brittleAt(0.5))
	if b.Overran(overran.LoadKey(), brittleAt(0.6)) {
		t.Error("a replica that is not brittle counts as overrun")
	}
	b.Record("s", 2, brittleAt(1))
	for i := range 100 {
		b.RecordRejection(&overran, brittleAt(1+float64(i)/200))
	}
	reports := b.TakeReports(100, brittleAt(1.5))
	if len(reports) != 3 || reports[0].Rejecting != 0 {
		t.Errorf("reports %+v, want the service and two rejections of one replica in half a second", reports)
	}
	peer.Observe(reports, brittleAt(1.5))
	for name, known := range map[string]*routing.BrittleServices{"the daemon that was rejected": b, "another daemon": peer} {
		if !known.Overran(overran.LoadKey(), brittleAt(1.6)) || !known.Overran(overran.LoadKey(), brittleAt(2.5)) {
			t.Errorf("%s does not know that the replica was overrun", name)
		}
		if known.Overran(overran.LoadKey(), brittleAt(3.2)) || known.Overran(crashed.LoadKey(), brittleAt(1.6)) {
			t.Errorf("%s takes a crash for a termination under load", name)
		}
	}
	crashes := routing.NewCrashes()
	for i, at := range []float64{1.6, 1.7, 1.8} {
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(rune('a' + i)), Service: "s"})
		b.RecordRejection(&r, brittleAt(at))
		crashes.ReportCrash(7, "w", &r, brittleAt(at))
	}
	if !crashes.Quarantined(7, brittleAt(2)) {
		t.Fatal("want a request that met three terminations to be quarantined before the rejections are known")
	}
	crashes.Disprove(b.Overran)
	if crashes.Quarantined(7, brittleAt(2)) {
		t.Error("the request stays quarantined although the replicas were overrun")
	}
}
