package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
)

// Regression test: with 87 daemons and 112 replicas, over 3 in 100 requests of five seconds
// without faults reached a replica with more than twice its service's mean plus 3 requests in
// flight.
//
// Many requests were about one subject, so a few prompts were requested a dozen times a second,
// each request taking about a second, while a short prompt has two homes and a long one has one.
// A daemon of a large fleet knows a third of the loads, up to 4 s old, and compares that part
// with a bound in whole requests; nothing took into account how often a prompt is requested.
//
// Of the 137 requests over the bound, 134 were below it by their daemon's estimate, 98 of them at
// three homes; the loads that replicas report agree with that (metric load_missed). 8 daemons,
// which know all loads, keep to the bound with the same traffic. Commit 439b2e6 fails this test,
// and also fails with real processes, with short and with long prompts; 8c2ddb9, which had four
// homes for a short prompt, fails with long ones only.
func TestLoadBoundWithHotSubject(t *testing.T) {
	for _, c := range []struct {
		name              string
		daemons, replicas int
		domains           int
		traffic           []requestKind
	}{
		{"8 daemons, hot replies", 8, 18, 3, scaled(16.0/112, hotReplies)},
		{"87 daemons, no hot subject", 87, 112, 4, withoutHotSubject(hotReplies)},
		{"87 daemons, hot replies", 87, 112, 4, hotReplies},
		{"87 daemons, hot reviews", 87, 112, 4, hotReviews},
		{"87 daemons, hot replies, twice as many requests", 87, 112, 4, scaled(2, hotReplies)},
		{"295 daemons, no hot subject", 295, 153, 6, scaled(153.0/112, withoutHotSubject(hotReplies))},
		{"295 daemons, hot replies", 295, 153, 6, scaled(153.0/112, hotReplies)},
		{"295 daemons, hot reviews", 295, 153, 6, scaled(153.0/112, hotReviews)},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				RegisterTestingT(t)
				w := newFleetSim(c.daemons, c.replicas, c.domains, seed)
				w.run(4*time.Second, withoutHotSubject(c.traffic))
				w.run(12*time.Second, c.traffic)
				n := float64(len(w.sends))
				t.Logf("worst five seconds: %.2f%% over the bound; tokens per request: %.0f copied, %.0f read again; estimated mean %.2f, true mean %.2f; %.1f reports sent per second and daemon",
					100*w.worstShare(), float64(w.copied)/n, float64(w.readAgain)/n, w.estimatedMean/n, w.trueMean/n, float64(w.reports)/w.now.Sub(epoch).Seconds()/float64(c.daemons))
				if share := w.worstShare(); share > allowedOver {
					t.Errorf("%.2f%% of the requests of five seconds reached a replica over the bound, want at most %.0f%%", 100*share, 100*allowedOver)
				}
			})
		}
	}
}

// Regression test: with 8 daemons and 7 replicas, in one of four soak runs with the same seed,
// 3.4% of the requests of five seconds without faults reached a replica with more than twice the
// mean plus 3 requests in flight.
//
// The requests are about some 7 topics and take .15 s. An overloaded replica was avoided for .8 s,
// although its requests were done after .2 s. The requests that it would have got overloaded the
// next replicas, one after another. The time to avoid an overloaded replica had been chosen for
// fleets in which a daemon knows a third of the loads and requests take a second; in a small
// fleet all loads are known after .2 s.
//
// In virtual time the worst share rises if overloaded replicas are detected sooner (to 8.9%),
// and falls if they are avoided for .3 s.
func TestLoadBoundInSmallFleet(t *testing.T) {
	const daemons, replicas, domains = 8, 7, 2
	for _, work := range []time.Duration{80 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		for seed := range uint64(6) {
			RegisterTestingT(t)
			w := newFleetSim(daemons, replicas, domains, seed)
			w.run(18*time.Second, []requestKind{{name: "topic", perSecond: 160, tokens: 900, work: work, prompts: 7}})
			if share := w.worstShare(); share > allowedOver {
				t.Errorf("work of %v, seed %d: %.2f%% of the requests of five seconds reached a replica over the bound, want at most %.0f%%", work, seed, 100*share, 100*allowedOver)
			}
		}
	}
}

// The service level that callers are promised: of the requests of boundWindow, at most allowedOver
// reach a replica with more than boundFactor times the mean plus boundSlack requests in flight.
const (
	boundFactor = 2
	boundSlack  = 3
	allowedOver = 0.03
	boundWindow = 5 * time.Second
)

// requestKind is one kind of request in a fleet's traffic. The figures are those of the day on
// which the fault was traced.
type requestKind struct {
	name      string
	perSecond float64
	tokens    routing.Tokens // shared by the requests with one prompt
	work      time.Duration  // mean processing time at a replica
	prompts   int            // requested equally often
	// hot are the prompts that are requested more often, each with its share of the requests.
	hot []float64
}

