// This file counts the streams of replicas that terminated between two events, and whose connections the system ended in an
// ordinary way.
//
// Inputs: the response, as the caller saw it; the record of its run; when replicas terminated so; what the link passed on.
//
//  1. Only responses without length and chunks count: any other says itself where it ends.
//  2. The replica terminated while the run was under way, and the link passed an ordinary end of the connection on, so that no
//     reset of the replica, the system or the link ended it.
//  3. The response holds some events of the stream, each whole, and not all of them.
//  4. Such a stream is no violation: by the protocol it is complete, though its replica is gone. It is counted by whether
//     the daemon passed it on as complete or broke it off.

package soak

import (
	"slices"
	"strings"
	"time"
)

// BorderEnds counts streams that ended with their replica, in an ordinary way, after a whole event.
type BorderEnds struct {
	Complete  int `json:"complete"`   // for their callers
	BrokenOff int `json:"broken_off"` // by their daemons
}

// endsAtBorder reports whether the stream of a request ended with its replica, in an ordinary way, after a whole event.
func (j *checker) endsAtBorder(r *record, want, got string) bool {
	if got == want || !strings.HasPrefix(want, got) || !strings.HasSuffix(got, "\n\n") {
		return false
	}
	return slices.ContainsFunc(r.runs, func(run *Run) bool {
		if run.Replica != r.answer.Seal || !run.Unframed {
			return false
		}
		isEnded := slices.ContainsFunc(j.orderlyEnds[run.Replica], func(at time.Time) bool {
			return at.After(run.At) && !at.After(r.answer.At)
		})
		c, ok := j.connection(run.Conn, run.At)
		return isEnded && ok && !c.ended.IsZero() && !c.ended.After(r.answer.At) && (c.reset.IsZero() || c.reset.After(c.ended))
	})
}

// countBorderEnd counts a stream that ended at a border.
func (j *checker) countBorderEnd(r *record) {
	if r.answer.Complete {
		j.borderEnds.Complete++
		return
	}
	j.borderEnds.BrokenOff++
}

// BorderEnds returns how many streams ended at a border, as of the last check.
func (l *Ledger) BorderEnds() BorderEnds {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.borderEnds
}
