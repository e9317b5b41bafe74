package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Bounds of the sheets (../given/kit/more/system/sites/cgma-hinge.toml and its page).
const (
	contact   = 3 * time.Second
	heartbeat = 1200 * time.Millisecond
)

var zones = []string{"burnaby-hall", "richmond-hall", "surrey-hall"}

// record writes what was sent, answered and run, one JSON object a line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begun: time.Now()}, err
}

// add writes an event. It returns the time since the start.
func (r *record) add(event string, fields map[string]any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.begun)
	fields["event"], fields["at_ms"] = event, at.Milliseconds()
	line, err := json.Marshal(fields)
	if err != nil {
		line = []byte(err.Error())
	}
	_, _ = r.file.Write(append(line, '\n'))
	return at
}

// note writes a remark, also to standard error.
func (r *record) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	at := r.add("note", map[string]any{"text": text})
	fmt.Fprintf(os.Stderr, "%8.3f %s\n", at.Seconds(), text)
}

// daemon is one process of the project's daemon, on a loopback address of its own.
type daemon struct {
	name, ip, zone     string
	callers, readiness string
	settings, log      string // files
	pid                int
}

// starter reads the process ids of the daemons that review/play.sh starts.
var starter = bufio.NewReader(os.Stdin)

// start asks review/play.sh for the process.
func (d *daemon) start() error {
	fmt.Println(d.settings, d.log)
	_, err := fmt.Fscanln(starter, &d.pid)
	return err
}

func (d *daemon) signal(s syscall.Signal) { _ = syscall.Kill(d.pid, s) }

// hasEnded reports whether the process has ended.
func (d *daemon) hasEnded() bool { return syscall.Kill(d.pid, 0) != nil }

// awaitEnd waits until the process has ended. It returns false if it has not within a time.
func (d *daemon) awaitEnd(most time.Duration) bool {
	for until := time.Now().Add(most); !d.hasEnded(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// restart kills the process and starts it again after a time.
func (f *fleet) restart(d *daemon, after time.Duration) error {
	d.signal(syscall.SIGKILL)
	if !d.awaitEnd(contact) {
		return fmt.Errorf("%s does not end", d.name)
	}
	f.record.note("%s was killed", d.name)
	time.Sleep(after)
	if err := d.start(); err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	f.record.note("%s is ready again", d.name)
	return nil
}

// fleet is a set of daemons and the store that they read.
type fleet struct {
	store   *standin.Store
	daemons []*daemon
	dir     string
	record  *record
}

const settings = `id: %q
domain: %q
listen:
  callers: "%s:%d"
  readiness: "%s:%d"
  operators: "%s:%d"
  metrics: "%s:%d"
  peers: "%s:%d"
source_address: %q
store: %q
seeds: %s
stop:
  grace: 8s
repeat:
  ratio: 0.2
  extra: 56
  window: 10s
memory_mb: 284
`

// startFleet starts n daemons, in the zones in turn.
func startFleet(n int, store *standin.Store, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: store, dir: dir, record: r}
	pid := os.Getpid()
	prefix := fmt.Sprintf("127.%d.%d", 64+pid%128, (pid/128)%256)
	ips := make([]string, n)
	for i := range ips {
		ips[i] = fmt.Sprintf("%s.%d", prefix, 11+i)
	}
	port, err := freePorts(ips, 5)
	if err != nil {
		return f, err
	}
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ips[i], port+2))
	}
	list, _ := json.Marshal(seeds)
	for i, ip := range ips {
		endpoint, err := store.Open()
		if err != nil {
			return f, err
		}
		d := &daemon{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: zones[i%len(zones)],
			callers: fmt.Sprintf("%s:%d", ip, port), readiness: fmt.Sprintf("%s:%d", ip, port+1),
		}
		d.settings, d.log = filepath.Join(dir, d.name+".yaml"), filepath.Join(dir, d.name+".log")
		text := fmt.Sprintf(settings, d.name, d.zone, ip, port, ip, port+1, ip, port+2, ip, port+3, ip, port+4, ip, endpoint.Address(), list)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return f, err
		}
		if err := d.start(); err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
	}
	return f, f.awaitReady()
}

// grace is how long a process has to end after SIGTERM.
const grace = 8 * time.Second

// roll stops a daemon with SIGTERM, kills it if it has not ended after its grace, and starts it again.
func (f *fleet) roll(d *daemon) error {
	f.record.note("%s gets SIGTERM", d.name)
	d.signal(syscall.SIGTERM)
	if d.awaitEnd(grace) {
		f.record.note("%s has ended", d.name)
	} else {
		d.signal(syscall.SIGKILL)
		_ = d.awaitEnd(contact)
		f.record.note("%s was killed after its grace", d.name)
	}
	if err := d.start(); err != nil {
		return err
	}
	return f.awaitReady()
}

// freePorts returns the first of n consecutive ports that are free on all addresses.
func freePorts(ips []string, n int) (int, error) {
	for port := 20000 + os.Getpid()%10000; port < 40000; port += n {
		if allFree(ips, port, n) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func allFree(ips []string, port, n int) bool {
	for _, ip := range ips {
		for p := port; p < port+n; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// awaitReady waits until all daemons are ready by their readiness checks.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for {
			resp, err := client.Get("http://" + d.readiness + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end kills all daemons that run, and reports whether all had run until then.
func (f *fleet) end() bool {
	all := true
	for _, d := range f.daemons {
		if d.hasEnded() {
			all = false
			f.record.note("%s had ended by itself", d.name)
			continue
		}
		d.signal(syscall.SIGKILL)
	}
	for _, d := range f.daemons {
		_ = d.awaitEnd(contact)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs are in", f.dir)
	}
	return all
}

// every calls do at a steady rate, each time in a goroutine of its own, until ctx is done.
func every(ctx context.Context, wg *sync.WaitGroup, perSecond float64, do func()) {
	wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				wg.Go(do)
			}
		}
	})
}
