// This file writes the structured log: a line for each decision that touches a
// request or changes the daemon's state. Operators filter by the names of the
// fields, which golden_test.go holds.

package routes

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// errOlderVersion rejects a configuration that is newer in the store and has a lower
// version.
var errOlderVersion = errors.New("configuration has a lower version than the one in force; write a higher one")

// Prefixes of the log lines, one for each part.
const (
	prefixRequest = "request: "
	prefixControl = "control: "
	prefixReplica = "replica: "
	prefixStore   = "store: "
	prefixPeer    = "peer: "
	prefixDaemon  = "daemon: "
)

// timelineEvents is how many events a daemon keeps for the time line: some minutes
// of a calm day. Chosen, not measured.
const timelineEvents = 512

// Log is the log of a daemon. It is safe for use by many goroutines.
type Log struct {
	logger   log.Logger
	writer   *backgroundWriter
	timeline *transport.Recorder
	metrics  *Metrics
	done     chan struct{}
	ended    chan struct{}
	once     sync.Once
	unreadAt atomic.Int64 // when a line last said that an answer can't be read, in Unix nanoseconds
}

// newLog returns a log that writes to out until Close.
func newLog(out io.Writer, level, daemon string, m *Metrics) *Log {
	w := &backgroundWriter{out: out}
	l := &Log{
		logger:   log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}, Context: log.NewContext(nil).Str("daemon", daemon).Value()},
		writer:   w,
		timeline: transport.NewRecorderSize(state.DaemonID(daemon), nil, timelineEvents),
		metrics:  m,
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *Log) run() {
	defer close(l.ended)
	t := time.NewTicker(logFlushInterval)
	defer t.Stop()
	for {
		select {
		case <-l.done:
			l.writer.flush()
			return
		case <-t.C:
			if n := l.writer.flush(); n > 0 {
				l.logger.Warn().Int64("lines", n).Msg(prefixDaemon + "log lines were dropped")
			}
		}
	}
}

// Close writes what is held and ends the background writing.
func (l *Log) Close() {
	l.once.Do(func() { close(l.done) })
	<-l.ended
}

// Started says that the daemon serves.
func (l *Log) Started(callers string) {
	l.timeline.Record(coordination.EventStarted, callers, "", "daemon serves")
	l.logger.Info().Str("callers", callers).Msg(prefixDaemon + "started")
}

// Stopping says that a planned stop begins.
func (l *Log) Stopping() {
	l.timeline.Record(coordination.EventStopBegun, "", "", "planned stop begins")
	l.logger.Info().Msg(prefixDaemon + "planned stop begins")
}

// Stopped says that the daemon ends. err is nil after a planned stop.
func (l *Log) Stopped(err error) {
	l.logger.Info().AnErr("error", err).Msg(prefixDaemon + "ended")
}

// Reloaded says that the settings were read again after a signal.
func (l *Log) Reloaded(changed bool, err error) {
	e := l.logger.Info()
	if err != nil {
		e = l.logger.Error().Err(err)
	}
	e.Bool("changed", changed).Msg(prefixDaemon + "settings were read again")
}

// Paused says that the process was paused.
func (l *Log) Paused(d time.Duration) {
	l.timeline.Record(coordination.EventPaused, "", "", "process was paused for %s", d.Round(time.Millisecond))
	l.logger.Warn().Int64("ms", d.Milliseconds()).Msg(prefixControl + "process was paused; reading the store again")
}

// Figures says what control has cost since the start.
func (l *Log) Figures(daemons int, at feed.Revision) {
	m := l.metrics
	l.logger.Info().Int("daemons", daemons).Uint64("revision", uint64(at)).Int64("store_calls", m.StoreCalls.Count()).
		Int64("beats", m.HeartbeatsSent.Count()).Int64("beat_bytes", m.HeartbeatBytes.Count()).
		Int64("pulls", m.Syncs.Count()).Int64("pulled_bytes", m.SyncedBytes.Count()).Msg(prefixDaemon + "figures so far")
}

// Store says that the store was lost or regained. err is why it was lost.
func (l *Log) Store(lost bool, err error, at feed.Revision) {
	if lost {
		const text = "lost; serving with the last documents"
		l.timeline.Record(coordination.EventPlatform, "store", "", text)
		l.logger.Warn().AnErr("error", err).Uint64("revision", uint64(at)).Msg(prefixStore + text)
		return
	}
	l.timeline.Record(coordination.EventPlatform, "store", "", "regained")
	l.logger.Info().Uint64("revision", uint64(at)).Msg(prefixStore + "regained")
}

