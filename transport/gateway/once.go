// This file runs requests that must not be repeated. The ledger of coordination/fleet
// decides; this file carries out its decisions, locally or at the daemon that owns the
// key.

package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// OnceForwarder sends a request to the daemon that owns its key.
type OnceForwarder interface {
	ForwardOnce(ctx context.Context, owner state.Member, r *OnceRequest) OnceResult
}

// OnceOptions are the components and settings of an OnceRunner.
type OnceOptions struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Secret      []byte // fresh random bytes
	Snapshot    func() *state.Snapshot
	Upstreams   *Upstreams
	Forwarder   OnceForwarder
	Recorder    *transport.Recorder
	Metrics     *Metrics
	LedgerBytes int
	AnswerBytes int64
	Now         func() time.Time
}

// OnceRunner runs requests that must not be repeated. It is safe for concurrent use.
type OnceRunner struct {
	OnceOptions
	issuer  *fleet.TicketIssuer
	started time.Time
	retries *retries

	mu     sync.Mutex
	ledger *fleet.Ledger
}

// NewOnceRunner returns the runner of one daemon incarnation.
func NewOnceRunner(o OnceOptions) *OnceRunner {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &OnceRunner{
		OnceOptions: o,
		issuer:      fleet.NewTicketIssuer(o.Self, o.Incarnation, o.Secret),
		started:     o.Now(),
		retries:     newRetries(o.Metrics),
		ledger:      fleet.NewLedger(o.LedgerBytes),
	}
}

// Issue returns a ticket and how long it is valid.
func (o *OnceRunner) Issue(w state.WorkspaceID, s state.ServiceID) (string, time.Duration) {
	lifetime := o.rules().Window
	return o.issuer.Issue(w, s, o.age()+lifetime, randomID()), lifetime
}

func (o *OnceRunner) age() time.Duration { return o.Now().Sub(o.started) }

func (o *OnceRunner) rules() fleet.OwnerRules {
	return fleet.RulesOf(o.Snapshot().Config)
}

// Run runs a request at the owner of its key, here or at a peer.
func (o *OnceRunner) Run(ctx context.Context, r *OnceRequest) OnceResult {
	if !fleet.IsTicket(r.Key) {
		if refusal := fleet.MayForward(o.Now(), o.Snapshot().Ownership); refusal != nil {
			return OnceRefusal{refusal}
		}
	}
	owner, result := o.owner(r)
	if result != nil {
		return result
	}
	if owner.ID == string(o.Self) {
		return o.RunHere(ctx, r)
	}
	return o.Forwarder.ForwardOnce(ctx, owner, r)
}

// owner returns the daemon that may run the request.
func (o *OnceRunner) owner(r *OnceRequest) (state.Member, OnceResult) {
	list := o.Snapshot().Members
	if !fleet.IsTicket(r.Key) {
		m, ok := fleet.OwnerOf(list, r.ledgerKey())
		if !ok {
			return m, OnceRefusal{coordination.MayHaveRun{Reason: coordination.ReasonOwnerUnreachable, RetryAfter: defaultRetryTime}}
		}
		return m, nil
	}
	t, err := fleet.ParseTicket(r.Key)
	if err != nil {
		return state.Member{}, OnceConflict{err}
	}
	if t.Daemon == o.Self {
		return state.Member{ID: string(o.Self)}, nil
	}
	m := list.Find(string(t.Daemon))
	if m == nil || m.Kind != state.KindDaemon {
		return state.Member{}, OnceRefusal{coordination.MayHaveRun{Reason: coordination.ReasonTicketIssuerGone, RetryAfter: defaultRetryTime}}
	}
	return *m, nil
}

// RunForPeer runs a request that a peer forwarded. A request with a caller's own key
// must carry a fresh challenge: if it was delayed on the way it may be older than the
// window, and nothing else in it can show that.
func (o *OnceRunner) RunForPeer(ctx context.Context, r *OnceRequest, challenge string) OnceResult {
	if !fleet.IsTicket(r.Key) && !o.issuer.IsFresh(challenge, o.age()) {
		return OnceChallenge{o.issuer.Challenge(o.age())}
	}
	return o.RunHere(ctx, r)
}

// RunHere runs a request at this daemon if it may. It never forwards, so a request
// takes at most one hop.
func (o *OnceRunner) RunHere(ctx context.Context, r *OnceRequest) OnceResult {
	keep, permit, result := o.mayRun(r)
	if result != nil {
		return result
	}
	for {
		switch a := o.begin(r, keep).(type) {
		case fleet.Start:
			return o.sendOnce(ctx, r, permit)
		case fleet.Replay:
			return OnceAnswer{Answer: a.Answer, Replayed: true}
		case fleet.Conflict:
			return OnceConflict{errKeyReused}
		case fleet.Deny:
			return OnceRefusal{a.Outcome}
		case fleet.Wait:
			select {
			case <-a.First.Done:
				if notRun, ok := a.First.Outcome.(coordination.NotRun); ok {
					return refusalResult(notRun)
				}
			case <-ctx.Done():
				return OnceRefusal{coordination.MayHaveRun{Reason: coordination.ReasonDeadline, RetryAfter: defaultRetryTime}}
			}
		}
	}
}

