// Several daemons that exchange messages in virtual time, with delay, loss, duplication, cuts,
// pauses and deaths.

package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

const svc routing.ServiceName = "svc"

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// event is something that happens in a world.
type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].n < e[k].n
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is a daemon of a world.
type node struct {
	w           *world
	m           membership.Member
	d           *Daemon
	dead        bool
	pausedUntil time.Time
	inbox       []func()
	old         bool // of a build without permits
	idle        bool // no requests arrive
	side        int  // only daemons of one side hear each other
	timer       time.Time
	nextID      PermitID
	direct      map[routing.LoadKey]int
	roster      []*node
}

// request is one request of a caller.
type request struct {
	asked    time.Time
	decided  time.Time
	decision Decision
	alone    bool
	by       membership.Address // the coordinator that decided
	beyond   bool               // it was granted when all places of its replica were occupied
}

type world struct {
	now      time.Time
	rng      *rand.Rand
	queue    events
	n        int
	nodes    []*node
	replicas []Replica
	takes    time.Duration // of a request
	loss     float64
	dup      float64
	// splitReplicas makes replicas of another side unreachable.
	splitReplicas bool

	use      map[routing.LoadKey]int
	places   int
	messages int
	silent   int
	requests []*request
	asks     map[askKey]*request // without a decision
	// samples are the requests in flight at all replicas, and the most over their places at one.
	samples []sample
}

type sample struct {
	at   time.Time
	use  int
	over float64 // the highest quotient of requests and places of a replica
}

// newWorld returns daemons in three failure domains with one replica of 6 slots in each.
func newWorld(seed uint64, daemons int) *world {
	w := &world{now: worldStart, rng: rand.New(rand.NewPCG(seed, 1)), takes: ms(30),
		use: make(map[routing.LoadKey]int), places: 3 * (6 + extraPlaces), asks: make(map[askKey]*request)}
	for i := range 3 {
		w.replicas = append(w.replicas, Replica{routing.LoadKey(i + 1), state.FailureDomain(fmt.Sprint("d", i)), 6})
	}
	for i := range daemons {
		w.nodes = append(w.nodes, &node{w: w, direct: make(map[routing.LoadKey]int), m: membership.Member{
			Address:     membership.Address(fmt.Sprintf("10.0.0.%d:1", i)),
			Domain:      w.replicas[i%3].Domain,
			Incarnation: 1,
		}})
	}
	for _, n := range w.nodes {
		n.start()
		n.roster = w.nodes
	}
	return w
}

// start starts the daemon's process.
func (n *node) start() {
	n.d = NewDaemon(n.m)
	n.d.SetReplicas(svc, n.w.replicas, n.w.now)
}

func (w *world) at(t time.Time, do func()) {
	w.n++
	heap.Push(&w.queue, event{t, w.n, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run runs the world for a while.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// call calls a daemon, now or when its pause ends.
func (n *node) call(do func()) {
	switch {
	case n.dead:
	case n.w.now.Before(n.pausedUntil):
		n.inbox = append(n.inbox, do)
	default:
		do()
		n.take()
	}
}

// pause stops the daemon's process for a while. Its datagrams are kept.
func (n *node) pause(d time.Duration) {
	n.pausedUntil = n.w.now.Add(d)
	n.w.after(d, func() {
		list := n.inbox
		n.inbox = nil
		for _, do := range list {
			n.call(do)
		}
		n.call(func() {})
	})
}

// take carries out the daemon's effects.
func (n *node) take() {
	w := n.w
	for _, e := range n.d.Take(w.now) {
		switch e := e.(type) {
		case SendRequest:
			w.send(n, e.To, func(to *node) {
				if !to.old {
					to.d.ReceiveRequest(e.Request, w.now)
				}
			})
		case SendReply:
			w.send(n, e.To, func(to *node) { to.d.ReceiveReply(e.Reply, w.now) })
		case Decided:
			n.decided(e)
		case CoordinatorSilent:
			w.silent++
		case SaturationEnded:
		}
	}
	if at, ok := n.d.Due(); ok && !at.Equal(n.timer) {
		if !at.After(w.now) {
			panic("a call is due again at once")
		}
		n.timer = at
		w.at(at, func() {
			if n.timer.Equal(at) {
				n.timer = time.Time{}
			}
			n.call(func() { n.d.Tick(w.now) })
		})
	}
}

// send sends a datagram.
func (w *world) send(from *node, to membership.Address, deliver func(*node)) {
	w.messages++
	for _, n := range w.nodes {
		if n.m.Address != to || n.side != from.side {
			continue
		}
		for range 1 + boolToInt(w.rng.Float64() < w.dup) {
			if w.rng.Float64() < w.loss {
				continue
			}
			delay := ms(0.2)
			if n.m.Domain != from.m.Domain {
				delay = ms(0.5 + 0.9*w.rng.Float64())
			}
			w.after(delay, func() {
				if n.side == from.side {
					n.call(func() { deliver(n) })
				}
			})
		}
	}
}

// setRosters tells the daemons who lives. It ends what a roster would detect within 2.5 s.
func (w *world) setRosters() {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		var live []membership.Member
		for _, m := range n.roster {
			if m != n && !m.dead && m.side == n.side {
				live = append(live, m.m)
			}
		}
		n.call(func() { n.d.SetMembers(live, len(n.roster), w.now) })
	}
}

// saturate makes the service saturated for all daemons.
func (w *world) saturate() {
	for _, n := range w.nodes {
		n.call(func() { n.d.ReportSaturated(svc, w.now) })
	}
}

// keepSaturated keeps the service saturated for a while, so that a low load uses permits too.
func (w *world) keepSaturated(d time.Duration) {
	for at := time.Duration(0); at < d; at += time.Second {
		w.after(at, w.saturate)
	}
}

// load lets each daemon receive requests at a rate (1/s) for a while.
func (w *world) load(rate float64, d time.Duration) {
	for _, n := range w.nodes {
		w.arrive(n, rate, w.now.Add(d))
	}
}

func (w *world) arrive(n *node, rate float64, end time.Time) {
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if w.now.After(end) || n.dead {
			return
		}
		if !w.now.Before(n.pausedUntil) && !n.idle {
			n.request()
		}
		w.arrive(n, rate, end)
	})
}

