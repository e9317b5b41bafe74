package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// testClient is a daemon whose messages a test answers itself.
type testClient struct {
	*testing.T
	d   *Daemon
	now time.Time
	// first and second are the first coordinators of the service; domain is that of the daemon's
	// own domain while first is silent.
	first, second, domain membership.Address
	sent                  []sentMessage
	effects               []Effect // other than messages
}

// sentMessage is a message with the time at which it was sent.
type sentMessage struct {
	SendRequest
	at time.Duration // since the start of the test
}

// start is when tests with a testClient begin: the daemon has settled.
var start = worldStart.Add(settleFor)

// newTestClient returns a daemon of a fleet of 12 that is not a coordinator, for a saturated service.
func newTestClient(t *testing.T) *testClient {
	w := newWorld(1, 12)
	ranked := w.ranked()
	n := ranked[len(ranked)-1]
	n.d = NewDaemon(n.m)
	n.d.SetReplicas(svc, w.replicas, worldStart)
	a := &testClient{T: t, d: n.d, now: start, first: ranked[0].m.Address, second: ranked[1].m.Address}
	for _, m := range ranked[1:] {
		if m.m.Domain == n.m.Domain {
			a.domain = m.m.Address
			break
		}
	}
	a.setMembers(w.nodes...)
	a.d.SetMembers(a.d.members, 12, worldStart)
	a.d.settled = start
	a.d.ReportSaturated(svc, a.now)
	return a
}

func (a *testClient) setMembers(nodes ...*node) {
	var live []membership.Member
	for _, n := range nodes {
		if n.m.Address != a.d.self.Address {
			live = append(live, n.m)
		}
	}
	a.d.SetMembers(live, 12, a.now)
}

// take takes the daemon's effects.
func (a *testClient) take() {
	for _, e := range a.d.Take(a.now) {
		if m, ok := e.(SendRequest); ok {
			a.sent = append(a.sent, sentMessage{m, a.now.Sub(start)})
			continue
		}
		a.effects = append(a.effects, e)
	}
}

// wait lets time pass, calling the daemon when it wants to be called.
func (a *testClient) wait(d time.Duration) {
	end := a.now.Add(d)
	for {
		at, ok := a.d.Due()
		if !ok || at.After(end) {
			break
		}
		if at.After(a.now) {
			a.now = at
		}
		a.take()
	}
	a.now = end
}

func (a *testClient) ask(id PermitID) {
	a.d.Ask(svc, Ask{ID: id, UntilTarget: ms(150), UntilDeadline: ms(2500)}, a.now)
	a.take()
}

// reply lets a coordinator reply to the last message to it.
func (a *testClient) reply(from membership.Address, saturated bool, list ...Decision) {
	a.Helper()
	for _, m := range slices.Backward(a.sent) {
		if m.To == from {
			a.d.ReceiveReply(&PermitReply{From: from, Incarnation: 1, Answers: m.Request.Sequence, Service: svc,
				Scope: m.Request.Scope, Saturated: saturated, Decisions: list}, a.now)
			a.take()
			return
		}
	}
	a.Fatalf("no message was sent to %s", from)
}

// expectSent checks when messages were sent to an address, and forgets all messages.
func (a *testClient) expectSent(to membership.Address, at ...time.Duration) []*PermitRequest {
	a.Helper()
	var times []time.Duration
	var out []*PermitRequest
	for _, m := range a.sent {
		if m.To == to {
			times, out = append(times, m.at), append(out, m.Request)
		}
	}
	if !slices.Equal(times, at) {
		a.Fatalf("messages were sent at %v, not at %v", times, at)
	}
	return out
}

func (a *testClient) forget() { a.sent, a.effects = nil, nil }

// decisions returns the decisions of the daemon's effects.
func (a *testClient) decisions() []Decision {
	var out []Decision
	for _, e := range a.effects {
		if e, ok := e.(Decided); ok {
			out = append(out, e.Decision)
		}
	}
	return out
}

func (a *testClient) expect(what string, got, want any) {
	a.Helper()
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		a.Errorf("%s: got %+v, want %+v", what, got, want)
	}
}

