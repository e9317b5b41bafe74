package relay_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestResponseDisprovesReportedCrash checks that a crash reported by another daemon is ignored once
// the replica has responded on a connection opened before the reported crash.
//
// It guards against daemons that refuse all requests to a small service for seconds although all
// its replicas are alive. That happened after a failure domain had been cut off by links that
// refuse connections, which looks like a crash of all replicas on the other side. When the
// partition healed, each side reported the crashes that it had observed, and reported crashes were
// assumed for 10 s despite responses to the contrary: 45 refusals in the same second as 49
// responses of one of the replicas.
func TestResponseDisprovesReportedCrash(t *testing.T) {
	RegisterTestingT(t)
	respondSlow := make(chan struct{})
	r := startReplica("r", func(a *receivedRequest) bool {
		if string(a.body) == "slow" {
			<-respondSlow
		}
		return respondOK(a)
	})
	t.Cleanup(func() { r.crash() })
	w := newFixture(atMostOnce, r)
	w.serve(w.call("first", "POST", "x")) // opens the connection that is used again below
	time.Sleep(time.Second)
	var slow sync.WaitGroup
	slow.Go(func() { w.serve(w.call("slow", "POST", "slow")) })
	Eventually(r.count).Should(Equal(2))
	w.relay.Placer.Health.ReportTerminations([]routing.CrashReport{{Content: 5, Replica: r.LoadKey(), Age: 100 * time.Millisecond}}, time.Now())
	close(respondSlow)
	slow.Wait()
	for _, id := range []string{"a", "b", "c"} {
		if to, _ := w.serve(w.call(id, "POST", "x")); to.status != 200 {
			t.Errorf("request %s: status %d and %#v, want 200: the replica has since responded on a connection opened before the reported crash", id, to.status, to.refusal)
		}
	}
	if n := r.connections(); n != 1 {
		t.Errorf("%d connections, want only the one that proves that the replica is alive", n)
	}
}

// TestPoolReportsOldestOpenConnection checks that the pool returns the time at which the oldest idle
// connection was opened, and none after the replica has closed it.
func TestPoolReportsOldestOpenConnection(t *testing.T) {
	RegisterTestingT(t)
	r := startReplica("r", respondOK)
	t.Cleanup(func() { r.crash() })
	w := newFixture(atMostOnce, r)
	before := time.Now()
	if _, ok := w.relay.Pool.OldestOpenConn(r.Incarnation()); ok {
		t.Error("there is an open connection before the first request")
	}
	w.serve(w.call("a", "POST", "x"))
	opened, ok := w.relay.Pool.OldestOpenConn(r.Incarnation())
	if !ok || opened.Before(before) || opened.After(time.Now()) {
		t.Errorf("opened at %v, found %t, want a time since the start of the test", opened, ok)
	}
	if w.serve(w.call("b", "POST", "x")); r.connections() != 1 {
		t.Error("the connection was not reused")
	}
	r.crash()
	Eventually(func() bool { _, ok := w.relay.Pool.OldestOpenConn(r.Incarnation()); return ok }).Should(BeFalse())
}
