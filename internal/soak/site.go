// This file holds what the operators publish in a run: routes, keys and
// replicas, written to the store and noted in the ledger when it has taken them.

package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	routeHost   = "calls.example"
	prefixOnce  = "/once/"
	prefixSafe  = "/safe/"
	prefixChat  = "/chat/"
	prefixReply = "/reply/"

	serviceGate  = "gate"
	serviceOther = "gate-2"
	serviceChat  = "engines"
)

// routes are the routes of every run.
var routes = []*Route{
	{Name: "once", Prefix: prefixOnce, Method: http.MethodPost, Attempts: 2, Timeout: 2 * time.Second},
	{Name: "safe", Prefix: prefixSafe, Method: http.MethodGet, Repeatable: true, Attempts: 2, Timeout: 2 * time.Second},
	{Name: "chat", Prefix: prefixChat, Method: http.MethodPost, Stream: true, Attempts: 2, Timeout: 3 * time.Second},
	{Name: "reply", Prefix: prefixReply, Method: http.MethodPost, Stream: true, Repeatable: true, Attempts: 2, Timeout: 3 * time.Second},
}

// place is one address of the site at which replicas follow each other.
type place struct {
	link    *Link
	domain  string
	current *Replica
	idle    bool // its replica has ended and nothing has taken its place
}

// site is everything around the fleet.
type site struct {
	ledger       *Ledger
	store        *standin.Store
	fleet        *fleet
	callerFaults callerFaults
	domains      []string
	steady       *Steady   // nil: ordinary traffic
	refuses      bool      // replicas that end refuse connections
	trap         *trap     // where entries lead that name no replica
	cold         bool      // replicas are cold after a start
	begun        time.Time // of the traffic

	mu       sync.Mutex
	version  int
	started  int
	services map[string]string // of the plain routes
	keys     []siteKey
	dropped  []siteKey
	filler   int // routes that nobody uses
	places   []*place
	emptied  map[string]bool // domains that are evacuated
	// entries are what the replicas wrote last, and written how often each wrote.
	entries map[string]standin.Replica
	written map[string]uint64
}

type siteKey struct{ key, workspace string }

func newSite(l *Ledger) *site {
	s := &site{ledger: l, store: standin.NewStore(50), emptied: make(map[string]bool), entries: make(map[string]standin.Replica), written: make(map[string]uint64), services: map[string]string{"once": serviceGate, "safe": serviceGate, "chat": serviceChat, "reply": serviceChat}}
	for i := range 6 {
		k := siteKey{fmt.Sprintf("first-%d", i), fmt.Sprintf("w%d", i%3)}
		s.keys = append(s.keys, k)
		l.KeyAdded(k.key, k.workspace, time.Time{})
	}
	for name, service := range s.services {
		l.RouteTo(name, service, time.Time{})
	}
	return s
}

// Targets of all routes, in milliseconds, as those of the users' sites.
const (
	firstByteTargetMS = 300
	eventTargetMS     = 300
)

func kindOf(r *Route) standin.Kind {
	switch {
	case r.Stream:
		return standin.KindStream
	case r.Repeatable:
		return standin.KindIdempotent
	}
	return standin.KindAtMostOnce
}

// publish writes the configuration and returns when the store has taken it. The
// caller holds the lock.
func (s *site) publish() time.Time {
	s.version++
	c := s.config()
	s.store.PutConfig(&c)
	return time.Now()
}

// config returns the configuration of the present version. The caller holds the lock.
func (s *site) config() standin.Config {
	c := standin.Config{Version: s.version, Services: []standin.Service{{Name: serviceGate}, {Name: serviceOther}, {Name: serviceChat, Engine: &standin.Engine{}}}}
	if s.cold {
		for i := range c.Services {
			c.Services[i].ColdSeconds, c.Services[i].ColdPerSecond = coldStart.Seconds(), coldPerSecond
		}
	}
	for _, r := range routes {
		c.Routes = append(c.Routes, standin.Route{
			Name: r.Name, Host: routeHost, Prefix: r.Prefix, Kind: kindOf(r), TimeoutMS: r.Timeout.Milliseconds(),
			FirstByteMS: firstByteTargetMS, EventMS: eventTargetMS, Service: s.services[r.Name], Attempts: r.Attempts, Resumable: r.Stream && r.Repeatable,
		})
	}
	for i := range s.filler {
		c.Routes = append(c.Routes, standin.Route{Name: "filler-" + itoa(i), Host: "filler.example", Prefix: "/f" + itoa(i) + "/", Kind: standin.KindIdempotent, Service: serviceGate, Attempts: 1})
	}
	byName := make(map[string][]string)
	for _, k := range s.keys {
		byName[k.workspace] = append(byName[k.workspace], k.key)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: name, Keys: byName[name]})
	}
	return c
}

