// This file decides which of two replicas keeps a call that was sent to a second one because the first is silent,
// once both have had it for as long as two replicas may, and no event of the second one has arrived. The connection to
// the other one is then closed.
//
// Inputs: whether the caller has received events of the response, whether the second replica has begun to respond, and
// when bytes last arrived from each of the two. The rule:
//
//  1. The second one keeps a call whose caller has received nothing. If it rejects the call, that returns to the first one,
//     or the caller gets an error response and may try again.
//  2. The second one keeps a stream that has begun if it has begun to respond. A replica that sends nothing has not
//     accepted the call by not rejecting it.
//  3. It keeps such a stream too if it alone is known to be well: since the call was sent to it, bytes have arrived from
//     it, on other streams of this daemon, and none from the first one. The first one has likely ended.
//  4. Otherwise the first one keeps it, which has accepted and run the request. If it has ended, its caller gives the
//     stream up, and may resume it elsewhere.

package routing

import "time"

// Handover describes a call that two replicas have.
type Handover struct {
	ResponseStarted bool      // the caller has received events of the response
	Sent            time.Time // when the call was sent to the second replica
	SecondResponded bool      // the header of the second replica's response has arrived
	// FirstHeardAt and SecondHeardAt are when bytes last arrived from each replica, on any connection of this daemon,
	// while it has begun streams; zero: it has begun none.
	FirstHeardAt, SecondHeardAt time.Time
}

// SecondKeepsCall reports whether the second replica keeps the call.
func (h Handover) SecondKeepsCall() bool {
	if !h.ResponseStarted || h.SecondResponded {
		return true
	}
	return h.SecondHeardAt.After(h.Sent) && !h.FirstHeardAt.After(h.Sent)
}
