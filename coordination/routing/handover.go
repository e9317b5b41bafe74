// This file decides which of two replicas keeps a call that was sent to a second one because the first is silent,
// once both have had it for as long as two replicas may, and no event of the second one has arrived. The connection to
// the other one is then closed. It also decides whether a call may return to the one that was closed.
//
// Inputs: whether the caller has received events of the response, whether the second replica has begun to respond, and
// what it sends on other streams of this daemon; for a return the view, what is known of the replica that was closed, and the
// software version of the stream. The rule:
//
//  1. The second one keeps a call whose caller has received nothing. If it rejects the call, that returns to the first one,
//     or the caller gets an error response and may try again.
//  2. The second one keeps a stream that has begun if it has begun to respond.
//  3. Otherwise the first one keeps such a stream if the second one is silent too: minSilentStreams other streams have
//     begun there, and nothing has arrived from it since the call was sent. A replica that sends nothing has not accepted
//     the call by not rejecting it.
//  4. If that is not known, the second one keeps it: the first one has been silent for longer, and may have ended. A replica
//     may take a while until its response begins. If it stays silent, or its connection breaks once it has sent events and the
//     route allows no further replica, the call goes back to the first one (retry.go).
//  5. A call returns only to a replica that is ready in the incarnation that had the call, runs the version that began the
//     stream, and may get requests: it is neither cold, which bounds its requests, nor taken for terminated, nor does the
//     fleet find it silent or its domain cut off. A stream that is broken off can be resumed at once instead.

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

// MayReturnTo reports whether a call may return to a replica that had it before.
func (p *Placer) MayReturnTo(v *View, r *Replica, tried Tried, now time.Time) bool {
	current := v.Pool(r.Service).ready(r.Incarnation())
	if current == nil || current.versionKey != r.versionKey || !current.hasVersion(tried.Version, v.HasSeveralVersions(r.Service)) {
		return false
	}
	return !current.IsCold(now) && !p.Health.IsLost(current, now) && !p.IsIneligible(current, now)
}
