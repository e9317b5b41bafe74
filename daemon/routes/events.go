// This file defines the events that the control loop processes. The set of event types is
// sealed, so that a type switch can cover all of them.

package routes

import (
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state/feed"
)

// event is an input of the control loop.
type event interface{ isEvent() }

// operatorRequest is a query or command of an operator.
type operatorRequest interface {
	event
	isOperatorRequest()
}

type (
	// storeListed carries a complete list of the store.
	storeListed struct {
		items []feed.Item
		at    feed.Position
		sent  time.Time // when the first page was requested
	}
	// storePageRead carries one page of a list that is being read: the documents with keys greater
	// than after and up to upTo. upTo is empty on the last page.
	storePageRead struct {
		items       []feed.Item
		after, upTo string
		at          feed.Position // of the list
	}
	// storeChanged carries the changes that a watch of the store returned.
	storeChanged struct {
		feed.Changes
		confirms time.Time // see membership.ConfirmedByWatch
	}
	// storeConfirmed says that a watch of the store returned without changes.
	storeConfirmed struct {
		at       feed.Position
		confirms time.Time
	}
	// storeReachabilityChanged says that the store became unreachable or reachable.
	storeReachabilityChanged struct {
		unreachable bool
		err         error // why the store is unreachable
	}
	// heartbeatReceived carries a peer's heartbeat.
	heartbeatReceived struct {
		heartbeat gossip.Heartbeat
		at        time.Time // when it was read from the socket
		waited    bool      // it may have waited there
	}
	// silencesReceived carries a peer's reports of silent replicas.
	silencesReceived struct{ reports []routing.SilenceReport }
	// overloadsReceived carries a peer's reports of overloaded replicas.
	overloadsReceived struct{ reports []routing.OverloadReport }
	// brittleReceived carries a peer's reports of services whose replicas are brittle.
	brittleReceived struct{ reports []routing.BrittleReport }
	// brittleDue says that reports of brittle services are to be sent.
	brittleDue struct{}
	// overloadsDue says that reports of overloaded replicas are to be sent.
	overloadsDue struct{}
	// crashesReceived carries a peer's reports of requests during which replicas crashed.
	crashesReceived struct {
		reports []routing.CrashReport
		from    membership.Address
	}
	// crashesDue says that crash reports are to be sent.
	crashesDue struct{}
	// partCrashesReceived carries a peer's reports of parts of prompts on which replicas crashed.
	partCrashesReceived struct {
		reports []routing.CrashReport
		from    membership.Address
	}
	// partCrashesDue says that reports of parts on which replicas crashed are to be sent.
	partCrashesDue struct{}
	// livenessReceived carries a peer's reports of replicas that are alive although they were
	// reported as terminated.
	livenessReceived struct{ reports []routing.LivenessReport }
	// livenessDue says that liveness reports are to be sent.
	livenessDue struct{}
	// departuresReceived carries a peer's reports of replicas that announced their departure.
	departuresReceived struct{ reports []routing.DepartureReport }
	// departuresDue says that reports of departures are to be sent.
	departuresDue struct{}
	// carrierNeeded asks for another daemon that may open connections for this one.
	carrierNeeded struct {
		search routing.Search
		reply  chan<- routing.Carrier // closed if there is none
	}
	// transferNeeded requests a budget transfer, because the retry budget of a service lacks the
	// missing amount for one retry. The reply channel has a buffer of one.
	transferNeeded struct {
		service routing.ServiceName
		missing routing.Retries
		reply   chan<- routing.Retries
	}
	// transferRequestsReceived carries a peer's requests for budget transfers.
	transferRequestsReceived struct{ requests []gossip.TransferRequest }
	// transfersReceived carries a peer's budget transfers.
	transfersReceived struct{ transfers []gossip.TransferGrant }
	// permitNeeded requests a permit for an attempt at a replica of a saturated service.
	permitNeeded struct{ ask *permitAsk }
	// permitWithdrawn says that a request does not wait for a permit any more.
	permitWithdrawn struct{ ask *permitAsk }
	// permitDone says that a request with a permit has ended.
	permitDone struct {
		service  routing.ServiceName
		replica  routing.LoadKey // at which it was acquired; 0: the coordinator chose the replica
		finished admission.Finished
	}
	// saturationObserved says that a request of this daemon was rejected by a full replica, or its
	// response was slow to begin.
	saturationObserved struct{ service routing.ServiceName }
	// permitRequestReceived carries a daemon's message to this daemon as a coordinator.
	permitRequestReceived struct{ request *admission.PermitRequest }
	// permitReplyReceived carries a coordinator's message.
	permitReplyReceived struct{ reply *admission.PermitReply }
	// saturationsReceived carries a peer's reports of saturated services.
	saturationsReceived struct{ services []routing.ServiceName }
	// streamBegan says that a stream of this daemon began, or goes on, at a software version.
	streamBegan struct{ origin routing.StreamOrigin }
	// streamCompleted says that a caller has the whole of a stream whose origin this daemon recorded.
	streamCompleted struct{ stream routing.StreamKey }
	// eventsHandled closes a channel, once all earlier events have been handled.
	eventsHandled struct{ done chan<- struct{} }
	// originNeeded asks for the origin of a stream. The reply channel has a buffer of one. denied is set once a holder has
	// replied that it has no record, while others have not replied.
	originNeeded struct {
		stream routing.StreamKey
		reply  chan<- originFound
		denied *atomic.Bool
	}
	// originsReceived carries origins of streams that a peer records at this daemon.
	originsReceived struct{ origins []routing.StreamOrigin }
	// originRequestsReceived carries a peer's questions for the origins of streams.
	originRequestsReceived struct{ requests []gossip.OriginRequest }
	// originRepliesReceived carries a peer's replies to questions of this daemon.
	originRepliesReceived struct{ replies []gossip.OriginReply }
	// syncDue says that the delay before fetching documents from a peer has passed.
	syncDue struct{}
	// syncCompleted carries a peer's response to a request for documents, or the error.
	syncCompleted struct {
		request  documentsRequest
		response documentsResponse
		from     membership.Address
		err      error
	}
	// callerWaiting says that a caller waits for the first configuration.
	callerWaiting struct{}
	// shutdownStarted says that a graceful shutdown has started.
	shutdownStarted struct{}
	// documentsRequested is a peer's request for documents.
	documentsRequested struct {
		request documentsRequest
		reply   chan<- documentsResponse
	}
	// statusQuery, membersQuery, replicasQuery and quarantineQuery are queries of operators.
	// Their reply channels have a buffer of one.
	statusQuery     struct{ reply chan<- StatusAnswer }
	membersQuery    struct{ reply chan<- []MemberAnswer }
	replicasQuery   struct{ reply chan<- []ReplicaAnswer }
	quarantineQuery struct{ reply chan<- []HeldAnswer }
	admissionQuery  struct{ reply chan<- []AdmissionAnswer }
	// releaseCommand is an operator's command to release a quarantined content. The reply says
	// whether the content was known.
	releaseCommand struct {
		content routing.ContentKey
		reply   chan<- bool
	}
	// liftBackoffCommand is an operator's command to end the backoff that a replica requested. The
	// reply says whether there was one.
	liftBackoffCommand struct {
		replica routing.ReplicaID
		reply   chan<- bool
	}
)