// Guards against permits for longer or shorter than the saturation lasts.
func TestSaturationLastsTwoSecondsAfterItsCause(t *testing.T) {
	a := newTestClient(t)
	a.expect("new", a.d.ReportSaturated(svc, a.now), false)
	a.wait(ms(1999))
	a.expect("saturated", a.d.Saturated(svc, a.now), true)
	a.expect("saturated", a.d.SaturatedServices(a.now), []routing.ServiceName{svc})
	a.wait(ms(1))
	a.expect("saturated", a.d.Saturated(svc, a.now), false)
	a.expect("saturated", a.d.SaturatedServices(a.now), []routing.ServiceName{})
	a.expect("effects", a.effects, []Effect{SaturationEnded{svc}})
	a.expect("messages", len(a.sent), 0)
	_, due := a.d.Due()
	a.expect("due", due, false)
	a.expect("new", a.d.ReportSaturated(svc, a.now), true)
}

// Guards against a daemon that sends without permits because it asked last two seconds ago, and
// against messages that keep a saturation alive for ever.
func TestSaturationIsRenewedByTheCoordinatorOnly(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Refused{ID: 1, RetryAfter: ms(100)})
	a.forget()
	a.wait(ms(1800))
	a.expect("asks", len(a.expectSent(a.first, ms(1800))[0].Pending), 0)
	a.reply(a.first, true)
	a.wait(ms(1800))
	a.reply(a.first, false)
	a.expect("saturated", a.d.Saturated(svc, a.now), true)
	a.wait(ms(200))
	a.expect("saturated", a.d.Saturated(svc, a.now), false)
	a.wait(5 * time.Second)
	a.expectSent(a.first, ms(1800), ms(3600))
}

// Guards against permits for services that no daemon coordinates.
func TestServicesWithoutACoordinatorNeedNoPermits(t *testing.T) {
	a := newTestClient(t)
	list := make([]Replica, MaxReplicas+1)
	a.d.SetReplicas("large", list, a.now)
	a.expect("large", a.d.ReportSaturated("large", a.now), false)
	a.expect("large", a.d.Saturated("large", a.now), false)
	a.expect("unknown", a.d.ReportSaturated("unknown", a.now), false)
	a.d.SetReplicas("large", list[:MaxReplicas], a.now)
	a.expect("large", a.d.ReportSaturated("large", a.now), true)
	a.d.SetReplicas("large", list, a.now)
	a.expect("large", a.d.Saturated("large", a.now), false)
	a.take()
	a.expect("effects", a.effects, []Effect{SaturationEnded{"large"}})
}

