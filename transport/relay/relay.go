// This file carries out the attempts of a call, one replica after another. Whether
// there is another attempt is decided in coordination/routing/retry.go.

package relay

import (
	"context"
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Options are the parts of a Relay. All are needed.
type Options struct {
	View     func() *routing.View
	Placer   *routing.Placer
	Crashes  *routing.Crashes
	Budgets  *routing.RetryBudgets
	Codec    Codec
	Observer Observer
	Pool     *Pool
	// Borrow asks another daemon for what is missing of a retry at a service, and returns what
	// it lends.
	Borrow func(ctx context.Context, s routing.ServiceName, missing routing.Retries) routing.Retries
}

// Relay serves calls. It is safe for use by many goroutines.
type Relay struct{ Options }

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// serving is the state of one call. One goroutine uses it.
type serving struct {
	*Relay
	call     *Call
	sink     Sink
	summary  Summary
	attempts routing.Attempts
	tried    routing.Tried
	served   bool         // the caller has the whole answer
	events   *eventReader // of a streamed answer; nil before the first
	// fallback is a replica's own error answer, which goes out if no further
	// attempt gives a better one.
	fallback *fallback
	// failed are the replicas that answered with errors of their own.
	failed []routing.Replica
}

// fallback is a whole answer with an error.
type fallback struct {
	status int
	header http.Header
	body   []byte
}

// Serve answers a call. It returns when the caller has its final answer or has
// left, which shows in ctx.
func (r *Relay) Serve(ctx context.Context, c *Call, sink Sink) *Summary {
	s := &serving{Relay: r, call: c, sink: sink, attempts: routing.NewAttempts(c.Route)}
	for range routing.MaxChoices {
		if !s.attempt(ctx) {
			break
		}
	}
	s.finish(ctx)
	return &s.summary
}

// attempt sends the call to one replica. It returns true if another one may be
// chosen.
func (s *serving) attempt(ctx context.Context) bool {
	now := clock.Now()
	if ctx.Err() != nil || !s.attempts.InTime(s.call.Deadline, now) {
		return false
	}
	if s.heldBack(now) {
		return false
	}
	view := s.View()
	s.summary.Position = view.Position
	target, ok := s.Placer.Choose(view, &s.call.Request, s.tried, now)
	if !ok {
		s.attempts.RecordNoReplica(s.Placer.WhyNone(view, &s.call.Request, now))
		return false
	}
	if !s.attempts.MaySend(s.Budgets, s.call.Service, now) && !s.borrowRetry(ctx) {
		return false
	}
	s.tried.Replicas = append(s.tried.Replicas, target.Replica.ID)
	failure := s.measured(ctx, &target, now)
	if failure == nil {
		s.served = true
		return false
	}
	if failure.result == routing.ResultUnreachable && target.Replica.Domain != view.Domain {
		s.tried.RemoteUnreachable = true
	}
	return s.attempts.RecordFailure(failure.outcome)
}

// measured sends the call to a replica and takes down how that went.
func (s *serving) measured(ctx context.Context, t *routing.Target, begun time.Time) *failure {
	a := Attempt{
		Replica: t.Replica.ID, Rank: t.Rank, Cold: t.Replica.IsCold(begun), Copied: t.Source.ID,
		Load: t.Load, Mean: t.Mean, Coverage: t.Coverage,
	}
	key := t.Replica.LoadKey()
	s.Placer.Loads.Begin(key)
	f := s.send(ctx, t, &a)
	s.Placer.Loads.End(key)
	a.Duration = clock.Since(begun)
	if f != nil {
		a.Err = f.err
		if f.blame {
			s.blame(&t.Replica, f.result, f.err)
		}
		if f.cut {
			s.noteEnd(ctx, &t.Replica)
		}
		if f.replaced {
			s.noteReplaced(&t.Replica)
		}
	}
	s.summary.Attempts = append(s.summary.Attempts, a)
	return f
}

// blame holds a result against a replica.
func (s *serving) blame(r *routing.Replica, result routing.Result, err error) {
	if s.Placer.Health.Report(r, result, clock.Now()) {
		s.Observer.Ejected(r, s.call, err)
	}
}

// heldBack reports whether the call may not be sent because replicas end under it.
func (s *serving) heldBack(now time.Time) bool {
	if !s.Crashes.Held(s.call.Content, now) {
		return false
	}
	s.attempts.RecordQuarantined()
	return true
}

// noteEnd finds out whether a replica that broke an answer off has ended. That is known
// before the call may be sent again.
func (s *serving) noteEnd(ctx context.Context, r *routing.Replica) {
	now := clock.Now()
	if !s.Pool.hasEnded(ctx, r, s.View().ConnectionLimit(s.call.Service), now) {
		return
	}
	s.Observer.EndedUnder(r, s.call)
	s.Placer.Health.ReportEnd(r, now)
	if s.Crashes.ReportEnd(s.call.Content, s.call.Workspace, r, now) {
		s.Observer.HeldBack(s.call.Content)
	}
}

// noteReplaced takes in that another replica answered at a replica's address: the one that was meant
// has ended, and its entry is not up to date. Other daemons are told, or each would find out by
// requests of its own, and a caller that comes back by one of them would be turned away again.
func (s *serving) noteReplaced(r *routing.Replica) {
	now := clock.Now()
	s.Placer.Health.ReportEnd(r, now)
	if s.Placer.Leavings.Say(r, now) {
		s.Observer.Replaced(r, s.call)
	}
}

// praise counts a whole answer in a replica's favour, and the errors of those that
// were asked before against them.
func (s *serving) praise(r *routing.Replica, now time.Time) {
	s.Placer.Health.Report(r, routing.ResultGood, now)
	s.Crashes.Acquit(s.call.Content, now)
	s.blameFailed()
}

// send carries out one exchange and passes the answer on. It returns nil if the
// caller has the whole answer.
func (s *serving) send(ctx context.Context, t *routing.Target, a *Attempt) *failure {
	now := clock.Now()
	c, err := s.Pool.get(ctx, &t.Replica, s.View().ConnectionLimit(s.call.Service), now)
	if err != nil {
		return unreachable(ctx, err)
	}
	a.Reused = c.reused
	// The view may have changed while the connection came up.
	if !s.View().IsReady(&t.Replica) {
		s.Pool.discard(c)
		return &failure{outcome: coordination.NotRun{Reason: coordination.ReasonConnect, RetryAfter: routing.RetryAfter}, err: errDrained}
	}
	if now := clock.Now(); s.Placer.Bars(&t.Replica, now) {
		s.Pool.put(c, now)
		return &failure{outcome: s.Placer.WhyNone(s.View(), &s.call.Request, now), err: errBarred}
	}
	if s.heldBack(clock.Now()) {
		s.Pool.put(c, clock.Now())
		return &failure{outcome: s.attempts.Outcome, err: errHeldBack}
	}
	x := &exchange{
		pool: s.Pool, codec: s.Codec, call: s.call, conn: c, deadline: s.call.Deadline,
		heard: func(says Statement) { s.hear(&t.Replica, a, says) },
	}
	if s.attempts.CountSend() {
		s.Budgets.CountRequest(s.call.Service, now)
	}
	f := x.begin(ctx, RequestHead{
		Replica: &t.Replica, Source: t.Source.Address,
		Left: clock.Until(s.call.Deadline) - routing.ReturnMargin, LastEvent: s.lastEvent(),
	})
	if f == nil {
		f = s.receive(ctx, x, t, a)
	}
	if f != nil && f.result == routing.ResultBroken && f.blame && !x.arrived {
		s.Pool.doubts.Broke(t.Replica.Domain, clock.Now())
	}
	if f != nil && !x.ended {
		x.abandon()
	}
	return f
}

// lastEvent returns the id of the last event that the caller has.
func (s *serving) lastEvent() string {
	if s.events != nil {
		return s.events.last
	}
	return s.call.LastEvent
}

// receive waits for the answer and passes it on.
func (s *serving) receive(ctx context.Context, x *exchange, t *routing.Target, a *Attempt) *failure {
	if f := s.awaitFirstByte(ctx, x, &t.Replica); f != nil {
		return f
	}
	f := x.readHead(ctx)
	if x.isAnswered() {
		s.Placer.Health.Lived(&t.Replica, x.conn.opened, x.sent)
	}
	if f != nil {
		return f
	}
	s.noteLoad(t, a, x.head.Says.Load)
	status := x.response.StatusCode
	if len(s.call.Prompt) > 0 && isSuccess(status) {
		s.Placer.RecordRead(&s.call.Request, t, clock.Now())
	}
	if s.call.Route.Kind == routing.Stream && isSuccess(status) {
		return s.relayStream(ctx, x, t)
	}
	return s.relayWhole(ctx, x, t)
}

// hear takes in what a replica says of itself in an answer: before anything of the answer is
// passed on, and whatever becomes of the request.
func (s *serving) hear(r *routing.Replica, a *Attempt, says Statement) {
	now := clock.Now()
	a.Rest, a.Leaving = max(a.Rest, says.Rest), a.Leaving || says.Leaving
	s.Observer.Said(r, s.call, says)
	if left, isNew := s.Placer.Rests.Ask(r, says.Rest, s.call.ID, now); isNew {
		s.Observer.Rests(r, s.call, left)
	}
	if says.Leaving && s.Placer.Leavings.Say(r, now) {
		s.Observer.Leaves(r, s.call)
	}
}

// noteLoad takes in what a replica says it holds; the answered request is not counted.
func (s *serving) noteLoad(t *routing.Target, a *Attempt, l ReportedLoad) {
	a.Reported = l
	if l.Known && s.Placer.ReportLoad(&s.call.Request, t, max(0, l.Requests-1), clock.Now()) {
		s.Observer.Crowded(&t.Replica, s.call, l)
	}
}

// isSuccess reports whether a status is below those of redirections and errors.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// awaitFirstByte waits for the first byte of the answer. Where the request can go to
// another replica it waits only for a while.
func (s *serving) awaitFirstByte(ctx context.Context, x *exchange, r *routing.Replica) *failure {
	wait, leave := s.attempts.FirstByteTimeout()
	arrived, err := x.await(clock.Now().Add(wait))
	if err != nil {
		return x.broken(ctx, err)
	}
	if arrived {
		return nil
	}
	if !clock.Now().Before(x.deadline) {
		return x.expired()
	}
	if leave && s.reserveRetry(ctx) {
		return x.silent()
	}
	s.blame(r, routing.ResultSilent, errSilent)
	if !leave {
		s.Placer.Health.ReportSilence(r, clock.Now())
	}
	if arrived, err = x.await(x.deadline); err != nil {
		return x.broken(ctx, err)
	}
	if arrived {
		return nil
	}
	return x.expired()
}

// reserveRetry reports whether the call may go to another replica if this one is left.
func (s *serving) reserveRetry(ctx context.Context) bool {
	return s.attempts.ReserveRetry(s.Budgets, s.call.Service, clock.Now()) || s.borrowRetry(ctx)
}

// borrowRetry asks other daemons for what this one lacks of a retry, and reserves it.
func (s *serving) borrowRetry(ctx context.Context) bool {
	loan := routing.Retries(0)
	for range routing.MaxTransferPeers {
		missing := s.attempts.TransferNeeded(s.Budgets, s.call.Service, loan, clock.Now())
		if missing == 0 {
			return false
		}
		loan += s.Borrow(ctx, s.call.Service, missing)
		if s.attempts.ReserveWithGrant(s.Budgets, s.call.Service, loan, clock.Now()) {
			return true
		}
	}
	return false
}

// finish gives the caller its final answer if it has none.
func (s *serving) finish(ctx context.Context) {
	s.summary.Total = clock.Since(s.call.Arrived)
	s.summary.Outcome = s.attempts.Outcome
	s.summary.Gone = ctx.Err() != nil
	if s.events != nil {
		s.summary.Events = s.events.count
	}
	switch {
	case s.served:
		s.summary.Outcome = coordination.Answered{Status: s.summary.Status}
	case s.summary.Gone || s.attempts.ResponseStarted:
		s.sink.Abort()
	case s.fallback != nil:
		s.summary.Status = s.fallback.status
		s.summary.Outcome = coordination.Answered{Status: s.fallback.status}
		_ = s.sink.Answer(s.fallback.status, s.fallback.header, s.fallback.body) // the caller has left
	default:
		s.sink.Refuse(withRetryAfter(s.attempts.Outcome))
	}
	s.Observer.Finished(s.call, &s.summary)
}

// withRetryAfter adds the time to come back to a refusal that lacks it.
func withRetryAfter(o coordination.Outcome) coordination.Outcome {
	if n, ok := o.(coordination.NotRun); ok && n.RetryAfter == 0 {
		n.RetryAfter = routing.RetryAfter
		return n
	}
	return o
}
