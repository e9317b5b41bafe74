// Response timeouts: how long an unresponsive replica is waited for.
//
// The inputs are the route's latency targets and kind, and how many replicas the request was sent
// to.
//
//  1. If the route allows another attempt, the request is sent to another replica too when one hasn't begun its
//     response within firstByteShare of the route's target, or when the pause between the events of
//     a stream that can be resumed elsewhere exceeds eventFactor times the route's target. Each of these
//     timeouts has a lower bound, for routes with very short targets. The silent replica is abandoned once
//     the other one has something for the caller (transport/relay); until then it may go on. The first timeout also
//     applies to each pause inside a header, and the longer of it and unresponsiveTimeout to each pause inside a
//     response that is not a stream, which another replica would begin anew. The second one applies to each
//     pause inside an event.
//  2. If the request can't be sent elsewhere, or the caller has events without numbers, the daemon waits until the deadline. After
//     unresponsiveTimeout the replica's silence counts as a failure, so that other requests avoid
//     it.
//  3. [ReturnMargin] of the deadline is kept for returning the response to the caller.

package routing

import "time"

const (
	// ReturnMargin is the part of a deadline that is kept for returning the response.
	ReturnMargin = 10 * time.Millisecond
	// firstByteShare is the part of a route's first-byte target after which a replica is
	// abandoned, and minFirstByteTimeout the shortest such timeout.
	firstByteShare      = 0.75
	minFirstByteTimeout = 250 * time.Millisecond
	// eventFactor is the multiple of a route's event target after which a stream is abandoned, and
	// minEventTimeout the shortest such timeout.
	eventFactor     = 2
	minEventTimeout = 500 * time.Millisecond
	// noTimeout is longer than any deadline.
	noTimeout = 24 * time.Hour
	// unresponsiveTimeout is the time without a response after which a replica's silence counts
	// as a failure.
	unresponsiveTimeout = time.Second
)

// FirstByteTimeout returns how long to wait for the first byte of a response, or for the next ones of
// its header, and whether the request may then go to another replica. In any case a failure of the
// replica is recorded, and the wait for it goes on.
func (a *Attempts) FirstByteTimeout() (wait time.Duration, failover bool) {
	if !a.mayRunAgain() || !a.attemptsLeft() {
		return unresponsiveTimeout, false
	}
	return max(time.Duration(firstByteShare*float64(a.Route.FirstByteTarget)), minFirstByteTimeout), true
}

// BodyTimeout returns the same as FirstByteTimeout for the next bytes of a response that has begun and is
// not a stream.
func (a *Attempts) BodyTimeout() (wait time.Duration, failover bool) {
	wait, failover = a.FirstByteTimeout()
	return max(wait, unresponsiveTimeout), failover
}

// EventTimeout returns how long to wait for the next bytes of a stream before it may be resumed at
// another replica. It returns false if it can't be; then only the deadline applies.
func (a *Attempts) EventTimeout() (wait time.Duration, failover bool) {
	if !a.Route.Resumable || a.PositionUnknown || !a.attemptsLeft() {
		return noTimeout, false
	}
	return max(eventFactor*a.Route.EventTarget, minEventTimeout), true
}
