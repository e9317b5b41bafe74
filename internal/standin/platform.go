// This file implements a fake platform, which publishes two documents with long polling.

package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hingewinch.org/hingewinch/protocol"
)

// Platform is a fake platform that publishes a configuration and a member list.
type Platform struct {
	mu          sync.Mutex
	texts       map[string][]byte // documents by path
	changed     chan struct{}     // closed on any change
	unavailable bool
	calls       int
}

// NewPlatform returns a platform that publishes nothing yet.
func NewPlatform() *Platform {
	return &Platform{texts: make(map[string][]byte), changed: make(chan struct{})}
}

// Publish replaces the document of a path.
func (p *Platform) Publish(path string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.texts[path] = text
	p.wake()
}

// SetUnavailable makes the platform refuse all calls, or serve them again.
func (p *Platform) SetUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
	p.wake()
}

// wake wakes waiting readers. The caller must hold p.mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the number of calls so far. A long poll counts as one call.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// get returns the document of a path with its ETag, whether the platform is unavailable, and a channel that is
// closed on the next change.
func (p *Platform) get(path string) (text []byte, etag string, unavailable bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text = p.texts[path]
	sum := sha256.Sum256(text)
	return text, hex.EncodeToString(sum[:]), p.unavailable, p.changed
}

// ServeHTTP serves the documents. It waits up to wait_ms for a version that differs from If-None-Match.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != protocol.PathConfig && r.URL.Path != protocol.PathMembers {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	deadline := time.NewTimer(milliseconds(r, "wait_ms"))
	defer deadline.Stop()
	for {
		text, etag, unavailable, changed := p.get(r.URL.Path)
		switch {
		case unavailable:
			http.Error(w, "away", http.StatusServiceUnavailable)
			return
		case text != nil && etag != r.Header.Get("If-None-Match"):
			w.Header().Set("Etag", etag)
			_, _ = w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// milliseconds returns a query parameter as a duration in milliseconds.
func milliseconds(r *http.Request, name string) time.Duration {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return time.Duration(n) * time.Millisecond
}
