// This file defines what goes through a relay: the call, the words of the
// outside protocol, and the caller's end.

package relay

import (
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
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
	LastSeen  string // id of the last event that the caller has; empty: from the start
}

// Send says how a call goes to one replica.
type Send struct {
	Replica  *routing.Replica
	Source   string        // address of the replica to copy the prompt from; may be empty
	Left     time.Duration // what is left until the deadline
	LastSeen string        // id of the last event that need not be sent
}

// Head is what the first lines of a replica's answer say.
type Head struct {
	Answers routing.RequestID // the request that it answers; empty: none is named
	Sealed  bool              // the replica vouches for the answer
	NotRun  bool              // the replica says that the request has not run
	Encoded bool              // the body is not the replica's plain one
	Idle    time.Duration     // how long the connection may rest; 0: not told
}

// Codec translates between calls and the replicas' protocol.
type Codec interface {
	// AppendRequest appends the first lines of a request, up to the empty line.
	AppendRequest(buf []byte, c *Call, s Send) []byte
	// ReadHead reads the first lines of an answer.
	ReadHead(status int, h http.Header) Head
}

// Sink is the caller's end. Its methods are called by one goroutine.
type Sink interface {
	// Answer gives a whole answer.
	Answer(status int, h http.Header, body []byte) error
	// Begin gives the first lines of a streamed answer.
	Begin(status int, h http.Header) error
	// Write passes a piece of a streamed answer on at once.
	Write(p []byte) error
	// Refuse gives the final answer to a request that got none.
	Refuse(o coordination.Outcome)
	// Break ends a streamed answer so that it can't be taken as whole.
	Break()
}

// Trial tells how one attempt at a replica went.
type Trial struct {
	Replica  routing.ReplicaID
	Domain   state.FailureDomain
	Rank     int
	Copied   routing.ReplicaID // source of the prompt
	Load     int
	Mean     float64
	Reused   bool // the connection was used before
	Result   routing.Result
	Err      error
	Duration time.Duration
}

// Summary tells how a call ended.
type Summary struct {
	Outcome   coordination.Outcome
	Status    int
	Trials    []Trial
	FirstByte time.Duration // 0: none
	Total     time.Duration
	Events    int
	Gone      bool // the caller left
	View      uint64
}

// Observer is told of decisions. Its methods must not block.
type Observer interface {
	// Finished tells how a call ended.
	Finished(c *Call, s *Summary)
	// PassedOver tells that a replica is passed over from now on.
	PassedOver(r *routing.Replica, c *Call, cause error)
}
