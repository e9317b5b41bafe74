// This file defines the events that the control loop processes. The set of event types is
// sealed, so that a type switch can cover all of them.

package routes

import (
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// event is an input of the control loop.
type event interface{ isEvent() }

// question is a query or command of an operator.
type question interface {
	event
	isQuestion()
}

type (
	// storeListed carries a complete list of the store.
	storeListed struct {
		items []feed.Item
		at    feed.Position
	}
	// storePaged carries one page of a list that is being read: the documents with keys greater
	// than after and up to upTo. upTo is empty on the last page.
	storePaged struct {
		items       []feed.Item
		after, upTo string
		at          feed.Position // of the list
	}
	// storeChanged carries the changes that a watch of the store returned.
	storeChanged struct{ feed.Changes }
	// storeReachable says that the store became unreachable or reachable.
	storeReachable struct {
		lost bool
		err  error // why the store is unreachable
	}
	// heartbeatReceived carries a peer's heartbeat.
	heartbeatReceived struct{ heartbeat gossip.Heartbeat }
	// silencesReceived carries a peer's reports of silent replicas.
	silencesReceived struct{ reports []routing.SilenceReport }
	// crowdsReceived carries a peer's reports of overloaded replicas.
	crowdsReceived struct{ reports []routing.CrowdReport }
	// crowdsDue says that reports of overloaded replicas are to be sent.
	crowdsDue struct{}
	// crashesReceived carries a peer's reports of requests during which replicas crashed.
	crashesReceived struct{ reports []routing.CrashReport }
	// crashesDue says that crash reports are to be sent.
	crashesDue struct{}
	// livesReceived carries a peer's reports of replicas that are alive although they were
	// reported as terminated.
	livesReceived struct{ reports []routing.LifeReport }
	// livesDue says that liveness reports are to be sent.
	livesDue struct{}
	// leavingsReceived carries a peer's reports of replicas that announced their departure.
	leavingsReceived struct{ reports []routing.LeavingReport }
	// leavingsDue says that reports of departures are to be sent.
	leavingsDue struct{}
	// loanWanted requests a budget transfer, because the budget of a service lacks the missing amount for
	// one retry. The reply channel has a buffer of one.
	loanWanted struct {
		service routing.ServiceName
		missing routing.Retries
		reply   chan<- routing.Retries
	}
	// loanAsksReceived carries a peer's requests for budget transfers.
	loanAsksReceived struct{ asks []gossip.LoanAsk }
	// loansReceived carries a peer's budget transfers.
	loansReceived struct{ loans []gossip.Loan }
	// syncDue says that the delay before fetching documents from a peer has passed.
	syncDue struct{}
	// synced carries a peer's response to a request for documents, or the error.
	synced struct {
		asked  documentsRequest
		answer documentsResponse
		from   membership.Address
		err    error
	}
	// callerWaits says that a caller waits for the first configuration.
	callerWaits struct{}
	// stopBegun says that a graceful shutdown has started.
	stopBegun struct{}
	// documentsAsked is a peer's request for documents.
	documentsAsked struct {
		request documentsRequest
		reply   chan<- documentsResponse
	}
	// statusAsked, membersAsked, replicasAsked and heldAsked are queries of operators. Their
	// reply channels have a buffer of one.
	statusAsked   struct{ reply chan<- StatusAnswer }
	membersAsked  struct{ reply chan<- []MemberAnswer }
	replicasAsked struct{ reply chan<- []ReplicaAnswer }
	heldAsked     struct{ reply chan<- []HeldAnswer }
	// releaseAsked is an operator's command to release a quarantined content. The reply says whether the content was known.
	releaseAsked struct {
		content routing.ContentKey
		reply   chan<- bool
	}
	// restLifted is an operator's command to end the backoff that a replica requested. The reply
	// says whether there was one.
	restLifted struct {
		replica routing.ReplicaID
		reply   chan<- bool
	}
)

func (storeListed) isEvent()       {}
func (storePaged) isEvent()        {}
func (storeChanged) isEvent()      {}
func (storeReachable) isEvent()    {}
func (heartbeatReceived) isEvent() {}
func (silencesReceived) isEvent()  {}
func (crowdsReceived) isEvent()    {}
func (crowdsDue) isEvent()         {}
func (crashesReceived) isEvent()   {}
func (crashesDue) isEvent()        {}
func (livesReceived) isEvent()     {}
func (livesDue) isEvent()          {}
func (leavingsReceived) isEvent()  {}
func (leavingsDue) isEvent()       {}
func (restLifted) isEvent()        {}
func (heldAsked) isEvent()         {}
func (releaseAsked) isEvent()      {}
func (loanWanted) isEvent()        {}
func (loanAsksReceived) isEvent()  {}
func (loansReceived) isEvent()     {}
func (syncDue) isEvent()           {}
func (synced) isEvent()            {}
func (callerWaits) isEvent()       {}
func (stopBegun) isEvent()         {}
func (documentsAsked) isEvent()    {}
func (statusAsked) isEvent()       {}
func (membersAsked) isEvent()      {}
func (replicasAsked) isEvent()     {}

func (statusAsked) isQuestion()   {}
func (membersAsked) isQuestion()  {}
func (replicasAsked) isQuestion() {}
func (heldAsked) isQuestion()     {}
func (releaseAsked) isQuestion()  {}
func (restLifted) isQuestion()    {}
