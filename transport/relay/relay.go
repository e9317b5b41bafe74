// This file performs the attempts of a call, one replica after another.
// coordination/routing/retry.go decides whether there is another attempt.

package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Options configures a Relay. All fields but PartCrashes, Permits, Origins, Closing, Shutdown and Times are required.
type Options struct {
	View    func() *routing.View
	Placer  *routing.Placer
	Crashes *routing.Crashes
	// PartCrashes records the parts of prompts on which replicas crashed; nil: none are recorded.
	PartCrashes *routing.Crashes
	Budgets     *routing.RetryBudgets
	Codec       Codec
	Observer    Observer
	Pool        *Pool
	// RequestTransfer asks another daemon to transfer the missing amount of retry budget for a
	// service. It returns the amount received.
	RequestTransfer func(ctx context.Context, s routing.ServiceName, missing routing.Retries) routing.Retries
	Permits         Permits // nil: no service needs permits
	Origins         Origins // nil: replicas of all software versions may go on with a stream
	// HasVersions reports whether replicas of a service may start again at another software version: it has several, or had them
	// lately; nil: they always may.
	HasVersions func(s routing.ServiceName) bool
	// AwaitRead waits for a short time after a pause of the process, until what the view is built from has been read;
	// nil: it is always read.
	AwaitRead func(ctx context.Context)
	// Closing reports whether the daemon closes its callers' connections, since its grace period is over; nil: never.
	Closing func() bool
	// Shutdown tells when the daemon shuts down; nil: never.
	Shutdown *Shutdown
	// Times are how long the requests of each route take; nil: not known.
	Times *routing.RouteTimes
}

// Relay forwards calls to replicas. It is safe for concurrent use.
type Relay struct {
	Options
	held heldBytes
}

// New returns a Relay with the given options.
func New(o Options) *Relay {
	if o.Shutdown == nil {
		o.Shutdown = NewShutdown()
	}
	if o.Times == nil {
		o.Times = routing.NewRouteTimes()
	}
	return &Relay{Options: o}
}

// activeCall is the state of one call. It is used by one goroutine, except by the recording of a late crash.
type activeCall struct {
	*Relay
	*attemptState // of the current attempt
	// handover is the one that the current attempt takes part in, since an earlier replica is silent; nil: none.
	handover *handover
	// abandoned is the silent replica that another one has last taken the call over from, and to which the call may return;
	// nil: none.
	abandoned *routing.Replica
	goesBack  bool // the next attempt is at the abandoned replica
	// broken is the replica to which a connection of this daemon's own broke in an earlier attempt, although it has
	// not crashed; nil: none.
	broken      *routing.Replica
	brokeInside bool // it had begun to respond
	call        *Call
	sink        Sink
	summary     Summary
	attempts    routing.Attempts
	tried       triedReplicas
	choices     int          // replicas chosen so far
	unreached   int          // those among them to which nothing was sent, since no connection could be opened
	completed   bool         // the caller has the complete response
	isProbe     bool         // the first attempt is a probe of a quarantined part of the prompt
	events      *eventReader // of a streamed response; nil before the first
	// originRecorded says that this daemon recorded where the stream began, or that it can't be recorded.
	originRecorded bool
	// startedInDoubt is the exchange that brought the first event while it was in doubt which software version its replica has,
	// and still is; nil: none.
	startedInDoubt *exchange
	// fallback is a replica's error response, which is forwarded if neither a further
	// attempt nor a silent replica that still has the call gives a better one.
	fallback *errorResponse
	bodies   int64 // counted memory of bodies that were read whole
	// failed are the replicas whose error responses have not yet been recorded as failures.
	failed   []routing.Replica
	writeErr error // of the first write to the caller that failed
	// finishing says that the final response was begun, and finished that the call's end was reported.
	finishing, finished bool
	served              atomic.Bool // a replica has sent a complete response
}

// errorResponse is a complete error response.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
}

