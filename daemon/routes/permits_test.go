package routes

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/relay"
)

// fakePermitDaemon records calls and returns scripted effects.
type fakePermitDaemon struct {
	brittle   []string          // as they were set
	askedAt   []routing.LoadKey // single replicas
	saturated map[routing.ServiceName]bool
	replicas  map[routing.ServiceName][]admission.Replica
	members   []membership.Member
	daemons   int
	evidence  admission.RosterEvidence
	asks      []admission.Ask
	withdrawn []admission.PermitID
	finished  []admission.Finished
	requests  []*admission.PermitRequest
	replies   []*admission.PermitReply
	effects   []admission.Effect
	due       time.Time
	calls     int
	leaving   bool
}

var _ permitDaemon = (*fakePermitDaemon)(nil)

func (d *fakePermitDaemon) SetRosterEvidence(e admission.RosterEvidence) { d.evidence = e }

func (d *fakePermitDaemon) SetMembers(live []membership.Member, daemons int, _ time.Time) {
	d.members, d.daemons = live, daemons
	d.calls++
}

func (d *fakePermitDaemon) SetLeaving() { d.leaving = true }

func (d *fakePermitDaemon) SetBrittle(s routing.ServiceName, on bool, limit int, _ time.Time) {
	d.brittle = append(d.brittle, fmt.Sprint(s, " ", on, " ", limit))
	d.saturated[s] = on && d.replicas[s] != nil
}

func (d *fakePermitDaemon) SetReplica(routing.ServiceName, admission.Replica) {}

func (d *fakePermitDaemon) AskAt(_ routing.ServiceName, key routing.LoadKey, a admission.Ask, _ bool, _ uint16, _ time.Time) {
	d.askedAt = append(d.askedAt, key)
}

func (d *fakePermitDaemon) WithdrawAt(routing.ServiceName, routing.LoadKey, admission.PermitID, time.Time) {
}

func (d *fakePermitDaemon) FinishAt(routing.ServiceName, routing.LoadKey, admission.Finished, time.Time) {
}

func (d *fakePermitDaemon) SetReplicas(s routing.ServiceName, list []admission.Replica, _ time.Time) {
	d.replicas[s] = list
	d.calls++
}

func (d *fakePermitDaemon) ReportSaturated(s routing.ServiceName, _ time.Time) bool {
	isNew := !d.saturated[s]
	d.saturated[s] = true
	return isNew
}

func (d *fakePermitDaemon) Saturated(s routing.ServiceName, _ time.Time) bool { return d.saturated[s] }

