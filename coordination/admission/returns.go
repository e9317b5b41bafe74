// When a refused caller is asked to come back.
//
// Inputs: the refused asks with their workspace, urgency and the time until their deadline; the
// throughput of the service in requests a second; and the asks that arrive. The rule:
//
//  1. plannedFraction of the throughput is planned for callers that return: one place at a time, in
//     equal intervals.
//  2. A refused caller is told the first moment at which a place is not planned yet, at least
//     minReturn ahead and at most timeFraction of the time until its deadline. If there is none, it
//     is told the latter moment, and no place is planned for it.
//  3. No workspace has more planned returns than its equal share: what fits into the time until the
//     caller's latest moment, divided by the workspaces that were refused in the last
//     refusedWindow, rounded up. Beyond that, no place is planned for the caller.
//  4. From its moment on, a planned return is valid for returnWindow. The first ask of the same
//     workspace and urgency uses it up: callers return through any daemon, with a new id.

package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// plannedFraction is a fraction of the throughput. A place for a caller that returns is one in
	// which another caller would be served in time at its first try, so that most are for those.
	plannedFraction = 0.1
	// minReturn is the earliest return: a burst is over by then.
	minReturn = 100 * time.Millisecond
	// timeFraction is the fraction of the time until the deadline after which a caller returns at
	// the latest, so that it can be served or refused once more.
	timeFraction = 1.0 / 3
	// returnWindow is how long a planned return is valid: messages and callers take some time.
	returnWindow = 150 * time.Millisecond
	// refusedWindow is how long a workspace counts as one that shares the plan.
	refusedWindow = time.Second
)

// returns is the plan of a coordinator for the callers that it refused. The zero value is an empty
// plan.
type returns struct {
	workspaces map[WorkspaceKey]*workspaceReturns
	latest     time.Time // of the planned returns; the next one is an interval later
	swept      time.Time // when workspaces were last removed
	sharing    int       // the workspaces that were refused in the last refusedWindow, as of swept
}

// workspaceReturns are the planned returns of one workspace, by time.
type workspaceReturns struct {
	planned []plannedReturn
	refused time.Time // when it was last refused
}

type plannedReturn struct {
	at      time.Time
	urgency Urgency
}

// plan returns after which time a refused caller should come back. throughput is the number of
// requests that the service completes in a second.
func (r *returns) plan(w *waiting, throughput float64, now time.Time) time.Duration {
	if r.workspaces == nil {
		r.workspaces = make(map[WorkspaceKey]*workspaceReturns)
	}
	own := r.workspaces[w.Workspace]
	if own == nil {
		own = &workspaceReturns{}
		r.workspaces[w.Workspace] = own
	}
	if now.Sub(own.refused) > refusedWindow {
		r.sharing++
	}
	own.refused = now
	own.expire(now)
	r.sweep(now)

	limit := max(minReturn, time.Duration(timeFraction*float64(w.deadline.Sub(now))))
	perSecond := plannedFraction * throughput
	if perSecond <= 0 {
		return limit
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	after := max(minReturn, r.latest.Add(interval).Sub(now))
	share := math.Ceil(perSecond * limit.Seconds() / float64(r.sharing))
	if after > limit || len(own.planned) >= int(share) {
		return limit
	}
	r.latest = now.Add(after)
	own.planned = append(own.planned, plannedReturn{at: r.latest, urgency: w.Urgency})
	return after
}

// take reports whether a return is planned for an ask at this time, and uses it up.
func (r *returns) take(w *waiting, now time.Time) bool {
	own := r.workspaces[w.Workspace]
	if own == nil {
		return false
	}
	own.expire(now)
	for i, p := range own.planned {
		if p.at.After(now) {
			break
		}
		if p.urgency == w.Urgency {
			own.planned = slices.Delete(own.planned, i, i+1)
			return true
		}
	}
	return false
}

// expire removes the returns that are no longer valid.
func (s *workspaceReturns) expire(now time.Time) {
	n := 0
	for n < len(s.planned) && now.Sub(s.planned[n].at) >= returnWindow {
		n++
	}
	s.planned = slices.Delete(s.planned, 0, n)
}

// sweep removes the workspaces that have neither been refused recently nor a planned return, and
// counts the others. It runs ten times in a refusedWindow.
func (r *returns) sweep(now time.Time) {
	if now.Sub(r.swept) < refusedWindow/10 {
		return
	}
	r.swept, r.sharing = now, 0
	for k, s := range r.workspaces {
		s.expire(now)
		if now.Sub(s.refused) <= refusedWindow {
			r.sharing++
		} else if len(s.planned) == 0 {
			delete(r.workspaces, k)
		}
	}
}
