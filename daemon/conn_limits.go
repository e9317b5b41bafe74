// This file decides how many connections each listener may have, and how much memory the heads of their requests may take
// (coordination/connections.go).
//
// The inputs are the descriptors that the process may open and its memory. The rules:
//
//  1. Callers may have callerFiles of the descriptors, and each of the other listeners ownFiles. The rest is for connections to
//     replicas, peers and the store, and for files.
//  2. Nor may callers' connections take more than connShare of the memory.
//  3. Heads may take callerHeadShare of the memory at the callers' listener, and ownHeadShare at each of the others.

package daemon

import "hingewinch.org/hingewinch/coordination"

const (
	callerFiles = 1.0 / 2
	ownFiles    = 1.0 / 16
	// minConns is the number of connections that a listener has at least.
	minConns  = 16
	connShare = 1.0 / 8
	// connBytes is twice what an idle connection takes: one that has sent a request has buffers too.
	connBytes = 16 << 10
	// callerHeadShare and ownHeadShare are 18 MB and 4 MB of 284.
	callerHeadShare = 1.0 / 16
	ownHeadShare    = 1.0 / 64
	// assumedMemoryMB is used if the memory of the process is not known.
	assumedMemoryMB = 1024

	megabyte = 1 << 20
)

// ConnLimit is the room of a listener.
type ConnLimit struct {
	Conns     int
	HeadBytes int64
}

// NewRoom returns an empty room of that size, which reports each connection that it drops.
func (l ConnLimit) NewRoom(dropped func()) *coordination.ConnRoom {
	room := coordination.NewConnRoom(l.Conns, l.HeadBytes)
	room.Dropped = dropped
	return room
}

// ConnLimits returns the room of the callers' listener, and that of each other one. files is how many descriptors the
// process may open, and memoryMB its memory; 0: not known.
func ConnLimits(files, memoryMB int) (callers, own ConnLimit) {
	if memoryMB <= 0 {
		memoryMB = assumedMemoryMB
	}
	memory := float64(memoryMB) * megabyte
	conns := min(callerFiles*float64(files), connShare*memory/connBytes)
	callers = ConnLimit{Conns: max(minConns, int(conns)), HeadBytes: int64(callerHeadShare * memory)}
	own = ConnLimit{Conns: max(minConns, int(ownFiles*float64(files))), HeadBytes: int64(ownHeadShare * memory)}
	return callers, own
}
