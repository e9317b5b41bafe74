// How many requests a coordinator may have at one brittle replica, if another coordinator may grant the same places.
//
// On each side of a fleet that is cut a coordinator grants all places of a replica, and hears nothing of the other
// one but the rejections that they cause. Inputs: the rejections of permitted requests, the number of requests that
// the coordinator has at the replica, its places there, the usual time of a request, and the step: the time in which
// it may cause one rejection (strict.go). The rule:
//
//  1. The window has all places at first.
//  2. With a rejection it becomes a third of the requests that the coordinator has there, so that three coordinators
//     that each granted all places together have no more than the replica takes after one rejection each. It has at
//     least one place if the replica still has a request of this coordinator, and none otherwise.
//  3. No permit is granted for drainTimes usual times after that, a step at most: the replica has to do what it has
//     before all coordinators fit. A window of one place needs no such pause.
//  4. The window widens by one place a step later, and with each further step, until it has all places.
//  5. A rejection before that shows that the replica is full with what it has: the window is no larger than that
//     then. It widens later, by a step more with each rejection, but maxClosedAfterRejection after the last one at the latest:
//     rejections that come together count like others, and coordinators that widen again and again together cause less than
//     the replica survives.
//  6. The window has all places again when daemons of another coordinator are back and list what they have there
//     (rule 2 of strict.go): nobody grants beside this coordinator then.

package admission

import "time"

const (
	// drainTimes is the number of usual times in which a replica has done the requests of three coordinators
	// that each granted all its places.
	drainTimes = 3
	// windowShare is the part of the requests that is left after the first rejection.
	windowShare = 3
)

// window is the bound of one replica. The zero value has all places.
type window struct {
	rejections int       // since it had all places, or 1 if it began narrow; 0: it has
	learned    bool      // its size is the highest number of requests that daemons had
	size       int       // places until it widens
	opens      time.Time // no permit is granted before
	widens     time.Time // when it has one place more
}

// reject records a rejection. requests are those at the replica without the rejected one.
func (w *window) reject(requests, places int, step, usual time.Duration, now time.Time) {
	current := w.size
	if !now.Before(w.opens) {
		current = w.places(places, step, now)
	}
	if w.rejections == 0 || current == places {
		w.narrow(min(requests, places), step, usual, now)
		return
	}
	w.size = min(requests, current)
	w.rejections++
	if w.widens.Before(now) {
		w.widens = now
	}
	w.widens = w.widens.Add(time.Duration(w.rejections) * step)
	if latest := now.Add(maxClosedAfterRejection); w.widens.After(latest) {
		w.widens = latest
	}
}

// narrow begins a window, by rules 2 to 4.
func (w *window) narrow(requests int, step, usual time.Duration, now time.Time) {
	size := max((requests+1)/windowShare, min(1, requests))
	*w = window{rejections: 1, size: size, opens: now, widens: now.Add(step)}
	if size > 1 {
		w.opens = now.Add(min(step, drainTimes*usual))
		w.widens = w.opens.Add(step)
	}
}

// places returns the number of requests that the coordinator may have at the replica, out of its places there.
func (w *window) places(places int, step time.Duration, now time.Time) int {
	switch {
	case w.rejections == 0:
		return places
	case now.Before(w.opens):
		return 0
	case now.Before(w.widens):
		return min(places, w.size)
	}
	return min(places, w.size+1+int(now.Sub(w.widens)/step))
}

// begin begins a window of half the places, by rule 8 of strict.go.
func (w *window) begin(places int, step time.Duration, now time.Time) {
	*w = window{rejections: 1, size: max(1, places/2), widens: now.Add(step)}
}

// learn lets a window begin with the highest number of requests that the coordinator's daemons had.
func (w *window) learn(requests int) {
	if w.rejections == 0 || requests == 0 {
		return
	}
	if !w.learned {
		w.learned, w.size = true, 0
	}
	w.size = max(w.size, requests)
}