// Guards against allocations on the way of each request.
func TestSaturatedDoesNotAllocate(t *testing.T) {
	a := newTestClient(t)
	if n := testing.AllocsPerRun(100, func() { a.d.Saturated(svc, a.now); a.d.Saturated("other", a.now) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against a lost datagram that delays an ask until its coordinator counts as silent.
func TestAnUnansweredRequestIsRepeatedOnce(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(ms(14.9))
	list := a.expectSent(a.first, 0, ms(7))
	a.expect("ids", []PermitID{list[0].Pending[0].ID, list[1].Pending[0].ID}, []PermitID{1, 1})
	a.expect("time left", list[1].Pending[0].UntilDeadline, ms(2493))
	a.expect("order", list[0].Sequence < list[1].Sequence, true)
	a.expect("effects", len(a.effects), 0)
}

// Guards against a lost datagram that is not repeated because another message came meanwhile.
func TestARequestIsRepeatedWhileOtherMessagesCome(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(ms(10))
	a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 1, Service: svc}, a.now)
	a.wait(ms(14.9))
	a.expectSent(a.first, 0, ms(7), ms(14))
	a.expect("effects", len(a.effects), 0)
	a.wait(ms(0.1))
	a.expect("effects", a.effects, []Effect{CoordinatorSilent{svc, a.first}})
}

// Guards against a daemon that stays silent for others although it asks them for permits.
func TestARequestOfASilentDaemonEndsItsSilence(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(ms(15))
	a.reply(a.domain, true, Granted{1, 1})
	a.wait(ms(1))
	a.d.ReceiveRequest(&PermitRequest{From: a.first, Incarnation: 1, Sequence: 1, Service: svc}, a.now)
	a.forget()
	a.ask(2)
	a.expectSent(a.first, ms(16)) // at once, as the domain's coordinator grants its places once more
}

// Guards against asks that wait for a dead coordinator, for one that is dead too, and against a
// resumed coordinator that is never used again.
func TestASilentCoordinatorIsReplaced(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(ms(15))
	a.expect("effects", a.effects, []Effect{CoordinatorSilent{svc, a.first}})
	r := a.expectSent(a.domain, ms(15))[0]
	a.expect("scope", r.Scope, a.d.self.Domain)
	a.expect("asks", len(r.Pending), 1)
	a.reply(a.domain, true, Granted{1, 1})
	a.expect("decisions", a.decisions(), []Decision{Granted{1, 1}})
	a.d.Finish(svc, Finished{ID: 1}, a.now)
	a.wait(ms(5))
	a.reply(a.domain, true)
	a.forget()

	// The silent one is asked once a second, with the next activity, without asks.
	for i := range 30 {
		a.wait(ms(99))
		a.ask(PermitID(i + 10))
		to := a.domain
		if a.now.Sub(start) >= 3015*time.Millisecond {
			to = a.second
		}
		a.reply(to, true, Refused{ID: PermitID(i + 10)})
	}
	for _, r := range a.expectSent(a.first, ms(1109), ms(2198)) {
		a.expect("asks", len(r.Pending), 0)
	}
	a.forget()

	// After 3 s, the next of the ranking is asked.
	a.wait(ms(50))
	a.ask(50)
	a.expect("asks", len(a.expectSent(a.second, a.now.Sub(start))[0].Pending), 1)
	a.reply(a.second, true, Queued{50})
	a.wait(ms(10))

	// A message of the silent one ends that, once the former permits must have ended.
	a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 1, Service: svc}, a.now)
	a.wait(ms(30))
	a.reply(a.second, true, Queued{50})
	a.wait(ms(40))
	a.reply(a.second, true, Queued{50})
	a.forget()
	a.wait(ms(25))
	switched := ms(3040) + stayFor
	a.expect("asks", len(a.expectSent(a.first, switched)[0].Pending), 1)
	a.expect("asks", len(a.expectSent(a.second, switched)[0].Pending), 0)
}

// Guards against asks that wait longer than 30 ms because both coordinators are silent, and against
// a daemon that takes more than its share.
func TestADaemonDecidesAloneIfItsDomainsCoordinatorIsSilentToo(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.ask(2)
	a.ask(3)
	a.wait(ms(30))
	a.expect("decided", a.effects[2], Decided{Service: svc, Decision: a.decisions()[0],
		Coordinator: a.d.self.Address, Alone: true, Waited: ms(30)})
	a.expect("decisions", len(a.decisions()), 2) // 24 places, 12 daemons
	a.d.Finish(svc, Finished{ID: 1, Took: ms(10), Result: Completed}, a.now)
	a.take()
	a.expect("decisions", len(a.decisions()), 3)
}

// Guards against a fallback to the domain's coordinator in a domain without a replica.
func TestADaemonWithoutReplicasInItsDomainDecidesAlone(t *testing.T) {
	a := newTestClient(t)
	a.d.SetReplicas(svc, []Replica{{Key: 1, Domain: "elsewhere", Slots: 6}}, a.now)
	a.ask(1)
	a.wait(ms(15))
	a.expect("decisions", a.decisions(), []Decision{Granted{1, 1}})
}

// Guards against a coordinator that is found silent because this process was paused.
func TestAPausedProcessFindsNoCoordinatorSilent(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.now = a.now.Add(time.Second)
	a.take()
	a.expect("effects", len(a.effects), 0)
	a.expectSent(a.first, 0, ms(1000))
}

