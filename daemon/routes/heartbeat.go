// This file is the part of the control loop that sends and receives heartbeats. Their
// targets are chosen in coordination/membership.

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
	// memberSampleInterval is the interval, in heartbeats of a small fleet, at which a heartbeat
	// contains a sample of the members. The others contain one only after new members were
	// found.
	memberSampleInterval = 5
	// largeFleetTicks is the number of ticks between two heartbeats in a large fleet. It keeps
	// a daemon's control traffic from growing with the fleet.
	largeFleetTicks = 2
	// maxLocations is the maximum number of cache locations in a heartbeat, and
	// maxLocationsLarge the maximum in a large fleet, where every daemon forwards them.
	maxLocations      = 25
	maxLocationsLarge = 20
	// partialTargets is the number of targets of a partial heartbeat in a large fleet. Its
	// content is forwarded, so that fewer targets are enough than for a full heartbeat.
	partialTargets = 3
	// initialContacts is the number of members that a daemon without documents contacts
	// immediately. One of six is likely to hold documents when a whole fleet starts. Otherwise
	// all daemons would ask the seeds, which they find first.
	initialContacts = 6
)

// heartbeatState is the state for sending heartbeats.
type heartbeatState struct {
	send        func(to membership.Address, payload []byte)
	rng         *rand.Rand
	ticks       int
	sent        int
	sampleDue   bool      // the next heartbeat contains a sample of the members
	contactedAt time.Time // when members were last contacted to find documents
}

// tickHeartbeat sends a heartbeat if one is due at this tick.
func (c *control) tickHeartbeat(now time.Time) {
	c.heartbeats.ticks++
	if !c.largeFleet() || c.heartbeats.ticks%largeFleetTicks == 0 {
		c.sendHeartbeat(now)
		return
	}
	// Cache locations are announced immediately: a daemon that does not know where a
	// prompt is cached has it processed again.
	if locations := c.takePendingLocations(); len(locations) > 0 {
		c.sendPartial(locations, now)
	}
}

// newHeartbeat returns a heartbeat with the fields common to all heartbeats, which include
// the position of this daemon's documents.
func (c *control) newHeartbeat(now time.Time) gossip.Heartbeat {
	h := gossip.Heartbeat{
		Sender: c.roster.NextHeartbeat(), Stamp: c.log.timeline.Stamp(),
		Version: c.version(), FleetSize: c.roster.Size(now),
		Confirmed: gossip.NewConfirmedAge(c.lease.confirmations.StoreAge(now)),
	}
	at := c.catalog.feed.Position()
	h.Era, h.Revision = at.Era, at.Revision
	return h
}

// sendHeartbeat sends a full heartbeat.
func (c *control) sendHeartbeat(now time.Time) {
	b := &c.heartbeats
	h := c.newHeartbeat(now)
	h.Loads, h.Evidence, h.Locations = c.loads.LocalCounts(), c.health.LocalEvidence(now), c.takePendingLocations()
	if b.sent++; b.sampleDue || c.largeFleet() || b.sent%memberSampleInterval == 0 {
		h.Members, b.sampleDue = c.roster.Sample(now, b.rng), false
	}
	c.sendToTargets(&h, now)
}

// sendPartial sends a partial heartbeat: the position of the documents, and cache
// locations if there are any.
func (c *control) sendPartial(locations []routing.CacheLocation, now time.Time) {
	h := c.newHeartbeat(now)
	h.Partial, h.Locations = true, locations
	c.sendToTargets(&h, now)
}

// sendBootstrap sends a newly found daemon a sample of the members and the position of
// this daemon's documents. A daemon that has just started waits for this.
func (c *control) sendBootstrap(to membership.Member, now time.Time) {
	h := c.newHeartbeat(now)
	h.Partial, h.Members = true, c.roster.Bootstrap(to, now, c.heartbeats.rng)
	c.sendTo([]membership.Address{to.Address}, &h)
}

// sendTo sends a heartbeat to the given daemons.
func (c *control) sendTo(to []membership.Address, h *gossip.Heartbeat) {
	payload, err := gossip.EncodeHeartbeat(h)
	c.sendPayload(to, payload, err)
}

