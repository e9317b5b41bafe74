// This file cuts daemons off from all replicas, while callers, the store and the other daemons still
// reach them, and checks that they serve their callers nevertheless.

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// partitionMode is what happens to connections from a partitioned daemon to replicas.
type partitionMode string

// The modes of partitions.
const (
	resetAll  partitionMode = "reset"     // open connections and new ones are reset
	silentAll partitionMode = "silent"    // open connections and new ones say nothing
	resetNew  partitionMode = "reset_new" // open connections work, new ones are reset
)

var partitionModes = []partitionMode{resetAll, silentAll, resetNew}

// Partition is a period in which daemons lose their links to all replicas.
type Partition struct {
	At      time.Duration `json:"at"`  // from the start of traffic
	For     time.Duration `json:"for"` // how long it lasts
	Mode    partitionMode `json:"mode"`
	Daemons []int         `json:"daemons"`
}

// Partitions last longer than the time after which they are checked.
const (
	minPartition = 5 * time.Second
	maxPartition = 8 * time.Second
)

// drawPartitions adds the partitions of a seed, from a random source of their own: of one daemon, of
// some, of all in a failure domain, or of all but one.
func (p *Plan) drawPartitions(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 9))
	for range int(math.Ceil(s.PartitionsPerSec * s.Trouble.Seconds())) {
		part := Partition{
			At: time.Duration(rng.Int64N(int64(s.Trouble))), Mode: partitionModes[rng.IntN(len(partitionModes))],
			For: minPartition + time.Duration(rng.Int64N(int64(maxPartition-minPartition))),
		}
		order, domain := rng.Perm(p.Daemons), rng.IntN(p.Domains)
		switch rng.IntN(4) {
		case 0:
			part.Daemons = order[:1]
		case 1:
			part.Daemons = order[:max(1, p.Daemons/2)]
		case 2:
			part.Daemons = slices.DeleteFunc(order, func(i int) bool { return i%p.Domains != domain })
		default:
			part.Daemons = order[1:]
		}
		p.Partitions = append(p.Partitions, part)
	}
}

// partitions holds the partitions in force, by the IP address of a daemon. All links to replicas
// share it. It is safe for concurrent use.
type partitions struct {
	mu      sync.Mutex
	current map[string][]partitionMode
}

func (p *partitions) begin(ip string, m partitionMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = make(map[string][]partitionMode)
	}
	p.current[ip] = append(p.current[ip], m)
}

func (p *partitions) end(ip string, m partitionMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.current[ip], m); i >= 0 {
		p.current[ip] = slices.Delete(p.current[ip], i, i+1)
	}
}

// resetsNew reports whether new connections of a daemon are reset. It accepts a nil receiver.
func (p *partitions) resetsNew(ip string) bool {
	return p.has(ip, func(m partitionMode) bool { return m != silentAll })
}

// silences reports whether a daemon's connections say nothing. It accepts a nil receiver.
func (p *partitions) silences(ip string) bool {
	return p.has(ip, func(m partitionMode) bool { return m == silentAll })
}

func (p *partitions) has(ip string, match func(partitionMode) bool) bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.current[ip], match)
}

// partition cuts daemons off from all replicas for a time.
func (s *injector) partition(p *Partition) {
	pause(s.ctx, time.Until(s.begun.Add(p.At)))
	if s.ctx.Err() != nil {
		return
	}
	s.logf("partition of daemons %v from all replicas (%s) for %v", p.Daemons, p.Mode, p.For.Round(time.Millisecond))
	from := time.Now()
	s.ledger.PartitionBegan(p.Daemons, from)
	for _, i := range p.Daemons {
		ip := s.fleet.daemons[i].ip
		s.partitions.begin(ip, p.Mode)
		if p.Mode == resetAll {
			s.resetConnections(ip)
		}
	}
	pause(s.ctx, p.For)
	s.ledger.PartitionEnded(p.Daemons, from, time.Now())
	for _, i := range p.Daemons {
		s.partitions.end(s.fleet.daemons[i].ip, p.Mode)
	}
	s.logf("partition of daemons %v ended", p.Daemons)
}

// resetConnections resets all connections of a daemon to replicas.
func (s *site) resetConnections(ip string) {
	s.mu.Lock()
	places := slices.Clone(s.places)
	s.mu.Unlock()
	for _, p := range places {
		p.link.resetFrom(ip)
	}
}

// partitionSpan is a partition as it happened.
type partitionSpan struct {
	span
	daemons []int
}

// PartitionBegan records that daemons lost their links to all replicas.
func (l *Ledger) PartitionBegan(daemons []int, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions = append(l.partitions, partitionSpan{span{from, from.Add(time.Hour)}, daemons})
}

// PartitionEnded records the end of a partition.
func (l *Ledger) PartitionEnded(daemons []int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.partitions {
		if p := &l.partitions[i]; p.from.Equal(from) && slices.Equal(p.daemons, daemons) {
			p.to = to
		}
	}
}

// partitionBounds limit how much worse the callers of partitioned daemons are served.
type partitionBounds struct {
	After    time.Duration // from the start of the partition
	MinShare float64       // of the others' share of requests served
	// Failures is how many more requests may fail than at the others in any case, and FailureShare which
	// share of all.
	Failures     int
	FailureShare float64
}

// tally counts requests.
type tally struct{ served, all int }

// comparison compares the requests of one route, sent in the same second of a partition, at the
// partitioned daemons and at the others.
type comparison struct{ inside, others tally }

// moment is the route and the second of a partition by which requests are compared: other faults hit one
// service after the other, and only daemons that are up to date count, which differ from moment to moment.
type moment struct {
	route  string
	second int
}

