// This file watches upstreams: one goroutine per upstream queries its state and posts
// the result to the control loop.

package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

// Intervals, timeouts and limits of a watch.
const (
	watchWait    = 2 * time.Second // how long an upstream holds a query without a change
	watchTimeout = 4 * time.Second
	watchPause   = 200 * time.Millisecond // between queries
	watchBackoff = 2 * time.Second        // after a failed one
	maxStateBody = 4 << 10
)

// Watcher watches a set of upstreams.
type Watcher struct {
	ctx       context.Context
	upstreams *Upstreams
	post      func(fleet.Event)

	mu      sync.Mutex
	running map[state.UpstreamID]*watch
	wg      sync.WaitGroup
}

type watch struct {
	member state.Member
	cancel context.CancelFunc
}

// NewWatcher returns a watcher that runs until ctx ends. up should count its bytes as
// control traffic.
func NewWatcher(ctx context.Context, up *Upstreams, post func(fleet.Event)) *Watcher {
	return &Watcher{ctx: ctx, upstreams: up, post: post, running: make(map[state.UpstreamID]*watch)}
}

// Set replaces the set of watched upstreams. Watches of upstreams that are in both sets
// continue.
func (w *Watcher) Set(members []state.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[state.UpstreamID]state.Member, len(members))
	for _, m := range members {
		wanted[state.UpstreamID(m.ID)] = m
	}
	for id, running := range w.running {
		if wanted[id].Address != running.member.Address {
			running.cancel()
			delete(w.running, id)
		}
	}
	for id, m := range wanted {
		if w.running[id] == nil {
			w.start(id, m)
		}
	}
}

func (w *Watcher) start(id state.UpstreamID, m state.Member) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.running[id] = &watch{member: m, cancel: cancel}
	w.wg.Go(func() { w.run(ctx, id, m.Address) })
}

// Wait waits until all watches have ended, which they do when the context ends.
func (w *Watcher) Wait() { w.wg.Wait() }

func (w *Watcher) run(ctx context.Context, id state.UpstreamID, address string) {
	var seq uint64
	for ctx.Err() == nil {
		pause := watchPause
		ev, next, err := w.query(ctx, id, address, seq)
		switch {
		case err == nil:
			seq = next
			w.post(ev)
		case ctx.Err() == nil:
			w.post(fleet.UpstreamFailed{ID: id})
			pause, seq = watchBackoff, 0
		}
		sleep(ctx, pause)
	}
}

func (w *Watcher) query(ctx context.Context, id state.UpstreamID, address string, seq uint64) (ev fleet.UpstreamReported, next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	resp, _, err := w.upstreams.Send(ctx, UpstreamRequest{
		Method: http.MethodGet, Address: address, Target: protocol.StateTarget(seq, watchWait), Header: http.Header{},
	})
	if err != nil {
		return ev, 0, err
	}
	defer resp.Body.Close()
	body, err := protocol.ReadBounded(resp.Body, resp.ContentLength, maxStateBody)
	if err != nil {
		return ev, 0, err
	}
	return protocol.ParseUpstreamState(id, body)
}
