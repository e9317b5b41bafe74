// This file keeps streams at one software version where a replica may have started again under its id at another one, of which
// this daemon has only the former entry. coordination/routing/suspected_restarts.go decides to which start a connection
// leads. While that is in doubt:
//
//  1. A stream that is bound to a version gets no event from it.
//  2. Nor does a stream begin there while its service has a new version, or is known to have one only, if there was a sign that the
//     replica terminated: its caller could resume it at a daemon that takes the service for one of a single version. That the
//     daemon has just started is no reason: it would delay the streams of each daemon that is replaced.
//  3. Other streams begin at once. They are bound to no version, and not recorded, until the start is known.
//     If they are broken off before that, they are recorded then.
//  4. Where [Options.HasVersions] tells versions, none of this applies while the service is not known to have several, or to have had them
//     lately: streams would be broken off at a replica that is suspected wrongly, and the version that a replica brings when it starts
//     again is known within tenths of a second.
//  5. Streams wait by rules 1 and 2 until the start is known, at most until their deadline, and only while a read of the store is
//     expected. If that is not, a stream that has not begun does so by rule 3.
//
// Events of another start are not passed on: the stream goes on, or begins, at another replica. One that began there by rule 3
// goes on there only.

package relay

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

var (
	errRestarted    = errors.New("replica started again at another software version, or its entry is gone")
	errStartUnknown = errors.New("replica may have started again at another software version; no read of the store has shown its entry since")
)

// awaitStart waits until events of an exchange may be passed on. It returns a failure if they may not be.
func (s *activeCall) awaitStart(ctx context.Context, x *exchange) *failure {
	if s.tried.Version == 0 {
		s.startedInDoubt = nil // it has not begun: an earlier attempt brought no whole event
	}
	if x.startSettled || s.Origins == nil {
		return nil
	}
	if s.startedInDoubt == nil && s.HasVersions != nil && !s.HasVersions(s.call.Service) {
		x.startSettled = true
		return nil
	}
	if s.tried.Version == 0 && !s.call.Route.MayRunAgain() {
		x.startSettled = true // it will go on nowhere else
		return nil
	}
	start, expectsRead := s.connectionStart(x)
	if start == routing.StartInDoubt && expectsRead && s.holdsEvents(x) {
		if start = s.awaitRead(ctx, x); ctx.Err() != nil {
			return givenUp(errStartUnknown)
		}
	}
	switch {
	case start == routing.StartKnown:
		x.startSettled = true
		if s.startedInDoubt == x {
			s.startedInDoubt, s.tried.Version = nil, 0
			s.bind(x.replica)
		}
	case s.startedInDoubt == x:
	case start == routing.StartDiffers:
		return givenUp(errRestarted)
	case s.tried.Version != 0 || !clock.Now().Before(x.deadline):
		return givenUp(errStartUnknown)
	default:
		s.startedInDoubt = x
	}
	return nil
}

// holdsEvents reports whether events of an exchange wait while it is in doubt to which start of its replica it leads.
func (s *activeCall) holdsEvents(x *exchange) bool {
	switch {
	case s.startedInDoubt == x:
		return false
	case s.tried.Version != 0:
		return true
	case !s.Pool.restarts.HasSign(x.replica.Incarnation()):
		return false
	case s.View().HasNewVersion(s.call.Service):
		return true
	}
	_, only := s.Origins.OnlyVersion(s.call.Service)
	return only
}

// awaitRead waits until it is known to which start of its replica an exchange leads, until its deadline, or until no read of the
// store is expected any more.
func (s *activeCall) awaitRead(ctx context.Context, x *exchange) routing.ConnectionStart {
	begun := clock.Now()
	defer func() { s.summary.StartWait += clock.Since(begun) }()
	ctx, cancel := context.WithDeadline(ctx, clock.RuntimeTime(x.deadline))
	defer cancel()
	return s.pollStart(ctx, x)
}

// pollStart is awaitRead without a deadline. It may be called after the call has ended.
func (s *activeCall) pollStart(ctx context.Context, x *exchange) routing.ConnectionStart {
	ticker := time.NewTicker(establishmentPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return routing.StartInDoubt
		case <-ticker.C:
		}
		if start, expectsRead := s.connectionStart(x); start != routing.StartInDoubt || !expectsRead {
			return start
		}
	}
}

// recordOnceKnown records where a stream began that was broken off while that was in doubt, once it is known.
func (s *activeCall) recordOnceKnown(x *exchange) {
	defer func() {
		if v := recover(); v != nil {
			s.Observer.Panicked(s.call.ID, v, debug.Stack()) // it would end the process
		}
	}()
	if s.pollStart(context.Background(), x) == routing.StartKnown {
		s.sendOrigin(x.replica.VersionKey())
	}
}

// connectionStart returns to which start of its replica an exchange leads, and whether a read of the store is expected that
// tells if it is in doubt.
func (s *activeCall) connectionStart(x *exchange) (start routing.ConnectionStart, expectsRead bool) {
	var read time.Time
	now := clock.Now()
	if age := s.Origins.DocumentAges().Read; age >= 0 {
		read = now.Add(-age)
	}
	// The view is read after the time: it has the documents that the time stands for.
	return s.Pool.restarts.Start(s.View(), x.replica, x.conn.opened, read), routing.ExpectsRead(read, now)
}

// suspectRestart records that a replica may have terminated if the connection of an exchange was closed by the other side.
func (s *activeCall) suspectRestart(ctx context.Context, x *exchange, f *failure) {
	if f != nil && ctx.Err() == nil && isConnectionClosed(f.err) {
		s.Pool.restarts.Suspect(x.replica.Incarnation(), clock.Now())
	}
}
