package fleet

import (
	"math"

	"briaryard/internal/model"
)

const (
	// defaultCacheTokens bounds the index of one server until its evictions show its cache size.
	defaultCacheTokens = 1 << 18
	// maxHolders bounds the servers recorded for one prefix, and so the cost of a lookup.
	maxHolders = 8
	// initialEntries is the initial capacity of a server's index. Growing it step by step was
	// part of the slowest 1% of decisions while the caches of 600 servers filled.
	initialEntries = 448
)

// cacheEntry is one prefix that is believed to be in a server's cache.
type cacheEntry struct {
	server *server
	hash   uint64
	tokens int
	// gaps is the server's count of event gaps when the entry was confirmed.
	gaps       int
	prev, next *cacheEntry
}

// prefixCache is the LRU list of the prefixes in one server's cache, most recently used first.
type prefixCache struct {
	head, tail *cacheEntry
	byHash     map[uint64]*cacheEntry
	tokens     int
	// learnedLimit is the capacity learned from evictions, 0 before the first one.
	learnedLimit int
	// gaps counts the gaps in the sequence of cache events; lastSeq is the last event's.
	gaps    int
	lastSeq uint64
}

// prefixIndex maps a prefix to the servers that hold it.
type prefixIndex struct {
	holders map[uint64][]*cacheEntry
	// freeEntries lists removed entries for reuse, linked by next. In steady state each new
	// entry replaces one, so that the heap does not grow.
	freeEntries *cacheEntry
}

func (p *prefixIndex) newEntry() *cacheEntry {
	e := p.freeEntries
	if e == nil {
		return &cacheEntry{}
	}
	p.freeEntries = e.next
	return e
}

// confidence halves with every gap in the cache events since the entry was confirmed.
func (c *cacheEntry) confidence() float64 { return math.Pow(0.5, float64(c.server.cache.gaps-c.gaps)) }

// prefixStep returns the number of tokens that the prefix at index i adds to the one before it.
func prefixStep(i int) int {
	if i == 0 {
		return model.PrefixTokens(0)
	}
	return model.PrefixTokens(i) - model.PrefixTokens(i-1)
}

// add records that a server holds a prefix, and evicts its least recently used prefixes above
// the capacity.
func (p *prefixIndex) add(s *server, hash uint64, tokens int) {
	c := &s.cache
	if e := c.byHash[hash]; e != nil {
		e.gaps = c.gaps
		c.unlink(e)
		c.pushFront(e)
		return
	}
	if c.byHash == nil {
		c.byHash = make(map[uint64]*cacheEntry, initialEntries)
	}
	e := p.newEntry()
	*e = cacheEntry{server: s, hash: hash, tokens: tokens, gaps: c.gaps}
	c.byHash[hash] = e
	c.pushFront(e)
	c.tokens += tokens
	holders := p.holders[hash]
	if len(holders) < maxHolders {
		p.holders[hash] = append(holders, e)
	} else {
		holders[(hash+uint64(len(c.byHash)))%maxHolders] = e
	}
	for c.tokens > c.capacity() && c.tail != nil {
		p.remove(c.tail)
	}
}

func (p *prefixIndex) remove(e *cacheEntry) {
	c := &e.server.cache
	c.unlink(e)
	delete(c.byHash, e.hash)
	c.tokens -= e.tokens
	holders := p.holders[e.hash]
	for i := range holders {
		if holders[i] == e {
			holders[i] = holders[len(holders)-1]
			holders[len(holders)-1] = nil
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(p.holders, e.hash)
	} else {
		p.holders[e.hash] = holders
	}
	*e = cacheEntry{next: p.freeEntries}
	p.freeEntries = e
}

// clear removes all entries of a server.
func (p *prefixIndex) clear(s *server) {
	for s.cache.tail != nil {
		p.remove(s.cache.tail)
	}
}

// apply applies a cache event. A late or repeated event has no effect.
func (p *prefixIndex) apply(s *server, e model.CacheEvent) {
	c := &s.cache
	if e.Incarnation != s.record.Incarnation || e.Seq <= c.lastSeq {
		return
	}
	if c.lastSeq != 0 && e.Seq > c.lastSeq+1 {
		c.gaps++
	}
	c.lastSeq = e.Seq
	if !e.Evicted {
		p.add(s, e.Prefix, max(e.Tokens, 1))
		return
	}
	if entry := c.byHash[e.Prefix]; entry != nil {
		// The server evicts at its actual capacity, which may be far from the default bound.
		c.learnedLimit = max((c.capacity()*3+c.tokens)/4, model.PrefixTokens(0))
		p.remove(entry)
	}
}

// cachedTokens returns the number of prompt tokens that are expected in a server's cache.
func cachedTokens(s *server, d *model.Descriptor) int {
	for i := len(d.Prefix) - 1; i >= 0; i-- {
		if e := s.cache.byHash[d.Prefix[i]]; e != nil {
			tokens := min(model.PrefixTokens(i), max(d.PromptTokens-1, 0))
			return int(float64(tokens) * e.confidence())
		}
	}
	return 0
}

// capacity returns the bound on the index in tokens.
func (c *prefixCache) capacity() int {
	if c.learnedLimit == 0 {
		return defaultCacheTokens
	}
	return c.learnedLimit
}

func (c *prefixCache) pushFront(e *cacheEntry) {
	e.prev, e.next = nil, c.head
	if c.head != nil {
		c.head.prev = e
	} else {
		c.tail = e
	}
	c.head = e
}

func (c *prefixCache) unlink(e *cacheEntry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.tail = e.prev
	}
	e.prev, e.next = nil, nil
}