// hotSubject is the distribution of one subject's prompts among the requests of their kind.
var hotSubject = []float64{.118, .087, .052, .041, .040, .035, .031, .022, .021, .019, .016, .016}

var (
	replies  = requestKind{name: "reply", perSecond: 100, tokens: 700, work: 1030 * time.Millisecond, prompts: 400}
	reviews  = requestKind{name: "review", perSecond: 112, tokens: 10_500, work: 1390 * time.Millisecond, prompts: 500}
	listings = requestKind{name: "listing", perSecond: 245, tokens: 2041, work: 100 * time.Millisecond, prompts: 1400}

	hotReplies = []requestKind{replies.about(hotSubject), reviews, listings}
	hotReviews = []requestKind{replies, reviews.about(hotSubject), listings}
)

func (k requestKind) about(subject []float64) requestKind {
	k.hot = subject
	return k
}

// withoutHotSubject returns the same traffic without a hot subject.
func withoutHotSubject(traffic []requestKind) []requestKind {
	out := slices.Clone(traffic)
	for i := range out {
		out[i].hot = nil
	}
	return out
}

// scaled returns the same traffic at a rate for a fleet of another size.
func scaled(by float64, traffic []requestKind) []requestKind {
	out := slices.Clone(traffic)
	for i := range out {
		out[i].perSecond *= by
	}
	return out
}

// draw returns the number of the prompt of a random request: the hot prompts come first.
func (k *requestKind) draw(rng *rand.Rand) int {
	at := rng.Float64()
	for i, share := range k.hot {
		if at -= share; at < 0 {
			return i
		}
	}
	return rng.IntN(k.prompts)
}

// fleetSim simulates a fleet in virtual time: daemons that place requests and exchange
// heartbeats like the real daemon, and replicas whose loads are known exactly.
type fleetSim struct {
	rng      *rand.Rand
	now      time.Time
	step     int
	domains  int
	daemons  []*simDaemon
	inFlight map[routing.ReplicaID]int
	total    int
	open     []openSend
	sends    []send
	requests int
	reports  int

	// holders are the replicas that have read a prompt; nothing is evicted.
	holders map[string]map[routing.ReplicaID]bool
	// copied counts the tokens that a replica copied from another one, and readAgain those that
	// it read although another one holds them.
	copied, readAgain       routing.Tokens
	estimatedMean, trueMean float64 // sums over sends
}

type simDaemon struct {
	routing.Placer
	domain int
	view   *routing.View
}

// openSend is a request in flight at a replica.
type openSend struct {
	daemon int
	target routing.Replica
	until  time.Time
}

// send is a request that was sent, and whether its replica was over the bound.
type send struct {
	at   time.Time
	over bool
}

// fleetStep is the time step of the simulation.
const fleetStep = 10 * time.Millisecond

func newFleetSim(daemons, replicas, domains int, seed uint64) *fleetSim {
	w := &fleetSim{rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, domains: domains, inFlight: make(map[routing.ReplicaID]int), holders: make(map[string]map[routing.ReplicaID]bool)}
	pool := &routing.Pool{}
	for i := range replicas {
		pool.Ready = append(pool.Ready, routing.NewReplica(routing.Replica{
			ID: routing.ReplicaID(fmt.Sprintf("i-%d-%d", seed, i)), Service: "llm", Domain: simDomain(i % domains), Slots: 12, Address: "10.0.0.1:1",
		}))
	}
	pool.Sort()
	shared := table([]routing.Route{{Name: "r", Host: "h", Prefix: "/", Shares: shares("llm")}})
	for i := range daemons {
		d := &simDaemon{domain: i % domains}
		d.Placer = routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth(), Cache: routing.NewCacheTable(), Overloads: routing.NewOverloads()}
		d.view = &routing.View{
			Table: shared, Pools: map[routing.ServiceName]*routing.Pool{"llm": pool}, Domain: simDomain(d.domain),
			Daemons: daemons, LargeFleet: w.large(daemons),
		}
		w.daemons = append(w.daemons, d)
	}
	return w
}

func simDomain(i int) state.FailureDomain { return state.FailureDomain("z" + strconv.Itoa(i)) }

func (w *fleetSim) large(daemons int) bool { return daemons > membership.FullMeshSize }

func (w *fleetSim) run(d time.Duration, traffic []requestKind) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(fleetStep) {
		w.endRequests()
		for i := range traffic {
			k := &traffic[i]
			for range w.count(k.perSecond * fleetStep.Seconds()) {
				w.begin(k)
			}
		}
		for i := range w.daemons {
			w.heartbeat(i)
			w.forwardOverloads(i)
		}
		w.step++
	}
}

// count returns a random whole number with the given small mean.
func (w *fleetSim) count(mean float64) int {
	n := 0
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		n++
	}
	return n
}

