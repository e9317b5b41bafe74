// This file defines the operators' file. Parsing and checking stand in
// parse.go and check.go.

package state

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// MaxConfigBytes is the largest value that the platform's configuration
// service holds.
const MaxConfigBytes = 1 << 20

// Config is one whole operators' file. It is immutable once parsed.
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
	keys       map[keySum]*Workspace
	workspaces map[WorkspaceID]*Workspace
	services   map[ServiceID]*Service
}

// Routing holds the settings of engine choice.
type Routing struct {
	// Bound is the largest load of an engine as a multiple of its pool's mean.
	Bound float64 `yaml:"bound"`
}

// Once holds the settings of requests that must not be repeated.
type Once struct {
	// Window is how long after the first sending a caller may repeat a key.
	Window time.Duration `yaml:"window"`
	// Lease is the greatest age of the member list at which the owner of a key still
	// starts a request.
	Lease time.Duration `yaml:"lease"`
}

// Region is a set of failure domains that are near to each other. A request
// goes to an upstream of the daemon's own region while one is in service
// there. The domains that no region lists form one region together, so a file
// without regions describes a fleet of a single one.
type Region struct {
	Name    RegionID        `yaml:"name"`
	Domains []FailureDomain `yaml:"domains"`
}

// Model is a model that workspaces may ask for.
type Model struct {
	Name     ModelID   `yaml:"name"`
	Adapters []ModelID `yaml:"adapters"`
}

// EngineGroup is a set of interchangeable engine replicas. The replicas
// themselves come from the member list and name their group there. One outside
// of Domains is not used; without Domains all are.
type EngineGroup struct {
	Name    GroupID         `yaml:"name"`
	Models  []ModelID       `yaml:"models"`
	Domains []FailureDomain `yaml:"domains"`
}

// Service is a plain service. Its replicas come from the member list, and
// Domains restricts them as it does an engine group's.
type Service struct {
	Name    ServiceID       `yaml:"name"`
	Domains []FailureDomain `yaml:"domains"`
	Routes  []Route         `yaml:"routes"`
}

// RepeatRule says whether a request may be sent to a service twice.
type RepeatRule string

const (
	// RepeatNever marks a request that runs at most once.
	RepeatNever RepeatRule = "never"
	// RepeatAllowed marks a request that may be sent again.
	RepeatAllowed RepeatRule = "allowed"
)

// Route gives the rule for the paths of a service below a prefix.
type Route struct {
	Prefix  string     `yaml:"prefix"`
	Methods []string   `yaml:"methods"`
	Repeat  RepeatRule `yaml:"repeat"`
}

// Priority is the urgency that engines honour, highest first.
type Priority string

// The priorities of the operators' file.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Workspace is a customer's workspace with its keys and rights. Share is its
// share of the fleet under load; it is checked here and not used yet.
type Workspace struct {
	Name     WorkspaceID `yaml:"name"`
	Keys     []KeyHash   `yaml:"keys"`
	Models   []ModelID   `yaml:"models"`
	Services []ServiceID `yaml:"services"`
	Priority Priority    `yaml:"priority"`
	Share    int         `yaml:"share"`
}

// KeyHash is the SHA-256 of an API key, written "sha256:<64 hex digits>". The
// key itself never stands in the file.
type KeyHash string

type keySum = [sha256.Size]byte

const keyHashPrefix = "sha256:"

// HashKey returns the hash under which an API key stands in the file.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

func (h KeyHash) sum() (sum keySum, ok bool) {
	digits, found := strings.CutPrefix(string(h), keyHashPrefix)
	if !found {
		return sum, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != len(sum) {
		return sum, false
	}
	copy(sum[:], raw)
	return sum, true
}

// Head returns the name of this content.
func (c *Config) Head() Head { return c.head }

// Text returns the file as the operators wrote it. It must not be changed.
func (c *Config) Text() []byte { return c.text }

// Authenticate returns the workspace that owns an API key, or nil. The key is
// hashed before it is looked up, so the time taken shows nothing of how much
// of a wrong key was right.
func (c *Config) Authenticate(key string) *Workspace {
	return c.keys[sha256.Sum256([]byte(key))]
}

// Workspace returns the workspace of that name, or nil.
func (c *Config) Workspace(id WorkspaceID) *Workspace { return c.workspaces[id] }

// RegionOf returns the region of a failure domain. It is empty for a domain
// that no region lists.
func (c *Config) RegionOf(d FailureDomain) RegionID {
	for _, r := range c.Regions {
		if slices.Contains(r.Domains, d) {
			return r.Name
		}
	}
	return ""
}

// Service returns the service of that name, or nil.
func (c *Config) Service(id ServiceID) *Service { return c.services[id] }

// MayUse reports whether the workspace may ask for the model.
func (w *Workspace) MayUse(m ModelID) bool {
	return slices.Contains(w.Models, m)
}

// MayCall reports whether the workspace may call the service.
func (w *Workspace) MayCall(s ServiceID) bool {
	return slices.Contains(w.Services, s)
}

// Rule returns the repeat rule for a request. The longest matching prefix
// decides, and a request that no route matches must not be repeated: a
// forgotten route then costs availability and never a second run.
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

// pathHasPrefix compares whole path segments: "/pass" is no prefix of
// "/passes".
func pathHasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
