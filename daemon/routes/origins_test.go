package routes

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/clock"
)

// TestReplyToTheFormerProcessIsNotTaken guards against a holder that was paused and replies to a question of the daemon's former
// process: a question of the present one, for another stream, would be answered with the wrong version.
func TestReplyToTheFormerProcessIsNotTaken(t *testing.T) {
	now := clock.Now()
	// ask has a process, the one with a number, ask for a stream, and returns it with its questions.
	ask := func(process uint64, s routing.StreamKey, reply chan originFound) (*control, []gossip.OriginRequest) {
		c := newQuietControl(t)
		c.heartbeats.rng = rand.New(rand.NewPCG(process, process))
		var requests []gossip.OriginRequest
		c.heartbeats.send = func(_ membership.Address, payload []byte) {
			if r, err := gossip.DecodeOriginRequests(payload); err == nil && gossip.IsOriginRequests(payload) {
				requests = append(requests, r...)
			}
		}
		for i := range 3 {
			m := testMember(i + 1)
			m.Domain = state.FailureDomain(m.Address)
			c.roster.Observe([]membership.Member{m}, now)
		}
		c.findOrigin(&originNeeded{stream: s, reply: reply, denied: new(atomic.Bool)}, now)
		return c, requests
	}
	_, former := ask(1, 6, make(chan originFound, 1))
	reply := make(chan originFound, 1)
	c, requests := ask(2, 7, reply)
	for _, r := range former {
		c.receiveOriginReplies([]gossip.OriginReply{{ID: r.ID, Version: 38}})
	}
	if len(reply) > 0 {
		t.Fatalf("got %v, in reply to a question of the former process", <-reply)
	}
	c.receiveOriginReplies([]gossip.OriginReply{{ID: requests[0].ID, Version: 37}})
	if got := <-reply; got.version != 37 {
		t.Errorf("got %v, want version 37", got)
	}
	c.originQuestions.dropExpired(now.Add(time.Second))
	if n := len(c.originQuestions.pending); n > 0 {
		t.Errorf("%d questions are pending after their time", n)
	}
}

// TestSilentHoldersDenyNothing guards against a daemon that is cut off from the holders of a stream, and takes their silence for the
// answer that the stream has no record.
func TestSilentHoldersDenyNothing(t *testing.T) {
	for _, reply := range []bool{true, false} {
		c := newQuietControl(t)
		c.events = make(chan event)
		go func() {
			for e := range c.events {
				if need, ok := e.(originNeeded); ok && reply {
					need.reply <- originFound{}
				}
			}
		}()
		r, ok := streamOrigins{c}.Find(t.Context(), 7)
		close(c.events)
		if ok || r.Denied != reply {
			t.Errorf("holders reply: %t; found a record: %t, they deny it: %t", reply, ok, r.Denied)
		}
	}
}
