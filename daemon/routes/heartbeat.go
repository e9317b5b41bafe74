// This file is the part of the control loop that sends heartbeats to other daemons
// and takes theirs in. Where they go is decided in coordination/membership.

package routes

import (
	"context"
	"math/rand/v2"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

const (
	// sampleInterval is how many heartbeats of a small fleet go out for each that
	// names members; in between only new members are named.
	sampleInterval = 5
	// largeFleetTicks is how many ticks lie between two heartbeats of a large fleet,
	// which keeps what a daemon spends on control from growing with the fleet.
	largeFleetTicks = 2
	// maxLocations is how many cache locations a heartbeat announces, and
	// maxLocationsLarge how many in a large fleet, where each is forwarded by all.
	maxLocations      = 25
	maxLocationsLarge = 20
	// partialTargets is how many daemons a partial heartbeat of a large fleet goes
	// to. What it brings is forwarded, so that fewer do than of a whole one.
	partialTargets = 3
	// firstContacts is how many of the members that it is sent a daemon without documents contacts at
	// once. One of six is likely to hold documents when a whole fleet starts; else all would ask the
	// seeds, which they find first.
	firstContacts = 6
)

// heartbeats is the state of sending.
type heartbeats struct {
	send        func(to membership.Address, payload []byte)
	rng         *rand.Rand
	ticks       int
	sent        int
	sampleDue   bool      // the next heartbeat names members
	contactedAt time.Time // when members were contacted for want of documents
}

// tickHeartbeat sends a heartbeat if one is due at this tick.
func (c *control) tickHeartbeat(now time.Time) {
	c.heartbeats.ticks++
	if !c.largeFleet() || c.heartbeats.ticks%largeFleetTicks == 0 {
		c.sendHeartbeat(now)
		return
	}
	// Cache locations are announced at once: each daemon that does not know one has
	// the prompt read again.
	if locations := c.pendingLocations(); len(locations) > 0 {
		c.sendPartial(locations, now)
	}
}

// newHeartbeat returns a heartbeat that says which documents this daemon holds.
func (c *control) newHeartbeat(now time.Time) gossip.Heartbeat {
	h := gossip.Heartbeat{
		Sender: c.roster.NextHeartbeat(), Stamp: c.log.timeline.Stamp(),
		Version: c.version(), FleetSize: c.roster.Size(now),
	}
	at := c.catalog.feed.Position()
	h.Era, h.Revision = at.Era, at.Revision
	return h
}

// sendHeartbeat sends a whole heartbeat.
func (c *control) sendHeartbeat(now time.Time) {
	b := &c.heartbeats
	h := c.newHeartbeat(now)
	h.Loads, h.Evidence, h.Locations = c.loads.LocalCounts(), c.health.Own(now), c.pendingLocations()
	if b.sent++; b.sampleDue || c.largeFleet() || b.sent%sampleInterval == 0 {
		h.Members, b.sampleDue = c.roster.Sample(now, b.rng), false
	}
	c.spread(&h, now)
}

// sendPartial sends a partial heartbeat: the revision of the documents, and cache
// locations if there are any.
func (c *control) sendPartial(locations []routing.CacheLocation, now time.Time) {
	h := c.newHeartbeat(now)
	h.Partial, h.Locations = true, locations
	c.spread(&h, now)
}

// sendBootstrap sends some members to a daemon that has just been found, and says
// which documents it can be asked for. One that has just started waits for that.
func (c *control) sendBootstrap(to membership.Member, now time.Time) {
	h := c.newHeartbeat(now)
	h.Partial, h.Members = true, c.roster.Bootstrap(to, now, c.heartbeats.rng)
	c.sendTo([]membership.Address{to.Address}, &h)
}

// sendTo sends a heartbeat to some daemons.
func (c *control) sendTo(to []membership.Address, h *gossip.Heartbeat) {
	payload, err := gossip.EncodeHeartbeat(h)
	c.sendPayload(to, payload, err)
}

// spread sends a heartbeat to its targets.
func (c *control) spread(h *gossip.Heartbeat, now time.Time) {
	c.sendTo(c.targets(h.Partial, now), h)
}

// sendPayload sends an encoded datagram to some daemons, or logs why it could not be
// encoded.
func (c *control) sendPayload(to []membership.Address, payload []byte, err error) {
	if err != nil {
		c.log.HeartbeatFailed(err)
		return
	}
	for _, address := range to {
		c.heartbeats.send(address, payload)
	}
}

// targets returns where a heartbeat goes; in a large fleet a partial one goes to some of
// them only.
func (c *control) targets(partial bool, now time.Time) []membership.Address {
	rng := c.heartbeats.rng
	targets := c.roster.Targets(now, rng)
	if partial && c.largeFleet() {
		rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), partialTargets)]
	}
	return targets
}

