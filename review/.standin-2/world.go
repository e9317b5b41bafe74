// This file starts and ends the processes of a case, and plays the store and the operator.

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	host         = "ficu95.example"
	key          = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
	contactTime  = 3 * time.Second // contact_ms
	restartPause = 700 * time.Millisecond
	storePage    = 500
)

// zones are the places of the daemons: three, three and two, as in the site that the cases name.
var zones = []string{"burnaby-hall", "burnaby-hall", "burnaby-hall", "richmond-hall", "richmond-hall", "richmond-hall", "surrey-hall", "surrey-hall"}

// replicaZones are the zones of replicas, in turn.
var replicaZones = []string{"burnaby-hall", "richmond-hall", "surrey-hall"}

func notify(c chan<- os.Signal, signals ...os.Signal) { signal.Notify(c, signals...) }

// world is everything around a case.
type world struct {
	record
	trouble bool
	dir     string // for settings and logs
	network string // of the daemons, three numbers
	ports   []int  // of the listeners of each daemon
	store   *standin.Store
	address string // of the store
	starter starter
	reports *reports
	daemons []*daemon

	mu       sync.Mutex
	replicas []*replica
	lines    func(r *replica, line string) // called for each line of a replica; nil: not needed
	closed   bool
}

func newWorld(dir string, trouble bool) (*world, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{record: record{file: file, begun: time.Now()}, trouble: trouble, store: standin.NewStore(storePage)}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	w.notef("trouble: %t", trouble)
	endpoint, err := w.store.Open()
	if err != nil {
		return nil, err
	}
	w.address = endpoint.Address()
	if w.reports, err = openReports(); err != nil {
		return nil, err
	}
	return w, w.findNetwork()
}

// findNetwork finds a loopback network, and ports that are free there.
func (w *world) findNetwork() error {
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		w.ports = []int{base, base + 1, base + 2, base + 3, base + 4}
		if w.isFree() {
			return nil
		}
	}
	return errors.New("no free ports on the loopback addresses")
}

func (w *world) isFree() bool {
	for i := range zones {
		for _, p := range w.ports {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", w.network, 10+i, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// daemon is one daemon.
type daemon struct {
	*world
	name, zone, ip, file string

	mu      sync.Mutex
	pid     int
	held    bool   // it is not started again
	started func() // called when the process was started again; nil: not needed
}

func (d *daemon) at(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.ports[port]) }

// callers returns the address for callers.
func (d *daemon) callers() string { return d.at(0) }

// startDaemons starts the daemons, and waits until they are ready.
func (w *world) startDaemons() {
	for i, zone := range zones {
		d := &daemon{world: w, name: fmt.Sprintf("edge-%d", i+1), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, 10+i)}
		d.file = filepath.Join(w.dir, d.name+".yaml")
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		d.writeSettings()
		d.start()
	}
	for _, d := range w.daemons {
		d.awaitReady()
	}
}

// writeSettings writes the settings of deploy/settings.yaml.tmpl.
func (d *daemon) writeSettings() {
	var seeds []string
	for _, i := range []int{0, 3, 6} { // one of each zone
		seeds = append(seeds, fmt.Sprintf("%q", d.daemons[i].at(2)))
	}
	text := fmt.Sprintf(`id: %q
domain: %q
listen:
  callers: %q
  readiness: %q
  operators: %q
  metrics: %q
  peers: %q
store: %q
seeds: [%s]
stop:
  grace: 8s
repeat:
  ratio: 0.2
  extra: 56
  window: 10s
memory_mb: 284
`, d.name, d.zone, d.at(0), d.at(1), d.at(2), d.at(3), d.at(4), d.world.address, strings.Join(seeds, ","))
	check(os.WriteFile(d.file, []byte(text), 0o600))
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts the process with the command of the deploy file, and again some time after each end.
func (d *daemon) start() {
	pid := d.starter.start("daemon", filepath.Join(d.dir, d.name+".log"), d.file)
	d.mu.Lock()
	d.pid = pid
	d.mu.Unlock()
	go func() {
		<-ended(pid)
		time.Sleep(restartPause)
		d.mu.Lock()
		again := !d.held
		d.mu.Unlock()
		if again {
			d.notef("%s starts again", d.name)
			d.start()
			if d.started != nil {
				d.started()
			}
		}
	}()
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = syscall.Kill(d.pid, s)
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.at(1) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady() {
	for until := time.Now().Add(20 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			panic(d.name + " does not become ready")
		}
	}
}

// replica is one replica as the driver sees it.
type replica struct {
	*world
	entry   standin.Replica
	slots   int  // of plain requests; 0: there is no limit
	queue   int  // plain requests that wait for a slot at most
	restart bool // it is started again some seconds after it crashed
	// entryLag is how long after it listens a replica that starts again writes its entry.
	entryLag time.Duration

	mu       sync.Mutex
	pid      int
	expected bool      // it is to end
	written  time.Time // when it last wrote its entry
}

// heartbeatTime is heartbeat_ms.
const heartbeatTime = 1200 * time.Millisecond

// replicaRestart is how long a replica that crashed is away: "the replica is back after some seconds".
const replicaRestart = 2 * time.Second

// addReplica starts a replica and writes its entry.
func (w *world) addReplica(service, version string) *replica {
	return w.addReplicaWith(service, version, 0, 0)
}

// addReplicaWith is addReplica for a replica that runs so many plain requests at once, and queues a few more.
func (w *world) addReplicaWith(service, version string, slots, queue int) *replica {
	w.mu.Lock()
	n := len(w.replicas)
	r := &replica{world: w, slots: slots, queue: queue, entry: standin.Replica{ID: fmt.Sprintf("i-%02d", n+1), Service: service, Address: freeAddress(), Domain: replicaZones[n%len(replicaZones)], Slots: 64, Version: version}}
	if slots > 0 {
		r.entry.Slots = slots
	}
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	r.start()
	return r
}

func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the process of a replica, and writes its entry once it listens.
func (r *replica) start() {
	connected := r.reports.await(r.entry.ID)
	pid := r.starter.start("replica", filepath.Join(r.dir, "replicas.log"), "-report", r.reports.listener.Addr().String(), "-address", r.entry.Address,
		"-id", r.entry.ID, "-version", r.entry.Version, "-slots", fmt.Sprint(r.slots), "-queue", fmt.Sprint(r.queue))
	r.mu.Lock()
	r.pid = pid
	r.mu.Unlock()
	var out net.Conn
	select {
	case out = <-connected:
	case <-time.After(5 * time.Second):
		panic("a replica does not report")
	}
	listening := make(chan struct{})
	read := make(chan struct{})
	go func() {
		defer close(read)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			line := lines.Text()
			if line == "listening" {
				close(listening)
				continue
			}
			r.notef("replica %s", line)
			if r.lines != nil {
				r.lines(r, line)
			}
		}
	}()
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		panic("a replica does not listen")
	}
	go r.writeEntry(time.Now(), read)
	go func() {
		<-read
		<-ended(pid)
		r.mu.Lock()
		again := r.restart && !r.expected
		r.mu.Unlock()
		if again {
			time.Sleep(replicaRestart)
			r.notef("replica %s starts again", r.entry.ID)
			r.start()
		}
	}()
}

