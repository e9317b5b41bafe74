// This file writes the structured log: a line for each decision that touches a
// request or changes what the daemon believes. Lines are held in memory and
// written in the background; what does not fit is left out and counted, so that
// logging never holds up a request.

package routes

import (
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/relay"
)

// errOlderVersion is a configuration that came later and says that it is older.
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

// Settings of the background writer.
const (
	logBufferBytes   = 256 << 10
	logFlushInterval = 250 * time.Millisecond
)

// backgroundWriter holds lines until the next flush. It is safe for use by many
// goroutines.
type backgroundWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int64
	total   int64
}

// Write takes one line, or drops it.
func (w *backgroundWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(p) > logBufferBytes {
		w.dropped++
		w.total++
		return len(p), nil
	}
	w.buffer = append(w.buffer, p...)
	return len(p), nil
}

// flush writes what is held, and returns how many lines were dropped since the
// last flush.
func (w *backgroundWriter) flush() int64 {
	w.mu.Lock()
	w.buffer, w.spare = w.spare[:0], w.buffer
	dropped := w.dropped
	w.dropped = 0
	out := w.spare
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.out.Write(out)
	}
	return dropped
}

func (w *backgroundWriter) droppedTotal() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// timelineEvents is how many events a daemon keeps for the time line.
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
}

// NewLog returns a log that writes to out until Close.
func NewLog(out io.Writer, level, daemon string, m *Metrics) *Log {
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
				l.logger.Warn().Int64("lines", n).Msg(prefixDaemon + "log lines were left out")
			}
		}
	}
}

// Close writes what is held and ends the background writing.
func (l *Log) Close() {
	l.once.Do(func() { close(l.done) })
	<-l.ended
}

// Started tells that the daemon serves.
func (l *Log) Started(callers string) {
	l.timeline.Record(coordination.EventStarted, callers, "", "daemon serves")
	l.logger.Info().Str("callers", callers).Msg(prefixDaemon + "started")
}

// Figures tells what control has cost so far.
func (l *Log) Figures(daemons int, at feed.Revision) {
	m := l.metrics
	l.logger.Info().Int("daemons", daemons).Uint64("revision", uint64(at)).Int64("store_calls", m.StoreCalls.Count()).
		Int64("beats", m.BeatsSent.Count()).Int64("beat_bytes", m.BeatBytes.Count()).
		Int64("pulls", m.Pulls.Count()).Int64("pulled_bytes", m.PulledBytes.Count()).Msg(prefixDaemon + "figures so far")
}

// BadBeat tells that a beat could not be sent.
func (l *Log) BadBeat(err error) {
	l.logger.Error().Err(err).Msg(prefixPeer + "beat can't be encoded; check listen.peers and peer_address")
}

// Reloaded tells of a signal to read the settings again.
func (l *Log) Reloaded(changed bool, err error) {
	e := l.logger.Info()
	if err != nil {
		e = l.logger.Error().Err(err)
	}
	e.Bool("changed", changed).Msg(prefixDaemon + "settings were read again")
}

// Stopping tells that a planned stop begins.
func (l *Log) Stopping() {
	l.timeline.Record(coordination.EventStopBegun, "", "", "planned stop begins")
	l.logger.Info().Msg(prefixDaemon + "planned stop begins")
}

// Stopped tells that the daemon ends.
func (l *Log) Stopped(err error) {
	l.logger.Info().AnErr("error", err).Msg(prefixDaemon + "ended")
}

// Store tells that the store was lost or regained.
func (l *Log) Store(lost bool, err error, at feed.Revision) {
	l.timeline.Record(coordination.EventPlatform, "store", "", "%s", storeText(lost))
	if lost {
		l.logger.Warn().AnErr("error", err).Uint64("revision", uint64(at)).Msg(prefixStore + "lost; serving on what is known")
		return
	}
	l.logger.Info().Uint64("revision", uint64(at)).Msg(prefixStore + "regained")
}

func storeText(lost bool) string {
	if lost {
		return "lost; serving on what is known"
	}
	return "regained"
}

// Documents tells that documents changed.
func (l *Log) Documents(n int, source string, at feed.Revision) {
	l.logger.Info().Int("documents", n).Str("source", source).Uint64("revision", uint64(at)).Msg(prefixControl + "documents changed")
}

// Replica tells that a replica came, drains or is gone.
func (l *Log) Replica(id routing.ReplicaID, stage string, at feed.Revision) {
	l.timeline.Record(coordination.EventUpstreamState, string(id), "", "%s", stage)
	l.logger.Info().Str("replica", string(id)).Str("state", stage).Uint64("revision", uint64(at)).Msg(prefixReplica + "state changed")
}

