// This file determines whether a replica whose connection broke has crashed. A broken connection
// alone does not prove that, since links and replicas break single connections too. A replica whose
// process has terminated refuses a new connection at once.

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

// endCheckAge is how long the result of a check is reused. All connections to a replica break
// within some milliseconds of its crash, and a replica takes longer than this to restart.
const endCheckAge = 100 * time.Millisecond

// isCut reports whether the error means that the peer closed or reset the connection.
func isCut(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errEndInside} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// endChecks holds the latest check of each replica, so that concurrent requests share one. The
// zero value is empty.
type endChecks struct {
	mu     sync.Mutex
	latest map[routing.Incarnation]*endCheck
}

// endCheck is one check of a replica. ended is valid once done is closed.
type endCheck struct {
	begun time.Time
	done  chan struct{}
	ended bool
}

// begin returns the current check of a replica. If isNew is true, the caller must perform it.
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

// forget removes expired checks.
func (e *endChecks) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.latest {
		if now.Sub(c.begun) >= endCheckAge {
			delete(e.latest, id)
		}
	}
}

// hasEnded reports whether a replica refuses connections. All requests whose connections broke
// at the same time share one dial, which goes on if the caller of the request that started it
// disconnects. If the replica accepts the connection, it is kept in the pool.
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
		return false // the limit is reached, so other connections are open
	}
	c, err := p.open(ctx, r)
	if err == nil {
		p.put(c, clock.Now())
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
