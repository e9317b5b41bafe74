// This file writes the structured log: one line for each decision that affects a
// request or changes the daemon's state. Operators filter by the field names, which
// golden_test.go checks.

package routes

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/relay"
)

// errOlderVersion rejects a configuration document that is newer in the store but has a
// lower version than the active one.
var errOlderVersion = errors.New("configuration has a lower version than the active one; use a higher version")

// Prefixes of the log messages, one for each component.
const (
	prefixRequest = "request: "
	prefixPermits = "admission: "
	prefixControl = "control: "
	prefixReplica = "replica: "
	prefixStore   = "store: "
	prefixPeer    = "peer: "
	prefixDaemon  = "daemon: "
	prefixLinks   = "links: "
)

// timelineEvents is the number of events that a daemon keeps for the timeline, which is
// enough for some minutes.
const timelineEvents = 512

// Log is the log of a daemon. It is safe for concurrent use.
type Log struct {
	logger                log.Logger
	writer                *backgroundWriter
	timeline              *transport.Recorder
	metrics               *Metrics
	done                  chan struct{}
	ended                 chan struct{}
	flushNow              chan struct{} // has a buffer of one
	once                  sync.Once
	refusals              refusalLines
	stacks, invalidFields daemon.LineLimit
	acceptErrors          daemon.LineLimit
}

// newLog returns a log that writes to out until Close.
func newLog(out io.Writer, level, id string, m *Metrics) *Log {
	w := &backgroundWriter{out: out}
	l := &Log{
		logger:   log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}, Context: log.NewContext(nil).Str("daemon", id).Value()},
		writer:   w,
		timeline: transport.NewRecorderSize(state.DaemonID(id), nil, timelineEvents),
		metrics:  m,
		done:     make(chan struct{}),
		ended:    make(chan struct{}),
		flushNow: make(chan struct{}, 1),
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
		case <-l.flushNow:
			l.flush()
		case <-t.C:
			l.flush()
		}
	}
}

// flush writes the buffered lines.
func (l *Log) flush() {
	if n := l.writer.flush(); n > 0 {
		l.logger.Warn().Int64("lines", n).Msg(prefixDaemon + "log lines were dropped")
	}
}

// Close writes the buffered lines and stops background writing.
func (l *Log) Close() {
	l.once.Do(func() { close(l.done) })
	<-l.ended
}

// AcceptFailed logs that a connection could not be accepted.
func (l *Log) AcceptFailed(listener string, err error) {
	l.metrics.AcceptErrors.Inc(1)
	if l.acceptErrors.Allow() {
		l.logger.Error().Str("listener", listener).Err(err).Msg(prefixDaemon + "connection can't be accepted")
	}
}

// Started logs that the daemon has started to serve.
func (l *Log) Started(callers string) {
	l.timeline.Record(coordination.EventStarted, callers, "", "daemon started")
	l.logger.Info().Str("callers", callers).Msg(prefixDaemon + "started")
}

// Stopping logs that a graceful shutdown has started.
func (l *Log) Stopping() {
	l.timeline.Record(coordination.EventStopBegun, "", "", "graceful shutdown started")
	l.logger.Info().Msg(prefixDaemon + "graceful shutdown started")
}

// Stopped logs that the daemon exits. err is nil after a graceful shutdown.
func (l *Log) Stopped(err error) {
	l.logger.Info().AnErr("error", err).Msg(prefixDaemon + "ended")
}

// Reloaded logs that the settings file was checked after a SIGHUP. Changed settings take effect at the next
// start.
func (l *Log) Reloaded(changed bool, err error) {
	e := l.logger.Info()
	if err != nil {
		e = l.logger.Error().Err(err)
	}
	e.Bool("changed", changed).Msg(prefixDaemon + "settings file was checked again; changes take effect at the next start")
}

// MemoryNear logs that the process's memory is near its limit; both are in bytes. The line is written at once, since
// the process may be killed before the next flush.
func (l *Log) MemoryNear(held, limit uint64) {
	l.metrics.MemoryNearLimit.Inc(1)
	l.logger.Warn().Uint64("memory_mb", held/megabyte).Uint64("limit_mb", limit/megabyte).Msg(prefixDaemon + "memory is near the limit")
	select {
	case l.flushNow <- struct{}{}:
	default: // it is due
	}
}

