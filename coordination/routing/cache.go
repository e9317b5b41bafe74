// This file remembers which replicas hold a prompt in their cache. A daemon learns
// it from the answers that it relays and from its peers, which announce each
// prompt that a replica has read for the first time. The table is bounded and a
// hint only: a wrong entry costs a copy that finds nothing.

package routing

import (
	"slices"
	"sync"
	"time"
)

// PromptKey names a prompt in messages between daemons: the low half of its
// placement key. Two prompts that share one are taken for the same.
type PromptKey uint32

// CacheLocation says that a replica has read a prompt.
type CacheLocation struct {
	Prompt  PromptKey
	Replica LoadKey
	// Size is the number of shared tokens in units of locationSizeUnit, at least 1.
	// Large prompts are announced first: reading them again costs the most.
	Size uint8
}

// locationSizeUnit is the unit of a location's size, in tokens. It lets a byte
// hold 127,500 tokens.
const locationSizeUnit = 500

func locationSize(tokens Tokens) uint8 {
	return uint8(min(255, max(1, tokens/locationSizeUnit)))
}

const (
	// locationsPerPrompt bounds the replicas that are remembered for one prompt.
	locationsPerPrompt = 6
	// maxPrompts bounds the prompts that are remembered, which bounds the memory at some megabytes.
	maxPrompts = 20_000
	// locationAge is how long a replica is expected to hold a prompt that nobody asks for; after that
	// its memory has likely been given to others.
	locationAge = 2 * time.Minute
	// announceTimes is how many heartbeats carry a location of this daemon's own: datagrams are lost.
	announceTimes = 2
	// maxPending bounds the locations that wait to be announced: ten heartbeats' worth of a large
	// fleet.
	maxPending = 200
)

// CacheTable remembers where prompts are cached. It is safe for use by many
// goroutines. A nil table is empty and remembers nothing.
type CacheTable struct {
	mu      sync.Mutex
	prompts map[PromptKey][]location
	pending []pendingLocation
}

type location struct {
	replica LoadKey
	used    time.Time
}

// pendingLocation waits to be announced to peers.
type pendingLocation struct {
	CacheLocation
	times int // how many heartbeats are still to carry it
}

// NewCacheTable returns an empty table.
func NewCacheTable() *CacheTable { return &CacheTable{prompts: make(map[PromptKey][]location)} }

// Record notes that a replica has read a prompt for this daemon. prompt is the
// placement key, tokens the number of shared tokens. With announce set, peers are sent
// the location if it is new here.
func (t *CacheTable) Record(prompt uint64, tokens Tokens, replica LoadKey, announce bool, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := CacheLocation{Prompt: PromptKey(prompt), Replica: replica, Size: locationSize(tokens)}
	if t.put(l.Prompt, replica, now) && announce {
		t.announce(l, announceTimes)
	}
}

// Observe takes in locations that a peer announced. With forward set, those that
// are new here are announced once more: a large fleet is one in which nobody
// sends to all others.
func (t *CacheTable) Observe(announced []CacheLocation, forward bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range announced {
		if t.put(l.Prompt, l.Replica, now) && forward {
			t.announce(l, 1)
		}
	}
}

func (t *CacheTable) announce(l CacheLocation, times int) {
	if len(t.pending) < maxPending {
		t.pending = append(t.pending, pendingLocation{l, times})
	}
}

// put returns true if the location is new.
func (t *CacheTable) put(prompt PromptKey, replica LoadKey, now time.Time) bool {
	list := t.prompts[prompt]
	for i := range list {
		if list[i].replica == replica {
			fresh := now.Sub(list[i].used) < locationAge
			list[i].used = now
			return !fresh
		}
	}
	if list == nil && len(t.prompts) >= maxPrompts {
		t.evict(now)
	}
	if len(list) >= locationsPerPrompt {
		oldest := oldestLocation(list)
		list = slices.Delete(list, oldest, oldest+1)
	}
	t.prompts[prompt] = append(list, location{replica: replica, used: now})
	return true
}

// Forget drops what replicas held: one that turned cold starts with an empty memory. Without
// it the prompts of a failure domain of 28 replicas, taken back cold, are all expected there
// and read again (1.2 million tokens), although those that served meanwhile hold them.
func (t *CacheTable) Forget(replicas []LoadKey) {
	if t == nil || len(replicas) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for prompt, list := range t.prompts {
		list = slices.DeleteFunc(list, func(l location) bool { return slices.Contains(replicas, l.replica) })
		if len(list) == 0 {
			delete(t.prompts, prompt)
			continue
		}
		t.prompts[prompt] = list
	}
}

// oldestLocation returns the index of the location that was used first.
func oldestLocation(list []location) int {
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	return oldest
}

// evict drops the prompts that are old, and a tenth of all if nothing is.
func (t *CacheTable) evict(now time.Time) {
	drop := maxPrompts / 10
	for prompt, list := range t.prompts {
		old := !slices.ContainsFunc(list, func(l location) bool { return now.Sub(l.used) < locationAge })
		if old || drop > 0 {
			delete(t.prompts, prompt)
			drop--
		}
	}
}

// TakePending returns up to n locations for the next heartbeat, the largest prompts
// first.
func (t *CacheTable) TakePending(n int) []CacheLocation {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.pending, func(a, b pendingLocation) int { return int(b.Size) - int(a.Size) })
	n = min(n, len(t.pending))
	out := make([]CacheLocation, 0, n)
	kept := t.pending[:0:0]
	for i, p := range t.pending {
		if i < n {
			out = append(out, p.CacheLocation)
			p.times--
		}
		if p.times > 0 {
			kept = append(kept, p)
		}
	}
	t.pending = kept
	return out
}

// locations returns the replicas that hold a prompt and are not too old.
func (t *CacheTable) locations(prompt uint64, now time.Time) []location {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []location
	for _, l := range t.prompts[PromptKey(prompt)] {
		if now.Sub(l.used) < locationAge {
			out = append(out, l)
		}
	}
	return out
}
