package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
)

// mesh connects Fleet state machines by messages in virtual time. It replaces the
// control loop and the network: effects become events after a delay, unless the test
// cuts the connection.
type mesh struct {
	now       time.Time
	rng       *rand.Rand
	queue     meshQueue
	order     int
	nodes     []*meshNode
	byAddress map[string]*meshNode
	delay     time.Duration
	// cut reports whether a message is lost; nil loses none.
	cut func(from, to *meshNode) bool
	// list and config are what the platform publishes; unreachable reports whether a node
	// can't reach it.
	list        *state.MemberList
	config      *state.Config
	unreachable func(n *meshNode) bool
	reads       int
}

type meshNode struct {
	fleet    *fleet.Fleet
	self     fleet.Self
	snapshot *state.Snapshot
	known    []*state.Config
	lists    []*state.MemberList
	watched  []state.Member
	notes    []fleet.TimelineEntry
	served   []state.Head // published configurations, in order
	frozen   bool
	pending  []func()
	sent     int // number of messages
	bytes    int // size of their encoding
}

type meshEvent struct {
	at  time.Time
	seq int
	do  func()
}

type meshQueue []meshEvent

func (q meshQueue) Len() int { return len(q) }
func (q meshQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q meshQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *meshQueue) Push(x any)   { *q = append(*q, x.(meshEvent)) }
func (q *meshQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// newMesh returns n daemons spread over failure domains, none started.
func newMesh(n, domains int) *mesh {
	m := &mesh{
		now: epoch, rng: rand.New(rand.NewPCG(1, 2)), byAddress: make(map[string]*meshNode),
		delay: 2 * time.Millisecond, unreachable: func(*meshNode) bool { return false },
	}
	for i := range n {
		m.add(i, state.FailureDomain(fmt.Sprintf("fd-%d", i%domains)))
	}
	return m
}

func (m *mesh) add(i int, d state.FailureDomain) *meshNode {
	id := state.DaemonID(fmt.Sprintf("d%d", i))
	self := fleet.Self{ID: id, Incarnation: state.Incarnation(i + 1), Domain: d, Address: "addr-" + string(id)}
	n := &meshNode{self: self}
	m.nodes = append(m.nodes, n)
	m.byAddress[self.Address] = n
	m.restart(n)
	return n
}

// restart replaces the process of a node by one without state.
func (m *mesh) restart(n *meshNode) {
	n.self.Incarnation += 1000
	n.fleet = fleet.New(n.self, rand.New(rand.NewPCG(uint64(n.self.Incarnation), 3)))
	n.snapshot, n.known, n.lists, n.served = nil, nil, nil, nil
}

func (m *mesh) schedule(after time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, meshEvent{m.now.Add(after), m.order, do})
}

// start starts the ticks of every node, each with its own phase.
func (m *mesh) start() {
	for _, n := range m.nodes {
		m.schedule(time.Duration(m.rng.Int64N(int64(fleet.TickInterval))), func() { m.tick(n) })
	}
}

func (m *mesh) tick(n *meshNode) {
	m.deliver(n, fleet.Tick{Wall: m.now})
	m.schedule(fleet.TickInterval, func() { m.tick(n) })
}

// run advances the virtual time by d.
func (m *mesh) run(d time.Duration) {
	end := m.now.Add(d)
	for m.queue.Len() > 0 && !m.queue[0].at.After(end) {
		ev := heap.Pop(&m.queue).(meshEvent)
		m.now = ev.at
		ev.do()
	}
	m.now = end
}

// deliver delivers an event to a node; a frozen node receives it when it wakes.
func (m *mesh) deliver(n *meshNode, ev fleet.Event) {
	if n.frozen {
		if _, isTick := ev.(fleet.Tick); !isTick {
			n.pending = append(n.pending, func() { m.deliver(n, ev) })
		}
		return
	}
	for _, eff := range n.fleet.Handle(m.now, ev) {
		m.execute(n, eff)
	}
}

func (m *mesh) wake(n *meshNode) {
	n.frozen = false
	held := n.pending
	n.pending = nil
	for _, do := range held {
		do()
	}
}

func (m *mesh) execute(n *meshNode, eff fleet.Effect) {
	switch eff := eff.(type) {
	case fleet.Publish:
		n.snapshot = eff.Snapshot
		if c := eff.Snapshot.Config; c != nil {
			n.served = append(n.served, c.Head())
		}
	case fleet.SendGossip:
		m.exchange(n, eff)
	case fleet.FetchConfig:
		m.fetch(n, eff.Peer, func(p *meshNode) fleet.Event {
			if len(p.known) == 0 {
				return nil
			}
			return fleet.ConfigReceived{Config: p.known[len(p.known)-1]}
		})
	case fleet.FetchList:
		m.fetch(n, eff.Peer, func(p *meshNode) fleet.Event {
			if len(p.lists) == 0 {
				return nil
			}
			return fleet.ListReceived{List: p.lists[len(p.lists)-1]}
		})
	case fleet.ReadPlatform:
		m.readPlatform(n)
	case fleet.RetainList:
		n.lists = append(n.lists, eff.List)
	case fleet.WatchUpstreams:
		n.watched = eff.Upstreams
	case fleet.TimelineEntry:
		n.notes = append(n.notes, eff)
		n.recordApplied(eff)
	}
}

