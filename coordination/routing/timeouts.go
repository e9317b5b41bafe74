// Response timeouts: how long an unresponsive replica is waited for.
//
// The inputs are the route's latency targets and kind, and how many replicas the request was sent
// to.
//
//  1. If the request can be sent to another replica, a replica that hasn't begun its response
//     within firstByteShare of the route's target is abandoned. A stream that can be resumed
//     elsewhere is abandoned when the pause between its events exceeds eventFactor times the
//     route's target. Each of these timeouts has a lower bound, for routes with very short
//     targets. A replica is abandoned only if the retry can be reserved in the budget (retry.go);
//     otherwise the daemon keeps waiting.
//  2. If the request can't be sent elsewhere, the daemon waits until the deadline. After
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
	// unresponsiveTimeout is the time without a response after which a replica's silence counts
	// as a failure.
	unresponsiveTimeout = time.Second
)

// FirstByteTimeout returns how long to wait for the first byte of a response, and whether the
// request then goes to another replica. If not, a failure of the replica is recorded, and the
// wait goes on until the deadline.
func (a *Attempts) FirstByteTimeout() (wait time.Duration, failover bool) {
	if !a.Route.MayRunAgain() || !a.attemptsLeft() {
		return unresponsiveTimeout, false
	}
	return max(time.Duration(firstByteShare*float64(a.Route.FirstByteTarget)), minFirstByteTimeout), true
}

// EventTimeout returns how long to wait for the next event of a stream before it is resumed at
// another replica. It returns false if it can't be; then only the deadline applies.
func (a *Attempts) EventTimeout() (wait time.Duration, failover bool) {
	if !a.Route.Resumable || !a.attemptsLeft() {
		return 0, false
	}
	return max(eventFactor*a.Route.EventTarget, minEventTimeout), true
}
