package retry

import (
	"math"
	"time"

	"briaryard/internal/model"
)

// Limit is the fleet's limit of retries for each service in any window.
type Limit struct {
	// Ratio is the number of retries per request, and Allowance the number of retries on top of it.
	Ratio, Allowance float64
	Window           time.Duration
	// HedgeRatio is the number of second calls of hedged requests per request. They also count as retries.
	HedgeRatio float64
}

const (
	// usedShare is the fraction of the limit that the instances use together. The rest covers
	// windows with another alignment, instances that restart without their counts, and unequal
	// traffic.
	usedShare = 0.6
	// hedgeShare is the share of the retry budget up to which hedged requests may use it. A retry saves a request
	// that has failed; a hedged request only shortens one.
	hedgeShare = 0.75
	// slots is the number of slots of a sliding window. The window advances by one slot at a time.
	slots = 20
)

// Budget holds the retry budget of one instance for each service.
type Budget struct {
	limit    Limit
	services map[model.PoolID]*windowCounts
	// instances is the number of instances that share the allowance.
	instances int
	// position is the place of this instance among them, from 0.
	position int
}

// windowCounts counts the requests and retries of one service in a sliding window.
type windowCounts struct {
	requests      [slots]int
	retries       [slots]int
	hedges        [slots]int
	newestSlot    int64
	totalRequests int
	// totalRetries includes the hedged requests.
	totalRetries int
	totalHedges  int
}

// New returns an empty budget.
func New(l Limit) *Budget {
	return &Budget{limit: l, services: make(map[model.PoolID]*windowCounts), instances: 1}
}

// SetInstances sets the number of instances that take requests.
func (b *Budget) SetInstances(n int) { b.instances = max(n, 1) }

// SetPosition sets the place of this instance among those that take requests, from 0.
func (b *Budget) SetPosition(n int) { b.position = max(n, 0) }

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
		c.totalHedges -= c.hedges[index]
		c.requests[index], c.retries[index], c.hedges[index] = 0, 0, 0
	}
	c.newestSlot = max(c.newestSlot, slot)
}

// CountRequest counts a new request for a service.
func (b *Budget) CountRequest(now time.Time, service model.PoolID) {
	c := b.counts(now, service)
	c.requests[c.newestSlot%slots]++
	c.totalRequests++
}

// TakeRetry counts a retry and returns true if the budget allows it.
func (b *Budget) TakeRetry(now time.Time, service model.PoolID) bool {
	c := b.counts(now, service)
	if float64(c.totalRetries+1) > b.retryLimit(c) {
		return false
	}
	c.retries[c.newestSlot%slots]++
	c.totalRetries++
	return true
}

// retryLimit returns the number of retries that this instance may have in the window.
func (b *Budget) retryLimit(c *windowCounts) float64 {
	return usedShare * (b.limit.Ratio*float64(c.totalRequests) + b.limit.Allowance/float64(b.instances))
}

// MayHedge reports whether the budget allows a hedged request.
func (b *Budget) MayHedge(now time.Time, service model.PoolID) bool {
	c := b.counts(now, service)
	return float64(c.totalHedges+1) <= b.hedgeLimit(c) && float64(c.totalRetries+1) <= hedgeShare*b.retryLimit(c)
}

// hedgeLimit returns the number of hedged requests that this instance may have in the window. In a large fleet most
// instances have too few requests for a single one. Their parts of one are therefore rounded up at as many instances as
// the sum allows: each adds its place, as a fraction of one, before rounding down.
func (b *Budget) hedgeLimit(c *windowCounts) float64 {
	if b.limit.HedgeRatio <= 0 {
		return 0
	}
	place := float64(min(b.position, b.instances-1)) / float64(b.instances)
	return math.Floor(b.limit.HedgeRatio*float64(c.totalRequests) + place)
}

// TakeHedge counts a hedged request and returns true if the budget allows it. It counts as a retry as well.
func (b *Budget) TakeHedge(now time.Time, service model.PoolID) bool {
	if !b.MayHedge(now, service) {
		return false
	}
	c := b.counts(now, service)
	c.retries[c.newestSlot%slots]++
	c.hedges[c.newestSlot%slots]++
	c.totalRetries++
	c.totalHedges++
	return true
}
