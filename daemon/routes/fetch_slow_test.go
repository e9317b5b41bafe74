package routes

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
)

// startTrickle starts a server whose responses have a header at once and then a byte each 200 ms.
func startTrickle(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write([]byte(" "))
			_ = http.NewResponseController(w).Flush()
			pause(r.Context(), 200*time.Millisecond)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestPeerThatTricklesIsGivenUp guards against a peer that holds this daemon's only fetch of documents without end.
func TestPeerThatTricklesIsGivenUp(t *testing.T) {
	p, err := openPeers("127.0.0.1:0", newMetrics())
	if err != nil {
		t.Fatal(err)
	}
	defer p.socket.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := p.fetch(ctx, membership.Address(startTrickle(t)), documentsRequest{}); !errors.Is(err, coordination.ErrSlow) {
		t.Errorf("got %v, want %v", err, coordination.ErrSlow)
	}
}

// tricklingStore is a store whose responses trickle; the timeouts are those of the reader.
type tricklingStore struct {
	address string
	calls   chan error
}

func (s *tricklingStore) read(ctx context.Context, t transport.Timeouts) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.address, nil)
	if err != nil {
		return err
	}
	err = transport.Fetch(http.DefaultClient, req, t, func(resp *http.Response) error {
		_, err := resp.Body.Read(make([]byte, 1))
		for err == nil {
			_, err = resp.Body.Read(make([]byte, 1))
		}
		return err
	})
	s.calls <- err
	return err
}

func (s *tricklingStore) List(ctx context.Context, _ string, t transport.Timeouts) (feed.Page, error) {
	return feed.Page{}, s.read(ctx, t)
}

func (s *tricklingStore) Watch(ctx context.Context, _ feed.Revision, _ time.Duration, t transport.Timeouts) (feed.Changes, error) {
	return feed.Changes{}, s.read(ctx, t)
}

func (*tricklingStore) CloseIdleConnections() {}

// TestStoreThatTricklesIsGivenUp guards against a store that holds the reader without end: the daemon would not learn of
// changes, and other daemons would go on to count on it as a reader.
func TestStoreThatTricklesIsGivenUp(t *testing.T) {
	c := &control{events: make(chan event, eventQueue)}
	c.readPlan.Store(&readPlan{ReadPlan: membership.ReadPlan{Reads: true, Wait: 100 * time.Millisecond}, ended: make(chan struct{})})
	for _, listed := range []bool{false, true} {
		s := &tricklingStore{address: startTrickle(t), calls: make(chan error, 1)}
		r := &reader{store: s, control: c, listed: listed, countCall: func() {}, countOlder: func() {}}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		err := r.follow(ctx, c.readPlan.Load())
		cancel()
		if !errors.Is(err, coordination.ErrSlow) || !errors.Is(<-s.calls, coordination.ErrSlow) {
			t.Errorf("listed %t: got %v, want %v", listed, err, coordination.ErrSlow)
		}
	}
}
