// This file remembers which replicas hold a prompt. A daemon learns it from the
// answers that it relays and from its peers, who tell each other of each prompt
// that a replica has read for the first time. The table is bounded, and it is a
// hint only: a wrong entry costs a copy that finds nothing.

package routing

import (
	"slices"
	"sync"
	"time"
)

// PromptKey names a prompt in messages between daemons: the low half of its
// placement key. Two prompts that share one are taken as the same, which costs a
// copy that finds nothing.
type PromptKey uint32

// Holding says that a replica has read a prompt.
type Holding struct {
	_       struct{} `cbor:",toarray"`
	Prompt  PromptKey
	Replica LoadKey
	// Size is the number of shared tokens in units of sizeUnit, at least 1. What is
	// large is told first: reading it again costs the most.
	Size uint8
}

// sizeUnit is the unit of a holding's size, in tokens.
const sizeUnit = 500

func holdingSize(tokens int) uint8 { return uint8(min(255, max(1, tokens/sizeUnit))) }

// Settings of the table.
const (
	// holdersPerPrompt bounds the replicas that are remembered for one prompt.
	holdersPerPrompt = 6
	// maxPrompts bounds the prompts that are remembered.
	maxPrompts = 20_000
	// holdingAge is how long a replica is taken to hold a prompt that nobody asks
	// for; after that its memory has likely given way.
	holdingAge = 2 * time.Minute
	// toldTimes is how often a holding is told, since datagrams are lost.
	toldTimes = 2
	// maxUntold bounds the holdings that wait to be told.
	maxUntold = 200
)

// Holders is the table. It is safe for use by many goroutines.
type Holders struct {
	mu      sync.Mutex
	prompts map[PromptKey][]holder
	untold  []untold
}

type holder struct {
	replica LoadKey
	used    time.Time
}

type untold struct {
	Holding
	times int
}

// NewHolders returns an empty table.
func NewHolders() *Holders { return &Holders{prompts: make(map[PromptKey][]holder)} }

// Note takes down that a replica has read a prompt of so many shared tokens for
// this daemon.
func (h *Holders) Note(prompt uint64, tokens int, replica LoadKey, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := PromptKey(prompt)
	if h.put(key, replica, now) && len(h.untold) < maxUntold {
		h.untold = append(h.untold, untold{Holding: Holding{Prompt: key, Replica: replica, Size: holdingSize(tokens)}, times: toldTimes})
	}
}

// Observe takes holdings that a peer tells of. In a fleet too large for everyone
// to tell all others, what was new here is handed on once.
func (h *Holders) Observe(told []Holding, handOn bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range told {
		if h.put(t.Prompt, t.Replica, now) && handOn && len(h.untold) < maxUntold {
			h.untold = append(h.untold, untold{Holding: t, times: 1})
		}
	}
}

// put returns true if the holding is new.
func (h *Holders) put(prompt PromptKey, replica LoadKey, now time.Time) bool {
	list := h.prompts[prompt]
	for i := range list {
		if list[i].replica == replica {
			known := now.Sub(list[i].used) < holdingAge
			list[i].used = now
			return !known
		}
	}
	if list == nil && len(h.prompts) >= maxPrompts {
		h.evict(now)
	}
	if len(list) >= holdersPerPrompt {
		oldest := slices.IndexFunc(list, func(a holder) bool {
			return !slices.ContainsFunc(list, func(b holder) bool { return b.used.Before(a.used) })
		})
		list = slices.Delete(list, oldest, oldest+1)
	}
	h.prompts[prompt] = append(list, holder{replica: replica, used: now})
	return true
}

// evict drops what is old, and some more if nothing is.
func (h *Holders) evict(now time.Time) {
	drop := maxPrompts / 10
	for prompt, list := range h.prompts {
		old := !slices.ContainsFunc(list, func(a holder) bool { return now.Sub(a.used) < holdingAge })
		if old || drop > 0 {
			delete(h.prompts, prompt)
			drop--
		}
	}
}

// Untold returns up to n holdings for the next beat, the largest prompts first.
func (h *Holders) Untold(n int) []Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.untold, func(a, b untold) int { return int(b.Size) - int(a.Size) })
	n = min(n, len(h.untold))
	out := make([]Holding, 0, n)
	kept := h.untold[:0:0]
	for i, u := range h.untold {
		if i < n {
			out = append(out, u.Holding)
			u.times--
		}
		if u.times > 0 {
			kept = append(kept, u)
		}
	}
	h.untold = kept
	return out
}

// of returns who holds a prompt, as a set of load keys with the times of their
// last use.
func (h *Holders) of(prompt uint64, now time.Time) []holder {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []holder
	for _, a := range h.prompts[PromptKey(prompt)] {
		if now.Sub(a.used) < holdingAge {
			out = append(out, a)
		}
	}
	return out
}

// Prompts returns how many prompts are remembered.
func (h *Holders) Prompts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.prompts)
}
