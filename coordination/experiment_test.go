package coordination_test

// This file holds the experiment that weighs ways of placement: routers with
// lagged tables before engines with a limited prefix cache and continuous
// batching, in virtual time with fixed seeds. Engines and callers are fakes;
// the product's way runs the product's decisions.

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// The fake engine. Times are in steps, work in tokens.
const (
	stepTime       = 50 * time.Millisecond
	prefillRate    = 20_000 * 0.05 // tokens a step, shared by the batch
	decodeRate     = 30 * 0.05     // tokens a step, for each request
	decodeBatch    = 40            // requests that decode at full speed
	cacheTokens    = 400_000
	averagePrefill = 800.0
	averageDecode  = 150.0
	reportSteps    = 40 // between reports
	reportLag      = 20 // steps until a report says what was
	reportLoss     = 0.1
	thinkSteps     = 600 // mean pause of a chat
	chatsPerEngine = 130
	chatTurns      = 8
	firstTokens    = 1500
	warmSteps      = 1200
	runSteps       = 4800
	reportBytes    = 34
	probeBytes     = 300
)

type placeWay string

const (
	placeHash    placeWay = "hash"    // rendezvous hashing, no bound
	placeLeast   placeWay = "least"   // least load by the table and own sendings
	placeTwo     placeWay = "two"     // two random choices by the same
	placeBounded placeWay = "bounded" // first in rendezvous order below the bound by the table
	placeProbe   placeWay = "probe"   // asks the two first in rendezvous order, takes the first below the bound
	placeFast    placeWay = "fast"    // a gate moved by each report as it comes
	placeGate    placeWay = "gate"    // the product: a gate moved by the mean load of some seconds
)

type scene struct {
	name                                                   string
	churn, flap, surge, differ, split, frozen, slow, lossy bool
}

var scenes = []scene{
	{name: "steady"},
	{name: "churn", churn: true},
	{name: "flap", flap: true},
	{name: "surge", surge: true},
	{name: "slow", slow: true},
	{name: "differ", churn: true, differ: true},
	{name: "split", split: true},
	{name: "frozen", frozen: true},
	{name: "all", churn: true, flap: true, surge: true, differ: true, split: true, frozen: true, slow: true, lossy: true},
}

type expRequest struct {
	chat            *expChat
	prefill, decode float64
	begun           int
	answered        bool
}

type expEngine struct {
	n       int
	id      string
	alive   bool
	running []*expRequest
	cache   map[int]*list.Element // chat → tokens
	order   *list.List
	used    int
	past    []float64 // load of the last steps, newest last
	gate    state.Gate
	smooth  float64
}

type expCached struct{ chat, tokens int }

type expChat struct {
	id, turns, context int
	key                state.ChatKey
	wake               int
	surging            bool
}

// expRouter has a table of its own; entry i is about engine slot i.
type expRouter struct {
	pool   state.Pool
	loads  []float64
	own    []float64 // sent since the last report
	ids    []string
	frozen int // until this step
	cut    int
}

type expNews struct {
	at, router, engine int
	id                 string
	alive              bool
	load               float64
	gate               state.Gate
}

type experiment struct {
	rng     *rand.Rand
	way     placeWay
	scene   scene
	step    int
	engines []*expEngine
	routers []*expRouter
	chats   []*expChat
	news    map[int][]expNews
	lives   int
	known   []float64 // loads as the watchers know them

	reused, reusable float64
	ratios           []float64
	maxSum           float64
	over, samples    int
	overRun, worst   int
	waits            []float64
	bytes            float64
}

func newExperiment(w placeWay, s scene, routers, engines int) *experiment {
	x := &experiment{rng: rand.New(rand.NewPCG(uint64(routers), uint64(engines))), way: w, scene: s, news: map[int][]expNews{}, known: make([]float64, engines)}
	for i := range engines {
		x.engines = append(x.engines, &expEngine{n: i, past: make([]float64, reportLag+1)})
		x.replace(x.engines[i])
	}
	for range routers {
		r := &expRouter{loads: make([]float64, engines), own: make([]float64, engines), ids: make([]string, engines)}
		for i := range engines {
			r.learn(expNews{engine: i, id: x.engines[i].id, alive: true, gate: state.GateFull})
		}
		r.rebuild()
		x.routers = append(x.routers, r)
	}
	for range engines * chatsPerEngine {
		c := &expChat{}
		x.renew(c)
		c.turns, c.context = x.rng.IntN(chatTurns), firstTokens+x.rng.IntN(1500)
		x.chats = append(x.chats, c)
	}
	return x
}

