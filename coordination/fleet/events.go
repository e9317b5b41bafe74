// This file defines the events that a Fleet takes in and the effects that it asks
// for. Both are sealed: a type switch over them is complete.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Event is something that has happened.
type Event interface{ isEvent() }

// ConfigLearned brings a parsed configuration, from the platform or a peer.
type ConfigLearned struct{ Config *state.Config }

// ConfigRefused says that the content of a head does not parse. It is not
// fetched again.
type ConfigRefused struct {
	Head state.Head
	Err  error
}

// ListLearned brings a member list. Asked is when the platform was asked for
// it; it is zero if the list comes from a peer.
type ListLearned struct {
	List  *state.MemberList
	Asked time.Time
}

// ListConfirmed says that the platform, asked at Asked, still publishes the
// list of that head.
type ListConfirmed struct {
	Head  state.Head
	Asked time.Time
}

// UpstreamSeen brings an upstream's report to the daemon that watches it.
type UpstreamSeen struct {
	ID          state.UpstreamID
	Incarnation state.Incarnation
	State       state.MemberState
	Load        state.Load
}

// UpstreamFailed says that an attempt of this daemon could not reach an
// upstream or was refused by it.
type UpstreamFailed struct{ ID state.UpstreamID }

// GossipReceived brings a peer's message. Asked is when this daemon sent the request
// that it answers; it is zero if the peer began the exchange.
type GossipReceived struct {
	Gossip Gossip
	Asked  time.Time
}

// PeerFailed says that an exchange with a peer failed.
type PeerFailed struct{ ID state.DaemonID }

// Tick says that time has passed. Wall is the wall clock, which shows a
// pause during which the monotonic clock stood still.
type Tick struct{ Wall time.Time }

// StopBegun says that this daemon is being stopped as planned.
type StopBegun struct{}

func (ConfigLearned) isEvent()  {}
func (ConfigRefused) isEvent()  {}
func (ListLearned) isEvent()    {}
func (ListConfirmed) isEvent()  {}
func (UpstreamSeen) isEvent()   {}
func (UpstreamFailed) isEvent() {}
func (GossipReceived) isEvent() {}
func (PeerFailed) isEvent()     {}
func (Tick) isEvent()           {}
func (StopBegun) isEvent()      {}

// Effect is something that a Fleet asks its owner to do.
type Effect interface{ isEffect() }

// Publish hands out a new snapshot.
type Publish struct{ Snapshot *state.Snapshot }

// SendGossip asks for an exchange with a peer. The answer comes back as
// [GossipReceived], a failure as [PeerFailed].
type SendGossip struct {
	Peer   state.Member
	Gossip Gossip
}

// Reply is the answer to an exchange that a peer began.
type Reply struct{ Gossip Gossip }

// FetchConfig asks for the configuration of a peer that has a newer one.
type FetchConfig struct{ Peer state.Member }

// FetchList asks for the member list of a peer that has a newer one.
type FetchList struct{ Peer state.Member }

// RetainList asks to keep the text of a list that is held back, for peers that fetch
// it.
type RetainList struct{ List *state.MemberList }

// WatchUpstreams lists the upstreams that this daemon watches from now on.
type WatchUpstreams struct{ Upstreams []state.Member }

// ReadPlatform asks for one look at the platform.
type ReadPlatform struct{}

// TimelineEntry is an entry for the time line.
type TimelineEntry struct {
	Kind  coordination.EventKind
	About string
	Text  string
}

func (Publish) isEffect()        {}
func (SendGossip) isEffect()     {}
func (Reply) isEffect()          {}
func (FetchConfig) isEffect()    {}
func (FetchList) isEffect()      {}
func (RetainList) isEffect()     {}
func (WatchUpstreams) isEffect() {}
func (ReadPlatform) isEffect()   {}
func (TimelineEntry) isEffect()  {}

var (
	_ Event  = Tick{}
	_ Effect = TimelineEntry{}
)

// Gossip is the message that goes both ways in one exchange.
type Gossip struct {
	Sender      state.DaemonID
	Incarnation state.Incarnation
	Domain      state.FailureDomain
	Address     string // where the sender's peers reach it
	Leaving     bool
	Stamp       coordination.Stamp
	Config      state.Head
	List        state.Head
	ListAge     time.Duration // since the platform confirmed the list; negative if never, or if a newer one is held back
	Reports     []Report
	// Upto is the sender's position up to which Reports is complete, and Ack
	// the last Upto that it received from the incarnation AckIncarnation of the other
	// side.
	// A side sends again what is not acknowledged.
	Upto           uint64
	Ack            uint64
	AckIncarnation state.Incarnation
}

// neverConfirmed is the ListAge of a daemon that knows no confirmed list.
const neverConfirmed = -1
