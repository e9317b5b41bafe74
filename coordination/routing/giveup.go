// This file decides how long a silent replica is waited for.
//
// Inputs: the route's targets, its kind, and how many replicas have got the
// request. The rule:
//
//  1. Where the request can go to another replica, one that has not begun its
//     answer within firstByteShare of the route's target is left; a stream that can
//     go on elsewhere is left when its events pause for eventShare times the
//     route's target. Short targets are not taken literally: there is a least
//     wait for each. It is left only if the retry can be reserved in the budget
//     (retry.go); else it is waited for.
//  2. Where it can't, the replica is waited for until the deadline, and blamed for
//     its silence after blameTimeout, so that other requests avoid it.
//  3. [ReturnMargin] of the deadline is kept for the answer's way to the caller.

package routing

import "time"

const (
	// ReturnMargin is what is kept of a deadline for the answer's way back.
	ReturnMargin = 10 * time.Millisecond
	// firstByteShare is the part of a route's target for the first byte, and
	// firstByteLeast the least wait.
	firstByteShare = 0.75
	firstByteLeast = 250 * time.Millisecond
	// eventShare is the multiple of a route's target between events, and eventLeast
	// the least wait.
	eventShare = 2
	eventLeast = 500 * time.Millisecond
	// blameTimeout is the silence before an answer that is held against a replica.
	blameTimeout = time.Second
)

// FirstByteTimeout returns how long to wait for the first byte of an answer, and
// whether the request then goes to another replica. If not, the replica is only
// blamed, and waited for until the deadline.
func (a *Attempts) FirstByteTimeout() (wait time.Duration, leave bool) {
	if !a.Route.MayRunAgain() || !a.left() {
		return blameTimeout, false
	}
	return max(time.Duration(firstByteShare*float64(a.Route.FirstByteTarget)), firstByteLeast), true
}

// EventTimeout returns how long to wait for the next event of a stream before it
// goes on at another replica. It returns false if it can't; then the deadline
// alone counts.
func (a *Attempts) EventTimeout() (wait time.Duration, leave bool) {
	if !a.Route.Resumable || !a.left() {
		return 0, false
	}
	return max(eventShare*a.Route.EventTarget, eventLeast), true
}
