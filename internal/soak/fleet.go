// This file starts and signals the daemon processes of a run. It never signals other processes.

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Parameters of the daemon processes and of the load balancer in front of them.
const (
	gracePeriod    = 3 * time.Second // from SIGTERM to SIGKILL
	restartPause   = 400 * time.Millisecond
	readyInterval  = 250 * time.Millisecond
	readyTimeout   = 300 * time.Millisecond
	missesUntilOut = 2 // failed probes in a row after which a daemon gets no callers
	pathReady      = "/api/readyz"
	memoryMB       = 200
)

// daemon is one daemon and the links to its callers, its store and its peers.
type daemon struct {
	number    int
	domain    string
	ip        string // that the process listens on
	peerIP    string // IP of its link to peers, which the daemon announces
	file      string
	readiness string
	operators string
	callers   *Link
	store     *Link
	peers     *peerLink
	fleet     *fleet

	peersMu      sync.Mutex
	refusesPeers bool // the link to the peers listener refuses connections

	mu          sync.Mutex
	build       Build // of the process, or of the next one
	process     *os.Process
	incarnation int
	terminating bool          // the run asked the process to terminate
	exited      chan struct{} // closed when the process has terminated
	ready       bool          // the balancer sends callers
	misses      int
	memory      memorySample // of the process, or of the last one
}

// fleet holds the daemons of a run.
type fleet struct {
	binaries map[Build]string
	dir      string
	network  string
	ports    []int // of the callers, readiness, operators and peers listeners
	ledger   *Ledger
	daemons  []*daemon
	ctx      context.Context
	wg       sync.WaitGroup
	// bindsSource makes each daemon connect to replicas from its own IP address, by which links to
	// replicas tell the daemons apart.
	bindsSource bool
	// refuses makes the links to the peers listener of a daemon refuse connections while its process does not run.
	refuses bool
}

// freePorts returns n distinct ports that are currently free on loopback. Each stays bound
// until all are found, so that none is returned twice.
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

// portsPerDaemon is the number of listeners of a daemon. All daemons use the same ports, because
// each has its own IP address.
const portsPerDaemon = 4

// add sets up a daemon that connects to an endpoint of the store, without starting it.
func (f *fleet) add(i int, domain, endpoint string) (*daemon, error) {
	d := &daemon{number: i, domain: domain, fleet: f, ip: fmt.Sprintf("%s.%d", f.network, 10+i), peerIP: fmt.Sprintf("%s.%d", f.network, 110+i)}
	d.file = filepath.Join(f.dir, fmt.Sprintf("daemon-%d.yaml", i))
	ports := f.ports
	at := func(port int) string { return net.JoinHostPort(d.ip, itoa(port)) }
	d.readiness, d.operators = at(ports[1]), at(ports[2])
	if f.bindsSource {
		f.ledger.ConnectsFrom(d.ip, i)
	}
	var err error
	if d.callers, err = openLink("127.0.0.1:0", at(ports[0])); err != nil {
		return nil, err
	}
	if d.store, err = openLink("127.0.0.1:0", endpoint); err != nil {
		return nil, err
	}
	if d.peers, err = openPeerLink(d.peerAddress(), at(f.ports[3])); err != nil {
		return nil, err
	}
	f.daemons = append(f.daemons, d)
	return d, nil
}

// peerAddress returns the address that the daemon announces to its peers.
func (d *daemon) peerAddress() string { return net.JoinHostPort(d.peerIP, itoa(d.fleet.ports[3])) }

// writeSettings writes the settings file for a build. The previous one does not know the source address.
func (d *daemon) writeSettings(b Build) error {
	callers := net.JoinHostPort(d.ip, itoa(d.fleet.ports[0]))
	seeds := ""
	for k := range min(3, d.number+1) {
		seeds += fmt.Sprintf("  - %s.%d:1\n", d.fleet.network, 110+k)
	}
	source := ""
	if d.fleet.bindsSource && b == BuildCurrent {
		source = "source_address: " + d.ip + "\n"
	}
	text := fmt.Sprintf(`# generation 0
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
%s`, d.number, d.domain, callers, d.readiness, d.operators, d.ip, d.fleet.ports[3], d.peerIP, d.fleet.ports[3], d.store.Address(), seeds, gracePeriod, memoryMB, source)
	return replaceFile(d.file, text)
}

// replaceFile replaces a file as a whole, since a daemon may start and read its settings while a reload changes them.
func replaceFile(file, text string) error {
	next, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	_, err = next.WriteString(text)
	if err := errors.Join(err, next.Close()); err != nil {
		return err
	}
	return os.Rename(next.Name(), file)
}

