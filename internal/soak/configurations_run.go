// This file runs the plans of configurations.go: it starts the replicas and the daemons and publishes
// the configurations.

package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/platform/standin"
)

// The deployment of the incident.
const (
	pacedDaemons    = 8
	pacedDomains    = 4
	modelReplicas   = 18
	modelSlots      = 64
	modelConns      = 370
	plainReplicas   = 4
	plainSlots      = 6
	plainConns      = 110
	memoryLimitMB   = 284
	serviceModel    = "model"
	serviceModelToo = "model-2" // its other name
	servicePlain    = "plain"
	servicePlainToo = "plain-2"
)

// modelEventTimes are the times of an event at the three speeds of replicas.
var modelEventTimes = []time.Duration{20 * time.Millisecond, 26 * time.Millisecond, 33 * time.Millisecond}

var errNoDaemon = errors.New("no daemon is ready")

// configurationsRun is a run in progress.
type configurationsRun struct {
	plan       *ConfigurationsPlan
	ctx        context.Context
	end        context.CancelFunc
	fleet      *fleet
	store      *standin.Store
	endpoints  []*standin.StoreEndpoint
	partitions partitions
	runs       runRecords
	conns      keptConns
	// suspensions counts how often daemons were suspended since they had used their share of a core.
	suspensions atomic.Int64

	mu        sync.Mutex
	begun     time.Time
	model     string // name of the model service
	moved     bool   // the plain routes lead to the second plain service
	raised    bool   // timeouts
	limited   bool   // services have limits of connections
	priority  int
	keys      int
	filler    int
	version   int
	started   int
	sequence  uint64
	replicas  []*pacedReplica
	services  map[string]string // by replica; serviceModel for both names of the model service
	exchanges []*exchangeRecord
	published []time.Time
	ends      []daemonEnd
	maxMemory int64
	notes     []string
}

// daemonEnd is the end of a daemon's process that the plan does not ask for.
type daemonEnd struct {
	Daemon int       `json:"daemon"`
	At     time.Time `json:"at"`
	Why    string    `json:"why"`
}

// PlayConfigurations runs a plan.
func PlayConfigurations(ctx context.Context, p *ConfigurationsPlan, o Options) (*ConfigurationsReport, error) {
	w, err := startConfigurations(ctx, p, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	w.play()
	return w.report(o.Dir)
}

// startConfigurations starts the replicas and the daemons of a run, and waits until the daemons are ready.
func startConfigurations(ctx context.Context, p *ConfigurationsPlan, o Options) (*configurationsRun, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the run's directory; check the path and permissions")
	}
	w := &configurationsRun{plan: p, store: standin.NewStore(50), model: serviceModel, services: make(map[string]string), runs: runRecords{runs: make(map[string][]*servedRun)}}
	w.ctx, w.end = context.WithCancel(ctx)
	err := w.build(o)
	if err == nil {
		err = w.awaitReady()
	}
	if err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *configurationsRun) build(o Options) error {
	for range modelReplicas {
		if _, err := w.addReplica(serviceModel); err != nil {
			return err
		}
	}
	for range plainReplicas {
		for _, service := range []string{servicePlain, servicePlainToo} {
			if _, err := w.addReplica(service); err != nil {
				return err
			}
		}
	}
	w.publish()
	ports, err := freePorts(portsPerDaemon)
	if err != nil {
		return err
	}
	w.fleet = &fleet{
		binaries: map[Build]string{BuildCurrent: o.Daemon}, dir: o.Dir, network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
		ports: ports, ledger: newLedger(defaultBounds()), ctx: w.ctx, bindsSource: true,
	}
	if w.plan.has(PartOfCore) {
		if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
			return err
		}
		defer os.Unsetenv("GOMAXPROCS")
	}
	for i := range pacedDaemons {
		endpoint, err := w.store.Open()
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, endpoint)
		d, err := w.fleet.add(i, "z"+itoa(i%pacedDomains), endpoint.Address())
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return eris.Wrapf(err, "start %s; build it first", o.Daemon)
		}
		go d.probeReadiness(w.ctx)
		go w.watchMemory(d)
	}
	return nil
}

func (w *configurationsRun) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); !w.fleet.allReady(); pause(w.ctx, readyInterval) {
		if time.Now().After(deadline) {
			return eris.Errorf("daemons are not ready after %v; see their logs", startTimeout)
		}
	}
	pause(w.ctx, time.Second)
	return w.ctx.Err()
}

func (w *configurationsRun) play() {
	w.begun = time.Now()
	calling, stop := context.WithCancel(w.ctx)
	var callers, steps sync.WaitGroup
	for _, r := range pacedRoutes {
		callers.Go(func() { w.send(calling, r) })
	}
	if w.plan.has(PartOfCore) {
		for _, d := range w.fleet.daemons {
			go w.throttle(d)
		}
	}
	for _, f := range w.plan.Around {
		steps.Go(func() {
			pause(w.ctx, time.Until(w.begun.Add(f.At)))
			w.bringAbout(f)
		})
	}
	for _, s := range w.plan.Steps {
		pause(w.ctx, time.Until(w.begun.Add(s.At)))
		w.change(s.Change)
	}
	pause(w.ctx, time.Until(w.begun.Add(w.plan.For)))
	steps.Wait()
	stop()
	callers.Wait()
	pause(w.ctx, time.Second) // daemons write their last lines
}

