// This file sends a call to one replica after another, as long as it may be
// sent again. It is the only place that sends a request again.

package relay

import (
	"context"
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// Rule holds the figures of a relay.
type Rule struct {
	// WayBack is what is left of the deadline for the answer's way to the caller.
	WayBack time.Duration
	// Patience is the longest silence before an answer's first part after which a
	// repeatable request is sent elsewhere, as a multiple of the route's aim, and
	// PatienceLeast its least value.
	Patience      float64
	PatienceLeast time.Duration
	// GapPatience is the same between events, as a multiple of the route's gap.
	GapPatience      float64
	GapPatienceLeast time.Duration
	// SilenceBlame is the silence after which a replica is reported as silent
	// although the request can't be sent elsewhere.
	SilenceBlame time.Duration
	// ComeBack is the time after which a caller of a refused request is asked to
	// come back.
	ComeBack time.Duration
	// Choices bounds the replicas that are tried, those that took no connection
	// counted.
	Choices int
}

// DefaultRule returns the figures that docs/design/users-platform.md weighs.
func DefaultRule() Rule {
	return Rule{
		WayBack:          10 * time.Millisecond,
		Patience:         0.75,
		PatienceLeast:    250 * time.Millisecond,
		GapPatience:      2,
		GapPatienceLeast: 500 * time.Millisecond,
		SilenceBlame:     time.Second,
		ComeBack:         100 * time.Millisecond,
		Choices:          4,
	}
}

// Options are the parts of a Relay.
type Options struct {
	View     func() *routing.View
	Placer   *routing.Placer
	Budgets  *routing.Budgets
	Codec    Codec
	Observer Observer
	Pool     *Pool
	Rule     Rule
}

// Relay serves calls. It is safe for use by many goroutines.
type Relay struct{ Options }

// New returns a relay.
func New(o Options) *Relay { return &Relay{Options: o} }

// serving is the state of one call.
type serving struct {
	*Relay
	call    *Call
	sink    Sink
	summary Summary
	tried   []routing.ReplicaID
	sent    int // replicas that the request was written to
	begun   bool
	events  *events
	outcome coordination.Outcome // of all attempts so far, if they failed
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
// left, which ctx tells.
func (r *Relay) Serve(ctx context.Context, c *Call, sink Sink) *Summary {
	s := &serving{Relay: r, call: c, sink: sink}
	s.outcome = coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: r.Rule.ComeBack}
	for range r.Rule.Choices {
		if !s.attempt(ctx) {
			break
		}
	}
	s.finish(ctx)
	return &s.summary
}

// attempt sends the call to one replica. It returns true if it may be sent to
// another one.
func (s *serving) attempt(ctx context.Context) bool {
	now := time.Now()
	if ctx.Err() != nil {
		return false
	}
	if s.call.Deadline.Sub(now) <= s.Rule.WayBack {
		s.expire()
		return false
	}
	view := s.View()
	s.summary.View = view.Revision
	target, ok := s.Placer.Choose(view, &s.call.Request, s.tried, now)
	if !ok || !s.allowed(now) {
		return false
	}
	s.tried = append(s.tried, target.Replica.ID)
	s.Placer.Loads.Begin(target.Replica.LoadKey())
	trial := Trial{
		Replica: target.Replica.ID, Domain: target.Replica.Domain, Rank: target.Rank, Copied: target.Source.ID,
		Load: target.Load, Mean: target.Mean,
	}
	f := s.send(ctx, &target, &trial)
	s.Placer.Loads.End(target.Replica.LoadKey())
	trial.Duration = time.Since(now)
	if f != nil {
		trial.Result, trial.Err = f.result, f.err
		if f.blame {
			s.blame(&target.Replica, f.result, f.err)
		}
	}
	s.summary.Trials = append(s.summary.Trials, trial)
	if f == nil {
		s.outcome = nil
		return false
	}
	s.note(f.outcome)
	return s.mayRepeat(f.outcome)
}

// note takes the outcome of an attempt. What may have run once is not said to be
// not run because a later attempt was not.
func (s *serving) note(o coordination.Outcome) {
	if _, may := s.outcome.(coordination.MayHaveRun); may && coordination.MayRepeat(o) {
		return
	}
	s.outcome = o
}

// expire notes that the deadline has passed before a further attempt.
func (s *serving) expire() {
	switch s.outcome.(type) {
	case coordination.MayHaveRun:
		s.outcome = coordination.MayHaveRun{Reason: coordination.ReasonDeadline}
	default:
		s.outcome = coordination.NotRun{Reason: coordination.ReasonDeadline, RetryAfter: s.Rule.ComeBack}
	}
}

// allowed asks whether the request may go to one more replica.
func (s *serving) allowed(now time.Time) bool {
	if s.sent == 0 {
		return true
	}
	return s.sent < s.call.Route.MaxAttempts && s.Budgets.Spend(s.call.Service, now)
}

// mayRepeat reports whether the request may be sent again after an outcome.
func (s *serving) mayRepeat(o coordination.Outcome) bool {
	if coordination.MayRepeat(o) {
		return true
	}
	if s.begun && s.call.Route.Kind != routing.Stream {
		return false
	}
	return s.call.Route.MayRepeat()
}

func (s *serving) blame(r *routing.Replica, result routing.Result, err error) {
	if s.Placer.Health.Report(r, result, time.Now()) {
		s.Observer.PassedOver(r, s.call, err)
	}
}

// send carries out one exchange and passes the answer on. It returns nil if the
// caller has the whole answer.
func (s *serving) send(ctx context.Context, t *routing.Target, trial *Trial) *failure {
	now := time.Now()
	c, err := s.Pool.get(ctx, &t.Replica, s.connections(), now)
	if err != nil {
		return unreachable(ctx, err)
	}
	trial.Reused = c.reused
	// The view may have changed while the connection came up.
	if !s.stillReady(&t.Replica) {
		s.Pool.discard(c)
		return &failure{outcome: coordination.NotRun{Reason: coordination.ReasonConnect, RetryAfter: s.Rule.ComeBack}, err: errLeft}
	}
	x := &exchange{pool: s.Pool, codec: s.Codec, call: s.call, conn: c, deadline: s.call.Deadline}
	if s.sent++; s.sent == 1 {
		s.Budgets.First(s.call.Service, now)
	}
	f := x.begin(ctx, Send{
		Replica: &t.Replica, Source: t.Source.Address,
		Left: time.Until(s.call.Deadline) - s.Rule.WayBack, LastSeen: s.lastSeen(),
	})
	if f == nil {
		f = s.receive(ctx, x, t)
	}
	if f != nil && !x.ended {
		x.abandon()
	}
	return f
}

// connectionShare is the part of a replica's connections that the daemons share
// among them; the rest is for those that do not know all the others.
const connectionShare = 0.9

// connections returns how many connections this daemon may have to a replica of
// the call's service; 0 is no bound.
func (s *serving) connections() int {
	view := s.View()
	if view.Table == nil {
		return 0
	}
	service, ok := view.Table.Service(s.call.Service)
	if !ok || service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(connectionShare*float64(service.MaxConnections))/max(1, view.Daemons))
}

