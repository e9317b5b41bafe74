// This file implements the site around the fleet: the configuration and the replicas' entries.
// It writes both to the store, and records them in the ledger once the store accepted them.

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
	// serviceCrowded is only there in runs with a crowded service.
	serviceCrowded = "crowded"
)

// routes are the routes of every run.
var routes = []*Route{
	{Name: "once", Prefix: prefixOnce, Method: http.MethodPost, Attempts: 2, Timeout: 2 * time.Second},
	{Name: "safe", Prefix: prefixSafe, Method: http.MethodGet, Repeatable: true, Attempts: 2, Timeout: 2 * time.Second},
	{Name: "chat", Prefix: prefixChat, Method: http.MethodPost, Stream: true, Attempts: 2, Timeout: 3 * time.Second},
	{Name: "reply", Prefix: prefixReply, Method: http.MethodPost, Stream: true, Repeatable: true, Attempts: 2, Timeout: 3 * time.Second},
}

// place is an address of the site. Its replicas replace each other, one at a time.
type place struct {
	link    *Link
	domain  string
	version string // of the software of its replicas; empty: they don't name one
	current *Replica
	idle    bool // its replica has not started, has terminated or is departing, and has no successor here
}

// site is the environment of the fleet: the store, the configuration and the replicas.
type site struct {
	ledger       *Ledger
	store        *standin.Store
	fleet        *fleet
	callerFaults callerFaults
	domains      []string
	steady       *Steady       // nil: ordinary traffic
	crowded      *Crowded      // nil: no service is crowded
	brittle      *brittleState // of the crowded service; nil: its replicas are not brittle. mu protects it
	partCrashes  bool          // some part of prompts crashes replicas
	refuses      bool          // the links of terminated replicas refuse connections
	partitions   partitions
	deliveries   deliveries
	trap         *trap     // address in the entries of the foreign writer
	cold         bool      // replicas are cold after a start
	versions     *Versions // nil: replicas don't name their software versions
	unframed     bool      // a part of the responses ends with their connections
	uploads      bool      // callers send large bodies, which replicas read slowly through small buffers
	begun        time.Time // start of the traffic

	mu        sync.Mutex
	version   int
	started   int
	services  map[string]string // of the plain routes
	keys      []siteKey
	revoked   []siteKey
	filler    int // number of unused routes, which make the configuration larger
	places    []*place
	evacuated map[string]bool // domains that are evacuated
	// entries holds the last entry of each replica by id, writes the number of its writes.
	entries map[string]standin.Replica
	writes  map[string]uint64
}

type siteKey struct{ key, workspace string }

func newSite(l *Ledger) *site {
	s := &site{ledger: l, store: standin.NewStore(50), evacuated: make(map[string]bool), entries: make(map[string]standin.Replica), writes: make(map[string]uint64), services: map[string]string{"once": serviceGate, "safe": serviceGate, "chat": serviceChat, "reply": serviceChat}}
	for i := range 6 {
		k := siteKey{fmt.Sprintf("first-%d", i), fmt.Sprintf("w%d", i%3)}
		s.keys = append(s.keys, k)
		l.KeyAdded(k.key, k.workspace, time.Time{})
	}
	l.wasRead, l.connection = s.deliveries.read, s.deliveries.connection
	for name, service := range s.services {
		l.RouteTo(name, service, time.Time{})
	}
	return s
}

// Latency targets of all routes, in milliseconds. They are the same as at the users' sites.
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

// publish writes a new version of the configuration, and returns the time at which the store
// accepted it. The caller must hold s.mu.
func (s *site) publish() time.Time {
	s.version++
	c := s.config()
	sent := time.Now()
	s.ledger.ConfigurationSent(sent)
	s.store.PutConfig(&c)
	now := time.Now()
	s.ledger.ConfigurationAcknowledged(sent, now)
	return now
}

// routes returns the configured routes but that of a crowded service.
func (s *site) routes() []*Route {
	list := routes
	if s.versions != nil {
		list = append(slices.Clip(list), singleRoute)
	}
	if s.uploads {
		list = append(slices.Clip(list), uploadRoute)
	}
	return list
}

// setVersions lets the replicas run the versions of a run.
func (s *site) setVersions(v *Versions) {
	s.versions, s.services[routeSingle] = v, serviceChat
	s.ledger.RouteTo(routeSingle, serviceChat, time.Time{})
}

// config returns the configuration of the current version. The caller must hold s.mu.
func (s *site) config() standin.Config {
	c := standin.Config{Version: s.version, Services: []standin.Service{{Name: serviceGate}, {Name: serviceOther}, {Name: serviceChat, Engine: &standin.Engine{}}}}
	for _, r := range s.routes() {
		c.Routes = append(c.Routes, standin.Route{
			Name: r.Name, Host: routeHost, Prefix: r.Prefix, Kind: kindOf(r), TimeoutMS: r.Timeout.Milliseconds(),
			FirstByteMS: firstByteTargetMS, EventMS: eventTargetMS, Service: s.services[r.Name], Attempts: r.Attempts, Resumable: r.Stream && r.Repeatable,
		})
	}
	for i := range s.filler {
		c.Routes = append(c.Routes, standin.Route{Name: "filler-" + itoa(i), Host: "filler.example", Prefix: "/f" + itoa(i) + "/", Kind: standin.KindIdempotent, Service: serviceGate, Attempts: 1})
	}
	byName := make(map[string][]string)
	if s.crowded != nil {
		s.crowded.addTo(&c)
	}
	if s.cold {
		for i := range c.Services {
			c.Services[i].ColdSeconds, c.Services[i].ColdPerSecond = coldStart.Seconds(), coldPerSecond
		}
	}
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

// revokeKey revokes a key. The first three keys are never revoked.
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
	s.revoked = append(s.revoked, k)
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

func (s *site) addFillerRoutes(routes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.filler += routes
	s.publish()
}

// drawKey returns a random key. Most are valid; some were revoked or never existed.
func (s *site) drawKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch draw := rand.IntN(50); {
	case draw == 0:
		return "nobody's"
	case draw < 8 && len(s.revoked) > 0:
		return s.revoked[rand.IntN(len(s.revoked))].key
	}
	return s.keys[rand.IntN(len(s.keys))].key
}

