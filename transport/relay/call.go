// This file defines the types through which front ends and protocols use a relay.

package relay

import (
	"net/http"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// Call is one request of a caller, read completely.
type Call struct {
	routing.Request
	Method    string
	Target    string // path and query, as the caller sent them
	Host      string
	Header    http.Header // header fields to forward to the replica
	Body      []byte
	Workspace routing.WorkspaceName
	// WorkspacePriority is that of the workspace; see [routing.Workspace].
	WorkspacePriority int
	LastEventID       string // id of the last event that the caller received; empty: from the start
	// Resumes is the request that brought the caller the first event of the stream; empty: not given.
	Resumes routing.RequestID
	// ConfigVersion is the version of the configuration by which the call was admitted.
	ConfigVersion routing.ConfigVersion
}

// RequestHead holds what one attempt adds to the call's header fields.
type RequestHead struct {
	Replica      *routing.Replica
	PromptSource string        // address of the replica to copy the prompt from; empty: none
	Remaining    time.Duration // until the deadline
	LastEventID  string        // id of the event after which the stream starts; empty: from the beginning
}

// ResponseHead is the parsed header of a replica's response.
type ResponseHead struct {
	RequestID   routing.RequestID // id of the request that it responds to; empty: not given
	Sealed      bool              // the response carries the replica's seal
	NotExecuted bool              // the replica states that it did not run the request
	Encoded     bool              // the body has a content encoding
	SelfReport  SelfReport
}

// SelfReport is what a replica reports about itself in the header of a response, whatever the
// status. The zero value reports nothing.
type SelfReport struct {
	Load ReportedLoad  // when it began to respond
	Idle time.Duration // how long the connection may be idle; 0: not given
	// Backoff is for how long the replica wants no requests from this daemon; 0: not requested.
	Backoff time.Duration
	Leaving bool // it takes no new requests and terminates soon
	// Brittle says that it terminates if it rejects more than RejectionLimit requests within a second.
	Brittle        bool
	RejectionLimit routing.RejectionLimit
	// NotUnderstood are the header fields that could not be parsed, as "Name: value". They are
	// ignored otherwise.
	NotUnderstood []string
}

// ReportedLoad is a replica's own count of its requests. The zero value is an unknown load.
type ReportedLoad struct {
	Known    bool
	Requests int // running or queued, including the one that the response belongs to
}

// Codec encodes requests and decodes response headers in the replicas' protocol.
type Codec interface {
	// AppendRequest appends the request line and header, including the empty line after them.
	AppendRequest(buf []byte, c *Call, h RequestHead) []byte
	// AppendHealthCheck appends a complete request for the health check of a replica.
	AppendHealthCheck(buf []byte, r *routing.Replica, path string) []byte
	// ReadResponse parses the header of a response.
	ReadResponse(status int, h http.Header) ResponseHead
}

// Sink writes the response to the caller. Its methods are called by one goroutine.
type Sink interface {
	// Respond writes a complete response.
	Respond(status int, h http.Header, body []byte) error
	// Begin gives the header of a streamed response. It is called once, before Write.
	Begin(status int, h http.Header) error
	// Write writes a part of a streamed response and flushes it.
	Write(p []byte) error
	// Reject writes the error response to a request for which there is no replica's response.
	Reject(o coordination.Outcome)
	// Abort ends the response in a way that the caller can't take for its regular end.
	Abort()
}

// Attempt describes one attempt at a replica.
type Attempt struct {
	Replica      routing.ReplicaID
	Version      routing.SoftwareVersion // of the replica
	Rank         int                     // position of the replica in the prompt's order of preference
	Cold         bool                    // the replica was cold when it was chosen
	NewVersion   bool                    // a stream that had not begun, at a version that is not established
	PromptSource routing.ReplicaID       // replica that the prompt is copied from; empty: none
	Load         int                     // of the replica when it was chosen, as estimated by this daemon, in requests
	MeanLoad     float64                 // mean load of the service's replicas, in requests
	LoadCoverage float64                 // fraction of the fleet's daemons whose load is included in Load and Mean
	Reported     ReportedLoad            // load that the replica reported; Load is the estimate of it
	Backoff      time.Duration           // backoff that the replica requested; 0: none
	Leaving      bool                    // the replica announced its departure
	Brittle      bool                    // the replica said that it is brittle
	Rejected     bool                    // the replica rejected the request without running it
	Reused       bool                    // the connection was used before
	Via          routing.PeerID          // daemon that opened the connection for this one; empty: its own
	End          routing.EndBasis        // how it is known that the response is complete; empty: it is not
	ConnEnd      ConnEnd                 // how the connection ended inside the response
	Err          error                   // nil: the caller has the complete response
	Duration     time.Duration
}

// Summary describes how a call ended.
type Summary struct {
	Outcome    coordination.Outcome
	Status     int // 0: none
	Attempts   []Attempt
	FirstByte  time.Duration // 0: none
	Total      time.Duration
	Events     int
	PermitWait time.Duration // for permits, over all attempts; 0: none were needed
	OriginWait time.Duration // to find out at which software version a resumed stream began; 0: not asked
	// EstablishmentWait is how long the first event was held back, since its replica's software version was new; 0: it was not.
	EstablishmentWait time.Duration
	// StartWait is how long events were held back, since the replica might have started again at another version; 0: they were not.
	StartWait  time.Duration
	Binding    Binding // of a stream that its caller resumes
	FirstEvent int64   // id of the first forwarded event that has one, as a number; NoEvent: none
	CallerGone bool    // the caller disconnected, or its connection was closed
	EndedBy    EndedBy // who ended its connection before the response was complete
	// ConfigVersion is the version of the configuration that was in force when the call ended.
	ConfigVersion routing.ConfigVersion
	// QuarantinedPart is the part of the prompt for which the call was refused; empty: none.
	QuarantinedPart string
	Position        feed.Position // of the documents that the last attempt's routing was based on
}

// Observer is notified of events, for logs and metrics. Its methods must not block.
type Observer interface {
	// Finished is called when a call has ended.
	Finished(c *Call, s *Summary)
	// Ejected is called when a replica is ejected: it gets no requests for a while.
	Ejected(r *routing.Replica, c *Call, cause error)
	// CrashedDuring is called when a replica crashed while it had the request. responding is for how long
	// it had sent events of the response; negative: it had sent none.
	CrashedDuring(r *routing.Replica, c *Call, responding time.Duration)
	// Quarantined is called when a content is quarantined: its requests are not sent any more.
	Quarantined(content routing.ContentKey)
	// SelfReported is called with what a replica reported about itself in a response.
	SelfReported(r *routing.Replica, c *Call, report SelfReport)
	// BackoffRequested is called when a replica that was not backing off requested a backoff: it
	// gets no requests from this daemon for the time that is left.
	BackoffRequested(r *routing.Replica, c *Call, left time.Duration)
	// DepartureAnnounced is called when a replica first announced its departure.
	DepartureAnnounced(r *routing.Replica, c *Call)
	// Replaced is called when another replica first responded at a replica's address.
	Replaced(r *routing.Replica, c *Call)
	// Overloaded is called when a replica is overloaded by its own report.
	Overloaded(r *routing.Replica, c *Call, l ReportedLoad)
	// LinksLost is called when this daemon's own links to the replicas of a service are found to be
	// down, which takes the given time.
	LinksLost(s routing.ServiceName, found time.Duration)
	// LinksRegained is called when they are up again after the given time.
	LinksRegained(s routing.ServiceName, after time.Duration)
	// Panicked is called when a panic ended work for a request that was over.
	Panicked(id routing.RequestID, value any, stack []byte)
}
