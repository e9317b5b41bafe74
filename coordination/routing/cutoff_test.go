package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// cutOffFleet is a daemon of z0 for which only replicas of z2 are left, of whose daemons it has heard
// nothing since the epoch. Times are since then.
type cutOffFleet struct{ *fleet }

func newCutOffFleet(t *testing.T, replicas int) cutOffFleet {
	RegisterTestingT(t)
	domains := make([]string, replicas)
	for i := range domains {
		domains[i] = "z2"
	}
	f := cutOffFleet{newFleet("gate", domains...)}
	f.pool.Sort()
	f.placer.Health.ObserveDomains(map[state.FailureDomain]time.Time{"z2": epoch}, routing.DomainTimeout)
	return f
}

func (f cutOffFleet) report(replica int, result routing.Result, after time.Duration) {
	f.placer.Health.Report(&f.pool.Ready[replica], result, epoch.Add(after))
}

// expectRefusal checks whether a request is refused for want of a replica.
func (f cutOffFleet) expectRefusal(t *testing.T, want bool, after time.Duration, why string) {
	t.Helper()
	r := &routing.Request{ID: routing.RequestID(fmt.Sprint(after)), Service: "gate"}
	if _, ok := f.placer.Choose(f.view, r, routing.Tried{}, epoch.Add(after)); ok == want {
		t.Errorf("after %v: refused %t, want %t: %s", after, !ok, want, why)
	}
}

// TestResponsesOfACutOffDomainAreNotConnectionFailures guards against a daemon that refuses all requests that
// only a domain without heartbeats can serve, because a replica there was ejected although it can be reached:
// it is slow, full, or responds with errors. The domain's only daemon may be paused.
func TestResponsesOfACutOffDomainAreNotConnectionFailures(t *testing.T) {
	const ejectingFailures = 4
	for _, result := range []routing.Result{routing.ResultSilent, routing.ResultRefused, routing.ResultFailed, routing.ResultBroken} {
		f := newCutOffFleet(t, 1)
		for range ejectingFailures {
			f.report(0, result, time.Second)
		}
		if f.placer.Health.Usable(&f.pool.Ready[0], epoch) {
			t.Fatalf("%v: the replica is not ejected, so that the test shows nothing", result)
		}
		for after := time.Second; after < 2*time.Second; after += 50 * time.Millisecond {
			f.expectRefusal(t, false, after, fmt.Sprintf("%v does not say that a connection failed", result))
		}
	}
}

// TestResponsesShowThatACutOffDomainIsReachable guards against a daemon that refuses what a live replica could
// serve, because a connection to another replica of a domain without heartbeats failed: that one has crashed.
func TestResponsesShowThatACutOffDomainIsReachable(t *testing.T) {
	for _, result := range []routing.Result{routing.ResultGood, routing.ResultRefused, routing.ResultFailed} {
		f := newCutOffFleet(t, 2)
		f.report(1, result, 900*time.Millisecond)
		f.report(0, routing.ResultUnreachable, time.Second)
		f.expectRefusal(t, false, 1100*time.Millisecond, fmt.Sprintf("another replica responded before the connection failed (%v)", result))

		f = newCutOffFleet(t, 2)
		f.report(1, result, 100*time.Millisecond)
		f.report(0, routing.ResultUnreachable, time.Second)
		f.expectRefusal(t, true, 1100*time.Millisecond, "the response is older than the domain timeout")
		f.report(1, result, 1200*time.Millisecond)
		f.expectRefusal(t, false, 1250*time.Millisecond, fmt.Sprintf("another replica has responded since (%v)", result))
	}
}

// TestFailedConnectionToAnEjectedReplicaCounts guards against requests that wait for connections across a cut:
// the replica was ejected for its silence on an open connection before a new one failed.
func TestFailedConnectionToAnEjectedReplicaCounts(t *testing.T) {
	f := newCutOffFleet(t, 1)
	f.report(0, routing.ResultSilent, time.Second)
	f.report(0, routing.ResultUnreachable, 1200*time.Millisecond)
	f.expectRefusal(t, true, 1300*time.Millisecond, "a connection failed")
	f.expectRefusal(t, false, 2*time.Second, "the ejection is over")
}