func (s *site) addKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := siteKey{fmt.Sprintf("later-%d", s.version), "w" + itoa(s.version%3)}
	s.keys = append(s.keys, k)
	s.ledger.KeyAdded(k.key, k.workspace, s.publish())
}

// revokeKey takes a key away; the first three stay.
func (s *site) revokeKey(draw int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const staying = 3
	if len(s.keys) <= staying {
		return
	}
	i := staying + draw%(len(s.keys)-staying)
	k := s.keys[i]
	s.keys = append(s.keys[:i:i], s.keys[i+1:]...)
	s.dropped = append(s.dropped, k)
	s.ledger.KeyRemoved(k.key, s.publish())
}

func (s *site) moveRoute(draw int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := []string{"once", "safe"}[draw%2]
	to := serviceOther
	if s.services[name] == serviceOther {
		to = serviceGate
	}
	s.services[name] = to
	s.ledger.RouteTo(name, to, s.publish())
}

func (s *site) grow(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filler += routes
	s.publish()
}

// drawKey returns a key: mostly one that holds, at times one that was taken away
// or never held.
func (s *site) drawKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch draw := rand.IntN(50); {
	case draw == 0:
		return "nobody's"
	case draw < 8 && len(s.dropped) > 0:
		return s.dropped[rand.IntN(len(s.dropped))].key
	}
	return s.keys[rand.IntN(len(s.keys))].key
}

// Slots of the replicas: few, so that some requests are refused.
const (
	gateSlots = 6
	chatSlots = 24
)

// addPlace opens an address of the site with its first replica.
func (s *site) addPlace(service, domain string) error {
	link, err := openLink("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		return err
	}
	p := &place{link: link, domain: domain}
	s.mu.Lock()
	s.places = append(s.places, p)
	s.mu.Unlock()
	return s.begin(p, service)
}

// begin starts a replica at a place and announces it.
func (s *site) begin(p *place, service string) error {
	s.mu.Lock()
	s.started++
	id := "i-" + itoa(s.started)
	s.mu.Unlock()
	return s.beginAs(id, p, service)
}

// beginAs starts a replica under an id.
func (s *site) beginAs(id string, p *place, service string) error {
	slots := gateSlots
	if service == serviceChat {
		slots = chatSlots
	}
	r, err := startReplica(id, service, p.domain, slots, s.ledger)
	if err != nil {
		return err
	}
	r.crashed = func() { s.restartAfterCrash(p, r) }
	s.mu.Lock()
	p.current, p.idle = r, false
	s.mu.Unlock()
	p.link.SetTarget(r.Address())
	s.ledger.Joined(id, service, time.Now())
	s.ledger.StandsIn(id, p.domain)
	if s.cold && !s.begun.IsZero() {
		s.chill(p, r, time.Time{})
	}
	s.announce(p, r, false)
	return nil
}

func (s *site) announce(p *place, r *Replica, draining bool) {
	s.mu.Lock()
	s.written[r.ID]++
	e := standin.Replica{
		ID: r.ID, Service: r.Service, Address: p.link.Address(), Domain: p.domain, Slots: r.slots, ColdMS: r.coldLeft(time.Now()).Milliseconds(),
		Born: r.born.UnixMilli(), Sequence: s.written[r.ID], Draining: draining,
	}
	s.entries[r.ID] = e
	s.store.PutReplica(e)
	s.mu.Unlock()
	if !draining {
		s.ledger.Returned(r.ID, time.Now())
	}
}

// at returns a place whose replica lives, and the replica.
func (s *site) at(draw int) (*place, *Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.places {
		if p := s.places[(draw+k)%len(s.places)]; !p.idle {
			return p, p.current
		}
	}
	return s.places[0], s.places[0].current
}

// vacate marks a place whose replica ends.
func (s *site) vacate(p *place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.idle = true
}

// takeDown marks the place of a replica that ends. It returns false if something else ends
// the replica, or has done so.
func (s *site) takeDown(p *place, r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.current != r || p.idle {
		return false
	}
	p.idle = true
	return true
}

// remove deletes a replica's entry.
func (s *site) remove(r *Replica) {
	s.mu.Lock()
	delete(s.entries, r.ID)
	s.store.DeleteReplica(r.ID)
	s.mu.Unlock()
	s.ledger.Departed(r.ID, time.Now())
}

// close ends all replicas.
func (s *site) close() {
	for _, p := range s.places {
		p.link.Close()
		p.current.End()
	}
}
