// Case: the daemons are stopped and started in turn while requests wait in them for a busy service.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// stopRounds is how often the daemons are stopped in turn at most, each time beside another service: which of them waits for
	// whom depends on the daemon that grants the places of a service.
	stopRounds  = 3
	stopWork    = 3 * time.Second       // of each request
	stopPause   = 75 * time.Millisecond // between two requests
	stopTimeout = 10 * time.Second
	stopUsual   = 6 * time.Second // before SIGTERM
	graceTime   = 8 * time.Second // grace_s
	lossSlack   = 200 * time.Millisecond
)

func playStopping(w *world) bool {
	var c standin.Config
	for round := range stopRounds {
		service := fmt.Sprintf("wuno9%db", round)
		c.Services = append(c.Services, standin.Service{Name: service, MaxConnections: 110})
		c.Routes = append(c.Routes, standin.Route{
			Name: "r-" + service, Host: host, Prefix: fmt.Sprintf("/cufi50%d/", round), Kind: standin.KindIdempotent, TimeoutMS: stopTimeout.Milliseconds(),
			FirstByteMS: 10000, Service: service, Attempts: 2,
		})
	}
	w.configure(c)
	for _, s := range c.Services {
		for range 3 {
			w.addReplicaWith(s.Name, "v1", 6, 24)
		}
	}
	w.startDaemons()
	time.Sleep(contactTime)
	for round := range stopRounds {
		lost, answered := w.playStoppingRound(round)
		w.notef("round %d: %d requests got no answer though they ran nowhere, %d got one", round, lost, answered)
		if lost > 0 {
			return false
		}
		if round < stopRounds-1 {
			time.Sleep(contactTime)
		}
	}
	return true
}

// playStoppingRound stops and starts all daemons in turn beside requests to the service of a round.
func (w *world) playStoppingRound(round int) (lost, answered int) {
	var (
		mu  sync.Mutex
		ran = make(map[string]bool)
		wg  sync.WaitGroup
	)
	w.lines = func(_ *replica, line string) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "runs" {
			mu.Lock()
			defer mu.Unlock()
			ran[fields[1]] = true
		}
	}
	state := &touch{since: make(map[*daemon]time.Time), term: make(map[*daemon]time.Time)}
	for _, d := range w.daemons {
		d.started = func() {
			d.awaitReady()
			state.mu.Lock()
			defer state.mu.Unlock()
			delete(state.term, d)
		}
	}
	ask := func(to *daemon) {
		wg.Go(func() {
			sent := time.Now()
			id := newID()
			a := w.send(call{to: to, method: http.MethodPost, path: fmt.Sprintf("/cufi50%d/2f", round), id: id, work: work{GapMS: int(stopWork.Milliseconds())}, timeout: stopTimeout})
			took := time.Since(sent)
			time.Sleep(20 * time.Millisecond) // until the replicas' lines are read
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.status != 0 && a.err == nil:
				answered++
			case a.connect || took <= lossSlack || took >= stopTimeout:
			case ran[id]:
				w.notef("%s was running at a replica when its connection ended after %v", id, took)
			default:
				lost++
				w.notef("BROKEN: %s was read by %s, ran nowhere, and its connection ended without an answer after %v", id, to.name, took)
			}
		})
	}
	n := 0
	play := func(d time.Duration) {
		for begun := time.Now(); time.Since(begun) < d; n++ {
			to := w.daemons[n%len(w.daemons)]
			state.mu.Lock()
			at, isLeaving := state.term[to]
			state.mu.Unlock()
			if !isLeaving || time.Since(at) < noticeTime {
				ask(to)
			}
			time.Sleep(stopPause)
		}
	}
	play(stopUsual)
	for _, d := range w.daemons {
		if w.trouble {
			w.notef("%s gets SIGTERM", d.name)
			state.mu.Lock()
			state.term[d] = time.Now()
			state.mu.Unlock()
			d.signal(syscall.SIGTERM)
		}
		play(rollGap)
	}
	play(graceTime)
	wg.Wait()
	return lost, answered
}
