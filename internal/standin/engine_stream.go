// This file plays an engine's streams: events that are kept, so that a stream can be
// resumed, and the faults of sending them.

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// engineStream keeps the events of an answer, so that it can be resumed.
type engineStream struct {
	mu     sync.Mutex
	events [][]byte
	whole  bool
	grown  chan struct{}
}

func (e *Engine) newStream() (string, *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := e.o.ID + "-" + strconv.Itoa(e.nextID)
	s := &engineStream{grown: make(chan struct{})}
	e.streams[id] = s
	return id, s
}

func (s *engineStream) add(data []byte, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.whole = whole
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *engineStream) at(i int) (data []byte, over bool, grown chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.events) {
		return s.events[i], false, nil
	}
	return nil, s.whole, s.grown
}

func (e *Engine) generate(s *engineStream, body *chatBody, words []string, u usage) {
	for _, word := range words {
		time.Sleep(e.o.TokenTime)
		data, _ := json.Marshal(map[string]any{
			"id": "chatcmpl-" + e.o.ID, "object": "chat.completion.chunk", "model": body.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": word}}},
		})
		s.add(data, false)
	}
	data, _ := json.Marshal(map[string]any{"id": "chatcmpl-" + e.o.ID, "object": "chat.completion.chunk", "model": body.Model, "choices": []any{}, "usage": u})
	s.add(data, false)
	s.add([]byte(protocol.StreamEnd), true)
}

// send writes the events of a stream after a position, with the faults.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *engineStream, after int, f Faults) {
	for i := after; ; {
		data, over, grown := s.at(i)
		if over {
			return
		}
		if data == nil {
			select {
			case <-grown:
				continue
			case <-r.Context().Done():
				e.Cancelled.Add(1)
				return
			}
		}
		i++
		if e.skip(i, f) {
			continue
		}
		if !e.sendEvent(w, formatEvent(i, data, f), f) {
			return
		}
		sent := i - after
		if f.BreakAfter > 0 && sent >= f.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if f.EndAfter > 0 && sent >= f.EndAfter {
			return
		}
	}
}

// sendEvent writes one event, twice if the fault is on. It returns false if the
// caller is gone.
func (e *Engine) sendEvent(w http.ResponseWriter, event []byte, f Faults) bool {
	n := 1
	if f.Repeat {
		n = 2
	}
	for range n {
		if _, err := w.Write(event); err != nil {
			e.Cancelled.Add(1)
			return false
		}
	}
	_ = http.NewResponseController(w).Flush() // a caller who is gone shows at the next write
	return true
}

func (e *Engine) skip(seq int, f Faults) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Skip != seq || e.skipped {
		return false
	}
	e.skipped = true
	return true
}

func formatEvent(seq int, data []byte, f Faults) []byte {
	if f.Unnumbered {
		return fmt.Appendf(nil, "data: %s\n\n", data)
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", seq, data)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	f := *e.faults.Load()
	id := r.PathValue("id")
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil || f.Forget {
		http.NotFound(w, r)
		return
	}
	if f.Foreign {
		id += "-other"
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	w.Header().Set(protocol.HeaderStreamID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.send(w, r, s, after, f)
}
