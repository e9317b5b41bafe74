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
	// firstContacts is how many of the members that it is sent a daemon without documents
	// contacts at once. One of six is likely to hold documents when a whole fleet starts;
	// else all would ask the seeds, which they find first. Chosen, not varied.
	firstContacts = 6
	// crowdsDelay is how long reports of crowded replicas wait for others, which bounds the
	// datagrams that they cost. With 200 ms, the time between two ticks, up to four times as
	// many requests reach a crowded replica in a fleet of 87 (virtual time); 25 ms do as well.
	crowdsDelay = 10 * time.Millisecond
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
		Revision: c.catalog.feed.Revision(), FleetSize: c.roster.Size(now),
	}
	if c.catalog.table != nil {
		h.Version = c.catalog.table.Version
	}
	return h
}

// sendHeartbeat sends a whole heartbeat.
func (c *control) sendHeartbeat(now time.Time) {
	b := &c.heartbeats
	h := c.newHeartbeat(now)
	h.Loads, h.Evidence, h.Locations = c.loads.Own(), c.health.Own(now), c.pendingLocations()
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
	c.sendTo(to.Address, &h)
}

// sendTo sends a heartbeat to one daemon.
func (c *control) sendTo(to membership.Address, h *gossip.Heartbeat) {
	payload, err := gossip.EncodeHeartbeat(h)
	if err != nil {
		c.log.HeartbeatFailed(err)
		return
	}
	c.heartbeats.send(to, payload)
}

// spread sends a heartbeat to its targets.
func (c *control) spread(h *gossip.Heartbeat, now time.Time) {
	payload, err := gossip.EncodeHeartbeat(h)
	if err != nil {
		c.log.HeartbeatFailed(err)
		return
	}
	c.sendToTargets(payload, h.Partial, now)
}

// sendSilences passes reports of silent replicas on, if any wait. They go to as many
// daemons as a whole heartbeat: each is passed on once only, and over three daemons a
// fleet of 930 had four in five that knew after 1.8 s.
func (c *control) sendSilences(now time.Time) {
	reports := c.health.TakeSilences(gossip.MaxSilences, now)
	if len(reports) == 0 {
		return
	}
	payload, err := gossip.EncodeSilences(reports)
	c.sendReports(payload, err, now)
}

// awaitMoreCrowds has the reports of crowded replicas sent that wait, together with those
// that come within crowdsDelay.
func (c *control) awaitMoreCrowds(ctx context.Context) {
	time.AfterFunc(crowdsDelay, func() { c.post(ctx, crowdsDue{}) })
}

// sendCrowds passes reports of crowded replicas on.
func (c *control) sendCrowds(now time.Time) {
	reports := c.crowds.TakeReports(gossip.MaxCrowds, now)
	if len(reports) == 0 {
		return
	}
	payload, err := gossip.EncodeCrowds(reports)
	c.sendReports(payload, err, now)
}

// sendReports sends an encoded datagram of reports to as many daemons as a whole heartbeat
// goes to.
func (c *control) sendReports(payload []byte, err error, now time.Time) {
	if err != nil {
		c.log.HeartbeatFailed(err)
		return
	}
	c.sendToTargets(payload, false, now)
}

// sendToTargets sends a datagram to the targets of a heartbeat; in a large fleet to
// some of them only if partial is set.
func (c *control) sendToTargets(payload []byte, partial bool, now time.Time) {
	rng := c.heartbeats.rng
	targets := c.roster.Targets(now, rng)
	if partial && c.largeFleet() {
		rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), partialTargets)]
	}
	for _, to := range targets {
		c.heartbeats.send(to, payload)
	}
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
	c.roster.ObserveSize(h.FleetSize, now)
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
	for _, m := range members[:min(len(members), firstContacts)] {
		c.sendTo(m.Address, &h)
	}
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

// receiveSilences takes in a peer's reports of silent replicas.
func (c *control) receiveSilences(reports []routing.SilenceReport, now time.Time) {
	for _, key := range c.health.ObserveSilences(reports, now) {
		if id, ok := c.view.Load().ReplicaOf(key); ok {
			c.log.FoundSilent(id)
		}
	}
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
