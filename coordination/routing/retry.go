// Retries: whether a request is sent again after a failed attempt. The relay carries out the
// decision; no other code resends requests.
//
// The inputs are the route, how many replicas the request was sent to so far, how each attempt
// ended, whether the caller has received bytes of a response, the time left until the deadline,
// and the retry budget. A request is sent again if all of these conditions hold:
//
//  1. The caller is still connected, and more than [ReturnMargin] is left until its deadline.
//  2. The attempt certainly did not run the request. Or the route's requests may run more than
//     once, and the caller has received no bytes of a response, or only events of a stream that
//     can be resumed elsewhere: after its last event with data, which has a number.
//  3. It does not exceed the number of replicas that the route allows, nor the retry budget. An
//     attempt of which no byte was written, such as one at a refused connection, counts towards neither. One at a replica
//     that is cut off counts towards the budget only, and so does one that was rejected after the call had been
//     taken from a silent replica, to which it returns (transport/relay/failover.go). So does a return to a replica that
//     the request was sent to before, since the one that took it over is silent too, or its connection broke. There is one such
//     return for a request, so that it runs once more than the route allows replicas, at most.
//  4. Fewer than [MaxChoices] replicas have been chosen. While this daemon's own links to the service are suspect or down
//     (reach.go), as many more may be chosen if nothing was sent because replicas were not reached.
//  5. The request is not quarantined because replicas crash while running it (crash.go).
//
// The caller gets the outcome of the last attempt. But once an attempt may have run the request,
// a later attempt that did not run it does not change the outcome.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

const (
	// MaxChoices bounds the replicas that are chosen for one request, including those that
	// refused the connection: a request must not be tried all over a service most of whose
	// replicas are gone.
	MaxChoices = 4
	// MaxUnreached bounds the replicas that are chosen in addition while this daemon's own links are at fault.
	MaxUnreached = MaxChoices
	// RetryAfter is the delay after which a caller whose request was refused should retry.
	RetryAfter = 100 * time.Millisecond
	// retryAfterCold is the time after which a cold replica can take another request of this
	// daemon. retryAfterEvacuated is shorter than any evacuation: a caller that retries sooner is
	// refused again.
	retryAfterCold      = coldWindow
	retryAfterEvacuated = time.Second
	// retryAfterOrigin is the time after which a daemon that was out of touch may know a stream's origin.
	retryAfterOrigin = 500 * time.Millisecond
)

// MayChoose reports whether another replica may be chosen for a request. unreached are those of the chosen replicas that
// this daemon did not reach through its own links or those of another daemon.
func MayChoose(chosen, unreached int, links LinkState) bool {
	if links != LinksUp {
		chosen -= min(unreached, MaxUnreached)
	}
	return chosen < MaxChoices
}

// Attempts is the state of one request's attempts. It must be used by one goroutine only.
type Attempts struct {
	Route *Route
	// Sent is how many replicas the request was written to, without those that were excluded (ExcludeLast).
	Sent int
	// ResponseStarted means that the caller has received bytes of a response.
	ResponseStarted bool
	// PositionUnknown means that the caller has received events of a stream after the last one with a number: another replica
	// would send these again.
	PositionUnknown bool
	// Outcome is the outcome of the request as of the attempts so far.
	Outcome coordination.Outcome
	// reserved means that a retry has been reserved in the budget for the next attempt.
	reserved bool
	// returns means that the next attempt may be at a replica that the request was written to before, hasReturned that there
	// was such an attempt, and lastReturned that it was the last one.
	returns, hasReturned, lastReturned bool
}

// NewAttempts returns the state before the first attempt, with the outcome that no replica was
// found.
func NewAttempts(r *Route) Attempts {
	return Attempts{Route: r, Outcome: noUpstream}
}

// noUpstream is the outcome of a request for which no replica was found.
var noUpstream = coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: RetryAfter}

// RecordNoReplica records that no replica may be chosen, and why. It does not replace the outcome
// of an earlier attempt, which is more specific. The exception: if a replica rejected the request
// as busy and all others that are left are backing off, the caller is told when the first of them
// is available again.
func (a *Attempts) RecordNoReplica(why coordination.NotRun) {
	o, ok := a.Outcome.(coordination.NotRun)
	wasRefused := ok && o.Reason == coordination.ReasonUpstreamBusy
	if ok && o.Reason == coordination.ReasonNoUpstream || wasRefused && why.Reason == coordination.ReasonBackingOff {
		a.Outcome = why
	}
}

// RecordQuarantined records that the request is not sent because it is quarantined (crash.go), or a part of
// its prompt (crash_part.go). It does not replace the outcome of an attempt that may have run the request.
func (a *Attempts) RecordQuarantined(why coordination.Reason) {
	if _, ok := a.Outcome.(coordination.NotRun); ok {
		a.Outcome = coordination.NotRun{Reason: why, RetryAfter: retryAfterQuarantined}
	}
}

// RecordUnknownOrigin records that the request resumes a stream of which it is not known at which software
// version it began (origins.go).
func (a *Attempts) RecordUnknownOrigin() {
	a.Outcome = coordination.NotRun{Reason: coordination.ReasonOriginUnknown, RetryAfter: retryAfterOrigin}
}

// RecordFull records that the request got no permit (coordination/admission), and when its caller
// should retry. It does not replace the outcome of an attempt that may have run the request.
func (a *Attempts) RecordFull(retryAfter time.Duration) {
	if _, ok := a.Outcome.(coordination.NotRun); ok {
		a.Outcome = coordination.NotRun{Reason: coordination.ReasonUpstreamsFull, RetryAfter: retryAfter}
	}
}

