// This file estimates how many requests each replica holds. A daemon knows its
// own exactly; peers publish theirs several times a second. The sum is what keeps
// many daemons from sending to the same replica: each sees the others' requests,
// as of the age of their figures.

package routing

import (
	"sync"
	"time"
)

// PeerID names a daemon in the tables of loads and evidence.
type PeerID string

// LoadCount is the number of requests at one replica.
type LoadCount struct {
	Replica  LoadKey
	Requests uint16
}

const (
	// PeerLoadAge is the age at which a peer's figures no longer count: ten of its
	// heartbeats. PeerLoadAgeLarge holds in a large fleet: at 62 daemons one peer's
	// heartbeat comes every 5 s, and after 2 s most of the load was missing from
	// the sum.
	PeerLoadAge      = 2 * time.Second
	PeerLoadAgeLarge = 4 * time.Second
)

// Loads counts the requests at each replica. It is safe for use by many
// goroutines.
type Loads struct {
	mu    sync.Mutex
	own   map[LoadKey]int
	peers map[PeerID]peerLoad
	// others is the sum over the peers, recomputed with each message and when the first of
	// them expires: a daemon that is sent nothing more must not go by old figures.
	others  map[LoadKey]int
	expires time.Time // the first of the peers' figures; zero: there are none
}

type peerLoad struct {
	until  time.Time // when the figures no longer count
	counts []LoadCount
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	return &Loads{own: make(map[LoadKey]int), peers: make(map[PeerID]peerLoad), others: make(map[LoadKey]int)}
}

// Begin counts a request that goes to a replica.
func (l *Loads) Begin(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[key]++
}

// End counts a request that has left a replica.
func (l *Loads) End(key LoadKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[key]--; l.own[key] <= 0 {
		delete(l.own, key)
	}
}

// Own returns this daemon's counts, for its peers.
func (l *Loads) Own() []LoadCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LoadCount, 0, len(l.own))
	for key, n := range l.own {
		out = append(out, LoadCount{Replica: key, Requests: saturate(n)})
	}
	return out
}

// saturate cuts a count to what a message between daemons holds.
func saturate(n int) uint16 { return uint16(min(n, 1<<16-1)) }

// Observe takes in a peer's counts, which are used until they have the given age.
// They must not be changed afterwards.
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

// refresh drops what has expired. The caller holds the lock.
func (l *Loads) refresh(now time.Time) {
	if !l.expires.IsZero() && now.After(l.expires) {
		l.sumPeers(now)
	}
}

// coverage returns the share of the fleet's daemons whose counts the sum contains, this
// one's own counted: 1 where all send to all, less in a large fleet, and the less the
// larger it is.
func (l *Loads) coverage(daemons int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return min(1, float64(1+len(l.peers))/float64(max(1, daemons)))
}

// addTo adds the load of each ready replica of a pool to out, and returns the sum.
// Its cost follows the number of replicas that hold requests, not the pool's size.
func (l *Loads) addTo(out []int, p *Pool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	total := 0
	for _, counts := range []map[LoadKey]int{l.own, l.others} {
		for key, n := range counts {
			if i, ok := p.places.place(key); ok {
				out[i] += n
				total += n
			}
		}
	}
	return total
}

// Of returns the estimated load of one replica.
func (l *Loads) Of(key LoadKey, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.own[key] + l.others[key]
}
