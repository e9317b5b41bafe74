// This file decides which of two replicas keeps a call that was sent to a second one because the first is silent,
// once both have had it for as long as two replicas may, and no event of the second one has arrived. The connection to
// the other one is then closed.
//
// Inputs: whether the caller has received events of the response, whether the second replica has begun to respond, and
// what it sends on other streams of this daemon. The rule:
//
//  1. The second one keeps a call whose caller has received nothing. If it rejects the call, that returns to the first one,
//     or the caller gets an error response and may try again.
//  2. The second one keeps a stream that has begun if it has begun to respond.
//  3. Otherwise the first one keeps such a stream if the second one is silent too: minSilentStreams other streams have
//     begun there, and nothing has arrived from it since the call was sent. A replica that sends nothing has not accepted
//     the call by not rejecting it.
//  4. If that is not known, the second one keeps it: the first one has been silent for longer, and may have ended. A replica
//     may take a while until its response begins. If it stays silent, the call goes back to the first one.

package routing

import "time"

// minSilentStreams is the number of streams that show that a replica is silent: a single one may pause, or its caller may
// read nothing.
const minSilentStreams = 2

// Handover describes a call that two replicas have.
type Handover struct {
	ResponseStarted bool      // the caller has received events of the response
	Sent            time.Time // when the call was sent to the second replica
	SecondResponded bool      // the header of the second replica's response has arrived
	Second          StreamActivity
}

// StreamActivity is what a replica sends on the streams of this daemon that it has begun.
type StreamActivity struct {
	Streams int       // begun and not ended
	HeardAt time.Time // when bytes last arrived, on any connection of this daemon; zero: it has begun no stream
}

// SecondKeepsCall reports whether the second replica keeps the call.
func (h Handover) SecondKeepsCall() bool {
	if !h.ResponseStarted || h.SecondResponded {
		return true
	}
	isSecondSilent := h.Second.Streams >= minSilentStreams && !h.Second.HeardAt.After(h.Sent)
	return !isSecondSilent
}