// Serve forwards a call and writes the response to sink. It returns when the caller has
// its final response, or has disconnected, in which case ctx is done, or when the daemon ends its open calls. A panic ends the call as a failure
// does, and then continues.
func (r *Relay) Serve(ctx context.Context, c *Call, sink Sink) *Summary {
	s := &activeCall{Relay: r, attemptState: &attemptState{}, call: c, sink: sink, attempts: routing.NewAttempts(c.Route)}
	defer s.finishAfterPanic(ctx)
	// The HTTP server recovers a panic. Without this, the permit would stay out as long as the process.
	defer s.endAttempts()
	defer s.endProbe()
	defer s.releaseMemory()
	s.run(ctx)
	s.finish(ctx)
	return &s.summary
}

// run performs the attempts, until the caller has the complete response, no other attempt is allowed, or the daemon ends its
// open calls.
func (s *activeCall) run(ctx context.Context) {
	ctx, stop := s.Shutdown.callContext(ctx)
	defer stop()
	if s.bindResumed(ctx) {
		s.tryReplicas(ctx)
	}
	if !s.completed && isShutdown(ctx) {
		s.attempts.RecordShutdown()
	}
}

// releaseMemory uncounts what the call holds of responses.
func (s *activeCall) releaseMemory() {
	s.held.taken.Add(-s.bodies)
	if s.events != nil {
		s.events.free()
	}
}

// tryReplicas sends the call to one replica after another until an attempt succeeds or no other is allowed.
func (s *activeCall) tryReplicas(ctx context.Context) {
	for routing.MayChoose(s.choices, s.unreached, s.Pool.reach.State(s.call.Service)) {
		if !s.attempt(ctx) {
			return
		}
	}
}

// attempt chooses a replica and sends the call to it. It returns true if another
// attempt is allowed.
func (s *activeCall) attempt(ctx context.Context) bool {
	now := clock.Now()
	if ctx.Err() != nil || !s.attempts.InTime(s.call.Deadline, now) {
		return false
	}
	if s.isQuarantined(now) {
		return false
	}
	if s.isTooLate() {
		s.attempts.RecordShutdown()
		return false
	}
	target, ok := s.choose(ctx)
	if !ok {
		if s.isTooLate() {
			s.attempts.RecordShutdown()
		}
		return false
	}
	s.choices++
	s.tried.add(&target.Replica)
	failure := s.sendAndRecord(ctx, &target, clock.Now())
	if failure == nil {
		s.completed = true
		return false
	}
	if !failure.takenOverAt.IsZero() {
		return false
	}
	if failure.isUnreached() {
		s.unreached++
	}
	if failure.result == routing.ResultUnreachable && target.Replica.Domain != s.View().Domain {
		s.tried.RemoteUnreachable = true
	}
	s.goesBack = s.planReturn(failure)
	return s.attempts.RecordFailure(failure.outcome)
}

// choose returns the target of the next attempt. It returns false if there is none; the outcome then
// says why.
func (s *activeCall) choose(ctx context.Context) (routing.Target, bool) {
	if r := s.returnTarget(); r != nil {
		return s.chooseAbandoned(ctx, r)
	}
	if s.attempts.IsReturn() {
		return routing.Target{}, false
	}
	if s.Permits == nil {
		return s.chooseDirect(ctx)
	}
	atReplica := s.Permits.NeededAtReplica(s.call.Service)
	if !atReplica && !s.Permits.Needed(s.call.Service) {
		return s.chooseDirect(ctx)
	}
	ctx, stop := s.sendContext(ctx)
	defer stop()
	if atReplica {
		return s.chooseAtReplica(ctx)
	}
	return s.chooseWithPermit(ctx)
}

// chooseDirect is choose for an attempt without a permit.
func (s *activeCall) chooseDirect(ctx context.Context) (routing.Target, bool) {
	now, view := clock.Now(), s.View()
	s.summary.Position = view.Position
	target, ok := s.Placer.Choose(view, &s.call.Request, s.tried.Tried, now)
	if !ok {
		s.attempts.RecordNoReplica(s.Placer.NoReplicaReason(view, &s.call.Request, s.tried.Tried, now))
		return routing.Target{}, false
	}
	s.reportFull(&target)
	return target, s.reserveSend(ctx)
}

