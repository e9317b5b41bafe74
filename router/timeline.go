// This file keeps the newest events of a daemon for the time line over all
// daemons. Stamps are hybrid clocks that travel with the beats, so that what one
// daemon did because of another's message is shown after it.

package router

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// ringSize is how many events a daemon keeps.
const ringSize = 512

// timeline is safe for use by many goroutines.
type timeline struct {
	daemon state.DaemonID

	mu    sync.Mutex
	clock coordination.HybridClock
	ring  *coordination.Ring
}

func newTimeline(d state.DaemonID) *timeline {
	return &timeline{daemon: d, ring: coordination.NewRing(ringSize)}
}

func (t *timeline) add(kind coordination.EventKind, about string, id state.RequestID, text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Add(coordination.TimelineEvent{Stamp: t.clock.Next(time.Now()), Daemon: t.daemon, Kind: kind, About: about, Text: text, ID: id})
}

// stamp returns a stamp for a message.
func (t *timeline) stamp() coordination.Stamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Next(time.Now())
}

// observe takes in the stamp of a message.
func (t *timeline) observe(s coordination.Stamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock.Observe(time.Now(), s)
}

func (t *timeline) events() []coordination.TimelineEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Events()
}
