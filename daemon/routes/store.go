// This file reads the store of documents for the control loop. Whether this daemon
// reads, and how long its watches wait, is decided in coordination/membership.

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

// Store is where the documents come from.
type Store interface {
	// List reads a page of the documents whose keys come after one.
	List(ctx context.Context, after string, t transport.Timeouts) (feed.Page, error)
	// Watch waits for changes after a revision. Its timeouts include the wait.
	Watch(ctx context.Context, after feed.Revision, wait time.Duration, t transport.Timeouts) (feed.Changes, error)
	// Forget closes connections that may have died.
	Forget()
}

const (
	// listTimeout and idleTimeout bound the store's silence. A list of a large fleet
	// takes seconds on a small link, the store's
	// answer 4 ms.
	listTimeout = 1500 * time.Millisecond
	idleTimeout = 600 * time.Millisecond
	// watchSlack is how much later than asked a watch may answer.
	watchSlack = 300 * time.Millisecond
	// firstBackoff and longestBackoff bound the pause after a failed call; it doubles.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// firstPlanCheck is how often the reader looks whether the control loop has made
	// its first plan.
	firstPlanCheck = 5 * time.Millisecond
	// listAge is how long a list that met errors on its way is carried on; later its first pages are
	// too old.
	listAge = 10 * time.Second
)

// OlderAnswerError means that the store answered from an earlier era, or an earlier revision, than it
// did before. At is what it named, Known where the daemon stood.
type OlderAnswerError struct{ At, Known feed.Position }

// Error names both positions and what to do.
func (e *OlderAnswerError) Error() string {
	return fmt.Sprintf("the store answers from era %d, revision %d, after era %d, revision %d; check that an old copy of it is not served",
		e.At.Era, e.At.Revision, e.Known.Era, e.Known.Revision)
}

// listing is a list under way. When a whole fleet starts the store turns calls away:
// what has been read is kept, and the list goes on from there.
type listing struct {
	items []feed.Item
	at    feed.Position // of the first page
	next  string
	begun time.Time
}

// reader follows the store. One goroutine runs it.
type reader struct {
	store       Store
	control     *control
	historyGone error // of the store: it must be listed again
	eras        membership.EraTracker
	countCall   func() // is called for each call to the store
	countOlder  func() // is called for each answer that is older than what was known
	after       feed.Position
	listed      bool
	partial     *listing // nil: the next list begins with the first page
	backoff     time.Duration
}

// run reads while this daemon is to read, until ctx ends.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		plan := r.control.readPlan.Load()
		if plan == nil {
			pause(ctx, firstPlanCheck)
			continue
		}
		if !plan.Reads {
			r.listed, r.partial = false, nil
			plan.await(ctx)
			continue
		}
		if err := r.follow(ctx, plan); err != nil && ctx.Err() == nil {
			r.failed(ctx, err)
		}
	}
}

// await waits until another plan takes this one's place.
func (p *readPlan) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.ended:
	}
}

// follow lists or watches once, until the plan makes that needless.
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

// cancelWhenReplanned ends a call when its plan ends. A watch ends with any plan: the
// next one may have to be shorter. A list goes on while this daemon still reads.
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

// list reads everything, or what is left of it.
func (r *reader) list(ctx context.Context) error {
	if r.partial == nil || clock.Since(r.partial.begun) > listAge {
		r.partial = &listing{begun: clock.Now()}
	}
	l := r.partial
	for {
		known := r.known()
		if l.next != "" {
			known = l.at.Beginning()
		}
		r.countCall()
		page, err := r.store.List(ctx, l.next, transport.Timeouts{FirstByte: listTimeout, Idle: idleTimeout})
		if err != nil {
			return err
		}
		at, err := r.place(page.At, known)
		if err != nil {
			return err
		}
		if l.next == "" {
			l.at = at
		}
		if at.Era != l.at.Era { // pages of two eras make no list
			r.partial = nil
			return nil
		}
		l.items = append(l.items, page.Items...)
		r.control.post(ctx, storePaged{items: page.Items, after: l.next, upTo: page.Next, at: l.at})
		if l.next = page.Next; l.next == "" {
			break
		}
	}
	r.partial = nil
	r.after, r.listed = l.at, true
	r.control.post(ctx, storeListed{items: l.items, at: l.at})
	r.succeeded(ctx)
	return nil
}

// known returns where the daemon stands: in which era, and up to which revision it has read itself. What
// peers said is no measure of the store: their build may know no eras.
func (r *reader) known() feed.Position {
	if own := r.control.viewPosition(); r.after.Era < own.Era {
		return own.Beginning()
	}
	return r.after
}

// place returns the position of an answer. The error says that it is older than what was known.
func (r *reader) place(at, known feed.Position) (feed.Position, error) {
	placed, ok := r.eras.Resolve(at, known, clock.Now())
	if !ok {
		r.countOlder()
		return placed, &OlderAnswerError{At: at, Known: known}
	}
	return placed, nil
}

// watch waits for a change, and then for more that come with it. A change of another era says that the
// store is to be listed.
func (r *reader) watch(ctx context.Context, plan *readPlan) error {
	r.countCall()
	// Between 3/4 and 5/4 of the wait: daemons must not ask in step.
	wait := plan.Wait
	wait = wait*3/4 + rand.N(wait/2)
	known := r.known()
	changes, err := r.store.Watch(ctx, r.after.Revision, wait, transport.Timeouts{FirstByte: wait + watchSlack, Idle: idleTimeout})
	if err != nil {
		return err
	}
	if changes.At, err = r.place(changes.At, known); err != nil {
		return err
	}
	if changes.At.Era != r.after.Era {
		r.listed = false
		return nil
	}
	r.after = changes.At
	if len(changes.Items) > 0 {
		r.control.post(ctx, storeChanged{changes})
	}
	r.succeeded(ctx)
	if len(changes.Items) > 0 {
		pause(ctx, plan.Gap)
	}
	return nil
}

// succeeded ends the back-off, and says that the store was regained if it was lost.
func (r *reader) succeeded(ctx context.Context) {
	if r.backoff > 0 {
		r.control.post(ctx, storeReachable{})
	}
	r.backoff = 0
}

// failed decides what comes after a failed call. A watch that was cut is tried again
// at once; after that the pauses grow.
func (r *reader) failed(ctx context.Context, err error) {
	if errors.Is(err, r.historyGone) {
		r.listed = false
		return
	}
	r.store.Forget()
	if r.backoff == 0 {
		r.backoff = firstBackoff
		r.control.post(ctx, storeReachable{lost: true, err: err})
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
