// Daemons whose service has brittle replicas, in virtual time: replicas without a queue that terminate if they
// reject more than a limit within a second, and are back, empty, after some seconds.

package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// brittleLoad is a load that brittle replicas are played under.
type brittleLoad struct {
	daemons  int
	replicas int
	slots    int
	limit    int     // rejections in a second that a replica survives
	load     float64 // of what all slots can do
	takes    time.Duration
	single   bool // permits at single replicas; otherwise a coordinator of the service chooses them
	kill     int  // a daemon is killed each this many milliseconds, and another one starts; 0: none
	loss     float64
	old      int           // daemons of a build without permits
	cut      time.Duration // for how long the first domain is cut off from the others, from cutAt on; 0: it is not
	lasts    time.Duration // 0: brittleLasts
	// queuesFor is for how long from the begin on replicas queue what is beyond their slots; they reject it then.
	queuesFor time.Duration
	// late is by how much a message or a response is late at most, as on a machine that is busy.
	late time.Duration
}

const (
	brittleLasts    = 4 * time.Second
	brittleDeadline = 2500 * time.Millisecond
	clump           = 3   // requests that arrive together
	brittleWave     = 0.4 // of the mean load
	brittlePeriod   = 2 * time.Second
	// cutAt is later than the coordinators have learned, and cutNoticed when the rosters show a cut.
	cutAt      = 2 * time.Second
	cutNoticed = 700 * time.Millisecond
)

// brittleWorld is a world with brittle replicas.
type brittleWorld struct {
	*world
	brittleLoad
	byAddress    map[membership.Address]*node
	sites        []*brittleReplica
	running      map[*node][]*brittleRun
	calls        map[askKey]*brittleCall
	begun        int // calls
	served       int
	rejected     int
	falls        int
	isCut        bool
	cutNoticed   bool // by the rosters
	idleRefusals int  // calls that were refused while more than a tenth of the slots were free
}

// brittleReplica is one replica at its place.
type brittleReplica struct {
	Replica
	held       int // running or queued
	queue      []func()
	rejections []time.Time
	down       bool
}

// brittleCall is a call and the replicas that were full for it.
type brittleCall struct {
	n        *node
	at       *brittleReplica
	full     []*brittleReplica
	deadline time.Time
	single   bool
}

// brittleRun is a request at a replica.
type brittleRun struct {
	key routing.LoadKey // of the replica
	at  *brittleReplica
	end bool
}

func newBrittleWorld(seed uint64, l brittleLoad) *brittleWorld {
	w := &brittleWorld{world: newWorld(seed, 0), brittleLoad: l, byAddress: make(map[membership.Address]*node),
		running: make(map[*node][]*brittleRun), calls: make(map[askKey]*brittleCall)}
	w.world.loss, w.world.replicas = l.loss, nil
	for i := range l.replicas {
		r := Replica{Key: routing.LoadKey(i + 1), Domain: state.FailureDomain(fmt.Sprint("d", i%3)), Slots: l.slots}
		w.sites = append(w.sites, &brittleReplica{Replica: r})
	}
	for i := range l.daemons {
		w.addDaemon(i, i < l.old)
	}
	w.setRosters()
	return w
}

// usable returns the replicas that are up.
func (w *brittleWorld) usable() []Replica {
	var out []Replica
	for _, r := range w.sites {
		if !r.down {
			out = append(out, r.Replica)
		}
	}
	return out
}

func (w *brittleWorld) addDaemon(i int, old bool) *node {
	n := &node{w: w.world, old: old, m: membership.Member{
		Address: membership.Address(fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255)), Domain: state.FailureDomain(fmt.Sprint("d", i%3)),
		Incarnation: membership.Incarnation(1 + w.now.Sub(worldStart)),
	}}
	n.d = NewDaemon(n.m)
	w.nodes = append(w.nodes, n)
	w.byAddress[n.m.Address] = n
	for _, m := range w.nodes {
		m.roster = w.nodes
	}
	return n
}

// tick does what the control loops of all daemons do each 200 ms.
func (w *brittleWorld) tick() {
	usable := w.usable()
	for _, n := range w.nodes {
		if n.dead || n.old {
			continue
		}
		w.call(n, func() {
			if !w.single {
				n.d.SetReplicas(svc, usable, w.now)
			}
			n.d.SetBrittle(svc, true, w.limit, w.now)
		})
	}
	w.after(200*time.Millisecond, w.tick)
}

