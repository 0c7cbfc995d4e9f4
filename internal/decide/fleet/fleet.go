package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Fleet tracks the backend servers of one pool.
type Fleet struct {
	newLimiter  NewLaw
	random      *rand.Rand
	servers     map[model.BackendServerID]*server
	generations map[string]*speed
	prefixes    prefixIndex
	// accepting lists the servers that can take a request; totalRoom is the sum of the room in
	// all windows.
	accepting []*server
	totalRoom int
	// totalWindow is the sum of the windows of the usable servers.
	totalWindow int
	// candidates is reused by Choose.
	candidates []candidate
	usable     int
	// resumed counts the requests taken over from an earlier dispatcher, the last at resumedAt.
	resumed   int
	resumedAt time.Time
}

// New returns a fleet without servers. The seed makes its choices reproducible.
func New(newLimiter NewLaw, seed uint64) *Fleet {
	return &Fleet{
		newLimiter:  newLimiter,
		random:      rand.New(rand.NewPCG(seed, seed)),
		servers:     make(map[model.BackendServerID]*server),
		generations: make(map[string]*speed),
		prefixes:    prefixIndex{holders: make(map[uint64][]*cacheEntry)},
	}
}

// Set replaces the list of servers. A server with a new incarnation starts without learned
// state; the work granted to its old incarnation is still counted there until it ends.
func (f *Fleet) Set(records []model.BackendServer) {
	for _, s := range f.servers {
		s.listed = false
	}
	for i := range records {
		r := records[i]
		s := f.servers[r.ID]
		if s != nil && s.record.Incarnation > r.Incarnation {
			continue
		}
		if s == nil || s.record.Incarnation < r.Incarnation {
			if s != nil {
				f.removeFromIndexes(s)
			}
			s = f.addServer(r)
		} else if s.limiter == nil || s.record.Slots != r.Slots || s.record.Generation != r.Generation {
			s.record = r
			s.limiter = f.newLimiter(r.Slots)
			s.generation = f.generationSpeed(r.Generation)
		}
		s.record = r
		s.listed = true
	}
	f.usable = 0
	for _, g := range f.generations {
		g.minConcurrency = 0
	}
	// Sorted, because the order of updates determines the order of the accepting servers and
	// with it the outcome of random choices.
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if !s.listed && s.inFlight == 0 {
			f.removeFromIndexes(s)
			delete(f.servers, id)
			continue
		}
		f.updateIndexes(s)
		if s.usable() {
			f.usable++
			if c := s.concurrency(1); s.generation.minConcurrency == 0 || c < s.generation.minConcurrency {
				s.generation.minConcurrency = c
			}
		}
	}
}

// Usable returns the number of servers that may get work.
func (f *Fleet) Usable() int { return f.usable }

// Free returns the number of further requests that the windows admit in total.
func (f *Fleet) Free() int { return f.totalRoom }

// Slots returns the sum of the windows of the usable servers.
func (f *Fleet) Slots() int { return f.totalWindow }

// Load applies a load report.
func (f *Fleet) Load(r model.LoadReport) {
	if s := f.servers[r.Server]; s != nil {
		s.applyLoad(r)
	}
}

// Cache applies a cache event.
func (f *Fleet) Cache(e model.CacheEvent) {
	if s := f.servers[e.Server]; s != nil {
		f.prefixes.apply(s, e)
	}
}

// Begin records a granted request in w, which the caller keeps until the work has ended. A
// server that is not listed yet, as after a change of dispatcher, is added so that its count
// is right once it is listed.
func (f *Fleet) Begin(now time.Time, w *Work, d *model.Descriptor, g model.Grant) {
	s := f.servers[g.Server]
	if s == nil {
		s = f.addServer(model.BackendServer{ID: g.Server, Incarnation: g.Incarnation})
	}
	if s.record.Incarnation != g.Incarnation {
		// The work runs on an incarnation that gets no more work.
		s = &server{record: model.BackendServer{ID: g.Server}, limiter: f.newLimiter(1), generation: &speed{}, acceptingIndex: -1}
	}
	*w = Work{server: s, grantedAt: now, prompt: d.PromptTokens, output: d.OutputTokens, pendingBefore: s.pendingTokens}
	w.uncached = max(d.PromptTokens-cachedTokens(s, d), 1)
	s.inFlight++
	w.inFlight = s.inFlight
	s.pendingTokens += w.uncached
	s.grantedSinceReport += w.uncached
	s.link(w)
	if !s.isPlain() {
		for i, hash := range d.Prefix {
			f.prefixes.add(s, hash, prefixStep(i))
		}
	}
	f.updateIndexes(s)
}

