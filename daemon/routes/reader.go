// This file reads the operators' store for the control loop.

package routes

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

// Store is where the documents come from.
type Store interface {
	// List reads a page of the documents whose keys come after one.
	List(ctx context.Context, after string, p transport.Timeouts) (feed.Page, error)
	// Watch waits for changes after a revision, and returns the revision to go
	// on from. Its patience includes the wait.
	Watch(ctx context.Context, after feed.Revision, wait time.Duration, p transport.Timeouts) ([]feed.Item, feed.Revision, error)
	// Forget closes connections that may have died.
	Forget()
}

// Settings of the reader.
const (
	// listPatience and piecePatience bound the store's silence. A list of a large
	// fleet takes seconds on a small link.
	listPatience  = 1500 * time.Millisecond
	piecePatience = 600 * time.Millisecond
	// watchSlack is how much later than asked a watch may answer.
	watchSlack     = 300 * time.Millisecond
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	idleCheck      = 100 * time.Millisecond
	// listAge is how long a list that met errors on its way is carried on.
	listAge = 10 * time.Second
)

// listing is a list under way. In a fleet that starts as a whole the store turns
// calls away: what has been read is kept, and the list goes on from there.
type listing struct {
	items []feed.Item
	at    feed.Revision // of the first page
	next  string
	begun time.Time
}

// reader follows the store.
type reader struct {
	store       Store
	control     *control
	historyGone error // the store's word that it must be listed again
	calls       func()
	after       feed.Revision
	listed      bool
	partial     *listing // nil: the next list begins anew
	backoff     time.Duration
}

// run reads while this daemon is to read, until ctx ends.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		plan := r.control.reads.Load()
		if plan == nil || !plan.reads {
			r.listed, r.partial = false, nil
			pause(ctx, idleCheck)
			continue
		}
		if err := r.follow(ctx, plan); err != nil && ctx.Err() == nil {
			r.lost(ctx, err)
		}
	}
}

// follow lists or watches once. A watch ends when the plan does: the next one may
// have to be shorter. A list goes on while this daemon still reads.
func (r *reader) follow(ctx context.Context, plan *readPlan) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	listing := !r.listed
	go func() {
		for at := plan; ; at = r.control.reads.Load() {
			select {
			case <-call.Done():
				return
			case <-at.ended:
			}
			if next := r.control.reads.Load(); !listing || !next.reads {
				cancel()
				return
			}
		}
	}()
	var err error
	if listing {
		err = r.list(call)
	} else {
		err = r.watch(call, plan.wait)
	}
	if call.Err() != nil {
		return nil
	}
	return err
}

// list reads everything, or what is left of it.
func (r *reader) list(ctx context.Context) error {
	if r.partial == nil || time.Since(r.partial.begun) > listAge {
		r.partial = &listing{begun: time.Now()}
	}
	l := r.partial
	for {
		r.calls()
		page, err := r.store.List(ctx, l.next, transport.Timeouts{FirstByte: listPatience, Idle: piecePatience})
		if err != nil {
			return err
		}
		if l.next == "" {
			l.at = page.At
		}
		l.items = append(l.items, page.Items...)
		if l.next = page.Next; l.next == "" {
			break
		}
	}
	r.partial = nil
	r.after, r.listed = l.at, true
	r.control.tell(ctx, listed{items: l.items, at: l.at})
	r.regained(ctx)
	return nil
}

// watch waits for a change.
func (r *reader) watch(ctx context.Context, wait time.Duration) error {
	r.calls()
	// Daemons must not ask in step.
	wait = wait*3/4 + rand.N(wait/2)
	items, at, err := r.store.Watch(ctx, r.after, wait, transport.Timeouts{FirstByte: wait + watchSlack, Idle: piecePatience})
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
