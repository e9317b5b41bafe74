// This file reads the documents from the store and posts them to the control loop.
// coordination/membership decides whether this daemon reads the store, and how long its
// watches wait.

package routes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

// Store is the source of the documents.
type Store interface {
	// List reads a page of documents, starting after the given key.
	List(ctx context.Context, after string, t transport.Timeouts) (feed.Page, error)
	// Watch waits for changes after a revision. Its timeouts include the wait.
	Watch(ctx context.Context, after feed.Revision, wait time.Duration, t transport.Timeouts) (feed.Changes, error)
	// CloseIdleConnections closes connections that may be dead.
	CloseIdleConnections()
}

const (
	// listTimeout and idleTimeout bound how long the store may send nothing. The list of a large
	// fleet takes seconds on a slow link, while the store itself responds in 4 ms.
	listTimeout = 1500 * time.Millisecond
	idleTimeout = 600 * time.Millisecond
	// bodyGrace is how long a response of the store may arrive more slowly than minFetchRate. The reader does nothing
	// else meanwhile.
	bodyGrace = 2 * time.Second
	// watchSlack is how much longer than requested a watch may take to respond.
	watchSlack = 300 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call, which doubles with
	// each failure.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// planPollInterval is the interval at which the reader polls for the control loop's first
	// read plan.
	planPollInterval = 5 * time.Millisecond
	// maxListAge is how long a list that was interrupted by errors is continued. After that, its
	// first pages are too old.
	maxListAge = 10 * time.Second
)

// OlderResponseError means that the store responded from an earlier era or revision than before. At is the
// position of the response, Known the position that the daemon had reached.
type OlderResponseError struct{ At, Known feed.Position }

// Error describes both positions and what to check.
func (e *OlderResponseError) Error() string {
	return fmt.Sprintf("the store answers from era %d, revision %d, after era %d, revision %d; check that no old copy of the store is served",
		e.At.Era, e.At.Revision, e.Known.Era, e.Known.Revision)
}

// storeTimeouts returns the timeouts of a call to the store that responds within a time.
func storeTimeouts(firstByte time.Duration) transport.Timeouts {
	return transport.Timeouts{FirstByte: firstByte, Idle: idleTimeout, Grace: bodyGrace, MinRate: minFetchRate}
}

// partialList is a list of the store's documents of which some pages have been read. When a whole
// fleet starts, the store is overloaded and rejects some calls; the list is then resumed after the
// pages that were read.
type partialList struct {
	items []feed.Item
	at    feed.Position // of the first page
	next  string
	begun time.Time
}

// reader reads the store. It runs in one goroutine.
type reader struct {
	store       Store
	control     *control
	historyGone error // see Platform.HistoryGone
	eras        membership.EraTracker
	countCall   func() // called for each call to the store
	countOlder  func() // called for each response that is older than the known position
	after       feed.Position
	listed      bool
	partial     *partialList // nil if the next list begins with the first page
	backoff     time.Duration
}

// run reads the store while the read plan says so, until ctx is canceled.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		plan := r.control.readPlan.Load()
		if plan == nil {
			pause(ctx, planPollInterval)
			continue
		}
		if !plan.Reads {
			r.listed, r.partial = false, nil
			plan.awaitReplacement(ctx)
			continue
		}
		if err := r.follow(ctx, plan); err != nil && ctx.Err() == nil {
			r.failed(ctx, err)
		}
	}
}

// awaitReplacement waits until the plan is replaced.
func (p *readPlan) awaitReplacement(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.ended:
	}
}

// follow runs one list or watch, until it completes or the read plan interrupts it.
func (r *reader) follow(ctx context.Context, plan *readPlan) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	listing := !r.listed
	go r.cancelWhenReplanned(call, cancel, plan, listing)
	var err error
	if listing {
		err = r.list(call)
	} else {
		err = r.watch(call, plan)
	}
	if call.Err() != nil {
		return nil
	}
	return err
}

// cancelWhenReplanned cancels a call when its plan is replaced. A watch is always canceled,
// because the next one may have to be shorter. A list is canceled only if this daemon is no
// longer to read the store.
func (r *reader) cancelWhenReplanned(call context.Context, cancel func(), plan *readPlan, listing bool) {
	for {
		select {
		case <-call.Done():
			return
		case <-plan.ended:
		}
		plan = r.control.readPlan.Load()
		if !listing || !plan.Reads {
			cancel()
			return
		}
	}
}

