// This file holds log lines in memory and writes them in the background. What does
// not fit is dropped and counted, so that logging never holds up a request.

package routes

import (
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes bounds the lines that wait; logFlushInterval is how long they wait at most.
	logBufferBytes   = 256 << 10
	logFlushInterval = 250 * time.Millisecond
)

// backgroundWriter holds lines until the next flush. It is safe for use by many
// goroutines.
type backgroundWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte // the buffer of the last flush
	dropped int64  // lines since the last flush
	total   int64  // of all dropped lines
}

// Write takes one line, or drops it.
func (w *backgroundWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > logBufferBytes {
		w.dropped++
		w.total++
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// flush writes what is held, and returns how many lines were dropped since the
// last flush.
func (w *backgroundWriter) flush() int64 {
	w.mu.Lock()
	w.buffer, w.spare = w.spare[:0], w.buffer
	dropped := w.dropped
	w.dropped = 0
	out := w.spare
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.out.Write(out) // there is nowhere to report a failed log
	}
	return dropped
}

func (w *backgroundWriter) droppedTotal() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}
