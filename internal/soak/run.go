// This file runs a plan: start, faults, quiet time, checks, report.

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/platform/standin"
)

// Options are the paths that a run uses.
type Options struct {
	Daemon   string // path of the daemon's binary
	Previous string // path of the previous build's binary, for plans with upgrades
	Dir      string // where settings, logs and the report go
}

// Report is the result of a run.
type Report struct {
	Plan          *Plan             `json:"plan"`
	Requests      int               `json:"requests"` // of callers that did not disconnect, with valid keys
	Served        int               `json:"served"`
	Share         float64           `json:"share_served"`
	QuietShare    float64           `json:"share_served_at_the_end"`
	OverloadShare float64           `json:"share_at_crowded_replicas"` // in the worst undisturbed window
	Crashed       int               `json:"replicas_ended"`            // by crashing requests
	Backoffs      int               `json:"rests"`                     // backoffs that replicas requested
	MaxMemoryMB   int64             `json:"max_memory_mb"`             // resident memory of a daemon's process
	BrokenOff     map[lossCause]int `json:"broken_off"`                // responses, by cause
	Departures    int               `json:"left_by_answers"`           // replicas that announced their departure to a caller
	HeldForParts  int               `json:"held_for_parts"`            // ordinary requests that were refused for a part of their prompts
	BorderEnds    BorderEnds        `json:"border_ends"`               // streams that ended with their replica
	Streams       StreamCount       `json:"streams"`                   // of callers that resume them
	Mixed         []Violation       `json:"mixed_streams,omitempty"`   // streams of several versions, also those that are allowed
	Stalls        StallCount        `json:"stalls"`                    // of processes, in plans with a crowded service
	Brittle       []BrittleResult   `json:"brittle,omitempty"`
	Violations    []Violation       `json:"violations"`
	Excused       []Violation       `json:"excused"` // of backoffs that the daemon can't have read
	Events        []string          `json:"events"`  // faults and their ends
}

// Parameters of a run.
const (
	startTimeout        = 10 * time.Second
	checkInterval       = 2 * time.Second
	recoveryWindow      = 4 * time.Second
	minRecoveryRequests = 20
)

// runner is a run in progress.
type runner struct {
	plan      *Plan
	options   Options
	site      *site
	begun     time.Time
	endpoints []*standin.StoreEndpoint

	mu     sync.Mutex
	report *Report
}

// Play runs a plan. It returns an error if the plan could not be run; guarantees that
// were broken are in the report.
func Play(ctx context.Context, p *Plan, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, eris.Wrap(err, "create the run's directory; check the path and permissions")
	}
	r := &runner{plan: p, options: o, report: &Report{Plan: p}, begun: time.Now()}
	work, end := context.WithCancel(ctx)
	defer end()
	r.site = newSite(newLedger(defaultBounds()))
	r.site.steady, r.site.cold, r.site.refuses = p.Steady, p.Cold, len(p.Crashing)+len(p.CrashingParts) > 0 || p.Versions != nil || p.Crowded.isBrittle()
	r.site.partCrashes, r.site.unframed = len(p.CrashingParts) > 0, p.Unframed
	if p.Versions != nil {
		r.site.setVersions(p.Versions)
	}
	if p.Uploads {
		r.site.setUploads()
	}
	if p.Crowded != nil {
		r.site.setCrowded(p.Crowded)
	}
	err := r.build(work)
	if r.site.fleet != nil {
		defer r.site.fleet.shutdown()
	}
	defer end() // runs before the fleet is stopped, so that nothing is restarted
	if err != nil {
		return nil, err
	}
	defer r.site.close()
	if r.site.trap, err = openTrap(r.site.ledger); err != nil {
		return nil, err
	}
	defer r.site.trap.close()
	if err := r.play(work); err != nil {
		return r.report, err
	}
	return r.report, r.write()
}