// call calls a daemon and carries out its effects.
func (w *brittleWorld) call(n *node, do func()) {
	if n.dead {
		return
	}
	do()
	for _, e := range n.d.Take(w.now) {
		switch e := e.(type) {
		case SendRequest:
			w.transmit(n, e.To, func(to *node) {
				if key, ok := e.Request.Scope.Replica(); ok {
					if r := w.replica(key); r != nil {
						to.d.SetReplica(svc, r.Replica)
					}
				}
				to.d.ReceiveRequest(e.Request, w.now)
			})
		case SendReply:
			w.transmit(n, e.To, func(to *node) { to.d.ReceiveReply(e.Reply, w.now) })
		case Decided:
			w.decided(n, e)
		}
	}
	at, ok := n.d.Due()
	if !ok || at.Equal(n.timer) {
		return
	}
	n.timer = at
	w.at(laterOf(at, w.now.Add(time.Millisecond)), func() {
		if n.timer.Equal(at) {
			n.timer = time.Time{}
			w.call(n, func() { n.d.Tick(w.now) })
		}
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transmit sends a datagram.
func (w *brittleWorld) transmit(from *node, to membership.Address, deliver func(*node)) {
	w.messages++
	n := w.byAddress[to]
	if n == nil || n.old || w.isCut && from.m.Domain != n.m.Domain && (isInside(from) || isInside(n)) || w.rng.Float64() < w.world.loss {
		return
	}
	w.after(w.delay(from.m.Domain, n.m.Domain)+w.lateness(), func() { w.call(n, func() { deliver(n) }) })
}

// lateness draws by how much something is late.
func (w *brittleWorld) lateness() time.Duration {
	if w.late == 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.late)))
}

func (w *brittleWorld) delay(a, b state.FailureDomain) time.Duration {
	if a == b {
		return ms(0.2)
	}
	return ms(0.5 + 0.9*w.rng.Float64())
}

// replica returns the replica with a key that is up, or nil.
func (w *brittleWorld) replica(key routing.LoadKey) *brittleReplica {
	n := routing.LoadKey(len(w.sites))
	if r := w.sites[(key-1)%n]; r.Key == key && !r.down {
		return r
	}
	return nil
}

// arrivals lets a daemon receive clumps of calls in waves.
func (w *brittleWorld) arrivals(n *node, end time.Time) {
	perSecond := w.brittleLoad.load * float64(w.brittleLoad.replicas*w.slots) / w.brittleLoad.takes.Seconds() / float64(w.daemons) / clump
	highest := perSecond * (1 + brittleWave)
	w.after(time.Duration(w.rng.ExpFloat64()/highest*float64(time.Second)), func() {
		if w.now.After(end) || n.dead {
			return
		}
		wave := 1 + brittleWave*math.Sin(2*math.Pi*w.now.Sub(worldStart).Seconds()/brittlePeriod.Seconds())
		if w.rng.Float64()*highest < perSecond*wave {
			for range clump {
				w.begun++
				w.place(&brittleCall{n: n, deadline: w.now.Add(brittleDeadline), single: w.single})
			}
		}
		w.arrivals(n, end)
	})
}

// place asks for a permit for a call: of the service, or at a random replica that was not full, and at last at
// the first one, where it waits.
func (w *brittleWorld) place(c *brittleCall) {
	if c.n.old {
		c.at = w.sites[w.rng.IntN(len(w.sites))]
		w.after(ms(0.3), func() { w.arriveAt(c, PermitID(0)) })
		return
	}
	c.n.nextID++
	id := c.n.nextID
	w.calls[askKey{c.n, id}] = c
	a := Ask{ID: id, UntilTarget: time.Second, UntilDeadline: c.deadline.Sub(w.now)}
	if !c.single {
		w.call(c.n, func() { c.n.d.Ask(svc, a, w.now) })
		return
	}
	left := slices.ContainsFunc(w.sites, func(r *brittleReplica) bool { return !r.down && !slices.Contains(c.full, r) })
	if !left && len(c.full) == 0 {
		return // no replica is up
	}
	mayWait := len(c.full) == 4 || !left
	if mayWait {
		c.at = c.full[0]
	}
	for !mayWait {
		c.at = w.sites[w.rng.IntN(len(w.sites))]
		if !c.at.down && !slices.Contains(c.full, c.at) {
			break
		}
	}
	w.call(c.n, func() {
		c.n.d.SetReplica(svc, c.at.Replica)
		c.n.d.AskAt(svc, c.at.Key, a, mayWait, 0, w.now)
	})
}

