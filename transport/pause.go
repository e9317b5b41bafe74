// This file has timers, contexts and dials whose time does not run out because the process was paused.
// coordination/pause.go decides when it has run out.

package transport

import (
	"context"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// PausableTimer calls a function after some time, as [time.AfterFunc] does, but not before what arrived during a
// pause of the process could be read.
type PausableTimer struct {
	f     func()
	timer *time.Timer

	mu      sync.Mutex
	timeout coordination.PausableTimeout
	due     time.Time
	stopped bool
}

// AfterFunc returns a timer that calls f in its own goroutine after d, or a little later.
func AfterFunc(d time.Duration, f func()) *PausableTimer {
	t := &PausableTimer{f: f, timeout: coordination.NewPausableTimeout(d), due: time.Now().Add(d)}
	t.timer = time.AfterFunc(math.MaxInt64, t.fire) // it is set once the field is
	t.timer.Reset(d)
	return t
}

// fire calls the function, or sets the timer again.
func (t *PausableTimer) fire() {
	if t.extend() {
		return
	}
	t.f()
}

// extend reports whether the function is not to be called yet, or no more.
func (t *PausableTimer) extend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return true
	}
	now := time.Now()
	left := t.timeout.Fired(now.Sub(t.due))
	if left <= 0 {
		t.stopped = true
		return false
	}
	t.due = now.Add(left)
	t.timer.Reset(left)
	return true
}

// Stop prevents the call of the function, unless it has begun.
func (t *PausableTimer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// WithTimeout returns a context that is canceled after d, or a little later, with the cause
// [context.DeadlineExceeded]. It has no deadline that the runtime would enforce.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// Dial opens a TCP connection with the dialer's timeout. It is a [SharedConn].
func Dial(ctx context.Context, dialer net.Dialer, address string) (net.Conn, error) {
	const network = "tcp4"
	bounded := ctx
	if dialer.Timeout > 0 {
		var cancel context.CancelFunc
		bounded, cancel = WithTimeout(ctx, dialer.Timeout)
		defer cancel()
		dialer.Timeout = 0
	}
	conn, err := dialer.DialContext(bounded, network, address)
	if err != nil && ctx.Err() == nil && bounded.Err() != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	if err != nil {
		return nil, err
	}
	return Share(conn), nil
}
