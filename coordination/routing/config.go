// This file defines the configuration as the decisions need it. The adapter of a
// platform fills it in; table.go checks and indexes it.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

type (
	// ReplicaID names a replica. It may start again under the same id: see [Incarnation].
	ReplicaID string
	// Born is when a replica started, as it says itself, in Unix milliseconds by its own clock;
	// 0: it does not say. It tells the starts of one replica apart and is compared with nothing
	// else: clocks of other VMs differ, and may step.
	Born int64
	// Incarnation is one start of one replica. What is known of a replica belongs to one
	// incarnation: one that started again holds and knows nothing of before.
	Incarnation struct {
		ID   ReplicaID
		Born Born
	}
	// ServiceName names a service, which is a set of replicas.
	ServiceName string
	// WorkspaceName names a workspace.
	WorkspaceName string
	// ConfigVersion orders configurations; a later one is higher.
	ConfigVersion uint64
	// Tokens counts the tokens of a prompt.
	Tokens int
)

// Kind says how often a request may run.
type Kind int

// The kinds of requests.
const (
	// AtMostOnce is a request that must not run twice. It is the zero value, so
	// that a kind that is not known is treated as the strictest one.
	AtMostOnce Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is a request that is answered by events. It runs at most once unless
	// its route is resumable.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service ServiceName
	Weight  int // relative to the route's other shares
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a request is held; 0: none is set.
	Timeout time.Duration
	// FirstByteTarget is the time to the first byte of the answer that callers
	// expect, and EventTarget the longest pause between the events of a stream.
	FirstByteTarget time.Duration
	EventTarget     time.Duration
	Shares          []Share
	MaxAttempts     int  // replicas that one request may be sent to
	Public          bool // needs no key
	Resumable       bool // a stream can go on at another replica after its last event
	totalWeight     int
}

// MayRunAgain reports whether the route's requests may run more than once.
func (r *Route) MayRunAgain() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service draws the service of a request by the weights of the route's shares.
// The same draw gives the same service in every daemon.
func (r *Route) Service(draw uint64) ServiceName {
	if len(r.Shares) == 1 || r.totalWeight == 0 {
		return r.Shares[0].Service
	}
	point := int(coordination.Scramble(draw) % uint64(r.totalWeight))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[0].Service
}

// Service describes a service's replicas.
type Service struct {
	Name           ServiceName
	MaxConnections int  // to one replica, from all daemons together; 0: no bound
	Generates      bool // the replicas generate text and cache prompts
	CopiesPrompts  bool // a replica can copy cached prompts from another
	// ColdStart is how long a replica is cold after a start, and ColdPerSecond how many
	// requests a second it bears meanwhile; 0: it has no cold time, or bears all.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Workspace is a workspace with the keys of its callers.
type Workspace struct {
	Name WorkspaceName
	Keys []string
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	BodyBytes int64 // of one request; 0: not set
}

// Config is one version of the configuration.
type Config struct {
	Version    ConfigVersion
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     CallerLimits
	// Warnings say what of the published document was not understood, and what
	// holds in its place.
	Warnings []string
}
