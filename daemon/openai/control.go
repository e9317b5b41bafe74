// This file runs the control loop: the one goroutine that owns the fleet state, and
// the goroutines that execute the effects it requests.

package openai

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

// eventQueue is the capacity of the control loop's event queue.
const eventQueue = 256

// configName replaces the file name in messages about a configuration.
const configName = "configuration"

// control runs the control loop of a daemon.
type control struct {
	fleet    *fleet.Fleet
	events   chan fleet.Event
	inbound  chan inboundExchange
	done     chan struct{}
	snapshot atomic.Pointer[state.Snapshot]

	documents *documents
	peers     *gateway.Peers
	recorder  *transport.Recorder
	logger    *log.Logger
	watcher   *gateway.Watcher
	readers   map[peer.DocumentKind]*documentReader

	mu        sync.Mutex
	exchanges map[string]*pendingExchange // by address of the peer
	fetching  map[peer.DocumentKind]bool  // kinds with a fetch in progress
	wg        sync.WaitGroup
}

// inboundExchange is an exchange that a peer initiated.
type inboundExchange struct {
	gossip fleet.Gossip
	reply  chan fleet.Gossip
}

func newControl(self fleet.Self, rng *rand.Rand) *control {
	c := &control{
		fleet:     fleet.New(self, rng),
		events:    make(chan fleet.Event, eventQueue),
		inbound:   make(chan inboundExchange),
		done:      make(chan struct{}),
		documents: newDocuments(),
		readers:   make(map[peer.DocumentKind]*documentReader),
		exchanges: make(map[string]*pendingExchange),
		fetching:  make(map[peer.DocumentKind]bool),
	}
	c.snapshot.Store(state.BuildSnapshot(state.Inputs{Hash: coordination.Hash}))
	return c
}

// Snapshot returns the newest snapshot.
func (c *control) Snapshot() *state.Snapshot { return c.snapshot.Load() }

// post sends an event to the loop.
func (c *control) post(ev fleet.Event) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// tryPost sends an event to the loop and drops it if the queue is full. Request handlers
// use it, because a request must not wait for the control loop.
func (c *control) tryPost(ev fleet.Event) {
	select {
	case c.events <- ev:
	default:
	}
}

var errStopped = errors.New("daemon has stopped")

// HandleExchange processes a peer's message and returns this daemon's.
func (c *control) HandleExchange(ctx context.Context, n fleet.Gossip) (fleet.Gossip, error) {
	conv := inboundExchange{gossip: n, reply: make(chan fleet.Gossip, 1)}
	select {
	case c.inbound <- conv:
	case <-ctx.Done():
		return fleet.Gossip{}, ctx.Err()
	case <-c.done:
		return fleet.Gossip{}, errStopped
	}
	select {
	case answer := <-conv.reply:
		return answer, nil
	case <-ctx.Done():
		return fleet.Gossip{}, ctx.Err()
	}
}

// run runs the control loop until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(fleet.TickInterval)
	defer ticker.Stop()
	c.handle(ctx, tick(), nil)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			c.handle(ctx, ev, nil)
		case conv := <-c.inbound:
			c.handle(ctx, fleet.GossipReceived{Gossip: conv.gossip}, conv.reply)
		case <-ticker.C:
			c.handle(ctx, tick(), nil)
		}
	}
}

// tick strips the monotonic reading, since the loop compares the two clocks.
func tick() fleet.Event { return fleet.Tick{Wall: time.Now().Round(0)} }

func (c *control) handle(ctx context.Context, ev fleet.Event, reply chan<- fleet.Gossip) {
	for _, eff := range c.fleet.Handle(time.Now(), ev) {
		switch eff := eff.(type) {
		case fleet.Publish:
			c.snapshot.Store(eff.Snapshot)
			c.retainDocuments(eff.Snapshot)
		case fleet.Reply:
			if reply != nil {
				reply <- eff.Gossip
			}
		case fleet.SendGossip:
			c.exchange(ctx, eff)
		case fleet.FetchConfig:
			c.fetch(ctx, eff.Peer, peer.DocumentKind_DOCUMENT_KIND_CONFIG)
		case fleet.FetchList:
			c.fetch(ctx, eff.Peer, peer.DocumentKind_DOCUMENT_KIND_LIST)
		case fleet.RetainList:
			c.documents.put(peer.DocumentKind_DOCUMENT_KIND_LIST, eff.List.Head, eff.List.Text)
		case fleet.WatchUpstreams:
			c.watcher.Set(eff.Upstreams)
		case fleet.ReadPlatform:
			for _, r := range c.readers {
				r.trigger()
			}
		case fleet.TimelineEntry:
			c.recorder.Record(eff.Kind, eff.About, "", "%s", eff.Text)
		}
	}
}

// retainDocuments retains the texts of the documents in force, for peers that fetch them.
func (c *control) retainDocuments(s *state.Snapshot) {
	if s.Members != nil {
		c.documents.put(peer.DocumentKind_DOCUMENT_KIND_LIST, s.Members.Head, s.Members.Text)
	}
	if s.Config != nil {
		c.documents.put(peer.DocumentKind_DOCUMENT_KIND_CONFIG, s.Config.Head(), s.Config.Text())
	}
}
