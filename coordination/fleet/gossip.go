// This file holds the Fleet's exchanges with its peers: with whom, what is sent,
// what is taken in.

package fleet

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// maxReports bounds one message, so that a new daemon is brought up to
// date in steps and no message breaks the control budget.
const maxReports = 64

// edge is the state of the exchange with one peer.
type edge struct {
	incarnation state.Incarnation // of the peer; the positions are about it
	acked       uint64            // our position that the peer has confirmed
	received    uint64            // the peer's position that we have taken in
}

func (f *Fleet) edge(id state.DaemonID) *edge {
	e := f.edges[id]
	if e == nil {
		e = &edge{}
		f.edges[id] = e
	}
	return e
}

// reset clears the positions if the peer is not the process that they are about.
func (e *edge) reset(incarnation state.Incarnation) {
	if e.incarnation != incarnation {
		*e = edge{incarnation: incarnation}
	}
}

// usablePeer reports whether a daemon of the list may get duties and messages.
func (f *Fleet) usablePeer(m *state.Member) bool {
	if m.ID == string(f.self.ID) {
		return !f.stopped
	}
	_, suspect := f.peerSuspects[state.DaemonID(m.ID)]
	_, left := f.peerLeaving[state.DaemonID(m.ID)]
	return !suspect && !left && m.State == state.Live
}

// arrange works out neighbours and duties after a change of the list, of the
// regions or of the peers that can be reached.
func (f *Fleet) arrange() {
	if f.list == nil {
		return
	}
	f.neighbours = neighbours(f.self, f.list.Daemons(), f.regionOf, f.usablePeer)
	f.watch()
}

// exchangeInTurn begins an exchange with the next neighbour. While no list is
// known the seeds of the settings are asked.
func (f *Fleet) exchangeInTurn() {
	f.turn++
	if len(f.neighbours) > 0 {
		f.send(f.neighbours[f.turn%len(f.neighbours)])
		return
	}
	if len(f.self.Seeds) > 0 {
		f.send(state.Member{Kind: state.KindDaemon, Address: f.self.Seeds[f.turn%len(f.self.Seeds)]})
	}
}

// exchangeWithAll begins an exchange with every neighbour: a new document or a stop
// spreads at the speed of the network and not of the ticks.
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

// gossip returns what a peer may not know yet. Reports stay within a region: no
// other region places its chats here while it has upstreams of its own.
func (f *Fleet) gossip(to state.DaemonID, domain state.FailureDomain, e *edge) Gossip {
	n := Gossip{
		Sender:      f.self.ID,
		Incarnation: f.self.Incarnation,
		Domain:      f.self.Domain,
		Address:     f.self.Address,
		Leaving:     f.stopped,
		Config:      f.configHead(),
		List:        f.newestList(),
		ListAge:     neverConfirmed,
	}
	if !f.confirmed.IsZero() && f.suspectList == nil {
		n.ListAge = f.now.Sub(f.confirmed)
	}
	if e == nil {
		return n
	}
	n.Ack, n.AckIncarnation = e.received, e.incarnation
	n.Upto = f.arrivals
	if f.regionOf(domain) != f.regionOf(f.self.Domain) {
		return n
	}
	n.Reports, n.Upto = f.reportsAfter(e.acked, source{to, e.incarnation})
	return n
}

// reportsAfter returns reports that changed after a position, and the position
// up to which they are complete. States other than live go at once; figures go
// oldest first and as many as the budget allows, so that much change makes reports
// older and not the traffic larger.
func (f *Fleet) reportsAfter(position uint64, to source) ([]Report, uint64) {
	if position >= f.arrivals {
		return nil, f.arrivals
	}
	var states, figures []*knownReport
	for _, r := range f.reports {
		switch {
		case r.arrival <= position || r.from == to:
		case r.State != state.Live:
			states = append(states, r)
		default:
			figures = append(figures, r)
		}
	}
	byArrival := func(a, b *knownReport) int { return cmp.Compare(a.arrival, b.arrival) }
	slices.SortFunc(states, byArrival)
	slices.SortFunc(figures, byArrival)
	allowed := f.reportBudget.take(f.now, min(len(figures), maxReports))
	var out []Report
	upto := f.arrivals
	for _, part := range []struct {
		reports []*knownReport
		n       int
	}{{states, min(len(states), maxReports)}, {figures, allowed}} {
		for _, r := range part.reports[:part.n] {
			out = append(out, r.Report)
		}
		if part.n < len(part.reports) {
			// From the first one that is left out on, the message is not complete.
			upto = min(upto, part.reports[part.n].arrival-1)
		}
	}
	return out, upto
}

// Budget of reports. A report is about 34 bytes encoded, so the rate bounds what
// a daemon sends of them to 0.7 KB a second, and its peers bound what it gets.
const (
	reportRate  = 20 // a second
	reportBurst = 128
)

// reportBudget allows a number of reports a second.
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
	f.meet(now, n)
	e := f.edge(n.Sender)
	e.reset(n.Incarnation)
	if n.AckIncarnation == f.self.Incarnation && n.Ack <= f.arrivals {
		e.acked = max(e.acked, n.Ack)
	}
	for _, r := range n.Reports {
		if f.list.Find(string(r.ID)) != nil {
			f.takeReport(r, source{n.Sender, n.Incarnation})
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

// meet records that a peer lives.
func (f *Fleet) meet(now time.Time, n Gossip) {
	f.peersMet[n.Sender] = true
	f.settle(now)
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
		f.record(coordination.EventPeerState, string(n.Sender), "peer is leaving as planned")
		changed = true
	case !n.Leaving && leaving && incarnation != n.Incarnation:
		// Leaving is final for a process; this one is its successor.
		delete(f.peerLeaving, n.Sender)
		changed = true
	}
	if changed {
		f.arrange()
	}
}

// compareHeads fetches what the peer has newer, and uses its age of the list if it
// answers our question: the age in a message that was not asked for would not
// count the time that it waited in a socket.
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

// failPeer excludes a peer for a while.
func (f *Fleet) failPeer(now time.Time, id state.DaemonID) {
	if id == "" {
		return
	}
	if !f.unreachable[id] {
		f.unreachable[id] = true
		f.record(coordination.EventPeerState, string(id), "peer can't be reached")
	}
	exclude := suspectTime
	if !f.settled {
		exclude = unsettledSuspectTime
	}
	f.peerSuspects[id] = now.Add(exclude)
	f.arrange()
}

// notePeers records which daemons a new list lacks.
func (f *Fleet) notePeers(next *state.MemberList) {
	if f.list == nil {
		return
	}
	for _, m := range f.list.Daemons() {
		if next.Find(m.ID) == nil {
			f.record(coordination.EventPeerState, m.ID, "peer is gone from the list")
			delete(f.peerLeaving, state.DaemonID(m.ID))
			delete(f.edges, state.DaemonID(m.ID))
			delete(f.unreachable, state.DaemonID(m.ID))
		}
	}
}