// MemoryFar logs that the process's memory is no longer near its limit. largest is what it held at most meanwhile.
func (l *Log) MemoryFar(held, largest, limit uint64, after time.Duration) {
	l.logger.Info().Uint64("memory_mb", held/megabyte).Uint64("largest_mb", largest/megabyte).Uint64("limit_mb", limit/megabyte).
		Int64("after_ms", after.Milliseconds()).Msg(prefixDaemon + "memory is no longer near the limit")
}

// Paused logs that the process was paused.
func (l *Log) Paused(d time.Duration) {
	l.timeline.Record(coordination.EventPaused, "", "", "process was paused for %s", d.Round(time.Millisecond))
	l.logger.Warn().Int64("ms", d.Milliseconds()).Msg(prefixControl + "process was paused; reading the store again")
}

// Statistics logs the cost of the control loop since the daemon's start.
func (l *Log) Statistics(daemons int, at feed.Revision) {
	m := l.metrics
	l.logger.Info().Int("daemons", daemons).Uint64("revision", uint64(at)).Int64("store_calls", m.StoreCalls.Count()).
		Int64("beats", m.HeartbeatsSent.Count()).Int64("beat_bytes", m.HeartbeatBytes.Count()).
		Int64("pulls", m.Syncs.Count()).Int64("pulled_bytes", m.SyncedBytes.Count()).Msg(prefixDaemon + "figures so far")
}

// Store logs that the store became unreachable, with the error, or reachable again.
func (l *Log) Store(unreachable bool, err error, at feed.Revision) {
	if unreachable {
		const text = "unreachable; serving with the last known documents"
		l.timeline.Record(coordination.EventPlatform, "store", "", text)
		l.logger.Warn().AnErr("error", err).Uint64("revision", uint64(at)).Msg(prefixStore + text)
		return
	}
	l.timeline.Record(coordination.EventPlatform, "store", "", "regained")
	l.logger.Info().Uint64("revision", uint64(at)).Msg(prefixStore + "regained")
}

// StoreRestored logs that the store was restored from a backup. source is where this was learned from: the
// store or a peer's address. changed is the number of documents that changed, and version is that of the
// active configuration.
func (l *Log) StoreRestored(from, to feed.Position, source string, changed int, version routing.ConfigVersion) {
	l.timeline.Record(coordination.EventPlatform, "store", "", "restored from a backup; era %d begins", uint64(to.Era))
	l.metrics.StoreEras.Inc(1)
	l.logger.Warn().Uint64("from_era", uint64(from.Era)).Uint64("from_revision", uint64(from.Revision)).
		Uint64("era", uint64(to.Era)).Uint64("revision", uint64(to.Revision)).Str("source", source).
		Int("documents", changed).Uint64("version", uint64(version)).Msg(prefixStore + "restored from a backup; changes made after the backup are missing until they are written again")
}

// PreRestoreDocuments logs how documents from before a restore were handled which the restored store lacks
// or has older versions of.
func (l *Log) PreRestoreDocuments(n int, text string) {
	l.logger.Warn().Int("documents", n).Msg(prefixControl + text)
}

// Documents logs that documents changed. source is the store or a peer's address.
func (l *Log) Documents(n int, source string, at feed.Position) {
	l.logger.Info().Int("documents", n).Str("source", source).Uint64("revision", uint64(at.Revision)).Uint64("era", uint64(at.Era)).Msg(prefixControl + "documents changed")
}

// Config logs that a configuration became active.
func (l *Log) Config(v routing.ConfigVersion, at feed.Revision, source string) {
	l.timeline.Record(coordination.EventConfigApplied, strconv.FormatUint(uint64(v), 10), "", "%s", "from "+source)
	l.logger.Info().Uint64("version", uint64(v)).Uint64("revision", uint64(at)).Str("source", source).Msg(prefixControl + "configuration is in force")
}

// Rejected logs that a configuration document was rejected.
func (l *Log) Rejected(key string, err error) {
	l.timeline.Record(coordination.EventConfigRefused, key, "", "%s", err.Error())
	l.logger.Error().Str("key", key).Err(err).Msg(prefixControl + "document is rejected; the last valid one stays active")
}

// NotUnderstood logs that part of a document is unknown, and what is used instead.
func (l *Log) NotUnderstood(key, warning string) {
	l.logger.Warn().Str("key", key).Str("warning", warning).Msg(prefixControl + "part of a document is not understood")
}

