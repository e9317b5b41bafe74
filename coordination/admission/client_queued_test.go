package admission

import (
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Guards against callers that were queued and are refused by the next coordinator, which cannot know how long they
// have waited: their daemon tells it that they were queued. The previous build reads three replicas at most.
func TestAQueuedAskIsMarkedForTheNextCoordinator(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.reply(a.first, true, Queued{1})
	a.ask(2)
	a.wait(replyTimeout)
	var marked []bool
	for _, m := range a.sent {
		if m.To == a.domain {
			for _, ask := range m.Request.Pending {
				marked = append(marked, slices.Contains(ask.Tried, queuedMark))
			}
		}
	}
	a.expect("marked", marked, []bool{true, false})
}

// Guards against the refusal of an ask by a coordinator that was paused and decides on a message from before the
// pause, while another coordinator has queued the ask. A refusal in answer to a later message counts.
func TestARefusalOfAMessageBeforeTheReturnIsIgnored(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	before := a.sent[0].Request.Sequence
	a.wait(replyTimeout)
	a.reply(a.domain, true, Queued{1})
	late := func(list ...Decision) {
		a.d.ReceiveReply(&PermitReply{From: a.first, Incarnation: 1, Answers: before, Service: svc, Decisions: list}, a.now)
		a.take()
	}
	late()
	late(Refused{ID: 1})
	a.expect("decisions", len(a.decisions()), 0)
	a.reply(a.first, true, Refused{ID: 1})
	a.expect("decisions", len(a.decisions()), 1)
}

// Guards against a place that is granted twice: a grant of the coordinator of the domain that arrives after the return
// to the first coordinator is reported to that one at once.
func TestAGrantOfAnotherCoordinatorIsReportedAtOnce(t *testing.T) {
	a := newTestClient(t)
	a.ask(1)
	a.wait(replyTimeout)
	a.reply(a.first, true, Queued{1})
	a.wait(ms(1))
	a.reply(a.first, true, Queued{1})
	a.forget()
	a.d.ReceiveReply(&PermitReply{From: a.domain, Incarnation: 1, Service: svc, Scope: Scope(a.d.self.Domain),
		Decisions: []Decision{Granted{1, 1}}}, a.now)
	a.take()
	list := a.expectSent(a.first, a.now.Sub(start))
	a.expect("without a permit", len(list[0].Unpermitted), 1)
}

// Guards against a coordinator that refuses an ask because it would start too late, although another one has queued
// it, also if it learns of that after its own decision.
func TestAnAskThatWasQueuedIsNotRefused(t *testing.T) {
	c := NewCoordinator(newWorld(1, 1).nodes[0].m, svc, "", 1)
	c.SetReplicas([]Replica{{Key: 1, Slots: 1}}, start)
	var sequence Sequence
	send := func(list ...Ask) []Decision {
		sequence++
		c.Receive(&PermitRequest{From: "10.0.0.9:1", Incarnation: 1, Sequence: sequence, Service: svc, Pending: list}, "d0", start)
		return c.Replies(start)[0].Reply.Decisions
	}
	var list []Ask
	for id := range PermitID(8) {
		list = append(list, Ask{ID: id + 1, UntilTarget: ms(1000), UntilDeadline: ms(2500)})
	}
	late := Ask{ID: 9, UntilTarget: ms(-10), UntilDeadline: ms(2000)}
	decisions := send(append(list, late)...)
	if _, ok := decisions[8].(Refused); !ok {
		t.Fatalf("an ask that is late and has others before it: %T, want a refusal", decisions[8])
	}
	late.Tried = append(late.Tried, queuedMark)
	for _, id := range []PermitID{9, 10} {
		late.ID = id
		if got := send(append(list, late)...)[8]; got != (Queued{id}) {
			t.Errorf("ask %d, which another coordinator has queued: %+v", id, got)
		}
	}
}

// TestMarkOfQueuedAskIsSent guards against the mark of a queued ask that is cut off because more than [MaxTried] replicas
// would be listed.
func TestMarkOfQueuedAskIsSent(t *testing.T) {
	c := &client{asks: []*pendingAsk{{Ask: Ask{ID: 1, Tried: []routing.LoadKey{1, 2, 3}}, wasQueued: true}}}
	got := c.listAsks(1, time.Time{})[0].Tried
	if len(got) > MaxTried || got[len(got)-1] != queuedMark {
		t.Errorf("lists %v, want at most %d replicas with the mark as the last one", got, MaxTried)
	}
}