// Documents says that documents changed. source is the store or a peer's address.
func (l *Log) Documents(n int, source string, at feed.Revision) {
	l.logger.Info().Int("documents", n).Str("source", source).Uint64("revision", uint64(at)).Msg(prefixControl + "documents changed")
}

// Config says that a configuration is in force.
func (l *Log) Config(v routing.ConfigVersion, at feed.Revision, source string) {
	l.timeline.Record(coordination.EventConfigTaken, strconv.FormatUint(uint64(v), 10), "", "%s", "from "+source)
	l.logger.Info().Uint64("version", uint64(v)).Uint64("revision", uint64(at)).Str("source", source).Msg(prefixControl + "configuration is in force")
}

// Rejected says that a document can't be used.
func (l *Log) Rejected(key string, err error) {
	l.timeline.Record(coordination.EventConfigRefused, key, "", "%s", err.Error())
	l.logger.Error().Str("key", key).Err(err).Msg(prefixControl + "document is rejected; the last good one stays in force")
}

// NotUnderstood says that a part of a document is not known, and what holds in its
// place.
func (l *Log) NotUnderstood(key, warning string) {
	l.logger.Warn().Str("key", key).Str("warning", warning).Msg(prefixControl + "part of a document is not understood")
}

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

// Evacuation says that a failure domain is evacuated or was taken back.
func (l *Log) Evacuation(d state.FailureDomain, begun bool, at feed.Revision) {
	text := "failure domain was taken back; its replicas count as cold for a while"
	if begun {
		text = "failure domain is evacuated; its replicas get no requests"
		l.metrics.Evacuations.Inc(1)
	}
	l.timeline.Record(coordination.EventUpstreamState, string(d), "", "%s", text)
	l.logger.Warn().Str("domain", string(d)).Bool("evacuated", begun).Uint64("revision", uint64(at)).Msg(prefixControl + text)
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

// EndedUnder says that a replica ended while it had a request.
func (l *Log) EndedUnder(r *routing.Replica, c *relay.Call) {
	l.metrics.EndedUnder.Inc(1)
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("content", c.Content.String()).
		Str("workspace", string(c.Workspace)).Str("route", c.Route.Name).Msg(prefixReplica + "ended while it had a request")
}

// Lives says that a replica which was held to have ended lives, as other daemons know.
func (l *Log) Lives(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "has not ended: it answers other daemons")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "has not ended; it answers other daemons on connections from before")
}

// HeldBack says that requests of a content are not sent any more because replicas end under
// them.
func (l *Log) HeldBack(content routing.ContentKey) {
	l.timeline.Record(coordination.EventAttemptFailed, content.String(), "", "requests are held back: replicas end under them")
	l.metrics.ContentsHeld.Inc(1)
	l.logger.Warn().Str("content", content.String()).Msg(prefixRequest + "held back from now on; replicas end under it")
}

// Released says that an operator let a content be sent again.
func (l *Log) Released(content routing.ContentKey) {
	l.timeline.Record(coordination.EventAttemptFailed, content.String(), "", "requests were released by an operator")
	l.logger.Warn().Str("content", content.String()).Msg(prefixRequest + "released by an operator")
}

// Crowded says that a replica holds too much and is avoided for a moment, and that the prompt
// of a request may get more homes.
func (l *Log) Crowded(r *routing.Replica, c *relay.Call, load relay.ReportedLoad) {
	l.metrics.Crowded.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Str("prompt", strconv.FormatUint(c.Key(), 36)).
		Int("reported_load", reportedLoad(load)).Msg(prefixReplica + "crowded; avoided for a moment")
}

// Said counts what a replica said of itself in an answer. What can't be read has a line, one a
// second at most: a replica may say it in each answer.
func (l *Log) Said(r *routing.Replica, c *relay.Call, says relay.Statement) {
	if says.Rest > 0 {
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

// Rests says that a replica asked for rest and gets nothing from this daemon for a while. One
// that asks again meanwhile has no further line.
func (l *Log) Rests(r *routing.Replica, c *relay.Call, left time.Duration) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "asked for %s of rest", left.Round(time.Millisecond))
	l.metrics.Resting.Inc(1)
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("rest_ms", left.Milliseconds()).Msg(prefixReplica + "asked for rest; it gets nothing from this daemon for so long")
}

// RestLifted says that an operator ended the rest of a replica.
func (l *Log) RestLifted(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "its rest was lifted by an operator")
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "rest was lifted by an operator")
}