func (w *brittleWorld) decided(n *node, e Decided) {
	key := askKey{n, e.Decision.Permit()}
	c := w.calls[key]
	delete(w.calls, key)
	switch d := e.Decision.(type) {
	case Granted:
		if !c.single {
			c.at = w.replica(d.Replica)
		}
		w.after(ms(0.3), func() { w.arriveAt(c, d.ID) })
	case Full:
		c.full = append(c.full, c.at)
		w.after(0, func() { w.place(c) })
	case Refused:
		free, all := 0, 0
		for _, r := range w.sites {
			if !r.down {
				free, all = free+r.Slots-r.held, all+r.Slots
			}
		}
		if 10*free > all && w.now.Before(c.deadline) {
			w.idleRefusals++
		}
	}
}

// arriveAt lets a request arrive at its replica.
func (w *brittleWorld) arriveAt(c *brittleCall, id PermitID) {
	r := c.at
	switch {
	case r == nil || r.down:
		w.finish(c, id, 0, Failed)
	case r.held >= r.Slots && w.now.Sub(worldStart) >= w.queuesFor:
		w.reject(r)
		w.finish(c, id, ms(0.5), Rejected)
	default:
		r.held++
		run := &brittleRun{key: r.Key, at: r}
		w.running[c.n] = append(w.running[c.n], run)
		arrived := w.now
		begin := func() {
			w.after(time.Duration((0.5+w.rng.Float64())*float64(w.brittleLoad.takes)), func() {
				if run.end || r.Key != run.key || r.down {
					w.finish(c, id, w.now.Sub(arrived), Failed)
					return
				}
				run.end = true
				r.held--
				w.served++
				if len(r.queue) > 0 {
					next := r.queue[0]
					r.queue = r.queue[1:]
					next()
				}
				w.finish(c, id, w.now.Sub(arrived), Completed)
			})
		}
		if r.held > r.Slots {
			r.queue = append(r.queue, begin)
			return
		}
		begin()
	}
}

func (w *brittleWorld) finish(c *brittleCall, id PermitID, took time.Duration, result Result) {
	if id == 0 {
		return
	}
	w.after(ms(0.3)+w.lateness(), func() {
		w.call(c.n, func() {
			f := Finished{ID: id, Took: took, Result: result}
			if !c.single {
				c.n.d.Finish(svc, f, w.now)
			} else {
				c.n.d.FinishAt(svc, c.at.Key, f, w.now)
			}
		})
	})
}

// reject counts a rejection; the replica may terminate under it, and is back under another key.
func (w *brittleWorld) reject(r *brittleReplica) {
	w.rejected++
	r.rejections = append(dropBefore(r.rejections, w.now.Add(-time.Second)), w.now)
	if len(r.rejections) <= w.limit {
		return
	}
	w.falls++
	r.down, r.held, r.rejections = true, 0, nil
	for _, begin := range r.queue {
		begin() // it fails
	}
	r.queue = nil
	w.after(time.Duration(2+1.5*w.rng.Float64())*time.Second, func() { r.Key, r.down = r.Key+routing.LoadKey(w.brittleLoad.replicas), false })
}

// kills kills a daemon in each interval, whose requests end at the replicas, and starts another one.
func (w *brittleWorld) kills(end time.Time) {
	if w.kill == 0 || w.now.After(end) {
		return
	}
	w.after(time.Duration(w.kill)*time.Millisecond, func() {
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		if !n.dead {
			n.dead = true
			for _, run := range w.running[n] {
				if !run.end && run.at.Key == run.key && !run.at.down {
					run.end = true
					run.at.held--
				}
			}
			w.after(300*time.Millisecond, func() {
				next := w.addDaemon(len(w.nodes), false)
				w.setRosters()
				w.arrivals(next, end)
			})
		}
		w.kills(end)
	})
}

// isInside reports whether a daemon is in the domain that is cut off.
func isInside(n *node) bool { return n.m.Domain == "d0" }