// pendingLocations takes the cache locations for the next heartbeat.
func (c *control) pendingLocations() []routing.CacheLocation {
	if c.largeFleet() {
		return c.cache.TakePending(maxLocationsLarge)
	}
	return c.cache.TakePending(maxLocations)
}

// receiveHeartbeat takes in a peer's heartbeat.
func (c *control) receiveHeartbeat(ctx context.Context, h *gossip.Heartbeat, now time.Time) {
	c.log.timeline.Observe(h.Stamp)
	c.observeMembers(h, now)
	c.roster.ObserveEra(h.Sender.Address, h.Era, now)
	c.roster.ObserveSize(h.FleetSize)
	c.planReads(now)
	if h.Sender.StoreUnreachable {
		c.storeTroubleAt = now
	}
	c.budgets.SetDaemons(c.roster.Largest())
	c.observeDomains()
	if !h.Partial {
		c.observeRequests(h, now)
	}
	c.cache.Observe(h.Locations, c.largeFleet(), now)
	c.noteRevision(ctx, h, now)
}

// observeMembers takes in the members that a heartbeat names, its sender included.
func (c *control) observeMembers(h *gossip.Heartbeat, now time.Time) {
	if c.roster.IsNew(h.Sender, now) {
		c.introduceReports(h.Sender.Address, now)
	}
	joined := c.roster.Observe(append([]membership.Member{h.Sender}, h.Members...), now)
	for _, m := range joined {
		c.log.Peer(m)
		if m.Address == h.Sender.Address {
			c.sendBootstrap(m, now)
		}
	}
	if len(joined) > 0 {
		c.heartbeats.sampleDue = true
	}
	if c.catalog.feed.Revision() == 0 {
		c.contact(joined, now)
	}
}

// contact sends a heartbeat to some members at once, but not more often than others go
// out. Each that finds this daemon by it answers, and says which documents it holds.
func (c *control) contact(members []membership.Member, now time.Time) {
	if len(members) == 0 || now.Sub(c.heartbeats.contactedAt) < heartbeatInterval {
		return
	}
	c.heartbeats.contactedAt = now
	c.heartbeats.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	h := c.newHeartbeat(now)
	h.Partial = true
	var to []membership.Address
	for _, m := range members[:min(len(members), firstContacts)] {
		to = append(to, m.Address)
	}
	c.sendTo(to, &h)
}

// observeRequests takes in a peer's counts of its requests at replicas.
func (c *control) observeRequests(h *gossip.Heartbeat, now time.Time) {
	loadAge, evidenceAge := routing.PeerLoadAge, routing.PeerEvidenceAge
	if c.largeFleet() {
		loadAge, evidenceAge = routing.PeerLoadAgeLarge, routing.PeerEvidenceAgeLarge
	}
	peer := routing.PeerID(h.Sender.Address)
	c.loads.Observe(peer, h.Loads, now, loadAge)
	c.health.Observe(peer, h.Evidence, now, evidenceAge)
}

// observeDomains passes on when daemons of the other domains were last seen.
func (c *control) observeDomains() {
	domains := c.roster.Domains()
	delete(domains, c.domain)
	timeout := routing.DomainTimeout
	if c.largeFleet() {
		timeout = routing.DomainTimeoutLarge
	}
	c.health.ObserveDomains(domains, timeout)
}
