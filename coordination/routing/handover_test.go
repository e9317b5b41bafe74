package routing_test

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// TestStreamIsNotLeftForAnotherSilentReplica guards against streams that are broken off because a second replica, to which they
// were left, was silent too and then rejected them or never sent anything.
func TestStreamIsNotLeftForAnotherSilentReplica(t *testing.T) {
	sent := time.Unix(1000, 0)
	well := routing.StreamActivity{Streams: 2, HeardAt: sent.Add(50 * time.Millisecond)}
	silent := routing.StreamActivity{Streams: 2, HeardAt: sent.Add(-50 * time.Millisecond)}
	pausing := routing.StreamActivity{Streams: 1, HeardAt: silent.HeardAt}
	for _, c := range []struct {
		name  string
		h     routing.Handover
		keeps bool
	}{
		{"sends events of other streams", routing.Handover{ResponseStarted: true, Second: well}, true},
		{"sends nothing on other streams", routing.Handover{ResponseStarted: true, Second: silent}, false},
		{"was never heard on its streams", routing.Handover{ResponseStarted: true, Second: routing.StreamActivity{Streams: 2}}, false},
		{"has one other stream, which pauses", routing.Handover{ResponseStarted: true, Second: pausing}, true},
		{"has no other streams", routing.Handover{ResponseStarted: true}, true},
		{"has begun to respond", routing.Handover{ResponseStarted: true, SecondResponded: true}, true},
		{"sends nothing, and the caller has nothing", routing.Handover{Second: silent}, true},
	} {
		c.h.Sent = sent
		if got := c.h.SecondKeepsCall(); got != c.keeps {
			t.Errorf("second replica %s: keeps the call: %t, want %t", c.name, got, c.keeps)
		}
	}
}

// TestReturnsGoToReplicasThatMayServeThem guards against a stream that returns to a replica which may get no request, or at which
// its events don't fit together.
func TestReturnsGoToReplicasThatMayServeThem(t *testing.T) {
	now := time.Unix(1000, 0)
	v1 := routing.NewReplica(routing.Replica{ID: "r1", Service: "s", Version: "v1"})
	v2 := routing.NewReplica(routing.Replica{ID: "r2", Service: "s", Version: "v2"})
	same := routing.NewReplica(routing.Replica{ID: "r3", Service: "s", Version: "v1"})
	for _, c := range []struct {
		name   string
		ready  []routing.Replica
		bound  routing.VersionKey
		change func(p *routing.Placer, r *routing.Replica)
		want   bool
	}{
		{"ready", []routing.Replica{v1, same}, 0, nil, true},
		{"ready, of the stream's version", []routing.Replica{v1, v2}, v1.VersionKey(), nil, true},
		{"ready, of another version", []routing.Replica{v1, v2}, v2.VersionKey(), nil, false},
		{"left, or evacuated", []routing.Replica{same}, 0, nil, false},
		{"started again at another version", []routing.Replica{routing.NewReplica(routing.Replica{ID: "r1", Service: "s", Version: "v2"})}, 0, nil, false},
		{"turned cold", []routing.Replica{routing.NewReplica(routing.Replica{ID: "r1", Service: "s", Version: "v1", ColdUntil: now.Add(time.Second)})}, 0, nil, false},
		{"terminated", []routing.Replica{v1}, 0, func(p *routing.Placer, r *routing.Replica) { p.Health.ReportTermination(r, now) }, false},
		{"backs off", []routing.Replica{v1}, 0, func(p *routing.Placer, r *routing.Replica) { p.Backoffs.Record(r, time.Minute, "q", now) }, false},
		{"leaves", []routing.Replica{v1}, 0, func(p *routing.Placer, r *routing.Replica) { p.Departures.RecordAnnounced(r, now) }, false},
	} {
		p := &routing.Placer{Health: routing.NewHealth(), Backoffs: routing.NewBackoffs(), Departures: routing.NewDepartures()}
		pool := &routing.Pool{Ready: c.ready}
		pool.Sort()
		v := &routing.View{Pools: map[routing.ServiceName]*routing.Pool{"s": pool}}
		if c.change != nil {
			c.change(p, &v1)
		}
		if got := p.MayReturnTo(v, &v1, routing.Tried{Version: c.bound}, now); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestNoReturnToReplicasThatTheFleetFindsLost guards against a stream that waits until its deadline at a replica which other
// daemons find silent, or whose domain is cut off. Broken off, its caller could resume it at once.
func TestNoReturnToReplicasThatTheFleetFindsLost(t *testing.T) {
	now := time.Unix(1000, 0)
	first := routing.NewReplica(routing.Replica{ID: "r1", Service: "s", Domain: "a", Version: "v1"})
	pool := &routing.Pool{Ready: []routing.Replica{first}}
	pool.Sort()
	v := &routing.View{Domain: "b", Pools: map[routing.ServiceName]*routing.Pool{"s": pool}}
	for name, change := range map[string]func(h *routing.Health){
		"silent to several daemons": func(h *routing.Health) {
			h.ObserveSilences([]routing.SilenceReport{{Replica: first.LoadKey(), Reporter: 1}, {Replica: first.LoadKey(), Reporter: 2}, {Replica: first.LoadKey(), Reporter: 3}}, now)
		},
		"cut off": func(h *routing.Health) {
			h.ObserveDomains(map[state.FailureDomain]time.Time{"a": now.Add(-10 * time.Second)}, time.Second)
		},
	} {
		p := &routing.Placer{Health: routing.NewHealth()}
		change(p.Health)
		if p.Health.Reachable(&first, now) {
			t.Fatalf("%s: the set-up has no effect", name)
		}
		if p.MayReturnTo(v, &first, routing.Tried{}, now) {
			t.Errorf("%s: returns", name)
		}
	}
}
