// This file plays the control side of an engine: state with lagged load, cache
// events, fenced orders, export and import of KV cache.

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// load returns the load as it was about the lag ago.
func (e *Engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportAt) >= e.o.ReportLag {
		e.reported, e.reportAt = e.running.Load(), now
	}
	return int(e.reported)
}

func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait := time.NewTimer(milliseconds(r, "wait_ms"))
	defer wait.Stop()
	e.mu.Lock()
	seq, changed := e.stateSeq, e.changed
	e.mu.Unlock()
	if seq <= after {
		select {
		case <-changed:
		case <-wait.C:
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	seq = e.stateSeq
	e.mu.Unlock()
	st := "live"
	if e.faults.Load().Leaving {
		st = "leaving"
	}
	_ = json.NewEncoder(w).Encode(protocol.UpstreamState{Incarnation: e.o.Incarnation, State: st, Seq: seq, Running: e.load()})
}

// cacheEvents returns the events after a number. The first one that is left
// reports a gap.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > after {
			out = append(out, ev)
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

// fencedOrder is an order to load or drop a model, or to change role.
type fencedOrder struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o fencedOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence <= e.fence {
		http.Error(w, "fence is too low", http.StatusConflict)
		return
	}
	e.fence = o.Fence
	e.orders = append(e.orders, o.Order)
}

// kvContent is the exported cache of one chat.
type kvContent struct {
	Model string   `json:"model"`
	Turns []string `json:"turns"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var kv kvContent
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kv.Turns = kv.Turns[:e.cache.hit(chain(kv.Model, kv.Turns))]
	_ = json.NewEncoder(w).Encode(kv)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv kvContent
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(chain(kv.Model, kv.Turns), kv.Turns)
}
