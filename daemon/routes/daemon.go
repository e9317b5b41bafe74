// This file puts a daemon together.

package routes

import (
	"context"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/transport/clock"
	"hingewinch.org/hingewinch/transport/relay"
)

// Limits of the servers. They are wider than those that the configuration publishes
// for callers, which net/http could not apply: it takes its limits before a
// configuration is known. An answer has the deadline of its request.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 75 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Outside is the platform that the daemon runs on.
type Outside struct {
	Store Store
	// HistoryGone is the store's error that it must be listed again.
	HistoryGone error
	Documents   Documents
	Codec       relay.Codec
	// Front builds the callers' handler.
	Front func(d *Daemon) http.Handler
	// ReadyPath is asked by the balancer.
	ReadyPath string
}

// Daemon is one running daemon.
type Daemon struct {
	Relay   *relay.Relay
	Log     *Log
	Metrics *Metrics

	settings *Settings
	outside  Outside
	control  *control
	peers    *peers
	pool     *relay.Pool
	reader   *reader
	stopping atomic.Bool
	started  time.Time

	callers, readiness, operators, documents, scrapers *daemon.Listener // scrapers may be nil
}

// New opens the listeners and puts the parts together. Nothing is served before
// Run.
func New(s *Settings, o Outside, logTo io.Writer) (*Daemon, error) {
	d := &Daemon{settings: s, outside: o, Metrics: newMetrics(), started: clock.Now(), pool: relay.NewPool()}
	d.Log = newLog(logTo, s.Level, string(s.ID), d.Metrics)
	limitMemory(s.Memory)
	if err := d.open(); err != nil {
		d.close()
		return nil, err
	}
	d.wire()
	return d, nil
}

// The garbage collector runs when the heap has grown by collectPercent, and works harder near
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

func (d *Daemon) open() error {
	var err error
	if d.peers, err = openPeers(d.settings.Listen.Peers, d.Metrics); err != nil {
		return err
	}
	l := d.settings.Listen
	for _, s := range []struct {
		address string
		to      **daemon.Listener
	}{{l.Callers, &d.callers}, {l.Readiness, &d.readiness}, {l.Operators, &d.operators}, {l.Peers, &d.documents}, {l.Metrics, &d.scrapers}} {
		if s.address == "" {
			continue
		}
		if *s.to, err = listen(s.address); err != nil {
			return err
		}
	}
	return nil
}

// listen opens a server. Its messages are not logged: net/http has a line for each
// caller that hangs up.
func listen(address string) (*daemon.Listener, error) {
	l := daemon.Limits{ReadHeader: readHeaderTimeout, Idle: callerIdleTimeout, HeaderBytes: maxHeaderBytes}
	return daemon.Listen("tcp4", address, l, stdlog.New(io.Discard, "", 0))
}

// wire puts the parts together.
func (d *Daemon) wire() {
	s := d.settings
	t := newTables(routing.PeerID(s.advertised()), s.retryRule(), max(leastFleet, len(s.Seeds)))
	t.health.Reporter = routing.NewReporterID(string(s.advertised()))
	d.control = d.newControl(t)
	d.control.publish(clock.Now())
	d.reader = &reader{
		store: d.outside.Store, control: d.control, historyGone: d.outside.HistoryGone,
		countCall: func() { d.Metrics.StoreCalls.Inc(1) }, countOlder: func() { d.Metrics.StoreOlder.Inc(1) },
	}
	d.Relay = relay.New(relay.Options{
		View: d.View, Placer: &routing.Placer{
			Loads: t.loads, Health: t.health, Cache: t.cache, Crowds: t.crowds, Cold: t.cold, Rests: t.rests, Leavings: t.leavings,
		},
		Budgets: t.budgets, Codec: d.outside.Codec, Observer: d.Log, Pool: d.pool, Crashes: t.crashes,
		RequestTransfer: d.control.borrow,
	})
	d.callers.Server.Handler = d.outside.Front(d)
	d.readiness.Server.Handler = d.readyHandler()
	d.operators.Server.Handler = d.operatorHandler()
	d.documents.Server.Handler = documentsHandler(d.control)
	if d.scrapers != nil {
		d.scrapers.Server.Handler = d.metricsHandler()
	}
}

func (d *Daemon) newControl(t tables) *control {
	s := d.settings
	self := membership.Member{Address: s.advertised(), Domain: s.Domain, Incarnation: incarnationAt(time.Now())}
	return &control{
		tables: t, domain: s.Domain, log: d.Log, daemons: 1,
		roster:     membership.NewRoster(self, s.seedPeers()),
		catalog:    newCatalog(d.outside.Documents, d.Log),
		heartbeats: heartbeats{send: d.peers.send, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		syncs:      syncs{fetch: d.peers.fetch, newer: make(map[membership.Address]newerPeer)},
		events:     make(chan event, eventQueue),
		configured: make(chan struct{}),
		openSince:  d.pool.OldestOpenConn,
	}
}

// Incarnations are numbered by the time of their start, in units that are shorter
// than any restart and from a day on that keeps the numbers short on the wire.
const (
	incarnationUnit  = 100 * time.Millisecond
	incarnationEpoch = 1_577_836_800 // 2020-01-01, in seconds
)

func incarnationAt(now time.Time) membership.Incarnation {
	return membership.Incarnation(max(1, now.Sub(time.Unix(incarnationEpoch, 0))/incarnationUnit))
}

// leastFleet is the size of the fleet that is assumed for the shares of the retry
// budget until more daemons are known: that of today's sites.
const leastFleet = 8

// View returns the newest view.
func (d *Daemon) View() *routing.View { return d.control.view.Load() }

// ViewForCaller returns the view for a request whose caller waits for the given time.
// While the daemon knows no configuration yet, it waits for the first one for a part
// of that time.
func (d *Daemon) ViewForCaller(ctx context.Context, left time.Duration) *routing.View {
	if v := d.View(); v.Table != nil {
		return v
	}
	d.control.post(ctx, callerWaits{})
	wait := time.NewTimer(routing.StartWait(left, clock.Since(d.started)))
	defer wait.Stop()
	select {
	case <-d.control.configured:
	case <-wait.C:
	case <-ctx.Done():
	}
	return d.View()
}

// Stopping reports whether a planned stop has begun.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// ready reports whether the daemon should get new callers.
func (d *Daemon) ready() bool { return !d.Stopping() && d.View().Table != nil }

func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.outside.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
