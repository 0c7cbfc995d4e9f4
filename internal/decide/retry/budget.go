package retry

import (
	"time"

	"briaryard/internal/model"
)

// Limit is the fleet's limit of repeats for each service in any window.
type Limit struct {
	// Ratio is the repeats for each request, Allowance the repeats beyond.
	Ratio, Allowance float64
	Window           time.Duration
}

const (
	// usedShare is the part of the limit that the instances use together. The rest covers windows
	// that are placed otherwise, instances that restart without their counts, and unequal traffic.
	usedShare = 0.6
	// steps is the number of parts in which a window moves on.
	steps = 20
)

// Budget counts for one instance.
type Budget struct {
	limit    Limit
	services map[model.PoolID]*counts
	// instances is the number of instances that share the allowance.
	instances int
}

type counts struct {
	first   [steps]int
	again   [steps]int
	newest  int64
	allFrst int
	allAgn  int
}

// New returns an empty budget.
func New(l Limit) *Budget {
	return &Budget{limit: l, services: make(map[model.PoolID]*counts), instances: 1}
}

// SetInstances sets the number of instances that take requests.
func (b *Budget) SetInstances(n int) { b.instances = max(n, 1) }

func (b *Budget) counts(now time.Time, service model.PoolID) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	c.move(now.UnixNano() / int64(b.limit.Window/steps))
	return c
}

// move forgets the parts that the window has left.
func (c *counts) move(part int64) {
	for i := max(c.newest+1, part-steps+1); i <= part; i++ {
		at := i % steps
		c.allFrst -= c.first[at]
		c.allAgn -= c.again[at]
		c.first[at], c.again[at] = 0, 0
	}
	c.newest = max(c.newest, part)
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service model.PoolID) {
	c := b.counts(now, service)
	c.first[c.newest%steps]++
	c.allFrst++
}

// Take counts a repeat if there is room for it.
func (b *Budget) Take(now time.Time, service model.PoolID) bool {
	c := b.counts(now, service)
	room := usedShare * (b.limit.Ratio*float64(c.allFrst) + b.limit.Allowance/float64(b.instances))
	if float64(c.allAgn+1) > room {
		return false
	}
	c.again[c.newest%steps]++
	c.allAgn++
	return true
}
