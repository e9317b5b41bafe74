package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// TestStreamOutlivesHandoverThatIsOff guards against a daemon that takes the event ids of a second replica for
// forwarded, although the silent one went on first and the second one's events were dropped: the next events of the
// silent one would then look repeated. Half of the replicas are silent for about as long as it takes until the first
// event of a second one arrives, the event timeout of 600 ms and the time of an event.
func TestStreamOutlivesHandoverThatIsOff(t *testing.T) {
	t.Parallel()
	w, dir := startLinks(t)
	const rounds, streams = 5, 400
	rng := rand.New(rand.NewPCG(1, 21))
	broken := make(map[string]int) // by what the log says
	var mu sync.Mutex
	var ids []string
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range streams {
			id := fmt.Sprintf("off-%d-%d", round, i)
			wg.Go(func() {
				if e := w.streamAt(w.fleet.daemons[i%pacedDaemons], pacedRoutes[1], id); !e.Complete {
					mu.Lock()
					defer mu.Unlock()
					ids = append(ids, id)
				}
			})
		}
		pause(w.ctx, 300*time.Millisecond)
		for i, r := range w.replicas {
			if i%2 == 0 {
				r.mu.Lock()
				r.silentUntil = time.Now().Add(590*time.Millisecond + time.Duration(rng.Int64N(int64(50*time.Millisecond))))
				r.mu.Unlock()
			}
		}
		wg.Wait()
	}
	pause(w.ctx, 300*time.Millisecond) // daemons write their lines
	lines, panics, _, err := readLogs(dir)
	if err != nil || len(panics) > 0 {
		t.Fatal(err, panics)
	}
	for _, id := range ids {
		broken[summaryOf(lines[id])]++
	}
	for summary, n := range broken {
		t.Errorf("%d of %d streams were not complete: %s", n, rounds*streams, summary)
	}
}
