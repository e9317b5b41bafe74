// This file runs the control loop: the one goroutine that owns the fleet state,
// and the goroutines that do what it asks for.

package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// eventQueue is how many events may wait for the control loop.
const eventQueue = 256

// configName stands for the file in messages about a configuration.
const configName = "configuration"

// control runs the control loop of a daemon.
type control struct {
	fleet    *coordination.Fleet
	events   chan coordination.Event
	converse chan conversation
	done     chan struct{}
	snapshot atomic.Pointer[state.Snapshot]

	documents *documents
	peers     *transport.Peers
	recorder  *transport.Recorder
	logger    *log.Logger
	watcher   *transport.Watcher
	readers   map[peer.DocumentKind]*documentReader

	mu       sync.Mutex
	talking  map[string]*talk           // exchanges under way, by address
	fetching map[peer.DocumentKind]bool // kinds with a fetch under way
	wg       sync.WaitGroup
}

// conversation is an exchange that a peer began.
type conversation struct {
	news  coordination.News
	reply chan coordination.News
}

func newControl(self coordination.Self, rng *rand.Rand) *control {
	c := &control{
		fleet:     coordination.NewFleet(self, rng),
		events:    make(chan coordination.Event, eventQueue),
		converse:  make(chan conversation),
		done:      make(chan struct{}),
		documents: newDocuments(),
		readers:   make(map[peer.DocumentKind]*documentReader),
		talking:   make(map[string]*talk),
		fetching:  make(map[peer.DocumentKind]bool),
	}
	c.snapshot.Store(state.BuildSnapshot(state.Inputs{Hash: coordination.Hash}))
	return c
}

// Snapshot returns the newest snapshot.
func (c *control) Snapshot() *state.Snapshot { return c.snapshot.Load() }

// tell hands an event to the loop.
func (c *control) tell(ev coordination.Event) {
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// hint hands an event to the loop if it has room. Traffic uses it: a request
// must not wait for the control loop.
func (c *control) hint(ev coordination.Event) {
	select {
	case c.events <- ev:
	default:
	}
}

var errStopped = errors.New("daemon has stopped")

// Converse answers a peer's news.
func (c *control) Converse(ctx context.Context, n coordination.News) (coordination.News, error) {
	conv := conversation{news: n, reply: make(chan coordination.News, 1)}
	select {
	case c.converse <- conv:
	case <-ctx.Done():
		return coordination.News{}, ctx.Err()
	case <-c.done:
		return coordination.News{}, errStopped
	}
	select {
	case answer := <-conv.reply:
		return answer, nil
	case <-ctx.Done():
		return coordination.News{}, ctx.Err()
	}
}

// run is the control loop. It returns when ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(coordination.TickInterval)
	defer ticker.Stop()
	c.handle(ctx, tick(), nil)
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			c.handle(ctx, ev, nil)
		case conv := <-c.converse:
			c.handle(ctx, coordination.NewsReceived{News: conv.news}, conv.reply)
		case <-ticker.C:
			c.handle(ctx, tick(), nil)
		}
	}
}

// tick strips the monotonic reading, since the loop compares the two clocks.
func tick() coordination.Event { return coordination.Tick{Wall: time.Now().Round(0)} }

func (c *control) handle(ctx context.Context, ev coordination.Event, reply chan<- coordination.News) {
	for _, eff := range c.fleet.Handle(time.Now(), ev) {
		switch eff := eff.(type) {
		case coordination.Publish:
			c.snapshot.Store(eff.Snapshot)
			c.hold(eff.Snapshot)
		case coordination.Reply:
			if reply != nil {
				reply <- eff.News
			}
		case coordination.SendNews:
			c.exchange(ctx, eff)
		case coordination.FetchConfig:
			c.fetch(ctx, eff.Peer, peer.DocumentKind_DOCUMENT_KIND_CONFIG)
		case coordination.FetchList:
			c.fetch(ctx, eff.Peer, peer.DocumentKind_DOCUMENT_KIND_LIST)
		case coordination.HoldList:
			c.documents.put(peer.DocumentKind_DOCUMENT_KIND_LIST, eff.List.Head, eff.List.Text)
		case coordination.WatchUpstreams:
			c.watcher.Set(eff.Upstreams)
		case coordination.ReadPlatform:
			for _, r := range c.readers {
				r.ask()
			}
		case coordination.Note:
			c.recorder.Record(eff.Kind, eff.About, "", "%s", eff.Text)
		}
	}
}

// hold keeps the texts of what is in force, for peers that fetch them.
func (c *control) hold(s *state.Snapshot) {
	if s.Members != nil {
		c.documents.put(peer.DocumentKind_DOCUMENT_KIND_LIST, s.Members.Head, s.Members.Text)
	}
	if s.Config != nil {
		c.documents.put(peer.DocumentKind_DOCUMENT_KIND_CONFIG, s.Config.Head(), s.Config.Text())
	}
}

