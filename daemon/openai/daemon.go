// This file assembles, runs and gracefully shuts down a daemon.

package openai

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"encoding/binary"
	stdlog "log"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

// serverLimits are the limits of all listeners.
var serverLimits = daemon.Limits{ReadHeader: 10 * time.Second, Idle: 2 * time.Minute, HeaderBytes: 32 << 10}

// secretBytes is the length of the secret that signs tickets.
const secretBytes = 32

// Daemon is a running daemon of the OpenAI front end.
type Daemon struct {
	settings    *Settings
	incarnation state.Incarnation
	control     *control
	gateway     *gateway.Gateway
	recorder    *transport.Recorder
	metrics     *gateway.Metrics
	upstreams   *gateway.Upstreams
	meter       *gateway.Meter
	draining    atomic.Bool

	acceptErrors daemon.LineLimit

	callers, peers, operators *daemon.Listener
}

// New opens the listeners and assembles the components. Nothing is served before Run.
func New(s *Settings, logger *log.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, incarnation: state.Incarnation(time.Now().UnixNano()), metrics: gateway.NewMetrics()}
	d.recorder = transport.NewRecorder(s.ID, logger)
	d.upstreams = gateway.NewUpstreams(gateway.UpstreamOptions{AnswerTimeout: s.Limits.FirstByte})
	d.meter = &gateway.Meter{Sent: d.metrics.ControlSent, Read: d.metrics.ControlRead}
	if err := d.listen(logger); err != nil {
		d.close()
		return nil, err
	}
	if err := d.assemble(logger); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen(logger *log.Logger) error {
	s := d.settings
	callerTLS, err := serverTLS(s.TLS.Callers)
	if err != nil {
		return err
	}
	peerTLS, err := serverTLS(s.TLS.Peers)
	if err != nil {
		return err
	}
	callers, own := daemon.ConnLimits(daemon.FileLimit(), 0)
	if d.callers, err = d.openListener(s.Listen.Callers, callers, callerTLS, nil, logger); err != nil {
		return err
	}
	if d.peers, err = d.openListener(s.Listen.Peers, own, peerTLS, d.meter, logger); err != nil {
		return err
	}
	d.operators, err = d.openListener(s.Listen.Operators, own, nil, nil, logger)
	return err
}

func serverTLS(files transport.TLSFiles) (*tls.Config, error) {
	if files.IsZero() {
		return nil, nil
	}
	return transport.ServerTLS(files)
}

func (d *Daemon) openListener(address string, limit daemon.ConnLimit, tlsConfig *tls.Config, meter *gateway.Meter, logger *log.Logger) (*daemon.Listener, error) {
	limits := serverLimits
	limits.Room = limit.NewRoom(nil)
	l, err := daemon.Listen("tcp", address, limits, stdlog.New(serverLog{logger}, "", 0))
	if err != nil {
		return nil, err
	}
	l.AcceptFailed = d.reportAcceptError(address, logger)
	if meter != nil {
		l.Socket = meter.Listener(l.Socket)
	}
	if tlsConfig != nil {
		l.Socket = tls.NewListener(l.Socket, tlsConfig)
	}
	return l, nil
}

// reportAcceptError returns a function that counts and logs connections which a listener can't accept.
func (d *Daemon) reportAcceptError(listener string, logger *log.Logger) func(error) {
	return func(err error) {
		d.metrics.AcceptErrors.Inc(1)
		if d.acceptErrors.Allow() {
			logger.Error().Str("listener", listener).Err(err).Msg(transport.PrefixDaemon + "connection can't be accepted")
		}
	}
}

// serverLog forwards the messages of net/http's server to the logger.
type serverLog struct{ logger *log.Logger }

// Write logs one message.
func (l serverLog) Write(p []byte) (int, error) {
	l.logger.Debug().Msg(transport.PrefixGateway + string(p))
	return len(p), nil
}