// Slots of the replicas: few enough that some requests are refused.
const (
	gateSlots = 6
	chatSlots = 24
)

// addPlace opens a new address of the site and starts its first replica.
func (s *site) addPlace(service, domain string) error {
	return s.addPlaceAt(service, domain, s.versions.next())
}

// addPlaceAt is addPlace for a replica of a software version.
func (s *site) addPlaceAt(service, domain, version string) error {
	link, err := openLinkWith("127.0.0.1:0", "127.0.0.1:1", s.uploads)
	if err != nil {
		return err
	}
	link.partitions, link.deliveries = &s.partitions, &s.deliveries
	p := &place{link: link, domain: domain, version: version, idle: true}
	s.mu.Lock()
	s.places = append(s.places, p)
	s.mu.Unlock()
	return s.startNew(p, service)
}

// startNew starts a replica under a new id at a place and writes its entry.
func (s *site) startNew(p *place, service string) error {
	s.mu.Lock()
	s.started++
	id := "i-" + itoa(s.started)
	s.mu.Unlock()
	return s.startAs(id, p, service)
}

// startAs starts a replica under an id at a place and writes its entry.
func (s *site) startAs(id string, p *place, service string) error {
	slots := gateSlots
	if service == serviceChat {
		slots = chatSlots
	}
	if service == serviceCrowded {
		slots = s.crowded.slots()
	}
	listener, err := listenTCP("127.0.0.1:0", s.uploads)
	if err != nil {
		return err
	}
	r := serveReplica(listener, id, service, p.domain, slots, s.ledger)
	r.crashed = func() { s.restartAfterCrash(p, r) }
	r.fell = func() { s.restartAfterFall(p, r) }
	if r.crowded != nil {
		s.mu.Lock()
		brittle := s.brittle
		s.mu.Unlock()
		r.mu.Lock()
		r.crowded.work.usual, r.crowded.brittle = s.crowded.work(), brittle
		r.mu.Unlock()
	}
	s.mu.Lock()
	r.version, r.unframed = p.version, s.unframed
	p.current, p.idle = r, false
	s.mu.Unlock()
	s.ledger.HasVersion(id, r.version, time.Now())
	p.link.SetTarget(r.Address())
	s.ledger.Joined(id, service, time.Now())
	if service == serviceCrowded {
		s.ledger.HasSlots(service, id, slots)
	}
	s.ledger.SetDomain(id, p.domain)
	if s.cold && !s.begun.IsZero() {
		s.makeCold(p, r, time.Time{})
	}
	s.writeEntry(p, r, false)
	return nil
}

// writeEntry writes the entry of a replica to the store. An entry that isn't draining ends an
// earlier departure of the replica in the ledger.
func (s *site) writeEntry(p *place, r *Replica, draining bool) {
	s.mu.Lock()
	s.writes[r.ID]++
	e := standin.Replica{
		ID: r.ID, Service: r.Service, Address: p.link.Address(), Domain: p.domain, Slots: r.slots, Version: r.version, ColdMS: r.coldRemaining(time.Now()).Milliseconds(),
		StartTime: r.startTime.UnixMilli(), Sequence: s.writes[r.ID], Draining: draining,
	}
	s.entries[r.ID] = e
	s.store.PutReplica(e)
	s.mu.Unlock()
	if !draining {
		s.ledger.Returned(r.ID, time.Now())
	}
}

// pickPlace returns a place that isn't idle, and its replica. If all are idle, it returns the
// first.
func (s *site) pickPlace(draw int) (*place, *Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.places {
		if p := s.places[(draw+k)%len(s.places)]; !p.idle {
			return p, p.current
		}
	}
	return s.places[0], s.places[0].current
}

// markIdle marks a place as idle.
func (s *site) markIdle(p *place) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.idle = true
}

// tryMarkIdle marks the place of a replica as idle, so that the caller may terminate the replica.
// It returns false if the place was already idle or has another replica.
func (s *site) tryMarkIdle(p *place, r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.current != r || p.idle {
		return false
	}
	p.idle = true
	return true
}

// deleteEntry deletes a replica's entry, which the ledger records as its departure.
func (s *site) deleteEntry(r *Replica) {
	s.mu.Lock()
	delete(s.entries, r.ID)
	s.store.DeleteReplica(r.ID)
	s.mu.Unlock()
	s.ledger.Departed(r.ID, time.Now())
}

// close terminates all replicas and closes their links.
func (s *site) close() {
	for _, p := range s.places {
		p.link.Close()
		p.current.Terminate()
	}
}
