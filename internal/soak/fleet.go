// This file starts daemons as processes, signals them, and ends only those.

package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of the daemons' processes.
const (
	grace        = 3 * time.Second // from SIGTERM to SIGKILL
	restartPause = 400 * time.Millisecond
	readyPoll    = 250 * time.Millisecond
	readyTimeout = 300 * time.Millisecond
	missesOut    = 2
	pathReady    = "/api/readyz"
	memoryMB     = 200
)

// daemon is one daemon and the links around it.
type daemon struct {
	number    int
	domain    string
	ip        string // of its own
	public    string // of its link to peers
	file      string
	readiness string
	operators string
	callers   *Link
	store     *Link
	peers     *peerLink
	fleet     *fleet

	mu          sync.Mutex
	build       Build // of the process, or of the next one
	process     *os.Process
	incarnation int
	expected    bool // the end of the process was asked for
	exited      chan struct{}
	in          bool // the balancer sends callers
	misses      int
}

// fleet is all daemons of a run.
type fleet struct {
	binaries map[Build]string
	dir      string
	network  string
	ports    []int // callers, readiness, operators, peers
	ledger   *Ledger
	daemons  []*daemon
	ctx      context.Context
	wg       sync.WaitGroup
}

// freePorts returns different ports that are free on loopback for now. All are
// held until all are found, so that none is given twice.
func freePorts(n int) ([]int, error) {
	var out []int
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// portsPerFleet are the peers' port and three listeners', which are the same on
// all daemons: each has an address of its own.
const portsPerFleet = 4

// add prepares a daemon before an endpoint of the store.
func (f *fleet) add(i int, domain, endpoint string) (*daemon, error) {
	d := &daemon{number: i, domain: domain, fleet: f, ip: fmt.Sprintf("%s.%d", f.network, 10+i), public: fmt.Sprintf("%s.%d", f.network, 110+i)}
	d.file = filepath.Join(f.dir, fmt.Sprintf("daemon-%d.yaml", i))
	ports := f.ports
	at := func(port int) string { return net.JoinHostPort(d.ip, itoa(port)) }
	d.readiness, d.operators = at(ports[1]), at(ports[2])
	var err error
	if d.callers, err = openLink("127.0.0.1:0", at(ports[0])); err != nil {
		return nil, err
	}
	if d.store, err = openLink("127.0.0.1:0", endpoint); err != nil {
		return nil, err
	}
	if d.peers, err = openPeerLink(net.JoinHostPort(d.public, itoa(f.ports[3])), at(f.ports[3])); err != nil {
		return nil, err
	}
	f.daemons = append(f.daemons, d)
	return d, d.writeSettings(at(ports[0]), 0)
}

// writeSettings writes the settings file. A generation makes it differ.
func (d *daemon) writeSettings(callers string, generation int) error {
	seeds := ""
	for k := range min(3, len(d.fleet.daemons)) {
		seeds += fmt.Sprintf("  - %s.%d:1\n", d.fleet.network, 110+k)
	}
	text := fmt.Sprintf(`# generation %d
id: d%d
domain: %s
listen:
  callers: %s
  readiness: %s
  operators: %s
  peers: %s:%d
peer_address: %s:%d
store: %s
seeds:
%sstop:
  grace: %s
repeat:
  ratio: 0.2
  extra: 56
  window: 10s
memory_mb: %d
`, generation, d.number, d.domain, callers, d.readiness, d.operators, d.ip, d.fleet.ports[3], d.public, d.fleet.ports[3], d.store.Address(), seeds, grace, memoryMB)
	return os.WriteFile(d.file, []byte(text), 0o600)
}

// start starts the process and watches its end.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.fleet.dir, fmt.Sprintf("daemon-%d.log", d.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.mu.Lock()
	build := d.build
	d.mu.Unlock()
	cmd := exec.Command(d.fleet.binaries[build], "--front", "routes", "--settings", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.expected, d.exited = cmd.Process, false, exited
	d.incarnation++
	incarnation := d.incarnation
	d.mu.Unlock()
	d.fleet.ledger.Runs(d.number, incarnation, build)
	d.fleet.ledger.Begins(d.number, incarnation, time.Now())
	d.fleet.wg.Go(func() {
		err := cmd.Wait()
		_ = out.Close()
		close(exited)
		d.afterExit(err)
	})
	return nil
}

// afterExit starts the daemon again, as the users' platform does.
func (d *daemon) afterExit(err error) {
	d.mu.Lock()
	expected := d.expected
	d.in = false
	d.mu.Unlock()
	if d.fleet.ctx.Err() != nil {
		return
	}
	if !expected {
		d.fleet.ledger.TerminatedUnexpectedly(fmt.Sprintf("d%d", d.number), time.Now(), fmt.Sprint(err))
	}
	pause(d.fleet.ctx, restartPause)
	if d.fleet.ctx.Err() == nil {
		_ = d.start()
	}
}

// signal sends a signal; end says that the process is to end by it.
func (d *daemon) signal(s os.Signal, end bool) (exited chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end {
		d.expected = true
	}
	if d.process != nil {
		_ = d.process.Signal(s)
	}
	return d.exited
}

func (d *daemon) kill() { d.signal(syscall.SIGKILL, true) }

// freeze stops the process, and wakes the same one later.
func (d *daemon) freeze(ctx context.Context, for_ time.Duration) {
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p == nil || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	pause(ctx, for_)
	_ = p.Signal(syscall.SIGCONT)
}

// stop is a planned stop. It returns whether the process ended within its grace.
func (d *daemon) stop(ctx context.Context) bool {
	exited := d.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return true
	case <-time.After(grace):
		d.kill()
		return false
	}
}

func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// balance asks a daemon whether it is ready, as the users' balancer does.
func (d *daemon) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + d.readiness + pathReady)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		d.mu.Lock()
		switch {
		case ok:
			d.in, d.misses = true, 0
		case d.misses+1 >= missesOut:
			d.in = false
		default:
			d.misses++
		}
		d.mu.Unlock()
		pause(ctx, readyPoll)
	}
}

func (d *daemon) isIn() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.in
}

// pick returns a daemon for a caller's new connection.
func (f *fleet) pick(draw int) (*daemon, bool) {
	n := len(f.daemons)
	start := (draw + int(time.Now().UnixMilli())) % n
	for k := range n {
		if d := f.daemons[(start+k)%n]; d.isIn() {
			return d, true
		}
	}
	return nil, false
}

// allIn reports whether every daemon is ready.
func (f *fleet) allIn() bool {
	for _, d := range f.daemons {
		if !d.isIn() {
			return false
		}
	}
	return true
}

// end kills what is left and waits. The context must have ended before.
func (f *fleet) end() {
	for _, d := range f.daemons {
		d.kill()
	}
	f.wg.Wait()
	for _, d := range f.daemons {
		d.callers.Close()
		d.store.Close()
		d.peers.close()
	}
}
