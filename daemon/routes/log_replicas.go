// This file writes the log lines about replicas.

package routes

import (
	"strconv"
	"strings"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/relay"
)

// Replica logs that a replica became ready, draining or gone.
func (l *Log) Replica(id routing.ReplicaID, stage string, at feed.Revision) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stage)
	l.logger.Info().Str("replica", string(id)).Str("state", stage).Uint64("revision", uint64(at)).Msg(prefixReplica + "state changed")
}

// Restarted logs that a replica restarted with the same id.
func (l *Log) Restarted(id routing.ReplicaID, born routing.StartTime, at feed.Revision) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stateRestarted)
	l.logger.Info().Str("replica", string(id)).Str("state", stateRestarted).Int64("born", int64(born)).Uint64("revision", uint64(at)).Msg(prefixReplica + "restarted with the same id; previous state is dropped")
}

// CountUnusable counts a change that made an entry, or left it, unusable.
func (l *Log) CountUnusable() { l.metrics.UnusableEntries.Inc(1) }

// UnusableOthers logs how many further entries can't be used, if any. They have no lines of their own.
func (l *Log) UnusableOthers(n int) {
	if n > 0 {
		l.logger.Warn().Int("entries", n).Msg(prefixReplica + "further entries name no replicas; operators' list of replicas has all")
	}
}

// Unusable logs that an entry can't be used.
func (l *Log) Unusable(key string, at feed.Revision, err error) {
	l.timeline.Record(coordination.EventUpstreamState, key, "", "%s", err.Error())
	l.logger.Warn().Str("key", key).Uint64("revision", uint64(at)).Err(err).Msg(prefixReplica + "entry names no replica")
}

// Cold logs that a replica is cold for the given time, or warm if it is 0.
func (l *Log) Cold(id routing.ReplicaID, d time.Duration, at feed.Revision) {
	stage := stateWarm
	if d > 0 {
		stage = stateCold
		l.metrics.TurnedCold.Inc(1)
	}
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stage)
	l.logger.Info().Str("replica", string(id)).Str("state", stage).Int64("cold_ms", d.Milliseconds()).Uint64("revision", uint64(at)).Msg(prefixReplica + "state changed")
}

// ExpiredKept logs that replicas of a service are kept in use although their entries expired.
// left is the number of ready replicas with entries.
func (l *Log) ExpiredKept(s routing.ServiceName, expired, left int) {
	l.timeline.Record(coordination.EventListDeferred, string(s), "", "%d entries expired at about the same time, %d replicas are left", expired, left)
	l.logger.Warn().Str("service", string(s)).Int("vanished", expired).Int("left", left).
		Msg(prefixReplica + "entries expired while the store was unreachable; keeping the replicas in use")
}

// Ejected logs that a replica temporarily gets no requests.
func (l *Log) Ejected(r *routing.Replica, c *relay.Call, cause error) {
	l.timeline.Record(coordination.EventAttemptFailed, string(r.ID), state.RequestID(c.ID), "%s", "ejected: "+cause.Error())
	l.metrics.Ejections.Inc(1)
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).AnErr("cause", cause).Msg(prefixReplica + "ejected for a while")
}

// maxPartsText is how much of the parts of a prompt a line shows, in bytes.
const maxPartsText = 200

// CrashedDuring logs that a replica crashed while serving a request. responding_ms is for how long it had sent
// events, or -1.
func (l *Log) CrashedDuring(r *routing.Replica, c *relay.Call, responding time.Duration) {
	l.metrics.Crashed.Inc(1)
	responded := int64(-1)
	if responding >= 0 {
		responded = responding.Milliseconds()
	}
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("content", c.Content.String()).
		Str("workspace", string(c.Workspace)).Str("route", c.Route.Name).Int64("responding_ms", responded).Str("parts", partsText(c.Prompt)).
		Msg(prefixReplica + "ended while it had a request")
}

// partsText returns the ids of the parts of a prompt.
func partsText(prompt []routing.PromptPart) string {
	var b strings.Builder
	for i, p := range prompt {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(p.ID)
		if b.Len() > maxPartsText {
			return b.String()[:maxPartsText]
		}
	}
	return b.String()
}

