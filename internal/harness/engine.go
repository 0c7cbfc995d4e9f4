package harness

import (
	"time"

	"briaryard/internal/model"
)

const (
	// halfRateStreams is the number of streams at which an engine reaches half of its decode rate.
	halfRateStreams = 4
	// cacheCapacityTokens is the capacity of the prefix cache of one engine, enough for a few
	// long proposals.
	cacheCapacityTokens = 40_000
)

// engine simulates a model engine with continuous batching. It computes one prompt at a time,
// all streams share the decode rate, and prefill and decode run at half speed while both are
// active. It admits requests in order of arrival and has no priorities.
type engine struct {
	clock  *clock
	server model.BackendServer
	// prefillRate and decodeRate are in tokens per second at speed 1.
	prefillRate float64
	decodeRate  float64
	speed       float64
	lost        bool

	queue            []*job // no token yet; the prompt of the first is being computed
	streams          []*job
	decodedPerStream float64 // tokens that a stream open since the start would have received
	// advancedTo is the time up to which progress has been computed.
	advancedTo time.Time
	// stepVersion invalidates the steps scheduled before the last change.
	stepVersion int

	lru []uint64 // least recently used first
	// cachedTokens maps each cached prefix to the tokens that it adds to the next shorter one;
	// cacheUsed is their sum.
	cachedTokens  map[uint64]int
	cacheUsed     int
	cacheEvents   []model.CacheEvent
	cacheEventSeq uint64
	onProgress    func(j *job, k model.ProgressKind)
}

// rates returns the tokens per second of the current prompt and of each stream.
func (e *engine) rates() (prefill, decode float64) {
	share := 1.0
	prefilling := len(e.queue) > 0 && len(e.streams) < e.server.Slots
	if prefilling && len(e.streams) > 0 {
		share = 0.5
	}
	if prefilling {
		prefill = e.prefillRate * e.speed * share
	}
	if n := len(e.streams); n > 0 {
		decode = e.decodeRate * e.speed * share / float64(halfRateStreams+n)
	}
	return prefill, decode
}

// advance applies the progress since the last call.
func (e *engine) advance() {
	elapsed := e.clock.now.Sub(e.advancedTo).Seconds()
	e.advancedTo = e.clock.now
	prefill, decode := e.rates()
	e.decodedPerStream += decode * elapsed
	if prefill > 0 {
		j := e.queue[0]
		done := min(prefill*elapsed, j.prefillLeft)
		j.prefillLeft -= done
		j.prefillDone += done
	}
}

// scheduleStep schedules the next step and invalidates earlier ones.
func (e *engine) scheduleStep() {
	e.stepVersion++
	version := e.stepVersion
	if e.lost {
		return
	}
	if len(e.queue) > 0 && !e.queue[0].prefilling && len(e.streams) < e.server.Slots {
		e.startPrefill(e.queue[0])
	}
	prefill, decode := e.rates()
	next := -1.0
	if prefill > 0 {
		next = e.queue[0].prefillLeft / prefill
	}
	for _, j := range e.streams {
		if t := max(j.decodeTarget-e.decodedPerStream, 0) / decode; next < 0 || t < next {
			next = t
		}
	}
	if next < 0 {
		return
	}
	e.clock.after(time.Duration(next*float64(time.Second))+time.Microsecond, func() {
		if version == e.stepVersion {
			e.step()
		}
	})
}

// step starts the stream of a computed prompt, ends finished streams and schedules the next step.
func (e *engine) step() {
	e.advance()
	if prefill, _ := e.rates(); prefill > 0 && e.queue[0].prefillLeft < 1e-6 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.decodeTarget = e.decodedPerStream + float64(j.outputTokens)
		j.firstToken = e.clock.now
		e.streams = append(e.streams, j)
		e.cachePrompt(j)
		e.onProgress(j, model.ProgressFirstToken)
	}
	kept := e.streams[:0]
	var done []*job
	for _, j := range e.streams {
		if j.decodeTarget-e.decodedPerStream < 1e-6 {
			done = append(done, j)
		} else {
			kept = append(kept, j)
		}
	}
	e.streams = kept
	for _, j := range done {
		e.onProgress(j, model.ProgressFinished)
	}
	e.scheduleStep()
}

// startPrefill sets the number of prompt tokens to compute: those that are not cached, at least
// one.
func (e *engine) startPrefill(j *job) {
	j.prefilling = true
	saved := 0
	for i, h := range j.desc.Prefix {
		if _, ok := e.cachedTokens[h]; ok {
			saved = model.PrefixTokens(i)
		}
	}
	j.prefillLeft = float64(max(j.desc.PromptTokens-saved, 1))
}

// cachePrompt caches the prefixes of a prompt and evicts the least recently used ones above the
// capacity.
func (e *engine) cachePrompt(j *job) {
	for i, h := range j.desc.Prefix {
		if _, ok := e.cachedTokens[h]; ok {
			for k := range e.lru {
				if e.lru[k] == h {
					e.lru = append(append(e.lru[:k:k], e.lru[k+1:]...), h)
					break
				}
			}
			continue
		}
		size := model.PrefixTokens(i)
		if i > 0 {
			size -= model.PrefixTokens(i - 1)
		}
		e.cachedTokens[h] = size
		e.lru = append(e.lru, h)
		e.cacheUsed += size
		e.addCacheEvent(h, size, false)
	}
	for e.cacheUsed > cacheCapacityTokens {
		h := e.lru[0]
		e.lru = e.lru[1:]
		e.cacheUsed -= e.cachedTokens[h]
		e.addCacheEvent(h, e.cachedTokens[h], true)
		delete(e.cachedTokens, h)
	}
}

// addCacheEvent records an event for the next cache report.
func (e *engine) addCacheEvent(h uint64, tokens int, evicted bool) {
	e.cacheEventSeq++
	e.cacheEvents = append(e.cacheEvents, model.CacheEvent{
		Server: e.server.ID, Incarnation: 1, Seq: e.cacheEventSeq, Evicted: evicted, Prefix: h, Tokens: tokens,
	})
}

// enqueue adds a job to the queue. A lost engine ignores it.
func (e *engine) enqueue(j *job) {
	if e.lost {
		return
	}
	e.advance()
	e.queue = append(e.queue, j)
	e.scheduleStep()
}

// cancel removes a job from the queue or the streams.
func (e *engine) cancel(j *job) {
	e.advance()
	e.queue = removeJob(e.queue, j)
	e.streams = removeJob(e.streams, j)
	e.scheduleStep()
}

func removeJob(list []*job, j *job) []*job {
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
	e.scheduleStep()
}

// fail marks the engine as lost and returns the jobs that it was running or had queued.
func (e *engine) fail() []*job {
	e.advance()
	e.lost = true
	e.stepVersion++
	jobs := append(append([]*job(nil), e.queue...), e.streams...)
	e.queue, e.streams = nil, nil
	return jobs
}

// loadReport returns the current load of the engine.
func (e *engine) loadReport() model.LoadReport {
	e.advance()
	tokens := 0.0
	for _, j := range e.queue {
		if j.prefilling {
			tokens += j.prefillLeft
		} else {
			tokens += float64(j.desc.PromptTokens)
		}
	}
	e.scheduleStep()
	return model.LoadReport{
		Server: e.server.ID, Incarnation: 1, At: e.clock.now,
		Running: len(e.streams), Queued: len(e.queue), PrefillTokens: int(tokens),
	}
}
