// Case: a replica crashes and starts again under its id, at another software version; soon after that another one crashes.

package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// upgradeReplicas is the number of replicas of the service.
	upgradeReplicas = 6
	// entryLag is how long after it listens a replica writes its entry: within one heartbeat_ms.
	entryLag = 800 * time.Millisecond
	// downTime is how long a replica is down that crashes.
	downTime = 2800 * time.Millisecond
	// settleTime is how long after it is healthy again the next replica crashes.
	settleTime = 500 * time.Millisecond
	// streamPause is the pause between two streams: 40 a second begin.
	streamPause = 25 * time.Millisecond
	// maxMixed is how many streams may hold events of two versions.
	maxMixed = 2
)

// isHealthy asks a replica as its health check does.
func (r *replica) isHealthy() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.entry.Address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK && resp.Header.Get("Replica-Id") == r.entry.ID
}

// crash kills a replica soon after it wrote its entry. It is back, at another version, after downTime.
func (r *replica) crash(version string) {
	for time.Since(r.lastWrite()) > 100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	r.mu.Lock()
	r.expected = true
	r.mu.Unlock()
	r.notef("replica %s crashes; it wrote its entry %d ms ago", r.entry.ID, time.Since(r.lastWrite()).Milliseconds())
	r.signal(syscall.SIGKILL)
	time.Sleep(downTime)
	r.mu.Lock()
	r.entry.Version, r.entryLag, r.expected = version, entryLag, false
	r.mu.Unlock()
	r.start()
	for !r.isHealthy() {
		time.Sleep(20 * time.Millisecond)
	}
	r.notef("replica %s is healthy at version %s", r.entry.ID, version)
}

func playUpgrade(w *world) bool {
	const service = "huvo11a"
	w.configure(standin.Config{
		Routes: []standin.Route{{
			Name: "r-reply", Host: host, Prefix: "/pufi791/", Kind: standin.KindStream, TimeoutMS: 8000, FirstByteMS: 400, EventMS: 300,
			Service: service, Attempts: 2, Resumable: true,
		}},
		Services: []standin.Service{{Name: service, MaxConnections: 370}},
	})
	for range upgradeReplicas {
		w.addReplica(service, "v1")
	}
	w.startDaemons()
	time.Sleep(establishTime)
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		mixed int
		whole int
	)
	send := func(to *daemon) {
		wg.Go(func() {
			a := w.send(call{to: to, method: http.MethodPost, path: "/pufi791/2f", id: newID(), work: work{Events: 60, GapMS: 100}, timeout: 8 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			v1, v2 := strings.Count(a.body, "version v1"), strings.Count(a.body, "version v2")
			if a.err == nil && a.events == 60 {
				whole++
			}
			if v1 > 0 && v2 > 0 {
				mixed++
				w.notef("BROKEN: a stream holds %d events of v1 and %d of v2", v1, v2)
			}
		})
	}
	ended := make(chan struct{})
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(streamPause):
				send(w.daemons[i%len(w.daemons)])
			}
		}
	})
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.replicas[0].crash("v2")
		time.Sleep(settleTime)
		w.replicas[1].signal(syscall.SIGKILL)
		w.notef("replica %s crashes", w.replicas[1].entry.ID)
	} else {
		time.Sleep(4 * time.Second)
	}
	close(ended)
	wg.Wait()
	w.notef("%d streams hold events of two versions; the rule allows %d; %d were whole", mixed, maxMixed, whole)
	return mixed <= maxMixed
}
