// The cache location table: which replicas hold a prompt in their cache. A daemon learns this
// from the responses that it relays and from its peers, which announce each prompt that a replica
// has read for the first time. The table is bounded and only a hint: a wrong entry costs a copy
// attempt that finds nothing.

package routing

import (
	"slices"
	"sync"
	"time"
)

// PromptKey identifies a prompt in messages between daemons: the low half of its placement key.
// Two prompts with the same PromptKey are treated as one.
type PromptKey uint32

// CacheLocation records that a replica has read a prompt.
type CacheLocation struct {
	Prompt  PromptKey
	Replica LoadKey
	// Size is the number of shared tokens in units of locationSizeUnit, at least 1. Large prompts
	// are announced first, because reading them again costs the most.
	Size uint8
}

// locationSizeUnit is the unit of [CacheLocation.Size], in tokens. With it, one byte represents
// up to 127,500 tokens.
const locationSizeUnit = 500

func locationSize(tokens Tokens) uint8 {
	return uint8(min(255, max(1, tokens/locationSizeUnit)))
}

const (
	// locationsPerPrompt bounds the replicas that are recorded for one prompt.
	locationsPerPrompt = 6
	// maxPrompts bounds the prompts that are recorded, which keeps the table to a few megabytes.
	maxPrompts = 20_000
	// locationAge is how long a replica is expected to keep a prompt that isn't requested; after
	// that it has likely evicted the prompt in favor of others.
	locationAge = 2 * time.Minute
	// announceCount is how many heartbeats carry a location that this daemon has found itself,
	// since datagrams may be lost.
	announceCount = 2
	// maxPendingLocations bounds the cache locations that wait to be announced. In a large fleet
	// that is as many as ten heartbeats carry.
	maxPendingLocations = 200
)

// CacheTable records where prompts are cached. It is safe for concurrent use. A nil table is
// empty and records nothing.
type CacheTable struct {
	mu      sync.Mutex
	prompts map[PromptKey][]location
	pending []pendingLocation
}

type location struct {
	replica LoadKey
	used    time.Time
}

// pendingLocation is a location that is still to be announced to peers.
type pendingLocation struct {
	CacheLocation
	times int // how many more heartbeats carry it
}

// NewCacheTable returns an empty table.
func NewCacheTable() *CacheTable { return &CacheTable{prompts: make(map[PromptKey][]location)} }

// Record notes that a replica has read a prompt of a request of this daemon. prompt is the
// placement key, tokens the number of shared tokens. If announce is set and the location is new
// here, it is announced to peers.
func (t *CacheTable) Record(prompt uint64, tokens Tokens, replica LoadKey, announce bool, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := CacheLocation{Prompt: PromptKey(prompt), Replica: replica, Size: locationSize(tokens)}
	if t.insert(l.Prompt, replica, now) && announce {
		t.announce(l, announceCount)
	}
}

// Observe records locations that a peer announced. If forward is set, those that are new here are
// announced once more: in a large fleet no daemon sends to all others.
func (t *CacheTable) Observe(announced []CacheLocation, forward bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range announced {
		if t.insert(l.Prompt, l.Replica, now) && forward {
			t.announce(l, 1)
		}
	}
}

func (t *CacheTable) announce(l CacheLocation, times int) {
	if len(t.pending) < maxPendingLocations {
		t.pending = append(t.pending, pendingLocation{l, times})
	}
}

// insert records a location and reports whether it is new.
func (t *CacheTable) insert(prompt PromptKey, replica LoadKey, now time.Time) bool {
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

// Forget drops all locations at the given replicas: one that has become cold starts with an empty
// cache. Without this, when a failure domain of 28 replicas returned to service cold, all of its
// prompts were expected there and were read again (1.2 million tokens), although the replicas
// that had served in the meantime held them.
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

// oldestLocation returns the index of the least recently used location.
func oldestLocation(list []location) int {
	oldest := 0
	for i := range list {
		if list[i].used.Before(list[oldest].used) {
			oldest = i
		}
	}
	return oldest
}

// evict drops all prompts whose locations are too old, and others as long as fewer than a tenth
// of maxPrompts have been dropped.
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

// TakePending returns up to n locations for the next heartbeat, the largest prompts first.
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

// locations returns the replicas that hold a prompt, without those whose entry is too old.
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
