// This file holds the configuration as the decisions need it: routes by host,
// workspaces by key. A Config is checked and indexed once, and never changes.

package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
)

type (
	// ReplicaID names one start of one replica. A restart has a new id.
	ReplicaID string
	// ServiceName names a service, which is a set of replicas.
	ServiceName string
	// WorkspaceName names a workspace, which is a workspace of the operators' files.
	WorkspaceName string
	// Version orders configurations.
	Version uint64
)

// Kind says how often a request may run.
type Kind int

// The kinds of requests.
const (
	// Once is a request that runs at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request that is answered by events, and runs at most once
	// unless its route is resumable.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service ServiceName
	Weight  int
}

// Route tells where the requests of a host and path prefix go.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time that a request is held; 0: none
	Aim          time.Duration // time to the answer's first part that earns full credit
	Gap          time.Duration // longest pause between events that is still in time
	Shares       []Share
	MaxAttempts  int // replicas that one request may be sent to
	OpenToAll    bool
	Resumable    bool
	totalWeights int
}

// MayRepeat reports whether the route's requests may run more than once.
func (r *Route) MayRepeat() bool { return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable) }

// Service draws the service of a request. The same draw gives the same service
// in every daemon.
func (r *Route) Service(draw uint64) ServiceName {
	if len(r.Shares) == 1 || r.totalWeights == 0 {
		return r.Shares[0].Service
	}
	point := int(coordination.Scramble(draw) % uint64(r.totalWeights))
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
	MaxConnections int  // of one replica, from all daemons together; 0: no bound
	Generates      bool // the replicas generate text and cache prompts
	CopiesPrompts  bool // a replica can copy cached prompts from another
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
	Version    Version
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     CallerLimits
}

// Table is an indexed configuration. It is immutable.
type Table struct {
	Version    Version
	Limits     CallerLimits
	byHost     map[string][]*Route // longest prefix first
	services   map[ServiceName]*Service
	workspaces map[uint64]workspaceKey
	count      int
	anyKey     bool
}

type workspaceKey struct {
	key       string
	workspace *Workspace
}

// NewTable checks a configuration and indexes it. The error names what is wrong
// and nothing of the configuration is taken.
func NewTable(c *Config) (*Table, error) {
	t := &Table{
		Version:    c.Version,
		Limits:     c.Limits,
		byHost:     make(map[string][]*Route),
		services:   make(map[ServiceName]*Service, len(c.Services)),
		workspaces: make(map[uint64]workspaceKey),
		count:      len(c.Routes),
		anyKey:     len(c.Workspaces) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Workspaces {
		workspace := &c.Workspaces[i]
		for _, key := range workspace.Keys {
			t.workspaces[xxhash.Sum64String(key)] = workspaceKey{key: key, workspace: workspace}
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("route %q: prefix %q does not begin and end with a slash; correct it", r.Name, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return eris.Errorf("route %q: no service is named; name one or a split", r.Name)
	}
	r.totalWeights = 0
	for _, s := range r.Shares {
		if s.Weight < 0 {
			return eris.Errorf("route %q: weight of service %q is negative; write 0 or more", r.Name, s.Service)
		}
		r.totalWeights += s.Weight
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// Match returns the route of a request: of the host's routes the one with the
// longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes, ok := t.byHost[host]
	if !ok {
		routes = t.byHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the workspace that holds a key.
func (t *Table) Authenticate(key string) (*Workspace, bool) {
	k, ok := t.workspaces[xxhash.Sum64String(key)]
	if !ok || k.key != key {
		return nil, false
	}
	return k.workspace, true
}

// NeedsKey reports whether the configuration has workspaces, so that callers must
// send a key.
func (t *Table) NeedsKey() bool { return t.anyKey }

// Service returns a service by name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Routes returns how many routes there are.
func (t *Table) Routes() int { return t.count }
