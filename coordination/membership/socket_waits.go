// This file decides whether a message may have waited in the socket before it was read, as it does while the process is
// paused or overloaded. What such a message tells is older than the time at which it was read.
//
// Inputs: the times at which each read of the socket began and returned. The rule:
//
//  1. The socket was empty at the time at which a read began that took at least blockedRead.
//  2. A message may have waited since the socket was last known to be empty. If that is more than MaxSocketWait, neither this
//     message nor any that is read within distrustPeriod counts as read in time. A read that is interrupted while messages
//     wait takes long as well.
//
// Reads must return at least every SocketPoll, with or without a message, so that the socket is known to be empty.

package membership

import "time"

const (
	// SocketPoll is the longest time that a read of the socket may take.
	SocketPoll = 40 * time.Millisecond
	// MaxSocketWait is how long a message that counts as read in time may have waited. It leaves room for a process that
	// gets the processor late.
	MaxSocketWait = 100 * time.Millisecond
	// blockedRead is how long a read takes at least if it has to wait for a message.
	blockedRead = time.Millisecond
	// distrustPeriod is more than it takes to read all messages that waited.
	distrustPeriod = 200 * time.Millisecond
)

// SocketWaits determines which messages were read in time. It must not be shared by goroutines.
type SocketWaits struct {
	emptyAt     time.Time // when the socket was last known to be empty
	trustedFrom time.Time // from which messages count again
}

// Read records a read of the socket. It reports whether a message that it returned was read in time.
func (w *SocketWaits) Read(began, returned time.Time) bool {
	if returned.Sub(began) >= blockedRead {
		w.emptyAt = began
	}
	if returned.Sub(w.emptyAt) > MaxSocketWait {
		w.trustedFrom = returned.Add(distrustPeriod)
	}
	return !returned.Before(w.trustedFrom)
}
