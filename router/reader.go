// This file reads the operators' store for the control loop.

package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/feed"
)

// Store is where the documents come from.
type Store interface {
	// List reads all documents, and the revision that they are of.
	List(ctx context.Context) ([]feed.Item, feed.Revision, error)
	// Watch waits for changes after a revision, and returns the revision to go
	// on from.
	Watch(ctx context.Context, after feed.Revision, wait time.Duration) ([]feed.Item, feed.Revision, error)
	// Forget closes connections that may have died.
	Forget()
}

// Settings of the reader.
const (
	listTimeout = 1500 * time.Millisecond
	// watchSlack is how much later than asked a watch may answer.
	watchSlack     = 300 * time.Millisecond
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	idleCheck      = 100 * time.Millisecond
)

// reader follows the store.
type reader struct {
	store       Store
	control     *control
	historyGone error // the store's word that it must be listed again
	calls       func()
	after       feed.Revision
	listed      bool
	backoff     time.Duration
}

// run reads while this daemon is to read, until ctx ends.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		plan := r.control.reads.Load()
		if plan == nil || !plan.reads {
			r.listed = false
			pause(ctx, idleCheck)
			continue
		}
		if err := r.follow(ctx, plan); err != nil && ctx.Err() == nil {
			r.lost(ctx, err)
		}
	}
}

// follow lists or watches once. A call that waits ends when the plan does: the
// next one may have to be shorter.
func (r *reader) follow(ctx context.Context, plan *readPlan) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-plan.ended:
			cancel()
		case <-call.Done():
		}
	}()
	err := r.step(call, plan.wait)
	select {
	case <-plan.ended:
		return nil
	default:
		return err
	}
}

// step lists or watches once.
func (r *reader) step(ctx context.Context, wait time.Duration) error {
	r.calls()
	if !r.listed {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		items, at, err := r.store.List(call)
		if err != nil {
			return err
		}
		r.after, r.listed = at, true
		r.control.tell(ctx, listed{items: items, at: at})
		r.regained(ctx)
		return nil
	}
	// Daemons must not ask in step.
	wait = wait*3/4 + rand.N(wait/2)
	call, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	items, at, err := r.store.Watch(call, r.after, wait)
	if err != nil {
		return err
	}
	r.after = max(r.after, at)
	if len(items) > 0 {
		r.control.tell(ctx, changed{items: items})
	}
	r.regained(ctx)
	return nil
}

func (r *reader) regained(ctx context.Context) {
	if r.backoff > 0 {
		r.control.tell(ctx, storeState{})
	}
	r.backoff = 0
}

// lost decides what comes after a failed call. A watch that was cut is tried
// again at once; after that the pauses grow.
func (r *reader) lost(ctx context.Context, err error) {
	if errors.Is(err, r.historyGone) {
		r.listed = false
		return
	}
	r.store.Forget()
	if r.backoff == 0 {
		r.backoff = firstBackoff
		r.control.tell(ctx, storeState{lost: true, err: err})
		return
	}
	pause(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, longestBackoff)
}

// pause waits for a time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
