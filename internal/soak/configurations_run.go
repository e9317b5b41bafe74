// This file runs the plans of configurations.go: it starts the replicas and the daemons, publishes the
// configurations and brings the conditions about.

package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

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

// Parameters of the conditions.
const (
	saturatedModelSlots = 7 // 18 replicas then have fewer slots than the streams that are open on average
	saturatedPlainSlots = 1
	fewConns            = 8
	linksLost           = 5 * time.Second
	storeSlow           = 3 * time.Second
	releasedAtOnce      = 3
	silentAtOnce        = 3
	// fewDescriptors is a limit that each daemon has long exceeded: descriptors that are closed meanwhile don't
	// make room for others.
	fewDescriptors = 4
	// coreShare is the share of a core of each daemon, in periods of corePeriod.
	coreShare  = 0.1
	corePeriod = 100 * time.Millisecond
	// memoryPoll is how often the memory of the daemons is looked at.
	memoryPoll = 100 * time.Millisecond
	pageBytes  = 4096
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

// limitedService is a service with a limit of connections.
type limitedService struct {
	standin.Service
	MaxConnections int `json:"max_connections,omitempty"`
}

// publish writes the next version of the configuration.
func (w *configurationsRun) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	c := struct {
		standin.Config
		Services []limitedService `json:"services"`
	}{Config: standin.Config{Version: w.version}}
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
	c.Services = []limitedService{
		{standin.Service{Name: w.model, Engine: &standin.Engine{Copies: w.limited}}, model},
		{standin.Service{Name: servicePlain}, plain}, {standin.Service{Name: servicePlainToo}, plain},
	}
	c.Workspaces = []standin.Workspace{{Name: "callers", Keys: []string{pacedKey}, Priority: w.priority}}
	for i := range w.keys {
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: "other-" + itoa(i), Keys: []string{"other-key-" + itoa(i)}})
	}
	text, err := json.Marshal(c)
	if err != nil {
		panic("encode configuration: " + err.Error())
	}
	w.published = append(w.published, time.Now())
	w.store.Put("op/config", text)
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

// modelReplica returns a replica of the model service that is not leaving.
func (w *configurationsRun) modelReplica(draw int) *pacedReplica {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.replicas {
		if r := w.replicas[(draw+k)%len(w.replicas)]; w.services[r.id] == serviceModel {
			return r
		}
	}
	return w.replicas[0]
}

// bringAbout brings a condition about once.
func (w *configurationsRun) bringAbout(f PlannedFault) {
	if w.ctx.Err() != nil {
		return
	}
	w.note("%s, %d", f.Condition, f.Target)
	d := w.fleet.daemons[f.Target%pacedDaemons]
	switch f.Condition {
	case SilentReplicas:
		for i := range silentAtOnce {
			r := w.modelReplica(f.Target + 5*i)
			r.mu.Lock()
			r.silentUntil = time.Now().Add(minSilence + rand.N(maxSilence-minSilence))
			r.mu.Unlock()
		}
	case SilentLinks:
		w.loseLinks(d, silentAll)
	case ResetLinks:
		w.loseLinks(d, resetAll)
	case NewLinksReset:
		w.loseLinks(d, resetNew)
	case NoDescriptors:
		w.limitDescriptors(d)
	case Releases:
		for i := range releasedAtOnce {
			if _, err := w.addReplica(serviceModel); err == nil {
				w.retire(w.modelReplica(f.Target + 3*i))
			}
			pause(w.ctx, 400*time.Millisecond)
		}
	case Scaling:
		for range releasedAtOnce {
			_, _ = w.addReplica(serviceModel)
		}
		pause(w.ctx, 2*time.Second)
		for i := range releasedAtOnce {
			w.retire(w.modelReplica(f.Target + 3*i))
		}
	case EndlessHeads, EndlessBodies:
		r := w.modelReplica(f.Target)
		r.mu.Lock()
		r.endless = f.Condition
		r.mu.Unlock()
	case SlowStore:
		for i, e := range w.endpoints {
			if (f.Target+i)%2 == 0 {
				e.SetMode(standin.StoreSilent)
			}
		}
		pause(w.ctx, storeSlow)
		for _, e := range w.endpoints {
			e.SetMode(standin.StoreServes)
		}
	case CrashingReplicas:
		r := w.modelReplica(f.Target)
		w.leave(r)
		r.terminate()
		_, _ = w.addReplica(serviceModel)
	}
}

