// The indexed configuration: routes by host, workspaces by key.

package routing

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is an indexed configuration. It is immutable.
type Table struct {
	Version    ConfigVersion
	Limits     CallerLimits
	Warnings   []string            // from Config.Warnings
	byHost     map[string][]*Route // longest prefix first
	services   map[ServiceName]*Service
	workspaces map[uint64]keyEntry // by the hash of the key
	routeCount int
	needsKey   bool
	hasTarget  map[ServiceName]bool // services of routes with a latency target
	streamLife time.Duration        // see StreamLife
	// lacksSplitsUntil is until when streams may last that began by splits from before this daemon's first configuration.
	lacksSplitsUntil time.Time
}

// keyEntry is a key and its workspace. Lookups compare the whole key, since two keys may have
// the same hash.
type keyEntry struct {
	key       string
	workspace *Workspace
}

// InvalidRouteError means that a route of a configuration is invalid. The configuration is
// rejected as a whole.
type InvalidRouteError struct {
	Route   string
	Problem string
	Remedy  string
}

// Error names the route, the problem and the remedy.
func (e *InvalidRouteError) Error() string {
	return fmt.Sprintf("route %q: %s; %s", e.Route, e.Problem, e.Remedy)
}

// NewTable validates a configuration and indexes it. The error is an [InvalidRouteError]; the
// configuration is then rejected as a whole.
func NewTable(c *Config) (*Table, error) {
	t := &Table{
		Version:    c.Version,
		Limits:     c.Limits,
		Warnings:   c.Warnings,
		byHost:     make(map[string][]*Route),
		services:   make(map[ServiceName]*Service, len(c.Services)),
		workspaces: make(map[uint64]keyEntry),
		routeCount: len(c.Routes),
		needsKey:   len(c.Workspaces) > 0,
		hasTarget:  make(map[ServiceName]bool),
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
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			t.workspaces[xxhash.Sum64String(key)] = keyEntry{key: key, workspace: w}
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &InvalidRouteError{r.Name, fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix), "correct it"}
	}
	if len(r.Shares) == 0 {
		return &InvalidRouteError{r.Name, "no service is configured", "set a service or a traffic split"}
	}
	r.totalWeight = 0
	for _, s := range r.Shares {
		if s.Weight < 0 {
			return &InvalidRouteError{r.Name, fmt.Sprintf("weight of service %q is negative", s.Service), "use 0 or more"}
		}
		r.totalWeight += s.Weight
		if r.FirstByteTarget > 0 {
			t.hasTarget[s.Service] = true
		}
	}
	if r.Kind == Stream && r.Resumable {
		t.streamLife = max(t.streamLife, cmp.Or(r.Timeout, versionRetention))
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// Match returns the route of a request: the one of the host's routes with the longest prefix of
// the path.
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

// Authenticate returns the workspace that a key belongs to.
func (t *Table) Authenticate(key string) (*Workspace, bool) {
	h, ok := t.workspaces[xxhash.Sum64String(key)]
	if !ok || h.key != key {
		return nil, false
	}
	return h.workspace, true
}

// NeedsKey reports whether the configuration has workspaces, so that callers must send a key
// unless the route is public.
func (t *Table) NeedsKey() bool { return t.needsKey }

// Service returns a service by name.
func (t *Table) Service(name ServiceName) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// defaultHealthPath applies to services that publish none. Any response shows that a replica is reached.
const defaultHealthPath = "/"

// HealthPath returns the path of the health check of a service's replicas. It accepts a nil table.
func (t *Table) HealthPath(name ServiceName) string {
	if t == nil {
		return defaultHealthPath
	}
	if s, ok := t.services[name]; ok && s.HealthPath != "" {
		return s.HealthPath
	}
	return defaultHealthPath
}

// HasTarget reports whether a route with a latency target leads to a service.
func (t *Table) HasTarget(s ServiceName) bool { return t.hasTarget[s] }

// StreamLife returns how long a stream can last that its caller resumes: the longest timeout of the routes of such
// streams. It accepts a nil table.
func (t *Table) StreamLife() time.Duration {
	if t == nil {
		return versionRetention
	}
	return min(max(t.streamLife, minStreamLife), maxStreamLife)
}

// WorkspaceOf returns the workspace that a caller key in a report identifies, if the
// configuration has it.
func (t *Table) WorkspaceOf(caller CallerKey) (WorkspaceName, bool) {
	for _, h := range t.workspaces {
		if NewCallerKey(h.workspace.Name) == caller {
			return h.workspace.Name, true
		}
	}
	return "", false
}

// Workspaces returns an iterator over the names of the workspaces that have keys. A workspace with
// several keys appears several times.
func (t *Table) Workspaces() iter.Seq[WorkspaceName] {
	return func(yield func(WorkspaceName) bool) {
		for _, h := range t.workspaces {
			if !yield(h.workspace.Name) {
				return
			}
		}
	}
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }
