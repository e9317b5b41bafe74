// This file records at which software versions streams began, so that a daemon can resume a stream for
// its caller although another daemon, which may be gone by now, began it (versions.go). Daemons have
// nothing in common about a stream but the id of the request that brought its first event, which the
// caller names.
//
// Inputs: the origins of streams of this daemon and those that other daemons send. The rule:
//
//  1. Unless a service is known to have, and to have had, only one version ([VersionHistory]), the daemon of a
//     stream records its origin at a few daemons, which every daemon can compute from the stream's key
//     (coordination/membership), when the first event passes, and again when the stream is resumed. A
//     stream that began while its service had one version is recorded with its next event, or when it is broken off, even if
//     no second version is known then: one may appear before the caller resumes it.
//  2. These daemons change when some start or shut down. The daemon of the stream sends the origin to those that lack it, until
//     the caller has the whole stream or the origin is not kept any more.
//  3. A daemon that resumes a stream asks these daemons, and those that were chosen a moment ago. Only a positive answer lets
//     the stream go on: the caller is refused if none knows it.
//  4. Two origins of one stream that differ make it unknown: the id was used twice.
//  5. An origin is kept for as long as the caller may wait for the stream, and a while longer.
//
// A key contains the workspace, so that a caller can neither learn nor change anything of the streams of
// other workspaces.

package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StreamKey identifies a stream, in tables and in messages between daemons. It is a hash. 0 stands for a
// stream that can't be identified.
type StreamKey uint64

// NewStreamKey returns the key of the stream whose first event a request of a workspace brought.
func NewStreamKey(w WorkspaceName, first RequestID) StreamKey {
	if first == "" {
		return 0
	}
	return max(1, StreamKey(xxhash.Sum64String(string(w)+"\x00"+string(first))))
}

// StreamOrigin says at which software version a stream began.
type StreamOrigin struct {
	Stream  StreamKey
	Version VersionKey
	Left    time.Duration // for which it is kept
}

const (
	// originSlack is how much longer than the daemon's deadline an origin is kept. Callers may wait longer
	// than the route allows one request to take, and pause before they resume a stream.
	originSlack = 30 * time.Second
	// maxOriginLife bounds what another daemon can ask for.
	maxOriginLife = 10 * time.Minute
	// maxOrigins bounds the memory to about 3 MB. Beyond it streams are not recorded, and not resumed. In
	// a fleet of 986 daemons with 13,000 streams a second a daemon keeps about 3,000.
	maxOrigins = 50_000
)

// NewStreamOrigin returns the origin of a stream whose request has the given time left.
func NewStreamOrigin(stream StreamKey, v VersionKey, left time.Duration) StreamOrigin {
	return StreamOrigin{Stream: stream, Version: v, Left: max(0, left) + originSlack}
}

// StreamOrigins holds the origins of streams that a daemon knows. It is safe for concurrent use.
type StreamOrigins struct {
	mu      sync.Mutex
	origins map[StreamKey]knownOrigin
}

type knownOrigin struct {
	version VersionKey // 0: the reported ones differ
	until   time.Time
}

// NewStreamOrigins returns an empty record.
func NewStreamOrigins() *StreamOrigins {
	return &StreamOrigins{origins: make(map[StreamKey]knownOrigin)}
}

// Observe records the origin of a stream.
func (o *StreamOrigins) Observe(s StreamOrigin, now time.Time) {
	if s.Stream == 0 || s.Version <= uncertainVersion {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.origins[s.Stream]
	switch {
	case !ok && len(o.origins) >= maxOrigins:
		return
	case !ok:
		known.version = s.Version
	case known.version != s.Version:
		known.version = 0
	}
	known.until = latest(known.until, now.Add(min(s.Left, maxOriginLife)))
	o.origins[s.Stream] = known
}

// Find returns the version at which a stream began, or false if it is not known.
func (o *StreamOrigins) Find(s StreamKey, now time.Time) (VersionKey, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	known, ok := o.origins[s]
	if !ok || now.After(known.until) || known.version == 0 {
		return 0, false
	}
	return known.version, true
}

// Len returns how many streams are recorded.
func (o *StreamOrigins) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.origins)
}

// Forget removes origins that are not kept any more.
func (o *StreamOrigins) Forget(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, known := range o.origins {
		if now.After(known.until) {
			delete(o.origins, key)
		}
	}
}