func (w *configurationsRun) close() {
	w.end()
	if w.fleet != nil {
		w.fleet.shutdown()
	}
	for _, r := range w.replicas {
		r.terminate()
		r.link.Close()
	}
	for _, e := range w.endpoints {
		e.Close()
	}
}

func (w *configurationsRun) record(e *exchangeRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exchanges = append(w.exchanges, e)
}

func (w *configurationsRun) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// addReplica starts a replica and writes its entry.
func (w *configurationsRun) addReplica(service string) (*pacedReplica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a replica; check that the loopback address has free ports")
	}
	slots, conns, queue := modelSlots, modelConns, 0
	if service != serviceModel {
		slots, conns, queue = plainSlots, plainConns, maxQueued
	}
	if w.plan.has(Saturated) {
		slots = saturatedModelSlots
		if service != serviceModel {
			slots = saturatedPlainSlots
		}
	}
	if w.plan.has(ConnectionLimits) {
		conns = fewConns
	}
	link, err := openLink("127.0.0.1:0", l.Addr().String())
	if err != nil {
		return nil, err
	}
	link.partitions = &w.partitions
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	r := &pacedReplica{
		id: "r" + itoa(w.started), domain: "z" + itoa(w.started%pacedDomains), startTime: time.Now(), eventTime: modelEventTimes[w.started%len(modelEventTimes)],
		maxConns: conns, listener: l, link: link, runs: &w.runs, conns: make(map[net.Conn]struct{}), queue: newSlotQueue(slots), maxQueued: queue,
		garbles: w.plan.has(Garbled),
	}
	w.replicas = append(w.replicas, r)
	w.services[r.id] = service
	w.writeEntry(r, false)
	go r.accept()
	return r, nil
}

// writeEntry writes the entry of a replica. The caller must hold w.mu.
func (w *configurationsRun) writeEntry(r *pacedReplica, draining bool) {
	service := w.services[r.id]
	if service == serviceModel {
		service = w.model
	}
	w.sequence++
	w.store.PutReplica(standin.Replica{
		ID: r.id, Service: service, Address: r.link.Address(), Domain: r.domain, Slots: r.queue.slots, Version: "v1",
		StartTime: r.startTime.UnixMilli(), Sequence: w.sequence, Draining: draining,
	})
}

// publish writes the next version of the configuration.
func (w *configurationsRun) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	c := &standin.Config{Version: w.version}
	for _, r := range pacedRoutes {
		service, more := w.model, 0
		if !r.Stream {
			service = servicePlain
			if w.moved {
				service = servicePlainToo
			}
		}
		if w.raised {
			more = 500
		}
		c.Routes = append(c.Routes, standin.Route{
			Name: r.Name, Host: routeHost, Prefix: r.Prefix, Kind: kindOf(&r.Route), TimeoutMS: r.Timeout.Milliseconds() + int64(more),
			FirstByteMS: r.FirstMS, EventMS: r.EventMS, Service: service, Attempts: r.Attempts, Resumable: r.Resumable,
		})
	}
	for i := range w.filler {
		c.Routes = append(c.Routes, standin.Route{Name: "filler-" + itoa(i), Host: "filler.example", Prefix: "/f" + itoa(i) + "/", Kind: standin.KindIdempotent, Service: servicePlain, Attempts: 1})
	}
	model, plain := modelConns, plainConns
	if w.plan.has(ConnectionLimits) {
		model, plain = fewConns, fewConns
	}
	if w.limited {
		model, plain = model*9/10, plain*9/10
	}
	c.Services = []standin.Service{
		{Name: w.model, Engine: &standin.Engine{Copies: w.limited}, MaxConnections: model},
		{Name: servicePlain, MaxConnections: plain}, {Name: servicePlainToo, MaxConnections: plain},
	}
	c.Workspaces = []standin.Workspace{{Name: "callers", Keys: []string{pacedKey}, Priority: w.priority}}
	for i := range w.keys {
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: "other-" + itoa(i), Keys: []string{"other-key-" + itoa(i)}})
	}
	w.published = append(w.published, time.Now())
	w.store.PutConfig(c)
}

// change publishes a configuration with a change.
func (w *configurationsRun) change(c ConfigurationChange) {
	w.mu.Lock()
	switch c {
	case changeTimeouts:
		w.raised = !w.raised
	case changeQuotas:
		w.priority = 1 - w.priority
	case changeKeys:
		w.keys = (w.keys + 3) % 10
	case changeMoves:
		w.moved = !w.moved
	case changeAdds:
		w.filler += changedRoutes
	case changeRemoves:
		w.filler = max(0, w.filler-changedRoutes)
	case changeService:
		w.limited = !w.limited
	case changeReplaces:
		w.model = map[string]string{serviceModel: serviceModelToo, serviceModelToo: serviceModel}[w.model]
		for _, r := range w.replicas {
			if w.services[r.id] == serviceModel {
				w.writeEntry(r, false)
			}
		}
	}
	w.mu.Unlock()
	w.publish()
	w.note("configuration %d: %s", w.version, c)
}
