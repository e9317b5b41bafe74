package routes

import (
	"math/rand/v2"
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
		c.findOrigin(&originNeeded{stream: s, reply: reply}, now)
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
