package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/model"
)

// Fleet knows the backend servers of one pool.
type Fleet struct {
	newLaw      NewLaw
	random      *rand.Rand
	servers     map[model.BackendServerID]*server
	generations map[string]*speed
	prefixes    prefixes
	// open lists the servers whose windows have room; free is the sum of their room.
	open []*server
	free int
	// windows is the sum of the windows of the usable servers.
	windows int
	// candidates is reused by Choose.
	candidates []candidate
	usable     int
	// resumed counts the requests that an earlier dispatcher granted, the last at resumedAt.
	resumed   int
	resumedAt time.Time
}

// New returns a fleet without servers. The seed makes its choices repeatable.
func New(newLaw NewLaw, seed uint64) *Fleet {
	return &Fleet{
		newLaw:      newLaw,
		random:      rand.New(rand.NewPCG(seed, seed)),
		servers:     make(map[model.BackendServerID]*server),
		generations: make(map[string]*speed),
		prefixes:    prefixes{holders: make(map[uint64][]*cached)},
	}
}

// Set takes the present servers. A server with a new incarnation starts without knowledge;
// the work granted to its old incarnation stays counted there until it ends.
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
				f.drop(s)
			}
			s = f.create(r)
		} else if s.law == nil || s.record.Slots != r.Slots || s.record.Generation != r.Generation {
			s.record = r
			s.law = f.newLaw(r.Slots)
			s.generation = f.speedOf(r.Generation)
		}
		s.record = r
		s.listed = true
	}
	f.usable = 0
	for _, g := range f.generations {
		g.idle = 0
	}
	// Sorted, because the order of refreshes sets the order of the open servers and with it
	// the outcome of random choices.
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if !s.listed && s.inFlight == 0 {
			f.drop(s)
			delete(f.servers, id)
			continue
		}
		f.refresh(s)
		if s.usable() {
			f.usable++
			if c := s.concurrency(1); s.generation.idle == 0 || c < s.generation.idle {
				s.generation.idle = c
			}
		}
	}
}

// Usable returns the number of servers that may get work.
func (f *Fleet) Usable() int { return f.usable }

// Free returns the number of requests that the windows admit in total.
func (f *Fleet) Free() int { return f.free }

// Slots returns the sum of the windows of the usable servers.
func (f *Fleet) Slots() int { return f.windows }

// Load takes a load report.
func (f *Fleet) Load(r model.LoadReport) {
	if s := f.servers[r.Server]; s != nil {
		s.load(r)
	}
}

// Cache takes a cache event.
func (f *Fleet) Cache(e model.CacheEvent) {
	if s := f.servers[e.Server]; s != nil {
		f.prefixes.event(s, e)
	}
}

// Begin counts a granted request in w, which the caller keeps until the work has ended. A server that is not listed yet, as after a change of
// dispatcher, is recorded so that the count is right when it is.
func (f *Fleet) Begin(now time.Time, w *Work, d *model.Descriptor, g model.Grant) {
	s := f.servers[g.Server]
	if s == nil {
		s = f.create(model.BackendServer{ID: g.Server, Incarnation: g.Incarnation})
	}
	if s.record.Incarnation != g.Incarnation {
		// The work runs on an incarnation that no longer gets any.
		s = &server{record: model.BackendServer{ID: g.Server}, law: f.newLaw(1), generation: &speed{}, open: -1}
	}
	*w = Work{server: s, begun: now, prompt: d.PromptTokens, output: d.OutputTokens, ahead: s.pending}
	w.uncached = max(d.PromptTokens-saved(s, d), 1)
	s.inFlight++
	w.inFlight = s.inFlight
	s.pending += w.uncached
	s.since += w.uncached
	s.link(w)
	if !s.plain() {
		for i, hash := range d.Prefix {
			f.prefixes.add(s, hash, step(i))
		}
	}
	f.refresh(s)
}

