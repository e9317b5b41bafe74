// The messages between daemons and coordinators. A message describes the complete state of its
// sender, except for the permits that have just finished, so that lost, duplicated and reordered
// messages cause no errors.

package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

type (
	// PermitID identifies a request for a permit, and then the permit. The asking daemon assigns
	// increasing ids.
	PermitID uint32
	// Sequence orders the messages of one incarnation of a daemon.
	Sequence uint32
	// Urgency orders requests; 0 is the most urgent. The workspace's priority takes precedence over
	// the route's.
	Urgency uint16
	// WorkspaceKey identifies a workspace in messages: half of a hash of its name.
	WorkspaceKey uint32
)

// maxPriority is the highest number of a priority, which is the least urgent. Higher ones are
// treated as this one.
const maxPriority = 255

// NewUrgency combines the priorities of a workspace and a route.
func NewUrgency(workspace, route int) Urgency {
	clamp := func(n int) Urgency { return Urgency(min(max(n, 0), maxPriority)) }
	return clamp(workspace)<<8 | clamp(route)
}

// NewWorkspaceKey returns the key of a workspace.
func NewWorkspaceKey(w routing.WorkspaceName) WorkspaceKey {
	return WorkspaceKey(xxhash.Sum64String(string(w)))
}

// Scope is the set of replicas for which a coordinator grants permits: those in one failure
// domain, or all replicas of the service if it is empty.
type Scope state.FailureDomain

// MaxPending is the number of asks that a [PermitRequest] lists at most, so that it fits a datagram.
const MaxPending = 16

// MaxTried is the number of replicas that an [Ask] lists as tried at most, the last ones.
const MaxTried = 3

// Ask is a request for a permit. Its times count from when the message is sent.
type Ask struct {
	ID        PermitID
	Urgency   Urgency
	Workspace WorkspaceKey
	// UntilTarget is the time left until the latency target of the route; it may be negative.
	// UntilDeadline is the time left until the caller's deadline.
	UntilTarget   time.Duration
	UntilDeadline time.Duration
	Tried         []routing.LoadKey // replicas that the request was already sent to; see queuedMark
}

// Result is how a request with a permit ended at its replica.
type Result uint8

// The results.
const (
	// Failed means that the replica gave no complete response. It is the zero value, so that an
	// unknown result says nothing in favor of a replica.
	Failed Result = iota
	// Completed means that the replica gave a complete response.
	Completed
	// Rejected means that the replica was full and did not run the request.
	Rejected
	// Abandoned means that the request was not sent, its caller disconnected, or it was given up
	// because the response was slow. It says nothing about the replica.
	Abandoned
)

// Finished is a permit whose request has ended.
type Finished struct {
	ID     PermitID
	Took   time.Duration // between sending the request and the end of its response
	Result Result
}

// PermitRequest is the message of a daemon to a coordinator.
type PermitRequest struct {
	From        membership.Address
	Incarnation membership.Incarnation
	Sequence    Sequence
	Service     routing.ServiceName
	Scope       Scope
	Pending     []Ask      // all that are not decided
	Held        []PermitID // all that the daemon holds from this coordinator
	Finished    []Finished // since the previous message
	// Unpermitted is the number of the daemon's requests in flight, at each replica, for which this
	// coordinator granted no permit.
	Unpermitted []routing.LoadCount
}

// PermitReply is the message of a coordinator to a daemon.
type PermitReply struct {
	From        membership.Address // the coordinator
	Incarnation membership.Incarnation
	Answers     Sequence // of the newest request that it takes into account
	Service     routing.ServiceName
	Scope       Scope
	Saturated   bool       // permits are still needed
	Decisions   []Decision // on all asks that are pending in the request
}

// Decision is the coordinator's decision on an [Ask]: [Granted], [Refused] or [Queued].
type Decision interface {
	isDecision()
	// Permit returns the id of the ask.
	Permit() PermitID
}

type (
	// Granted permits one request at a replica.
	Granted struct {
		ID      PermitID
		Replica routing.LoadKey
	}
	// Refused means that the request is not to be sent.
	Refused struct {
		ID         PermitID
		RetryAfter time.Duration
	}
	// Queued means that the request waits for a permit.
	Queued struct{ ID PermitID }
)

func (Granted) isDecision() {}
func (Refused) isDecision() {}
func (Queued) isDecision()  {}

// Permit returns the id of the ask.
func (d Granted) Permit() PermitID { return d.ID }

// Permit returns the id of the ask.
func (d Refused) Permit() PermitID { return d.ID }

// Permit returns the id of the ask.
func (d Queued) Permit() PermitID { return d.ID }

var (
	_ Decision = Granted{}
	_ Decision = Refused{}
	_ Decision = Queued{}
)
