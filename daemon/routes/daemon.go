// This file assembles a daemon from its parts.

package routes

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
	"hingewinch.org/hingewinch/transport/tunnel"
)

// Limits of the servers. They are wider than the limits that the configuration defines for
// callers. net/http can't enforce those, because its limits are set before a configuration
// is known. Responses are bound by the deadline of their request.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 75 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Platform is the platform-specific part of a daemon.
type Platform struct {
	Store Store
	// HistoryGone is the error of a watch if the store no longer knows what changed since the
	// given revision. The store must then be listed again.
	HistoryGone error
	Documents   Documents
	Codec       relay.Codec
	// Front returns the handler for callers' requests.
	Front func(d *Daemon) http.Handler
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// Daemon is a daemon of the production front end.
type Daemon struct {
	Relay   *relay.Relay
	Log     *Log
	Metrics *Metrics
	// Bodies is the room for the bodies of callers' requests.
	Bodies *coordination.BodyRoom

	settings *Settings
	platform Platform
	control  *control
	peers    *peers
	pool     *relay.Pool
	reader   *reader
	carried  *tunnel.Server // connections that this daemon opens for peers
	stopping atomic.Bool
	closing  atomic.Bool // callers' connections are closed, whatever they wait for
	started  time.Time
	// openRequests is the number of callers' requests that are being served.
	openRequests atomic.Int64

	callers, readiness, operators, documents, scrapers *daemon.Listener // scrapers may be nil
}

// New opens the listeners and assembles a daemon. Nothing is served before Run.
func New(s *Settings, p Platform, logTo io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, platform: p, Metrics: newMetrics(), started: clock.Now(), pool: relay.NewPool(net.ParseIP(s.SourceAddress))}
	d.pool.Begin(d.started)
	d.Bodies = coordination.NewBodyRoom(bodyBytes(s.MemoryMB))
	d.Log = newLog(logTo, s.LogLevel, string(s.ID), d.Metrics)
	limitMemory(s.MemoryMB)
	if err := d.open(); err != nil {
		d.close()
		return nil, err
	}
	d.wire()
	return d, nil
}

// The garbage collector runs when the heap has grown by collectPercent. The soft memory limit is
// memoryShare of the process's memory.
const (
	collectPercent = 60
	memoryShare    = 0.7
	megabyte       = 1 << 20
)

func limitMemory(mb int) {
	debug.SetGCPercent(collectPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * megabyte))
	}
}

// The bodies of callers' requests may take bodyShare of the process's memory, and defaultBodyBytes if that is not known. Of
// 284 MB the daemon needs 60 MB for itself, and responses that are held take up to 152 MB with their garbage; 72 MB are left.
// The buffers of a body take a third more than the body itself while it is read.
const (
	bodyShare        = 1.0 / 6
	defaultBodyBytes = 48 * megabyte
)

// bodyBytes returns the room for the bodies of callers' requests, in bytes, of a process with some memory.
func bodyBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultBodyBytes
	}
	return int64(bodyShare * float64(memoryMB) * megabyte)
}

func (d *Daemon) open() error {
	var err error
	if d.peers, err = openPeers(d.settings.Listen.Peers, d.Metrics); err != nil {
		return err
	}
	l := d.settings.Listen
	dropped := func() { d.Metrics.ConnectionsDropped.Inc(1) }
	callers, own := daemon.ConnLimits(d.settings.files(), d.settings.MemoryMB)
	for _, s := range []struct {
		address string
		to      **daemon.Listener
		limit   daemon.ConnLimit
	}{{l.Callers, &d.callers, callers}, {l.Readiness, &d.readiness, own}, {l.Operators, &d.operators, own}, {l.Peers, &d.documents, own}, {l.Metrics, &d.scrapers, own}} {
		if s.address == "" {
			continue
		}
		if *s.to, err = listen(s.address, d.Log, s.limit.NewRoom(dropped)); err != nil {
			return err
		}
	}
	return nil
}

// listen opens a listener, which reports panics and connections that it can't accept to the log.
func listen(address string, l *Log, room *coordination.ConnRoom) (*daemon.Listener, error) {
	limits := daemon.Limits{ReadHeader: readHeaderTimeout, Idle: callerIdleTimeout, HeaderBytes: maxHeaderBytes, Room: room}
	messages := &serverMessages{log: l}
	opened, err := daemon.Listen("tcp4", address, limits, stdlog.New(messages, "", 0))
	if err == nil {
		messages.listener = opened.Address()
		opened.AcceptFailed = func(err error) { l.AcceptFailed(messages.listener, err) }
	}
	return opened, err
}