// Guards against messages that are sent too often or too seldom.
func TestWhenMessagesAreSent(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Queued{1})
	a.wait(ms(40))
	a.expectSent(a.first, 0, ms(40))
	a.reply(a.first, true, Granted{1, 2})
	a.wait(ms(100))
	a.expect("held", a.expectSent(a.first, 0, ms(40), ms(140))[2].Held, []PermitID{1})
	a.reply(a.first, true)
	a.forget()
	f := Finished{ID: 1, Took: ms(30), Result: Completed}
	a.d.Finish(svc, f, a.now)
	a.wait(ms(19))
	r := a.expectSent(a.first, ms(141), ms(148), ms(156))
	a.expect("finished", r[0].Finished, []Finished{f})
	a.expect("finished, without an answer", r[1].Finished, []Finished{f})
	a.expect("held", len(r[0].Held), 0)
}

// Guards against a release that costs a message although one is sent anyway.
func TestAReleaseTravelsWithTheNextMessage(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Granted{1, 2})
	a.wait(ms(30))
	a.d.Finish(svc, Finished{ID: 1}, a.now)
	a.wait(releaseAfter / 2)
	a.ask(2)
	a.reply(a.first, true, Refused{ID: 2})
	a.wait(ms(60))
	a.expect("finished", len(a.expectSent(a.first, 0, ms(30)+releaseAfter/2)[1].Finished), 1)
}

// Guards against a coordinator that grants permits for requests that nobody waits for.
func TestAWithdrawnAskIsNoLongerListed(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Queued{1})
	a.wait(ms(10))
	a.d.Withdraw(svc, 1, a.now)
	a.wait(ms(5))
	a.expect("asks", len(a.expectSent(a.first, 0, ms(11))[1].Pending), 0)
	// A grant that is on its way is returned when the coordinator takes it for received.
	a.reply(a.first, true, Granted{1, 1})
	a.forget()
	a.wait(ms(31))
	a.expect("held", len(a.expectSent(a.first, ms(46))[0].Held), 0)
	a.expect("decisions", len(a.decisions()), 0)
}

// Guards against places that are granted a second time because the new coordinator does not know
// of requests in flight.
func TestPermitsOfAFormerCoordinatorAreReported(t *testing.T) {
	a := newTestClient(t)
	a.d.SetUnpermitted(svc, []routing.LoadCount{{Replica: 2, Requests: 1}})
	a.ask(1)
	a.expect("without a permit", a.sent[0].Request.Unpermitted, []routing.LoadCount{{Replica: 2, Requests: 1}})
	a.reply(a.first, true, Granted{1, 2})
	a.wait(ms(120)) // the message at 100 ms is not answered
	all := []routing.LoadCount{{Replica: 2, Requests: 2}}
	a.expectSent(a.domain, ms(115))
	for _, m := range a.sent {
		if m.at < ms(115) {
			continue
		}
		if m.To == a.first {
			a.expect("held", len(m.Request.Held), 0)
			a.expect("without a permit", m.Request.Unpermitted, all)
			continue
		}
		var want []routing.LoadCount
		if a.d.client(svc).replicas[1].Domain == a.d.self.Domain {
			want = all
		}
		a.expect("without a permit in the domain", m.Request.Unpermitted, want)
	}
}

// Guards against permits that a living former coordinator takes for returned, and grants again.
func TestPermitsOfAFormerCoordinatorAreHeldUntilTheyFinish(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Granted{1, 2})
	a.wait(stayFor - ms(1))
	a.now = start.Add(stayFor)
	a.forget()
	live := slices.DeleteFunc(slices.Clone(a.d.members), func(m membership.Member) bool { return m.Address == a.first })
	a.d.SetMembers(live, 12, a.now)
	a.take()
	a.expect("held", a.expectSent(a.first, ms(100))[0].Held, []PermitID{1})
	r := a.expectSent(a.second, ms(100))[0]
	a.expect("without a permit", r.Unpermitted, []routing.LoadCount{{Replica: 2, Requests: 1}})
	a.expect("held", len(r.Held), 0)
}

// Guards against permits of a process that has ended, which its next incarnation does not know.
func TestPermitsOfARestartedCoordinatorAreReported(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Granted{1, 2})
	a.ask(2)
	a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 2, Service: svc,
		Answers: a.sent[1].Request.Sequence, Decisions: []Decision{Queued{2}}}, a.now)
	a.wait(ms(40))
	r := a.sent[2].Request
	a.expect("held", len(r.Held), 0)
	a.expect("without a permit", r.Unpermitted, []routing.LoadCount{{Replica: 2, Requests: 1}})
}

