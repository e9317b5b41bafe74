// This file decides when an operation of this daemon has timed out, although the process may have been paused.
//
// Its input is how late a timer fires. A timer that passes during a pause fires at the moment at which the process goes
// on, before anything is read that has arrived meanwhile, and the operation had less time than it was given.
//
//  1. When a timer fires for the first time, the operation may go on for PauseSlack, so that what has arrived is read first.
//  2. The time by which a timer fires late is given back, since the other side may have been asked only a moment before
//     the pause. All that is given back is at most the timeout: a process that gets little processor time is paused all the time.
//  3. Otherwise the operation has timed out.

package coordination

import "time"

const (
	// PauseSlack is how long an operation goes on once its timer has fired: the time to notice what has arrived.
	PauseSlack = 5 * time.Millisecond
	// minPause is how late a timer fires at least if the process was paused. Timers fire that late on a busy VM too, and
	// giving that time back costs little.
	minPause = 20 * time.Millisecond
)

// PausableTimeout is a timeout of an operation. It must not be shared by goroutines.
type PausableTimeout struct {
	left  time.Duration // that may be given back
	fired bool
}

// NewPausableTimeout returns a timeout after a time.
func NewPausableTimeout(limit time.Duration) PausableTimeout { return PausableTimeout{left: limit} }

// Fired is called when the timer fires, with how late it does. It returns how long the operation may go on; 0: it has
// timed out.
func (t *PausableTimeout) Fired(late time.Duration) time.Duration {
	first := !t.fired
	t.fired = true
	switch {
	case late >= minPause && t.left > 0:
		back := min(late, t.left)
		t.left -= back
		return max(PauseSlack, back)
	case first:
		return PauseSlack
	}
	return 0
}
