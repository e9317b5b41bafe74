// This file plays an engine's prefix cache: least recently used prefixes go
// first, and its memory is limited.

package standin

import (
	"container/list"
	"crypto/sha256"
)

type prefixHash [sha256.Size]byte

// cacheEvent is one change of a cache, as engines publish it.
type cacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"` // stored or evicted
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// cacheEventsKept is how many events can be asked for; older ones are a gap.
const cacheEventsKept = 256

type prefixCache struct {
	limit  int // tokens
	used   int
	order  *list.List // of *cached, newest first
	byHash map[prefixHash]*list.Element
	events []cacheEvent
	seq    uint64
}

type cached struct {
	hash   prefixHash
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byHash: make(map[prefixHash]*list.Element)}
}

// chain returns the hash of each prefix of a chat, which includes the model.
func chain(model string, turns []string) []prefixHash {
	h := sha256.Sum256([]byte(model))
	out := make([]prefixHash, len(turns))
	for i, t := range turns {
		h = sha256.Sum256(append(h[:], t...))
		out[i] = h
	}
	return out
}

// hit returns how many turns of a chat are cached from its beginning.
func (c *prefixCache) hit(hashes []prefixHash) int {
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

func (c *prefixCache) store(hashes []prefixHash, turns []string) {
	for i, h := range hashes {
		if el := c.byHash[h]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		item := &cached{hash: h, tokens: tokens(turns[i])}
		c.byHash[h] = c.order.PushFront(item)
		c.used += item.tokens
		c.publish("stored", item)
	}
	for c.used > c.limit && c.order.Len() > 0 {
		el := c.order.Back()
		item := el.Value.(*cached)
		c.order.Remove(el)
		delete(c.byHash, item.hash)
		c.used -= item.tokens
		c.publish("evicted", item)
	}
}

func (c *prefixCache) publish(kind string, item *cached) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: hexOf(item.hash), Tokens: item.tokens})
	if len(c.events) > cacheEventsKept {
		c.events = c.events[1:]
	}
}

// bytesPerToken is the usual rough measure.
const bytesPerToken = 4

func tokens(text string) int { return len(text)/bytesPerToken + 1 }
