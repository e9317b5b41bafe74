// This file ends calls whose daemon shuts down, so that their callers get a response before their connections are
// closed. coordination/routing/shutdown.go has the rules on requests that were not sent. The others are ended shortly before the end of
// the grace period: the caller is told that the request may have run, unless it has a part of the response.

package relay

import (
	"context"
	"errors"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// errShutdown is the cause of a context that the shutdown of the daemon has ended, and not the caller.
var errShutdown = errors.New("daemon shuts down")

// Shutdown tells the calls of a relay that their daemon shuts down. It is safe for concurrent use.
type Shutdown struct {
	plan  routing.Shutdown // valid once begun is done
	begun context.Context
	begin context.CancelFunc
	over  context.Context
	end   context.CancelFunc
}

// NewShutdown returns a Shutdown that has not begun.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.over, s.end = context.WithCancel(context.Background())
	return s
}

// Begin makes known when the daemon will end the calls that are open then. It is called once.
func (s *Shutdown) Begin(plan routing.Shutdown) {
	s.plan = plan
	s.begin()
}

// Begun returns a channel that is closed when the shutdown begins.
func (s *Shutdown) Begun() <-chan struct{} { return s.begun.Done() }

// End ends the open calls. Their responses are written after that.
func (s *Shutdown) End() { s.end() }

// callContext returns a context that is also done when open calls are ended.
func (s *Shutdown) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.over, func() { cancel(errShutdown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// sendContext returns a context for a long wait that is also done when it is too late to send the call.
func (s *activeCall) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.Shutdown.begun, func() {
		if until, limited := s.lastSend(); limited {
			timer := time.NewTimer(clock.Until(until))
			defer timer.Stop()
			select {
			case <-timer.C:
				cancel()
			case <-ctx.Done():
			}
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// lastSend returns until when the call may be sent by the daemon, which shuts down, or false if there is no limit.
func (s *activeCall) lastSend() (time.Time, bool) {
	return s.Shutdown.plan.LastSend(&s.call.Request, s.Times.Usual(s.call.Route))
}

// isTooLate reports whether the daemon shuts down too soon for the call to be sent.
func (s *activeCall) isTooLate() bool {
	if s.Shutdown.begun.Err() == nil {
		return false
	}
	until, limited := s.lastSend()
	return limited && !clock.Now().Before(until)
}

// isShutdown reports whether the shutdown of the daemon has ended the context of a call.
func isShutdown(ctx context.Context) bool { return context.Cause(ctx) == errShutdown }
