// Shutdown: until when a daemon that shuts down sends requests to replicas.
//
// The inputs are when the daemon ends the requests that are still open, the time that it keeps for responses, the
// request's deadline and route, and how long requests of that route usually take here. The rules:
//
//  1. A request whose deadline is before that end is sent as ever: the daemon has a response for it in any case.
//  2. Any other one is sent only while there is the usual time for its response, and the kept time at least. Then it is known that
//     it won't be served here, and it is refused, whether it has waited or has just arrived, so that its caller can go
//     to another daemon.
//  3. A stream that another daemon can go on with is sent until the kept time: its caller has the first events sooner.

package routing

import (
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// Shutdown is when a daemon ends.
type Shutdown struct {
	End  time.Time     // of open requests
	Keep time.Duration // before that, for responses
}

// LastSend returns until when a request may be sent to a replica, or false if there is no limit.
func (s Shutdown) LastSend(r *Request, usual time.Duration) (time.Time, bool) {
	if !r.Deadline.After(s.End) {
		return time.Time{}, false
	}
	needed := s.Keep
	if r.Route.Kind != Stream || !r.Route.Resumable {
		needed = max(needed, usual)
	}
	return s.End.Add(-needed), true
}

const (
	// usualTimeSpan is the time over which the usual time of a route's requests is averaged.
	usualTimeSpan = 30 * time.Second
	// maxTimedRoutes bounds the routes whose usual time is known.
	maxTimedRoutes = 1000
)

// RouteTimes are the times that requests of each route usually take, from the request to the end of a
// successful response. It is safe for concurrent use.
type RouteTimes struct {
	mu    sync.Mutex
	times map[string]*coordination.DecayingMean
}

// NewRouteTimes returns a record without times.
func NewRouteTimes() *RouteTimes {
	return &RouteTimes{times: make(map[string]*coordination.DecayingMean)}
}

// Record records how long a request took.
func (t *RouteTimes) Record(r *Route, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.times[r.Name]
	if m == nil {
		if len(t.times) >= maxTimedRoutes {
			return
		}
		m = &coordination.DecayingMean{}
		t.times[r.Name] = m
	}
	m.Add(took, usualTimeSpan, now)
}

// Usual returns the usual time of a route's requests; 0 if it is not known.
func (t *RouteTimes) Usual(r *Route) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.times[r.Name]; m != nil {
		return m.Mean()
	}
	return 0
}
