package harness

import (
	"time"

	"briaryard/internal/model"
)

const (
	// batchConstant is the number of streams at which half the decode rate is reached.
	batchConstant = 4
	// cacheTokens is the prefix cache of one engine, a few long proposals.
	cacheTokens = 40_000
)

// engine is a model engine with continuous batching: one prompt is computed at a time, all
// streams share the decode rate, and both halve each other. It admits work in the order of
// arrival and knows no priority.
type engine struct {
	clock   *clock
	record  model.BackendServer
	prefill float64
	decode  float64
	speed   float64
	lost    bool

	queue   []*job // not started; the first is being computed
	streams []*job
	served  float64 // tokens that each stream has received since the start
	changed time.Time
	version int

	cache    []uint64 // least recently used first
	cached   map[uint64]int
	tokens   int
	events   []model.CacheEvent
	eventSeq uint64
	ended    func(j *job, k model.ProgressKind)
}

func (e *engine) rates() (prefill, decode float64) {
	share := 1.0
	prefilling := len(e.queue) > 0 && len(e.streams) < e.record.Slots
	if prefilling && len(e.streams) > 0 {
		share = 0.5
	}
	if prefilling {
		prefill = e.prefill * e.speed * share
	}
	if n := len(e.streams); n > 0 {
		decode = e.decode * e.speed * share / float64(batchConstant+n)
	}
	return prefill, decode
}

// advance applies the time since the last change.
func (e *engine) advance() {
	elapsed := e.clock.now.Sub(e.changed).Seconds()
	e.changed = e.clock.now
	prefill, decode := e.rates()
	e.served += decode * elapsed
	if prefill > 0 {
		j := e.queue[0]
		done := min(prefill*elapsed, j.remaining)
		j.remaining -= done
		j.prefilled += done
	}
}

// schedule sets the next event and makes earlier ones void.
func (e *engine) schedule() {
	e.version++
	version := e.version
	if e.lost {
		return
	}
	if len(e.queue) > 0 && !e.queue[0].computing && len(e.streams) < e.record.Slots {
		e.start(e.queue[0])
	}
	prefill, decode := e.rates()
	next := -1.0
	if prefill > 0 {
		next = e.queue[0].remaining / prefill
	}
	for _, j := range e.streams {
		if t := max(j.mark-e.served, 0) / decode; next < 0 || t < next {
			next = t
		}
	}
	if next < 0 {
		return
	}
	e.clock.after(time.Duration(next*float64(time.Second))+time.Microsecond, func() {
		if version == e.version {
			e.step()
		}
	})
}

func (e *engine) step() {
	e.advance()
	if prefill, _ := e.rates(); prefill > 0 && e.queue[0].remaining < 1e-6 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.mark = e.served + float64(j.output)
		j.firstToken = e.clock.now
		e.streams = append(e.streams, j)
		e.store(j)
		e.ended(j, model.ProgressFirstToken)
	}
	kept := e.streams[:0]
	var done []*job
	for _, j := range e.streams {
		if j.mark-e.served < 1e-6 {
			done = append(done, j)
		} else {
			kept = append(kept, j)
		}
	}
	e.streams = kept
	for _, j := range done {
		e.ended(j, model.ProgressFinished)
	}
	e.schedule()
}

// start computes what the cache saves.
func (e *engine) start(j *job) {
	j.computing = true
	saved := 0
	for i, h := range j.desc.Prefix {
		if _, ok := e.cached[h]; ok {
			saved = model.PrefixTokens(i)
		}
	}
	j.remaining = float64(max(j.desc.PromptTokens-saved, 1))
}

func (e *engine) store(j *job) {
	for i, h := range j.desc.Prefix {
		if _, ok := e.cached[h]; ok {
			for k := range e.cache {
				if e.cache[k] == h {
					e.cache = append(append(e.cache[:k:k], e.cache[k+1:]...), h)
					break
				}
			}
			continue
		}
		size := model.PrefixTokens(i)
		if i > 0 {
			size -= model.PrefixTokens(i - 1)
		}
		e.cached[h] = size
		e.cache = append(e.cache, h)
		e.tokens += size
		e.note(h, size, false)
	}
	for e.tokens > cacheTokens {
		h := e.cache[0]
		e.cache = e.cache[1:]
		e.tokens -= e.cached[h]
		e.note(h, e.cached[h], true)
		delete(e.cached, h)
	}
}

func (e *engine) note(h uint64, tokens int, evicted bool) {
	e.eventSeq++
	e.events = append(e.events, model.CacheEvent{
		Server: e.record.ID, Incarnation: 1, Seq: e.eventSeq, Evicted: evicted, Prefix: h, Tokens: tokens,
	})
}

func (e *engine) admit(j *job) {
	if e.lost {
		return
	}
	e.advance()
	e.queue = append(e.queue, j)
	e.schedule()
}

// cancel removes a job wherever it is.
func (e *engine) cancel(j *job) {
	e.advance()
	e.queue = without(e.queue, j)
	e.streams = without(e.streams, j)
	e.schedule()
}

func without(list []*job, j *job) []*job {
	for i := range list {
		if list[i] == j {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

func (e *engine) lose() []*job {
	e.advance()
	e.lost = true
	e.version++
	jobs := append(append([]*job(nil), e.queue...), e.streams...)
	e.queue, e.streams = nil, nil
	return jobs
}

// report is a reading of the engine's load.
func (e *engine) report() model.LoadReport {
	e.advance()
	tokens := 0.0
	for _, j := range e.queue {
		if j.computing {
			tokens += j.remaining
		} else {
			tokens += float64(j.desc.PromptTokens)
		}
	}
	e.schedule()
	return model.LoadReport{
		Server: e.record.ID, Incarnation: 1, At: e.clock.now,
		Running: len(e.streams), Queued: len(e.queue), PrefillTokens: int(tokens),
	}
}