// replace gives an engine slot a new VM with an empty cache.
func (x *experiment) replace(e *expEngine) {
	x.lives++
	e.id, e.alive, e.running, e.gate = fmt.Sprintf("e%d.%d", e.n, x.lives), true, nil, state.GateFull
	e.cache, e.order, e.used = map[int]*list.Element{}, list.New(), 0
}

func (x *experiment) renew(c *expChat) {
	x.lives++
	c.id, c.turns, c.context = x.lives, 0, firstTokens
	c.key = state.ChatKey(coordination.Hash(fmt.Sprint("chat", c.id)))
	c.surging = x.rng.IntN(10) == 0
	c.wake = x.step + x.pause(c)
}

func (x *experiment) pause(c *expChat) int {
	mean := float64(thinkSteps)
	if x.scene.surge && c.surging && x.inFault() {
		mean /= 10
	}
	return 1 + int(x.rng.ExpFloat64()*mean)
}

// inFault tells whether the scene's fault is on: the middle third of the run.
func (x *experiment) inFault() bool {
	return x.step > warmSteps+runSteps/3 && x.step < warmSteps+2*runSteps/3
}

func (r *expRouter) learn(n expNews) {
	if r.ids[n.engine] != n.id {
		r.loads[n.engine], r.own[n.engine] = 0, 0
	}
	r.ids[n.engine] = n.id
	r.loads[n.engine], r.own[n.engine] = n.load, 0
	for i := range r.pool.Candidates {
		c := &r.pool.Candidates[i]
		if c.Load == state.Load(n.engine) {
			c.ID, c.Hash, c.Gate = state.UpstreamID(n.id), coordination.Hash(n.id), n.gate
			if !n.alive {
				r.pool.Candidates = append(r.pool.Candidates[:i], r.pool.Candidates[i+1:]...)
			}
			return
		}
	}
	if n.alive {
		r.pool.Candidates = append(r.pool.Candidates, state.Candidate{ID: state.UpstreamID(n.id), Hash: coordination.Hash(n.id), Gate: n.gate, Load: state.Load(n.engine)})
	}
}

func (r *expRouter) rebuild() {
	sort.Slice(r.pool.Candidates, func(i, j int) bool { return r.pool.Candidates[i].Load < r.pool.Candidates[j].Load })
}

// choose returns an engine slot. A candidate's Load field carries the slot.
func (x *experiment) choose(r *expRouter, key state.ChatKey, avoid []state.UpstreamID) (int, bool) {
	cs := r.pool.Candidates
	if len(cs) == 0 {
		return 0, false
	}
	if x.way == placeHash || x.way == placeGate || x.way == placeFast {
		c, ok := coordination.Choose(&r.pool, key, avoid)
		if !ok {
			return 0, false
		}
		return int(c.Load), true
	}
	seen := func(i int) float64 { return r.loads[i] + r.own[i] }
	switch x.way {
	case placeLeast:
		best := int(cs[0].Load)
		for _, c := range cs {
			if seen(int(c.Load)) < seen(best) {
				best = int(c.Load)
			}
		}
		return best, true
	case placeTwo:
		a, b := int(cs[x.rng.IntN(len(cs))].Load), int(cs[x.rng.IntN(len(cs))].Load)
		if seen(b) < seen(a) {
			a = b
		}
		return a, true
	}
	return x.chooseRanked(r, key, seen)
}

// chooseRanked walks the rendezvous order: by the table, or by probes.
func (x *experiment) chooseRanked(r *expRouter, key state.ChatKey, seen func(int) float64) (int, bool) {
	mean := 0.0
	for _, c := range r.pool.Candidates {
		mean += seen(int(c.Load)) / float64(len(r.pool.Candidates))
	}
	limit := math.Max(state.DefaultBound*mean, 2)
	var avoid []state.UpstreamID
	first := -1
	for range 6 {
		c, ok := coordination.Choose(&r.pool, key, avoid)
		if !ok {
			break
		}
		i := int(c.Load)
		load := seen(i)
		if x.way == placeProbe {
			x.bytes += probeBytes
			load = x.engines[i].past[0]
		}
		if load < limit {
			return i, true
		}
		if first < 0 || (x.way == placeProbe && load < x.engines[first].past[0]) {
			first = i
		}
		avoid = append(avoid, c.ID)
		if x.way != placeBounded && len(avoid) == 2 {
			break
		}
	}
	return first, first >= 0
}

// load is the outstanding work in requests of average cost.
func (e *expEngine) load() float64 {
	sum := 0.0
	for _, r := range e.running {
		sum += 0.5*r.prefill/averagePrefill + 0.5*r.decode/averageDecode + 0.2
	}
	return sum
}

