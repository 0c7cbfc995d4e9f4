package engine

import (
	"container/list"

	"briaryard/internal/model"
	"briaryard/internal/service/frontannounce"
)

// prefixCache is an LRU cache of the hashes of prompt prefixes. Additions and evictions are
// cache events.
type prefixCache struct {
	capacity int
	// dropEvery drops every n-th event; zero drops none.
	dropEvery int
	lru       *list.List
	entries   map[uint64]*list.Element
	seq       uint64
	// events holds the events since the last takeEvents.
	events []frontannounce.Cache
}

func newPrefixCache(capacity, dropEvery int) *prefixCache {
	return &prefixCache{capacity: capacity, dropEvery: dropEvery, lru: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns the number of prompt tokens that were cached, and caches all prefixes of the
// prompt. At least one token always remains to be computed.
func (c *prefixCache) lookup(prompt []byte) int {
	cached := 0
	for i, h := range model.PrefixHashes(prompt) {
		if el, ok := c.entries[h]; ok {
			c.lru.MoveToBack(el)
			cached = model.PrefixTokens(i)
			continue
		}
		c.entries[h] = c.lru.PushBack(h)
		c.addEvent(false, h, model.PrefixTokens(i))
	}
	for c.lru.Len() > c.capacity {
		h := c.lru.Remove(c.lru.Front()).(uint64)
		delete(c.entries, h)
		c.addEvent(true, h, 0)
	}
	return min(cached, model.EstimateTokens(prompt)-1)
}

// addEvent gives an event the next sequence number, also if it drops the event.
func (c *prefixCache) addEvent(evicted bool, prefix uint64, tokens int) {
	c.seq++
	if c.dropEvery > 0 && c.seq%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, frontannounce.Cache{Seq: c.seq, Evicted: evicted, Prefix: prefix, Tokens: tokens})
}

// takeEvents returns the pending events and removes them.
func (c *prefixCache) takeEvents() []frontannounce.Cache {
	events := c.events
	c.events = nil
	return events
}

// used returns the used share of the capacity, 0 to 1.
func (c *prefixCache) used() float64 { return float64(c.lru.Len()) / float64(c.capacity) }
