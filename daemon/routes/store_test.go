package routes

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

// rejectingStore rejects every third call, like a store that a whole fleet calls at the
// same time.
type rejectingStore struct {
	pages, calls int
	watched      chan feed.Revision
}

var errRejected = errors.New("too many calls")

func (s *rejectingStore) List(_ context.Context, after string, _ transport.Timeouts) (feed.Page, error) {
	if s.calls++; s.calls%3 == 0 {
		return feed.Page{}, errRejected
	}
	n := 0
	if after != "" {
		if _, err := fmt.Sscanf(after, "k%d", &n); err != nil {
			return feed.Page{}, err
		}
		n++
	}
	p := feed.Page{At: feed.Position{Revision: feed.Revision(100 + n)}, Items: []feed.Item{{Key: fmt.Sprintf("k%d", n), Revision: feed.Revision(1 + n)}}}
	if n+1 < s.pages {
		p.Next = fmt.Sprintf("k%d", n)
	}
	return p, nil
}

func (s *rejectingStore) Watch(ctx context.Context, after feed.Revision, _ time.Duration, _ transport.Timeouts) (feed.Changes, error) {
	select {
	case s.watched <- after:
	default:
	}
	<-ctx.Done()
	return feed.Changes{}, ctx.Err()
}

func (s *rejectingStore) CloseIdleConnections() {}

// TestListResumesAfterRejection lists 12 pages from a store that rejects calls. A
// list that starts over after each rejection would never complete.
func TestListResumesAfterRejection(t *testing.T) {
	store := &rejectingStore{pages: 12, watched: make(chan feed.Revision, 1)}
	c := &control{events: make(chan event, eventQueue)}
	c.readPlan.Store(&readPlan{ReadPlan: membership.ReadPlan{Reads: true, Wait: time.Second}, ended: make(chan struct{})})
	r := &reader{store: store, control: c, historyGone: errors.New("gone"), countCall: func() {}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { r.run(ctx); close(done) }()
	select {
	case after := <-store.watched:
		if after != 100 {
			t.Errorf("the watch starts at %d, want 100, the revision of the first page", after)
		}
	case <-ctx.Done():
		t.Errorf("the list does not complete; %d calls", store.calls)
	}
	cancel()
	<-done
	var got []feed.Item
	for len(c.events) > 0 {
		if l, ok := (<-c.events).(storeListed); ok {
			got = l.items
		}
	}
	if len(got) != store.pages {
		t.Errorf("%d items, want %d", len(got), store.pages)
	}
}