func (d *fakePermitDaemon) SaturatedServices(time.Time) []routing.ServiceName {
	var out []routing.ServiceName
	for s, is := range d.saturated {
		if is {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

func (d *fakePermitDaemon) Ask(_ routing.ServiceName, a admission.Ask, _ time.Time) {
	d.asks = append(d.asks, a)
}

func (d *fakePermitDaemon) Withdraw(_ routing.ServiceName, id admission.PermitID, _ time.Time) {
	d.withdrawn = append(d.withdrawn, id)
}

func (d *fakePermitDaemon) Finish(_ routing.ServiceName, f admission.Finished, _ time.Time) {
	d.finished = append(d.finished, f)
}

func (d *fakePermitDaemon) SetUnpermitted(routing.ServiceName, []routing.LoadCount) {}

func (d *fakePermitDaemon) ReceiveRequest(r *admission.PermitRequest, _ time.Time) {
	d.requests = append(d.requests, r)
}

func (d *fakePermitDaemon) ReceiveReply(r *admission.PermitReply, _ time.Time) {
	d.replies = append(d.replies, r)
}

func (d *fakePermitDaemon) Tick(time.Time) { d.calls++ }

func (d *fakePermitDaemon) Due() (time.Time, bool) { return d.due, !d.due.IsZero() }

func (d *fakePermitDaemon) Take(time.Time) []admission.Effect {
	out := d.effects
	d.effects = nil
	return out
}

func (d *fakePermitDaemon) Status(time.Time) []admission.ServiceStatus { return nil }

// permitFixture is a control loop whose permits are decided by a fake.
type permitFixture struct {
	*control
	fake *fakePermitDaemon
	log  *bytes.Buffer
	sent map[membership.Address][][]byte
	now  time.Time
}

// newPermitFixture returns a control loop with a plain service "s" of three replicas and another one,
// "other", whose routes have a target, and further services that can't have a coordinator.
func newPermitFixture(t testing.TB) *permitFixture {
	f := &permitFixture{log: &bytes.Buffer{}, sent: make(map[membership.Address][][]byte), now: time.Unix(1_000_000, 0)}
	l := newLog(f.log, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	f.control = newTestControl(l, fakeDocuments{})
	f.fake = &fakePermitDaemon{saturated: make(map[routing.ServiceName]bool), replicas: make(map[routing.ServiceName][]admission.Replica)}
	f.permits.daemon = f.fake
	f.permits.gate.control = f.control
	f.events = make(chan event, eventQueue)
	f.heartbeats.send = func(to membership.Address, payload []byte) { f.sent[to] = append(f.sent[to], slices.Clone(payload)) }
	c := routing.Config{Services: []routing.Service{{Name: "model", Generates: true}}}
	v := &routing.View{Pools: make(map[routing.ServiceName]*routing.Pool), Daemons: 2}
	for _, s := range []struct {
		name            routing.ServiceName
		replicas, slots int
		target          time.Duration
	}{
		{"s", 3, 6, 120 * time.Millisecond},
		{"model", 3, 6, 120 * time.Millisecond},
		{"other", 1, 6, 120 * time.Millisecond},
		{"large", admission.MaxReplicas + 1, 6, 120 * time.Millisecond},
		{"no-slots", 3, 0, 120 * time.Millisecond},
		{"no-target", 3, 6, 0},
	} {
		c.Routes = append(c.Routes, routing.Route{
			Name: string(s.name), Prefix: "/" + string(s.name) + "/", FirstByteTarget: s.target, Priority: 3,
			Shares: []routing.Share{{Service: s.name, Weight: 1}},
		})
		p := &routing.Pool{}
		for i := range s.replicas {
			p.Ready = append(p.Ready, routing.NewReplica(routing.Replica{
				ID: routing.ReplicaID(fmt.Sprint(s.name, i)), Service: s.name, Slots: s.slots, Domain: state.FailureDomain(fmt.Sprint("z", i)),
			}))
		}
		p.Sort()
		v.Pools[s.name] = p
	}
	var err error
	if v.Table, err = routing.NewTable(&c); err != nil {
		t.Fatal(err)
	}
	f.view.Store(v)
	return f
}

func (f *permitFixture) post(e event) { f.handle(context.Background(), e, f.now) }

// need posts that a request of a service needs a permit.
func (f *permitFixture) need(s routing.ServiceName) *permitAsk {
	route, _ := f.view.Load().Table.Match("", "/"+string(s)+"/")
	c := &relay.Call{Request: routing.Request{ID: "r", Route: route, Service: s, Arrived: f.now.Add(-20 * time.Millisecond), Deadline: f.now.Add(2 * time.Second)}}
	c.Workspace, c.WorkspacePriority = "w", 2
	a := &permitAsk{call: c, tried: []routing.LoadKey{7}, reply: make(chan relay.Permit, 1)}
	f.post(permitNeeded{a})
	return a
}

// decide has the fake decide an ask at the next event.
func (f *permitFixture) decide(d admission.Decision) {
	f.fake.effects = append(f.fake.effects, admission.Decided{Service: "s", Decision: d, Coordinator: "10.0.0.9:1", Waited: 5 * time.Millisecond})
	f.permitsDue(f.now)
}

func reply(t *testing.T, a *permitAsk) relay.Permit {
	t.Helper()
	select {
	case p := <-a.reply:
		return p
	default:
		t.Fatal("the request waits")
		return nil
	}
}

// TestPermitsReachTheirRequests guards against asks with wrong fields, and decisions that get lost.
func TestPermitsReachTheirRequests(t *testing.T) {
	f := newPermitFixture(t)
	if p := reply(t, f.need("s")); p != (relay.PermitDirect{}) {
		t.Fatalf("%v while the service is not saturated", p)
	}
	f.post(saturationObserved{"s"})
	if !f.permits.gate.Needed("s") || f.permits.gate.Needed("model") {
		t.Fatal("the saturated service needs no permits, or another one does")
	}
	granted, refused := f.need("s"), f.need("s")
	want := admission.Ask{
		ID: 1, Urgency: admission.NewUrgency(2, 3), Workspace: admission.NewWorkspaceKey("w"),
		UntilTarget: 100 * time.Millisecond, UntilDeadline: 2 * time.Second, Tried: []routing.LoadKey{7},
	}
	if got := f.fake.asks[0]; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("asked %+v, want %+v", got, want)
	}
	f.decide(admission.Granted{ID: granted.id, Replica: 9})
	if p := reply(t, granted); p != (relay.PermitGranted{Service: "s", ID: granted.id, Replica: 9}) {
		t.Errorf("got %v", p)
	}
	f.decide(admission.Refused{ID: refused.id, RetryAfter: 130 * time.Millisecond})
	if p := reply(t, refused); p != (relay.PermitRefused{RetryAfter: 130 * time.Millisecond}) {
		t.Errorf("got %v", p)
	}
	done := admission.Finished{ID: granted.id, Took: time.Millisecond, Result: admission.Completed}
	f.post(permitDone{service: "s", finished: done})
	if !slices.Equal(f.fake.finished, []admission.Finished{done}) || len(f.permits.asks) != 0 {
		t.Errorf("finished %v, %d asks left", f.fake.finished, len(f.permits.asks))
	}
	m := f.control.log.metrics
	if m.PermitsAsked.Count() != 2 || m.PermitsGranted.Count() != 1 || m.PermitsRefused.Count() != 1 || m.PermitWait.Max() != 5 {
		t.Errorf("asked %d, granted %d, refused %d, waited %d", m.PermitsAsked.Count(), m.PermitsGranted.Count(), m.PermitsRefused.Count(), m.PermitWait.Max())
	}
}

// TestPermitsOfGoneCallersAreGivenBack guards against permits that stay out because their caller has
// disconnected: before the decision, or at the same time.
func TestPermitsOfGoneCallersAreGivenBack(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	waiting := f.need("s")
	f.post(permitWithdrawn{waiting})
	f.post(permitWithdrawn{waiting})
	if !slices.Equal(f.fake.withdrawn, []admission.PermitID{waiting.id}) || len(f.fake.finished) != 0 {
		t.Errorf("withdrawn %v, finished %v", f.fake.withdrawn, f.fake.finished)
	}
	granted := f.need("s")
	f.decide(admission.Granted{ID: granted.id})
	f.post(permitWithdrawn{granted})
	f.decide(admission.Granted{ID: 77}) // of an ask that was withdrawn
	want := []admission.Finished{{ID: granted.id, Result: admission.Abandoned}, {ID: 77, Result: admission.Abandoned}}
	if !slices.Equal(f.fake.finished, want) || len(f.permits.asks) != 0 {
		t.Errorf("finished %v, want %v; %d asks left", f.fake.finished, want, len(f.permits.asks))
	}
	f.post(permitWithdrawn{&permitAsk{call: waiting.call}}) // whose event was not posted in time
}

// TestCallerThatDisconnectsEndsTheWait guards against a request that waits for a permit although
// nobody waits for it.
func TestCallerThatDisconnectsEndsTheWait(t *testing.T) {
	f := newPermitFixture(t)
	ctx, disconnect := context.WithCancel(context.Background())
	c := &relay.Call{Request: routing.Request{Service: "s", Deadline: time.Now().Add(time.Hour)}}
	result := make(chan relay.Permit)
	go func() { result <- f.permits.gate.Acquire(ctx, c, nil) }()
	asked := (<-f.events).(permitNeeded)
	disconnect()
	if p := <-result; p != (relay.PermitExpired{}) {
		t.Errorf("got %v", p)
	}
	if e := (<-f.events).(permitWithdrawn); e.ask != asked.ask {
		t.Error("another ask is withdrawn")
	}
}

// TestPermitsEndWithTheControlLoop guards against requests that never end because the daemon stops.
func TestPermitsEndWithTheControlLoop(t *testing.T) {
	f := newPermitFixture(t)
	f.events = nil // nothing is taken
	close(f.ended)
	f.permits.gate.Release(relay.PermitGranted{Service: "s", ID: 1}, time.Second, admission.Completed)
}

// TestOtherServicesNeedNoPermits guards against permits for services that can't have a coordinator.
func TestOtherServicesNeedNoPermits(t *testing.T) {
	f := newPermitFixture(t)
	for _, s := range []routing.ServiceName{"model", "large", "no-slots", "no-target", "unknown"} {
		f.post(saturationObserved{s})
		f.post(saturationsReceived{[]routing.ServiceName{s}})
		f.post(permitRequestReceived{&admission.PermitRequest{Service: s}})
		if f.permits.gate.Needed(s) || f.fake.saturated[s] || f.fake.replicas[s] != nil {
			t.Errorf("%s may need permits", s)
		}
	}
	if len(f.fake.requests) != 0 || len(f.permits.services) != 0 || len(f.sent) != 0 {
		t.Errorf("%d requests processed, %d services, %d messages", len(f.fake.requests), len(f.permits.services), len(f.sent))
	}
	f.permits.gate.ReportSaturated("model")
	if len(f.events) != 0 {
		t.Error("a service with a model is reported as saturated")
	}
}

// TestWaitsEndWhenAServiceCanHaveNoCoordinator guards against requests that wait for a decision that
// nobody makes: the replicas of the service have gone, or a new configuration has no target.
func TestWaitsEndWhenAServiceCanHaveNoCoordinator(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	a := f.need("s")
	f.view.Store(&routing.View{Table: f.view.Load().Table, Pools: map[routing.ServiceName]*routing.Pool{}})
	f.tickPermits(f.now)
	if p := reply(t, a); p != (relay.PermitDirect{}) {
		t.Errorf("got %v", p)
	}
	if f.permits.gate.Needed("s") || f.fake.replicas["s"] != nil {
		t.Error("the service still needs permits")
	}
}

// TestReplicasOfPermitsAreUpToDate guards against permits for replicas that get no requests: the
// replicas are updated before each use and while a service is saturated.
func TestReplicasOfPermitsAreUpToDate(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	if n := len(f.fake.replicas["s"]); n != 3 {
		t.Fatalf("%d replicas", n)
	}
	r := f.view.Load().Pool("s").Ready
	f.departures.RecordAnnounced(&r[0], f.now)
	f.post(permitRequestReceived{&admission.PermitRequest{Service: "s"}})
	want := []admission.Replica{{Key: r[1].LoadKey(), Domain: "z1", Slots: 6}, {Key: r[2].LoadKey(), Domain: "z2", Slots: 6}}
	if got := f.fake.replicas["s"]; !slices.Equal(got, want) || len(f.fake.requests) != 1 {
		t.Errorf("replicas %v, want %v; %d requests", got, want, len(f.fake.requests))
	}
	f.departures.RecordAnnounced(&r[1], f.now)
	f.permitsDue(f.now)
	if got := f.fake.replicas["s"]; !slices.Equal(got, want[1:]) {
		t.Errorf("replicas %v after a tick", got)
	}
}

// TestOnlyUsableMembersCoordinate guards against coordinators that can't be reached.
func TestOnlyUsableMembersCoordinate(t *testing.T) {
	f := newPermitFixture(t)
	f.domain = "z0"
	f.roster.Observe([]membership.Member{
		{Address: "10.0.0.2:1", Domain: "z0", Incarnation: 1, Heartbeats: 1},
		{Address: "10.0.0.3:1", Domain: "z0", Incarnation: 1, Heartbeats: 1, Leaving: true},
	}, f.now)
	f.roster.Observe([]membership.Member{{Address: "10.0.0.4:1", Domain: "z1", Incarnation: 1, Heartbeats: 1}}, f.now.Add(-2*time.Second))
	f.observeDomains()
	f.post(saturationObserved{"s"})
	if len(f.fake.members) != 1 || f.fake.members[0].Address != "10.0.0.2:1" || f.fake.daemons != 4 {
		t.Errorf("members %v of %d daemons", f.fake.members, f.fake.daemons)
	}
}

// TestLeavingDaemonDoesNotCoordinateForItself guards against a daemon that grants all places to its own
// requests during its shutdown, while the other daemons ask another coordinator.
func TestLeavingDaemonDoesNotCoordinateForItself(t *testing.T) {
	f := newPermitFixture(t)
	f.post(shutdownStarted{})
	if !f.fake.leaving {
		t.Error("the shutdown is not passed on")
	}
}

// TestSaturationReportsReachAllDaemons guards against daemons that go on sending without permits: a
// report is forwarded once by each daemon, and a daemon that has just started gets the known ones.
func TestSaturationReportsReachAllDaemons(t *testing.T) {
	f := newPermitFixture(t)
	f.roster.Observe([]membership.Member{testMember(2), testMember(3)}, f.now)
	f.post(saturationsReceived{[]routing.ServiceName{"s", "unknown"}})
	f.post(saturationsReceived{[]routing.ServiceName{"s"}})
	for _, m := range []membership.Member{testMember(2), testMember(3)} {
		if n := len(f.sent[m.Address]); n != 1 {
			t.Fatalf("%d messages to %s, want 1", n, m.Address)
		}
		got, err := gossip.DecodeSaturations(f.sent[m.Address][0])
		if err != nil || !slices.Equal(got, []routing.ServiceName{"s"}) {
			t.Errorf("reported %v, %v", got, err)
		}
	}
	f.sendKnownReports("10.0.0.9:1", f.now)
	if n := len(f.sent["10.0.0.9:1"]); n != 1 || !gossip.IsSaturations(f.sent["10.0.0.9:1"][0]) {
		t.Errorf("%d messages to a new daemon", n)
	}
}

// TestPermitMessagesAreSentAndReceived guards against messages that are not passed on.
func TestPermitMessagesAreSentAndReceived(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	request := &admission.PermitRequest{From: "10.0.0.1:1", Service: "s", Sequence: 4}
	answer := &admission.PermitReply{From: "10.0.0.1:1", Service: "s", Answers: 4}
	f.fake.effects = []admission.Effect{
		admission.SendRequest{To: "10.0.0.2:1", Request: request}, admission.SendReply{To: "10.0.0.3:1", Reply: answer},
		admission.CoordinatorSilent{Service: "s", Address: "10.0.0.2:1"}, admission.SaturationEnded{Service: "s"},
	}
	f.permitsDue(f.now)
	for _, payload := range [][]byte{f.sent["10.0.0.2:1"][0], f.sent["10.0.0.3:1"][0]} {
		e, err := decodeDatagram(payload)
		if err != nil {
			t.Fatal(err)
		}
		f.post(e)
	}
	if len(f.fake.requests) != 1 || f.fake.requests[0].Sequence != 4 || len(f.fake.replies) != 1 || f.fake.replies[0].Answers != 4 {
		t.Errorf("received %v and %v", f.fake.requests, f.fake.replies)
	}
	if n := f.control.log.metrics.CoordinatorsSilent.Count(); n != 1 {
		t.Errorf("%d silent coordinators counted", n)
	}
}

// TestPermitsCostNothingWithSpareCapacity guards requirement 10 of the design: no message and no work
// while no service is saturated, and no allocation for a request.
func TestPermitsCostNothingWithSpareCapacity(t *testing.T) {
	f := newPermitFixture(t)
	f.tickPermits(f.now) // learns of the members once
	calls := f.fake.calls
	for range 10 {
		f.now = f.now.Add(heartbeatInterval)
		f.tickPermits(f.now)
	}
	if f.fake.calls != calls || len(f.sent) != 0 {
		t.Errorf("%d calls, %d messages", f.fake.calls-calls, len(f.sent))
	}
	if n := testing.AllocsPerRun(100, func() { f.permits.gate.Needed("s") }); n != 0 {
		t.Errorf("%v allocations for a request", n)
	}
	f.post(saturationObserved{"s"})
	f.fake.saturated["s"] = false
	f.now = f.now.Add(permitServiceRetention + time.Second)
	f.tickPermits(f.now)
	if len(f.permits.services) != 0 || f.permits.gate.Needed("s") {
		t.Error("the service is still in use")
	}
}

// TestHeldPermitsAreReportedAfterSaturation guards against a request that takes longer than its
// service stays known, such as a stream: without messages, its permit would expire at the
// coordinator after 400 ms, and its place would be granted a second time.
func TestHeldPermitsAreReportedAfterSaturation(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	a := f.need("s")
	f.decide(admission.Granted{ID: a.id, Replica: 7})
	f.fake.saturated["s"] = false
	f.now = f.now.Add(permitServiceRetention + time.Second)
	f.tickPermits(f.now)
	before := f.fake.calls
	f.permitsDue(f.now)
	if f.fake.calls == before {
		t.Error("nothing is done when a message about a held permit is due")
	}
	f.post(permitDone{service: "s", finished: admission.Finished{ID: a.id}})
	f.now = f.now.Add(permitServiceRetention + time.Second)
	f.tickPermits(f.now)
	if n := len(f.permits.services); n > 0 {
		t.Errorf("%d services are kept up to date without permits", n)
	}
}

// TestServicesStaySaturatedWhileAnotherOneChanges guards against requests that are sent without a
// permit in the moment in which another service becomes saturated.
func TestServicesStaySaturatedWhileAnotherOneChanges(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	stop, missed := make(chan struct{}), make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				missed <- n
				return
			default:
			}
			if !f.permits.gate.Needed("s") {
				n++
			}
		}
	}()
	for i := range 2000 {
		f.fake.saturated["other"] = i%2 == 0
		f.publishSaturated(f.now)
	}
	close(stop)
	if n := <-missed; n > 0 {
		t.Errorf("the service needed no permits %d times", n)
	}
}

