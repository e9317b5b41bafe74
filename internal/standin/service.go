// This file implements a fake plain service, which counts how often it ran each idempotency key.

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

// ServiceFaults are the faults of a service. They can be changed while it runs.
type ServiceFaults struct {
	Delay          time.Duration `json:"delay"`        // delay between running the request and the response
	AbortBeforeRun bool          `json:"break_before"` // breaks the connection before the request runs
	AbortAfterRun  bool          `json:"break_after"`  // runs the request, then breaks the connection
	Refuse         bool          `json:"refuse"`
	Leaving        bool          `json:"leaving"`
}

// Service is a fake plain service. It implements http.Handler.
type Service struct {
	faults atomic.Pointer[ServiceFaults]
	mu     sync.Mutex
	runs   map[string]int // by idempotency key
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{runs: make(map[string]int)}
	s.faults.Store(&ServiceFaults{})
	return s
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(f ServiceFaults) { s.faults.Store(&f) }

// Runs returns how often the request of each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
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

// state reports the service's state after wait_ms.
func (s *Service) state(w http.ResponseWriter, r *http.Request) {
	pause(r, milliseconds(r, "wait_ms"))
	state := "live"
	if s.faults.Load().Leaving {
		state = "leaving"
	}
	_ = json.NewEncoder(w).Encode(protocol.UpstreamState{Incarnation: 1, State: state, Seq: 1})
}

// run counts the request and responds with its method, path, key and body.
func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	faults := *s.faults.Load()
	if faults.Refuse {
		w.Header().Set(protocol.HeaderOutcome, protocol.OutcomeNotRun)
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if faults.AbortBeforeRun {
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
	time.Sleep(faults.Delay)
	if faults.AbortAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-Path", r.URL.RequestURI())
	_, _ = fmt.Fprintf(w, "%s %s run=%d key=%s body=%s", r.Method, r.URL.Path, n, key, body)
}
