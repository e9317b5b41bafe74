// This file executes the exchanges and fetches that the control loop requests, one
// exchange at a time with each peer, and posts their results.

package openai

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// pendingExchange is an exchange in progress, with the message to send after it.
type pendingExchange struct{ next *fleet.SendGossip }

// exchange starts an exchange. While one with the same peer is in progress, only the
// newest message waits for it: a peer that hangs must not accumulate goroutines, and
// an urgent message must not be lost.
func (c *control) exchange(ctx context.Context, eff fleet.SendGossip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.exchanges[eff.Peer.Address]; t != nil {
		t.next = &eff
		return
	}
	t := &pendingExchange{}
	c.exchanges[eff.Peer.Address] = t
	c.wg.Go(func() {
		for next := &eff; next != nil; next = c.nextExchange(t, next.Peer.Address) {
			c.exchangeOnce(ctx, *next)
		}
	})
}

// nextExchange returns the waiting message, or nil.
func (c *control) nextExchange(t *pendingExchange, address string) *fleet.SendGossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := t.next
	t.next = nil
	if next == nil {
		delete(c.exchanges, address)
	}
	return next
}

func (c *control) exchangeOnce(ctx context.Context, eff fleet.SendGossip) {
	asked := time.Now()
	answer, err := c.peers.Exchange(ctx, eff.Peer.Address, eff.Gossip)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.logger.Debug().Str("peer", eff.Peer.ID).Err(err).Msg(transport.PrefixPeers + "exchange failed")
		c.post(fleet.PeerFailed{ID: state.DaemonID(eff.Peer.ID)})
		return
	}
	c.post(fleet.GossipReceived{Gossip: answer, Asked: asked})
}

// claimFetch marks a fetch as in progress; it returns false if one already is.
func (c *control) claimFetch(kind peer.DocumentKind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fetching[kind] {
		return false
	}
	c.fetching[kind] = true
	return true
}

func (c *control) releaseFetch(kind peer.DocumentKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fetching, kind)
}

func (c *control) fetch(ctx context.Context, from state.Member, kind peer.DocumentKind) {
	if !c.claimFetch(kind) {
		return
	}
	c.wg.Go(func() {
		defer c.releaseFetch(kind)
		have, base := c.documents.newest(kind)
		head, text, err := c.peers.Fetch(ctx, from.Address, kind, have, base)
		if err != nil {
			c.logger.Debug().Str("peer", from.ID).Err(err).Msg(transport.PrefixPeers + "fetch failed")
			return
		}
		c.receiveDocument(kind, head, text, time.Time{})
	})
}

// receiveDocument parses a document, posts it to the loop and returns its head, which
// is zero if the document is not valid. It runs outside the loop, because parsing a
// file of a megabyte would block the loop. head is the announced head of the text.
func (c *control) receiveDocument(kind peer.DocumentKind, head state.Head, text []byte, asked time.Time) state.Head {
	if kind == peer.DocumentKind_DOCUMENT_KIND_CONFIG {
		cfg, err := state.ParseConfig(configName, text)
		if err != nil {
			c.post(fleet.ConfigRefused{Head: head, Err: err})
			return state.Head{}
		}
		c.post(fleet.ConfigReceived{Config: cfg})
		return cfg.Head()
	}
	list, err := protocol.ParseMemberList(text)
	if err != nil {
		c.recorder.Record(coordination.EventPlatform, "member list", "", "member list is refused: %v", err)
		return state.Head{}
	}
	c.post(fleet.ListReceived{List: list, Asked: asked})
	return list.Head
}