// Resume counts a request that an earlier dispatcher granted. Its prompt counts as computed:
// the earlier lease ran out after the grant, which takes longer than most prompts.
func (f *Fleet) Resume(now time.Time, w *Work, d *model.Descriptor, g model.Grant) {
	f.Begin(now, w, d, g)
	w.started = true
	w.server.pending -= w.uncached
	w.server.since -= w.uncached
	f.refresh(w.server)
	w.server.resumed++
	f.resumed++
	f.resumedAt = now
}

// Failed takes the time at which granted work failed. Progress follows.
func (f *Fleet) Failed(now time.Time, w *Work) {
	if !w.started && !w.ended {
		w.server.failed(now)
	}
}

// Progress takes the course of granted work.
func (f *Fleet) Progress(w *Work, p model.Progress) {
	if w.ended {
		return
	}
	s := w.server
	if !w.started && (p.Kind == model.ProgressFirstToken || p.Kind.Final()) {
		w.started = true
		s.pending -= w.uncached
		if p.Kind != model.ProgressFailed && p.FirstToken > 0 {
			s.pause = 0
		}
		if p.FirstToken > 0 && !s.plain() {
			f.firstToken(s, w, p.FirstToken)
		}
	}
	if p.Kind.Final() {
		if p.PerToken > 0 && p.Tokens > 1 && !s.plain() {
			f.perToken(s, w, p.PerToken)
		}
		w.ended = true
		s.inFlight--
		s.unlink(w)
	}
	f.refresh(s)
	if s.inFlight == 0 && !s.listed && f.servers[s.record.ID] == s {
		f.drop(s)
		delete(f.servers, s.record.ID)
	}
}

func (f *Fleet) firstToken(s *server, w *Work, took time.Duration) {
	work := float64(w.ahead + w.uncached)
	expected := work*f.reference(s) + firstTokenBase.Seconds()
	sample := max(took-firstTokenBase, time.Microsecond).Seconds() / work
	weight := min(work/fullSampleTokens, 1)
	if weight < 0.1 {
		return
	}
	s.speed.addPrefill(sample, weight, serverRate)
	s.generation.addPrefill(sample, weight, generationRate)
	if s.generation.prefillSamples >= enoughSamples {
		s.law.Observe(Observation{Ratio: expected / took.Seconds(), InFlight: s.inFlight})
	}
}

func (f *Fleet) perToken(s *server, w *Work, took time.Duration) {
	sample := took.Seconds() / s.concurrency((w.inFlight+s.inFlight)/2)
	ratio := 1.0
	if s.generation.unitSamples > 0 {
		ratio = s.generation.unit / sample
	}
	s.speed.addUnit(sample, serverRate)
	s.generation.addUnit(sample, generationRate)
	if s.generation.unitSamples >= enoughSamples {
		s.law.Observe(Observation{Ratio: ratio, InFlight: s.inFlight})
	}
}

// reference is the prompt cost of a healthy server of the generation.
func (f *Fleet) reference(s *server) float64 {
	if s.generation.known() {
		return s.generation.prefill
	}
	return s.prefillCost()
}

func (f *Fleet) create(r model.BackendServer) *server {
	s := &server{record: r, law: f.newLaw(r.Slots), generation: f.speedOf(r.Generation), open: -1}
	f.servers[r.ID] = s
	return s
}

func (f *Fleet) speedOf(generation string) *speed {
	g := f.generations[generation]
	if g == nil {
		g = &speed{}
		f.generations[generation] = g
	}
	return g
}

// drop removes a server from the indexes.
func (f *Fleet) drop(s *server) {
	s.listed = false
	f.prefixes.clear(s)
	f.refresh(s)
}

// refresh updates the server's place in the index of open servers.
func (f *Fleet) refresh(s *server) {
	room := s.room()
	f.free += room - s.free
	s.free = room
	window := 0
	if s.usable() {
		window = s.window()
	}
	f.windows += window - s.counted
	s.counted = window
	accepts := s.accepts()
	switch {
	case accepts && s.open < 0:
		s.open = len(f.open)
		f.open = append(f.open, s)
	case !accepts && s.open >= 0:
		last := f.open[len(f.open)-1]
		f.open[s.open] = last
		last.open = s.open
		f.open = f.open[:len(f.open)-1]
		s.open = -1
	}
}
