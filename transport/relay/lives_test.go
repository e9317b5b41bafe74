package relay_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Seen: callers of a small service were refused for seconds, by daemons that sent nothing
// anywhere, although all its replicas lived.
// How it came about: a failure domain was cut off from the others by links that refuse. On each
// side the replicas of the other one break answers off and refuse connections, as replicas do
// that end. When the cut had healed, both sides heard of the ends that the other had seen.
// Cause: an end that is heard of is believed for 10 s, whatever the daemon knows better.
// Proved by: lines of one such cut. Daemons of both sides take replicas for ended that answer
// daemons of the other side without a break; 45 refusals stand beside 49 answers of one replica
// in the same second.
func TestReplicaThatIsSaidToHaveEndedAndAnswersIsUsed(t *testing.T) {
	RegisterTestingT(t)
	answered := make(chan struct{})
	r := startReplica("r", func(a *arrival) bool {
		if string(a.body) == "slow" {
			<-answered
		}
		return good(a)
	})
	t.Cleanup(func() { r.end() })
	w := newWorld(once, r)
	w.serve(w.call("first", "POST", "x")) // opens the connection
	time.Sleep(time.Second)
	var slow sync.WaitGroup
	slow.Go(func() { w.serve(w.call("slow", "POST", "slow")) })
	Eventually(r.count).Should(Equal(2))
	w.relay.Placer.Health.ReportTerminations([]routing.CrashReport{{Content: 5, Replica: r.LoadKey(), Age: 100 * time.Millisecond}}, time.Now())
	close(answered)
	slow.Wait()
	for _, id := range []string{"a", "b", "c"} {
		if to, _ := w.serve(w.call(id, "POST", "x")); to.status != 200 {
			t.Errorf("request %s: status %d and %#v, want 200: the replica has answered since on a connection from before", id, to.status, to.refusal)
		}
	}
	if n := r.connections(); n != 1 {
		t.Errorf("%d connections, want the one that proves that it lives", n)
	}
}

// TestOpenConnectionsProveThatAReplicaLives asks for the oldest idle connection that is open.
func TestOpenConnectionsProveThatAReplicaLives(t *testing.T) {
	RegisterTestingT(t)
	r := startReplica("r", good)
	t.Cleanup(func() { r.end() })
	w := newWorld(once, r)
	before := time.Now()
	if _, ok := w.relay.Pool.OpenSince(r.Incarnation()); ok {
		t.Error("one is open before the first request")
	}
	w.serve(w.call("a", "POST", "x"))
	opened, ok := w.relay.Pool.OpenSince(r.Incarnation())
	if !ok || opened.Before(before) || opened.After(time.Now()) {
		t.Errorf("opened at %v, %t", opened, ok)
	}
	if w.serve(w.call("b", "POST", "x")); r.connections() != 1 {
		t.Error("the connection was not used again")
	}
	r.end()
	Eventually(func() bool { _, ok := w.relay.Pool.OpenSince(r.Incarnation()); return ok }).Should(BeFalse())
}
