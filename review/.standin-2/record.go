// This file records what happens in a case.

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

// notef writes a line with the time since the begin of the case.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}
