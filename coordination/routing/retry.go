// This file decides whether a request is sent again after a failed attempt. The
// relay carries the decision out; nothing else sends a request again.
//
// Inputs: the route, how many replicas have got the request so far, how each
// attempt ended, whether the caller has bytes of an answer, the time left until
// the deadline, and the retry budget. A request is sent again if all of these
// hold:
//
//  1. the caller is still there, and more than [ReturnMargin] is left of its
//     deadline;
//  2. the attempt surely did not run the request; or the route's requests may run
//     more than once, and the caller has no bytes of an answer, or only events of
//     a stream that can go on elsewhere;
//  3. it is not sent to more replicas than the route allows, nor beyond the
//     budget. An attempt that never reached a replica, such as a refused
//     connection, counts towards neither;
//  4. fewer than [MaxChoices] replicas have been chosen;
//  5. it is not held back because replicas end under it (crash.go).
//
// What the caller gets when it ends: the outcome of the last attempt, but once
// an attempt may have run the request, a later one that did not run it changes
// nothing.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

const (
	// MaxChoices bounds the replicas that are chosen for one request, those that took no connection
	// counted: a request must not walk through a service of which most is gone.
	MaxChoices = 4
	// RetryAfter is the time after which a caller whose request was refused is asked to come back.
	RetryAfter = 100 * time.Millisecond
	// retryAfterCold is what a cold replica needs to take another request of this daemon, and
	// retryAfterEvacuated less than any evacuation lasts: who asks sooner is refused again.
	retryAfterCold      = coldWindow
	retryAfterEvacuated = time.Second
)

// Attempts is the state of one request's attempts. One goroutine uses it.
type Attempts struct {
	Route *Route
	// Sent is how many replicas the request was written to.
	Sent int
	// Begun means that the caller has bytes of an answer.
	Begun bool
	// Outcome is what is known of the request after all attempts so far.
	Outcome coordination.Outcome
	// reserved means that the next send is paid for.
	reserved bool
}

// NewAttempts returns the state before the first attempt: not run, because no
// replica was found.
func NewAttempts(r *Route) Attempts {
	return Attempts{Route: r, Outcome: noUpstream}
}

// noUpstream is the outcome of a request for which no replica was found.
var noUpstream = coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: RetryAfter}

// NoReplica records that no replica may be chosen, and why. It changes nothing if the request
// was sent before, or a replica took no connection: then that says more. But where all rest
// that are left after one has turned the request away, the caller is told when the first is back.
func (a *Attempts) NoReplica(why coordination.NotRun) {
	o, ok := a.Outcome.(coordination.NotRun)
	wasRefused := ok && o.Reason == coordination.ReasonUpstreamBusy
	if ok && o.Reason == coordination.ReasonNoUpstream || wasRefused && why.Reason == coordination.ReasonResting {
		a.Outcome = why
	}
}

// HeldBack records that the request is not sent because replicas end under it (crash.go). It
// changes nothing if an attempt may have run it.
func (a *Attempts) HeldBack() {
	if _, ok := a.Outcome.(coordination.NotRun); ok {
		a.Outcome = coordination.NotRun{Reason: coordination.ReasonHeldBack, RetryAfter: retryAfterQuarantined}
	}
}

// Failed records how an attempt failed. It returns true if the request may be sent
// again as far as that attempt goes.
func (a *Attempts) Failed(o coordination.Outcome) bool {
	_, mayHaveRun := a.Outcome.(coordination.MayHaveRun)
	if !mayHaveRun || !coordination.MayRetry(o) {
		a.Outcome = o
	}
	return a.mayRetryAfter(o)
}

func (a *Attempts) mayRetryAfter(o coordination.Outcome) bool {
	if coordination.MayRetry(o) {
		return true
	}
	if a.Begun && a.Route.Kind != Stream {
		return false
	}
	return a.Route.MayRunAgain()
}

// BetterAnswerPossible reports whether another replica may be asked although this
// one answered, with an error of its own.
func (a *Attempts) BetterAnswerPossible() bool {
	return a.mayRetryAfter(coordination.MayHaveRun{}) && a.left()
}

// left reports whether the route allows one more replica.
func (a *Attempts) left() bool { return a.Sent < a.Route.MaxAttempts }

// InTime reports whether there is time for an attempt. If not, the outcome becomes
// one of the deadline.
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

// MaySend asks for the next send to a replica of a service and spends a retry on
// it where the request was sent before.
func (a *Attempts) MaySend(b *RetryBudgets, s ServiceName, now time.Time) bool {
	if a.Sent == 0 {
		return true
	}
	return a.ReserveRetry(b, s, now)
}

// CountSend counts that the request is written to a replica, which uses up a reserved
// retry. It returns true the first time.
func (a *Attempts) CountSend() bool {
	a.Sent++
	a.reserved = false
	return a.Sent == 1
}

// ReserveRetry asks for a retry before the present attempt is given up. A replica
// that may only be slow must not be left for a retry that the budget then forbids.
func (a *Attempts) ReserveRetry(b *RetryBudgets, s ServiceName, now time.Time) bool {
	return a.ReserveWith(b, s, 0, now)
}

// ReserveWith does the same with what was borrowed for this retry (loan.go).
func (a *Attempts) ReserveWith(b *RetryBudgets, s ServiceName, loan Retries, now time.Time) bool {
	if !a.reserved {
		a.reserved = a.left() && b.SpendWith(s, loan, now)
	}
	return a.reserved
}

// Missing returns what is to be borrowed for the next send besides a loan that there is; 0 if the
// route allows no further one.
func (a *Attempts) Missing(b *RetryBudgets, s ServiceName, loan Retries, now time.Time) Retries {
	if !a.left() {
		return 0
	}
	return b.Missing(s, loan, now)
}
