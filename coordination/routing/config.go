// The configuration that the routing decisions read. A platform adapter fills it in; table.go
// validates and indexes it.

package routing

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
)

type (
	// ReplicaID identifies a replica. A replica may restart under the same id; see [Incarnation].
	ReplicaID string
	// StartTime is the start time that a replica reports, in Unix milliseconds by its own clock;
	// 0 if it reports none. It only distinguishes the incarnations of one replica and is not
	// compared with any other time: the clocks of other VMs differ, and may step.
	StartTime int64
	// Incarnation is one run of a replica, from one start to its end. State that is recorded
	// about a replica belongs to one incarnation: a restarted replica keeps nothing from before.
	Incarnation struct {
		ID        ReplicaID
		StartTime StartTime
	}
	// ServiceName identifies a service, which is a set of replicas.
	ServiceName string
	// WorkspaceName identifies a workspace.
	WorkspaceName string
	// ConfigVersion orders configurations; newer ones have higher versions.
	ConfigVersion uint64
	// Tokens is a number of prompt tokens.
	Tokens int
)

// Kind determines whether a request may run more than once.
type Kind int

// The kinds of requests.
const (
	// AtMostOnce is a request that must not run twice. It is the zero value, so that an unknown
	// kind is treated as the strictest one.
	AtMostOnce Kind = iota
	// Idempotent is a request that may run more than once.
	Idempotent
	// Stream is a request whose response is a stream of events. It runs at most once unless its
	// route is resumable.
	Stream
)

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service ServiceName
	Weight  int // relative to the route's other shares
}

// Route determines where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time that a request may take; 0 if not set.
	Timeout time.Duration
	// FirstByteTarget is the latency target for the first byte of the response, and EventTarget
	// the longest pause that callers expect between the events of a stream.
	FirstByteTarget time.Duration
	EventTarget     time.Duration
	Shares          []Share
	MaxAttempts     int  // replicas that one request may be sent to
	Public          bool // needs no key
	Resumable       bool // a stream can continue at another replica after its last event
	// Priority orders the requests that wait for a crowded service, within the priority of their
	// workspaces; 0 is the most urgent.
	Priority    int
	totalWeight int
	former      *formerSplit // nil: the split has not changed lately
}

// MayRunAgain reports whether the route's requests may run more than once.
func (r *Route) MayRunAgain() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Service selects the service of a request by the weights of the route's shares. The same draw
// selects the same service in every daemon.
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
	MaxConnections int    // to one replica, from all daemons together; 0: unlimited
	Generates      bool   // the replicas generate text and cache prompts
	CopiesPrompts  bool   // a replica can copy cached prompts from another
	HealthPath     string // of the replicas' health check; empty: none is published
	// ColdStart is how long a replica is cold after a start, and ColdPerSecond how many requests
	// a second it can take meanwhile. If ColdStart is 0 it has no cold period, and if
	// ColdPerSecond is 0 there is no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Workspace is a tenant with the API keys of its callers.
type Workspace struct {
	Name WorkspaceName
	Keys []string
	// Priority orders the requests that wait for a crowded service; 0 is the most urgent. It takes
	// precedence over the priority of routes.
	Priority int
}

// CallerLimits bounds what callers may send.
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
	// Warnings list the parts of the published document that were not understood, and the
	// defaults that apply instead.
	Warnings []string
}
