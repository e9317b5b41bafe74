// This file determines whether a replica whose connection broke has crashed. A broken connection
// alone does not prove that, since links and replicas break single connections too. A replica
// whose process has terminated refuses a new connection, once the system has closed its listener.

package relay

import (
	"context"
	"errors"
	"io"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// crashCheckMaxAge is how long the result of a check is reused. All connections to a replica break
// within some milliseconds of its crash, and a replica takes longer than this to restart.
const crashCheckMaxAge = 100 * time.Millisecond

// isConnectionClosed reports whether the error means that the peer closed or reset the connection.
func isConnectionClosed(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errIncompleteEvent} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// crashChecks holds the latest check of each replica, so that concurrent requests share one. The
// zero value is empty.
type crashChecks struct {
	mu     sync.Mutex
	latest map[routing.Incarnation]*crashCheck
}

// crashCheck is one check of a replica. refused, panicked and stack are valid once done is closed.
type crashCheck struct {
	started  time.Time
	done     chan struct{}
	refused  bool
	panicked any       // value of the panic that ended the check; nil: none did
	stack    []byte    // of that panic
	report   sync.Once // one of the requests that share the check reports the panic
}

// run performs the check. A panic ends it without a result, since it would end the process here.
func (c *crashCheck) run(refuses func() bool) {
	defer close(c.done)
	defer func() {
		if c.panicked = recover(); c.panicked != nil {
			c.stack = debug.Stack()
		}
	}()
	c.refused = refuses()
}

// result returns whether the replica refused the connection, once the check has ended. The first call panics if the
// check did.
func (c *crashCheck) result() bool {
	if c.panicked != nil {
		c.report.Do(func() { panic(c.panicked) })
	}
	return c.refused
}

// lateResult is result for a request that is over, whose goroutine a panic would end the process from: it calls panicked
// with the value and the stack instead.
func (c *crashCheck) lateResult(panicked func(value any, stack []byte)) bool {
	if c.panicked != nil {
		c.report.Do(func() { panicked(c.panicked, c.stack) })
	}
	return c.refused
}

// current returns the check of a replica that has not expired, or else a new one. If isNew is true,
// the caller must perform the check.
func (e *crashChecks) current(id routing.Incarnation, now time.Time) (c *crashCheck, isNew bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c = e.latest[id]; c != nil && now.Sub(c.started) < crashCheckMaxAge {
		return c, false
	}
	if e.latest == nil {
		e.latest = make(map[routing.Incarnation]*crashCheck)
	}
	c = &crashCheck{started: now, done: make(chan struct{})}
	e.latest[id] = c
	return c, true
}

// removeExpired removes expired checks.
func (e *crashChecks) removeExpired(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, c := range e.latest {
		if now.Sub(c.started) >= crashCheckMaxAge {
			delete(e.latest, id)
		}
	}
}

// checkTerminated returns a check whether a replica refuses connections. Requests whose connections broke
// at the same time share one dial, which goes on if the call that started it ends. An accepted connection is put into
// the pool.
func (p *Pool) checkTerminated(ctx context.Context, r *routing.Replica, v *routing.View, now time.Time) *crashCheck {
	c, isNew := p.crashChecks.current(r.Incarnation(), now)
	if isNew {
		ctx = context.WithoutCancel(ctx)
		go c.run(func() bool {
			time.Sleep(routing.EndSettleTime)
			return p.refusesConnection(ctx, r, v)
		})
	}
	return c
}

func (p *Pool) refusesConnection(ctx context.Context, r *routing.Replica, v *routing.View) bool {
	if !p.reserve(r.Incarnation(), v.ConnectionLimit(r.Service)) {
		return false // the limit is reached, so other connections are open
	}
	c, err := p.openReserved(r, func() (*conn, error) { return p.openToCheck(ctx, r, v) })
	if err == nil {
		p.put(c, clock.Now())
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// openToCheck opens a connection to a replica whose connection broke. That this daemon's own connection is
// refused proves little, since its links may be down: another daemon, if there is one, must be refused too.
func (p *Pool) openToCheck(ctx context.Context, r *routing.Replica, v *routing.View) (*conn, error) {
	var refused error
	if !p.reach.IsDetoured(r.Service) {
		c, err := p.openDirect(ctx, r, v, false)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return c, err
		}
		refused = err
	}
	c, err := p.openThrough(ctx, r)
	if errors.Is(err, errNoCarrier) && refused != nil {
		return nil, refused
	}
	return c, err
}
