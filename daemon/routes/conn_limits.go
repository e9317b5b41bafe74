// This file decides how many connections each listener may have, and how much memory the heads of their requests may take
// (coordination/connections.go).
//
// The inputs are the descriptors that the process may open and its memory. The rules:
//
//  1. Callers may have callerFiles of the descriptors, and each of the other listeners ownFiles. The rest is for connections to
//     replicas, peers and the store, and for files.
//  2. Nor may callers' connections take more than connShare of the memory.
//  3. Heads may take callerHeadShare of the memory at the callers' listener, and ownHeadShare at each of the others.

package routes

import "hingewinch.org/hingewinch/daemon"

const (
	callerFiles = 1.0 / 2
	ownFiles    = 1.0 / 16
	// minConns is the number of connections that a listener has at least.
	minConns = 16
	// connShare and connBytes: a connection without a request takes 13 KB, most of it the stack and the buffers of its goroutine.
	connShare = 1.0 / 8
	connBytes = 16 << 10
	// callerHeadShare and ownHeadShare are 18 MB and 4 MB of 284.
	callerHeadShare = 1.0 / 16
	ownHeadShare    = 1.0 / 64
	// assumedMemoryMB is used if the memory of the process is not known.
	assumedMemoryMB = 1024
)

// connLimit is the room of a listener.
type connLimit struct {
	conns     int
	headBytes int64
}

// connLimits returns the room of the callers' listener, and that of each other one.
func connLimits(files, memoryMB int) (callers, own connLimit) {
	if memoryMB <= 0 {
		memoryMB = assumedMemoryMB
	}
	memory := float64(memoryMB) * megabyte
	conns := min(callerFiles*float64(files), connShare*memory/connBytes)
	callers = connLimit{conns: max(minConns, int(conns)), headBytes: int64(callerHeadShare * memory)}
	own = connLimit{conns: max(minConns, int(ownFiles*float64(files))), headBytes: int64(ownHeadShare * memory)}
	return callers, own
}

// files returns how many descriptors the daemon may open.
func (s *Settings) files() int {
	if s.Files > 0 {
		return min(s.Files, daemon.FileLimit())
	}
	return daemon.FileLimit()
}
