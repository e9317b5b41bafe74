// This file implements the control endpoints of a fake engine: state with delayed load, cache
// events, fenced orders, and export and import of the KV cache.

package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// load returns the number of running requests, as sampled at most ReportLag ago.
func (e *Engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportedAt) >= e.options.ReportLag {
		e.reported, e.reportedAt = e.running.Load(), now
	}
	return int(e.reported)
}

// state reports the engine's state by long polling: it responds when the sequence number exceeds after, or
// after wait_ms.
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
	state := "live"
	if e.faults.Load().Leaving {
		state = "leaving"
	}
	_ = json.NewEncoder(w).Encode(protocol.UpstreamState{Incarnation: e.options.Incarnation, State: state, Seq: seq, Running: e.load()})
}

// cacheEvents returns the events after a sequence number. If events in between were dropped,
// the number of the first returned event shows the gap.
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

// fencedOrder is an order to load or unload a model, or to change the engine's role. Its fence must be
// higher than that of all earlier orders.
type fencedOrder struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
}

// order accepts an order and rejects those with an outdated fence.
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

// kvContent is the exported KV cache of a chat.
type kvContent struct {
	Model string   `json:"model"`
	Turns []string `json:"turns"`
}

// exportKV returns the cached prefix of the requested chat.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var kv kvContent
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kv.Turns = kv.Turns[:e.cache.lookup(hashPrefixes(kv.Model, kv.Turns))]
	_ = json.NewEncoder(w).Encode(kv)
}

// importKV adds an exported chat to the cache.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv kvContent
	if err := json.NewDecoder(r.Body).Decode(&kv); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(hashPrefixes(kv.Model, kv.Turns), kv.Turns)
}
