package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
)

// TestCrashingRequestReachesFewReplicas simulates the incident of internal/soak's
// TestCrashingRequestsReachFewReplicas in virtual time, in fleets of several sizes, with packet
// loss, restarts and partitions. A naive fleet that shares nothing, or loses its knowledge at
// restarts, must exceed the limit.
func TestCrashingRequestReachesFewReplicas(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults crashFaults
		naive  bool // expected to exceed the limit
	}{
		{"lossless", crashFaults{}, false},
		{"a fifth of the datagrams lost", crashFaults{loss: .2}, false},
		{"daemons killed when they see a crash", crashFaults{loss: .05, killOnCrash: true}, false},
		{"each daemon restarted every 10 s", crashFaults{loss: .05, meanUptime: 10 * time.Second}, false},
		{"a domain cut off from 2 s to 12 s", crashFaults{loss: .05, cutFrom: 2 * time.Second, cutTo: 12 * time.Second}, false},
		{"request every 2 s only, each daemon restarted every 10 s", crashFaults{every: 2 * time.Second, meanUptime: 10 * time.Second}, false},
		{"naive: nothing is shared", crashFaults{noSharing: true}, true},
		{"naive: reports are not repeated to daemons that start", crashFaults{meanUptime: 10 * time.Second, noRepeats: true}, true},
	} {
		for _, daemons := range []int{8, 65, 300, 930} {
			t.Run(fmt.Sprintf("%s/%d", c.name, daemons), func(t *testing.T) {
				t.Parallel()
				worst, crashes := 0, 0
				lasts := 40 * time.Second
				if c.naive {
					lasts *= 2 // daemons that forget exceed the limit slowly
				}
				for seed := range uint64(3) {
					w := newCrashSim(daemons, seed, c.faults)
					w.run(lasts)
					worst, crashes = max(worst, w.late), max(crashes, len(w.crashes))
				}
				t.Logf("at most %d replicas crashed, %d arrivals too late", crashes, worst)
				const allowed = 3
				if broken := worst > allowed; broken != c.naive {
					t.Errorf("%d arrivals more than 3 s after the third crash, want at most %d: %t", worst, allowed, !c.naive)
				}
			})
		}
	}
}

// crashFaults describes the faults of a fleet.
type crashFaults struct {
	every       time.Duration // time between two tries of the request; 0: .15 to .5 s
	loss        float64       // fraction of the datagrams
	killOnCrash bool          // a daemon is killed 5 ms after it saw one of the first three crashes
	meanUptime  time.Duration // mean time between restarts of a daemon; 0: no restarts
	cutFrom     time.Duration // when the first domain is cut off
	cutTo       time.Duration
	noSharing   bool
	noRepeats   bool
}

const (
	crashStep       = 5 * time.Millisecond
	crashDelay      = 10 * time.Millisecond // of a datagram, including the batching of reports
	crashDomains    = 4
	crashSettleTime = 3 * time.Second
	crashAttempts   = 2
	crashRepeat     = time.Second
	crashFanOut     = 5
)

// crashSim simulates a fleet in virtual time to which one crashing request is sent again and
// again.
type crashSim struct {
	crashFaults
	rng          *rand.Rand
	now          time.Time
	daemons      []*crashDaemon
	inFlight     []crashDatagram
	crashes      []time.Time
	late         int // arrivals more than 3 s after the third crash, at daemons that were up for as long
	incarnations int // replica incarnations so far
}

type crashDaemon struct {
	*routing.Crashes
	domain   int
	started  time.Time
	repeated time.Time
	after    routing.ContentKey
	killAt   time.Time // zero: it is not killed
}

// crashDatagram is a datagram in transit.
type crashDatagram struct {
	at      time.Time
	to      int
	reports []routing.CrashReport
}

func newCrashSim(daemons int, seed uint64, p crashFaults) *crashSim {
	w := &crashSim{crashFaults: p, rng: rand.New(rand.NewPCG(seed, 11)), now: epoch}
	for i := range daemons {
		repeated := epoch.Add(-time.Duration(w.rng.Int64N(int64(crashRepeat))))
		w.daemons = append(w.daemons, &crashDaemon{Crashes: routing.NewCrashes(), domain: i % crashDomains, started: epoch.Add(-time.Hour), repeated: repeated})
	}
	return w
}

func (w *crashSim) run(d time.Duration) {
	next := w.now.Add(time.Second)
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(crashStep) {
		w.deliver()
		for i, daemon := range w.daemons {
			isKilled := !daemon.killAt.IsZero() && !w.now.Before(daemon.killAt)
			if isKilled || w.meanUptime > 0 && w.rng.Float64() < crashStep.Seconds()/w.meanUptime.Seconds() {
				w.restart(i)
			}
			w.sendReports(i)
		}
		if !w.now.Before(next) {
			w.try(w.rng.IntN(len(w.daemons)))
			next = w.now.Add(w.retryPause())
		}
	}
}

func (w *crashSim) retryPause() time.Duration {
	if w.every > 0 {
		return w.every
	}
	return 150*time.Millisecond + time.Duration(w.rng.Int64N(int64(350*time.Millisecond)))
}

