// Case: the daemons are stopped and started in turn, while replicas of two software versions serve. Callers take up again the
// streams that are broken off at the end of the grace period.

package main

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// establishTime is enough for both versions to be known to all daemons.
	establishTime = 5 * time.Second
	// rollGap is the time between two daemons.
	rollGap = time.Second
	// noticeTime is how long after SIGTERM callers' new connections still come to a daemon: two failed readiness checks.
	noticeTime = 2 * time.Second
	// longPause is the pause between two long streams at each daemon.
	longPause = 400 * time.Millisecond
)

// touch records since when each daemon is in touch.
type touch struct {
	mu    sync.Mutex
	since map[*daemon]time.Time // of the last start; missing: it was there from the begin
	term  map[*daemon]time.Time // of SIGTERM; missing: there was none since the last start
}

// inTouch reports whether a daemon has run for contact_ms without a start and a SIGTERM.
func (t *touch) inTouch(d *daemon) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, isLeaving := t.term[d]
	return !isLeaving && time.Since(t.since[d]) > contactTime+200*time.Millisecond
}

func playRolling(w *world) bool {
	const service = "huvo11a"
	w.configure(standin.Config{
		Routes: []standin.Route{{
			Name: "r-reply", Host: host, Prefix: "/pufi791/", Kind: standin.KindStream, TimeoutMS: 10000, FirstByteMS: 400, EventMS: 300,
			Service: service, Attempts: 2, Resumable: true,
		}},
		Services: []standin.Service{{Name: service, MaxConnections: 370}},
	})
	for i := range 6 {
		w.addReplica(service, []string{"v1", "v2"}[i%2])
	}
	state := &touch{since: make(map[*daemon]time.Time), term: make(map[*daemon]time.Time)}
	w.startDaemons()
	for _, d := range w.daemons {
		d.started = func() {
			state.mu.Lock()
			defer state.mu.Unlock()
			state.since[d] = time.Now()
			delete(state.term, d)
		}
	}
	time.Sleep(establishTime)
	// pick returns a daemon in touch other than one, in turn.
	next := 0
	var pickMu sync.Mutex
	pick := func(not *daemon) *daemon {
		pickMu.Lock()
		defer pickMu.Unlock()
		for range w.daemons {
			next++
			if d := w.daemons[next%len(w.daemons)]; d != not && state.inTouch(d) {
				return d
			}
		}
		return nil
	}
	var (
		mu         sync.Mutex
		wg         sync.WaitGroup
		up, wentOn int
		begun, all int
		whole      int
	)
	long := work{Events: 90, GapMS: 100}
	play := func(d *daemon) {
		started := time.Now()
		c := call{to: d, method: http.MethodPost, path: "/pufi791/2f", id: newID(), work: long, timeout: 10 * time.Second}
		if !w.trouble {
			broken := make(chan struct{})
			time.AfterFunc(7*time.Second, func() { close(broken) })
			c.broken = broken
		}
		a := w.send(c)
		if a.err == nil || a.events == 0 {
			mu.Lock()
			whole++
			mu.Unlock()
			return
		}
		again := c
		again.broken, again.resumes = nil, c.id
		again.to, again.id, again.last, again.timeout = pick(d), newID(), a.events, 10*time.Second-time.Since(started)
		if again.to == nil {
			return // no machine is in touch
		}
		b := w.send(again)
		if b.status == http.StatusServiceUnavailable && again.timeout/3 > b.retry {
			time.Sleep(b.retry)
			if to := pick(d); to != nil {
				again.to, again.id, again.timeout = to, newID(), 10*time.Second-time.Since(started)
				b = w.send(again)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		up++
		if b.events > a.events {
			wentOn++
		}
	}
	ended := make(chan struct{})
	for _, d := range w.daemons {
		wg.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(longPause):
				}
				state.mu.Lock()
				at, isLeaving := state.term[d]
				isGone := isLeaving && time.Since(at) > noticeTime
				state.mu.Unlock()
				if isGone || !state.inTouch(d) && !isLeaving {
					continue
				}
				wg.Go(func() { play(d) })
			}
		})
	}
	wg.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(longPause):
			}
			to := pick(nil)
			if to == nil {
				continue
			}
			wg.Go(func() {
				a := w.send(call{to: to, method: http.MethodPost, path: "/pufi791/2f", id: newID(), work: work{Events: 5, GapMS: 100}, timeout: 8 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				all++
				if a.events > 0 {
					begun++
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	if w.trouble {
		for _, d := range slices.Clone(w.daemons) {
			state.mu.Lock()
			state.term[d] = time.Now()
			state.mu.Unlock()
			w.notef("%s gets SIGTERM", d.name)
			d.signal(syscall.SIGTERM)
			time.Sleep(rollGap)
		}
	}
	time.Sleep(9 * time.Second)
	close(ended)
	wg.Wait()
	w.notef("%d streams were taken up again at machines in touch, and %d went on; of %d new ones there %d began; %d were not broken off", up, wentOn, all, begun, whole)
	if up < 12 || begun == 0 {
		panic("too few streams")
	}
	return 2*wentOn*all >= begun*up
}