// sendToTargets sends a heartbeat to its targets.
func (c *control) sendToTargets(h *gossip.Heartbeat, now time.Time) {
	c.sendTo(c.targets(h.Partial, now), h)
}

// sendPayload sends an encoded datagram to the given daemons, or logs the encoding error.
func (c *control) sendPayload(to []membership.Address, payload []byte, err error) {
	if err != nil {
		c.log.HeartbeatFailed(err)
		return
	}
	for _, address := range to {
		c.heartbeats.send(address, payload)
	}
}

// targets returns the daemons to send a heartbeat to. In a large fleet a partial heartbeat
// goes to a random subset of the targets of a full one.
func (c *control) targets(partial bool, now time.Time) []membership.Address {
	rng := c.heartbeats.rng
	targets := c.roster.Targets(now, rng)
	if partial && c.largeFleet() {
		rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), partialTargets)]
	}
	return targets
}

// takePendingLocations removes the cache locations for the next heartbeat from the queue and
// returns them.
func (c *control) takePendingLocations() []routing.CacheLocation {
	if c.largeFleet() {
		return c.cache.TakePending(maxLocationsLarge)
	}
	return c.cache.TakePending(maxLocations)
}

// receiveHeartbeat processes a peer's heartbeat.
func (c *control) receiveHeartbeat(ctx context.Context, h *gossip.Heartbeat, now time.Time) {
	c.log.timeline.Observe(h.Stamp)
	c.observeMembers(h, now)
	c.roster.ObserveEra(h.Sender.Address, h.Era, now)
	if h.Sender.Leaving {
		c.dropLostCarriers(now)
	}
	c.roster.ObserveSize(h.FleetSize)
	c.startPermitMembers(now)
	c.planReads(now)
	if h.Sender.StoreUnreachable {
		c.storeUnreachableAt = now
	}
	c.updateShares(now)
	c.observeDomains()
	if !h.Partial {
		c.observeRequests(h, now)
	}
	c.cache.Observe(h.Locations, c.largeFleet(), now)
	c.observePosition(ctx, h, now)
	if c.establishVersions(now) {
		c.publish(now)
	}
}

// observeMembers adds the sender of a heartbeat and the members that it contains to the
// roster.
func (c *control) observeMembers(h *gossip.Heartbeat, now time.Time) {
	if c.roster.IsNew(h.Sender, now) {
		c.sendKnownReports(h.Sender.Address, now)
	}
	joined := c.roster.Observe(append([]membership.Member{h.Sender}, h.Members...), now)
	for _, restart := range c.roster.TakeRestarts() {
		c.log.PeerRestarted(restart)
	}
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
		c.contactMembers(joined, now)
	}
}

// contactMembers sends a heartbeat to some of the members, at most once per heartbeatInterval.
// Each member to which this daemon is new responds with the position of its documents.
func (c *control) contactMembers(members []membership.Member, now time.Time) {
	if len(members) == 0 || now.Sub(c.heartbeats.contactedAt) < heartbeatInterval {
		return
	}
	c.heartbeats.contactedAt = now
	c.heartbeats.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	h := c.newHeartbeat(now)
	h.Partial = true
	var to []membership.Address
	for _, m := range members[:min(len(members), initialContacts)] {
		to = append(to, m.Address)
	}
	c.sendTo(to, &h)
}

// observeRequests processes a peer's load counts and health evidence about replicas.
func (c *control) observeRequests(h *gossip.Heartbeat, now time.Time) {
	loadAge, evidenceAge := routing.PeerLoadAge, routing.PeerEvidenceAge
	if c.largeFleet() {
		loadAge, evidenceAge = routing.PeerLoadAgeLarge, routing.PeerEvidenceAgeLarge
	}
	peer := routing.PeerID(h.Sender.Address)
	c.loads.Observe(peer, h.Loads, now, loadAge)
	c.health.ObserveEvidence(peer, h.Evidence, now, evidenceAge)
}

// observeDomains tells the health tracker when daemons of the other failure domains were last
// seen.
func (c *control) observeDomains() {
	domains := c.roster.Domains()
	delete(domains, c.domain)
	timeout := routing.DomainTimeout
	if c.largeFleet() {
		timeout = routing.DomainTimeoutLarge
	}
	c.health.ObserveDomains(domains, timeout)
}
