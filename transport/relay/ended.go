// This file finds out whether a replica that broke an answer off has ended, or only broke
// off: links and replicas break single connections too. A replica that has ended refuses a new
// connection at once.

package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// endCheckAge is how long the result of one check holds: all that ran at a replica breaks
// within some milliseconds of its end, and a replica needs longer to start again.
const endCheckAge = 100 * time.Millisecond

// isCut reports whether the other end closed or reset the connection.
func isCut(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errEndInside} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// endChecks are the latest checks, one for each replica. The zero value has none.
type endChecks struct {
	mu     sync.Mutex
	latest map[routing.Incarnation]*endCheck
}

// endCheck is one check; ended may be read once done is closed.
type endCheck struct {
	begun time.Time
	done  chan struct{}
	ended bool
}

// begin returns the latest check of a replica, and whether the caller is to carry it out.
func (e *endChecks) begin(id routing.Incarnation, now time.Time) (c *endCheck, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c = e.latest[id]; c != nil && now.Sub(c.begun) < endCheckAge {
		return c, false
	}
	if e.latest == nil {
		e.latest = make(map[routing.Incarnation]*endCheck)
	}
	c = &endCheck{begun: now, done: make(chan struct{})}
	e.latest[id] = c
	return c, true
}

// forget drops the checks that no longer hold.
func (e *endChecks) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.latest {
		if now.Sub(c.begun) >= endCheckAge {
			delete(e.latest, id)
		}
	}
}

// hasEnded reports whether a replica refuses connections. It asks once for all requests that
// broke off there at a time, also where one's caller leaves meanwhile; the connection of a
// replica that takes one is kept for the next request.
func (p *Pool) hasEnded(ctx context.Context, r *routing.Replica, limit int, now time.Time) bool {
	c, isNew := p.checks.begin(r.Incarnation(), now)
	if isNew {
		c.ended = p.refuses(context.WithoutCancel(ctx), r, limit)
		close(c.done)
	}
	<-c.done
	return c.ended
}

func (p *Pool) refuses(ctx context.Context, r *routing.Replica, limit int) bool {
	if !p.reserve(r.Incarnation(), limit) {
		return false // others are open
	}
	c, err := p.open(ctx, r)
	if err == nil {
		p.put(c, clock.Now())
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
