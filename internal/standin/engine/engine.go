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

// Options configures an engine. An engine without a model is a spare: it starts with no model
// loaded.
type Options struct {
	ID     string
	Model  string
	Domain string
	// Slots is the maximum number of requests in a batch.
	Slots int
	// TokenTime is the time between tokens of one stream in an empty batch.
	TokenTime time.Duration
	// PrefillPerSecond is the number of prompt tokens computed per second.
	PrefillPerSecond int
	// CachePrefixes is the capacity of the prefix cache.
	CachePrefixes int
	// LoadLag is the minimum age of a load reading when it is reported.
	LoadLag time.Duration
	// CacheEventGap drops every n-th cache event; zero drops none.
	CacheEventGap int
	Generation    string
	// ChecksFencing makes the engine refuse orders with an old fencing token. Otherwise it
	// ignores the tokens.
	ChecksFencing bool
	// LoadTime is how long it takes to load a model or adapter.
	LoadTime time.Duration
	// OrderArrival is the maximum time between the opening of a connection and the arrival of
	// a complete order on it; zero means no limit.
	OrderArrival time.Duration
}

// normalize fills in defaults.
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

// Engine is a running stand-in for a model engine.
type Engine struct {
	options     Options
	incarnation uint64
	// slots and prefill are semaphores: for running requests, and for the one prompt that is
	// computed at a time.
	slots   chan struct{}
	prefill chan struct{}

	mu       sync.Mutex
	streams  map[string]*stream
	running  int
	queued   int
	slowdown float64
	cache    *prefixCache
	// loadReadings holds load readings until they are old enough to be reported.
	loadReadings []loadReading
	record       *record.Record
	// refused holds the ids of calls that were cancelled before they arrived and must not be
	// admitted.
	refused       map[string]bool
	prefillTokens int
	// models, adapters and role are changed by orders.
	models   []string
	adapters []string
	role     string
	// maxFence is the highest fencing token seen so far.
	maxFence uint64
	// lastAccepted is the last accepted order as announced; orders lists all that arrived.
	lastAccepted frontannounce.Order
	orders       []Order
}

type loadReading struct {
	at   time.Time
	load frontannounce.Load
}

// New returns an engine whose incarnation is the current time.
func New(options Options) *Engine {
	options.normalize()
	e := &Engine{
		options: options, incarnation: uint64(time.Now().UnixNano()),
		slots: make(chan struct{}, options.Slots), prefill: make(chan struct{}, 1),
		streams: make(map[string]*stream), slowdown: 1,
		cache: newPrefixCache(options.CachePrefixes, options.CacheEventGap), record: record.New(),
		refused: make(map[string]bool), lastAccepted: frontannounce.Order{State: model.OrderNone.String()},
	}
	if options.Model != "" {
		e.models = []string{options.Model}
	}
	return e
}

// SetSlowdown multiplies the prefill and token times of the engine by a factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// SetLeaving makes the engine announce from now on that it is leaving.
func (e *Engine) SetLeaving() { e.record.SetLeaving() }

// Executed returns how often each request id was admitted.
func (e *Engine) Executed() map[string]int { return e.record.Executed() }

// PrefillTokens returns the number of prompt tokens computed so far.
func (e *Engine) PrefillTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefillTokens
}

// Announcement returns the current announcement with the given address. Each call takes a load
// reading, and each cache event is in one announcement only.
func (e *Engine) Announcement(address string) frontannounce.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loadReadings = append(e.loadReadings, loadReading{now, frontannounce.Load{Running: e.running, Queued: e.queued, CacheUsed: e.cache.used()}})
	lastAccepted := e.lastAccepted
	a := frontannounce.Announcement{
		ID: e.options.ID, Incarnation: e.incarnation, Address: address, FailureDomain: e.options.Domain,
		Kind: "engine", Models: slices.Clone(e.models), Adapters: slices.Clone(e.adapters), Order: &lastAccepted, Slots: e.options.Slots,
		Generation: e.options.Generation, ChecksFencing: e.options.ChecksFencing, Leaving: e.record.Leaving(),
		CacheEvents: e.cache.takeEvents(),
	}
	for len(e.loadReadings) > 1 && now.Sub(e.loadReadings[1].at) >= e.options.LoadLag {
		e.loadReadings = e.loadReadings[1:]
	}
	if oldest := e.loadReadings[0]; now.Sub(oldest.at) >= e.options.LoadLag {
		load := oldest.load
		load.AgeMS = now.Sub(oldest.at).Milliseconds()
		a.Load = &load
	}
	return a
}

// AnswerToken returns token i of the answer to a prompt.
func AnswerToken(prompt []byte, i int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64(prompt)), i)
}

// run waits for a slot, computes the prompt and generates the tokens of a stream. Every request
// waits for a slot, whatever its priority.
func (e *Engine) run(ctx context.Context, s *stream) {
	defer s.finish()
	e.addCounts(0, 1)
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.addCounts(0, -1)
		return
	}
	e.addCounts(1, -1)
	defer func() { <-e.slots; e.addCounts(-1, 0) }()
	if !e.computePrefill(ctx, s) {
		return
	}
	for i := range s.maxTokens {
		if !sleep(ctx, e.tokenTime()) {
			return
		}
		s.appendToken(AnswerToken(s.prompt, i))
	}
	s.complete()
}

// addCounts adds to the numbers of running and queued requests.
func (e *Engine) addCounts(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.queued += queued
}

// computePrefill computes the part of the prompt that is not cached, one prompt at a time. It
// returns false if the context ends first.
func (e *Engine) computePrefill(ctx context.Context, s *stream) bool {
	select {
	case e.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	tokens := model.EstimateTokens(s.prompt) - e.cache.lookup(s.prompt)
	e.prefillTokens += tokens
	slowdown := e.slowdown
	e.mu.Unlock()
	s.setPrefill(tokens)
	seconds := float64(tokens) / float64(e.options.PrefillPerSecond) * slowdown
	return sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

// tokenTime returns the time between two tokens of a stream. It grows linearly with the number
// of running requests, by half when all slots are in use.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batchFactor := 1 + 0.5*float64(e.running)/float64(e.options.Slots)
	return time.Duration(float64(e.options.TokenTime) * batchFactor * e.slowdown)
}

// sleep blocks until the time has passed; it returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
