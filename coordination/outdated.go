// This file decides which requests wait for the first read of the documents after a pause of the process. Requests that waited
// in the sockets during the pause would otherwise be sent by documents that are as old as the pause: to replicas of failure
// domains that operators have evacuated meanwhile, or with keys that they have withdrawn.
//
// Inputs: when the control loop last ticked, when it found that the last long pause had ended, and when the documents were last
// confirmed by a read of the store, the own one or one that a peer told of. The rule:
//
//  1. A process was paused for long if a tick is LongPause late.
//  2. From then on until AfterPause after the tick that found it, a request waits while the documents were last confirmed
//     LongPause ago or longer. That all members were heard confirms nothing here: they need not have read the store. The
//     control loop ticks within milliseconds after a pause, and the store or a peer is read at once.
//  3. A daemon that hears nothing, but was not paused, serves by the documents that it has.

package coordination

import "time"

const (
	// LongPause is the shortest pause after which requests wait. Changes are known within two seconds, and operators allow
	// five from an evacuation to the last request.
	LongPause = 3 * time.Second
	// AfterPause is how long requests wait at most: a daemon that reads the store waits 60 ms for it before it asks a peer,
	// and a connection may have been lost during the pause.
	AfterPause = 200 * time.Millisecond
)

// DocumentTimes are the inputs of [DocumentTimes.AwaitsRead]. A zero time means never.
type DocumentTimes struct {
	Ticked  time.Time // last
	Resumed time.Time // the tick that found a long pause
	Read    time.Time // by a read of the store, the documents were complete at this time
}

// AwaitsRead reports whether a request has to wait because the documents were not read since a long pause.
func (t DocumentTimes) AwaitsRead(now time.Time) bool {
	paused := !t.Ticked.IsZero() && now.Sub(t.Ticked) >= LongPause || now.Sub(t.Resumed) < AfterPause
	return paused && now.Sub(t.Read) >= LongPause
}
