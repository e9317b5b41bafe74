// This file bounds the memory that a daemon holds for parts of responses which can't be forwarded yet: bodies that are
// forwarded as a whole, and events that are not complete.
//
//  1. A buffer of up to uncountedBytes is always granted: connections are limited, and most responses are no larger.
//  2. Larger ones share maxHeldBytes over all requests. A response that needs more is given up, as if it were broken;
//     that does not count against its replica, since others may have used up the memory.
//  3. Before that, bodies that have stalled give their memory up, the one that has stalled for longest first: those of
//     which less than progressBytes arrived within stallTime. Otherwise replicas that send a part of each body would take
//     all memory until the deadlines of their requests.

package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
)

const (
	// uncountedBytes is the size of a buffer that is not counted, in bytes.
	uncountedBytes = 64 << 10
	// maxHeldBytes is the size of all counted buffers of a daemon, in bytes: five responses of the largest size at
	// once. A daemon has 284 MB and needs up to 60 MB for itself; garbage takes about as much as what is held.
	maxHeldBytes = 48 << 20
	// firstBodyBytes is the size of the first buffer for a body of unknown length, in bytes.
	firstBodyBytes = 512
	// A body of the largest size that arrives this slowly takes two minutes.
	progressBytes = 64 << 10 // bytes
	stallTime     = time.Second
)

// errMemory means that the responses that are held take all memory for them.
var errMemory = errors.New("responses that are held take all memory that there is for them")

// heldBytes counts the memory that responses hold. It is safe for concurrent use.
type heldBytes struct {
	taken atomic.Int64

	mu      sync.Mutex
	reading map[*bodyRead]bool // bodies that are being read, and count
}

// bodyRead is a body that is being read. heldBytes.mu guards it once the body counts.
type bodyRead struct {
	counted    int64 // bytes
	arrived    int   // bytes since progressAt
	progressAt time.Time
	abandon    func() // ends the read
	abandoned  bool
}

// receive records that bytes arrived.
func (b *bodyRead) receive(n int, now time.Time) {
	if b.arrived += n; b.arrived >= progressBytes {
		b.arrived, b.progressAt = 0, now
	}
}

// hasStalled reports whether the body may be abandoned for others.
func (b *bodyRead) hasStalled(now time.Time) bool { return now.Sub(b.progressAt) >= stallTime }

// reclaim abandons the body that has stalled for longest. It returns false if none has.
func (h *heldBytes) reclaim(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var longest *bodyRead
	for b := range h.reading {
		if b.hasStalled(now) && (longest == nil || b.progressAt.Before(longest.progressAt)) {
			longest = b
		}
	}
	if longest == nil {
		return false
	}
	delete(h.reading, longest)
	h.taken.Add(-longest.counted)
	longest.abandoned = true
	longest.abandon()
	return true
}

// receive records that bytes of a body arrived.
func (h *heldBytes) receive(b *bodyRead, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b.receive(n, clock.Now())
}

// growBody is grow for a body that is being read.
func (h *heldBytes) growBody(b *bodyRead, old []byte, capacity int) ([]byte, bool) {
	if !h.take(capacity) {
		return old, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.abandoned {
		h.release(capacity)
		return old, false
	}
	h.taken.Add(-b.counted)
	if b.counted = counted(capacity); b.counted > 0 {
		if h.reading == nil {
			h.reading = make(map[*bodyRead]bool)
		}
		h.reading[b] = true
	}
	return append(make([]byte, 0, capacity), old...), true
}

// endBody ends the read of a body. It returns false if the body was abandoned, in which case it counts no more.
func (h *heldBytes) endBody(b *bodyRead) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reading, b)
	return !b.abandoned
}

// counted returns how much of a buffer counts.
func counted(size int) int64 {
	if size <= uncountedBytes {
		return 0
	}
	return int64(size)
}

// take counts a buffer that is about to be allocated. It returns false if there is no memory for it.
func (h *heldBytes) take(size int) bool {
	n := counted(size)
	for n > 0 && h.taken.Add(n) > maxHeldBytes {
		h.taken.Add(-n)
		if !h.reclaim(clock.Now()) {
			return false
		}
	}
	return true
}

// release uncounts a buffer.
func (h *heldBytes) release(size int) {
	if n := counted(size); n > 0 {
		h.taken.Add(-n)
	}
}

// grow returns a buffer with the content of an old one and a larger capacity, and releases the old one. It returns
// false, and keeps the old one, if there is no memory for it. A nil receiver grants everything.
func (h *heldBytes) grow(old []byte, capacity int) ([]byte, bool) {
	if h != nil && !h.take(capacity) {
		return old, false
	}
	grown := append(make([]byte, 0, capacity), old...)
	if h != nil {
		h.release(cap(old))
	}
	return grown, true
}

// readBody reads a body of at most maxResponseBytes. If it succeeds, the capacity of the result must be released. abandon
// is called to end a read that stalls while others need its memory.
func (h *heldBytes) readBody(resp *http.Response, abandon func()) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	b := &bodyRead{abandon: abandon, progressAt: clock.Now()}
	body, err := h.readGrowing(b, resp)
	if !h.endBody(b) {
		return nil, errMemory
	}
	if err != nil {
		h.release(cap(body))
		return nil, err
	}
	return body, nil
}

// readGrowing reads a body into a buffer that grows with it. It returns the buffer on failure too.
func (h *heldBytes) readGrowing(b *bodyRead, resp *http.Response) ([]byte, error) {
	largest, size := maxResponseBytes+1, firstBodyBytes
	if resp.ContentLength >= 0 {
		largest = int(resp.ContentLength)
		size = min(largest, uncountedBytes)
	}
	body := make([]byte, 0, size)
	for {
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err == nil && len(body) > maxResponseBytes:
			err = errTooLarge
		}
		if err != nil {
			return body, err
		}
		h.receive(b, n)
		if len(body) < cap(body) || cap(body) >= largest {
			continue
		}
		var ok bool
		if body, ok = h.growBody(b, body, transport.NextBufferBytes(cap(body), largest)); !ok {
			return body, errMemory
		}
	}
}