// cuts cuts the first domain off from the others for some time.
func (w *brittleWorld) cuts() {
	if w.brittleLoad.cut == 0 {
		return
	}
	set := func(isCut bool) func() { return func() { w.isCut = isCut } }
	w.after(cutAt, set(true))
	w.after(cutAt+w.brittleLoad.cut, set(false))
	notice := func(isNoticed bool) func() {
		return func() { w.cutNoticed = isNoticed; w.setRosters() }
	}
	w.after(cutAt+cutNoticed, notice(true))
	w.after(cutAt+w.brittleLoad.cut+ms(200), notice(false))
}

// setRosters tells the daemons who lives.
func (w *brittleWorld) setRosters() {
	var all []membership.Member
	for _, n := range w.nodes {
		if !n.dead {
			all = append(all, n.m)
		}
	}
	for _, n := range w.nodes {
		if n.dead || n.old {
			continue
		}
		live := slices.DeleteFunc(slices.Clone(all), func(m membership.Member) bool {
			return m.Address == n.m.Address || w.cutNoticed && isInside(n) != (m.Domain == "d0")
		})
		w.call(n, func() { n.d.SetMembers(live, len(all), w.now) })
	}
}

// duration returns how long calls arrive.
func (l brittleLoad) duration() time.Duration {
	if l.lasts == 0 {
		return brittleLasts
	}
	return l.lasts
}

// play plays the load and returns the share of the calls that were served.
func (w *brittleWorld) play() float64 {
	w.run(settleFor) // the daemons have been there for a while
	w.tick()
	w.run(100 * time.Millisecond)
	end := w.now.Add(w.duration())
	for _, n := range w.nodes {
		w.arrivals(n, end)
	}
	w.kills(end)
	w.cuts()
	w.run(w.duration() + brittleDeadline)
	return float64(w.served) / float64(w.begun)
}

// brittleLoads are the loads that brittle replicas must survive: clumps and waves at .6, .9 and 1.2 of what the slots
// can do, from 8 to 986 daemons.
var brittleLoads = []struct {
	name string
	brittleLoad
	served float64 // at least
}{
	{"plain, 8 daemons", brittleLoad{daemons: 8, replicas: 4, slots: 6, limit: 1, load: 0.9, takes: ms(160)}, 0.9},
	{"plain, 34 daemons, too much load", brittleLoad{daemons: 34, replicas: 4, slots: 6, limit: 1, load: 1.2, takes: ms(100)}, 0.65},
	{"plain, 73 daemons, short requests", brittleLoad{daemons: 73, replicas: 4, slots: 6, limit: 1, load: 0.6, takes: ms(15)}, 0.95},
	{"plain, 34 daemons, kills and losses", brittleLoad{daemons: 34, replicas: 4, slots: 6, limit: 2, load: 0.9, takes: ms(100), kill: 700, loss: 0.02}, 0.8},
	// TestBrittleReplicasDoNotFallUnderRejections (internal/soak) beside other work.
	{"plain, 8 daemons, a busy machine", brittleLoad{daemons: 8, replicas: 4, slots: 6, limit: 1, load: 0.9, takes: ms(160), late: ms(40)}, 0.7},
	{"single, 12 daemons, a busy machine", brittleLoad{daemons: 12, replicas: 40, slots: 4, limit: 1, load: 0.9, takes: ms(400), single: true, late: ms(40)}, 0.7},
	{"single, 8 daemons", brittleLoad{daemons: 8, replicas: 40, slots: 2, limit: 1, load: 0.6, takes: ms(160), single: true}, 0.97},
	{"single, 34 daemons", brittleLoad{daemons: 34, replicas: 40, slots: 2, limit: 1, load: 0.9, takes: ms(160), single: true}, 0.9},
	{"single, 34 daemons, too much load", brittleLoad{daemons: 34, replicas: 40, slots: 4, limit: 1, load: 1.2, takes: ms(160), single: true}, 0.7},
	{"single, 34 daemons, kills and losses", brittleLoad{daemons: 34, replicas: 40, slots: 4, limit: 2, load: 0.9, takes: ms(160), single: true, kill: 500, loss: 0.02}, 0.85},
	{"single, 73 daemons", brittleLoad{daemons: 73, replicas: 89, slots: 16, limit: 1, load: 0.9, takes: ms(400), single: true}, 0.95},
	{"single, 300 daemons", brittleLoad{daemons: 300, replicas: 400, slots: 16, limit: 1, load: 0.6, takes: ms(800), single: true, lasts: 2 * time.Second}, 0.97},
	{"single, 986 daemons", brittleLoad{daemons: 986, replicas: 1500, slots: 16, limit: 1, load: 0.45, takes: ms(800), single: true, lasts: time.Second}, 0.97},
}