// TestRefusalsAreLoggedWithinLimits guards against a log that is full of refusals, and refusals that
// are not counted.
func TestRefusalsAreLoggedWithinLimits(t *testing.T) {
	f := newPermitFixture(t)
	f.post(saturationObserved{"s"})
	refuse := func() { f.decide(admission.Refused{ID: f.need("s").id, RetryAfter: time.Second}) }
	for range 3 * maxRefusalLines {
		refuse()
	}
	f.now = f.now.Add(time.Second)
	refuse()
	f.control.log.Close()
	lines := strings.Count(f.log.String(), "admission: request refused")
	if lines != maxRefusalLines+1 || !strings.Contains(f.log.String(), `"omitted":20`) {
		t.Errorf("%d lines:\n%s", lines, f.log)
	}
	if n := f.control.log.metrics.PermitsRefused.Count(); n != 3*maxRefusalLines+1 {
		t.Errorf("%d refusals counted", n)
	}
}

// BenchmarkPermitNeeded measures the cost of permits for a request while no service is saturated.
func BenchmarkPermitNeeded(b *testing.B) {
	f := newPermitFixture(b)
	for b.Loop() {
		f.permits.gate.Needed("s")
	}
}

// BenchmarkPermitReplicas measures the update of a service's replicas before each use.
func BenchmarkPermitReplicas(b *testing.B) {
	f := newPermitFixture(b)
	f.post(saturationObserved{"s"})
	for b.Loop() {
		f.setPermitReplicas("s", f.now)
	}
}

