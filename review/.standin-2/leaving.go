// Case: a replica that leaves is gone two seconds after the notice, in the middle of answers that end with their connection.

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

// notice is how long after its notice the replica is gone.
const notice = 2 * time.Second

func playLeaving(w *world) bool {
	w.configure(standin.Config{
		Routes: []standin.Route{
			{Name: "r-stream", Host: host, Prefix: "/lohu930/", Kind: standin.KindStream, TimeoutMS: 10000, FirstByteMS: 600, EventMS: 300, Service: "huvo11a", Attempts: 1},
			{Name: "r-plain", Host: host, Prefix: "/cufi504/", Kind: standin.KindIdempotent, TimeoutMS: 10000, FirstByteMS: 600, Service: "huvo11a", Attempts: 2},
		},
		Services: []standin.Service{{Name: "huvo11a", MaxConnections: 370}},
	})
	for range 6 {
		w.addReplica("huvo11a", "v1")
	}
	w.startDaemons()
	time.Sleep(contactTime)
	type sent struct {
		call
		answer
	}
	var (
		mu      sync.Mutex
		results []sent
		wg      sync.WaitGroup
	)
	begin := func(c call) {
		wg.Go(func() {
			a := w.send(c)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, sent{c, a})
		})
	}
	for i := range 36 {
		d := w.daemons[i%len(w.daemons)]
		begin(call{to: d, method: http.MethodPost, path: "/lohu930/2f", id: newID(), work: work{Events: 42, GapMS: 100, Unframed: true}, timeout: 10 * time.Second})
		begin(call{to: d, method: http.MethodPost, path: fmt.Sprintf("/cufi504/%d", i), id: newID(), work: work{Pieces: 42, GapMS: 100, Unframed: true}, timeout: 10 * time.Second})
		time.Sleep(10 * time.Millisecond)
	}
	leaving := w.replicas[1]
	leaving.drain()
	if w.trouble {
		time.Sleep(notice)
		leaving.signal(syscall.SIGKILL)
		w.notef("replica %s is gone", leaving.entry.ID)
	} else {
		leaving.signal(syscall.SIGTERM) // it ends after its last answer
	}
	wg.Wait()
	cut, whole := 0, 0
	for _, r := range results {
		if r.status != http.StatusOK || r.err != nil {
			continue
		}
		if r.work.Events > 0 && r.events == r.work.Events || r.work.Pieces > 0 && r.body == r.work.body(r.id) {
			whole++
			continue
		}
		cut++
		w.notef("BROKEN: the answer to %s, sealed by %s, looks complete: %d bytes, last event %d of %d", r.id, r.seal, len(r.body), r.events, r.work.Events)
	}
	w.notef("%d whole answers, %d that were cut off and look complete", whole, cut)
	if whole == 0 {
		panic("nothing was served")
	}
	return cut == 0
}