// list reads all pages of the store, or resumes an interrupted list.
func (r *reader) list(ctx context.Context) error {
	if r.partial == nil || clock.Since(r.partial.begun) > maxListAge {
		r.partial = &partialList{begun: clock.Now()}
	}
	l := r.partial
	for {
		known := r.knownPosition()
		if l.next != "" {
			known = l.at.Beginning()
		}
		r.countCall()
		page, err := r.store.List(ctx, l.next, storeTimeouts(listTimeout))
		if err != nil {
			return err
		}
		at, err := r.resolvePosition(page.At, known)
		if err != nil {
			return err
		}
		if l.next == "" {
			l.at = at
		}
		if at.Era != l.at.Era { // pages of different eras can't be combined
			r.partial = nil
			return nil
		}
		l.items = append(l.items, page.Items...)
		r.control.post(ctx, storePageRead{items: page.Items, after: l.next, upTo: page.Next, at: l.at})
		if l.next = page.Next; l.next == "" {
			break
		}
	}
	r.partial = nil
	r.after, r.listed = l.at, true
	r.control.postAlways(storeListed{items: l.items, at: l.at, sent: l.begun})
	r.succeeded(ctx)
	return nil
}

// knownPosition returns the position that the store's responses must not precede: the known era, and the
// revision up to which this daemon itself has read the store. Revisions learned from peers don't count,
// because a peer's build may not support eras.
func (r *reader) knownPosition() feed.Position {
	if own := r.control.viewPosition(); r.after.Era < own.Era {
		return own.Beginning()
	}
	return r.after
}

// resolvePosition returns the position of a response, or an error if it is older than the known position.
func (r *reader) resolvePosition(at, known feed.Position) (feed.Position, error) {
	placed, ok := r.eras.Resolve(at, known, clock.Now())
	if !ok {
		r.countOlder()
		return placed, &OlderResponseError{At: at, Known: known}
	}
	return placed, nil
}

// watch waits for changes, and then pauses so that subsequent changes are read together. If the response
// is of another era, the store is listed again.
func (r *reader) watch(ctx context.Context, plan *readPlan) error {
	r.countCall()
	// Between 3/4 and 5/4 of the wait, so that daemons don't call in lockstep.
	wait := plan.Wait
	wait = (wait*3/4 + rand.N(wait/2)).Truncate(time.Millisecond) // the store is told it in milliseconds
	known := r.knownPosition()
	sent := clock.Now()
	changes, err := r.store.Watch(ctx, r.after.Revision, wait, storeTimeouts(wait+watchSlack))
	if err != nil {
		return err
	}
	if changes.At, err = r.resolvePosition(changes.At, known); err != nil {
		return err
	}
	if changes.At.Era != r.after.Era {
		r.listed = false
		return nil
	}
	r.after = changes.At
	confirms := membership.ConfirmedByWatch(sent, clock.Now(), wait, len(changes.Items) > 0)
	// These must reach the control loop although the plan has just been replaced: later watches don't return them again.
	if len(changes.Items) > 0 {
		r.control.postAlways(storeChanged{changes, confirms})
	} else {
		r.control.postAlways(storeConfirmed{changes.At, confirms})
	}
	r.succeeded(ctx)
	if len(changes.Items) > 0 {
		pause(ctx, plan.Gap)
	}
	return nil
}

// succeeded resets the backoff, and reports the store as reachable if it was not.
func (r *reader) succeeded(ctx context.Context) {
	if r.backoff > 0 {
		r.control.post(ctx, storeReachabilityChanged{})
	}
	r.backoff = 0
}

// failed handles a failed call. The first failure is followed by an immediate retry, and
// further failures by increasing pauses.
func (r *reader) failed(ctx context.Context, err error) {
	if errors.Is(err, r.historyGone) {
		r.listed = false
		return
	}
	r.store.CloseIdleConnections()
	if r.backoff == 0 {
		r.backoff = firstBackoff
		r.control.post(ctx, storeReachabilityChanged{unreachable: true, err: err})
		return
	}
	pause(ctx, r.backoff/2+rand.N(r.backoff))
	r.backoff = min(2*r.backoff, longestBackoff)
}

// pause waits for d or until ctx is canceled.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