// TestStartingDaemonLearnsItsMembersAtOnce guards against a daemon that decides alone for a second after its start, although
// heartbeats have told it who the others are: with one place, it refuses callers while slots are free.
func TestStartingDaemonLearnsItsMembersAtOnce(t *testing.T) {
	f := newPermitFixture(t)
	f.startedAt = f.now
	f.permits.seeds = []membership.Address{"10.0.0.2:1"}
	f.startPermitMembers(f.now)
	if f.fake.daemons != 1 || f.fake.evidence != (admission.RosterEvidence{}) {
		t.Fatalf("%d daemons, %+v at the start, want this one alone, and no evidence", f.fake.daemons, f.fake.evidence)
	}
	heartbeat := func(from membership.Address) {
		f.post(heartbeatReceived{heartbeat: gossip.Heartbeat{Sender: membership.Member{Address: from, Incarnation: 1, Heartbeats: 1}, FleetSize: 2}})
	}
	f.now = f.now.Add(time.Millisecond)
	heartbeat("10.0.0.2:1")
	if f.fake.daemons != 2 || len(f.fake.members) != 1 || !f.fake.evidence.KnowsSeeds {
		t.Errorf("%d daemons, members %v, %+v after a heartbeat of the seed", f.fake.daemons, f.fake.members, f.fake.evidence)
	}
	f.now = f.startedAt.Add(permitStartTime)
	heartbeat("10.0.0.3:1")
	if len(f.fake.members) != 1 {
		t.Errorf("members %v: a heartbeat long after the start costs an update", f.fake.members)
	}
}

