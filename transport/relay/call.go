// This file defines what goes through a relay: the call, the words of the
// outside protocol, and the caller's end.

package relay

import (
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// Call is one request of a caller, read whole.
type Call struct {
	routing.Request
	Method    string
	Target    string // path and query, as the caller wrote them
	Host      string
	Header    http.Header // what is passed on to the replica
	Body      []byte
	Workspace routing.WorkspaceName
	LastEvent string // id of the last event that the caller has; empty: from the start
}

// RequestHead is what one attempt adds to a call's header.
type RequestHead struct {
	Replica   *routing.Replica
	Source    string        // address of the replica to copy the prompt from; may be empty
	Left      time.Duration // until the deadline
	LastEvent string        // id of the last event that need not be sent
}

// ResponseHead is what the header of a replica's answer says.
type ResponseHead struct {
	Request routing.RequestID // the request that it answers; empty: none is named
	Sealed  bool              // the replica vouches for the answer
	NotRun  bool              // the replica says that the request has not run
	Encoded bool              // the body has a content encoding
	Says    Statement
}

// Statement is what a replica says of itself in the header of an answer, whatever answer that
// is. The zero value says nothing.
type Statement struct {
	Load ReportedLoad  // as it began to answer
	Idle time.Duration // how long the connection may be idle; 0: not said
	// Rest is for how long it wants no more requests from this daemon; 0: it did not ask.
	Rest    time.Duration
	Leaving bool // it leaves: it takes no new requests and ends soon
	// NotUnderstood are the fields that can't be read, as "Name: value". They say nothing.
	NotUnderstood []string
}

// ReportedLoad is how many requests a replica says it holds. The zero value says nothing.
type ReportedLoad struct {
	Known    bool
	Requests int // that run or wait there, the answered one counted
}

// Codec translates between calls and the replicas' protocol.
type Codec interface {
	// AppendRequest appends the header of a request, up to the empty line.
	AppendRequest(buf []byte, c *Call, h RequestHead) []byte
	// ReadResponse reads the header of an answer.
	ReadResponse(status int, h http.Header) ResponseHead
}

// Sink is the caller's end. Its methods are called by one goroutine.
type Sink interface {
	// Answer gives a whole answer.
	Answer(status int, h http.Header, body []byte) error
	// Begin gives the header of a streamed answer.
	Begin(status int, h http.Header) error
	// Write passes a piece of a streamed answer on at once.
	Write(p []byte) error
	// Refuse gives the final answer to a request that got none.
	Refuse(o coordination.Outcome)
	// Abort ends a streamed answer so that it can't be taken as whole.
	Abort()
}

// Attempt says how one attempt at a replica went.
type Attempt struct {
	Replica  routing.ReplicaID
	Rank     int               // place of the replica in the prompt's order
	Cold     bool              // the replica was cold
	Copied   routing.ReplicaID // source of the prompt; empty: none
	Load     int               // of the replica when it was chosen, in requests
	Mean     float64           // of the service, in requests
	Coverage float64           // share of the fleet's daemons that Load and Mean contain
	Reported ReportedLoad      // what the replica said it held; what Load should have been
	Rest     time.Duration     // that the replica asked for; 0: none
	Leaving  bool              // the replica said that it leaves
	Reused   bool              // the connection was used before
	Err      error             // nil: the caller has the whole answer
	Duration time.Duration
}

// Summary says how a call ended.
type Summary struct {
	Outcome   coordination.Outcome
	Status    int // 0: none
	Attempts  []Attempt
	FirstByte time.Duration // 0: none
	Total     time.Duration
	Events    int
	Gone      bool          // the caller left
	Position  feed.Position // of the documents on which the last attempt was decided
}

// Observer takes note of decisions. Its methods must not block.
type Observer interface {
	// Finished says how a call ended.
	Finished(c *Call, s *Summary)
	// Ejected says that a replica gets no requests for a while.
	Ejected(r *routing.Replica, c *Call, cause error)
	// EndedUnder says that a replica ended while it had a request.
	EndedUnder(r *routing.Replica, c *Call)
	// HeldBack says that requests of a content are not sent any more.
	HeldBack(content routing.ContentKey)
	// Said hands on what a replica said of itself in an answer.
	Said(r *routing.Replica, c *Call, says Statement)
	// Rests says that a replica asked for rest and gets nothing for a while.
	Rests(r *routing.Replica, c *Call, left time.Duration)
	// Leaves says that a replica said that it leaves.
	Leaves(r *routing.Replica, c *Call)
	// Replaced says that another replica answers at a replica's address.
	Replaced(r *routing.Replica, c *Call)
	// Crowded says that a replica holds too much, by its own report.
	Crowded(r *routing.Replica, c *Call, l ReportedLoad)
}