func (storeListed) isEvent()              {}
func (storePageRead) isEvent()            {}
func (storeChanged) isEvent()             {}
func (storeConfirmed) isEvent()           {}
func (storeReachabilityChanged) isEvent() {}
func (heartbeatReceived) isEvent()        {}
func (silencesReceived) isEvent()         {}
func (overloadsReceived) isEvent()        {}
func (overloadsDue) isEvent()             {}
func (brittleReceived) isEvent()          {}
func (brittleDue) isEvent()               {}
func (crashesReceived) isEvent()          {}
func (crashesDue) isEvent()               {}
func (partCrashesReceived) isEvent()      {}
func (partCrashesDue) isEvent()           {}
func (livenessReceived) isEvent()         {}
func (livenessDue) isEvent()              {}
func (departuresReceived) isEvent()       {}
func (departuresDue) isEvent()            {}
func (liftBackoffCommand) isEvent()       {}
func (quarantineQuery) isEvent()          {}
func (releaseCommand) isEvent()           {}
func (carrierNeeded) isEvent()            {}
func (transferNeeded) isEvent()           {}
func (transferRequestsReceived) isEvent() {}
func (transfersReceived) isEvent()        {}
func (permitNeeded) isEvent()             {}
func (permitWithdrawn) isEvent()          {}
func (permitDone) isEvent()               {}
func (saturationObserved) isEvent()       {}
func (permitRequestReceived) isEvent()    {}
func (permitReplyReceived) isEvent()      {}
func (saturationsReceived) isEvent()      {}
func (streamBegan) isEvent()              {}
func (streamCompleted) isEvent()          {}
func (eventsHandled) isEvent()            {}
func (originNeeded) isEvent()             {}
func (originsReceived) isEvent()          {}
func (originRequestsReceived) isEvent()   {}
func (originRepliesReceived) isEvent()    {}
func (syncDue) isEvent()                  {}
func (syncCompleted) isEvent()            {}
func (callerWaiting) isEvent()            {}
func (shutdownStarted) isEvent()          {}
func (documentsRequested) isEvent()       {}
func (statusQuery) isEvent()              {}
func (admissionQuery) isEvent()           {}
func (membersQuery) isEvent()             {}
func (replicasQuery) isEvent()            {}

func (statusQuery) isOperatorRequest()        {}
func (admissionQuery) isOperatorRequest()     {}
func (membersQuery) isOperatorRequest()       {}
func (replicasQuery) isOperatorRequest()      {}
func (quarantineQuery) isOperatorRequest()    {}
func (releaseCommand) isOperatorRequest()     {}
func (liftBackoffCommand) isOperatorRequest() {}
