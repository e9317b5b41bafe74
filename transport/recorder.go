// This file defines the recorder of a daemon: its events go to the ring behind
// the time line, stamped by the hybrid clock, and to the log.

package transport

import (
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// PathTimeline is where the operators' listeners serve a daemon's events.
const PathTimeline = "/timeline"

// ringSize is how many events a daemon keeps.
const ringSize = 4096

// Recorder is safe for use by many goroutines.
type Recorder struct {
	daemon state.DaemonID
	logger *log.Logger

	mu    sync.Mutex
	clock coordination.HybridClock
	ring  *coordination.Ring
}

// NewRecorder returns the recorder of a daemon. logger may be nil.
func NewRecorder(d state.DaemonID, logger *log.Logger) *Recorder {
	return NewRecorderSize(d, logger, ringSize)
}

// NewRecorderSize returns a recorder that keeps so many events.
func NewRecorderSize(d state.DaemonID, logger *log.Logger, events int) *Recorder {
	return &Recorder{daemon: d, logger: logger, ring: coordination.NewRing(events)}
}

// Record adds an event.
func (r *Recorder) Record(kind coordination.EventKind, about string, id state.RequestID, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	stamp := r.clock.Next(time.Now())
	r.ring.Add(coordination.TimelineEvent{Stamp: stamp, Daemon: r.daemon, Kind: kind, About: about, Text: text, ID: id})
	r.mu.Unlock()
	if r.logger != nil {
		r.logger.Info().Str("kind", string(kind)).Str("about", about).Str("request", string(id)).Msg(prefixEvents + text)
	}
}

// Stamp returns a stamp for a message.
func (r *Recorder) Stamp() coordination.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(time.Now())
}

// Observe takes in the stamp of a received message.
func (r *Recorder) Observe(s coordination.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(time.Now(), s)
}

// Events returns the ring's events, oldest first.
func (r *Recorder) Events() []coordination.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.Events()
}

// Prefixes of log lines, one for each part.
const (
	prefixEvents  = "events: "
	PrefixGateway = "gateway: "
	PrefixPeers   = "peers: "
	PrefixDaemon  = "daemon: "
)