// Guards against two decisions on one ask, and against a refusal by a coordinator that no longer
// counts.
func TestDecisionsOfAFormerCoordinator(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.ask(2)
	a.wait(ms(15))
	a.reply(a.domain, true, Queued{1}, Queued{2})
	a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 1, Service: svc,
		Decisions: []Decision{Refused{ID: 1}, Granted{2, 1}}}, a.now)
	a.take()
	a.expect("decisions", a.decisions(), []Decision{Granted{2, 1}})
	a.reply(a.domain, true, Granted{1, 1}, Granted{2, 2})
	a.expect("decisions", a.decisions(), []Decision{Granted{2, 1}, Granted{1, 1}})
}

// Guards against asks that wait for ever.
func TestAnAskIsRefusedAtItsDeadline(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Queued{1})
	for range 63 {
		a.wait(ms(40))
		if len(a.decisions()) == 0 {
			a.reply(a.first, true, Queued{1})
		}
	}
	a.expect("decisions", a.decisions(), []Decision{Refused{1, minRetryAfter}})
	a.expect("waited", a.effects[0].(Decided).Waited, ms(2500))
}

// Guards against asks that wait for a replica of a service that has none.
func TestAnAskForAServiceWithoutReplicasIsRefused(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.d.SetReplicas(svc, nil, a.now)
	a.take()
	a.expect("decisions", a.decisions(), []Decision{Refused{1, minRetryAfter}})
}

// Guards against an urgent ask behind others that do not fit into a message, and against asks that the
// coordinator never hears of: those that it has not queued are listed first.
func TestAMessageListsTheMostUrgentAsks(t *testing.T) {
	a := newTestClient(t)
	for id := range PermitID(20) {
		a.d.Ask(svc, Ask{ID: id + 1, Urgency: 5, UntilDeadline: time.Second}, a.now)
	}
	a.take()
	queueListed := func() {
		var all []Decision
		for _, ask := range a.sent[len(a.sent)-1].Request.Pending {
			all = append(all, Queued{ask.ID})
		}
		a.reply(a.first, true, all...)
	}
	queueListed()
	queueListed()
	a.d.Ask(svc, Ask{ID: 30, Urgency: 1, UntilDeadline: time.Second}, a.now)
	a.d.Withdraw(svc, 1, a.now)
	a.take()
	list := a.expectSent(a.first, 0, 0, 0)
	ids := func(r *PermitRequest) (out []PermitID) {
		for _, a := range r.Pending {
			out = append(out, a.ID)
		}
		slices.Sort(out)
		return out
	}
	a.expect("ids", ids(list[0]), []PermitID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
	a.expect("ids", ids(list[1]), []PermitID{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 17, 18, 19, 20})
	a.expect("ids", ids(list[2]), []PermitID{2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 30})
}

// Guards against a coordinator without a view of the service that lets others wait for it.
func TestACoordinatorWithoutReplicasDoesNotReply(t *testing.T) {
	a := newTestClient(t)
	r := &PermitRequest{From: a.second, Incarnation: 1, Sequence: 1, Service: svc, Pending: []Ask{{ID: 1, UntilDeadline: time.Second}}}
	a.d.ReceiveRequest(r, a.now)
	a.take()
	a.expect("replies", len(a.effects), 1)
	for _, domain := range []Scope{"d0", "d1", "d2"} {
		a.forget()
		local := *r
		local.Scope = domain
		a.d.ReceiveRequest(&local, a.now)
		a.take()
		a.expect("reply for a domain", len(a.effects), boolToInt(domain == Scope(a.d.self.Domain)))
	}
	a.forget()
	a.d.SetReplicas(svc, nil, a.now)
	again := *r
	again.Sequence++
	a.d.ReceiveRequest(&again, a.now)
	a.take()
	a.wait(ms(50))
	a.expect("effects", a.effects, []Effect{SaturationEnded{svc}})
	unknown := *r
	unknown.Service = "unknown"
	a.d.ReceiveRequest(&unknown, a.now)
	a.take()
	a.expect("effects", len(a.effects), 1)
}

// Guards against a coordinator that sends requests without permits to a service for which it
// grants permits.
func TestACoordinatorsOwnRequestsNeedPermits(t *testing.T) {
	a := newTestClient(t)
	a.wait(3 * time.Second)
	a.expect("saturated", a.d.Saturated(svc, a.now), false)
	r := &PermitRequest{From: a.second, Incarnation: 1, Sequence: 1, Service: svc}
	for id := range PermitID(24) { // all places
		r.Pending = append(r.Pending, Ask{ID: id, UntilDeadline: time.Second})
	}
	a.d.ReceiveRequest(r, a.now)
	a.take()
	a.expect("saturated", a.d.Saturated(svc, a.now), true)
}

// Guards against a queued ask that waits for a dead coordinator longer than until the next message
// while asks wait, and the time after which that one counts as unanswered.
func TestAQueuedAskMovesToAnotherCoordinator(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Queued{1}) // and dies
	a.wait(time.Second)
	var moved time.Duration
	for _, m := range a.sent {
		if m.To == a.domain {
			moved = m.at
			break
		}
	}
	a.expect("moved", moved, askingEvery+replyTimeout)
}

