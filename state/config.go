// This file defines the structure of the configuration file. parse.go parses
// it and check.go validates it.

package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// MaxConfigBytes is the largest value that the platform's configuration
// service can store.
const MaxConfigBytes = 1 << 20

// Config is the content of one configuration file. It is immutable once parsed.
type Config struct {
	Version    ConfigVersion `yaml:"version"`
	Routing    Routing       `yaml:"routing"`
	Once       Once          `yaml:"once"`
	Regions    []Region      `yaml:"regions"`
	Models     []Model       `yaml:"models"`
	Engines    []EngineGroup `yaml:"engines"`
	Services   []Service     `yaml:"services"`
	Workspaces []Workspace   `yaml:"workspaces"`

	head       Head
	text       []byte
	keys       map[keyDigest]*Workspace
	workspaces map[WorkspaceID]*Workspace
	services   map[ServiceID]*Service
}

// Routing holds the settings for choosing an engine.
type Routing struct {
	// Bound is the highest load that an engine may have, as a multiple of the
	// mean load of its pool.
	Bound float64 `yaml:"bound"`
}

// Once holds the settings for requests that must run at most once.
type Once struct {
	// Window is how long after its first request a caller may retry with the same
	// idempotency key.
	Window time.Duration `yaml:"window"`
	// Lease is the maximum age of the member list at which the owner of an
	// idempotency key may still start a request.
	Lease time.Duration `yaml:"lease"`
}

// Region is a set of failure domains that are close to each other. A request
// goes to an upstream in the daemon's own region as long as one is in service
// there. All domains that no region lists form one region together, so a file
// without regions describes a fleet with a single region.
type Region struct {
	Name    RegionID        `yaml:"name"`
	Domains []FailureDomain `yaml:"domains"`
}

// Model is a model that workspaces may request, with its adapters, which are
// requested by their own names.
type Model struct {
	Name     ModelID   `yaml:"name"`
	Adapters []ModelID `yaml:"adapters"`
}

// EngineGroup is a set of interchangeable engine replicas. The replicas
// themselves come from the member list, which names the group of each. Replicas
// outside Domains are not used; if Domains is empty, all replicas are used.
type EngineGroup struct {
	Name    GroupID         `yaml:"name"`
	Models  []ModelID       `yaml:"models"`
	Domains []FailureDomain `yaml:"domains"`
}

// Service is a plain service. Its replicas come from the member list, and
// Domains restricts them as in an [EngineGroup].
type Service struct {
	Name    ServiceID       `yaml:"name"`
	Domains []FailureDomain `yaml:"domains"`
	Routes  []Route         `yaml:"routes"`
}

// RepeatRule says whether a request may be sent to a service more than once.
type RepeatRule string

const (
	// RepeatNever is the rule for requests that must run at most once.
	RepeatNever RepeatRule = "never"
	// RepeatAllowed is the rule for requests that may be retried.
	RepeatAllowed RepeatRule = "allowed"
)

// Route sets the repeat rule for the paths at or below a prefix. If Methods is
// empty, the rule applies to all methods.
type Route struct {
	Prefix  string     `yaml:"prefix"`
	Methods []string   `yaml:"methods"`
	Repeat  RepeatRule `yaml:"repeat"`
}

// Priority is the scheduling priority that is passed to engines.
type Priority string

// The priorities that the configuration file may use.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Workspace is a customer's workspace with its API keys and permissions. Share
// is its share of the fleet under load; it is validated but not used yet.
type Workspace struct {
	Name     WorkspaceID `yaml:"name"`
	Keys     []KeyHash   `yaml:"keys"`
	Models   []ModelID   `yaml:"models"`
	Services []ServiceID `yaml:"services"`
	Priority Priority    `yaml:"priority"`
	Share    int         `yaml:"share"`
}

// KeyHash is the SHA-256 hash of an API key, written "sha256:<64 hex digits>".
// The file never contains the key itself.
type KeyHash string

type keyDigest = [sha256.Size]byte

const keyHashPrefix = "sha256:"

// HashKey returns the hash that represents an API key in the configuration file.
func HashKey(key string) KeyHash {
	digest := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(digest[:]))
}

// digest decodes the hash. It returns false if the hash is malformed.
func (h KeyHash) digest() (digest keyDigest, ok bool) {
	digits, found := strings.CutPrefix(string(h), keyHashPrefix)
	if !found {
		return digest, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(digest) {
		return digest, false
	}
	copy(digest[:], raw)
	return digest, true
}

// Head returns the version and digest of the file.
func (c *Config) Head() Head { return c.head }

// Text returns the unparsed text of the file. The caller must not modify it.
func (c *Config) Text() []byte { return c.text }

// Authenticate returns the workspace that owns an API key, or nil. The key is
// hashed before the lookup, so that the time it takes does not reveal how much
// of a wrong key is correct.
func (c *Config) Authenticate(key string) *Workspace {
	return c.keys[sha256.Sum256([]byte(key))]
}

// Workspace returns the workspace with the given name, or nil.
func (c *Config) Workspace(id WorkspaceID) *Workspace { return c.workspaces[id] }

// RegionOf returns the region of a failure domain, or an empty id for a domain
// that no region lists.
func (c *Config) RegionOf(d FailureDomain) RegionID {
	for _, r := range c.Regions {
		if slices.Contains(r.Domains, d) {
			return r.Name
		}
	}
	return ""
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(id ServiceID) *Service { return c.services[id] }

// MayUse reports whether the workspace may request the model.
func (w *Workspace) MayUse(m ModelID) bool {
	return slices.Contains(w.Models, m)
}

// MayCall reports whether the workspace may call the service.
func (w *Workspace) MayCall(s ServiceID) bool {
	return slices.Contains(w.Services, s)
}

// Rule returns the repeat rule for a request: that of the matching route with
// the longest prefix. A request that no route matches must not be repeated, so
// that a missing route costs availability but never causes a second run.
func (s *Service) Rule(method, path string) RepeatRule {
	best, rule := -1, RepeatNever
	for i := range s.Routes {
		r := &s.Routes[i]
		if len(r.Prefix) > best && r.matches(method, path) {
			best, rule = len(r.Prefix), r.Repeat
		}
	}
	return rule
}

func (r *Route) matches(method, path string) bool {
	if !pathHasPrefix(path, r.Prefix) {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// pathHasPrefix reports whether path starts with prefix, comparing whole path
// segments: "/pass" is not a prefix of "/passes".
func pathHasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
