// This file implements the Fleet's gossip with its peers: choice of the peer,
// messages sent and messages received.

package fleet

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// maxReports limits the reports in one message, so that a new daemon is brought up to
// date in steps and no message exceeds the control budget.
const maxReports = 64

// edge is the state of the gossip with one peer.
type edge struct {
	incarnation state.Incarnation // of the peer to which the positions refer
	acked       uint64            // local position that the peer has acknowledged
	received    uint64            // peer's position that was received completely
}

func (f *Fleet) edge(id state.DaemonID) *edge {
	e := f.edges[id]
	if e == nil {
		e = &edge{}
		f.edges[id] = e
	}
	return e
}

// reset clears the positions if they refer to another incarnation of the peer.
func (e *edge) reset(incarnation state.Incarnation) {
	if e.incarnation != incarnation {
		*e = edge{incarnation: incarnation}
	}
}

// usablePeer reports whether a listed daemon may be given duties and messages.
func (f *Fleet) usablePeer(m *state.Member) bool {
	if m.ID == string(f.self.ID) {
		return !f.stopped
	}
	_, suspect := f.peerSuspects[state.DaemonID(m.ID)]
	_, leaving := f.peerLeaving[state.DaemonID(m.ID)]
	return !suspect && !leaving && m.State == state.Live
}

// updateDuties recomputes neighbours and duties after a change of the list, of the regions
// or of the reachable peers.
func (f *Fleet) updateDuties() {
	if f.list == nil {
		return
	}
	f.neighbours = neighbours(f.self, f.list.Daemons(), f.regionOf, f.usablePeer)
	f.updateWatched()
}

// exchangeWithNext starts an exchange with the next neighbour, or with the next seed of
// the settings while no list is known.
func (f *Fleet) exchangeWithNext() {
	f.nextNeighbour++
	if len(f.neighbours) > 0 {
		f.send(f.neighbours[f.nextNeighbour%len(f.neighbours)])
		return
	}
	if len(f.self.Seeds) > 0 {
		f.send(state.Member{Kind: state.KindDaemon, Address: f.self.Seeds[f.nextNeighbour%len(f.self.Seeds)]})
	}
}

// exchangeWithAll starts an exchange with every neighbour, so that a new document or a
// shutdown spreads at network speed instead of once per tick.
func (f *Fleet) exchangeWithAll() {
	for _, m := range f.neighbours {
		f.send(m)
	}
}

func (f *Fleet) send(m state.Member) {
	var e *edge
	if m.ID != "" {
		e = f.edge(state.DaemonID(m.ID))
	}
	f.emit(SendGossip{Peer: m, Gossip: f.gossip(state.DaemonID(m.ID), m.Domain, e)})
}

// gossip returns the message for a peer, with the reports that it may not have yet.
// Reports stay within a region: no other region places its chats here while it has
// upstreams of its own.
func (f *Fleet) gossip(to state.DaemonID, domain state.FailureDomain, e *edge) Gossip {
	msg := Gossip{
		Sender:      f.self.ID,
		Incarnation: f.self.Incarnation,
		Domain:      f.self.Domain,
		Address:     f.self.Address,
		Leaving:     f.stopped,
		Config:      f.configHead(),
		List:        f.newestList(),
		ListAge:     neverConfirmed,
	}
	if !f.confirmed.IsZero() && f.deferredList == nil {
		msg.ListAge = f.now.Sub(f.confirmed)
	}
	if e == nil {
		return msg
	}
	msg.Ack, msg.AckIncarnation = e.received, e.incarnation
	msg.Upto = f.position
	if f.regionOf(domain) != f.regionOf(f.self.Domain) {
		return msg
	}
	msg.Reports, msg.Upto = f.reportsAfter(e.acked, source{to, e.incarnation})
	return msg
}

// reportsAfter returns reports that changed after a position, and the position up to
// which they are complete. States other than live are sent at once; load reports are
// sent oldest first and as many as the budget allows, so that frequent changes delay
// the reports instead of increasing the traffic.
func (f *Fleet) reportsAfter(position uint64, to source) ([]Report, uint64) {
	if position >= f.position {
		return nil, f.position
	}
	var stateChanges, loads []*knownReport
	for _, r := range f.reports {
		switch {
		case r.position <= position || r.from == to:
		case r.State != state.Live:
			stateChanges = append(stateChanges, r)
		default:
			loads = append(loads, r)
		}
	}
	byArrival := func(a, b *knownReport) int { return cmp.Compare(a.position, b.position) }
	slices.SortFunc(stateChanges, byArrival)
	slices.SortFunc(loads, byArrival)
	allowed := f.reportBudget.take(f.now, min(len(loads), maxReports))
	var out []Report
	upto := f.position
	for _, part := range []struct {
		reports []*knownReport
		n       int
	}{{stateChanges, min(len(stateChanges), maxReports)}, {loads, allowed}} {
		for _, r := range part.reports[:part.n] {
			out = append(out, r.Report)
		}
		if part.n < len(part.reports) {
			// The message is complete only up to the first omitted report.
			upto = min(upto, part.reports[part.n].position-1)
		}
	}
	return out, upto
}