// Resume records a request that an earlier dispatcher granted. Its prompt counts as computed:
// the earlier lease expired after the grant, which takes longer than most prompts.
func (f *Fleet) Resume(now time.Time, w *Work, d *model.Descriptor, g model.Grant) {
	f.Begin(now, w, d, g)
	w.started = true
	w.server.pendingTokens -= w.uncached
	w.server.grantedSinceReport -= w.uncached
	f.updateIndexes(w.server)
	w.server.resumed++
	f.resumed++
	f.resumedAt = now
}

// Failed records that granted work failed at a time. Progress is called afterwards.
func (f *Fleet) Failed(now time.Time, w *Work) {
	if !w.started && !w.ended {
		w.server.failed(now)
	}
}

// Progress applies a progress report of granted work.
func (f *Fleet) Progress(w *Work, p model.Progress) {
	if w.ended {
		return
	}
	s := w.server
	if !w.started && (p.Kind == model.ProgressFirstToken || p.Kind.Final()) {
		w.started = true
		s.pendingTokens -= w.uncached
		if p.Kind != model.ProgressFailed && p.FirstToken > 0 {
			s.pause = 0
		}
		if p.FirstToken > 0 && !s.isPlain() {
			f.observeFirstToken(s, w, p.FirstToken)
		}
	}
	if p.Kind.Final() {
		if p.PerToken > 0 && p.Tokens > 1 && !s.isPlain() {
			f.observePerToken(s, w, p.PerToken)
		}
		w.ended = true
		s.inFlight--
		s.unlink(w)
	}
	f.updateIndexes(s)
	if s.inFlight == 0 && !s.listed && f.servers[s.record.ID] == s {
		f.removeFromIndexes(s)
		delete(f.servers, s.record.ID)
	}
}

// observeFirstToken updates the prefill speeds and the window with the time to a first token.
func (f *Fleet) observeFirstToken(s *server, w *Work, took time.Duration) {
	work := float64(w.pendingBefore + w.uncached)
	expected := work*f.referencePrefillCost(s) + firstTokenBase.Seconds()
	sample := max(took-firstTokenBase, time.Microsecond).Seconds() / work
	weight := min(work/fullSampleTokens, 1)
	if weight < 0.1 {
		return
	}
	s.speed.addPrefill(sample, weight, serverSmoothing)
	s.generation.addPrefill(sample, weight, generationSmoothing)
	if s.generation.prefillSamples >= minReferenceSamples {
		s.limiter.Observe(Observation{Ratio: expected / took.Seconds(), InFlight: s.inFlight})
	}
}

// observePerToken updates the decode speeds and the window with a mean time between tokens.
func (f *Fleet) observePerToken(s *server, w *Work, took time.Duration) {
	sample := took.Seconds() / s.concurrency((w.inFlight+s.inFlight)/2)
	ratio := 1.0
	if s.generation.decodeSamples > 0 {
		ratio = s.generation.decode / sample
	}
	s.speed.addDecode(sample, serverSmoothing)
	s.generation.addDecode(sample, generationSmoothing)
	if s.generation.decodeSamples >= minReferenceSamples {
		s.limiter.Observe(Observation{Ratio: ratio, InFlight: s.inFlight})
	}
}

// referencePrefillCost returns the prefill cost of a healthy server of the generation.
func (f *Fleet) referencePrefillCost(s *server) float64 {
	if s.generation.known() {
		return s.generation.prefill
	}
	return s.prefillCost()
}

func (f *Fleet) addServer(r model.BackendServer) *server {
	s := &server{record: r, limiter: f.newLimiter(r.Slots), generation: f.generationSpeed(r.Generation), acceptingIndex: -1}
	f.servers[r.ID] = s
	return s
}

func (f *Fleet) generationSpeed(generation string) *speed {
	g := f.generations[generation]
	if g == nil {
		g = &speed{}
		f.generations[generation] = g
	}
	return g
}

// removeFromIndexes unlists a server and removes its prefixes and its part of the totals.
func (f *Fleet) removeFromIndexes(s *server) {
	s.listed = false
	f.prefixes.clear(s)
	f.updateIndexes(s)
}

// updateIndexes updates the totals and the list of accepting servers after a change of a
// server.
func (f *Fleet) updateIndexes(s *server) {
	room := s.room()
	f.totalRoom += room - s.countedRoom
	s.countedRoom = room
	window := 0
	if s.usable() {
		window = s.window()
	}
	f.totalWindow += window - s.countedWindow
	s.countedWindow = window
	accepts := s.accepts()
	switch {
	case accepts && s.acceptingIndex < 0:
		s.acceptingIndex = len(f.accepting)
		f.accepting = append(f.accepting, s)
	case !accepts && s.acceptingIndex >= 0:
		last := f.accepting[len(f.accepting)-1]
		f.accepting[s.acceptingIndex] = last
		last.acceptingIndex = s.acceptingIndex
		f.accepting = f.accepting[:len(f.accepting)-1]
		s.acceptingIndex = -1
	}
}
