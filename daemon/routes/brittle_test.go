package routes

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/transport/relay"
)

// TestBrittleServicesNeedPermits guards against brittle services whose requests need no permits, or none that
// anybody can grant, and against permits that are needed for good.
func TestBrittleServicesNeedPermits(t *testing.T) {
	f := newPermitFixture(t)
	for _, s := range []routing.ServiceName{"s", "model", "large", "no-target"} {
		f.control.brittle.Record(s, 3, f.now)
	}
	f.updateBrittle(f.now)
	gate := f.permits.gate
	for s, atReplica := range map[routing.ServiceName]bool{"s": false, "model": true, "large": true, "no-target": true} {
		if gate.Needed(s) == atReplica || gate.NeededAtReplica(s) != atReplica {
			t.Errorf("%s: needed %t, at single replicas %t, want the latter to be %t", s, gate.Needed(s), gate.NeededAtReplica(s), atReplica)
		}
	}
	if gate.Needed("other") || gate.NeededAtReplica("other") {
		t.Error("a service that is not brittle needs permits")
	}
	for _, s := range []string{"s", "model", "large", "no-target"} {
		if !slices.Contains(f.fake.brittle, s+" true 3") {
			t.Errorf("%s is not brittle for the permits: %v", s, f.fake.brittle)
		}
	}
	f.updateBrittle(f.now)
	if n := f.control.log.metrics.BrittleBegun.Count(); n != 4 {
		t.Errorf("%d lines about four spells", n)
	}
	later := f.now.Add(5 * time.Second)
	for _, s := range []routing.ServiceName{"s", "model", "large", "no-target"} {
		f.control.brittle.RecordOrdinary(s, later, later)
	}
	f.updateBrittle(later)
	for _, s := range []routing.ServiceName{"s", "model", "large", "no-target"} {
		if gate.Needed(s) || gate.NeededAtReplica(s) {
			t.Errorf("%s needs permits after the spell", s)
		}
	}
}

// TestWaitForAReplicaEndsWithTheSpell guards against requests that wait for a permit that nobody grants any more.
func TestWaitForAReplicaEndsWithTheSpell(t *testing.T) {
	f := newPermitFixture(t)
	f.control.brittle.Record("model", 3, f.now)
	f.updateBrittle(f.now)
	r := f.view.Load().Pool("model").Ready[0]
	ask := func() *permitAsk {
		route, _ := f.view.Load().Table.Match("", "/model/")
		c := &relay.Call{Request: routing.Request{ID: "r", Route: route, Service: "model", Arrived: f.now, Deadline: f.now.Add(2 * time.Second)}}
		a := &permitAsk{call: c, replica: &r, mayWait: true, reply: make(chan relay.Permit, 1)}
		f.post(permitNeeded{a})
		return a
	}
	waiting := ask()
	if len(waiting.reply) > 0 || !slices.Equal(f.fake.askedAt, []routing.LoadKey{r.LoadKey()}) {
		t.Fatalf("asked at %v, want the replica that was chosen, and a wait", f.fake.askedAt)
	}
	later := f.now.Add(5 * time.Second)
	f.control.brittle.RecordOrdinary("model", later, later)
	f.updateBrittle(later)
	if _, ok := reply(t, waiting).(relay.PermitDirect); !ok {
		t.Error("the request still needs a permit")
	}
	if _, ok := reply(t, ask()).(relay.PermitDirect); !ok {
		t.Error("a later request needs a permit")
	}
}

// TestCoordinatorOfAReplicaKnowsIt guards against permits for replicas that a daemon does not know, or that belong
// to another service: it does not reply, and others ask another daemon.
func TestCoordinatorOfAReplicaKnowsIt(t *testing.T) {
	f := newPermitFixture(t)
	key := f.view.Load().Pool("model").Ready[0].LoadKey()
	for _, r := range []admission.PermitRequest{
		{From: "10.0.0.2:1", Service: "model", Scope: admission.ReplicaScope(key)},
		{From: "10.0.0.2:1", Service: "model", Scope: admission.ReplicaScope(key + 1)},
		{From: "10.0.0.2:1", Service: "other", Scope: admission.ReplicaScope(key)},
	} {
		f.post(permitRequestReceived{request: &r})
	}
	if len(f.fake.requests) != 1 || f.fake.requests[0].Service != "model" {
		t.Errorf("%d requests reached the coordinators, want the one for a known replica", len(f.fake.requests))
	}
}

// TestDaemonsThatStartLearnOfBrittleServices guards against a daemon that starts in a spell and sends without
// permits until a replica tells it.
func TestDaemonsThatStartLearnOfBrittleServices(t *testing.T) {
	f := newPermitFixture(t)
	f.control.brittle.Record("model", 3, f.now)
	f.sendKnownReports("10.0.0.2:1", f.now)
	for _, payload := range f.sent["10.0.0.2:1"] {
		if !gossip.IsBrittle(payload) {
			continue
		}
		e, err := decodeDatagram(payload)
		if err != nil {
			t.Fatal(err)
		}
		other := newPermitFixture(t)
		other.post(e)
		if !other.permits.gate.NeededAtReplica("model") {
			t.Error("the daemon that started needs no permits")
		}
		return
	}
	t.Error("no report was sent to the daemon that started")
}