// reserveSend reports whether the call may be sent to a replica. If it was sent before, it reserves
// a retry.
func (s *activeCall) reserveSend(ctx context.Context) bool {
	return s.attempts.MaySend(s.Budgets, s.call.Service, clock.Now()) || s.reserveByTransfer(ctx)
}

// sendAndRecord sends the call to a replica, updates what is known about the replica, and adds
// the attempt to the summary.
func (s *activeCall) sendAndRecord(ctx context.Context, t *routing.Target, started time.Time) *failure {
	a := Attempt{
		Replica: t.Replica.ID, Version: t.Replica.Version, Rank: t.Rank, Cold: t.Replica.IsCold(started), NewVersion: t.NewVersion, PromptSource: t.Source.ID,
		Load: t.Load, MeanLoad: t.Mean, LoadCoverage: t.Coverage,
	}
	i := len(s.summary.Attempts) // further attempts may follow before this one has ended
	s.summary.Attempts = append(s.summary.Attempts, a)
	a.Err = errPanicked // unless sendCounted returns
	defer func() {
		if a.Duration == 0 {
			a.Duration = clock.Since(started)
		}
		s.summary.Attempts[i] = a
	}()
	f := s.sendCounted(ctx, t, &a)
	a.Duration, a.Err = clock.Since(started), nil
	if f == nil && isSuccess(s.summary.Status) {
		s.Times.Record(s.call.Route, a.Duration, clock.Now())
	}
	if f != nil {
		if !f.takenOverAt.IsZero() {
			a.Duration = f.takenOverAt.Sub(started)
		}
		a.Err, a.Rejected = f.err, errors.Is(f.err, errRejected)
		s.releaseFailed(ctx, f)
		s.reportRejection(f)
		if a.Rejected && a.Brittle {
			s.Placer.Brittle.RecordRejection(&t.Replica, clock.Now())
		}
		if f.countsAgainst {
			s.recordFailure(&t.Replica, f.result, f.err)
		}
		if f.connClosed {
			s.recordBroken(ctx, t, &a, f)
		}
		if f.replaced {
			s.recordReplaced(&t.Replica)
		}
	}
	return f
}

// sendCounted sends the call to a replica and counts it as in flight there.
func (s *activeCall) sendCounted(ctx context.Context, t *routing.Target, a *Attempt) *failure {
	key, loads := t.Replica.LoadKey(), s.Placer.Loads
	s.sent = time.Time{}
	defer func() { s.endCounts() }() // of this attempt: further ones may have come and gone
	if s.hasPermit {
		loads.BeginPermitted(key)
		s.onEnd(func() { loads.EndPermitted(key) })
		return s.send(ctx, t, a)
	}
	loads.Begin(key)
	s.onEnd(func() { loads.End(key) })
	return s.send(ctx, t, a)
}