// wire connects the parts of the daemon and sets the listeners' handlers.
func (d *Daemon) wire() {
	s := d.settings
	t := newSharedTables(routing.PeerID(s.advertised()), s.retryRule(), max(minAssumedFleet, len(s.Seeds)))
	t.health.Reporter = routing.NewReporterID(string(s.advertised()))
	d.control = d.newControl(t)
	d.control.publish(clock.Now())
	d.reader = &reader{
		store: d.platform.Store, control: d.control, historyGone: d.platform.HistoryGone,
		countCall: func() { d.Metrics.StoreCalls.Inc(1) }, countOlder: func() { d.Metrics.OlderStoreResponses.Inc(1) },
	}
	d.Relay = relay.New(relay.Options{
		View: d.View, Placer: d.control.permits.placer,
		Budgets: t.budgets, Codec: d.platform.Codec, Observer: d.Log, Pool: d.pool, Crashes: t.crashes, PartCrashes: t.partCrashes,
		RequestTransfer: d.control.borrow, Permits: d.control.permits.gate, Origins: streamOrigins{d.control},
		AwaitRead: d.control.awaitRead, HasVersions: d.hasVersions, Closing: d.closing.Load,
	})
	d.callers.Server.Handler = d.countOpen(d.platform.Front(d))
	d.readiness.Server.Handler = d.readyHandler()
	d.operators.Server.Handler = d.operatorHandler()
	d.carried = d.newCarrier()
	d.documents.Server.Handler = peersHandler(d.control, d.carried)
	if d.scrapers != nil {
		d.scrapers.Server.Handler = d.metricsHandler()
	}
}

func (d *Daemon) newControl(t sharedTables) *control {
	s := d.settings
	self := membership.Member{Address: s.advertised(), Domain: s.Domain, Incarnation: incarnationAt(time.Now())}
	otherSeeds := slices.DeleteFunc(s.seedPeers(), func(a membership.Address) bool { return a == self.Address })
	c := &control{
		sharedTables: t, domain: s.Domain, log: d.Log, daemons: 1,
		roster:      membership.NewRoster(self, s.seedPeers()),
		catalog:     newCatalog(d.platform.Documents, d.Log),
		heartbeats:  heartbeatState{send: d.peers.send, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		syncs:       syncState{fetch: d.peers.fetch, newer: make(map[membership.Address]newerPeer)},
		permits:     newPermits(admission.NewDaemon(self), t.placer(), otherSeeds),
		events:      make(chan event, eventQueue),
		configured:  make(chan struct{}),
		ended:       make(chan struct{}),
		reach:       d.pool.Reach(),
		carriers:    routing.NewCarriers(),
		dropCarrier: func(r routing.Carrier) { d.pool.ExcludeCarrier(r, "", routing.CarrierGone) },
		openSince:   d.pool.OldestOpenConn, suspectRestart: d.pool.SuspectRestart,
		memory: newMemoryState(s.MemoryMB),
	}
	c.permits.gate.control = c
	d.pool.UseDetours(&relay.Detours{Carriers: c.carriers, Find: c.findCarrier})
	return c
}

// A daemon's incarnation number is its start time, counted from an epoch that keeps the
// numbers short on the wire, in units shorter than any restart takes.
const (
	incarnationUnit  = 100 * time.Millisecond
	incarnationEpoch = 1_577_836_800 // 2020-01-01, in seconds
)

func incarnationAt(now time.Time) membership.Incarnation {
	return membership.Incarnation(max(1, now.Sub(time.Unix(incarnationEpoch, 0))/incarnationUnit))
}

// minAssumedFleet is the minimum fleet size assumed for dividing the retry budget until more
// daemons are known: the size of the existing sites.
const minAssumedFleet = 8

// View returns the current view.
func (d *Daemon) View() *routing.View { return d.control.view.Load() }

// hasVersions reports whether a service is known to have several software versions, or to have had them lately.
func (d *Daemon) hasVersions(s routing.ServiceName) bool {
	v := d.View()
	return v.HasSeveralVersions(s) || v.HasNewVersion(s)
}

// ViewForCaller returns the view for a request whose caller waits for the given time.
// Until the daemon has its first configuration, ViewForCaller waits for it for part of
// that time, unless the daemon shuts down. After a long pause of the process it waits for the documents to be read.
func (d *Daemon) ViewForCaller(ctx context.Context, left time.Duration) *routing.View {
	if d.View().Table != nil {
		d.control.awaitRead(ctx)
		return d.View()
	}
	d.control.post(ctx, callerWaiting{})
	wait := time.NewTimer(routing.ConfigWait(left, clock.Since(d.started)))
	defer wait.Stop()
	select {
	case <-d.control.configured:
	case <-wait.C:
	case <-d.Relay.Shutdown.Begun():
	case <-ctx.Done():
	}
	return d.View()
}

// Stopping reports whether a graceful shutdown has started.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// ready reports whether the daemon should receive new callers.
func (d *Daemon) ready() bool { return !d.Stopping() && d.View().Table != nil }

func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
