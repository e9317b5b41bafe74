// This file defines the event recorder of a daemon. Events are stamped by the hybrid
// clock, kept in a ring buffer for the timeline, and written to the log.

package transport

import (
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// PathTimeline is the path under which the operators' listener serves a daemon's events.
const PathTimeline = "/timeline"

// defaultRingSize is the number of events that a daemon keeps.
const defaultRingSize = 4096

// Recorder records the timeline events of one daemon. It is safe for concurrent use.
type Recorder struct {
	daemon state.DaemonID
	logger *log.Logger

	mu    sync.Mutex
	clock coordination.HybridClock
	ring  *coordination.Ring
}

// NewRecorder returns a recorder for a daemon. If logger is nil, events are not logged.
func NewRecorder(d state.DaemonID, logger *log.Logger) *Recorder {
	return NewRecorderSize(d, logger, defaultRingSize)
}

// NewRecorderSize is like [NewRecorder] but keeps the given number of events.
func NewRecorderSize(d state.DaemonID, logger *log.Logger, events int) *Recorder {
	return &Recorder{daemon: d, logger: logger, ring: coordination.NewRing(events)}
}

// Record adds an event to the ring buffer and logs it. about names the subject of the
// event, and id the request that caused it, if any.
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

// Stamp returns a hybrid clock timestamp for an outgoing message.
func (r *Recorder) Stamp() coordination.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Next(time.Now())
}

// Observe advances the hybrid clock by the stamp of a received message.
func (r *Recorder) Observe(s coordination.Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(time.Now(), s)
}

// Events returns the recorded events that are still kept, oldest first.
func (r *Recorder) Events() []coordination.TimelineEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.Events()
}

// Log message prefixes, one for each component.
const (
	prefixEvents  = "events: "
	PrefixGateway = "gateway: "
	PrefixPeers   = "peers: "
	PrefixDaemon  = "daemon: "
)