// checkPartitions reports partitions in which the callers of partitioned daemons were served far less
// often than those of the others. Only daemons that were otherwise undisturbed count.
func (j *checker) checkPartitions() {
	for _, p := range j.partitions {
		if j.now.Sub(p.to) < j.bounds.SyncTime {
			continue
		}
		inside, expected := j.compare(p)
		b := j.bounds.Partition
		// Where other faults are absent, the others serve all, and these are all failures.
		failed := expected - float64(inside.served)
		allowed := float64(b.Failures) + b.FailureShare*float64(inside.all)
		if failed > allowed && float64(inside.served) < b.MinShare*expected {
			j.out = append(j.out, Violation{
				Promise: "RECOVER", Subject: fmt.Sprintf("daemons %v, %v", p.daemons, p.from.UnixMilli()), At: p.to,
				Detail: fmt.Sprintf("daemons that were partitioned from all replicas served %d of %d requests, the others would have served %.0f", inside.served, inside.all, expected),
			})
		}
	}
}

// compare returns the requests at the daemons of a partition that can be compared with those of others,
// and how many of them would have been served as often as at the others.
func (j *checker) compare(p partitionSpan) (inside tally, expected float64) {
	moments := make(map[moment]*comparison)
	for _, r := range j.order {
		if !j.countsInPartition(r, p) {
			continue
		}
		at := moment{r.Route.Name, int(r.Sent.Sub(p.from) / time.Second)}
		if moments[at] == nil {
			moments[at] = &comparison{}
		}
		j.tallyIn(&moments[at].inside, &moments[at].others, r, p)
	}
	for _, c := range moments {
		if c.others.all == 0 {
			continue
		}
		inside.all += c.inside.all
		inside.served += c.inside.served
		expected += float64(c.inside.all) * share(c.others.served, c.others.all)
	}
	return inside, expected
}

// countsInPartition reports whether a request counts in the comparison of a partition. Links can't tell
// daemons of the previous build apart, so that these are never cut off.
func (j *checker) countsInPartition(r *record, p partitionSpan) bool {
	key := j.keys[r.Key]
	if j.runsPreviousBuild(r.by()) || !r.known || r.Service != "" || r.Crashing > 0 || !r.disconnected.IsZero() || key == nil || !key.removed.IsZero() {
		return false
	}
	if r.Sent.Before(p.from.Add(j.bounds.Partition.After)) || !r.Sent.Before(p.to) || r.answer == nil {
		return false
	}
	return j.upToDate(r.Daemon, r.Sent, r.answer.At) && !j.isWithheld(r)
}

// isWithheld reports whether a request was refused because every replica was evacuated, cold or backing off, and none
// was usable that would contradict that. Daemons can't be compared by such requests: each has a quota of its own at a cold
// replica, which may be none, and a replica asks single daemons to back off.
func (j *checker) isWithheld(r *record) bool {
	return slices.Contains(withheldReasons, r.answer.Reason) && !slices.ContainsFunc(j.servicesAround(r), func(service string) bool {
		return j.hasUsableReplica(service, r.Sent, r.answer.At)
	})
}

// tallyIn counts a request among those of the partitioned daemons, or of the others.
func (j *checker) tallyIn(inside, others *tally, r *record, p partitionSpan) {
	t := others
	switch {
	case slices.Contains(p.daemons, r.Daemon):
		t = inside
	case j.isPartitioned(r.Daemon, r.Sent, settling):
		return
	}
	t.all++
	if r.answer.Complete && r.answer.Status/100 == 2 {
		t.served++
	}
}

// isPartitioned reports whether a daemon is in a partition at a time, or was until some time before.
func (j *checker) isPartitioned(daemon int, at time.Time, before time.Duration) bool {
	return slices.ContainsFunc(j.partitions, func(p partitionSpan) bool {
		return slices.Contains(p.daemons, daemon) && at.After(p.from) && at.Before(p.to.Add(before))
	})
}

// mayBeDelayed reports whether a fault of the replica or its link, a partition, or a fault of another daemon that
// opened the connection, may have delayed the arrival of a request.
func (j *checker) mayBeDelayed(r *record, a *Arrival) bool {
	return !noneOverlaps(j.replicas[a.Replica], r.Sent, a.At) || j.linkWasCut(r.Daemon, r.Sent, a.At) || j.wasHeldByOpener(r, a)
}

// wasHeldByOpener reports whether another daemon had opened the connection on which a request arrived, and that daemon or
// the way to it was disturbed meanwhile.
func (j *checker) wasHeldByOpener(r *record, a *Arrival) bool {
	if len(j.sources) == 0 {
		return false
	}
	c, ok := j.connection(a.Conn, a.At)
	if !ok {
		return false
	}
	opener, ok := j.sources[c.source]
	return ok && opener != r.Daemon && !noneOverlaps(j.daemons[opener], r.Sent, a.At)
}

// linkWasCut reports whether a partition may have kept a request, or the end of its connection, from a
// replica between two times: it was sent on a link that was cut, that of the daemon or, if the daemon was
// in a partition itself a moment ago, that of any other which may have opened the connection for it.
func (j *checker) linkWasCut(daemon int, from, to time.Time) bool {
	throughOthers := j.isPartitioned(daemon, from, j.bounds.SyncTime)
	return slices.ContainsFunc(j.partitions, func(p partitionSpan) bool {
		cutAfterwards := p.from.After(from.Add(-j.bounds.SyncTime)) && p.from.Before(to)
		heldUp := p.to.After(from) && p.to.Before(to)
		return (throughOthers || slices.Contains(p.daemons, daemon)) && (cutAfterwards || heldUp)
	})
}