// TestRosterEvidence guards against a daemon that takes a part of its fleet for all of it.
func TestRosterEvidence(t *testing.T) {
	const started = membership.Incarnation(1000)
	self := membership.Member{Address: "10.0.0.1:1", Incarnation: started}
	member := func(a membership.Address, i membership.Incarnation) membership.Member {
		return membership.Member{Address: a, Incarnation: i}
	}
	for _, c := range []struct {
		name  string
		seeds []membership.Address
		live  []membership.Member
		want  admission.RosterEvidence
	}{
		{"no seeds, no members", nil, nil, admission.RosterEvidence{Seedless: true, KnowsSeeds: true}},
		{"a seed that is missing", []membership.Address{"s1", "s2"}, []membership.Member{member("s1", started)}, admission.RosterEvidence{}},
		{"all seeds", []membership.Address{"s1", "s2"}, []membership.Member{member("s1", started), member("s2", started+5)}, admission.RosterEvidence{KnowsSeeds: true}},
		{"a member that has run for two seconds", []membership.Address{"s1"}, []membership.Member{member("d", started-20)}, admission.RosterEvidence{KnowsSettled: true}},
		{"one that has run for less", []membership.Address{"s1"}, []membership.Member{member("d", started-19)}, admission.RosterEvidence{}},
	} {
		if got := rosterEvidence(self, c.seeds, c.live); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
