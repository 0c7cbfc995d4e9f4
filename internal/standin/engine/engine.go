package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"briaryard/internal/model"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/standin/record"
)

// Options describe an engine. An engine without a model is spare.
type Options struct {
	ID     string
	Model  string
	Domain string
	// Slots is the number of requests in a batch.
	Slots int
	// TokenTime is the time between tokens of one stream in an empty batch.
	TokenTime time.Duration
	// PrefillPerSecond is the number of prompt tokens computed in a second.
	PrefillPerSecond int
	// CachePrefixes bounds the prefix cache.
	CachePrefixes int
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// CacheEventGap drops every n-th cache event; zero drops none.
	CacheEventGap int
	Generation    string
	// ChecksFencing makes the engine refuse orders with an old fencing token. Otherwise it
	// ignores tokens.
	ChecksFencing bool
	// LoadTime is how long it takes to load a model or adapter.
	LoadTime time.Duration
	// OrderArrival bounds the time from the opening of a connection to a whole order on it;
	// zero sets no bound.
	OrderArrival time.Duration
}

// Normalize fills in defaults.
func (o *Options) normalize() {
	o.Slots = max(o.Slots, 1)
	if o.TokenTime <= 0 {
		o.TokenTime = 10 * time.Millisecond
	}
	if o.PrefillPerSecond <= 0 {
		o.PrefillPerSecond = 20_000
	}
	if o.CachePrefixes <= 0 {
		o.CachePrefixes = 256
	}
}

// Engine is a running stand-in.
type Engine struct {
	options     Options
	incarnation uint64
	slots       chan struct{}
	prefill     chan struct{}

	mu       sync.Mutex
	streams  map[string]*stream
	running  int
	queued   int
	slowdown float64
	cache    *prefixCache
	// loads holds load readings until they are old enough to be reported.
	loads  []loadReading
	record *record.Record
	// refused holds the ids that must not be admitted any more.
	refused  map[string]bool
	prefills int
	// models, adapters and role change by orders.
	models   []string
	adapters []string
	role     string
	fence    uint64
	// newest is the newest accepted order as announced, and orders lists all that arrived.
	newest frontannounce.Order
	orders []Order
}

type loadReading struct {
	at   time.Time
	load frontannounce.Load
}

// New returns an engine.
func New(options Options) *Engine {
	options.normalize()
	e := &Engine{
		options: options, incarnation: uint64(time.Now().UnixNano()),
		slots: make(chan struct{}, options.Slots), prefill: make(chan struct{}, 1),
		streams: make(map[string]*stream), slowdown: 1,
		cache: newPrefixCache(options.CachePrefixes, options.CacheEventGap), record: record.New(),
		refused: make(map[string]bool), newest: frontannounce.Order{State: model.OrderNone.String()},
	}
	if options.Model != "" {
		e.models = []string{options.Model}
	}
	return e
}

// SetSlowdown makes the engine slower by a factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving makes the engine announce that it leaves.
func (e *Engine) SetLeaving() { e.record.SetLeaving() }

// Executed returns how often each request id was admitted.
func (e *Engine) Executed() map[string]int { return e.record.Executed() }

// PrefillTokens returns the number of prompt tokens computed so far.
func (e *Engine) PrefillTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefills
}

// Announcement returns the engine's current announcement for an address.
func (e *Engine) Announcement(address string) frontannounce.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, loadReading{now, frontannounce.Load{Running: e.running, Queued: e.queued, CacheUsed: e.cache.used()}})
	newest := e.newest
	a := frontannounce.Announcement{
		ID: e.options.ID, Incarnation: e.incarnation, Address: address, FailureDomain: e.options.Domain,
		Kind: "engine", Models: slices.Clone(e.models), Adapters: slices.Clone(e.adapters), Order: &newest, Slots: e.options.Slots,
		Generation: e.options.Generation, ChecksFencing: e.options.ChecksFencing, Leaving: e.record.Leaving(),
		CacheEvents: e.cache.takeEvents(),
	}
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.options.LoadLag {
		e.loads = e.loads[1:]
	}
	if oldest := e.loads[0]; now.Sub(oldest.at) >= e.options.LoadLag {
		load := oldest.load
		load.AgeMS = now.Sub(oldest.at).Milliseconds()
		a.Load = &load
	}
	return a
}

// Text returns token i of the answer to a prompt.
func Text(prompt []byte, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64(prompt)), i)
}

// run admits a stream and generates its tokens. It waits for a slot like every request,
// whatever its priority.
func (e *Engine) run(ctx context.Context, s *stream) {
	defer s.finish()
	e.count(0, 1)
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.count(0, -1)
		return
	}
	e.count(1, -1)
	defer func() { <-e.slots; e.count(-1, 0) }()
	if !e.computePrefill(ctx, s) {
		return
	}
	for i := range s.maxTokens {
		if !wait(ctx, e.tokenTime()) {
			return
		}
		s.add(Text(s.prompt, i))
	}
	s.complete()
}

func (e *Engine) count(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.queued += queued
}

// computePrefill computes the part of the prompt that is not cached, one prompt at a time.
func (e *Engine) computePrefill(ctx context.Context, s *stream) bool {
	select {
	case e.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	tokens := model.EstimateTokens(s.prompt) - e.cache.lookup(s.prompt)
	e.prefills += tokens
	slow := e.slowdown
	e.mu.Unlock()
	s.setPrefill(tokens)
	seconds := float64(tokens) / float64(e.options.PrefillPerSecond) * slow
	return wait(ctx, time.Duration(seconds*float64(time.Second)))
}

// tokenTime grows with the batch, by half when all slots are used.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := 1 + 0.5*float64(e.running)/float64(e.options.Slots)
	return time.Duration(float64(e.options.TokenTime) * load * e.slowdown)
}

// wait parks until the time has passed; it returns false when the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
