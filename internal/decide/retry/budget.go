package retry

import (
	"time"

	"briaryard/internal/model"
)

// Limit is the fleet's limit of retries for each service in any window.
type Limit struct {
	// Ratio is the number of retries per request, and Allowance the number of retries on top of it.
	Ratio, Allowance float64
	Window           time.Duration
}

const (
	// usedShare is the fraction of the limit that the instances use together. The rest covers
	// windows with another alignment, instances that restart without their counts, and unequal
	// traffic.
	usedShare = 0.6
	// slots is the number of slots of a sliding window. The window advances by one slot at a time.
	slots = 20
)

// Budget holds the retry budget of one instance for each service.
type Budget struct {
	limit    Limit
	services map[model.PoolID]*windowCounts
	// instances is the number of instances that share the allowance.
	instances int
}

// windowCounts counts the requests and retries of one service in a sliding window.
type windowCounts struct {
	requests      [slots]int
	retries       [slots]int
	newestSlot    int64
	totalRequests int
	totalRetries  int
}

// New returns an empty budget.
func New(l Limit) *Budget {
	return &Budget{limit: l, services: make(map[model.PoolID]*windowCounts), instances: 1}
}

// SetInstances sets the number of instances that take requests.
func (b *Budget) SetInstances(n int) { b.instances = max(n, 1) }

// counts returns the counts of a service, advanced to the current slot.
func (b *Budget) counts(now time.Time, service model.PoolID) *windowCounts {
	c := b.services[service]
	if c == nil {
		c = &windowCounts{}
		b.services[service] = c
	}
	c.advance(now.UnixNano() / int64(b.limit.Window/slots))
	return c
}

// advance moves the window on to a slot and drops the counts of the slots that have left it.
func (c *windowCounts) advance(slot int64) {
	for i := max(c.newestSlot+1, slot-slots+1); i <= slot; i++ {
		index := i % slots
		c.totalRequests -= c.requests[index]
		c.totalRetries -= c.retries[index]
		c.requests[index], c.retries[index] = 0, 0
	}
	c.newestSlot = max(c.newestSlot, slot)
}

// Request counts a new request for a service.
func (b *Budget) Request(now time.Time, service model.PoolID) {
	c := b.counts(now, service)
	c.requests[c.newestSlot%slots]++
	c.totalRequests++
}

// Take counts a retry and returns true if the budget allows it.
func (b *Budget) Take(now time.Time, service model.PoolID) bool {
	c := b.counts(now, service)
	limit := usedShare * (b.limit.Ratio*float64(c.totalRequests) + b.limit.Allowance/float64(b.instances))
	if float64(c.totalRetries+1) > limit {
		return false
	}
	c.retries[c.newestSlot%slots]++
	c.totalRetries++
	return true
}