func (x *experiment) send(c *expChat) {
	r := x.routers[x.rng.IntN(len(x.routers))]
	var avoid []state.UpstreamID
	for range 3 {
		i, ok := x.choose(r, c.key, avoid)
		if !ok {
			break
		}
		e := x.engines[i]
		if !e.alive || e.id != r.ids[i] {
			// Refused or gone: the router notices and tries the next.
			avoid = append(avoid, state.UpstreamID(r.ids[i]))
			r.own[i] += 1000
			continue
		}
		r.own[i]++
		x.begin(e, c)
		return
	}
	c.wake = x.step + 20
}

func (x *experiment) begin(e *expEngine, c *expChat) {
	hit := 0
	if el := e.cache[c.id]; el != nil {
		hit = min(el.Value.(*expCached).tokens, c.context)
		e.order.MoveToFront(el)
	}
	if c.turns > 0 && x.step > warmSteps {
		x.reusable += float64(c.context)
		x.reused += float64(hit)
	}
	ask := 100
	e.running = append(e.running, &expRequest{chat: c, prefill: float64(c.context - hit + ask), decode: x.rng.ExpFloat64()*averageDecode + 10, begun: x.step})
	c.context += ask
	c.wake = math.MaxInt
}

// advance lets an engine work for one step.
func (x *experiment) advance(e *expEngine) {
	speed := 1.0
	if x.scene.slow && x.inFault() && e.n%10 == 3 {
		speed = 0.4
	}
	budget := speed * prefillRate
	share := speed * decodeRate * math.Min(1, decodeBatch/math.Max(1, float64(len(e.running))))
	kept := e.running[:0]
	for _, r := range e.running {
		if r.prefill > 0 {
			done := math.Min(r.prefill, budget)
			r.prefill -= done
			budget -= done
			kept = append(kept, r)
			continue
		}
		if !r.answered {
			r.answered = true
			if x.step > warmSteps {
				x.waits = append(x.waits, float64(x.step-r.begun)*stepTime.Seconds())
			}
		}
		r.decode -= share
		if r.decode > 0 {
			kept = append(kept, r)
			continue
		}
		x.finish(e, r)
	}
	e.running = kept
	e.past = append(e.past[1:], e.load())
}

func (x *experiment) finish(e *expEngine, r *expRequest) {
	c := r.chat
	c.context += int(averageDecode)
	e.store(c)
	c.turns++
	if c.turns >= chatTurns {
		x.renew(c)
		return
	}
	c.wake = x.step + x.pause(c)
}

func (e *expEngine) store(c *expChat) {
	if el := e.cache[c.id]; el != nil {
		e.used += c.context - el.Value.(*expCached).tokens
		el.Value.(*expCached).tokens = c.context
		e.order.MoveToFront(el)
	} else {
		e.cache[c.id] = e.order.PushFront(&expCached{c.id, c.context})
		e.used += c.context
	}
	for e.used > cacheTokens {
		el := e.order.Back()
		item := el.Value.(*expCached)
		e.order.Remove(el)
		delete(e.cache, item.chat)
		e.used -= item.tokens
	}
}

