// This file writes the log lines about permits for saturated services.

package routes

import (
	"strconv"
	"sync"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// urgencyName returns an urgency as operators see it: the priorities of the workspace and the route.
func urgencyName(u admission.Urgency) string {
	return strconv.Itoa(int(u>>8)) + "." + strconv.Itoa(int(u&0xff))
}

// maxRefusalLines is the number of refused permits that are logged in a second. A saturated service
// may refuse hundreds.
const maxRefusalLines = 10

// refusalLines limits the lines about refused permits.
type refusalLines struct {
	mu      sync.Mutex
	begun   time.Time // of the current second
	written int       // in it
	omitted int       // since the last line
}

// take reports whether a line may be written, and how many were omitted before it.
func (r *refusalLines) take(now time.Time) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.begun) >= time.Second {
		r.begun, r.written = now, 0
	}
	if r.written >= maxRefusalLines {
		r.omitted++
		return 0, false
	}
	r.written++
	omitted, r.omitted = r.omitted, 0
	return omitted, true
}

// Saturated logs that a service became saturated, so that its requests need permits, or is no longer
// saturated. Places, permits and waiting requests are 0 if another daemon is the coordinator.
func (l *Log) Saturated(s routing.ServiceName, begun bool, coordinator membership.Address, st *admission.Status) {
	text := "service is no longer saturated; its requests need no permits"
	if begun {
		text = "service is saturated; its requests need permits"
	}
	l.timeline.Record(coordination.EventUpstreamState, string(s), "", "%s", text)
	l.logger.Warn().Str("service", string(s)).Bool("saturated", begun).Str("coordinator", string(coordinator)).
		Int("places", st.Places).Int("out", st.Out).Int("waiting", st.Waiting).Msg(prefixPermits + text)
}

// CoordinatorSilent logs that a coordinator did not reply in time.
func (l *Log) CoordinatorSilent(s routing.ServiceName, a membership.Address) {
	l.metrics.CoordinatorsSilent.Inc(1)
	l.timeline.Record(coordination.EventPeerState, string(a), "", "%s", "coordinator of service "+string(s)+" is silent")
	l.logger.Warn().Str("service", string(s)).Str("coordinator", string(a)).Msg(prefixPermits + "coordinator is silent")
}

// unknownWaiting is logged as the number of waiting requests if another daemon is the coordinator.
const unknownWaiting = -1

// PermitRefused logs that a request was refused because its service is full. At most
// maxRefusalLines lines are written in a second. waiting returns the number of requests that wait at the
// coordinator, or unknownWaiting.
func (l *Log) PermitRefused(a *permitAsk, d *admission.Decided, retryAfter time.Duration, waiting func() int, now time.Time) {
	l.metrics.PermitsRefused.Inc(1)
	omitted, ok := l.refusals.take(now)
	if !ok {
		return
	}
	c := a.call
	l.logger.Warn().Str("request", string(c.ID)).Str("service", string(d.Service)).Str("workspace", string(c.Workspace)).
		Str("urgency", urgencyName(admission.NewUrgency(c.WorkspacePriority, c.Route.Priority))).Int("waiting", waiting()).
		Int64("waited_ms", d.Waited.Milliseconds()).Int64("left_ms", c.Deadline.Sub(now).Milliseconds()).
		Int64("retry_after_ms", retryAfter.Milliseconds()).Str("coordinator", string(d.Coordinator)).Bool("alone", d.Alone).
		Int("omitted", omitted).Msg(prefixPermits + "request refused; the service is full")
}
