// This file bounds the memory that a daemon holds for parts of responses which can't be forwarded yet: bodies that are
// forwarded as a whole, and events that are not complete.
//
//  1. A buffer of up to uncountedBytes is always granted: connections are limited, and most responses are no larger.
//  2. Larger ones share maxHeldBytes over all requests. A response that needs more is given up, as if it were broken;
//     that does not count against its replica, since others may have used up the memory.

package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// uncountedBytes is the size of a buffer that is not counted, in bytes.
	uncountedBytes = 64 << 10
	// maxHeldBytes is the size of all counted buffers of a daemon, in bytes: five responses of the largest size at
	// once. A daemon has 284 MB and needs up to 60 MB for itself; garbage takes about as much as what is held.
	maxHeldBytes = 48 << 20
	// firstBodyBytes is the size of the first buffer for a body of unknown length, in bytes.
	firstBodyBytes = 512
)

// errMemory means that the responses that are held take all memory for them.
var errMemory = errors.New("responses that are held take all memory that there is for them")

// heldBytes counts the memory that responses hold. It is safe for concurrent use.
type heldBytes struct{ taken atomic.Int64 }

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
	if n > 0 && h.taken.Add(n) > maxHeldBytes {
		h.taken.Add(-n)
		return false
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

// readBody reads a body of at most maxResponseBytes. If it succeeds, the capacity of the result must be released.
func (h *heldBytes) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	largest, size := maxResponseBytes+1, firstBodyBytes
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
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
		if err == nil && len(body) == cap(body) && cap(body) < largest {
			// The old buffer is garbage afterwards; growing fourfold leaves less of it.
			next, ok := 4*cap(body), false
			if next >= largest/2 {
				next = largest
			}
			if body, ok = h.grow(body, next); !ok {
				err = errMemory
			}
		}
		if err != nil {
			h.release(cap(body))
			return nil, err
		}
	}
}