// smoothMean is the mean of the engines' mean loads.
func (x *experiment) smoothMean() float64 {
	sum, n := 0.0, 0
	for _, e := range x.engines {
		if e.alive {
			sum += e.smooth
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// fastGate is the controller that stood here first: it follows each report.
func fastGate(g state.Gate, load, mean float64) state.Gate {
	const target, maxCut, maxRaise = 0.92, 0.6, 1.08
	floor := float64(state.GateFull) / 32
	ratio := maxRaise
	if load > 0 {
		ratio = math.Min(math.Max(state.DefaultBound*mean*target, 2)/load, maxRaise)
	}
	next := float64(g) * math.Max(ratio, maxCut)
	if ratio > 1 {
		next += floor
	}
	return state.Gate(math.Min(math.Max(next, floor), float64(state.GateFull)))
}

// report publishes an engine's lagged load, and its gate by the product's
// controller, to all routers after a delay of each.
func (x *experiment) report(e *expEngine, changed bool) {
	if !changed && (x.step+e.n)%reportSteps != 0 {
		return
	}
	loss := reportLoss
	if x.scene.lossy {
		loss = 0.4
	}
	if !changed && x.rng.Float64() < loss {
		return
	}
	x.known[e.n] = e.past[0]
	mean, n := 0.0, 0
	for i, o := range x.engines {
		if o.alive {
			mean += x.known[i]
			n++
		}
	}
	old := e.gate
	e.smooth = coordination.SmoothLoad(e.smooth, state.Load(1000*e.past[0]))
	switch x.way {
	case placeFast:
		e.gate = fastGate(e.gate, e.past[0], mean/float64(max(n, 1)))
	case placeGate:
		e.gate = coordination.NextGate(e.gate, e.smooth, x.smoothMean(), state.DefaultBound)
	}
	worth := (x.way != placeGate && x.way != placeFast) || changed || math.Abs(float64(e.gate)-float64(old)) > float64(state.GateFull/32)
	if worth {
		x.bytes += reportBytes * float64(len(x.routers))
	}
	for i := range x.routers {
		delay := 10 + x.rng.IntN(30)
		if x.scene.differ && changed {
			delay = x.rng.IntN(100)
		}
		at := x.step + delay
		x.news[at] = append(x.news[at], expNews{at, i, e.n, e.id, e.alive, e.past[0], e.gate})
	}
}

func (x *experiment) faults() {
	if x.scene.churn && x.rng.Float64() < 0.05*stepTime.Minutes()*float64(len(x.engines)) {
		e := x.engines[x.rng.IntN(len(x.engines))]
		x.lose(e)
		x.replace(e)
		x.report(e, true)
	}
	if x.scene.flap && x.inFault() && x.step%100 == 0 {
		for i := range max(1, len(x.engines)/10) {
			e := x.engines[i]
			x.lose(e)
			e.alive = !e.alive
			x.report(e, true)
		}
	}
	if x.step != warmSteps+runSteps/3+1 {
		return
	}
	for i, r := range x.routers {
		if x.scene.frozen && i%4 == 0 {
			r.frozen = x.step + 400
		}
		if x.scene.split && i%2 == 0 {
			r.cut = x.step + 600
		}
	}
}

// lose ends what an engine runs: the callers come back.
func (x *experiment) lose(e *expEngine) {
	for _, r := range e.running {
		r.chat.wake = x.step + 20
	}
	e.running = nil
}

func (x *experiment) deliver() {
	for _, n := range x.news[x.step] {
		r := x.routers[n.router]
		if x.step < r.frozen || (x.step < r.cut && n.engine%2 == 1) {
			continue
		}
		r.learn(n)
	}
	delete(x.news, x.step)
}

func (x *experiment) measure() {
	var sum, most float64
	n := 0
	for _, e := range x.engines {
		if e.alive {
			l := e.load()
			sum += l
			most = math.Max(most, l)
			n++
		}
	}
	mean := sum / float64(n)
	if mean == 0 {
		return
	}
	x.samples++
	x.maxSum += most / mean
	for _, e := range x.engines {
		if e.alive {
			x.ratios = append(x.ratios, e.load()/mean)
		}
	}
	if most > state.DefaultBound*mean+1 {
		x.over++
		x.overRun++
		x.worst = max(x.worst, x.overRun)
		return
	}
	x.overRun = 0
}

func (x *experiment) run() {
	for x.step = 1; x.step <= warmSteps+runSteps; x.step++ {
		if x.step > warmSteps {
			x.faults()
		}
		x.deliver()
		for _, c := range x.chats {
			if c.wake <= x.step {
				x.send(c)
			}
		}
		for _, e := range x.engines {
			x.advance(e)
			x.report(e, false)
		}
		if x.step > warmSteps {
			x.measure()
		}
	}
}

func (x *experiment) result(b *testing.B) {
	sort.Float64s(x.ratios)
	sort.Float64s(x.waits)
	seconds := float64(warmSteps+runSteps) * stepTime.Seconds()
	b.ReportMetric(100*x.reused/x.reusable, "%reuse")
	b.ReportMetric(x.maxSum/float64(x.samples), "max/mean")
	b.ReportMetric(x.ratios[int(0.99*float64(len(x.ratios)))], "p99/mean")
	b.ReportMetric(100*float64(x.over)/float64(x.samples), "%over")
	b.ReportMetric(float64(x.worst)*stepTime.Seconds(), "s-worst-over")
	b.ReportMetric(x.waits[int(0.99*float64(len(x.waits)))], "s-wait-p99")
	b.ReportMetric(x.bytes/seconds/float64(len(x.routers)), "B/daemon/s")
}

func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{8, 20}, {64, 400}} {
		for _, s := range scenes {
			for _, w := range []placeWay{placeHash, placeLeast, placeTwo, placeBounded, placeProbe, placeFast, placeGate} {
				b.Run(fmt.Sprintf("%dx%d/%s/%s", size.routers, size.engines, s.name, w), func(b *testing.B) {
					for range b.N {
						x := newExperiment(w, s, size.routers, size.engines)
						x.run()
						x.result(b)
					}
				})
			}
		}
	}
}