func (w *fleetSim) endRequests() {
	w.open = slices.DeleteFunc(w.open, func(o openSend) bool {
		over := !w.now.Before(o.until)
		if over {
			w.inFlight[o.target.ID]--
			w.total--
			w.daemons[o.daemon].Loads.End(o.target.LoadKey())
		}
		return over
	})
}

func (w *fleetSim) begin(k *requestKind) {
	from := w.rng.IntN(len(w.daemons))
	d := w.daemons[from]
	w.requests++
	r := &routing.Request{
		ID: routing.RequestID(strconv.Itoa(w.requests)), Service: "llm", Model: "m",
		Prompt: []routing.PromptPart{{ID: k.name + strconv.Itoa(k.draw(w.rng)), Tokens: k.tokens}, {ID: "own" + strconv.Itoa(w.requests), Tokens: 100}},
	}
	t, ok := d.Choose(d.view, r, routing.Tried{}, w.now)
	Expect(ok).To(BeTrue())
	mean := float64(w.total) / float64(len(d.view.Pool("llm").Ready))
	w.sends = append(w.sends, send{at: w.now, over: float64(w.inFlight[t.Replica.ID]) > boundFactor*mean+boundSlack})
	w.estimatedMean += t.Mean
	w.trueMean += mean
	w.read(r.Prompt[0].ID, k.tokens, &t)
	d.ReportLoad(r, &t, w.inFlight[t.Replica.ID], w.now)
	w.inFlight[t.Replica.ID]++
	w.total++
	d.Loads.Begin(t.Replica.LoadKey())
	d.RecordRead(r, &t, w.now)
	work := time.Duration((0.5 + w.rng.Float64()) * float64(k.work))
	w.open = append(w.open, openSend{daemon: from, target: t.Replica, until: w.now.Add(work)})
}

// read records how the target obtains the shared part of a prompt.
func (w *fleetSim) read(prompt string, tokens routing.Tokens, t *routing.Target) {
	holders := w.holders[prompt]
	if holders == nil {
		holders = make(map[routing.ReplicaID]bool)
		w.holders[prompt] = holders
	}
	switch {
	case holders[t.Replica.ID] || len(holders) == 0:
	case holders[t.Source.ID]:
		w.copied += tokens
	default:
		w.readAgain += tokens
	}
	holders[t.Replica.ID] = true
}

// The daemon's heartbeat settings; membership/targets.go has the rule for their targets.
const (
	smallInterval = 200 * time.Millisecond
	largeInterval = 400 * time.Millisecond
	nearTargets   = 4
	farTargets    = 1
	locations     = 20
	// Reports of overloaded replicas are forwarded soon after they arrive.
	overloadsInterval   = 50 * time.Millisecond
	overloadsPerMessage = 60
)

// heartbeat sends a daemon's load counts and cache locations if its turn has come.
func (w *fleetSim) heartbeat(from int) {
	large := w.large(len(w.daemons))
	interval, age := smallInterval, routing.PeerLoadAge
	if large {
		interval, age = largeInterval, routing.PeerLoadAgeLarge
	}
	steps := int(interval / fleetStep)
	if w.step%steps != from%steps {
		return
	}
	d := w.daemons[from]
	counts, announced := d.Loads.LocalCounts(), d.Cache.TakePending(locations)
	for _, to := range w.targets(from) {
		w.daemons[to].Loads.Observe(routing.PeerID(strconv.Itoa(from)), counts, w.now, age)
		w.daemons[to].Cache.Observe(announced, large, w.now)
	}
}

// forwardOverloads forwards reports of overloaded replicas.
func (w *fleetSim) forwardOverloads(from int) {
	const steps = int(overloadsInterval / fleetStep)
	if w.step%steps != from%steps {
		return
	}
	reports := w.daemons[from].Overloads.TakeReports(overloadsPerMessage, w.now)
	if len(reports) == 0 {
		return
	}
	for _, to := range w.targets(from) {
		w.reports += len(reports)
		w.daemons[to].Overloads.Observe(reports, w.now)
	}
}

func (w *fleetSim) targets(from int) []int {
	var near, far []int
	for _, i := range w.rng.Perm(len(w.daemons)) {
		switch {
		case i == from:
		case w.daemons[i].domain == w.daemons[from].domain:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	if !w.large(len(w.daemons)) {
		return append(near, far...)
	}
	return append(near[:min(nearTargets, len(near))], far[:farTargets]...)
}

// worstShare returns the greatest share of requests over the bound in any period of boundWindow.
func (w *fleetSim) worstShare() float64 {
	worst, over, first := 0.0, 0, 0
	for i := range w.sends {
		if w.sends[i].over {
			over++
		}
		for w.sends[i].at.Sub(w.sends[first].at) >= boundWindow {
			if w.sends[first].over {
				over--
			}
			first++
		}
		if w.sends[i].at.Sub(epoch) >= boundWindow {
			worst = max(worst, float64(over)/float64(i-first+1))
		}
	}
	return worst
}