// Leaves says that a replica said in an answer that it leaves.
func (l *Log) Leaves(r *routing.Replica, c *relay.Call) {
	l.timeline.Record(coordination.EventUpstreamState, string(r.ID), state.RequestID(c.ID), "says that it leaves")
	l.logger.Info().Str("replica", string(r.ID)).Str("request", string(c.ID)).Int64("born", int64(r.Born)).Msg(prefixReplica + "says in an answer that it leaves; it gets nothing more")
}

// LeavesByReport says that a replica told another daemon that it leaves.
func (l *Log) LeavesByReport(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "told another daemon that it leaves")
	l.logger.Info().Str("replica", string(id)).Msg(prefixReplica + "told another daemon that it leaves; it gets nothing more")
}

// FoundSilent says that a replica gets no requests because other daemons find it silent.
func (l *Log) FoundSilent(id routing.ReplicaID) {
	l.timeline.Record(coordination.EventAttemptFailed, string(id), "", "several daemons find it silent")
	l.metrics.FoundSilent.Inc(1)
	l.logger.Warn().Str("replica", string(id)).Msg(prefixReplica + "several daemons find it silent; it gets no requests for a while")
}

// Peer says that a daemon was found.
func (l *Log) Peer(m membership.Member) {
	l.timeline.Record(coordination.EventPeerState, string(m.Address), "", "found")
	l.logger.Info().Str("peer", string(m.Address)).Str("domain", string(m.Domain)).Uint64("life", uint64(m.Incarnation)).Msg(prefixPeer + "found")
}

// SyncFailed says that a peer did not send its documents.
func (l *Log) SyncFailed(from membership.Address, err error) {
	l.logger.Warn().Str("peer", string(from)).Err(err).Msg(prefixPeer + "sent no documents")
}

// HeartbeatFailed says that a heartbeat could not be sent.
func (l *Log) HeartbeatFailed(err error) {
	l.logger.Error().Err(err).Msg(prefixPeer + "heartbeat can't be encoded; check listen.peers and peer_address")
}

// Denied says that a request was not let in.
func (l *Log) Denied(id routing.RequestID, d routing.Denial) {
	l.metrics.Denied.Inc(1)
	l.logger.Info().Str("request", string(id)).Str("reason", denialNames[d]).Msg(prefixRequest + "denied")
}

// denialNames are the reasons in the log.
var denialNames = map[routing.Denial]string{
	routing.NoConfiguration: "no_configuration",
	routing.NoRoute:         "no_route",
	routing.UnknownKey:      "unknown_key",
}

// Finished says how a request ended.
func (l *Log) Finished(c *relay.Call, s *relay.Summary) {
	l.metrics.finished(s)
	e := l.logger.Info()
	if l.logger.Level > log.InfoLevel && !answeredWell(s) {
		e = l.logger.Warn()
	}
	e.Str("request", string(c.ID)).Str("content", c.Content.String()).Str("route", c.Route.Name).Str("outcome", coordination.OutcomeName(s.Outcome)).
		Str("reason", reasonOf(s.Outcome)).Int("status", s.Status).Bool("gone", s.Gone).Int("events", s.Events).
		Int64("first_ms", s.FirstByte.Milliseconds()).Int64("total_ms", s.Total.Milliseconds()).
		Uint64("revision", uint64(s.Revision))
	if len(c.Prompt) > 0 {
		e.Str("prompt", strconv.FormatUint(c.Key(), 36)).Int("shared", int(c.SharedTokens()))
	}
	for i := range s.Attempts {
		a := &s.Attempts[i]
		e.Str("replica", string(a.Replica)).Int("rank", a.Rank).Bool("cold", a.Cold).Str("copied", string(a.Copied)).Int("load", a.Load).
			Float64("mean", float64(int(a.Mean*10))/10).
			Float64("coverage", float64(int(a.Coverage*100))/100).Int("reported_load", reportedLoad(a.Reported)).
			Int64("rest_ms", a.Rest.Milliseconds()).Bool("leaving", a.Leaving).Bool("reused", a.Reused).Int64("ms", a.Duration.Milliseconds()).AnErr("error", a.Err)
	}
	e.Msg(prefixRequest + "ended")
}

// noReport stands in the log where a replica did not say what it holds.
const noReport = -1

func reportedLoad(l relay.ReportedLoad) int {
	if !l.Known {
		return noReport
	}
	return l.Requests
}

// answeredWell reports whether a request needs no line above the info level.
func answeredWell(s *relay.Summary) bool {
	a, ok := s.Outcome.(coordination.Answered)
	return ok && a.Status < http.StatusInternalServerError
}

func reasonOf(o coordination.Outcome) string {
	switch o := o.(type) {
	case coordination.NotRun:
		return string(o.Reason)
	case coordination.MayHaveRun:
		return string(o.Reason)
	}
	return ""
}