func (s *serving) stillReady(r *routing.Replica) bool {
	for _, ready := range s.View().Pool(s.call.Service).Ready {
		if ready.ID == r.ID {
			return true
		}
	}
	return false
}

func (s *serving) lastSeen() string {
	if s.events != nil {
		return s.events.last
	}
	return s.call.LastSeen
}

// receive waits for the answer and passes it on.
func (s *serving) receive(ctx context.Context, x *exchange, t *routing.Target) *failure {
	if f := s.awaitFirst(ctx, x, &t.Replica); f != nil {
		return f
	}
	if f := x.readHead(ctx); f != nil {
		return f
	}
	if len(s.call.Prompt) > 0 && x.response.StatusCode < http.StatusMultipleChoices {
		s.Placer.Holders.Note(s.call.Key(), s.call.SharedTokens(), t.Replica.LoadKey(), time.Now())
	}
	if s.call.Route.Kind == routing.Stream && x.response.StatusCode < 300 {
		return s.relayStream(ctx, x, t)
	}
	return s.relayWhole(ctx, x, t)
}

// awaitFirst waits for the first byte of the answer. Where the request may be
// repeated it waits only for a while.
func (s *serving) awaitFirst(ctx context.Context, x *exchange, r *routing.Replica) *failure {
	patience := max(time.Duration(s.Rule.Patience*float64(s.call.Route.Aim)), s.Rule.PatienceLeast)
	blameAt := s.Rule.SilenceBlame
	elsewhere := s.call.Route.MayRepeat() && s.sent < s.call.Route.MaxAttempts
	if elsewhere {
		blameAt = patience
	}
	heard, err := x.await(time.Now().Add(blameAt))
	if err != nil {
		return x.broken(ctx, err)
	}
	if heard {
		return nil
	}
	silent := &failure{outcome: coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer}, result: routing.ResultSilent, err: errSilent}
	if time.Now().Before(x.deadline) {
		silent.blame = true
		if elsewhere {
			return silent
		}
		s.blame(r, routing.ResultSilent, errSilent)
		if heard, err = x.await(x.deadline); err != nil {
			return x.broken(ctx, err)
		}
		if heard {
			return nil
		}
		silent.blame = false
	}
	silent.outcome = coordination.MayHaveRun{Reason: coordination.ReasonDeadline}
	return silent
}

// finish gives the caller its final answer if it has none.
func (s *serving) finish(ctx context.Context) {
	s.summary.Total = time.Since(s.call.Arrived)
	s.summary.Outcome = s.outcome
	s.summary.Gone = ctx.Err() != nil
	if s.events != nil {
		s.summary.Events = s.events.count
	}
	switch {
	case s.outcome == nil:
		s.summary.Outcome = coordination.Answered{Status: s.summary.Status}
	case s.summary.Gone || s.begun:
		s.sink.Break()
	case s.fallback != nil:
		s.summary.Status = s.fallback.status
		s.summary.Outcome = coordination.Answered{Status: s.fallback.status}
		_ = s.sink.Answer(s.fallback.status, s.fallback.header, s.fallback.body)
	default:
		s.sink.Refuse(s.withReturn(s.outcome))
	}
	s.Observer.Finished(s.call, &s.summary)
}

// withReturn adds the time to come back to a refusal that lacks it.
func (s *serving) withReturn(o coordination.Outcome) coordination.Outcome {
	if n, ok := o.(coordination.NotRun); ok && n.RetryAfter == 0 {
		n.RetryAfter = s.Rule.ComeBack
		return n
	}
	return o
}
