// This file buffers log lines and writes them in the background. Lines that do not fit
// in the buffer are dropped and counted, so that logging never blocks a request.

package routes

import (
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is the size of the buffer; logFlushInterval is how often it is written.
	logBufferBytes   = 256 << 10
	logFlushInterval = 250 * time.Millisecond
)

// backgroundWriter buffers lines until the next flush. It is safe for concurrent use.
type backgroundWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte // the buffer of the last flush
	dropped int64  // lines since the last flush
	total   int64  // dropped lines since the start
}

// Write buffers one line, or drops it if the buffer is full.
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

// flush writes the buffered lines, and returns how many lines were dropped since the
// last flush.
func (w *backgroundWriter) flush() int64 {
	w.mu.Lock()
	w.buffer, w.spare = w.spare[:0], w.buffer
	dropped := w.dropped
	w.dropped = 0
	out := w.spare
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.out.Write(out) // there is nowhere to report that the log can't be written
	}
	return dropped
}

func (w *backgroundWriter) droppedTotal() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}
