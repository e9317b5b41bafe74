// This file defines the reports about upstreams that daemons exchange, and
// their merge. The merge is commutative, idempotent and monotone, so late,
// repeated and reordered reports do no harm.

package fleet

import "hingewinch.org/hingewinch/state"

// Report is what the daemon that watches an upstream publishes about it.
type Report struct {
	ID          state.UpstreamID
	Incarnation state.Incarnation
	State       state.MemberState
	Load        state.Load
	Admission   state.Admission
	Seq         uint64 // increases with each report of an incarnation
}

// Merge returns the join of two reports about one upstream. The higher incarnation
// replaces the lower entirely. Within one incarnation a state never moves backwards,
// so leaving is final, and load and admission come from the higher sequence number.
// If two watchers used the same number, the higher load and the lower admission win,
// which errs towards sending less.
func (r Report) Merge(o Report) Report {
	if r.Incarnation != o.Incarnation {
		if r.Incarnation > o.Incarnation {
			return r
		}
		return o
	}
	out := r
	switch {
	case o.Seq > r.Seq:
		out = o
	case o.Seq == r.Seq:
		out.Load = max(r.Load, o.Load)
		out.Admission = min(r.Admission, o.Admission)
	}
	out.State = max(r.State, o.State)
	return out
}

// status combines a member of the platform's list with a report. The list lags behind:
// a report of a later incarnation counts, one of an earlier incarnation does not.
func (r Report) status(m *state.Member) (state.Status, bool) {
	if r.Incarnation < m.Incarnation {
		return state.Status{}, false
	}
	st := state.Status{State: r.State, Admission: r.Admission, Load: r.Load}
	if r.Incarnation == m.Incarnation {
		st.State = max(st.State, m.State)
	}
	return st, true
}