// Alive logs that a replica which was considered terminated is alive, as reported by other daemons.
func (l *Log) Alive(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "has not terminated: it answers other daemons")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "has not terminated; it answers other daemons on connections opened before its reported termination")
}

// Overloaded logs that a replica is overloaded and briefly avoided. The prompt of the request may be
// cached at additional replicas.
func (l *Log) Overloaded(r *routing.Replica, c *relay.Call, load relay.ReportedLoad) {
	l.metrics.Overloaded.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("prompt", strconv.FormatUint(c.Key(), 36)).
		Int("reported_load", reportedLoad(load)).Msg(prefixReplica + "crowded; avoided for a moment")
}

// SelfReported counts what a replica reported about itself in a response. Invalid fields are logged at most
// once per second, because a replica may send them in each response.
func (l *Log) SelfReported(r *routing.Replica, c *relay.Call, says relay.SelfReport) {
	if says.Backoff > 0 {
		l.metrics.BackoffsRequested.Inc(1)
	}
	if says.Leaving {
		l.metrics.DeparturesAnnounced.Inc(1)
	}
	if len(says.NotUnderstood) == 0 {
		return
	}
	l.metrics.InvalidFields.Inc(int64(len(says.NotUnderstood)))
	if l.invalidFields.Allow() {
		l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).Strs("fields", says.NotUnderstood).
			Msg(prefixReplica + "ignoring invalid fields of a response")
	}
}

// BackoffRequested logs that a replica requested a backoff (Retry-After), during which this daemon sends it
// nothing. Further requests for a backoff during that time are not logged.
func (l *Log) BackoffRequested(r *routing.Replica, c *relay.Call, left time.Duration) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "requested a backoff of %s", left.Round(time.Millisecond))
	l.metrics.BackoffsBegun.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("rest_ms", left.Milliseconds()).Msg(prefixReplica + "requested a backoff; this daemon sends it no requests for that time")
}

// BackoffLifted logs that an operator ended the backoff that a replica requested.
func (l *Log) BackoffLifted(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "its backoff was lifted by an operator")
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "rest was lifted by an operator")
}

// DepartureAnnounced logs that a replica announced its departure in a response.
func (l *Log) DepartureAnnounced(r *routing.Replica, c *relay.Call) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "announced its departure")
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("born", int64(r.StartTime)).Msg(prefixReplica + "announced its departure in a response; it gets no more requests")
}

// Replaced logs that another replica answered at a replica's address.
func (l *Log) Replaced(r *routing.Replica, c *relay.Call) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "another replica answers at its address")
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("born", int64(r.StartTime)).Msg(prefixReplica + "another replica answers at its address; it gets no more requests")
}

// DepartureReported logs that another daemon reported a replica as shutting down or gone.
func (l *Log) DepartureReported(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "shutting down or gone, as reported by another daemon")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "shutting down or gone, as reported by another daemon; it gets no more requests")
}

// ReportedSilent logs that a replica gets no requests because other daemons found it silent.
func (l *Log) ReportedSilent(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventAttemptFailed, string(id), "", "several daemons find it silent")
	l.metrics.ReportedSilent.Inc(1)
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "several daemons find it silent; it gets no requests for a while")
}

// BrittleBegan logs that the replicas of a service say that they are brittle.
func (l *Log) BrittleBegan(s routing.BrittleStatus) {
	l.metrics.BrittleBegun.Inc(1)
	l.timeline.Record(coordination.EventUpstreamState, string(s.Service), "", "replicas are brittle; limit %d", s.Limit)
	l.logger.Warn().Str("service", string(s.Service)).Int("limit", int(s.Limit)).Msg(prefixReplica + "replicas of a service say that they terminate if they reject more requests a second than the limit")
}

// BrittleEnded logs that the replicas of a service no longer say that they are brittle.
func (l *Log) BrittleEnded(s routing.BrittleStatus, now time.Time) {
	l.timeline.Record(coordination.EventUpstreamState, string(s.Service), "", "%s", "replicas are no longer brittle")
	l.logger.Warn().Str("service", string(s.Service)).Int64("after_ms", now.Sub(s.Since).Milliseconds()).Msg(prefixReplica + "replicas of a service are no longer brittle")
}