func (d *Daemon) assemble(logger *log.Logger) error {
	s := d.settings
	self := fleet.Self{ID: s.ID, Incarnation: d.incarnation, Domain: s.Domain, Address: s.Peer, Seeds: s.Seeds}
	seed, secret, err := randomSeed()
	if err != nil {
		return err
	}
	d.control = newControl(self, rand.New(rand.NewPCG(seed, uint64(d.incarnation))))
	d.control.recorder, d.control.logger = d.recorder, logger
	var peerTLS *tls.Config
	if !s.TLS.Peers.IsZero() {
		if peerTLS, err = transport.ClientTLS(s.TLS.Peers); err != nil {
			return err
		}
	}
	d.control.peers = gateway.NewPeers(peerTLS, d.meter, d.recorder, d.metrics, nil)
	platform := gateway.NewPlatform(s.Platform, d.meter, d.metrics)
	d.control.addReader(peer.DocumentKind_DOCUMENT_KIND_CONFIG, platform.Reader(protocol.PathConfig))
	d.control.addReader(peer.DocumentKind_DOCUMENT_KIND_LIST, platform.Reader(protocol.PathMembers))
	once := gateway.NewOnceRunner(gateway.OnceOptions{
		Self: s.ID, Incarnation: d.incarnation, Secret: secret, Snapshot: d.control.Snapshot, Upstreams: d.upstreams,
		Forwarder: d.control.peers, Recorder: d.recorder, Metrics: d.metrics,
		LedgerBytes: s.Limits.LedgerBytes, AnswerBytes: s.Limits.AnswerBytes,
	})
	d.gateway = gateway.New(gateway.Options{
		Daemon: s.ID, Snapshot: d.control.Snapshot, Post: d.control.tryPost, Upstreams: d.upstreams, Once: once,
		Recorder: d.recorder, Metrics: d.metrics, Limits: s.limits(),
	})
	d.callers.Server.Handler = d.gateway
	server := &gateway.PeerServer{HandleExchange: d.control.HandleExchange, Documents: d.control.documents, Once: once, Recorder: d.recorder}
	d.peers.Server.Handler = server.Handler()
	op := &gateway.Operator{
		Self: s.ID, Incarnation: d.incarnation, Domain: s.Domain, Version: daemon.Version,
		Snapshot: d.control.Snapshot, Recorder: d.recorder, Metrics: d.metrics, Draining: d.draining.Load,
	}
	d.operators.Server.Handler, err = op.Handler()
	return err
}

func (s *Settings) limits() gateway.Limits {
	l := gateway.DefaultLimits()
	l.BodyBytes, l.AnswerBytes = s.Limits.BodyBytes, s.Limits.AnswerBytes
	l.Timeout, l.StreamIdle, l.CallerStall = s.Limits.Timeout, s.Limits.StreamIdle, s.Limits.CallerStall
	return l
}

func randomSeed() (seed uint64, secret []byte, err error) {
	b := make([]byte, 8+secretBytes)
	if _, err := crand.Read(b); err != nil {
		return 0, nil, eris.Wrap(err, "read random bytes")
	}
	return binary.LittleEndian.Uint64(b), b[8:], nil
}

// CallerAddress returns the address of the callers' listener.
func (d *Daemon) CallerAddress() string { return d.callers.Address() }

// Run serves until ctx ends, and then shuts down gracefully: the health check fails,
// new requests are served for the configured notice period, and Run returns when the
// last request in flight has been answered.
func (d *Daemon) Run(ctx context.Context) error {
	work, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	probes := gateway.NewUpstreams(gateway.UpstreamOptions{Dial: d.meter.Dial(nil)})
	defer probes.Close()
	d.control.watcher = gateway.NewWatcher(work, probes, d.control.post)
	var wg sync.WaitGroup
	wg.Go(func() { d.control.run(work) })
	for _, r := range d.control.readers {
		wg.Go(func() { d.control.read(work, r) })
	}
	failed := make(chan error, 3)
	for _, l := range []*daemon.Listener{d.callers, d.peers, d.operators} {
		wg.Go(func() { l.Serve(failed) })
	}
	d.recorder.Record(coordination.EventStarted, string(d.settings.ID), "", "daemon serves callers on %s", d.CallerAddress())
	var err error
	select {
	case <-ctx.Done():
		d.stop()
	case err = <-failed:
	}
	cancelWork()
	d.close()
	d.control.watcher.Wait()
	wg.Wait()
	d.control.wg.Wait()
	return err
}

// stop shuts down gracefully. Peers and operators are served to the end, so that
// requests whose keys this daemon owns can still be repeated through others.
func (d *Daemon) stop() {
	d.draining.Store(true)
	d.gateway.Drain()
	d.control.post(fleet.StopBegun{})
	time.Sleep(d.settings.Stop.Notice)
	// No time limit: requests in flight are completed.
	_ = d.callers.Server.Shutdown(context.Background())
	_ = d.peers.Server.Shutdown(context.Background())
	d.recorder.Record(coordination.EventStopped, string(d.settings.ID), "", "all requests are completed; daemon exits")
	_ = d.operators.Server.Shutdown(context.Background())
}

func (d *Daemon) close() {
	for _, l := range []*daemon.Listener{d.callers, d.peers, d.operators} {
		if l != nil {
			l.Close()
		}
	}
	d.upstreams.Close()
	d.metrics.Close()
}