// TestBrittleReplicasUnderLoad guards against brittle replicas that terminate because daemons together send more
// than their slots take, and against calls that are refused although slots are free.
func TestBrittleReplicasUnderLoad(t *testing.T) {
	for _, l := range brittleLoads {
		t.Run(l.name, func(t *testing.T) {
			w := newBrittleWorld(1, l.brittleLoad)
			served := w.play()
			perDaemon := float64(w.messages) / float64(l.daemons) / l.duration().Seconds()
			t.Logf("%d falls, %d rejected, %.3f of %d calls served, %d refused with free slots, %.1f messages a daemon and second",
				w.falls, w.rejected, served, w.begun, w.idleRefusals, perDaemon)
			if most := 2 + l.replicas/10; w.falls > most {
				t.Errorf("%d falls, %d are allowed", w.falls, most)
			}
			if served < l.served {
				t.Errorf("%.3f of the calls were served, want %.2f", served, l.served)
			}
		})
	}
}

// cutLoads are loads of fleets of which a failure domain is cut off for some seconds.
var cutLoads = []struct {
	name string
	brittleLoad
}{
	{"plain", brittleLoad{daemons: 6, replicas: 3, slots: 6, limit: 3, load: 0.9, takes: ms(160), cut: cutTime, lasts: cutLasts}},
	{"plain, limit 2", brittleLoad{daemons: 6, replicas: 3, slots: 6, limit: 2, load: 0.9, takes: ms(160), cut: cutTime, lasts: cutLasts}},
	{"single", brittleLoad{daemons: 6, replicas: 3, slots: 6, limit: 3, load: 0.9, takes: ms(160), single: true, cut: cutTime, lasts: cutLasts}},
	{"single, too much load", brittleLoad{daemons: 6, replicas: 3, slots: 6, limit: 4, load: 1.2, takes: ms(160), single: true, cut: cutTime, lasts: cutLasts}},
	// hingesoak --crowded --brittle, seeds 7 and 6: the queues are cut while the fleet has been cut for a while.
	{"single, cut in the warning", brittleLoad{daemons: 6, replicas: 3, slots: 6, limit: 3, load: 0.9, takes: ms(160), single: true, cut: 6 * time.Second, queuesFor: settleFor + cutAt + 2500*time.Millisecond, lasts: cutLasts}},
	{"single, many replicas, cut in the warning, a busy machine", brittleLoad{daemons: 5, replicas: 19, slots: 2, limit: 4, load: 1.1, takes: ms(160), single: true, cut: 6 * time.Second, queuesFor: settleFor + cutAt + 2500*time.Millisecond, late: ms(40), lasts: cutLasts}},
	{"single, many replicas", brittleLoad{daemons: 12, replicas: 40, slots: 2, limit: 2, load: 0.9, takes: ms(160), single: true, cut: cutTime, lasts: cutLasts}},
}

const (
	cutTime  = 3 * time.Second
	cutLasts = 9 * time.Second
)

// TestBrittleReplicasOfACutFleet guards against brittle replicas that terminate again and again because the
// coordinator on each side of a cut grants all places, from the begin of the cut or when a replica is back. At
// least half of the calls for which the slots have room are served.
func TestBrittleReplicasOfACutFleet(t *testing.T) {
	const seeds = 6
	for _, l := range cutLoads {
		t.Run(l.name, func(t *testing.T) {
			served, begun, falls, rejected, most := 0, 0, 0, 0, 2+l.replicas/10
			for seed := range uint64(seeds) {
				w := newBrittleWorld(seed, l.brittleLoad)
				w.play()
				served, begun, falls, rejected = served+w.served, begun+w.begun, falls+w.falls, rejected+w.rejected
				if w.falls > most {
					t.Errorf("seed %d: %d falls, %d are allowed", seed, w.falls, most)
				}
			}
			share, room := float64(served)/float64(begun), min(1, 1/l.load)
			t.Logf("%d falls in %d seeds, %d rejected, %.3f of %d calls served", falls, seeds, rejected, share, begun)
			if share < room/2 {
				t.Errorf("%.3f of the calls were served, there was room for %.3f", share, room)
			}
		})
	}
}
