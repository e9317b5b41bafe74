// This file implements the streams of a fake engine. It keeps the events of each stream, so that the stream can be
// resumed, and injects faults into sending them.

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

// engineStream keeps the events of a streamed response, so that it can be resumed.
type engineStream struct {
	mu       sync.Mutex
	events   [][]byte
	complete bool
	added    chan struct{} // closed when an event is added
}

// newStream registers a stream and returns its id.
func (e *Engine) newStream() (string, *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	id := e.options.ID + "-" + strconv.Itoa(e.nextID)
	s := &engineStream{added: make(chan struct{})}
	e.streams[id] = s
	return id, s
}

// add appends an event and wakes waiting readers. last is true for the final event.
func (s *engineStream) add(data []byte, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.complete = last
	close(s.added)
	s.added = make(chan struct{})
}

// eventAt returns the event at an index. If there is none, end tells whether the stream is complete, and
// added is closed when another event is added.
func (s *engineStream) eventAt(i int) (data []byte, end bool, added chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.events) {
		return s.events[i], false, nil
	}
	return nil, s.complete, s.added
}

// generate adds the events of a completion to a stream, one word per TokenInterval.
func (e *Engine) generate(s *engineStream, body *chatBody, words []string, u usage) {
	for _, word := range words {
		time.Sleep(e.options.TokenInterval)
		data, _ := json.Marshal(map[string]any{
			"id": "chatcmpl-" + e.options.ID, "object": "chat.completion.chunk", "model": body.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": word}}},
		})
		s.add(data, false)
	}
	data, _ := json.Marshal(map[string]any{"id": "chatcmpl-" + e.options.ID, "object": "chat.completion.chunk", "model": body.Model, "choices": []any{}, "usage": u})
	s.add(data, false)
	s.add([]byte(protocol.StreamEnd), true)
}

// sendEvents writes the events of a stream after the one with the given number, and injects faults.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *engineStream, after int, faults Faults) {
	for i := after; ; {
		data, end, added := s.eventAt(i)
		if end {
			return
		}
		if data == nil {
			select {
			case <-added:
				continue
			case <-r.Context().Done():
				e.Cancelled.Add(1)
				return
			}
		}
		i++
		if e.skip(i, faults) {
			continue
		}
		if !e.sendEvent(w, formatEvent(i, data, faults), faults) {
			return
		}
		sent := i - after
		if faults.AbortAfter > 0 && sent >= faults.AbortAfter {
			panic(http.ErrAbortHandler)
		}
		if faults.TruncateAfter > 0 && sent >= faults.TruncateAfter {
			return
		}
	}
}

// sendEvent writes an event, twice if Faults.DuplicateEvents is set. It returns false if the
// caller has disconnected.
func (e *Engine) sendEvent(w http.ResponseWriter, event []byte, faults Faults) bool {
	n := 1
	if faults.DuplicateEvents {
		n = 2
	}
	for range n {
		if _, err := w.Write(event); err != nil {
			e.Cancelled.Add(1)
			return false
		}
	}
	_ = http.NewResponseController(w).Flush() // a disconnected caller is detected at the next write
	return true
}

// skip reports whether an event is to be omitted. It does so once for Faults.SkipEvent.
func (e *Engine) skip(seq int, faults Faults) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.SkipEvent != seq || e.skipped {
		return false
	}
	e.skipped = true
	return true
}

// formatEvent returns an event in the server-sent events format.
func formatEvent(seq int, data []byte, faults Faults) []byte {
	if faults.OmitEventIDs {
		return fmt.Appendf(nil, "data: %s\n\n", data)
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", seq, data)
}

// resume sends the events of an existing stream after the requested number.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	faults := *e.faults.Load()
	id := r.PathValue("id")
	e.mu.Lock()
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil || faults.LoseStreams {
		http.NotFound(w, r)
		return
	}
	if faults.WrongStreamID {
		id += "-other"
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	w.Header().Set(protocol.HeaderStreamID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.sendEvents(w, r, s, after, faults)
}
