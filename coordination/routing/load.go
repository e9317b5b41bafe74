// Load estimates: how many requests each replica has in flight. A daemon knows its own requests
// exactly; peers publish theirs several times a second. Adding them up keeps many daemons from
// choosing the same replica at once: each sees the requests of the others, as of the age of their
// reports.

package routing

import (
	"sync"
	"time"
)

// PeerID identifies a daemon in the tables of loads and evidence.
type PeerID string

// LoadCount is the number of requests in flight at one replica.
type LoadCount struct {
	Replica  LoadKey
	Requests uint16
}

const (
	// PeerLoadAge is the age from which a peer's counts are ignored: ten of its heartbeats.
	// PeerLoadAgeLarge applies in a large fleet: at 62 daemons the heartbeat of a given peer
	// arrives every 5 s, and with an age of 2 s most of the load was missing from the sum.
	PeerLoadAge      = 2 * time.Second
	PeerLoadAgeLarge = 4 * time.Second
)

// Loads counts the requests in flight at each replica. It is safe for concurrent use.
type Loads struct {
	mu  sync.Mutex
	own map[LoadKey]int
	// permitted is the part of own that has a permit of a coordinator (coordination/admission).
	permitted map[LoadKey]int
	peers     map[PeerID]peerLoad
	// others is the sum over the peers. It is recomputed with each message and when the first of
	// the counts expires, so that a daemon that receives no more messages stops using outdated
	// counts.
	others  map[LoadKey]int
	expires time.Time // when the first of the peers' counts expires; zero: there are none
}

type peerLoad struct {
	until  time.Time // when the counts expire
	counts []LoadCount
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{own: make(map[LoadKey]int), permitted: make(map[LoadKey]int), peers: make(map[PeerID]peerLoad), others: make(map[LoadKey]int)}
}

// Begin counts a request that is sent to a replica.
func (l *Loads) Begin(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[key]++
}

// BeginPermitted counts a request that is sent to a replica with a permit.
func (l *Loads) BeginPermitted(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[key]++
	l.permitted[key]++
}

// End removes a request that has ended at a replica.
func (l *Loads) End(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decrement(l.own, key)
}

// EndPermitted removes a request that was counted by [Loads.BeginPermitted].
func (l *Loads) EndPermitted(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decrement(l.own, key)
	decrement(l.permitted, key)
}

func decrement(counts map[LoadKey]int, key LoadKey) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// LocalUnpermitted returns this daemon's requests without a permit at the ready replicas of a pool.
// The control loop calls it for each event about a permit, so that its cost must not grow with the
// requests to other services.
func (l *Loads) LocalUnpermitted(p *Pool) []LoadCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []LoadCount
	for i := range p.Ready {
		key := p.Ready[i].LoadKey()
		if n := p.countAt(i, key, l.own) - p.countAt(i, key, l.permitted); n > 0 {
			out = append(out, LoadCount{Replica: key, Requests: saturate(n)})
		}
	}
	return out
}

// LocalUnpermittedAt returns the number of this daemon's requests without a permit at a replica.
func (l *Loads) LocalUnpermittedAt(key LoadKey) uint16 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return saturate(l.own[key] - l.permitted[key])
}

// LocalCounts returns this daemon's counts, to be sent to its peers.
func (l *Loads) LocalCounts() []LoadCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LoadCount, 0, len(l.own))
	for key, n := range l.own {
		out = append(out, LoadCount{Replica: key, Requests: saturate(n)})
	}
	return out
}

// saturate clamps a count to the range of the field in messages between daemons.
func saturate(n int) uint16 { return uint16(min(n, 1<<16-1)) }

// Observe records a peer's counts, which are used until they have the given age. The caller must
// not modify them afterwards.
func (l *Loads) Observe(p PeerID, counts []LoadCount, now time.Time, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[p] = peerLoad{until: now.Add(age), counts: counts}
	l.sumPeers(now)
}

func (l *Loads) sumPeers(now time.Time) {
	clear(l.others)
	l.expires = time.Time{}
	for p, load := range l.peers {
		if now.After(load.until) {
			delete(l.peers, p)
			continue
		}
		if l.expires.IsZero() || load.until.Before(l.expires) {
			l.expires = load.until
		}
		for _, c := range load.counts {
			l.others[c.Replica] += int(c.Requests)
		}
	}
}

// refresh drops expired counts. The caller holds the lock.
func (l *Loads) refresh(now time.Time) {
	if !l.expires.IsZero() && now.After(l.expires) {
		l.sumPeers(now)
	}
}

// coverage returns the share of the fleet's daemons whose counts the sum contains, this one
// included: 1 where every daemon sends to all others; in a large fleet it is less, and shrinks as
// the fleet grows.
func (l *Loads) coverage(daemons int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return min(1, float64(1+len(l.peers))/float64(max(1, daemons)))
}

// addTo adds the load of each ready replica of a pool to out, and returns the total. Its cost is
// proportional to the number of ready replicas or of replicas with requests in flight, whichever is
// lower: a service has few replicas in a large fleet, or many of which most are idle.
func (l *Loads) addTo(out []int, p *Pool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	total := 0
	for _, counts := range []map[LoadKey]int{l.own, l.others} {
		if len(p.Ready) < len(counts) {
			for i := range p.Ready {
				n := p.countAt(i, p.Ready[i].LoadKey(), counts)
				if byID := LoadKey(p.Ready[i].Hash); byID != p.Ready[i].LoadKey() {
					n += p.countAt(i, byID, counts) // from daemons that don't know incarnations
				}
				out[i] += n
				total += n
			}
			continue
		}
		for key, n := range counts {
			if i, ok := p.positions.lookup(key); ok {
				out[i] += n
				total += n
			}
		}
	}
	return total
}

// countAt returns the count under a key if the key stands for the ready replica at a position. Two
// replicas may have the same key, which then stands for one of them.
func (p *Pool) countAt(i int, key LoadKey, counts map[LoadKey]int) int {
	if at, ok := p.positions.lookup(key); !ok || at != i {
		return 0
	}
	return counts[key]
}

// Estimate returns the estimated load of one replica.
func (l *Loads) Estimate(key LoadKey, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.own[key] + l.others[key]
}
