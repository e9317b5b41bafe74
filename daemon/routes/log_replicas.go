// This file writes the lines of the log that are about replicas.

package routes

import (
	"strconv"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// Replica says that a replica is ready, draining or gone.
func (l *Log) Replica(id routing.ReplicaID, stage string, at feed.Revision) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stage)
	l.logger.Info().Str("replica", string(id)).Str("state", stage).Uint64("revision", uint64(at)).Msg(prefixReplica + "state changed")
}

// Restarted says that a replica started again under its id.
func (l *Log) Restarted(id routing.ReplicaID, born routing.Born, at feed.Revision) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stateRestarted)
	l.logger.Info().Str("replica", string(id)).Str("state", stateRestarted).Int64("born", int64(born)).Uint64("revision", uint64(at)).Msg(prefixReplica + "started again under its id; what was known of it is dropped")
}

// Unusable says that an entry names no replica.
func (l *Log) Unusable(key string, at feed.Revision, err error) {
	l.timeline.Record(coordination.EventUpstreamState, key, "", "%s", err.Error())
	l.metrics.UnusableEntries.Inc(1)
	l.logger.Warn().Str("key", key).Uint64("revision", uint64(at)).Err(err).Msg(prefixReplica + "entry names no replica")
}

// Cold says that a replica is cold for a while, or with 0 that it is warm again.
func (l *Log) Cold(id routing.ReplicaID, d time.Duration, at feed.Revision) {
	stage := stateWarm
	if d > 0 {
		stage = stateCold
		l.metrics.Cold.Inc(1)
	}
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stage)
	l.logger.Info().Str("replica", string(id)).Str("state", stage).Int64("cold_ms", d.Milliseconds()).Uint64("revision", uint64(at)).Msg(prefixReplica + "state changed")
}

// Restored says that replicas are used on although their entries expired; left is how
// many others the service has.
func (l *Log) Restored(s routing.ServiceName, expired, left int) {
	l.timeline.Record(coordination.EventListDoubted, string(s), "", "%d entries expired together, %d replicas are left", expired, left)
	l.logger.Warn().Str("service", string(s)).Int("vanished", expired).Int("left", left).
		Msg(prefixReplica + "entries expired while the store was unreachable; replicas are used on")
}

// Ejected says that a replica gets no requests for a while.
func (l *Log) Ejected(r *routing.Replica, c *relay.Call, cause error) {
	l.timeline.Record(coordination.EventAttemptFailed, string(r.ID), state.RequestID(c.ID), "%s", "ejected: "+cause.Error())
	l.metrics.Ejections.Inc(1)
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).AnErr("cause", cause).Msg(prefixReplica + "ejected for a while")
}

// CrashedDuring says that a replica ended while it had a request.
func (l *Log) CrashedDuring(r *routing.Replica, c *relay.Call) {
	l.metrics.EndedUnder.Inc(1)
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("content", c.Content.String()).
		Str("workspace", string(c.Workspace)).Str("route", c.Route.Name).Msg(prefixReplica + "ended while it had a request")
}

// Lives says that a replica which was held to have ended lives, as other daemons know.
func (l *Log) Lives(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "has not ended: it answers other daemons")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "has not ended; it answers other daemons on connections from before")
}

// Overloaded says that a replica holds too much and is avoided for a moment, and that the prompt
// of a request may get more homes.
func (l *Log) Overloaded(r *routing.Replica, c *relay.Call, load relay.ReportedLoad) {
	l.metrics.Crowded.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("prompt", strconv.FormatUint(c.Key(), 36)).
		Int("reported_load", reportedLoad(load)).Msg(prefixReplica + "crowded; avoided for a moment")
}

// SelfReported counts what a replica said of itself in an answer. What can't be read has a line, one a
// second at most: a replica may say it in each answer.
func (l *Log) SelfReported(r *routing.Replica, c *relay.Call, says relay.SelfReport) {
	if says.Backoff > 0 {
		l.metrics.RestsAsked.Inc(1)
	}
	if says.Leaving {
		l.metrics.LeavingSaid.Inc(1)
	}
	if len(says.NotUnderstood) == 0 {
		return
	}
	l.metrics.NotUnderstood.Inc(int64(len(says.NotUnderstood)))
	now := clock.Now().UnixNano()
	if last := l.unreadAt.Load(); now-last >= int64(time.Second) && l.unreadAt.CompareAndSwap(last, now) {
		l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).Strs("fields", says.NotUnderstood).
			Msg(prefixReplica + "answer has fields that can't be read; they say nothing")
	}
}

// BackoffRequested says that a replica asked for rest and gets nothing from this daemon for a while. One
// that asks again meanwhile has no further line.
func (l *Log) BackoffRequested(r *routing.Replica, c *relay.Call, left time.Duration) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "asked for %s of rest", left.Round(time.Millisecond))
	l.metrics.Resting.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("rest_ms", left.Milliseconds()).Msg(prefixReplica + "asked for rest; it gets nothing from this daemon for so long")
}

// RestLifted says that an operator ended the rest of a replica.
func (l *Log) RestLifted(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "its rest was lifted by an operator")
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "rest was lifted by an operator")
}

// DepartureAnnounced says that a replica said in an answer that it leaves.
func (l *Log) DepartureAnnounced(r *routing.Replica, c *relay.Call) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "says that it leaves")
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("born", int64(r.Born)).Msg(prefixReplica + "says in an answer that it leaves; it gets nothing more")
}

// Replaced says that another replica answered at a replica's address.
func (l *Log) Replaced(r *routing.Replica, c *relay.Call) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "another replica answers at its address")
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("born", int64(r.Born)).Msg(prefixReplica + "another one answers at its address; it gets nothing more")
}

// LeavesByReport says that another daemon knows by an answer that a replica leaves or has gone.
func (l *Log) LeavesByReport(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "leaves or has gone, by another daemon's word")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "leaves or has gone, by another daemon's word; it gets nothing more")
}

// FoundSilent says that a replica gets no requests because other daemons find it silent.
func (l *Log) FoundSilent(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventAttemptFailed, string(id), "", "several daemons find it silent")
	l.metrics.FoundSilent.Inc(1)
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "several daemons find it silent; it gets no requests for a while")
}