// request sends one request of a caller to the daemon.
func (n *node) request() {
	w := n.w
	if n.old || !n.d.Saturated(svc, w.now) {
		r := w.replicas[w.rng.IntN(len(w.replicas))]
		if n.reaches(r) {
			n.direct[r.Key]++
			n.setUnpermitted()
			w.use[r.Key]++
			w.sample()
			w.after(w.takes, func() {
				n.direct[r.Key]--
				n.setUnpermitted()
				w.use[r.Key]--
			})
		}
		return
	}
	n.nextID++
	n.d.Ask(svc, Ask{ID: n.nextID, UntilTarget: ms(150), UntilDeadline: ms(2500)}, w.now)
	w.requests = append(w.requests, &request{asked: w.now})
	r := w.requests[len(w.requests)-1]
	w.asks[askKey{n, n.nextID}] = r
	n.take()
}

func (n *node) setUnpermitted() {
	var list []routing.LoadCount
	for _, r := range n.w.replicas {
		if k := n.direct[r.Key]; k > 0 {
			list = append(list, routing.LoadCount{Replica: r.Key, Requests: uint16(k)})
		}
	}
	n.d.SetUnpermitted(svc, list)
}

type askKey struct {
	n  *node
	id PermitID
}

// reaches reports whether the daemon can connect to a replica.
func (n *node) reaches(r Replica) bool {
	if !n.w.splitReplicas {
		return true
	}
	for _, o := range n.w.nodes {
		if o.m.Domain == r.Domain {
			return o.side == n.side
		}
	}
	return true
}

func (n *node) decided(e Decided) {
	w := n.w
	key := askKey{n, e.Decision.Permit()}
	r := w.asks[key]
	if r == nil {
		panic("a second decision on one ask")
	}
	delete(w.asks, key)
	r.decided, r.decision, r.alone, r.by = w.now, e.Decision, e.Alone, e.Coordinator
	g, ok := e.Decision.(Granted)
	if !ok {
		return
	}
	result, takes := Completed, w.takes
	if n.reaches(w.replicas[g.Replica-1]) {
		w.use[g.Replica]++
		r.beyond = w.use[g.Replica] > w.replicas[g.Replica-1].Slots+extraPlaces
		w.sample()
	} else {
		result, takes = Failed, ms(5)
	}
	w.after(takes, func() {
		if result == Completed {
			w.use[g.Replica]--
		}
		n.call(func() { n.d.Finish(svc, Finished{ID: g.ID, Took: takes, Result: result}, w.now) })
	})
}

func (w *world) sample() {
	s := sample{at: w.now}
	for _, r := range w.replicas {
		s.use += w.use[r.Key]
		s.over = max(s.over, float64(w.use[r.Key])/float64(r.Slots+extraPlaces))
	}
	w.samples = append(w.samples, s)
}

// over returns the highest quotient of requests and places, over the service and at one replica.
func (w *world) over(from, to time.Time) (service, replica float64) {
	for _, s := range w.samples {
		if !s.at.Before(from) && s.at.Before(to) {
			service = max(service, float64(s.use)/float64(w.places))
			replica = max(replica, s.over)
		}
	}
	return service, replica
}

// longestWait returns the longest wait for a decision of the requests that came in a period, of
// daemons that decided alone or of the others.
func (w *world) longestWait(from, to time.Time, alone bool) time.Duration {
	var longest time.Duration
	for _, r := range w.requests {
		if r.asked.Before(from) || !r.asked.Before(to) || r.alone != alone {
			continue
		}
		at := r.decided
		if r.decision == nil {
			at = w.now
		}
		longest = max(longest, at.Sub(r.asked))
	}
	return longest
}

// undecided returns how many asks of living daemons have no decision.
func (w *world) undecided() int {
	n := 0
	for k := range w.asks {
		if !k.n.dead {
			n++
		}
	}
	return n
}

// ranked returns the daemons in the order in which they coordinate the service.
func (w *world) ranked() []*node {
	score := func(n *node) uint64 {
		return coordination.Rank(coordination.Hash(string(svc)), coordination.Hash(string(n.m.Address)))
	}
	return slices.SortedFunc(slices.Values(w.nodes), func(a, b *node) int { return cmp.Compare(score(b), score(a)) })
}

// coordinator returns the daemon that coordinates the service if all live.
func (w *world) coordinator() *node { return w.ranked()[0] }

// join ends a cut.
func (w *world) join() {
	for _, n := range w.nodes {
		n.side = 0
	}
}

// restoreRosters lets all daemons know each other again.
func (w *world) restoreRosters() {
	for _, n := range w.nodes {
		n.roster = w.nodes
	}
	w.setRosters()
}

// drop forgets the asks of a process that ends, and ends its requests.
func (w *world) drop(n *node) {
	for k := range w.asks {
		if k.n == n {
			delete(w.asks, k)
		}
	}
}