// Guards against operators who do not see whom a daemon asks.
func TestStatusOfADaemon(t *testing.T) {
	a := newTestClient(t)
	a.expect("status", a.d.Status(a.now), []ServiceStatus{{Service: svc, Saturated: true}})
	a.ask(1)
	a.ask(2)
	a.wait(ms(20))
	a.reply(a.domain, true, Granted{1, 1}, Queued{2})
	a.expect("status", a.d.Status(a.now), []ServiceStatus{{Service: svc, Saturated: true, Coordinator: a.domain,
		Scope: Scope(a.d.self.Domain), Silent: []membership.Address{a.first}, Waiting: 1, Held: 1}})
	a.d.ReceiveRequest(&PermitRequest{From: a.second, Incarnation: 1, Sequence: 1, Service: svc}, a.now)
	a.take()
	list := a.d.Status(a.now)[0].Coordinates
	a.expect("coordinates", len(list), 1)
	a.expect("places", list[0].Places, 24)
}

// TestALeavingDaemonAsksTheNextCoordinator guards against two coordinators during a shutdown: the
// others no longer ask a daemon that is leaving, and it must not grant permits to itself.
func TestALeavingDaemonAsksTheNextCoordinator(t *testing.T) {
	a := newTestClient(t)
	w := newWorld(1, 12)
	first := w.ranked()[0].m
	a.d = NewDaemon(first)
	a.d.SetReplicas(svc, w.replicas, worldStart)
	a.setMembers(w.nodes...)
	a.d.settled = start
	a.d.ReportSaturated(svc, a.now)
	a.d.SetLeaving()
	a.d.Ask(svc, Ask{ID: 1, UntilTarget: time.Second, UntilDeadline: time.Second}, a.now)
	a.take()
	if len(a.sent) != 1 || a.sent[0].To != a.second {
		t.Errorf("sent %v, want one message to %s", a.sent, a.second)
	}
}

// Guards against a restarted daemon that has one place although the others ask it as the
// coordinator, and against one that has all before it knows any other.
func TestADaemonThatHasJustStarted(t *testing.T) {
	a := newTestClient(t)
	a.d = NewDaemon(a.d.self)
	a.d.SetReplicas(svc, newWorld(1, 12).replicas, a.now)
	for id := range PermitID(3) {
		a.ask(id + 1)
	}
	granted := func() int {
		n := 0
		for _, d := range a.decisions() {
			if _, ok := d.(Granted); ok {
				n++
			}
		}
		return n
	}
	a.expect("granted", granted(), 1)
	a.d.SetMembers(nil, 1, a.now)
	a.wait(ms(500))
	a.expect("granted", granted(), 1)
	a.d.ReceiveRequest(&PermitRequest{From: a.second, Incarnation: 1, Sequence: 1, Service: svc}, a.now)
	a.take()
	for id := range PermitID(3) {
		a.ask(id + 4)
	}
	a.expect("granted", granted() >= 4, true)
}