// Evacuation logs that the evacuation of a failure domain began or ended.
func (l *Log) Evacuation(d state.FailureDomain, begun bool, at feed.Revision) {
	text := "evacuation of failure domain ended; its replicas count as cold for a while"
	if begun {
		text = "failure domain is evacuated; its replicas get no requests"
		l.metrics.Evacuations.Inc(1)
	}
	l.timeline.Record(coordination.EventUpstreamState, string(d), "", "%s", text)
	l.logger.Warn().Str("domain", string(d)).Bool("evacuated", begun).Uint64("revision", uint64(at)).Msg(prefixControl + text)
}

// Quarantined logs that requests with a content are quarantined from now on because replicas crash
// while serving them.
func (l *Log) Quarantined(content routing.ContentKey) {
	l.timeline.Record(coordination.EventAttemptFailed, content.String(), "", "requests are quarantined: replicas crash while serving them")
	l.metrics.ContentsQuarantined.Inc(1)
	l.logger.Warn().Str("content", content.String()).Msg(prefixRequest + "held back from now on; replicas end under it")
}

// PartQuarantined logs that requests with a part of prompts are quarantined from now on. The part is
// empty if another daemon reported it.
func (l *Log) PartQuarantined(key routing.ContentKey, part string) {
	l.timeline.Record(coordination.EventAttemptFailed, key.String(), "", "requests with a part of prompts are quarantined: replicas crash on it")
	l.metrics.PartsQuarantined.Inc(1)
	l.logger.Warn().Str("content", key.String()).Str("part", part).Msg(prefixRequest + "requests with a part of prompts are held back from now on; replicas end under it")
}

// Released logs that an operator released a quarantined content.
func (l *Log) Released(content routing.ContentKey) {
	l.timeline.Record(coordination.EventAttemptFailed, content.String(), "", "requests were released by an operator")
	l.logger.Warn().Str("content", content.String()).Msg(prefixRequest + "released by an operator")
}

// Peer logs that a daemon was discovered.
func (l *Log) Peer(m membership.Member) {
	l.timeline.Record(coordination.EventPeerState, string(m.Address), "", "found")
	l.logger.Info().Str("peer", string(m.Address)).Str("domain", string(m.Domain)).Uint64("life", uint64(m.Incarnation)).Msg(prefixPeer + "found")
}

// PeerRestarted logs that a peer started again although its former process had not announced a shutdown.
func (l *Log) PeerRestarted(r membership.Restart) {
	const text = "started again without a graceful shutdown"
	l.metrics.PeersRestarted.Inc(1)
	l.timeline.Record(coordination.EventPeerState, string(r.Address), "", text)
	l.logger.Warn().Str("peer", string(r.Address)).Str("domain", string(r.Domain)).Uint64("life", uint64(r.Incarnation)).
		Uint64("former_life", uint64(r.Former)).Int64("silent_ms", r.Silent.Milliseconds()).Msg(prefixPeer + text)
}

// SyncFailed logs that documents could not be fetched from a peer.
func (l *Log) SyncFailed(from membership.Address, err error) {
	l.logger.Warn().Str("peer", string(from)).Err(err).Msg(prefixPeer + "sent no documents")
}

// VersionsLearned logs that a peer told which software versions services had, for how long back, and how many.
func (l *Log) VersionsLearned(from string, complete time.Duration, versions int) {
	l.logger.Info().Str("peer", from).Int64("complete_ms", complete.Milliseconds()).Int("versions", versions).Msg(prefixPeer + "told the history of software versions")
}

// Lease logs that the lease on the daemon's knowledge of software versions ended or was renewed, and how long ago that was
// confirmed.
func (l *Log) Lease(ended bool, confirmed time.Duration) {
	text := "documents are confirmed again; versions of software are taken for known"
	if ended {
		l.metrics.LeasesEnded.Inc(1)
		text = "documents were not confirmed lately; versions of software are not taken for known"
	}
	l.logger.Info().Int64("confirmed_ms", confirmed.Milliseconds()).Msg(prefixPeer + text)
}

// VersionChanged logs that a version of a service has become new, or that it is established: since when it was known, and why.
func (l *Log) VersionChanged(v *routing.VersionChange) {
	text := "version is established; streams begin at its replicas"
	if v.Basis == "" {
		text = "version is new; streams begin at replicas of other versions"
	}
	l.timeline.Record(coordination.EventUpstreamState, string(v.Service), "", "%s", text)
	l.logger.Info().Str("service", string(v.Service)).Stringer("version", v.Version).Int("replicas", v.Replicas).
		Int64("known_ms", v.Known.Milliseconds()).Str("established_by", string(v.Basis)).Msg(prefixReplica + text)
}

