// This file holds the Fleet's state of single upstreams: which of them it watches,
// what it reports about them and what peers reported.

package fleet

import (
	"math"
	"sort"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

// knownReport is a report with the local position of its last change and the process
// that sent the change. Only that process already has it: its successor under the
// same id must be sent the report, or a restarted watcher would number its reports
// below those that other daemons hold.
type knownReport struct {
	Report
	position uint64
	from     source
}

// source identifies one process of a daemon.
type source struct {
	id          state.DaemonID
	incarnation state.Incarnation
}

// minAdmissionStep, minLoadStep and minRelativeLoadStep are the smallest changes that are
// reported, so that a steady fleet sends no reports. minRelativeLoadStep is relative to the
// previous load.
const (
	minAdmissionStep    = state.AdmitAll / 32
	minLoadStep         = 500
	minRelativeLoadStep = 0.25
)

// observeUpstream processes the report of a watched upstream, updates its admission, and
// publishes the result if it changed enough.
func (f *Fleet) observeUpstream(ev UpstreamReported) {
	known := f.reports[ev.ID]
	if known != nil && known.Incarnation > ev.Incarnation {
		return
	}
	mean, seen := f.loads[ev.ID]
	if !seen {
		mean = float64(ev.Load)
	}
	mean = smoothLoad(mean, ev.Load)
	f.loads[ev.ID] = mean
	next := Report{ID: ev.ID, Incarnation: ev.Incarnation, State: ev.State, Load: state.Load(mean), Admission: state.AdmitAll, Seq: 1}
	if known != nil && known.Incarnation == ev.Incarnation {
		next.Seq = known.Seq + 1
		next.State = max(known.State, ev.State)
		next.Admission = NextAdmission(known.Admission, mean, f.meanLoad(ev.ID), f.bound())
		if !isSignificant(known.Report, next) {
			return
		}
	}
	f.mergeReport(next, source{f.self.ID, f.self.Incarnation})
}

func isSignificant(old, next Report) bool {
	if next.State != old.State {
		return true
	}
	admission := math.Abs(float64(next.Admission) - float64(old.Admission))
	if admission >= float64(minAdmissionStep) || (next.Admission == state.AdmitAll && old.Admission != state.AdmitAll) {
		return true
	}
	load := math.Abs(float64(next.Load) - float64(old.Load))
	return load >= minLoadStep && load >= minRelativeLoadStep*float64(old.Load)
}

func (f *Fleet) bound() float64 {
	if f.config == nil {
		return state.DefaultBound
	}
	return f.config.Routing.Bound
}

// meanLoad returns the mean load of the upstreams that are interchangeable with id, as
// far as reported here. An upstream without a report counts as idle.
func (f *Fleet) meanLoad(id state.UpstreamID) float64 {
	self := f.list.Find(string(id))
	if self == nil {
		return 0
	}
	region := f.regionOf(self.Domain)
	var sum float64
	n := 0
	for i := range f.list.Members {
		m := &f.list.Members[i]
		if m.Group != self.Group || m.Kind != self.Kind || m.State != state.Live || f.regionOf(m.Domain) != region {
			continue
		}
		n++
		if r := f.reports[state.UpstreamID(m.ID)]; r != nil {
			sum += float64(r.Load)
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// mergeReport merges a report and queues it for sending if it changed anything.
func (f *Fleet) mergeReport(r Report, from source) {
	known := f.reports[r.ID]
	if known == nil {
		known = &knownReport{Report: Report{ID: r.ID}}
		f.reports[r.ID] = known
	}
	merged := known.Merge(r)
	if merged == known.Report {
		return
	}
	f.recordStateChange(known.Report, merged)
	known.Report = merged
	known.from = from
	f.position++
	known.position = f.position
	f.statsDirty = true
}

// recordStateChange records a change of state and makes it urgent: an upstream that leaves
// must get no new work within seconds. The first report that an upstream is live does
// not count as a change.
func (f *Fleet) recordStateChange(old, next Report) {
	first := old.State == 0 && next.State == state.Live
	if first || (old.State == next.State && old.Incarnation == next.Incarnation) {
		return
	}
	f.urgent = true
	f.dirty = true
	f.record(coordination.EventUpstreamState, string(next.ID), "upstream is %v (incarnation %d)", next.State, next.Incarnation)
}

// dropReports drops the reports of upstreams that are no longer listed.
func (f *Fleet) dropReports() {
	for id := range f.reports {
		if f.list.Find(string(id)) == nil {
			delete(f.reports, id)
		}
	}
}

// statuses combines list and reports for the snapshot. An upstream that has just
// failed here stays in the pool with an admission of 0, so it is chosen only if all
// others have an admission of 0 too.
func (f *Fleet) statuses() map[state.UpstreamID]state.Status {
	out := make(map[state.UpstreamID]state.Status, len(f.reports))
	for id, r := range f.reports {
		m := f.list.Find(string(id))
		if m == nil {
			continue
		}
		if st, ok := r.status(m); ok {
			out[id] = st
		}
	}
	for id := range f.suspects {
		st, ok := out[id]
		if !ok {
			st.State = state.Live
		}
		st.Admission = 0
		out[id] = st
	}
	return out
}

// updateWatched updates the set of upstreams that this daemon watches: those for which it
// ranks first among the daemons of the upstream's failure domain or, if the domain
// has no daemon, of its region.
func (f *Fleet) updateWatched() {
	byDomain := make(map[state.FailureDomain][]state.Member)
	var usable []state.Member
	for _, m := range f.list.Daemons() {
		if f.usablePeer(&m) {
			usable = append(usable, m)
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	next := make(map[state.UpstreamID]state.Member)
	for i := range f.list.Members {
		m := f.list.Members[i]
		if m.Kind == state.KindDaemon || m.State == state.Gone {
			continue
		}
		watchers := byDomain[m.Domain]
		if len(watchers) > 0 && m.Domain != f.self.Domain {
			continue
		}
		if len(watchers) == 0 {
			watchers = f.sameRegion(usable, m.Domain)
		}
		if hasDuty(watchers, f.self.ID, "watch/"+m.ID) {
			next[state.UpstreamID(m.ID)] = m
		}
	}
	if sameMembers(f.watched, next) {
		return
	}
	f.watched = next
	for id := range f.loads {
		if _, still := next[id]; !still {
			delete(f.loads, id)
		}
	}
	f.emit(WatchUpstreams{sortedMembers(next)})
}

func (f *Fleet) sameRegion(members []state.Member, d state.FailureDomain) []state.Member {
	region := f.regionOf(d)
	var out []state.Member
	for _, m := range members {
		if f.regionOf(m.Domain) == region {
			out = append(out, m)
		}
	}
	return out
}

func sameMembers(a, b map[state.UpstreamID]state.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for id, m := range a {
		if b[id] != m {
			return false
		}
	}
	return true
}

func sortedMembers(set map[state.UpstreamID]state.Member) []state.Member {
	out := make([]state.Member, 0, len(set))
	for _, m := range set {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