// mayRun decides whether this daemon may run the request. keep is how long its key
// must be remembered; permit is the check to be repeated right before the first byte.
// A ticket needs no permit, since no other process can ever run it.
func (o *OnceRunner) mayRun(r *OnceRequest) (keep time.Duration, permit func() error, result OnceResult) {
	if fleet.IsTicket(r.Key) {
		keep, result = o.admitTicket(r)
		return keep, nil, result
	}
	if refusal := o.checkOwner(r); refusal != nil {
		return 0, nil, OnceRefusal{refusal}
	}
	permit = func() error {
		if o.checkOwner(r) != nil {
			return errNoLongerOwner
		}
		return nil
	}
	return o.rules().GracePeriod(), permit, nil
}

func (o *OnceRunner) admitTicket(r *OnceRequest) (time.Duration, OnceResult) {
	t, err := fleet.ParseTicket(r.Key)
	if err != nil {
		return 0, OnceConflict{err}
	}
	left, refusal, err := o.issuer.Admit(t, r.Workspace, r.Service, o.age())
	if err != nil {
		return 0, OnceConflict{err}
	}
	if refusal != nil {
		return 0, OnceRefusal{refusal}
	}
	return left, nil
}

// errNoLongerOwner stops an attempt whose daemon has lost ownership of the key.
var errNoLongerOwner = errors.New("daemon no longer owns the key")

func (o *OnceRunner) checkOwner(r *OnceRequest) coordination.Outcome {
	return fleet.MayRunKey(o.Now(), o.Self, o.Snapshot().Ownership, r.ledgerKey(), o.rules())
}

func (o *OnceRunner) begin(r *OnceRequest, keep time.Duration) fleet.KeyDecision {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.ledger.Begin(o.Now(), r.ledgerKey(), r.fingerprint(), keep)
	o.Metrics.LedgerKeys.Update(int64(o.ledger.Len()))
	o.Metrics.LedgerBytes.Update(int64(o.ledger.Bytes()))
	return a
}

func (o *OnceRunner) finish(r *OnceRequest, out coordination.Outcome, answer *fleet.StoredAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Finish(r.ledgerKey(), out, answer)
}

// sendOnce sends the request once. It continues if the caller disconnects, since the
// outcome is recorded for repeats.
func (o *OnceRunner) sendOnce(ctx context.Context, r *OnceRequest, permit func() error) OnceResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft(ctx))
	defer cancel()
	outcome, answer := o.send(ctx, r, permit)
	o.finish(r, outcome, answer)
	o.Recorder.Record(coordination.EventOnce, string(r.Service), r.ID, "request with a key ended %s", coordination.OutcomeName(outcome))
	if answer != nil {
		return OnceAnswer{Answer: answer}
	}
	return refusalResult(outcome)
}

// refusalResult returns the refusal of a request that this daemon started. If it lost
// ownership of the key before the first byte, it did not run the request itself but
// can't know whether another daemon did.
func refusalResult(o coordination.Outcome) OnceResult {
	if n, ok := o.(coordination.NotRun); ok && n.Reason == coordination.ReasonOwnerListStale {
		return OnceRefusal{coordination.MayHaveRun(n)}
	}
	return OnceRefusal{o}
}

// defaultOnceTimeout applies if the caller set no deadline.
const defaultOnceTimeout = 30 * time.Second

func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return defaultOnceTimeout
}

func (o *OnceRunner) send(ctx context.Context, r *OnceRequest, permit func() error) (coordination.Outcome, *fleet.StoredAnswer) {
	a := &attempts{
		upstreams: o.Upstreams,
		retries:   o.retries,
		pool:      o.Snapshot().Service(r.Service),
		key:       coordination.ChatKeyOf(r.Workspace, state.ModelID(r.Service), []byte(r.Key)),
		request: UpstreamRequest{
			Method: r.Method, Target: r.Target, Header: r.Header, Body: r.Body, Fresh: true, Permit: permit,
		},
		failed: func(up *state.Candidate, out coordination.Outcome, err error) {
			o.Recorder.Record(coordination.EventAttemptFailed, string(up.ID), r.ID, "attempt at %s ended %s: %v", up.ID, coordination.OutcomeName(out), err)
		},
	}
	resp, _, outcome := a.send(ctx)
	if resp == nil {
		return outcome, nil
	}
	return o.store(resp)
}

func (o *OnceRunner) store(resp *http.Response) (coordination.Outcome, *fleet.StoredAnswer) {
	defer resp.Body.Close()
	body, err := protocol.ReadBounded(resp.Body, resp.ContentLength, o.AnswerBytes)
	if err != nil {
		return coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer, RetryAfter: defaultRetryTime}, nil
	}
	answer := &fleet.StoredAnswer{Status: resp.StatusCode, Header: protocol.ReturnHeader(resp.Header), Body: body}
	return coordination.Answered{Status: resp.StatusCode}, answer
}