// HeartbeatFailed logs that a heartbeat or another datagram could not be encoded.
func (l *Log) HeartbeatFailed(err error) {
	l.logger.Error().Err(err).Msg(prefixPeer + "heartbeat can't be encoded; check listen.peers and peer_address")
}

// Denied logs that a request was not admitted.
func (l *Log) Denied(id routing.RequestID, d routing.Denial) {
	l.metrics.Denied.Inc(1)
	l.logger.Info().Str("request", string(id)).Str("reason", denialNames[d]).Msg(prefixRequest + "denied")
}

// Refused logs that a request was refused before it was routed.
func (l *Log) Refused(id routing.RequestID, reason coordination.Reason) {
	l.metrics.Requests.Inc(1)
	l.metrics.NotRun.Inc(1)
	l.metrics.RefusedForBodies.Inc(1)
	l.logger.Warn().Str("request", string(id)).Str("reason", string(reason)).Msg(prefixRequest + "refused before it was read")
}

// denialNames are the logged reasons of denials.
var denialNames = map[routing.Denial]string{
	routing.NoConfiguration: "no_configuration",
	routing.NoRoute:         "no_route",
	routing.UnknownKey:      "unknown_key",
}

// Finished logs the result of a request and its attempts.
func (l *Log) Finished(c *relay.Call, s *relay.Summary) {
	l.metrics.finished(c, s)
	e := l.logger.Info()
	if l.logger.Level > log.InfoLevel && !answeredWithoutError(s) {
		e = l.logger.Warn()
	}
	e.Str("request", string(c.ID)).Str("content", c.Content.String()).Str("route", c.Route.Name).Str("workspace", string(c.Workspace)).Str("outcome", coordination.OutcomeName(s.Outcome)).
		Str("reason", reasonOf(s.Outcome)).Int("status", s.Status).Bool("gone", s.CallerGone).Str("ended_by", string(s.EndedBy)).Int("events", s.Events).
		Int64("first_ms", s.FirstByte.Milliseconds()).Int64("total_ms", s.Total.Milliseconds()).
		Int64("permit_ms", s.PermitWait.Milliseconds()).
		Uint64("revision", uint64(s.Position.Revision)).Uint64("era", uint64(s.Position.Era)).
		Uint64("config", uint64(c.ConfigVersion)).Uint64("config_at_end", uint64(s.ConfigVersion))
	if len(c.Prompt) > 0 {
		e.Str("prompt", strconv.FormatUint(c.Key(), 36)).Int("shared", int(c.SharedTokens()))
	}
	if c.LastEventID != "" {
		e.Str("resumes", string(c.Resumes)).Str("last_event", c.LastEventID).Int64("origin_ms", s.OriginWait.Milliseconds())
		addBinding(e, &s.Binding)
		e.Int64("first_event", s.FirstEvent)
	}
	if s.EstablishmentWait > 0 {
		e.Int64("establishment_ms", s.EstablishmentWait.Milliseconds())
	}
	if s.StartWait > 0 {
		e.Int64("start_ms", s.StartWait.Milliseconds())
	}
	if s.QuarantinedPart != "" {
		e.Str("held_part", s.QuarantinedPart[:min(len(s.QuarantinedPart), maxPartsText)])
	}
	addAttempts(e, s.Attempts)
	e.Msg(prefixRequest + "ended")
}

// addBinding adds by which knowledge a resumed stream was bound to a software version. Each field is of bounded size.
func addBinding(e *log.Entry, b *relay.Binding) {
	e.Str("origin", string(b.By)).Str("origin_from", string(b.Holder)).Str("origin_version", strconv.FormatUint(uint64(b.Version), 36)).
		Int64("confirmed_ms", b.Ages.Confirmed.Milliseconds()).Int64("documents_ms", b.Ages.Changed.Milliseconds())
}

// noReportedLoad is logged as the reported load if the replica did not report any.
const noReportedLoad = -1

func reportedLoad(l relay.ReportedLoad) int {
	if !l.Known {
		return noReportedLoad
	}
	return l.Requests
}

// answeredWithoutError reports whether a request was answered without a server error, so that it is
// not logged above the info level.
func answeredWithoutError(s *relay.Summary) bool {
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