// talk is an exchange under way, with the news to be told after it.
type talk struct{ next *coordination.SendNews }

// exchange begins an exchange. While one with the peer is under way the newest
// news waits for it: a peer that hangs must not gather goroutines, and urgent
// news must not be lost.
func (c *control) exchange(ctx context.Context, eff coordination.SendNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.talking[eff.Peer.Address]; t != nil {
		t.next = &eff
		return
	}
	t := &talk{}
	c.talking[eff.Peer.Address] = t
	c.wg.Go(func() {
		for next := &eff; next != nil; next = c.endTalk(t, next.Peer.Address) {
			c.exchangeOnce(ctx, *next)
		}
	})
}

// endTalk returns the news that has waited, or nil.
func (c *control) endTalk(t *talk, address string) *coordination.SendNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := t.next
	t.next = nil
	if next == nil {
		delete(c.talking, address)
	}
	return next
}

func (c *control) exchangeOnce(ctx context.Context, eff coordination.SendNews) {
	asked := time.Now()
	news, err := c.peers.Exchange(ctx, eff.Peer.Address, eff.News)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		c.logger.Debug().Str("peer", eff.Peer.ID).Err(err).Msg(transport.PrefixPeers + "exchange failed")
		c.tell(coordination.PeerFailed{ID: state.DaemonID(eff.Peer.ID)})
		return
	}
	c.tell(coordination.NewsReceived{News: news, Asked: asked})
}

// claimFetch marks a fetch as under way; it is false if one already is.
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
		c.learn(kind, head, text, time.Time{})
	})
}

// learn parses a document and hands it to the loop. Parsing is done here and
// not in the loop, which a file of a megabyte would hold up.
func (c *control) learn(kind peer.DocumentKind, head state.Head, text []byte, asked time.Time) {
	if kind == peer.DocumentKind_DOCUMENT_KIND_CONFIG {
		cfg, err := state.ParseConfig(configName, text)
		if err != nil {
			c.tell(coordination.ConfigRefused{Head: head, Err: err})
			return
		}
		c.tell(coordination.ConfigLearned{Config: cfg})
		return
	}
	list, err := protocol.ParseMemberList(text)
	if err != nil {
		c.recorder.Record(coordination.EventPlatform, "member list", "", "member list is refused: %v", err)
		return
	}
	c.tell(coordination.ListLearned{List: list, Asked: asked})
}

// documentReader reads one document of the platform when it is asked to. While
// a call waits at the platform further requests fall together.
type documentReader struct {
	kind   peer.DocumentKind
	reader *transport.PlatformReader
	wake   chan struct{}
	last   state.Head // of the list that was read last
	failed bool
}

func newDocumentReader(kind peer.DocumentKind, r *transport.PlatformReader) *documentReader {
	return &documentReader{kind: kind, reader: r, wake: make(chan struct{}, 1)}
}

func (d *documentReader) ask() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// read runs a reader until ctx ends.
func (c *control) read(ctx context.Context, d *documentReader) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			c.readOnce(ctx, d)
		}
	}
}

func (c *control) readOnce(ctx context.Context, d *documentReader) {
	asked := time.Now()
	text, err := d.reader.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	if (err != nil) != d.failed {
		d.failed = err != nil
		c.notePlatform(d.failed, err)
	}
	switch {
	case err != nil:
		return
	case text == nil && d.kind == peer.DocumentKind_DOCUMENT_KIND_LIST:
		c.tell(coordination.ListConfirmed{Head: d.last, Asked: heldUntil(asked, time.Now())})
		return
	case text == nil:
		return
	}
	d.last = state.Head{}
	if d.kind == peer.DocumentKind_DOCUMENT_KIND_LIST {
		if list, err := protocol.ParseMemberList(text); err == nil {
			d.last = list.Head
		}
	}
	c.learn(d.kind, state.HeadOf(0, text), text, asked)
}

// heldUntil returns until when an answer without a change is about: the platform
// gives it only when the wait has ended, so the document stood nearly that long.
// A tenth is taken off for clocks that run apart; an answer that came early is
// about the moment of the question alone.
func heldUntil(asked, answered time.Time) time.Time {
	if answered.Sub(asked) < transport.PlatformWait {
		return asked
	}
	return asked.Add(transport.PlatformWait * 9 / 10)
}

func (c *control) notePlatform(failed bool, err error) {
	if failed {
		c.recorder.Record(coordination.EventPlatform, "platform", "", "platform can't be read; the last documents stay in force: %v", err)
		return
	}
	c.recorder.Record(coordination.EventPlatform, "platform", "", "platform is read again")
}
