// This file defines the ring buffer of events that each daemon keeps, and merges the
// buffers of many daemons into one timeline.

package coordination

import (
	"sort"

	"hingewinch.org/hingewinch/state"
)

// EventKind is the kind of a timeline event.
type EventKind string

// The kinds of timeline events.
const (
	EventStarted           EventKind = "daemon-started"
	EventStopBegun         EventKind = "stop-begun"
	EventStopped           EventKind = "stop-done"
	EventConfigApplied     EventKind = "config-taken"
	EventConfigRefused     EventKind = "config-refused"
	EventConfigClash       EventKind = "config-clash"
	EventListApplied       EventKind = "list-taken"
	EventListDeferred      EventKind = "list-doubted"
	EventUpstreamState     EventKind = "upstream-state"
	EventUpstreamAdmission EventKind = "upstream-gate"
	EventPeerState         EventKind = "peer-state"
	EventPaused            EventKind = "freeze-noticed"
	EventAttemptFailed     EventKind = "attempt-failed"
	EventResumed           EventKind = "stream-resumed"
	EventOnce              EventKind = "once"
	EventPlatform          EventKind = "platform"
)

// TimelineEvent is one entry of the timeline.
type TimelineEvent struct {
	Stamp  Stamp           `json:"stamp"`
	Daemon state.DaemonID  `json:"daemon"`
	Kind   EventKind       `json:"kind"`
	About  string          `json:"about"`
	Text   string          `json:"text"`
	ID     state.RequestID `json:"request,omitempty"`
}

// Ring is a ring buffer of the newest events. It is not safe for concurrent use.
type Ring struct {
	events []TimelineEvent
	next   int
	full   bool
}

// NewRing returns a ring buffer for n events.
func NewRing(n int) *Ring { return &Ring{events: make([]TimelineEvent, n)} }

// Add appends an event and overwrites the oldest if the buffer is full.
func (r *Ring) Add(e TimelineEvent) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Events returns the events, oldest first.
func (r *Ring) Events() []TimelineEvent {
	if !r.full {
		return append([]TimelineEvent(nil), r.events[:r.next]...)
	}
	out := append([]TimelineEvent(nil), r.events[r.next:]...)
	return append(out, r.events[:r.next]...)
}

// MergeTimelines orders the events of many daemons by stamp, then by daemon, so that
// the order is deterministic.
func MergeTimelines(rings ...[]TimelineEvent) []TimelineEvent {
	var out []TimelineEvent
	for _, events := range rings {
		out = append(out, events...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if c := out[i].Stamp.Compare(out[j].Stamp); c != 0 {
			return c < 0
		}
		return out[i].Daemon < out[j].Daemon
	})
	return out
}
