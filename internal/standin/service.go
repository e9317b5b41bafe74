// This file plays a plain service that counts its runs for each key.

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// ServiceFaults can be switched on while a service runs.
type ServiceFaults struct {
	Delay       time.Duration `json:"delay"`        // before an answer
	BreakBefore bool          `json:"break_before"` // breaks before it runs the request
	BreakAfter  bool          `json:"break_after"`  // runs the request and breaks
	Refuse      bool          `json:"refuse"`
	Leaving     bool          `json:"leaving"`
}

// Service is an http.Handler.
type Service struct {
	faults atomic.Pointer[ServiceFaults]
	mu     sync.Mutex
	runs   map[string]int
}

// NewService returns a service.
func NewService() *Service {
	s := &Service{runs: make(map[string]int)}
	s.faults.Store(&ServiceFaults{})
	return s
}

// SetFaults switches faults on, and all others off.
func (s *Service) SetFaults(f ServiceFaults) { s.faults.Store(&f) }

// Runs returns how often each key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case protocol.PathState:
		s.state(w, r)
		return
	case "/faults":
		var f ServiceFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		return
	case "/runs":
		_ = json.NewEncoder(w).Encode(s.Runs())
		return
	}
	s.run(w, r)
}

func (s *Service) state(w http.ResponseWriter, r *http.Request) {
	pause(r, milliseconds(r, "wait_ms"))
	st := "live"
	if s.faults.Load().Leaving {
		st = "leaving"
	}
	_ = json.NewEncoder(w).Encode(protocol.UpstreamState{Incarnation: 1, State: st, Seq: 1})
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	f := *s.faults.Load()
	if f.Refuse {
		w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.BreakBefore {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(protocol.HeaderIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.BreakAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-Path", r.URL.RequestURI())
	_, _ = fmt.Fprintf(w, "%s %s run=%d key=%s body=%s", r.Method, r.URL.Path, n, key, body)
}
