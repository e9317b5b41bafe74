package routes

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// TestLineOfAResumeTellsItsBinding guards against a log from which the cause of a stream of two versions can't be
// found: the line and the counters tell by which knowledge the stream was bound, and how old that was.
func TestLineOfAResumeTellsItsBinding(t *testing.T) {
	resumed := &relay.Call{Request: routing.Request{ID: "r2", Route: &routing.Route{Name: "n"}}, LastEventID: "3", Resumes: "r1"}
	first := &relay.Call{Request: resumed.Request}
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	for _, b := range []relay.Binding{
		{By: relay.OriginOnlyVersion, Version: 37, Ages: relay.DocumentAges{Confirmed: 2 * time.Second, Changed: time.Minute}},
		{By: relay.OriginOwnRecord, Version: 37},
		{By: relay.OriginHolder, Version: 37, Holder: "10.0.0.2:1"},
	} {
		l.Finished(resumed, &relay.Summary{Outcome: coordination.Answered{Status: 200}, Binding: b, FirstEvent: 4})
	}
	l.Finished(resumed, &relay.Summary{
		Outcome: coordination.NotRun{Reason: coordination.ReasonOriginUnknown}, Binding: relay.Binding{By: relay.OriginUnknown}, FirstEvent: relay.NoEvent,
	})
	l.Finished(first, &relay.Summary{Outcome: coordination.Answered{Status: 200}})
	lines := linesOf(t, l, &out)
	for i, want := range []logLine{
		{"origin": "only_version", "origin_version": "11", "origin_from": "", "confirmed_ms": 2000., "documents_ms": 60000., "first_event": 4.},
		{"origin": "own_record", "origin_version": "11", "origin_from": ""},
		{"origin": "holder", "origin_version": "11", "origin_from": "10.0.0.2:1"},
		{"origin": "unknown", "origin_version": "0", "first_event": -1.},
		{"origin": nil, "origin_version": nil, "first_event": nil},
	} {
		for name, value := range want {
			if got := lines[i][name]; got != value {
				t.Errorf("line %d: %s is %v, want %v", i, name, got, value)
			}
		}
	}
	var text bytes.Buffer
	if err := m.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"caller_resumes_total 4", "resumes_only_version_total 1", "resumes_own_record_total 1", "resumes_holder_total 1", "resumes_unknown_total 1"} {
		if !strings.Contains(text.String(), "hingewinch_"+want+"\n") {
			t.Errorf("no %s", want)
		}
	}
}

// TestRecordTellsItsHolder guards against a reply of a holder that is logged as another one's, or as the daemon's own
// record, and against a second reply to a question that is answered.
func TestRecordTellsItsHolder(t *testing.T) {
	c := newQuietControl(t)
	now := clock.Now()
	var asked []membership.Address
	var requests []gossip.OriginRequest
	c.heartbeats.send = func(to membership.Address, payload []byte) {
		if r, err := gossip.DecodeOriginRequests(payload); err == nil && gossip.IsOriginRequests(payload) {
			asked, requests = append(asked, to), append(requests, r...)
		}
	}
	for i := range 3 {
		m := testMember(i + 1)
		m.Domain = state.FailureDomain(m.Address)
		c.roster.Observe([]membership.Member{m}, now)
	}
	reply := make(chan originFound, 1)
	find := func(s routing.StreamKey) {
		c.findOrigin(&originNeeded{stream: s, reply: reply, denied: new(atomic.Bool)}, now)
	}
	c.origins.Observe(routing.NewStreamOrigin(5, 37, time.Minute), now)
	if find(5); <-reply != (originFound{version: 37}) {
		t.Error("the daemon's own record is not told as such")
	}
	find(6)
	if len(asked) < 2 {
		t.Fatalf("asked %v, want two holders at least", asked)
	}
	c.receiveOriginReplies([]gossip.OriginReply{{ID: requests[0].ID}, {ID: requests[1].ID, Version: 37}, {ID: requests[0].ID, Version: 38}})
	if got := <-reply; got != (originFound{version: 37, holder: asked[1]}) {
		t.Errorf("got %v, want version 37 from %s", got, asked[1])
	}
	if len(reply) > 0 {
		t.Error("answered twice")
	}
	c.originQuestions.dropExpired(now.Add(time.Second))
	asked, requests = nil, nil
	find(6)
	for i := range requests {
		c.receiveOriginReplies([]gossip.OriginReply{{ID: requests[i].ID}})
	}
	if got := <-reply; got != (originFound{}) {
		t.Errorf("got %v although no holder knows the stream", got)
	}
}

// TestDocumentAgesAreThoseOfTheLastConfirmation guards against a line of a resume that shows the knowledge of a daemon that
// is out of step as fresh.
func TestDocumentAgesAreThoseOfTheLastConfirmation(t *testing.T) {
	c := newQuietControl(t)
	c.syncs.newer = make(map[membership.Address]newerPeer)
	begun := time.Unix(1_000_000, 0)
	if got := c.documents.ages(begun); got != (relay.DocumentAges{Confirmed: relay.UnknownAge, Read: relay.UnknownAge, Changed: relay.UnknownAge}) {
		t.Errorf("ages %v without documents", got)
	}
	applyRelease(c, begun)
	own := c.catalog.feed.Position()
	c.planReads(begun)
	c.syncs.inFlight = true // no request is sent
	for _, s := range []struct {
		name string
		e    func(now time.Time) event
		want time.Duration // since the confirmation
	}{
		{"a watch without changes", func(now time.Time) event { return storeConfirmed{own, now.Add(-time.Second)} }, time.Second},
		{"a peer of the previous build with the same documents", peerHeartbeat(own, false, 0), membership.MaxSocketWait},
		{"a peer whose documents were confirmed 2 s before", peerHeartbeat(own, true, 2*time.Second), 2*time.Second + membership.MaxSocketWait},
		{"a peer of the previous build that can't read the store", peerHeartbeat(own, true, 0), 10 * time.Second},
		{"a peer with newer documents", peerHeartbeat(feed.Position{Era: own.Era, Revision: own.Revision + 1}, false, time.Second), 10 * time.Second},
		{"a list", func(now time.Time) event { return storeListed{at: own, sent: now.Add(-time.Second)} }, time.Second},
	} {
		now := begun.Add(10 * time.Second)
		c.lease.confirmations = membership.Confirmations{}
		c.documents.confirm(begun)
		c.handle(context.Background(), s.e(now), now)
		c.updateLease(now)
		if got := c.documents.ages(now).Confirmed; got != s.want {
			t.Errorf("%s: confirmed %v ago, want %v", s.name, got, s.want)
		}
		begun = now
	}
}

// peerHeartbeat returns a heartbeat that a peer sends with the position of its documents, and the age of their confirmation if
// that is not 0.
func peerHeartbeat(at feed.Position, storeUnreachable bool, age time.Duration) func(now time.Time) event {
	m := testMember(1)
	m.StoreUnreachable, m.Heartbeats = storeUnreachable, 1
	h := gossip.Heartbeat{Sender: m, Partial: true, Era: at.Era, Revision: at.Revision}
	if age > 0 {
		h.Confirmed = gossip.NewConfirmedAge(age, true)
	}
	return func(now time.Time) event { return heartbeatReceived{heartbeat: h, at: now} }
}
