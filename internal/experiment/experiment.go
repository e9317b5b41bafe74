// Package experiment weighs ways of placement: routers with lagged tables before
// engines with a limited prefix cache and continuous batching, in virtual time
// with fixed seeds. Engines and callers are fakes at the interface; the
// product's way runs the product's decisions.
//
// # Usage
//
//	x := experiment.New(experiment.Gate, experiment.Scenes[0], 8, 20)
//	x.Run()
//	r := x.Result()
//
// All ways and scenes run by
//
//	go test ./internal/experiment -run xxx -bench Placement/8x20 -benchtime 1x
package experiment

import (
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// Scene says which faults come in the middle third of a run; churn lasts
// throughout.
type Scene struct {
	Name                                                   string
	churn, flap, surge, differ, split, frozen, slow, lossy bool
}

// Scenes are the scenes that each way is run in.
var Scenes = []Scene{
	{Name: "steady"},
	{Name: "churn", churn: true},
	{Name: "flap", flap: true},
	{Name: "surge", surge: true},
	{Name: "slow", slow: true},
	{Name: "differ", churn: true, differ: true},
	{Name: "split", split: true},
	{Name: "frozen", frozen: true},
	{Name: "all", churn: true, flap: true, surge: true, differ: true, split: true, frozen: true, slow: true, lossy: true},
}

type chat struct {
	id, turns, context int
	key                state.ChatKey
	wake               int
	surging            bool
}

// Experiment is one way in one scene.
type Experiment struct {
	// Bound is the largest load allowed as a multiple of the mean.
	Bound float64

	rng     *rand.Rand
	way     Way
	scene   Scene
	step    int
	engines []*engine
	routers []*router
	chats   []*chat
	news    map[int][]news
	lives   int

	reused, reusable float64
	ratios           []float64
	maxSum           float64
	over, samples    int
	overRun, worst   int
	waits            []float64
	bytes            float64
}

// New returns an experiment that has not begun.
func New(w Way, s Scene, routers, engines int) *Experiment {
	x := &Experiment{Bound: state.DefaultBound, rng: rand.New(rand.NewPCG(uint64(routers), uint64(engines))), way: w, scene: s, news: map[int][]news{}}
	for i := range engines {
		x.engines = append(x.engines, &engine{n: i, past: make([]float64, reportLag+1)})
		x.replace(x.engines[i])
	}
	for range routers {
		r := &router{loads: make([]float64, engines), own: make([]float64, engines), ids: make([]string, engines)}
		for i := range engines {
			r.learn(news{engine: i, id: x.engines[i].id, alive: true, gate: state.GateFull})
		}
		r.rebuild()
		x.routers = append(x.routers, r)
	}
	for range engines * chatsPerEngine {
		c := &chat{}
		x.renew(c)
		c.turns, c.context = x.rng.IntN(chatTurns), firstTokens+x.rng.IntN(1500)
		x.chats = append(x.chats, c)
	}
	return x
}

// replace gives an engine slot a new VM with an empty cache.
func (x *Experiment) replace(e *engine) {
	x.lives++
	e.id, e.alive, e.running, e.gate = fmt.Sprintf("e%d.%d", e.n, x.lives), true, nil, state.GateFull
	e.cache, e.order, e.used = map[int]*list.Element{}, list.New(), 0
}

func (x *Experiment) renew(c *chat) {
	x.lives++
	c.id, c.turns, c.context = x.lives, 0, firstTokens
	c.key = state.ChatKey(coordination.Hash(fmt.Sprint("chat", c.id)))
	c.surging = x.rng.IntN(10) == 0
	c.wake = x.step + x.pause(c)
}

func (x *Experiment) pause(c *chat) int {
	mean := float64(thinkSteps)
	if x.scene.surge && c.surging && x.inFault() {
		mean /= 10
	}
	return 1 + int(x.rng.ExpFloat64()*mean)
}

// inFault tells whether the scene's fault is on: the middle third of the run.
func (x *Experiment) inFault() bool {
	return x.step > warmSteps+runSteps/3 && x.step < warmSteps+2*runSteps/3
}

func (x *Experiment) send(c *chat) {
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

func (x *Experiment) begin(e *engine, c *chat) {
	hit := 0
	if el := e.cache[c.id]; el != nil {
		hit = min(el.Value.(*cachedChat).tokens, c.context)
		e.order.MoveToFront(el)
	}
	if c.turns > 0 && x.step > warmSteps {
		x.reusable += float64(c.context)
		x.reused += float64(hit)
	}
	ask := 100
	e.running = append(e.running, &request{chat: c, prefill: float64(c.context - hit + ask), decode: x.rng.ExpFloat64()*averageDecode + 10, begun: x.step})
	c.context += ask
	c.wake = math.MaxInt
}

func (x *Experiment) faults() {
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
func (x *Experiment) lose(e *engine) {
	for _, r := range e.running {
		r.chat.wake = x.step + 20
	}
	e.running = nil
}

func (x *Experiment) deliver() {
	for _, n := range x.news[x.step] {
		r := x.routers[n.router]
		if x.step < r.frozen || (x.step < r.cut && n.engine%2 == 1) {
			continue
		}
		r.learn(n)
	}
	delete(x.news, x.step)
}

func (x *Experiment) measure() {
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

// Run plays the scene from its warm-up to its end.
func (x *Experiment) Run() {
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

// Result is what a run measured after its warm-up.
type Result struct {
	Reuse     float64 // cached share of the prompt tokens of returning chats
	MaxMean   float64 // greatest engine's work over the mean, averaged over time
	P99Mean   float64 // 99th percentile of an engine's work over the mean
	Over      float64 // share of time in which an engine is above the bound and one request
	WorstOver float64 // longest such time, in seconds
	WaitP99   float64 // 99th percentile of the wait for the first token, in seconds
	Bytes     float64 // of reports and probes a second for each daemon
}

// Result returns the measurements of a run.
func (x *Experiment) Result() Result {
	sort.Float64s(x.ratios)
	sort.Float64s(x.waits)
	seconds := float64(warmSteps+runSteps) * stepTime.Seconds()
	return Result{
		Reuse:     x.reused / x.reusable,
		MaxMean:   x.maxSum / float64(x.samples),
		P99Mean:   x.ratios[int(0.99*float64(len(x.ratios)))],
		Over:      float64(x.over) / float64(x.samples),
		WorstOver: float64(x.worst) * stepTime.Seconds(),
		WaitP99:   x.waits[int(0.99*float64(len(x.waits)))],
		Bytes:     x.bytes / seconds / float64(len(x.routers)),
	}
}