// writeEntry writes the entry of a start of the replica, and again every heartbeatTime, until the process has ended. The entry
// disappears after three heartbeats without a write. Writes that change only the sequence are not seen by watches.
func (r *replica) writeEntry(started time.Time, ended <-chan struct{}) {
	select {
	case <-time.After(r.entryLag):
	case <-ended:
		return
	}
	r.mu.Lock()
	r.entry.StartTime, r.entry.Sequence, r.written = started.UnixMilli(), 1, time.Now()
	r.store.PutReplica(r.entry)
	r.mu.Unlock()
	r.notef("the store has taken the entry of replica %s, version %s, born %d", r.entry.ID, r.entry.Version, started.UnixMilli())
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for isRunning := true; isRunning; {
		select {
		case now := <-ticker.C:
			r.mu.Lock()
			r.written = now
			r.mu.Unlock()
		case <-ended:
			isRunning = false
		}
	}
	time.Sleep(time.Until(r.lastWrite().Add(3 * heartbeatTime)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entry.StartTime == started.UnixMilli() {
		r.store.DeleteReplica(r.entry.ID)
		r.notef("the entry of replica %s lapses", r.entry.ID)
	}
}

func (r *replica) lastWrite() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written
}

// signal sends a signal to the process.
func (r *replica) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = syscall.Kill(r.pid, s)
}

// drain writes the entry of a replica that leaves, and has it say so in its answers.
func (r *replica) drain() {
	r.mu.Lock()
	r.expected = true
	r.entry.Draining, r.entry.Sequence = true, r.entry.Sequence+1
	r.store.PutReplica(r.entry)
	r.mu.Unlock()
	r.signal(syscall.SIGUSR1)
	r.notef("the store has taken that replica %s is draining", r.entry.ID)
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	replicas := w.replicas
	w.mu.Unlock()
	for _, d := range w.daemons {
		d.mu.Lock()
		d.held = true
		if d.pid > 0 {
			_ = syscall.Kill(d.pid, syscall.SIGKILL)
		}
		d.mu.Unlock()
	}
	for _, r := range replicas {
		r.mu.Lock()
		r.expected = true
		if r.pid > 0 {
			_ = syscall.Kill(r.pid, syscall.SIGKILL)
		}
		r.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// configure writes a configuration.
func (w *world) configure(c standin.Config) {
	c.Version = 1
	c.Workspaces = []standin.Workspace{{Name: tenant, Keys: []string{key}}}
	w.store.PutConfig(&c)
}