// send performs one exchange and forwards the response. It returns nil if the caller has
// the complete response.
func (s *activeCall) send(ctx context.Context, t *routing.Target, a *Attempt) *failure {
	now := clock.Now()
	c, err := s.connect(ctx, &t.Replica, now)
	if err != nil {
		return unreachable(ctx, err)
	}
	a.Reused, a.Via = c.reused, c.via
	x := &exchange{
		pool: s.Pool, codec: s.Codec, call: s.call, replica: &t.Replica, conn: c, deadline: s.responseDeadline(),
		onSelfReport: func(report SelfReport) { s.applySelfReport(&t.Replica, a, report) },
	}
	defer x.closeUnlessReleased() // after a panic too: the connection counts towards the replica's limit
	// The view, the replica's eligibility and the quarantine may have changed during connection setup, and during a pause of
	// the process.
	if s.AwaitRead != nil {
		s.AwaitRead(ctx)
	}
	if !s.View().IsReady(&t.Replica) {
		return &failure{outcome: coordination.NotRun{Reason: coordination.ReasonConnect, RetryAfter: routing.RetryAfter}, err: errNotReady}
	}
	if now := clock.Now(); s.Placer.IsIneligible(&t.Replica, now) {
		x.returnUnused(now)
		return &failure{outcome: s.Placer.NoReplicaReason(s.View(), &s.call.Request, s.tried.Tried, now), err: errIneligible}
	}
	if s.isQuarantined(clock.Now()) {
		x.returnUnused(clock.Now())
		return &failure{outcome: s.attempts.Outcome, err: errQuarantined}
	}
	if s.isTooLate() {
		x.returnUnused(clock.Now())
		return &failure{outcome: coordination.NotRun{Reason: coordination.ReasonShutdown, RetryAfter: routing.RetryAfter}, err: errShutdown}
	}
	if c.via == "" {
		s.Pool.reach.Begin(&t.Replica, s.replicas(&t.Replica))
		s.onEnd(func() { s.Pool.reach.End(&t.Replica) })
	}
	f := x.writeRequest(ctx, RequestHead{
		Replica: &t.Replica, PromptSource: t.Source.Address,
		Remaining: clock.Until(s.call.Deadline) - routing.ReturnMargin, LastEventID: s.lastEvent(),
	})
	if x.written {
		s.recordSend(x)
	}
	if f == nil {
		f = s.receive(ctx, x, t, a)
	}
	a.End, a.ConnEnd = x.endBasis, connEndOf(f, x.received)
	s.suspectRestart(ctx, x, f)
	if f != nil && f.takenOverAt.IsZero() {
		s.reportLink(ctx, x, &t.Replica, f)
		if s.blamesOwnLink(c) {
			f.countsAgainst = false
		}
	}
	if f != nil && f.result == routing.ResultBroken && f.countsAgainst && !x.received && s.isOwnLink(c) {
		s.Pool.linkDoubts.Record(t.Replica.Domain, clock.Now())
	}
	return f
}

// lastEvent returns the id of the last event that the caller received.
func (s *activeCall) lastEvent() string {
	if s.events != nil {
		return s.events.forwarded.id
	}
	return s.call.LastEventID
}

// receive waits for the response and forwards it.
func (s *activeCall) receive(ctx context.Context, x *exchange, t *routing.Target, a *Attempt) *failure {
	x.conn.reader.SetSource(&responseSource{s: s, ctx: ctx, exchange: x})
	f := x.readHeader(ctx)
	if x.hasResponse() {
		s.Placer.Health.RecordAlive(&t.Replica, x.conn.opened, x.sent)
		s.Pool.restarts.RecordResponse(t.Replica.Incarnation(), x.conn.opened, x.sent)
		if !x.head.SelfReport.Brittle {
			s.Placer.Brittle.RecordOrdinary(t.Replica.Service, x.sent, clock.Now())
		}
	}
	if f != nil {
		return f
	}
	s.reportSlowResponse(x.sent)
	s.recordLoad(t, a, x.head.SelfReport.Load)
	status := x.response.StatusCode
	if len(s.call.Prompt) > 0 && isSuccess(status) {
		s.Placer.RecordRead(&s.call.Request, t, clock.Now())
	}
	if s.call.Route.Kind == routing.Stream && isSuccess(status) {
		return s.forwardStream(ctx, x, t)
	}
	return s.forwardComplete(ctx, x, t)
}

// isSuccess reports whether a status is neither a redirection nor an error.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// reserveByTransfer asks other daemons for the retry budget that this one lacks, and reserves the
// retry if they transfer enough.
func (s *activeCall) reserveByTransfer(ctx context.Context) bool {
	transferred := routing.Retries(0)
	for range routing.MaxTransferPeers {
		missing := s.attempts.TransferNeeded(s.Budgets, s.call.Service, transferred, clock.Now())
		if missing == 0 {
			return false
		}
		transferred += s.RequestTransfer(ctx, s.call.Service, missing)
		if s.attempts.ReserveWithGrant(s.Budgets, s.call.Service, transferred, clock.Now()) {
			return true
		}
	}
	return false
}
