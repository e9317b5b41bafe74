package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// partitionSim simulates in virtual time a service with daemons and replicas in two failure
// domains, and links between them that refuse connections for a while.
type partitionSim struct {
	pool          *routing.Pool
	view          *routing.View
	daemons       []*partitionDaemon
	now           time.Time
	isPartitioned bool
}

// partitionDaemon is a daemon with a connection to each replica that it reaches.
type partitionDaemon struct {
	domain  int
	placer  *routing.Placer
	opened  map[routing.ReplicaID]time.Time
	crashes []routing.CrashReport // seen by this daemon; Age is relative to epoch
}

func newPartitionSim(daemons, replicas int) *partitionSim {
	f := newFleet("llm", sameDomain(replicas)...)
	f.pool.Sort()
	f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
	w := &partitionSim{pool: f.pool, view: f.view, now: epoch}
	for i := range daemons {
		d := &partitionDaemon{domain: i % 2, opened: make(map[routing.ReplicaID]time.Time)}
		d.placer = &routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth(), Cold: routing.NewColdLimiter(routing.PeerID(fmt.Sprint(i)))}
		d.placer.Cold.SetFleetSize(daemons)
		w.daemons = append(w.daemons, d)
	}
	return w
}

// domainOf returns the domain of a replica: one of three replicas is in the first domain, the
// others in the second, as with a small service that has one replica on one side of a partition.
func (w *partitionSim) domainOf(i int) int { return min(1, i%3) }

// request lets a daemon serve one request. It returns false if there was no replica to choose.
func (w *partitionSim) request(d *partitionDaemon, id string) bool {
	var tried routing.Tried
	for range routing.MaxChoices {
		t, ok := d.placer.Choose(w.view, chat(id), tried, w.now)
		if !ok {
			return false
		}
		i := 0
		for k := range w.pool.Ready {
			if w.pool.Ready[k].ID == t.Replica.ID {
				i = k
			}
		}
		if w.isPartitioned && w.domainOf(i) != d.domain {
			// The connection broke, and a new one is refused.
			delete(d.opened, t.Replica.ID)
			d.placer.Health.ReportTermination(&w.pool.Ready[i], w.now)
			d.crashes = append(d.crashes, routing.CrashReport{Content: 5, Replica: w.pool.Ready[i].LoadKey(), Age: -w.now.Sub(epoch)})
			tried.Replicas = append(tried.Replicas, t.Replica.ID)
			continue
		}
		if _, ok := d.opened[t.Replica.ID]; !ok {
			d.opened[t.Replica.ID] = w.now
		}
		d.placer.Health.RecordAlive(&w.pool.Ready[i], d.opened[t.Replica.ID], w.now)
		return true
	}
	return true // connections were refused, but replicas were available
}

// gossip sends each daemon all that the others have seen and know, as far as the partition
// allows.
func (w *partitionSim) gossip() {
	for _, from := range w.daemons {
		liveness := from.placer.Health.TakeLivenessReports(100, w.now)
		crashes := make([]routing.CrashReport, len(from.crashes))
		for i, r := range from.crashes {
			r.Age += w.now.Sub(epoch)
			crashes[i] = r
		}
		for _, to := range w.daemons {
			if to == from || w.isPartitioned && to.domain != from.domain {
				continue
			}
			to.placer.Health.ReportTerminations(to.placer.Health.FilterDisproved(crashes, w.now), w.now)
			to.placer.Health.ObserveLiveness(liveness, w.now)
		}
	}
}

// TestRefusingLinksExcludeNoLiveReplica simulates partitions of several lengths in which links
// refuse connections, and counts the requests that daemons refuse for lack of a replica in the
// seconds after the partition, although all replicas live. Entries are taken for stale, which is
// the worst case.
func TestRefusingLinksExcludeNoLiveReplica(t *testing.T) {
	RegisterTestingT(t)
	const step = 20 * time.Millisecond
	for _, daemons := range []int{8, 64} {
		for _, cut := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
			w := newPartitionSim(daemons, 3)
			play := func(d time.Duration) (refused, all int) {
				for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
					for i, d := range w.daemons {
						d.placer.Health.SetEntriesStale(true)
						if all++; !w.request(d, fmt.Sprint(i, w.now.UnixNano())) {
							refused++
						}
					}
					if w.now.Sub(epoch)%(10*step) == 0 {
						w.gossip()
					}
				}
				return refused, all
			}
			play(5 * time.Second)
			w.isPartitioned = true
			play(cut)
			w.isPartitioned = false
			refused, all := play(8 * time.Second)
			t.Logf("%d daemons, cut for %v: %d of %d requests refused after it", daemons, cut, refused, all)
			if refused > 0 {
				t.Errorf("%d daemons, cut for %v: %d of %d requests refused after it for lack of a replica, although all replicas live", daemons, cut, refused, all)
			}
		}
	}
}
