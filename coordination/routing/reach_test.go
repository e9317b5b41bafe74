package routing_test

import (
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// reachReplica returns the n-th replica of service s.
func reachReplica(n int) *routing.Replica {
	r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint("r", n)), Service: "s"})
	return &r
}

const reachTick = 200 * time.Millisecond

// TestLostLinksAreToldFromLostReplicas guards against a daemon that takes its own lost links for the
// end of all replicas, and against one that takes the end of a replica for lost links.
func TestLostLinksAreToldFromLostReplicas(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name     string
		replicas int
		play     func(r *routing.Reach)
		want     routing.LinkState
	}{
		{"no connection to one replica of several", 5, func(r *routing.Reach) {
			for ms := range 10 {
				r.Failed(reachReplica(1), 5, at(100*ms))
			}
		}, routing.LinksUp},
		{"none to two", 5, func(r *routing.Reach) {
			r.Failed(reachReplica(1), 5, at(0))
			r.Failed(reachReplica(2), 5, at(10))
		}, routing.LinksSuspect},
		{"none to the only replica", 1, func(r *routing.Reach) { r.Failed(reachReplica(1), 1, at(0)) }, routing.LinksSuspect},
		{"none to two, a while apart", 5, func(r *routing.Reach) {
			r.Failed(reachReplica(1), 5, at(0))
			r.Failed(reachReplica(2), 5, at(2100))
		}, routing.LinksUp},
		{"none to two, a response on a new connection between", 5, func(r *routing.Reach) {
			r.Failed(reachReplica(1), 5, at(0))
			r.Arrived("s", true, at(5))
			r.Failed(reachReplica(2), 5, at(10))
		}, routing.LinksUp},
		{"none to two, while connections that are open work", 5, func(r *routing.Reach) {
			r.Failed(reachReplica(1), 5, at(0))
			r.Arrived("s", false, at(5))
			r.Failed(reachReplica(2), 5, at(10))
		}, routing.LinksSuspect},
		{"two silent, nothing arrived since", 5, func(r *routing.Reach) {
			r.Arrived("s", false, at(0))
			r.Silent(reachReplica(1), 5, at(10), at(300))
			r.Silent(reachReplica(2), 5, at(20), at(310))
		}, routing.LinksSuspect},
		{"two silent, another responded since", 5, func(r *routing.Reach) {
			r.Arrived("s", false, at(100))
			r.Silent(reachReplica(1), 5, at(10), at(300))
			r.Silent(reachReplica(2), 5, at(20), at(310))
		}, routing.LinksUp},
		{"nothing arrives for 0.8 s though two owe a response", 5, func(r *routing.Reach) {
			r.Begin(reachReplica(1), 5)
			r.Begin(reachReplica(2), 5)
			for range 4 {
				r.Tick(at(800))
			}
		}, routing.LinksSuspect},
		{"the same, but one of them sends events", 5, func(r *routing.Reach) {
			r.Begin(reachReplica(1), 5)
			r.Begin(reachReplica(2), 5)
			for range 20 {
				r.Arrived("s", false, at(0))
				r.Tick(at(800))
			}
		}, routing.LinksUp},
		{"one replica is silent for a second", 5, func(r *routing.Reach) {
			r.Begin(reachReplica(1), 5)
			for range 5 {
				r.Tick(at(1000))
			}
		}, routing.LinksUp},
		{"the process was paused for 5 s", 5, func(r *routing.Reach) {
			r.Begin(reachReplica(1), 5)
			r.Begin(reachReplica(2), 5)
			r.Tick(at(200))
			r.Tick(at(5200))
			r.Arrived("s", false, at(5201))
			r.Tick(at(5400))
		}, routing.LinksUp},
	} {
		r := routing.NewReach()
		c.play(r)
		if got := r.State("s"); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
}

// TestProbesDecideAboutLostLinks guards against a detour for a false alarm, and against one that ends
// with the first packet that gets through.
func TestProbesDecideAboutLostLinks(t *testing.T) {
	now := epoch
	r := routing.NewReach()
	suspect := func() {
		r.Failed(reachReplica(1), 5, now)
		r.Failed(reachReplica(2), 5, now)
	}
	probed := func(reached bool, want routing.LinkState) {
		t.Helper()
		now = now.Add(routing.ProbeInterval)
		if r.Probed("s", reached, now); r.State("s") != want {
			t.Errorf("state %d after a round that reached a replica: %t, want %d", r.State("s"), reached, want)
		}
	}
	suspect()
	waiting := r.Probing("s")
	probed(true, routing.LinksUp) // false alarm
	select {
	case <-waiting:
	default:
		t.Error("requests still wait for the first probes")
	}
	if r.Probing("s") != nil {
		t.Error("requests wait for probes while the links are up")
	}
	suspect()
	probed(false, routing.LinksDown)
	probed(true, routing.LinksDown)
	probed(false, routing.LinksDown)
	probed(true, routing.LinksDown)
	probed(true, routing.LinksUp)
	if r.MayReuse("s", now.Add(-time.Second)) {
		t.Error("a connection that was idle while the links were down may be used")
	}
	if !r.MayReuse("s", now.Add(time.Millisecond)) {
		t.Error("a connection of afterwards may not be used")
	}
	suspect()
	probed(false, routing.LinksDown)
	if r.Arrived("s", true, now); r.State("s") != routing.LinksUp {
		t.Error("a response on a new connection does not end the loss")
	}
}

// TestFalseAlarmsBySilenceBecomeRare guards against a service that is slow by nature and whose
// replicas are probed over and over.
func TestFalseAlarmsBySilenceBecomeRare(t *testing.T) {
	r, alarms := routing.NewReach(), 0
	r.Begin(reachReplica(1), 5)
	r.Begin(reachReplica(2), 5)
	const minute = int(time.Minute / reachTick)
	for range minute {
		if len(r.Tick(epoch)) > 0 {
			alarms++
			r.Probed("s", true, epoch)
		}
	}
	if alarms > 9 {
		t.Errorf("%d alarms in a minute, want 9 at most", alarms)
	}
}

// TestProbesReachOtherFailureDomains guards against links between failure domains that are taken for this
// daemon's own: where replicas of the own domain respond, only the others are cut off.
func TestProbesReachOtherFailureDomains(t *testing.T) {
	pool := &routing.Pool{}
	for i, domain := range []state.FailureDomain{"a", "b", "b", "b", "b", "b", "c", "c"} {
		r := reachReplica(i)
		r.Domain = domain
		pool.Ready = append(pool.Ready, *r)
	}
	for range 50 {
		got := make(map[state.FailureDomain]int)
		for _, r := range routing.ProbeTargets(pool, "a") {
			got[r.Domain]++
		}
		if len(got) != 3 || got["a"] != 1 {
			t.Fatalf("probes %v, want one replica in each domain", got)
		}
	}
	if got := routing.ProbeTargets(&routing.Pool{Ready: pool.Ready[1:3]}, "a"); len(got) != 2 {
		t.Errorf("%d probes of two replicas in one domain, want both", len(got))
	}
}
