// This file decides which of two replicas keeps a call that was sent to a second one because the first is silent,
// once both have had it for as long as two replicas may, and neither has sent anything for it. The connection to
// the other one is then closed.
//
// Inputs: whether the caller has received events of the response, and what the second replica has sent to this
// daemon. The rule:
//
//  1. The second one keeps a call whose caller has received nothing. If it rejects the call, that returns to the first one,
//     or the caller gets an error response and may try again.
//  2. The second one keeps a stream that has begun, unless it is silent too: minSilentStreams other streams of this daemon
//     have begun there, and nothing has arrived from it since the call was sent. A replica that sends nothing has not
//     accepted the call by not rejecting it. It may still do so, and the stream would be broken off.
//  3. Otherwise the first one keeps it. If it is dead, its caller gives the stream up, and may resume it elsewhere.

package routing

import "time"

// minSilentStreams is the number of streams that show that a replica is silent: a single one may pause, or its caller may
// read nothing.
const minSilentStreams = 2

// SecondReplica describes the replica that a call was sent to because the first one is silent.
type SecondReplica struct {
	Streams int       // other streams of this daemon that it has begun to send, and not ended
	HeardAt time.Time // when bytes last arrived from it, on any connection of this daemon, while it has begun streams
	Sent    time.Time // when the call was sent to it
}

// IsSilent reports whether the replica sends nothing on any of this daemon's streams.
func (r SecondReplica) IsSilent() bool {
	return r.Streams >= minSilentStreams && !r.HeardAt.After(r.Sent)
}

// KeepsCall reports whether the replica keeps the call. responseStarted says that the caller has received events of
// the response.
func (r SecondReplica) KeepsCall(responseStarted bool) bool { return !responseStarted || !r.IsSilent() }
