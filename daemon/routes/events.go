// This file defines what the control loop takes. The events are sealed: a type
// switch over them is complete.

package routes

import (
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// event is what the control loop takes.
type event interface{ isEvent() }

// question is what an operator asks of the control loop.
type question interface {
	event
	isQuestion()
}

type (
	// storeListed is a whole list from the store.
	storeListed struct {
		items []feed.Item
		at    feed.Position
	}
	// storePaged is a page of a list that goes on: the documents whose keys come after one and up
	// to another, which is empty on the last page.
	storePaged struct {
		items       []feed.Item
		after, upTo string
		at          feed.Position // of the list
	}
	// storeChanged is what a watch of the store returned.
	storeChanged struct{ feed.Changes }
	// storeReachable says that the store was lost or regained.
	storeReachable struct {
		lost bool
		err  error // why it was lost
	}
	// heartbeatReceived is a peer's heartbeat.
	heartbeatReceived struct{ heartbeat gossip.Heartbeat }
	// silencesReceived are a peer's reports of silent replicas.
	silencesReceived struct{ reports []routing.SilenceReport }
	// crowdsReceived are a peer's reports of crowded replicas.
	crowdsReceived struct{ reports []routing.OverloadReport }
	// crowdsDue says that reports of crowded replicas are to be sent.
	crowdsDue struct{}
	// crashesReceived are a peer's reports of requests that replicas ended under.
	crashesReceived struct{ reports []routing.CrashReport }
	// crashesDue says that such reports are to be sent.
	crashesDue struct{}
	// livesReceived are a peer's reports of replicas that are said to have ended and live.
	livesReceived struct{ reports []routing.LifeReport }
	// livesDue says that such reports are to be sent.
	livesDue struct{}
	// leavingsReceived are a peer's reports of replicas that leave by their own word.
	leavingsReceived struct{ reports []routing.LeavingReport }
	// leavingsDue says that such reports are to be sent.
	leavingsDue struct{}
	// loanWanted says that a request lacks a retry at a service, or a part of one. The reply
	// channel has room for one answer.
	loanWanted struct {
		service routing.ServiceName
		missing routing.Retries
		reply   chan<- routing.Retries
	}
	// loanAsksReceived are a peer's requests for loans.
	loanAsksReceived struct{ asks []gossip.LoanAsk }
	// loansReceived are a peer's loans.
	loansReceived struct{ loans []gossip.Loan }
	// syncDue says that the time before a sync has passed.
	syncDue struct{}
	// synced is a peer's answer to a request for documents.
	synced struct {
		asked  documentsRequest
		answer documentsAnswer
		from   membership.Address
		err    error
	}
	// callerWaits says that a caller waits for the first configuration.
	callerWaits struct{}
	// stopBegun says that a planned stop has begun.
	stopBegun struct{}
	// documentsAsked is a peer's request for documents.
	documentsAsked struct {
		request documentsRequest
		reply   chan<- documentsAnswer
	}
	// statusAsked, membersAsked and replicasAsked are operators' questions. Their
	// reply channels have room for one answer.
	statusAsked   struct{ reply chan<- StatusAnswer }
	membersAsked  struct{ reply chan<- []MemberAnswer }
	replicasAsked struct{ reply chan<- []ReplicaAnswer }
	heldAsked     struct{ reply chan<- []HeldAnswer }
	// releaseAsked is an operator's wish to let a content be sent again. The answer is
	// whether it was known.
	releaseAsked struct {
		content routing.ContentKey
		reply   chan<- bool
	}
	// restLifted is an operator's wish to end the rest of a replica. The answer is whether it
	// rested.
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
