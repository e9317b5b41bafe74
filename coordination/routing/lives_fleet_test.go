package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// cutWorld is, in virtual time, two failure domains of daemons before a service with replicas in
// both, and links between them that refuse for a while.
type cutWorld struct {
	pool    *routing.Pool
	view    *routing.View
	daemons []*cutDaemon
	now     time.Time
	isCut   bool
}

// cutDaemon is a daemon with a connection to each replica that it reaches.
type cutDaemon struct {
	domain int
	placer *routing.Placer
	opened map[routing.ReplicaID]time.Time
	ends   []routing.CrashReport // that it saw, with their times as ages at the begin
}

func newCutWorld(daemons, replicas int) *cutWorld {
	f := newFleet("llm", sameDomain(replicas)...)
	f.pool.Sort()
	f.view.Table, _ = routing.NewTable(&routing.Config{Services: []routing.Service{{Name: "llm", Generates: true, ColdPerSecond: coldPerSecond}}})
	w := &cutWorld{pool: f.pool, view: f.view, now: epoch}
	for i := range daemons {
		d := &cutDaemon{domain: i % 2, opened: make(map[routing.ReplicaID]time.Time)}
		d.placer = &routing.Placer{Loads: routing.NewLoads(), Health: routing.NewHealth(), Cold: routing.NewColdRates(routing.PeerID(fmt.Sprint(i)))}
		d.placer.Cold.SetDaemons(daemons)
		w.daemons = append(w.daemons, d)
	}
	return w
}

// domainOf returns where a replica stands: the first of three in the one domain, the others in the
// other, as where a small service has one replica behind the cut.
func (w *cutWorld) domainOf(i int) int { return min(1, i%3) }

// request has a daemon serve one request. It returns false if it found no replica.
func (w *cutWorld) request(d *cutDaemon, id string) bool {
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
		if w.isCut && w.domainOf(i) != d.domain {
			// The connection broke, and a new one is refused.
			delete(d.opened, t.Replica.ID)
			d.placer.Health.ReportEnd(&w.pool.Ready[i], w.now)
			d.ends = append(d.ends, routing.CrashReport{Content: 5, Replica: w.pool.Ready[i].LoadKey(), Age: -w.now.Sub(epoch)})
			tried.Replicas = append(tried.Replicas, t.Replica.ID)
			continue
		}
		if _, ok := d.opened[t.Replica.ID]; !ok {
			d.opened[t.Replica.ID] = w.now
		}
		d.placer.Health.Lived(&w.pool.Ready[i], d.opened[t.Replica.ID], w.now)
		return true
	}
	return true // connections were refused: that is no want of a replica
}

// gossip has each daemon told all that others have seen and know, within what the cut allows.
func (w *cutWorld) gossip() {
	for _, from := range w.daemons {
		lives := from.placer.Health.TakeLives(100, w.now)
		ends := make([]routing.CrashReport, len(from.ends))
		for i, r := range from.ends {
			r.Age += w.now.Sub(epoch)
			ends[i] = r
		}
		for _, to := range w.daemons {
			if to == from || w.isCut && to.domain != from.domain {
				continue
			}
			to.placer.Health.ReportEnds(to.placer.Health.Believable(ends, w.now), w.now)
			to.placer.Health.ObserveLives(lives, w.now)
		}
	}
}

// TestACutThatRefusesLeavesNoReplicaOut plays a cut by links that refuse, of several lengths, and
// counts the requests that daemons refuse for want of a replica in the seconds after its heal,
// though all replicas live. Entries are held to be stale, the worst case.
func TestACutThatRefusesLeavesNoReplicaOut(t *testing.T) {
	RegisterTestingT(t)
	const step = 20 * time.Millisecond
	for _, daemons := range []int{8, 64} {
		for _, cut := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
			w := newCutWorld(daemons, 3)
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
			w.isCut = true
			play(cut)
			w.isCut = false
			refused, all := play(8 * time.Second)
			t.Logf("%d daemons, cut for %v: %d of %d requests refused after it", daemons, cut, refused, all)
			if refused > 0 {
				t.Errorf("%d daemons, cut for %v: %d of %d requests refused after it for want of a replica, all of which live", daemons, cut, refused, all)
			}
		}
	}
}
