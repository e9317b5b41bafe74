// This file plays the engines: prefix cache, continuous batching, lagged load.

package experiment

import (
	"container/list"
	"math"
	"time"

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

type request struct {
	chat            *chat
	prefill, decode float64
	begun           int
	answered        bool
}

type engine struct {
	n       int
	id      string
	alive   bool
	running []*request
	cache   map[int]*list.Element // chat → tokens
	order   *list.List
	used    int
	past    []float64 // load of the last steps, newest last
	gate    state.Gate
	smooth  float64
	known   float64 // load as its watcher last heard it
}

type cachedChat struct{ chat, tokens int }

// load is the outstanding work in requests of average cost.
func (e *engine) load() float64 {
	sum := 0.0
	for _, r := range e.running {
		sum += 0.5*r.prefill/averagePrefill + 0.5*r.decode/averageDecode + 0.2
	}
	return sum
}

// advance lets an engine work for one step.
func (x *Experiment) advance(e *engine) {
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

func (x *Experiment) finish(e *engine, r *request) {
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

func (e *engine) store(c *chat) {
	if el := e.cache[c.id]; el != nil {
		e.used += c.context - el.Value.(*cachedChat).tokens
		el.Value.(*cachedChat).tokens = c.context
		e.order.MoveToFront(el)
	} else {
		e.cache[c.id] = e.order.PushFront(&cachedChat{c.id, c.context})
		e.used += c.context
	}
	for e.used > cacheTokens {
		el := e.order.Back()
		item := el.Value.(*cachedChat)
		e.order.Remove(el)
		delete(e.cache, item.chat)
		e.used -= item.tokens
	}
}
