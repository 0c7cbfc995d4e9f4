package engine

import (
	"container/list"

	"briaryard/internal/model"
	"briaryard/internal/service/frontannounce"
)

// prefixCache holds the hashes of cached prompt prefixes, least recently used first out.
type prefixCache struct {
	capacity int
	gap      int
	order    *list.List
	entries  map[uint64]*list.Element
	seq      uint64
	events   []frontannounce.Cache
}

func newPrefixCache(capacity, gap int) *prefixCache {
	return &prefixCache{capacity: capacity, gap: gap, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// lookup returns the number of prompt tokens that were cached, and caches the whole prompt.
func (c *prefixCache) lookup(prompt []byte) int {
	cached := 0
	for i, h := range model.PrefixHashes(prompt) {
		if el, ok := c.entries[h]; ok {
			c.order.MoveToBack(el)
			cached = model.PrefixTokens(i)
			continue
		}
		c.entries[h] = c.order.PushBack(h)
		c.event(false, h, model.PrefixTokens(i))
	}
	for c.order.Len() > c.capacity {
		h := c.order.Remove(c.order.Front()).(uint64)
		delete(c.entries, h)
		c.event(true, h, 0)
	}
	return min(cached, model.EstimateTokens(prompt)-1)
}

func (c *prefixCache) event(evicted bool, prefix uint64, tokens int) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	c.events = append(c.events, frontannounce.Cache{Seq: c.seq, Evicted: evicted, Prefix: prefix, Tokens: tokens})
}

func (c *prefixCache) takeEvents() []frontannounce.Cache {
	events := c.events
	c.events = nil
	return events
}

func (c *prefixCache) used() float64 { return float64(c.order.Len()) / float64(c.capacity) }