// Guards against a failure domain whose daemons restart together under load and send one request each
// for a second, although they know most of the fleet after their first heartbeats.
func TestADaemonThatKnowsMostOfTheFleetAsksTheCoordinator(t *testing.T) {
	a := newTestClient(t)
	others := a.d.members
	a.d = NewDaemon(a.d.self)
	a.d.SetReplicas(svc, newWorld(1, 12).replicas, a.now)
	a.d.ReportSaturated(svc, a.now)
	a.d.SetMembers(others[:7], 12, a.now) // 8 of 12 with itself
	a.ask(1)
	a.expect("messages", len(a.sent), 0)
	a.d.SetMembers(others[:8], 12, a.now) // 9 of 12
	a.ask(2)
	a.expect("messages", len(a.sent), 1)
}

// Guards against a daemon that decides alone and keeps the share of a smaller fleet, or forgets
// what it granted.
func TestAShareFollowsTheSizeOfTheFleet(t *testing.T) {
	a := newTestClient(t)
	a.d.SetMembers(nil, 5, a.now)
	for id := range PermitID(9) {
		a.ask(id + 1)
	}
	a.expect("decisions", len(a.decisions()), 4) // of 24 places
	a.d.SetMembers(nil, 3, a.now)
	a.wait(askingEvery)
	a.expect("decisions", len(a.decisions()), 8)
	a.expect("known to the new coordinator", a.d.client(svc).held[0].from == nil, true)
	a.d.SetMembers(nil, 21, a.now)
	for id := range PermitID(7) {
		a.d.Finish(svc, Finished{ID: id + 1, Took: ms(30), Result: Completed}, a.now)
	}
	a.wait(askingEvery)
	a.expect("decisions", len(a.decisions()), 8)
	a.d.Finish(svc, Finished{ID: 8, Took: ms(30), Result: Completed}, a.now)
	a.wait(askingEvery)
	a.expect("decisions", len(a.decisions()), 9)
}

// Guards against a late reply of a former incarnation, which says nothing of the present one, and
// against a coordinator that is ignored because its clock was set back.
func TestALateReplyOfAFormerIncarnationIsIgnored(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	reply := func(i membership.Incarnation) {
		a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: i, Service: svc, Decisions: []Decision{Refused{ID: 1}}}, a.now)
		a.take()
	}
	a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 5, Service: svc}, a.now)
	reply(4)
	a.expect("decisions", len(a.decisions()), 0)
	reply(1) // the one of the roster
	a.expect("decisions", len(a.decisions()), 1)
}

// Guards against finished permits that are counted twice.
func TestAFinishedPermitIsReportedUntilItIsAnswered(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Granted{1, 2})
	a.wait(ms(30))
	a.d.Finish(svc, Finished{ID: 1}, a.now)
	a.wait(ms(5))
	a.reply(a.first, true)
	a.ask(2)
	list := a.expectSent(a.first, 0, ms(31), ms(35))
	a.expect("finished", []int{len(list[1].Finished), len(list[2].Finished)}, []int{1, 0})
}

// Guards against a new coordinator that learns of permits only when another ask comes.
func TestAPermitIsReportedWhenTheSilentCoordinatorIsSkipped(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(ms(15))
	a.reply(a.domain, true, Granted{1, 1})
	a.wait(ms(35))
	a.ask(2) // so that the message of a held permit is not due in that moment anyway
	a.reply(a.domain, true, Refused{ID: 2})
	for answered := len(a.sent); a.now.Before(start.Add(3100 * time.Millisecond)); a.wait(ms(5)) {
		if n := len(a.sent); n > answered && a.sent[n-1].To == a.domain {
			a.reply(a.domain, true)
			answered = n
		}
	}
	for _, m := range a.sent {
		if m.To == a.second {
			a.expect("reported", m.at, replyTimeout+silentInPlace)
			return
		}
	}
	a.Error("the next coordinator got no message")
}
