// This file decides which reported terminations of replicas are false. A termination is detected
// as a connection that breaks followed by a new one that is refused (terminated.go). Links that
// refuse connections look the same to all daemons that they cut off, whose reports others accept.
//
// Inputs: which requests replicas responded to, when these were sent, and when their connections
// were opened; idle connections that are open; the terminations known here; the reports of other
// daemons. The rule:
//
//  1. A response proves that the same incarnation lived from the opening of its connection until
//     the request was sent, because no connection outlives its process. The time at which the
//     response is read proves nothing, since a daemon may be slow or frozen. An idle connection
//     proves as much until the time at which it is found open: when a process terminates so that
//     new connections are refused, its old ones are closed. Overlapping intervals are merged.
//  2. A termination within such an interval is false. Reports of terminations carry their age and
//     take time to arrive, so that a termination seems to be later than it was. The interval must
//     therefore begin more than livenessSlack before it, and end after it. A false termination is
//     removed, together with the crashes that it counts against requests (crash.go).
//  3. A daemon that receives a report of a termination that it can disprove tells others. Each
//     daemon that learns something from that forwards it once.

package routing

import "time"

// LivenessReport says that an incarnation of a replica lived throughout an interval.
type LivenessReport struct {
	Replica LoadKey
	Since   time.Duration // how long ago the interval began
	Age     time.Duration // how long ago the interval ended
}

const (
	// livenessSlack bounds how much later than it was a termination can appear. Reports are
	// forwarded within tens of milliseconds. At the other end of the interval ageRounding is
	// enough: with more, false terminations caused by a partition would count.
	livenessSlack = 300 * time.Millisecond
	ageRounding   = 10 * time.Millisecond
	// livenessRetention is how long an interval is kept after its end: as long as terminations
	// count and reports of them are in transit.
	livenessRetention = 2 * terminatedHoldStale
	// livenessReportInterval is the minimum time between two reports of the same incarnation.
	livenessReportInterval = time.Second
	// maxLivenessReports bounds the queued reports, because each daemon of a large fleet may have
	// as many.
	maxLivenessReports = 500
)

// liveInterval is the latest interval throughout which an incarnation is known to have lived.
type liveInterval struct {
	from, to   time.Time
	reportedAt time.Time
}

// covers reports whether a termination at the given time is false, by rule 2.
func (l *liveInterval) covers(at time.Time) bool {
	return l != nil && at.Sub(l.from) > livenessSlack && l.to.Sub(at) > ageRounding
}

// extend merges an interval with the known one if they overlap, or replaces an older one.
func (l *liveInterval) extend(from, to time.Time) {
	if from.After(l.to) || l.to.IsZero() {
		l.from = from
	}
	if from.Before(l.from) {
		l.from = from
	}
	l.to = latest(l.to, to)
}

// RecordAlive records that a replica responded to a request of this daemon that was sent at the
// time sent on a connection opened at the time opened, or that such an idle connection was found
// open at the time sent.
func (h *Health) RecordAlive(r *Replica, opened, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.livenessOf(r.LoadKey()).extend(opened, sent)
	h.removeDisproved(r.LoadKey(), sent)
}

// livenessOf returns the interval of an incarnation, which is created if needed. h.mu must be
// held.
func (h *Health) livenessOf(key LoadKey) *liveInterval {
	l := h.liveness[key]
	if l == nil {
		l = &liveInterval{}
		h.liveness[key] = l
	}
	return l
}

// removeDisproved removes the known termination of an incarnation if it is false, and queues a
// report of that. It returns true if it did. h.mu must be held.
func (h *Health) removeDisproved(key LoadKey, now time.Time) bool {
	at, terminated := h.terminated[key]
	l := h.liveness[key]
	if !terminated || !l.covers(at) {
		return false
	}
	delete(h.terminated, key)
	h.queueLiveness(key, l, now)
	return true
}

// queueLiveness queues a report unless one was queued within livenessReportInterval. h.mu must be
// held.
func (h *Health) queueLiveness(key LoadKey, l *liveInterval, now time.Time) {
	if now.Sub(l.reportedAt) < livenessReportInterval {
		return
	}
	l.reportedAt = now
	h.livenessReports.add(LivenessReport{Replica: key}, now)
}

// Disproves reports whether a termination of an incarnation at the given time is known to be
// false.
func (h *Health) Disproves(key LoadKey, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveness[key].covers(at)
}

// FilterDisproved returns the crash reports that are not disproved, including clearances. For
// those that are disproved, it queues reports for other daemons.
func (h *Health) FilterDisproved(reports []CrashReport, now time.Time) []CrashReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]CrashReport, 0, len(reports))
	for _, r := range reports {
		l := h.liveness[r.Replica]
		if r.Clears || !l.covers(now.Add(-r.Age)) {
			out = append(out, r)
			continue
		}
		h.queueLiveness(r.Replica, l, now)
	}
	return out
}

// ObserveLiveness applies the reports of another daemon. It returns the incarnations whose
// termination they disprove.
func (h *Health) ObserveLiveness(reports []LivenessReport, now time.Time) []LoadKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []LoadKey
	for _, r := range reports {
		h.livenessOf(r.Replica).extend(now.Add(-r.Since), now.Add(-r.Age))
		if h.removeDisproved(r.Replica, now) {
			found = append(found, r.Replica)
		}
	}
	return found
}

// LivenessWaiting returns a channel that receives a value when reports are available from
// [Health.TakeLivenessReports].
func (h *Health) LivenessWaiting() <-chan struct{} { return h.livenessReports.notify }

// TakeLivenessReports returns up to n reports to send to other daemons. The others stay queued.
func (h *Health) TakeLivenessReports(n int, now time.Time) []LivenessReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.livenessReports.take(n, now, func(r LivenessReport, _ time.Duration) LivenessReport {
		l := h.livenessOf(r.Replica)
		r.Since, r.Age = now.Sub(l.from), now.Sub(l.to)
		return r
	})
}

// forgetLiveness removes expired intervals. h.mu must be held.
func (h *Health) forgetLiveness(now time.Time) {
	for key, l := range h.liveness {
		if now.Sub(l.to) > livenessRetention {
			delete(h.liveness, key)
		}
	}
}
