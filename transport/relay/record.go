// This file records what an attempt shows about its replica, for the decisions on later requests: failures, crashes, what
// replicas say about themselves, and that a request is sound.

package relay

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// recordFailure reports a failure of a replica to the routing, which may eject it.
func (s *activeCall) recordFailure(r *routing.Replica, result routing.Result, err error) {
	if s.Placer.Health.Report(r, result, clock.Now()) {
		s.Observer.Ejected(r, s.call, err)
	}
}

// checkCrash checks whether a replica that broke a connection has crashed, and records the crash.
// It returns before the call may be retried, since the crash may quarantine its content. It reports whether the
// replica has crashed. If the call is over before the check is, it returns false, and the crash is recorded later.
func (s *activeCall) checkCrash(ctx context.Context, r *routing.Replica, responding time.Duration) bool {
	now := clock.Now()
	ctx, cancel := context.WithDeadline(ctx, clock.RuntimeTime(s.call.Deadline))
	defer cancel()
	check := s.Pool.checkTerminated(ctx, r, s.View(), now)
	select {
	case <-check.done:
		if !check.result() {
			return false
		}
		s.recordCrash(r, responding, now)
		return true
	case <-ctx.Done():
		go func() {
			<-check.done
			if check.lateResult(func(value any, stack []byte) { s.Observer.Panicked(s.call.ID, value, stack) }) {
				s.recordCrash(r, responding, now)
			}
		}()
		return false
	}
}

// recordCrash records that a replica crashed while it had the call, and what the call contains unless it was served
// since: a complete response clears that. It may run after the call has ended.
func (s *activeCall) recordCrash(r *routing.Replica, responding time.Duration, now time.Time) {
	s.Observer.CrashedDuring(r, s.call, responding)
	s.Placer.Health.ReportTermination(r, now)
	if s.served.Load() {
		return
	}
	if s.Crashes.ReportCrash(s.call.Content, s.call.Workspace, r, now) {
		s.Observer.Quarantined(s.call.Content)
	}
	s.PartCrashes.ReportPartCrashes(&s.call.Request, s.call.Workspace, r, responding, now)
}

// recordSound records that a replica has responded to the call for long enough to show that it does not
// crash on the parts of its prompt.
func (s *activeCall) recordSound(x *exchange) {
	if !x.sound && x.responding() >= routing.PartSoundAfter {
		x.sound = true
		s.PartCrashes.RecordSound(&s.call.Request, clock.Now())
	}
}

// recordReplaced records that another replica responded at a replica's address: the addressed one
// has terminated, and its entry is out of date. Other daemons are informed; otherwise each would
// find out by requests of its own, and a caller that retries at one of them would be rejected again.
func (s *activeCall) recordReplaced(r *routing.Replica) {
	now := clock.Now()
	s.Placer.Health.ReportTermination(r, now)
	if s.Placer.Departures.RecordAnnounced(r, now) {
		s.Observer.Replaced(r, s.call)
	}
}

// recordSuccess records a complete response as a success of the replica, and clears the content's
// crashes. Error responses of earlier attempts are then recorded as failures.
func (s *activeCall) recordSuccess(r *routing.Replica, now time.Time) {
	s.served.Store(true)
	s.Placer.Health.Report(r, routing.ResultGood, now)
	s.Crashes.Clear(s.call.Content, now)
	s.recordErrorResponses()
}

// recordSend records that a replica has bytes of the request, so that it may run it.
func (s *activeCall) recordSend(x *exchange) {
	s.sent = x.sent
	if s.attempts.CountSend() {
		s.Budgets.CountRequest(s.call.Service, x.sent)
	}
}

// applySelfReport applies a replica's self-report. It is called before any of the response is
// forwarded, and whatever becomes of the request.
func (s *activeCall) applySelfReport(r *routing.Replica, a *Attempt, report SelfReport) {
	now := clock.Now()
	a.Backoff, a.Leaving, a.Brittle = max(a.Backoff, report.Backoff), a.Leaving || report.Leaving, a.Brittle || report.Brittle
	if report.Brittle {
		s.Placer.Brittle.Record(r.Service, report.RejectionLimit, now)
	}
	s.Observer.SelfReported(r, s.call, report)
	if left, isNew := s.Placer.Backoffs.Record(r, report.Backoff, s.call.ID, now); isNew {
		s.Observer.BackoffRequested(r, s.call, left)
	}
	if report.Leaving && s.Placer.Departures.RecordAnnounced(r, now) {
		s.Observer.DepartureAnnounced(r, s.call)
	}
}

// recordLoad records the load that a replica reported, without the request it responded to.
func (s *activeCall) recordLoad(t *routing.Target, a *Attempt, l ReportedLoad) {
	a.Reported = l
	if l.Known && s.Placer.ReportLoad(&s.call.Request, t, max(0, l.Requests-1), clock.Now()) {
		s.Observer.Overloaded(&t.Replica, s.call, l)
	}
}