// logFile returns the path of the log of the daemon's processes.
func (d *daemon) logFile() string {
	return filepath.Join(d.fleet.dir, fmt.Sprintf("daemon-%d.log", d.number))
}

// start starts the process and waits for its termination in the background.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	offset, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		_ = out.Close()
		return err
	}
	if err := d.acceptPeers(); err != nil {
		return err
	}
	d.mu.Lock()
	build := d.build
	d.mu.Unlock()
	if err := d.writeSettings(build); err != nil {
		return err
	}
	cmd := exec.Command(d.fleet.binaries[build], "--front", "routes", "--settings", d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.terminating, d.exited, d.memory = cmd.Process, false, exited, memorySample{}
	d.incarnation++
	incarnation := d.incarnation
	d.mu.Unlock()
	d.fleet.ledger.Runs(d.number, incarnation, build)
	d.fleet.ledger.Begins(d.number, incarnation, time.Now())
	d.fleet.wg.Go(func() { d.watchMemory(cmd.Process.Pid, exited) })
	d.fleet.wg.Go(func() {
		err := cmd.Wait()
		_ = out.Close()
		close(exited)
		d.afterExit(err, offset)
	})
	return nil
}

// failed reports whether a process that the run asked to terminate ended with an exit status that says otherwise.
func failed(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() > 0
}

// afterExit restarts the daemon after a pause, as the users' platform does. The log of the process begins at an offset.
func (d *daemon) afterExit(err error, log int64) {
	d.mu.Lock()
	expected, memory := d.terminating && !failed(err), d.memory
	d.ready = false
	d.mu.Unlock()
	d.refusePeers()
	if d.fleet.ctx.Err() != nil {
		return
	}
	if !expected {
		d.fleet.ledger.TerminatedUnexpectedly(fmt.Sprintf("d%d", d.number), time.Now(), describeEnd(err, memory, d.logSince(log)))
	}
	pause(d.fleet.ctx, restartPause)
	if d.fleet.ctx.Err() == nil {
		_ = d.start()
	}
}

// signal sends a signal; end says that the signal is meant to terminate the process. It returns
// the channel that is closed on termination.
func (d *daemon) signal(s os.Signal, end bool) (exited chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end {
		d.terminating = true
	}
	if d.process != nil {
		_ = d.process.Signal(s)
	}
	return d.exited
}

func (d *daemon) kill() {
	d.refusePeers()
	d.signal(syscall.SIGKILL, true)
}

// refusePeers makes the link to the peers listener refuse connections, as the system does once the process is gone.
func (d *daemon) refusePeers() {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	if d.fleet != nil && d.fleet.refuses && !d.refusesPeers {
		d.refusesPeers = true
		d.peers.tcp.CloseListener()
	}
}

// acceptPeers undoes refusePeers.
func (d *daemon) acceptPeers() error {
	d.peersMu.Lock()
	defer d.peersMu.Unlock()
	if !d.refusesPeers {
		return nil
	}
	d.refusesPeers = false
	return d.peers.tcp.Reopen()
}

// freeze suspends the process for a time with SIGSTOP and SIGCONT.
func (d *daemon) freeze(ctx context.Context, suspended time.Duration) {
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p == nil || p.Signal(syscall.SIGSTOP) != nil {
		return
	}
	pause(ctx, suspended)
	_ = p.Signal(syscall.SIGCONT)
}

// stop shuts the daemon down gracefully, and kills it after the grace period. It reports whether
// the process terminated within that period or the run ended.
func (d *daemon) stop(ctx context.Context) bool {
	exited := d.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return true
	case <-time.After(gracePeriod):
		d.kill()
		return false
	}
}

func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// probeReadiness polls the readiness of a daemon until ctx is done, as the users' load balancer
// does.
func (d *daemon) probeReadiness(ctx context.Context) {
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
			d.ready, d.misses = true, 0
		case d.misses+1 >= missesUntilOut:
			d.ready = false
		default:
			d.misses++
		}
		d.mu.Unlock()
		pause(ctx, readyInterval)
	}
}

func (d *daemon) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// pick returns a ready daemon for a caller's new connection, if there is one.
func (f *fleet) pick(draw int) (*daemon, bool) {
	n := len(f.daemons)
	start := (draw + int(time.Now().UnixMilli())) % n
	for k := range n {
		if d := f.daemons[(start+k)%n]; d.isReady() {
			return d, true
		}
	}
	return nil, false
}

// allReady reports whether the balancer considers every daemon ready.
func (f *fleet) allReady() bool {
	for _, d := range f.daemons {
		if !d.isReady() {
			return false
		}
	}
	return true
}

// shutdown kills the running daemons, waits for them and closes their links. The fleet's context
// must be done before, or the daemons are restarted.
func (f *fleet) shutdown() {
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
