// Case: a part of prompts crashes each replica that begins to write an answer on it. Sound requests share their first part, and
// come at the daemons of one zone.

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// partRounds is how often the case is played, each time with other parts.
	partRounds = 3
	soundPause = 500 * time.Millisecond // between two sound requests
	badPause   = 100 * time.Millisecond // between two requests with the bad part
	usualTime  = 11 * time.Second       // without the bad part
	badTime    = 18 * time.Second       // with it
	minSound   = 20                     // requests of each kind that are compared
)

func playParts(w *world) bool {
	const service = "huvo11a"
	w.configure(standin.Config{
		Routes: []standin.Route{{
			Name: "r-chat", Host: host, Prefix: "/lohu930/", Kind: standin.KindStream, TimeoutMS: 8000, FirstByteMS: 600, EventMS: 300, Service: service, Attempts: 1,
		}},
		Services: []standin.Service{{Name: service, MaxConnections: 370, Engine: &standin.Engine{}}},
	})
	var (
		mu      sync.Mutex
		crashes []time.Time
	)
	w.lines = func(_ *replica, line string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(line, "crashes ") {
			crashes = append(crashes, time.Now())
		}
	}
	for range 6 {
		r := w.addReplica(service, "v1")
		r.restart = true
	}
	w.startDaemons()
	time.Sleep(contactTime)
	for round := range partRounds {
		mu.Lock()
		crashes = nil
		mu.Unlock()
		usual, during := w.playPartRound(round, func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			switch n := len(crashes); {
			case n >= 5:
				return crashes[4]
			case n > 0:
				return crashes[n-1]
			}
			return time.Time{}
		})
		w.notef("round %d: %v of sound requests began at the first attempt before, %v from 2 x contact_ms after the fifth crash", round, usual, during)
		if during.sent >= minSound && usual.sent >= minSound && 2*during.begun*usual.sent < usual.begun*during.sent {
			w.notef("BROKEN: that is less than half as often")
			return false
		}
	}
	return true
}

// share says how many requests were sent and how many of them began.
type share struct{ begun, sent int }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.begun, s.sent) }

// playPartRound plays a round. fifth returns when the fifth replica crashed, or the last one.
func (w *world) playPartRound(round int, fifth func() time.Time) (usual, during share) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	zone := w.daemons[6:8]
	first := fmt.Sprintf("5c1e07a%d", round)
	ask := func(i int, parts string, count func(begun bool)) {
		wg.Go(func() {
			a := w.send(call{
				to: zone[i%len(zone)], method: http.MethodPost, path: "/lohu930/2f", id: newID(), timeout: 8 * time.Second,
				prompt: fmt.Sprintf("%s:800,%s:410,e4402%d%04d:250", first, parts, round, i), work: work{Events: 10, GapMS: 100, Text: fmt.Sprint(round, " ", i)},
			})
			if count != nil {
				mu.Lock()
				defer mu.Unlock()
				count(a.events > 0)
			}
		})
	}
	add := func(s *share) func(bool) {
		return func(begun bool) {
			s.sent++
			if begun {
				s.begun++
			}
		}
	}
	begun, n := time.Now(), 0
	for ; time.Since(begun) < usualTime; n++ {
		ask(n, fmt.Sprintf("91bd3f%d", n%4), add(&usual))
		time.Sleep(soundPause)
	}
	ended := make(chan struct{})
	wg.Go(func() {
		bad := "91bd3f9"
		if w.trouble {
			bad = fmt.Sprintf("%s%d", poisonPart, round)
		}
		for i := 5000; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(badPause):
				ask(i, bad, nil)
			}
		}
	})
	for begun = time.Now(); time.Since(begun) < badTime; n++ {
		var count func(bool)
		if at := fifth(); !at.IsZero() && time.Since(at) > 2*contactTime || !w.trouble {
			count = add(&during)
		}
		ask(n, fmt.Sprintf("91bd3f%d", n%4), count)
		time.Sleep(soundPause)
	}
	close(ended)
	wg.Wait()
	return usual, during
}
