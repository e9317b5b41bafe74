// This file records when replicas last sent something to this daemon while streams are open: coordination/routing/handover.go
// decides by it which of two replicas keeps a call.

package relay

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// streamActivity has an entry for each replica that has begun a stream of this daemon, until the last of them has
// ended. It is safe for concurrent use. The zero value is empty.
type streamActivity struct {
	mu       sync.Mutex
	replicas map[routing.Incarnation]*replicaActivity
}

// replicaActivity is what one replica sends.
type replicaActivity struct {
	streams int // begun and not ended
	heardAt time.Time
}

// begin records that a replica has sent the first event of a stream.
func (a *streamActivity) begin(id routing.Incarnation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replicas == nil {
		a.replicas = make(map[routing.Incarnation]*replicaActivity)
	}
	r := a.replicas[id]
	if r == nil {
		r = &replicaActivity{}
		a.replicas[id] = r
	}
	r.streams++
	r.heardAt = now
}

// end records that a stream which had begun has ended.
func (a *streamActivity) end(id routing.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.replicas[id]; r != nil {
		if r.streams--; r.streams == 0 {
			delete(a.replicas, id)
		}
	}
}

// heard records that bytes arrived from a replica.
func (a *streamActivity) heard(id routing.Incarnation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.replicas[id]; r != nil {
		r.heardAt = now
	}
}

// of returns what a replica sends; the zero value if it has begun no stream that is still open.
func (a *streamActivity) of(id routing.Incarnation) routing.StreamActivity {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.replicas[id]; r != nil {
		return routing.StreamActivity{Streams: r.streams, HeardAt: r.heardAt}
	}
	return routing.StreamActivity{}
}
