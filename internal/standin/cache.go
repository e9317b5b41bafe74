// This file implements the prefix cache of a fake engine: its size is limited, and it evicts the least
// recently used prefixes first.

package standin

import (
	"container/list"
	"crypto/sha256"
)

// prefixHash identifies a prefix of a chat.
type prefixHash [sha256.Size]byte

// cacheEvent is a change of a cache, as engines publish it.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // stored or evicted
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// maxCacheEvents is how many events are kept. A reader that needs older ones finds a gap in the
// sequence numbers.
const maxCacheEvents = 256

type prefixCache struct {
	limit  int        // in tokens
	used   int        // in tokens
	order  *list.List // of *cacheEntry, most recently used first
	byHash map[prefixHash]*list.Element
	events []cacheEvent
	seq    uint64
}

// cacheEntry is a cached prefix.
type cacheEntry struct {
	hash   prefixHash
	tokens int // of the last turn of the prefix
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byHash: make(map[prefixHash]*list.Element)}
}

// hashPrefixes returns the hash of each prefix of a chat, one per turn. The hashes also depend on the model.
func hashPrefixes(model string, turns []string) []prefixHash {
	h := sha256.Sum256([]byte(model))
	out := make([]prefixHash, len(turns))
	for i, t := range turns {
		h = sha256.Sum256(append(h[:], t...))
		out[i] = h
	}
	return out
}

// lookup returns the number of turns in the longest cached prefix, and marks them as used.
func (c *prefixCache) lookup(hashes []prefixHash) int {
	n := 0
	for _, h := range hashes {
		el := c.byHash[h]
		if el == nil {
			break
		}
		c.order.MoveToFront(el)
		n++
	}
	return n
}

// store adds the prefixes that are not cached yet, and then evicts the least recently used ones until
// the cache is within its limit.
func (c *prefixCache) store(hashes []prefixHash, turns []string) {
	for i, h := range hashes {
		if el := c.byHash[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		entry := &cacheEntry{hash: h, tokens: tokens(turns[i])}
		c.byHash[h] = c.order.PushFront(entry)
		c.used += entry.tokens
		c.publish("stored", entry)
	}
	for c.used > c.limit && c.order.Len() > 0 {
		el := c.order.Back()
		entry := el.Value.(*cacheEntry)
		c.order.Remove(el)
		delete(c.byHash, entry.hash)
		c.used -= entry.tokens
		c.publish("evicted", entry)
	}
}

// publish appends an event and drops the oldest if there are more than maxCacheEvents.
func (c *prefixCache) publish(kind string, entry *cacheEntry) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: shortHash(entry.hash), Tokens: entry.tokens})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// bytesPerToken is a common approximation of the mean token length.
const bytesPerToken = 4

// tokens returns the approximate number of tokens of a text.
func tokens(text string) int { return len(text)/bytesPerToken + 1 }
