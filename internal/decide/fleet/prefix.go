package fleet

import (
	"math"

	"briaryard/internal/model"
)

const (
	// defaultCacheTokens bounds the index of one server until its evictions show its size.
	defaultCacheTokens = 1 << 18
	// maxHolders bounds the servers remembered for one prefix, and so the cost of a look-up.
	maxHolders = 8
	// entriesHint is the number of entries for which a server's index has room from the
	// start. Growing it step by step was part of the slowest 1% of decisions while the
	// caches of 600 servers filled.
	entriesHint = 448
)

// cached is one prefix believed to be in a server's cache.
type cached struct {
	server *server
	hash   uint64
	tokens int
	// gaps is the server's count of lost event ranges when the entry was confirmed.
	gaps       int
	prev, next *cached
}

// cache is one server's entries from most to least recently used.
type cache struct {
	head, tail *cached
	byHash     map[uint64]*cached
	tokens     int
	limit      int
	gaps       int
	lastSeq    uint64
}

// prefixes maps a prefix to the servers that hold it.
type prefixes struct {
	holders map[uint64][]*cached
	// spare lists removed entries, linked by next. In steady state each new entry replaces
	// one, so that the heap does not grow.
	spare *cached
}

func (p *prefixes) take() *cached {
	e := p.spare
	if e == nil {
		return &cached{}
	}
	p.spare = e.next
	return e
}

// trust halves with every gap in the events since the entry was confirmed.
func (c *cached) trust() float64 { return math.Pow(0.5, float64(c.server.cache.gaps-c.gaps)) }

// step is the number of tokens that the prefix at index i adds to the one before it.
func step(i int) int {
	if i == 0 {
		return model.PrefixTokens(0)
	}
	return model.PrefixTokens(i) - model.PrefixTokens(i-1)
}

func (p *prefixes) add(s *server, hash uint64, tokens int) {
	c := &s.cache
	if e := c.byHash[hash]; e != nil {
		e.gaps = c.gaps
		c.detach(e)
		c.push(e)
		return
	}
	if c.byHash == nil {
		c.byHash = make(map[uint64]*cached, entriesHint)
	}
	e := p.take()
	*e = cached{server: s, hash: hash, tokens: tokens, gaps: c.gaps}
	c.byHash[hash] = e
	c.push(e)
	c.tokens += tokens
	held := p.holders[hash]
	if len(held) < maxHolders {
		p.holders[hash] = append(held, e)
	} else {
		held[(hash+uint64(len(c.byHash)))%maxHolders] = e
	}
	for c.tokens > c.capacity() && c.tail != nil {
		p.remove(c.tail)
	}
}

func (p *prefixes) remove(e *cached) {
	c := &e.server.cache
	c.detach(e)
	delete(c.byHash, e.hash)
	c.tokens -= e.tokens
	held := p.holders[e.hash]
	for i := range held {
		if held[i] == e {
			held[i] = held[len(held)-1]
			held[len(held)-1] = nil
			held = held[:len(held)-1]
			break
		}
	}
	if len(held) == 0 {
		delete(p.holders, e.hash)
	} else {
		p.holders[e.hash] = held
	}
	*e = cached{next: p.spare}
	p.spare = e
}

// clear drops all entries of a server.
func (p *prefixes) clear(s *server) {
	for s.cache.tail != nil {
		p.remove(s.cache.tail)
	}
}

// event applies a cache event. A late repeat changes nothing.
func (p *prefixes) event(s *server, e model.CacheEvent) {
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
	if held := c.byHash[e.Prefix]; held != nil {
		// The server evicts at its real size, which may be far from the default bound.
		c.limit = max((c.capacity()*3+c.tokens)/4, model.PrefixTokens(0))
		p.remove(held)
	}
}

// saved returns the prompt tokens that a server's cache is expected to save.
func saved(s *server, d *model.Descriptor) int {
	for i := len(d.Prefix) - 1; i >= 0; i-- {
		if e := s.cache.byHash[d.Prefix[i]]; e != nil {
			tokens := min(model.PrefixTokens(i), max(d.PromptTokens-1, 0))
			return int(float64(tokens) * e.trust())
		}
	}
	return 0
}

func (c *cache) capacity() int {
	if c.limit == 0 {
		return defaultCacheTokens
	}
	return c.limit
}

func (c *cache) push(e *cached) {
	e.prev, e.next = nil, c.head
	if c.head != nil {
		c.head.prev = e
	} else {
		c.tail = e
	}
	c.head = e
}

func (c *cache) detach(e *cached) {
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