// Doubted tells that replicas are used although their entries vanished.
func (l *Log) Doubted(s routing.ServiceName, vanished, left int) {
	l.timeline.Record(coordination.EventListDoubted, string(s), "", "%d replicas vanished together, %d are left", vanished, left)
	l.logger.Warn().Str("service", string(s)).Int("vanished", vanished).Int("left", left).Msg(prefixReplica + "vanished in the store's trouble; used on")
}

// Bad tells of a document that is not taken.
func (l *Log) Bad(key string, err error) {
	l.timeline.Record(coordination.EventConfigRefused, key, "", "%s", err.Error())
	l.logger.Error().Str("key", key).Err(err).Msg(prefixControl + "document is not taken; the last good one stays in force")
}

// Config tells that a configuration is in force.
func (l *Log) Config(v routing.Version, at feed.Revision, source string) {
	l.timeline.Record(coordination.EventConfigTaken, strconv.FormatUint(uint64(v), 10), "", "%s", "from "+source)
	l.logger.Info().Uint64("version", uint64(v)).Uint64("revision", uint64(at)).Str("source", source).Msg(prefixControl + "configuration is in force")
}

// Paused tells that the process stood still.
func (l *Log) Paused(d time.Duration) {
	l.timeline.Record(coordination.EventFreeze, "", "", "control loop stood still for %s", d.Round(time.Millisecond))
	l.logger.Warn().Int64("ms", d.Milliseconds()).Msg(prefixControl + "the process stood still; the store is asked anew")
}

// Peer tells that a daemon was found.
func (l *Log) Peer(m membership.Member) {
	l.timeline.Record(coordination.EventPeerState, string(m.Address), "", "found")
	l.logger.Info().Str("peer", string(m.Address)).Str("domain", string(m.Domain)).Uint64("life", uint64(m.Life)).Msg(prefixPeer + "found")
}

// PullFailed tells that a peer gave no news.
func (l *Log) PullFailed(from membership.Address, err error) {
	l.logger.Warn().Str("peer", string(from)).Err(err).Msg(prefixPeer + "gave no news")
}

// Denied tells of a request that was not let in.
func (l *Log) Denied(id routing.RequestID, d routing.Denial) {
	l.metrics.Denied.Inc(1)
	l.logger.Info().Str("request", string(id)).Str("reason", denialNames[d]).Msg(prefixRequest + "not let in")
}

var denialNames = map[routing.Denial]string{
	routing.NoConfiguration: "no_configuration",
	routing.NoRoute:         "no_route",
	routing.UnknownKey:      "unknown_key",
}

// PassedOver tells that a replica is passed over from now on.
func (l *Log) PassedOver(r *routing.Replica, c *relay.Call, cause error) {
	l.timeline.Record(coordination.EventAttemptFailed, string(r.ID), state.RequestID(c.ID), "%s", "passed over: "+cause.Error())
	l.metrics.PassedOver.Inc(1)
	l.logger.Warn().Str("replica", string(r.ID)).Str("request", string(c.ID)).AnErr("cause", cause).Msg(prefixReplica + "passed over for a while")
}

// Finished tells how a request ended.
func (l *Log) Finished(c *relay.Call, s *relay.Summary) {
	l.metrics.finished(s)
	e := l.logger.Info()
	if l.logger.Level > log.InfoLevel && !answeredWell(s) {
		e = l.logger.Warn()
	}
	e.Str("request", string(c.ID)).Str("route", c.Route.Name).Str("outcome", coordination.OutcomeName(s.Outcome)).
		Str("reason", reasonOf(s.Outcome)).Int("status", s.Status).Bool("gone", s.Gone).Int("events", s.Events).
		Int64("first_ms", s.FirstByte.Milliseconds()).Int64("total_ms", s.Total.Milliseconds()).
		Uint64("revision", s.View)
	if len(c.Prompt) > 0 {
		e.Str("prompt", strconv.FormatUint(c.Key(), 36)).Int("shared", c.SharedTokens())
	}
	for i := range s.Trials {
		t := &s.Trials[i]
		e.Str("replica", string(t.Replica)).Int("rank", t.Rank).Str("copied", string(t.Copied)).Int("load", t.Load).
			Float64("mean", float64(int(t.Mean*10))/10).Bool("reused", t.Reused).Int64("ms", t.Duration.Milliseconds()).AnErr("error", t.Err)
	}
	e.Msg(prefixRequest + "ended")
}

func answeredWell(s *relay.Summary) bool {
	a, ok := s.Outcome.(coordination.Answered)
	return ok && a.Status < 500
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
