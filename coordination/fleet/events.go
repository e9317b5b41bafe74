// This file defines the events that a Fleet handles and the effects that it requests.
// Both interfaces are sealed, so a type switch can be exhaustive.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Event is an input of a [Fleet].
type Event interface{ isEvent() }

// ConfigReceived carries a parsed configuration from the platform or a peer.
type ConfigReceived struct{ Config *state.Config }

// ConfigRefused reports that the configuration with this head does not parse. It is
// not fetched again.
type ConfigRefused struct {
	Head state.Head
	Err  error
}

// ListReceived carries a member list. Asked is when the request to the platform was
// sent; it is zero if the list comes from a peer.
type ListReceived struct {
	List  *state.MemberList
	Asked time.Time
}

// ListConfirmed reports that the platform, asked at Asked, still publishes the list
// with this head.
type ListConfirmed struct {
	Head  state.Head
	Asked time.Time
}

// UpstreamReported carries an upstream's report to the daemon that watches it.
type UpstreamReported struct {
	ID          state.UpstreamID
	Incarnation state.Incarnation
	State       state.MemberState
	Load        state.Load
}

// UpstreamFailed reports that an attempt of this daemon could not reach an upstream
// or was refused by it.
type UpstreamFailed struct{ ID state.UpstreamID }

// GossipReceived carries a peer's message. Asked is when this daemon sent the request
// that it answers; it is zero if the peer initiated the exchange.
type GossipReceived struct {
	Gossip Gossip
	Asked  time.Time
}

// PeerFailed reports that an exchange with a peer failed.
type PeerFailed struct{ ID state.DaemonID }

// Tick is sent every [TickInterval]. Wall is the wall clock, which reveals a pause
// during which the monotonic clock stood still.
type Tick struct{ Wall time.Time }

// StopBegun reports that the daemon has started its graceful shutdown.
type StopBegun struct{}

func (ConfigReceived) isEvent()   {}
func (ConfigRefused) isEvent()    {}
func (ListReceived) isEvent()     {}
func (ListConfirmed) isEvent()    {}
func (UpstreamReported) isEvent() {}
func (UpstreamFailed) isEvent()   {}
func (GossipReceived) isEvent()   {}
func (PeerFailed) isEvent()       {}
func (Tick) isEvent()             {}
func (StopBegun) isEvent()        {}

// Effect is an action that a [Fleet] requests from its owner.
type Effect interface{ isEffect() }

// Publish makes a new snapshot available to traffic.
type Publish struct{ Snapshot *state.Snapshot }

// SendGossip requests an exchange with a peer. The response comes back as
// [GossipReceived], a failure as [PeerFailed].
type SendGossip struct {
	Peer   state.Member
	Gossip Gossip
}

// Reply is the response to an exchange that a peer initiated.
type Reply struct{ Gossip Gossip }

// FetchConfig requests the configuration of a peer that has a newer one.
type FetchConfig struct{ Peer state.Member }

// FetchList requests the member list of a peer that has a newer one.
type FetchList struct{ Peer state.Member }

// RetainList requests that the text of a deferred list be kept for peers that fetch
// it.
type RetainList struct{ List *state.MemberList }

// WatchUpstreams replaces the set of upstreams that this daemon watches.
type WatchUpstreams struct{ Upstreams []state.Member }

// ReadPlatform requests one read of the platform.
type ReadPlatform struct{}

// TimelineEntry is an entry for the timeline.
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

// Gossip is the message that each side sends in an exchange.
type Gossip struct {
	Sender      state.DaemonID
	Incarnation state.Incarnation
	Domain      state.FailureDomain
	Address     string // where the sender's peers reach it
	Leaving     bool
	Stamp       coordination.Stamp
	Config      state.Head
	List        state.Head
	ListAge     time.Duration // since the platform confirmed the list; negative if it never did, or if a newer list is deferred
	Reports     []Report
	// Upto is the sender's position up to which Reports is complete. Ack is the last
	// Upto that the sender received from the incarnation AckIncarnation of the other
	// side. Reports that are not acknowledged are sent again.
	Upto           uint64
	Ack            uint64
	AckIncarnation state.Incarnation
}

// neverConfirmed is the ListAge of a daemon without a confirmed list.
const neverConfirmed = -1