// try sends the request to a daemon, which retries it once after a crash.
func (w *crashSim) try(at int) {
	const content = 99
	d := w.daemons[at]
	for range crashAttempts {
		if d.Quarantined(content, w.now) {
			return
		}
		if len(w.crashes) >= 3 && w.now.Sub(w.crashes[2]) > crashSettleTime && w.now.Sub(d.started) > crashSettleTime {
			w.late++
		}
		w.incarnations++
		r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(w.incarnations))})
		d.ReportCrash(content, "w", &r, w.now)
		w.crashes = append(w.crashes, w.now)
		if w.killOnCrash && len(w.crashes) <= 3 && d.killAt.IsZero() {
			d.killAt = w.now.Add(crashStep)
		}
	}
}

// restart restarts a daemon. Three others discover it and send it what they know.
func (w *crashSim) restart(i int) {
	d := w.daemons[i]
	d.Crashes, d.started, d.killAt, d.after = routing.NewCrashes(), w.now, time.Time{}, 0
	if w.noRepeats {
		return
	}
	for range 3 {
		from := w.daemons[w.rng.IntN(len(w.daemons))]
		reports, _ := from.All(0, 50, w.now)
		w.send(from, i, reports)
	}
}

// sendReports sends a daemon's queued reports to its targets, and repeats what it knows to one of
// them each second.
func (w *crashSim) sendReports(i int) {
	d := w.daemons[i]
	if w.noSharing {
		return
	}
	select {
	case <-d.Waiting():
		reports := d.TakeReports(50, w.now)
		for _, to := range w.targets(i) {
			w.send(d, to, reports)
		}
	default:
	}
	if w.noRepeats || w.now.Sub(d.repeated) < crashRepeat {
		return
	}
	d.repeated = w.now
	var reports []routing.CrashReport
	reports, d.after = d.All(d.after, 50, w.now)
	if targets := w.targets(i); len(reports) > 0 {
		w.send(d, targets[w.rng.IntN(len(targets))], reports)
	}
}

// targets selects daemons as membership.Roster does: all others in a small fleet, otherwise some
// of the same domain and one of another.
func (w *crashSim) targets(i int) []int {
	var near, far []int
	for k, d := range w.daemons {
		switch {
		case k == i:
		case d.domain == w.daemons[i].domain:
			near = append(near, k)
		default:
			far = append(far, k)
		}
	}
	if len(w.daemons) <= membership.FullMeshSize {
		return append(near, far...)
	}
	w.rng.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	w.rng.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	return append(near[:min(len(near), crashFanOut-1)], far[0])
}

func (w *crashSim) send(from *crashDaemon, to int, reports []routing.CrashReport) {
	sinceStart := w.now.Sub(epoch)
	isCut := sinceStart >= w.cutFrom && sinceStart < w.cutTo && (from.domain == 0) != (w.daemons[to].domain == 0)
	if len(reports) > 0 && !isCut && w.rng.Float64() >= w.loss {
		w.inFlight = append(w.inFlight, crashDatagram{w.now.Add(crashDelay), to, reports})
	}
}

func (w *crashSim) deliver() {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m crashDatagram) bool {
		if w.now.Before(m.at) {
			return false
		}
		w.daemons[m.to].Observe(m.reports, w.now)
		return true
	})
}

// TestInnocentRequestsAreRarelyQuarantined simulates requests that were in flight by coincidence
// when a replica crashed: 18 replicas, of which some crash each second and are back 3 s later,
// and requests that last half a second, each with two attempts at its daemon and one retry by its
// caller. It bounds how many are quarantined, and compares with quarantining after two crashes.
func TestInnocentRequestsAreRarelyQuarantined(t *testing.T) {
	for _, c := range []struct {
		crashesPerSecond float64
		most             float64 // fraction of the requests that are quarantined
	}{{1, .0001}, {3, .005}} {
		share, near := coincidentalQuarantines(c.crashesPerSecond)
		t.Logf("%.0f crashes a second: %.2f%% of the requests met one crash, %.3f%% two, %.4f%% three and are quarantined", c.crashesPerSecond, 100*near[1], 100*near[2], 100*share)
		if share > c.most || share == 0 {
			t.Errorf("%.0f crashes a second: %.4f%% of the requests are quarantined, want some and at most %.4f%%", c.crashesPerSecond, 100*share, 100*c.most)
		}
	}
}

// coincidentalQuarantines returns the fraction of the requests that are quarantined, and the
// fractions that met at least one, two and three crashes.
func coincidentalQuarantines(crashesPerSecond float64) (quarantined float64, near [4]float64) {
	const (
		replicas, requests = 18, 100_000
		lasts, down        = 500 * time.Millisecond, 3 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	// An attempt meets a crash with the probability that its replica, one of those that are up,
	// crashes while the attempt lasts.
	up := replicas - crashesPerSecond*down.Seconds()
	meets := crashesPerSecond * lasts.Seconds() / up
	c := routing.NewCrashes()
	refused, incarnations := 0, 0
	now := epoch
	for i := range requests {
		content := routing.ContentKey(i + 1)
		now = now.Add(4 * time.Millisecond)
		met := 0
		for range 4 {
			if c.Quarantined(content, now) {
				refused++
				break
			}
			if rng.Float64() >= meets {
				c.Clear(content, now)
				break
			}
			incarnations++
			r := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(fmt.Sprint(incarnations))})
			c.ReportCrash(content, routing.WorkspaceName(fmt.Sprint(i%10)), &r, now)
			met++
		}
		for n := 1; n <= min(met, 3); n++ {
			near[n]++
		}
		c.TakeReports(1000, now)
	}
	for n := range near {
		near[n] /= requests
	}
	return float64(refused) / requests, near
}
