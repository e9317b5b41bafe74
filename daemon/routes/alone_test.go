package routes

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// TestDaemonsThatAreAloneSinceTheirStartShareColdReplicas guards against daemons that reach the store and not each other from
// their start on, take themselves for the whole fleet, and together send a cold replica more than one and a half times its
// rate. The load: each of eight daemons has 20 requests in a second for the only replica, which is cold.
func TestDaemonsThatAreAloneSinceTheirStartShareColdReplicas(t *testing.T) {
	const allowed = 12 // one and a half times the rate in fakeDocuments, and a small constant as in coordination/routing/cold.go
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	var members []membership.Member
	for i := range 8 {
		members = append(members, testMember(i))
	}
	seeds := []membership.Address{members[0].Address, members[1].Address, members[2].Address}
	now := time.Unix(1_000_000, 0)
	var daemons []*control
	for _, m := range members {
		c := newTestControl(l, fakeDocuments{})
		c.heartbeats.send = func(membership.Address, []byte) {}
		c.roster = membership.NewRoster(m, seeds)
		c.cold = routing.NewColdLimiter(routing.PeerID(m.Address))
		c.startedAt = now
		c.planReads(now)
		applyEntries(c, 2, now, map[string]string{"replica-1": ""})
		daemons = append(daemons, c)
	}
	round := 0
	sent := func() (n int) {
		round++
		for i, c := range daemons {
			v := *c.view.Load()
			pool := &routing.Pool{Ready: slices.Clone(v.Pool("s").Ready)}
			pool.Ready[0].ColdUntil = now.Add(time.Minute)
			pool.Sort()
			v.Pools = map[routing.ServiceName]*routing.Pool{"s": pool}
			for k := range 20 {
				r := &routing.Request{ID: routing.RequestID(fmt.Sprint(round, i, k)), Service: "s", Route: &routing.Route{}}
				if _, ok := c.placer().Choose(&v, r, routing.Tried{}, now.Add(time.Duration(k)*40*time.Millisecond)); ok {
					n++
				}
			}
		}
		return n
	}
	tick := func(hears bool) {
		for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(heartbeatInterval) {
			for i, c := range daemons {
				for k := range members {
					if members[k].Heartbeats++; hears && k != i {
						c.receiveHeartbeat(t.Context(), &gossip.Heartbeat{Sender: members[k], FleetSize: len(members), Partial: true}, now)
					}
				}
				c.tick(t.Context(), now)
			}
		}
	}
	tick(false)
	if n := sent(); n > allowed {
		t.Errorf("daemons that are alone send %d requests in a second, want at most %d", n, allowed)
	}
	tick(true)
	if n := sent(); n == 0 || n > allowed {
		t.Errorf("daemons that hear each other send %d requests in a second, want 1 to %d", n, allowed)
	}
}

// TestFailureDomainThatIsAloneSinceItsStartSharesRetries guards against the daemons of a failure domain of a large fleet that
// have never heard of the others, and divide the retries of the whole fleet among themselves.
func TestFailureDomainThatIsAloneSinceItsStartSharesRetries(t *testing.T) {
	const domains, inDomain, each = 6, 155, 10 // retries of each daemon, if all share them
	now := time.Unix(1_000_000, 0)
	var seeds []membership.Address
	for i := range domains {
		seeds = append(seeds, testMember(i*inDomain).Address)
	}
	c := newQuietControl(t)
	c.roster = membership.NewRoster(testMember(1), seeds)
	c.budgets = routing.NewRetryBudgets(routing.RetryRule{Extra: domains * inDomain * each, Window: time.Second}, minAssumedFleet)
	c.planReads(now)
	for i := range inDomain {
		c.receiveHeartbeat(t.Context(), &gossip.Heartbeat{Sender: testMember(i), FleetSize: inDomain, Partial: true}, now)
	}
	n := 0
	for c.budgets.SpendRetry("s", now) {
		n++
	}
	if n == 0 || n > each {
		t.Errorf("spends %d retries, want 1 to %d", n, each)
	}
}