// RecordShutdown records that the request is not sent any more, or that its attempt is ended, since this daemon
// shuts down (shutdown.go).
func (a *Attempts) RecordShutdown() {
	switch a.Outcome.(type) {
	case coordination.MayHaveRun:
		a.Outcome = coordination.MayHaveRun{Reason: coordination.ReasonShutdown}
	default:
		a.Outcome = coordination.NotRun{Reason: coordination.ReasonShutdown, RetryAfter: RetryAfter}
	}
}

// RecordFailure records the outcome of a failed attempt. It reports whether that outcome allows
// another attempt.
func (a *Attempts) RecordFailure(o coordination.Outcome) bool {
	_, mayHaveRun := a.Outcome.(coordination.MayHaveRun)
	if !mayHaveRun || !coordination.MayRetry(o) {
		a.Outcome = o
	}
	return a.mayRetryAfter(o)
}

// RecordAbandoned records that a silent replica was abandoned for another one (handover.go). It may have run the
// request.
func (a *Attempts) RecordAbandoned() {
	a.Outcome = coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer}
}

// ExcludeLast excludes the last replica from those that the request was written to, since it does not work on the request:
// it rejected it, or the link to it is down. It returns false if the request may not run again, or if the attempt was a
// return, which did not count.
func (a *Attempts) ExcludeLast() bool {
	if !a.mayRunAgain() || a.lastReturned {
		return false
	}
	a.Sent--
	return true
}

// AllowReturn allows an attempt at a replica that the request was written to before, which counts towards the budget but
// not as a further replica. It returns false if the request may not run again, or has returned before.
func (a *Attempts) AllowReturn() bool {
	a.returns = a.mayRunAgain() && !a.hasReturned
	return a.returns
}

// AllowReturnAfterBreak is AllowReturn after the connection to a replica broke that had taken the request over. A response
// that has not begun does not return: its caller gets an error response, and may try again. Nor does one whose replica
// crashed, since the other one may have fallen silent on the same request, nor one that may go to a further replica.
func (a *Attempts) AllowReturnAfterBreak(hasCrashed bool) bool {
	return a.ResponseStarted && !hasCrashed && !a.attemptsLeft() && a.AllowReturn()
}

// IsReturn reports whether the next attempt may only be at a replica that the request was written to before.
func (a *Attempts) IsReturn() bool { return a.returns }

// EndReturn ends what AllowReturn allowed, if no attempt was made.
func (a *Attempts) EndReturn() { a.returns = false }

func (a *Attempts) mayRetryAfter(o coordination.Outcome) bool {
	if coordination.MayRetry(o) {
		return true
	}
	if a.ResponseStarted && a.Route.Kind != Stream {
		return false
	}
	return a.mayRunAgain()
}

// mayRunAgain reports whether the request may run at another replica although one may have run it.
func (a *Attempts) mayRunAgain() bool { return a.Route.MayRunAgain() && !a.PositionUnknown }

// MayTryAnother reports whether another replica may be tried although this one responded,
// with an error of its own.
func (a *Attempts) MayTryAnother() bool {
	return a.mayRetryAfter(coordination.MayHaveRun{}) && a.attemptsLeft()
}

// attemptsLeft reports whether the route allows an attempt at another replica.
func (a *Attempts) attemptsLeft() bool { return a.returns || a.Sent < a.Route.MaxAttempts }

// InTime reports whether there is enough time for another attempt. If not, it changes the outcome
// to one with the reason that the deadline has passed.
func (a *Attempts) InTime(deadline, now time.Time) bool {
	if deadline.Sub(now) > ReturnMargin {
		return true
	}
	switch a.Outcome.(type) {
	case coordination.MayHaveRun:
		a.Outcome = coordination.MayHaveRun{Reason: coordination.ReasonDeadline}
	default:
		a.Outcome = coordination.NotRun{Reason: coordination.ReasonDeadline, RetryAfter: RetryAfter}
	}
	return false
}

// MaySend reports whether the request may be sent to a replica of a service. If it was sent
// before, that spends a retry.
func (a *Attempts) MaySend(b *RetryBudgets, s ServiceName, now time.Time) bool {
	if a.Sent == 0 {
		return true
	}
	return a.ReserveRetry(b, s, now)
}

// CountSend records that the request is written to a replica, which uses up a reserved retry. It
// returns true the first time.
func (a *Attempts) CountSend() bool {
	a.reserved, a.lastReturned = false, a.returns
	if a.returns {
		a.returns, a.hasReturned = false, true
		return false
	}
	a.Sent++
	return a.Sent == 1
}

// ReserveRetry reserves a retry before the current attempt is abandoned: a replica that may only
// be slow must not be abandoned for a retry that the budget then denies.
func (a *Attempts) ReserveRetry(b *RetryBudgets, s ServiceName, now time.Time) bool {
	return a.ReserveWithGrant(b, s, 0, now)
}

// ReserveWithGrant is like [Attempts.ReserveRetry], with what other daemons granted for this retry
// (transfer.go).
func (a *Attempts) ReserveWithGrant(b *RetryBudgets, s ServiceName, grant Retries, now time.Time) bool {
	if !a.reserved {
		a.reserved = a.attemptsLeft() && b.SpendWithGrant(s, grant, now)
	}
	return a.reserved && a.attemptsLeft()
}

// TransferNeeded returns how much to request for the next attempt in addition to an existing
// transfer; 0 if the route allows no further attempt.
func (a *Attempts) TransferNeeded(b *RetryBudgets, s ServiceName, transfer Retries, now time.Time) Retries {
	if !a.attemptsLeft() {
		return 0
	}
	return b.TransferNeeded(s, transfer, now)
}
