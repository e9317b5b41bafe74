// Memory: when a process is near the limit of its memory.
//
// The inputs are the bytes that the process holds, sampled several times a second, the time, and the limit in bytes; 0 if
// none is known. The rule:
//
//  1. The process is near the limit from the first sample of memoryNear of it on.
//  2. It no longer is when all samples of memorySettled were below memoryFar of it. Memory falls with each
//     collection of garbage and rises again, which is no end.
//  3. Without a limit it is never near it. The largest sample is kept in any case.

package coordination

import "time"

const (
	// memoryNear and memoryFar are fractions of the limit. The garbage collector works to keep what it manages below
	// .7 of it, and the program's own pages, 20 MB, are .07 of the smallest limit in use, 284 MB.
	memoryNear = 0.85
	memoryFar  = 0.8
	// memorySettled is longer than the time between two collections of garbage under load.
	memorySettled = 5 * time.Second
)

// MemoryChange is what a sample changes.
type MemoryChange int

// The changes.
const (
	MemoryUnchanged MemoryChange = iota
	MemoryNear                   // the process is near the limit from now on
	MemoryFar                    // it no longer is
)

// MemoryWatch is the state of a process's memory. It is not safe for concurrent use.
type MemoryWatch struct {
	limit    uint64
	max      uint64 // of all samples
	near     bool
	begunAt  time.Time // of the newest spell near the limit
	spellMax uint64    // of its samples
	highAt   time.Time // of its newest sample of memoryFar of the limit or more
}

// NewMemoryWatch returns the state before the first sample.
func NewMemoryWatch(limit uint64) *MemoryWatch { return &MemoryWatch{limit: limit} }

// Observe takes a sample, in bytes.
func (w *MemoryWatch) Observe(held uint64, now time.Time) MemoryChange {
	w.max = max(w.max, held)
	if w.limit == 0 {
		return MemoryUnchanged
	}
	part := float64(held) / float64(w.limit)
	switch {
	case !w.near && part >= memoryNear:
		w.near, w.begunAt, w.highAt, w.spellMax = true, now, now, held
		return MemoryNear
	case !w.near:
		return MemoryUnchanged
	}
	w.spellMax = max(w.spellMax, held)
	if part >= memoryFar {
		w.highAt = now
	}
	if now.Sub(w.highAt) < memorySettled {
		return MemoryUnchanged
	}
	w.near = false
	return MemoryFar
}

// Limit returns the limit in bytes; 0: none is known.
func (w *MemoryWatch) Limit() uint64 { return w.limit }

// Max returns the largest sample, in bytes.
func (w *MemoryWatch) Max() uint64 { return w.max }

// Spell returns the largest sample of the newest time near the limit, and how long ago that began.
func (w *MemoryWatch) Spell(now time.Time) (largest uint64, since time.Duration) {
	return w.spellMax, now.Sub(w.begunAt)
}