// Budget of reports. An encoded report takes about 34 bytes, so the rate limits what
// a daemon sends of them to 0.7 KB a second, and thereby what each daemon receives.
const (
	reportRate  = 20 // a second
	reportBurst = 128
)

// reportBudget is a token bucket that limits the reports sent per second.
type reportBudget struct {
	tokens float64
	filled time.Time
}

// take returns how many of n reports may be sent now.
func (b *reportBudget) take(now time.Time, n int) int {
	if b.filled.IsZero() {
		b.tokens = reportBurst
	} else {
		b.tokens = min(b.tokens+reportRate*now.Sub(b.filled).Seconds(), reportBurst)
	}
	b.filled = now
	allowed := min(n, int(b.tokens))
	b.tokens -= float64(allowed)
	return allowed
}

func (f *Fleet) receiveGossip(now time.Time, ev GossipReceived) {
	n := ev.Gossip
	if n.Sender == f.self.ID {
		if ev.Asked.IsZero() {
			f.emit(Reply{f.gossip("", f.self.Domain, nil)})
		}
		return
	}
	f.recordPeerAlive(now, n)
	e := f.edge(n.Sender)
	e.reset(n.Incarnation)
	if n.AckIncarnation == f.self.Incarnation && n.Ack <= f.position {
		e.acked = max(e.acked, n.Ack)
	}
	for _, r := range n.Reports {
		if f.list.Find(string(r.ID)) != nil {
			f.mergeReport(r, source{n.Sender, n.Incarnation})
		}
	}
	if n.List == f.newestList() {
		e.received = max(e.received, n.Upto)
	}
	f.compareHeads(ev)
	if ev.Asked.IsZero() {
		f.emit(Reply{f.gossip(n.Sender, n.Domain, e)})
	}
}

// recordPeerAlive records that a peer is alive.
func (f *Fleet) recordPeerAlive(now time.Time, n Gossip) {
	f.contactedPeers[n.Sender] = true
	f.checkStartupSync(now)
	changed := f.peerSuspects[n.Sender] != time.Time{}
	delete(f.peerSuspects, n.Sender)
	if f.unreachable[n.Sender] {
		delete(f.unreachable, n.Sender)
		f.record(coordination.EventPeerState, string(n.Sender), "peer can be reached again")
	}
	incarnation, leaving := f.peerLeaving[n.Sender]
	switch {
	case n.Leaving && incarnation != n.Incarnation:
		f.peerLeaving[n.Sender] = n.Incarnation
		f.record(coordination.EventPeerState, string(n.Sender), "peer is shutting down gracefully")
		changed = true
	case !n.Leaving && leaving && incarnation != n.Incarnation:
		// A departure is final for a process; this message comes from its successor.
		delete(f.peerLeaving, n.Sender)
		changed = true
	}
	if changed {
		f.updateDuties()
	}
}

// compareHeads fetches what is newer at the peer. It uses the peer's list age only if
// the message answers a request of this daemon: the age in an unsolicited message
// does not include the time that the message spent in a socket buffer.
func (f *Fleet) compareHeads(ev GossipReceived) {
	n := ev.Gossip
	peer := state.Member{ID: string(n.Sender), Kind: state.KindDaemon, Domain: n.Domain, Address: n.Address, Incarnation: n.Incarnation, State: state.Live}
	if n.Config.Compare(f.configHead()) > 0 && !f.refused[n.Config] {
		f.emit(FetchConfig{Peer: peer})
	}
	if n.List.Compare(f.newestList()) > 0 {
		f.emit(FetchList{Peer: peer})
	}
	if !ev.Asked.IsZero() && n.ListAge >= 0 {
		f.confirmList(n.List, ev.Asked.Add(-n.ListAge))
	}
}

// excludePeer excludes a peer for suspectTime, or startupSuspectTime at startup.
func (f *Fleet) excludePeer(now time.Time, id state.DaemonID) {
	if id == "" {
		return
	}
	if !f.unreachable[id] {
		f.unreachable[id] = true
		f.record(coordination.EventPeerState, string(id), "peer can't be reached")
	}
	exclude := suspectTime
	if !f.startupSynced {
		exclude = startupSuspectTime
	}
	f.peerSuspects[id] = now.Add(exclude)
	f.updateDuties()
}

// recordRemovedPeers records which daemons are missing from a new list and drops their state.
func (f *Fleet) recordRemovedPeers(next *state.MemberList) {
	if f.list == nil {
		return
	}
	for _, m := range f.list.Daemons() {
		if next.Find(m.ID) == nil {
			f.record(coordination.EventPeerState, m.ID, "peer was removed from the member list")
			delete(f.peerLeaving, state.DaemonID(m.ID))
			delete(f.edges, state.DaemonID(m.ID))
			delete(f.unreachable, state.DaemonID(m.ID))
		}
	}
}