func (w *configurationsRun) loseLinks(d *daemon, m partitionMode) {
	w.partitions.begin(d.ip, m)
	if m == resetAll {
		w.mu.Lock()
		for _, r := range w.replicas {
			r.link.resetFrom(d.ip)
		}
		w.mu.Unlock()
	}
	pause(w.ctx, linksLost)
	w.partitions.end(d.ip, m)
}

// leave deletes the entry of a replica.
func (w *configurationsRun) leave(r *pacedReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.services, r.id)
	w.store.DeleteReplica(r.id)
}

// retire announces the departure of a replica, which serves on for longer than any response takes.
func (w *configurationsRun) retire(r *pacedReplica) {
	w.mu.Lock()
	w.writeEntry(r, true)
	delete(w.services, r.id)
	w.mu.Unlock()
	go func() {
		pause(w.ctx, 2*serveAfterDeparture)
		r.terminate()
		w.store.DeleteReplica(r.id)
	}()
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return 0
	}
	return d.process.Pid
}

// limitDescriptors keeps a daemon from opening descriptors for linksLost.
func (w *configurationsRun) limitDescriptors(d *daemon) {
	pid := d.pid()
	var before syscall.Rlimit
	limit := func(set, old *syscall.Rlimit) {
		// On failure the process has ended.
		_, _, _ = syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(old)), 0, 0)
	}
	limit(nil, &before)
	limit(&syscall.Rlimit{Cur: fewDescriptors, Max: before.Max}, nil)
	pause(w.ctx, linksLost)
	limit(&before, nil)
}

// throttle gives a daemon coreShare of a core: in each corePeriod it is suspended once it has used its share, as
// the scheduler of a VM's host does.
func (w *configurationsRun) throttle(d *daemon) {
	for w.ctx.Err() == nil {
		from, pid := time.Now(), d.pid()
		used, stopped := processorTime(pid), false
		for time.Since(from) < corePeriod {
			time.Sleep(2 * time.Millisecond)
			if !stopped && processorTime(pid)-used > time.Duration(coreShare*float64(corePeriod)) {
				stopped = true
				d.signal(syscall.SIGSTOP, false)
				w.suspensions.Add(1)
			}
		}
		if stopped {
			d.signal(syscall.SIGCONT, false)
		}
	}
}

// processorTime returns how long the threads of a process have run.
func processorTime(pid int) time.Duration {
	threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	total := time.Duration(0)
	for _, t := range threads {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, t.Name()))
		ns, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(ns, 10, 64)
		total += time.Duration(n)
	}
	return total
}

// watchMemory ends a daemon that exceeds its memory, as its platform does, and records the ends of its processes
// that the plan does not ask for.
func (w *configurationsRun) watchMemory(d *daemon) {
	for incarnation := d.currentIncarnation(); w.ctx.Err() == nil; pause(w.ctx, memoryPoll) {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.pid()))
		var size, resident int64
		_, _ = fmt.Sscan(string(text), &size, &resident) // 0 if the process has just ended
		now, mb := d.currentIncarnation(), resident*pageBytes>>20
		w.mu.Lock()
		w.maxMemory = max(w.maxMemory, mb)
		if now != incarnation {
			w.ends = append(w.ends, daemonEnd{d.number, time.Now(), "started again"})
		}
		w.mu.Unlock()
		incarnation = now
		if mb > memoryLimitMB {
			w.note("daemon %d has %d MB and is ended", d.number, mb)
			d.signal(syscall.SIGKILL, false)
			pause(w.ctx, restartPause)
		}
	}
}
