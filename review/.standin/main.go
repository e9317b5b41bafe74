// Command review-standin plays the store, the replicas and the clients in the cases of the review, and says
// what becomes of the daemons, which review/play.sh starts for it.
//
//	review-standin versions|part|silence FOLDER
//
// It runs at the root of the repository, writes record.txt into the folder, and exits with 0 if the rule
// held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 there is no disruption.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// longest is the time that a case may take.
const longest = 110 * time.Second

// play is what a case is played with.
type play struct {
	record  *record
	store   *standin.Store
	fleet   *fleet
	clients *clients
	trouble bool

	mu       sync.Mutex
	replicas []*replica
	started  int
	wg       sync.WaitGroup
}

var cases = map[string]func(*play) int{"part": playPart, "silence": playSilence, "versions": playVersions}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin versions|part|silence FOLDER")
		return cannotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	p := &play{record: r, store: standin.NewStore(500), trouble: os.Getenv("TROUBLE") != "0"}
	ended := make(chan int, 1)
	go func() { ended <- cases[os.Args[1]](p) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	code := cannotRun
	select {
	case code = <-ended:
	case s := <-stopped:
		r.note("stopped by a signal: %v", s)
	case <-time.After(longest):
		r.note("the case took longer than %v", longest)
	}
	if !p.endFleet() {
		code = cannotRun
	}
	switch code {
	case held:
		r.note("the rule held")
	case broken:
		r.note("the rule was broken")
	default:
		r.note("the case could not run")
	}
	return code
}

// endFleet ends the daemons. It returns false if one had ended by itself.
func (p *play) endFleet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleet == nil || p.fleet.end()
}

// startFleet starts n daemons. It returns false if they are not ready.
func (p *play) startFleet(n int) bool {
	p.mu.Lock()
	f, err := startFleet(n, p.store, p.record)
	p.fleet = f
	p.mu.Unlock()
	if err != nil {
		p.record.note("%v", err)
		return false
	}
	p.clients = newClients(f, p.record)
	p.record.note("%d daemons are ready", n)
	return true
}

// start starts a replica that is filled in, under an id of its own, and writes its entry.
func (p *play) start(r *replica) *replica {
	p.mu.Lock()
	p.started++
	r.id = fmt.Sprintf("i-%08x", 0x10000000+p.started*7919)
	p.mu.Unlock()
	r.record = p.record
	s, err := startReplica(r)
	if err != nil {
		panic(err)
	}
	p.store.Put("servers/"+s.id, s.entry(1))
	p.mu.Lock()
	p.replicas = append(p.replicas, s)
	p.mu.Unlock()
	return s
}

// all returns the replicas that live.
func (p *play) all() []*replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*replica
	for _, r := range p.replicas {
		r.mu.Lock()
		if !r.ended {
			out = append(out, r)
		}
		r.mu.Unlock()
	}
	return out
}

// replaceAfter lets the entry of a replica that has crashed lapse after three heartbeats, and starts
// another one in its place after a time.
func (p *play) replaceAfter(r *replica, d time.Duration) {
	p.wg.Go(func() {
		time.Sleep(3 * heartbeat)
		p.store.Delete("servers/" + r.id)
	})
	p.wg.Go(func() {
		time.Sleep(d)
		n := p.start(&replica{service: r.service, zone: r.zone, slots: r.slots, work: r.work, crashed: r.crashed})
		p.record.note("replica %s is back as %s", r.id, n.id)
	})
}

// route returns a route of a configuration.
func route(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 1, "service": service, "max_attempts": attempts, "auth_exempt": false, "resumable": resumable,
	}
	if kind == "streaming" {
		r["target_gap_ms"], r["session_affinity"] = 300, true
	}
	return r
}

// configure writes a configuration.
func (p *play) configure(version int, routes ...map[string]any) {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "casework-llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 444000, "kv_token_bytes": 131072, "link_mbps": 1100000, "moves": false, "stride": 9,
				"models": []map[string]any{{"name": "m"}},
			}},
			{"name": "till-api", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	p.store.Put("op/config", text)
	p.record.note("configuration %d is acknowledged", version)
}

// verdict returns the exit code of a case.
func verdict(tooFew, isBroken bool) int {
	switch {
	case tooFew:
		return cannotRun
	case isBroken:
		return broken
	}
	return held
}
