// This file samples the memory of the process in the control loop's ticks, and logs when it comes near the limit.
//
// What counts is the resident memory, since that is what the system holds against a limit, and what it kills a process
// for. The Go runtime's own count differs from it: it includes memory that was mapped and never touched, and lacks
// the pages of the program. A sample costs one read of a file that stays open.

package routes

import (
	"os"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// statmFile has the process's memory in pages: its size, the resident part, and more.
const statmFile = "/proc/self/statm"

// statmBytes is more than the file's seven numbers take.
const statmBytes = 160

// residentMemory reads the resident memory of the process. Where the system does not tell, it is 0.
type residentMemory struct {
	file *os.File // nil: there is none
	text [statmBytes]byte
	page uint64 // bytes
}

func newResidentMemory() *residentMemory {
	file, err := os.Open(statmFile)
	if err != nil {
		file = nil
	}
	return &residentMemory{file: file, page: uint64(os.Getpagesize())}
}

// bytes returns the resident memory.
func (m *residentMemory) bytes() uint64 {
	if m.file == nil {
		return 0
	}
	n, _ := m.file.ReadAt(m.text[:], 0) // an error means that the file is shorter than the buffer
	return residentPages(m.text[:n]) * m.page
}

// residentPages returns the second number of the text of statmFile; 0 if there is none.
func residentPages(text []byte) uint64 {
	pages, field := uint64(0), 1
	for _, c := range text {
		switch {
		case c == ' ':
			field++
		case c < '0' || c > '9':
			return 0
		case field == 2:
			pages = 10*pages + uint64(c-'0')
		}
		if field > 2 {
			return pages
		}
	}
	return 0
}

// memoryState is the control loop's state of the process's memory.
type memoryState struct {
	watch *coordination.MemoryWatch
	read  func() uint64 // nil: the memory is not sampled
}

func newMemoryState(limitMB int) memoryState {
	return memoryState{watch: coordination.NewMemoryWatch(uint64(max(0, limitMB)) * megabyte), read: newResidentMemory().bytes}
}

// sampleMemory takes a sample and logs what it changes.
func (c *control) sampleMemory(now time.Time) {
	m := &c.memory
	if m.read == nil {
		return
	}
	held := m.read()
	change := m.watch.Observe(held, now)
	c.log.metrics.Memory.Update(int64(held))
	c.log.metrics.MemoryMax.Update(int64(m.watch.Max()))
	switch change {
	case coordination.MemoryNear:
		c.log.MemoryNear(held, m.watch.Limit())
	case coordination.MemoryFar:
		largest, since := m.watch.Spell(now)
		c.log.MemoryFar(held, largest, m.watch.Limit(), since)
	}
}