// build starts the store's endpoints, the replicas and the daemons.
func (r *runner) build(ctx context.Context) error {
	s, p := r.site, r.plan
	for i := range p.Domains {
		s.domains = append(s.domains, "z"+itoa(i))
	}
	if err := r.addReplicas(); err != nil {
		return err
	}
	s.mu.Lock()
	s.publish()
	s.mu.Unlock()
	if err := r.addDaemons(ctx); err != nil {
		return err
	}
	for _, d := range s.fleet.daemons {
		if len(p.Upgrades) > 0 {
			d.setBuild(BuildPrevious)
		}
		if err := d.start(); err != nil {
			return eris.Wrapf(err, "start %s; build it first", r.options.Daemon)
		}
		go d.probeReadiness(ctx)
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	s.ledger.Ready(time.Now())
	if p.Steady != nil {
		// All daemons are up to date when traffic begins, so that all of it is checked.
		pause(ctx, s.ledger.bounds.SyncTime)
	}
	return ctx.Err()
}

// addReplicas opens the places of all services, distributed round-robin over the domains.
func (r *runner) addReplicas() error {
	s, p := r.site, r.plan
	for _, service := range []struct {
		name     string
		replicas int
	}{{serviceGate, p.Gate}, {serviceOther, p.Gate}, {serviceChat, p.Chat}, {serviceCrowded, p.crowdedReplicas()}} {
		for i := range service.replicas {
			if err := s.addPlace(service.name, s.domains[i%len(s.domains)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// addDaemons assigns each daemon its addresses, settings and endpoint of the store.
func (r *runner) addDaemons(ctx context.Context) error {
	s := r.site
	ports, err := freePorts(portsPerDaemon)
	if err != nil {
		return err
	}
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	s.fleet = &fleet{binaries: map[Build]string{BuildCurrent: r.options.Daemon, BuildPrevious: r.options.Previous}, dir: r.options.Dir, network: network, ports: ports, ledger: s.ledger, ctx: ctx, bindsSource: len(r.plan.Partitions) > 0, refuses: r.plan.Uploads}
	for i := range r.plan.Daemons {
		endpoint, err := s.store.Open()
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, endpoint)
		if _, err := s.fleet.add(i, s.domains[i%len(s.domains)], endpoint.Address()); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the balancer has added all daemons.
func (r *runner) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); !r.site.fleet.allReady(); pause(ctx, readyInterval) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return eris.Errorf("daemons are not ready after %v; see their logs in %s", startTimeout, r.options.Dir)
		}
	}
	return nil
}

func (r *runner) play(ctx context.Context) error {
	r.begun = time.Now()
	r.site.begun = r.begun
	var callers, crowds, checks sync.WaitGroup
	calling, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i := range r.plan.Callers {
		c := &caller{site: r.site, number: i}
		callers.Go(func() { c.run(calling) })
	}
	for i := range r.plan.Crashing {
		c := &crasher{site: r.site, Crashing: r.plan.Crashing[i], number: i + 1}
		callers.Go(func() { c.run(calling) })
	}
	for i := range r.plan.CrashingParts {
		c := &partCrasher{site: r.site, CrashingPart: r.plan.CrashingParts[i], number: crashingPartBase + i}
		callers.Go(func() { c.run(calling) })
	}
	for i := range r.plan.Versions.resumers() {
		c := &resumer{site: r.site, number: i}
		callers.Go(func() { c.run(calling) })
	}
	if c := r.plan.Crowded; c != nil {
		crowd := &crowdedCallers{Crowded: c, site: r.site, service: serviceCrowded}
		crowds.Go(func() { crowd.run(ctx, r.begun, r.plan.Trouble) })
		crowds.Go(func() { r.site.slowDown(ctx, r.begun, c.Slow) })
		crowds.Go(func() { r.site.makeBrittle(ctx, r.begun, c.Brittle) })
		go r.site.watchStalls(calling)
	}
	checking, stopChecking := context.WithCancel(ctx)
	defer stopChecking()
	checks.Go(func() {
		for checking.Err() == nil {
			pause(checking, checkInterval)
			r.check()
		}
	})
	s := &injector{site: r.site, ctx: ctx, endpoints: r.endpoints, logf: r.note}
	var others sync.WaitGroup // faults that are not in Plan.Faults
	others.Go(func() {
		for i := range r.plan.Upgrades {
			s.upgrade(&r.plan.Upgrades[i])
		}
	})
	if v := r.plan.Versions; v != nil {
		others.Go(func() { s.crashInSeries(v, r.plan.Trouble) })
		for i := range v.Rollouts {
			others.Go(func() { s.rollOut(&v.Rollouts[i]) })
		}
	}
	for i := range r.plan.Partitions {
		others.Go(func() { s.partition(&r.plan.Partitions[i]) })
	}
	s.run(r.plan)
	others.Wait()
	crowds.Wait()
	pause(ctx, r.plan.Quiet-recoveryWindow)
	r.site.ledger.BeginRecoveryCheck(time.Now())
	pause(ctx, min(r.plan.Quiet, recoveryWindow))
	stopCallers()
	callers.Wait()
	stopChecking()
	checks.Wait()
	r.check()
	r.checkRecovery()
	return ctx.Err()
}

func (r *runner) check() {
	found := r.site.ledger.Check(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, found...)
}

// checkRecovery checks the recovery: at the end of the quiet time requests are served again,
// and each daemon serves its metrics.
func (r *runner) checkRecovery() {
	now := time.Now()
	served, all := r.site.ledger.Served(now.Add(-recoveryWindow), now.Add(-time.Second/2))
	totalServed, total := r.site.ledger.Served(r.begun, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests, r.report.Served = total, totalServed
	r.report.OverloadShare, r.report.Crashed = r.site.ledger.MaxOverloadShare(), r.site.ledger.Crashes()
	r.report.Backoffs, r.report.Departures = r.site.ledger.Backoffs(), r.site.ledger.Departures()
	r.report.Excused = r.site.ledger.Excused()
	r.report.BrokenOff = r.site.ledger.Losses()
	r.report.MaxMemoryMB = r.site.ledger.MaxMemory() / megabyte
	r.report.HeldForParts = r.site.ledger.HeldForParts()
	r.report.BorderEnds = r.site.ledger.BorderEnds()
	r.report.Streams, r.report.Mixed = r.site.ledger.Streams(), r.site.ledger.MixedStreams()
	r.report.Stalls = r.site.ledger.Stalls()
	r.report.Brittle = r.site.ledger.BrittleResults(now)
	r.report.Share, r.report.QuietShare = share(totalServed, total), share(served, all)
	if all < minRecoveryRequests || r.report.QuietShare < r.site.ledger.bounds.MinServed {
		r.report.Violations = append(r.report.Violations, Violation{Promise: "RECOVER", Subject: "fleet", At: now, Detail: fmt.Sprintf("only %d of %d requests were served at the end of the quiet time", served, all)})
	}
	for _, d := range r.site.fleet.daemons {
		if err := d.metrics(); err != nil {
			r.report.Violations = append(r.report.Violations, Violation{Promise: "RUNS", Subject: "d" + itoa(d.number), At: now, Detail: "read metrics: " + err.Error()})
		}
	}
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// metrics fetches a daemon's metrics and discards them.
func (d *daemon) metrics() error {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + d.operators + "/metrics")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (r *runner) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	r.report.Events = append(r.report.Events, fmt.Sprintf("%s %6.2fs ", at.UTC().Format("15:04:05.000"), at.Sub(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// write stores the report in the directory of the daemons' logs.
func (r *runner) write() error {
	text, err := json.MarshalIndent(r.report, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(r.options.Dir, "report.json"), text, 0o600), "write report")
}