// recordApplied keeps the applied documents in order, for fetches and checks.
func (n *meshNode) recordApplied(note fleet.TimelineEntry) {
	switch note.Kind {
	case coordination.EventConfigApplied:
		n.known = append(n.known, configByHead[note.About])
	case coordination.EventListApplied:
		n.lists = append(n.lists, listByHead[note.About])
	}
}

var (
	configByHead = map[string]*state.Config{}
	listByHead   = map[string]*state.MemberList{}
)

func (m *mesh) lost(from, to *meshNode) bool { return to == nil || (m.cut != nil && m.cut(from, to)) }

func (m *mesh) exchange(n *meshNode, eff fleet.SendGossip) {
	asked := m.now
	p := m.byAddress[eff.Peer.Address]
	n.count(eff.Gossip)
	if m.lost(n, p) {
		m.schedule(fleet.TickInterval, func() { m.deliver(n, fleet.PeerFailed{ID: state.DaemonID(eff.Peer.ID)}) })
		return
	}
	m.schedule(m.delay, func() { m.answer(n, p, eff.Gossip, asked) })
}

func (m *mesh) answer(n, p *meshNode, gossip fleet.Gossip, asked time.Time) {
	if p.frozen {
		p.pending = append(p.pending, func() { m.answer(n, p, gossip, asked) })
		return
	}
	for _, eff := range p.fleet.Handle(m.now, fleet.GossipReceived{Gossip: gossip}) {
		if r, ok := eff.(fleet.Reply); ok {
			p.count(r.Gossip)
			if !m.lost(p, n) {
				m.schedule(m.delay, func() { m.deliver(n, fleet.GossipReceived{Gossip: r.Gossip, Asked: asked}) })
			}
			continue
		}
		m.execute(p, eff)
	}
}

func (n *meshNode) count(gossip fleet.Gossip) {
	n.sent++
	n.bytes += proto.Size(protocol.EncodeGossip(gossip))
}

func (m *mesh) fetch(n *meshNode, from state.Member, get func(*meshNode) fleet.Event) {
	p := m.byAddress[from.Address]
	if m.lost(n, p) || p.frozen {
		return
	}
	m.schedule(2*m.delay, func() {
		if ev := get(p); ev != nil {
			m.deliver(n, ev)
		}
	})
}

func (m *mesh) readPlatform(n *meshNode) {
	m.reads++
	if m.unreachable(n) {
		return
	}
	asked := m.now
	m.schedule(2*m.delay, func() {
		if m.config != nil {
			m.deliver(n, fleet.ConfigReceived{Config: m.config})
		}
		if m.list != nil {
			m.deliver(n, fleet.ListReceived{List: m.list, Asked: asked})
		}
	})
}

// publishConfig makes the platform publish a version.
func (m *mesh) publishConfig(version int, comment string) *state.Config {
	c := meshConfig(version, comment)
	m.config = c
	return c
}

func meshConfig(version int, comment string) *state.Config {
	text := fmt.Sprintf("version: %d # %s\nmodels: [{name: m}]\nengines: [{name: g, models: [m]}]\n", version, comment)
	c, err := state.ParseConfig("fleet.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	configByHead[c.Head().String()] = c
	return c
}

// publishList makes the platform publish all nodes and some engines.
func (m *mesh) publishList(revision, engines int) *state.MemberList {
	m.list = meshList(m.nodes, revision, engines)
	return m.list
}

func meshList(nodes []*meshNode, revision, engines int) *state.MemberList {
	var members []state.Member
	domains := map[state.FailureDomain]bool{}
	for _, n := range nodes {
		domains[n.self.Domain] = true
		members = append(members, state.Member{ID: string(n.self.ID), Kind: state.KindDaemon, Domain: n.self.Domain, Address: n.self.Address, State: state.Live})
	}
	for i := range engines {
		d := state.FailureDomain(fmt.Sprintf("fd-%d", i%max(len(domains), 1)))
		members = append(members, state.Member{ID: fmt.Sprintf("e%d", i), Kind: state.KindEngine, Group: "g", Domain: d, Address: "127.0.0.1:1", Incarnation: 1, State: state.Live})
	}
	l := state.NewMemberList(state.ListRevision(revision), fmt.Appendf(nil, "%d/%d/%d", revision, len(nodes), engines), members)
	listByHead[l.Head.String()] = l
	return l
}

// share returns the fraction of the nodes for which a condition holds.
func (m *mesh) share(holds func(n *meshNode) bool) float64 {
	n := 0
	for _, node := range m.nodes {
		if holds(node) {
			n++
		}
	}
	return float64(n) / float64(len(m.nodes))
}

// timeUntil advances the time until a condition holds for all nodes, and returns how
// long that took, or the limit.
func (m *mesh) timeUntil(limit time.Duration, holds func(n *meshNode) bool) time.Duration {
	const step = 10 * time.Millisecond
	for d := time.Duration(0); d < limit; d += step {
		if m.share(holds) == 1 {
			return d
		}
		m.run(step)
	}
	return limit
}

func runs(version int) func(*meshNode) bool {
	return func(n *meshNode) bool {
		return n.snapshot != nil && n.snapshot.Config != nil && n.snapshot.Config.Version == state.ConfigVersion(version)
	}
}

// serves reports whether an engine is in the pool of a node.
func serves(engine string) func(*meshNode) bool {
	return func(n *meshNode) bool {
		if n.snapshot == nil {
			return false
		}
		for _, c := range n.snapshot.Model("m").Candidates {
			if c.ID == state.UpstreamID(engine) {
				return true
			}
		}
		return false
	}
}
