// This file measures instead of breaking: an open loop of requests at a rate, with
// subjects that return, before real daemons without faults.

package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadShape says what is sent. Requests go out at their time whether earlier ones
// have been answered or not.
type LoadShape struct {
	Daemons   int           `json:"daemons"`
	Domains   int           `json:"domains"`
	Gate      int           `json:"gate_replicas"`
	Chat      int           `json:"chat_replicas"`
	Rate      float64       `json:"requests_a_second"`
	ChatShare float64       `json:"share_of_chats"` // the rest are plain requests
	Subjects  int           `json:"subjects"`       // of chats
	Skew      float64       `json:"skew"`           // exponent of the subjects' popularity; 0: all alike
	For       time.Duration `json:"for_ns"`
	Seed      uint64        `json:"seed"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// RouteFigures are the figures of one route.
type RouteFigures struct {
	Route    string    `json:"route"`
	Requests int       `json:"requests"`
	Served   int       `json:"served"`
	First    Quantiles `json:"first_ms"` // until the first part of the answer
	Total    Quantiles `json:"total_ms"`
}

// SecondFigures are the figures of the requests sent within one second.
type SecondFigures struct {
	Second   int       `json:"second"`
	Requests int       `json:"requests"`
	Served   int       `json:"served"`
	First    Quantiles `json:"first_ms"`
}

// LoadReport is the outcome of a measurement.
type LoadReport struct {
	Shape   LoadShape       `json:"shape"`
	Routes  []RouteFigures  `json:"routes"`
	Seconds []SecondFigures `json:"seconds"`
	// Reuse is the share of chats whose replica had run their subject before, of
	// those whose subject had been run anywhere before.
	Reuse float64 `json:"reuse"`
	// ChatSkew is the greatest number of chats at one replica over the mean.
	ChatSkew float64 `json:"chat_skew"`
}

// Bounds of the histograms, in microseconds.
const (
	leastLatency   = 1
	mostLatency    = 60_000_000
	latencyFigures = 3
)

// stopwatch collects latencies.
type stopwatch struct{ *hdrhistogram.Histogram }

func newStopwatch() stopwatch {
	return stopwatch{hdrhistogram.New(leastLatency, mostLatency, latencyFigures)}
}

func (w stopwatch) add(d time.Duration) {
	_ = w.RecordValue(min(mostLatency, max(leastLatency, d.Microseconds())))
}

func (w stopwatch) quantiles() Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{P50: ms(w.ValueAtQuantile(50)), P90: ms(w.ValueAtQuantile(90)), P99: ms(w.ValueAtQuantile(99)), Max: ms(w.Max())}
}

// Measure starts daemons, sends the load and returns the figures.
func Measure(ctx context.Context, shape LoadShape, o Options) (*LoadReport, error) {
	plan := &Plan{Seed: shape.Seed, Daemons: shape.Daemons, Domains: min(shape.Domains, shape.Daemons), Gate: shape.Gate, Chat: shape.Chat, Steady: true}
	var report *LoadReport
	err := withSite(ctx, plan, o, func(ctx context.Context, r *runner) error {
		l := &loader{shape: shape, site: r.site, rng: rand.New(rand.NewPCG(shape.Seed, 2))}
		l.weigh()
		l.run(ctx)
		report = r.site.ledger.figures(shape)
		return ctx.Err()
	})
	return report, err
}

// loader sends the load.
type loader struct {
	shape LoadShape
	site  *site
	rng   *rand.Rand
	// popularity is the sum of the subjects' weights up to each.
	popularity []float64

	mu      sync.Mutex
	resting []*caller
	callers int
}

func (l *loader) weigh() {
	sum := 0.0
	for i := range max(1, l.shape.Subjects) {
		sum += 1 / math.Pow(float64(i+1), l.shape.Skew)
		l.popularity = append(l.popularity, sum)
	}
}

func (l *loader) run(ctx context.Context) {
	var wg sync.WaitGroup
	next, end := time.Now(), time.Now().Add(l.shape.For)
	for n := 0; next.Before(end) && ctx.Err() == nil; n++ {
		pause(ctx, time.Until(next))
		route, subject := l.draw()
		wg.Go(func() { l.send(n, route, subject) })
		next = next.Add(time.Duration(l.rng.ExpFloat64() / l.shape.Rate * float64(time.Second)))
	}
	wg.Wait()
	for _, c := range l.resting {
		c.hangUp()
	}
}

func (l *loader) draw() (*Route, int) {
	plain, chats := routes[:2], routes[2:]
	if l.rng.Float64() >= l.shape.ChatShare {
		return plain[l.rng.IntN(len(plain))], 0
	}
	at := l.rng.Float64() * l.popularity[len(l.popularity)-1]
	subject, _ := slices.BinarySearch(l.popularity, at)
	return chats[l.rng.IntN(len(chats))], subject
}

// send sends one request on a connection that rests, or on a new one.
func (l *loader) send(n int, route *Route, subject int) {
	c := l.take()
	if !c.connected() && !c.connect() {
		return
	}
	q := Request{
		ID: "l" + itoa(n), Route: route, Target: route.Prefix + itoa(subject), Key: "first-" + itoa(n%6),
		Daemon: c.daemon, Life: c.life, Subject: subject,
	}
	if route.Method == "POST" {
		q.Body = "body"
	}
	c.send(&q)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resting = append(l.resting, c)
}

func (l *loader) take() *caller {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.resting); n > 0 {
		c := l.resting[n-1]
		l.resting = l.resting[:n-1]
		return c
	}
	l.callers++
	return &caller{site: l.site, number: l.callers, patient: true}
}

// figures sums up what the ledger holds.
func (l *Ledger) figures(shape LoadShape) *LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := &LoadReport{Shape: shape}
	for _, route := range routes {
		if f := l.routeFigures(route); f.Requests > 0 {
			report.Routes = append(report.Routes, f)
		}
	}
	report.Seconds = l.secondFigures()
	report.Reuse, report.ChatSkew = l.placementFigures()
	return report
}

func (r *record) served() bool {
	return r.answer != nil && r.answer.Whole && r.answer.Status/100 == 2
}

func (l *Ledger) routeFigures(route *Route) RouteFigures {
	f := RouteFigures{Route: route.Name}
	first, total := newStopwatch(), newStopwatch()
	for _, r := range l.order {
		if r.Route != route {
			continue
		}
		f.Requests++
		if r.served() {
			f.Served++
			first.add(r.answer.First.Sub(r.Sent))
			total.add(r.answer.At.Sub(r.Sent))
		}
	}
	f.First, f.Total = first.quantiles(), total.quantiles()
	return f
}

func (l *Ledger) secondFigures() []SecondFigures {
	var out []SecondFigures
	var watches []stopwatch
	for _, r := range l.order {
		second := int(r.Sent.Sub(l.order[0].Sent) / time.Second)
		for len(out) <= second {
			out = append(out, SecondFigures{Second: len(out)})
			watches = append(watches, newStopwatch())
		}
		out[second].Requests++
		if r.served() {
			out[second].Served++
			watches[second].add(r.answer.First.Sub(r.Sent))
		}
	}
	for i := range out {
		out[i].First = watches[i].quantiles()
	}
	return out
}

// placementFigures returns the reuse of chats and the skew of their replicas.
func (l *Ledger) placementFigures() (reuse, skew float64) {
	type held struct {
		replica string
		subject int
	}
	var runs []*record
	for _, r := range l.order {
		if r.known && r.Route.Stream && len(r.runs) > 0 {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *record) int { return a.runs[0].At.Compare(b.runs[0].At) })
	holds, seen, count := make(map[held]bool), make(map[int]bool), make(map[string]int)
	again, reused, most := 0, 0, 0
	for _, r := range runs {
		replica := r.runs[0].Replica
		if seen[r.Subject] {
			again++
			if holds[held{replica, r.Subject}] {
				reused++
			}
		}
		seen[r.Subject], holds[held{replica, r.Subject}] = true, true
		count[replica]++
		most = max(most, count[replica])
	}
	if len(count) == 0 {
		return 0, 0
	}
	return share(reused, again), float64(most) * float64(len(count)) / float64(len(runs))
}
