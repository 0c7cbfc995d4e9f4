package schedule_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"briaryard/internal/decide/schedule"
	"briaryard/internal/model"
)

// Figures of the modelled engines: 4.63 ms for a step, 41.4 prompt tokens read in a millisecond, 2,048
// of them in a step at most, an event for every fifth token.
const (
	stepTime      = 4630 * time.Microsecond
	tokensPerMs   = 41.4
	chunkTokens   = 2048
	strideTokens  = 5
	engineSlots   = 7
	engineMemory  = 221_128
	patience      = 3200 * time.Millisecond
	callerRetries = 1
	gapAim        = 400 * time.Millisecond
)

// kind is a kind of request as the sheets describe it.
type kind struct {
	name            string
	rank            int
	perSecond       float64
	prompt, events  float64
	promptCV        float64
	maxEvents       float64
	aim, deadline   time.Duration
	worth, lateGain float64
}

var kinds = []kind{
	{"proposal", 0, 152, 2890, 10.4, 1.0, 100, 600 * time.Millisecond, 6 * time.Second, 6.5, 1.9},
	{"summary", 1, 187, 1800, 4.51, 1.3, 45, 500 * time.Millisecond, 4 * time.Second, 2.1, 0.62},
	{"chat", 2, 190, 543, 56, 0.89, 560, 400 * time.Millisecond, 15 * time.Second, 0.38, 0.11},
}

// load is a pattern: the factor on the rate of a kind at a time.
type load func(kind int, at time.Duration) float64

type caller struct {
	kind           int
	prompt, events int
	hint           int
	since, asked   time.Time
	tries          int
	served, late   bool
	ended          bool
}

type run struct {
	caller   *caller
	id       model.RequestID
	prefill  int
	tokens   int
	sent     time.Time
	first    time.Time
	event    time.Time
	deadline time.Time
}

type simEngine struct {
	id    model.BackendServerID
	speed float64
	runs  []*run
	busy  bool
}

type simEvent struct {
	at time.Time
	do func()
}

type agenda []simEvent

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(simEvent)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// world plays a load pattern against modelled engines.
type world struct {
	s       *schedule.Scheduler
	rand    *rand.Rand
	now     time.Time
	agenda  agenda
	engines map[model.BackendServerID]*simEngine
	runs    map[model.RequestID]*run
	waiting map[model.RequestID]*caller
	callers []*caller
	seq     uint64
	// wasted is the slot time of answers that were cut at their deadline.
	wasted, used time.Duration
	// refusals counts all refusals, and idle those while more than half of the slots were free.
	refusals, idle int
	// held is the time for which requests that were refused had waited.
	held time.Duration
	// left counts the callers that left after their request had been granted.
	left int
	// paused counts the answers that are late for a pause alone.
	paused int
}

func (w *world) at(t time.Time, do func()) { heap.Push(&w.agenda, simEvent{t, do}) }

func lognormal(r *rand.Rand, mean, cv, most float64) float64 {
	v := math.Log(1 + cv*cv)
	return min(math.Exp(math.Log(mean)-v/2+math.Sqrt(v)*r.NormFloat64()), most)
}

func newWorld(seed uint64, engines int) *world {
	w := &world{
		s: schedule.New(schedule.Options{Share: 1}), rand: rand.New(rand.NewPCG(seed, 1)), now: start,
		engines: map[model.BackendServerID]*simEngine{}, runs: map[model.RequestID]*run{}, waiting: map[model.RequestID]*caller{},
	}
	w.s.SetDocument(start, &model.Document{Services: map[model.PoolID]model.RoutedService{
		"llm": {ID: "llm", Engine: &model.EngineLimits{Slots: engineSlots, MemoryTokens: engineMemory, EventTokens: strideTokens}},
	}})
	var all []model.BackendServer
	for i := range engines {
		r := record(fmt.Sprintf("e%03d", i), "llm")
		r.Slots = engineSlots
		all = append(all, r)
		w.engines[r.ID] = &simEngine{id: r.ID, speed: []float64{0.6, 1.7, 1.7}[i%3]}
	}
	w.s.SetServers(start, all)
	return w
}

// play runs a pattern for a time; scale is the part of the sheet's rates.
func (w *world) play(length time.Duration, scale float64, l load) {
	for k := range kinds {
		w.arrive(k, length, scale, l)
	}
	w.at(start, w.tick)
	end := start.Add(length)
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(simEvent)
		w.now = e.at
		if w.now.After(end.Add(16 * time.Second)) {
			return
		}
		e.do()
		w.settle()
	}
}

func (w *world) tick() {
	w.s.Tick(w.now)
	w.at(w.now.Add(20*time.Millisecond), w.tick)
}

func (w *world) arrive(k int, length time.Duration, scale float64, l load) {
	at := w.now.Sub(start)
	rate := kinds[k].perSecond * scale * l(k, at)
	next := w.now.Add(time.Duration(w.rand.ExpFloat64() / rate * float64(time.Second)))
	if next.After(start.Add(length)) {
		return
	}
	w.at(next, func() {
		q := &kinds[k]
		c := &caller{
			kind: k, since: w.now, prompt: int(lognormal(w.rand, q.prompt, q.promptCV, q.prompt*6)) + 60,
			events: int(lognormal(w.rand, q.events*1.1, 2.4, q.maxEvents)) + 1,
		}
		c.hint = int(float64(c.events*strideTokens) * math.Exp(0.5*w.rand.NormFloat64()))
		w.callers = append(w.callers, c)
		w.ask(c)
		w.arrive(k, length, scale, l)
	})
}

func (w *world) ask(c *caller) {
	q := &kinds[c.kind]
	w.seq++
	id := model.RequestID{Instance: "i", Incarnation: 1, Seq: w.seq}
	end := c.since.Add(q.deadline)
	until := w.now.Add(patience)
	if end.Before(until) {
		until = end
	}
	c.tries++
	c.asked = w.now
	w.waiting[id] = c
	w.s.Ask(w.now, schedule.Want{
		ID: id, Service: "llm", Rank: q.rank, Prompt: c.prompt, Output: int(q.maxEvents) * strideTokens, Expected: c.hint, Domain: "d1",
		Arrived: w.now, OnTime: w.now.Add(q.aim), Until: until.Add(-15 * time.Millisecond), End: end,
	})
}

// settle carries out the scheduler's decisions.
func (w *world) settle() {
	for _, d := range w.s.Take() {
		c := w.waiting[d.ID]
		delete(w.waiting, d.ID)
		if d.Denied {
			w.refusals++
			w.held += w.now.Sub(c.asked)
			if 2*len(w.runs) < len(w.engines)*engineSlots {
				w.idle++
			}
			w.refused(c, d.RetryAfter)
			continue
		}
		r := &run{caller: c, id: d.ID, prefill: c.prompt, sent: w.now, deadline: c.since.Add(kinds[c.kind].deadline)}
		w.runs[d.ID] = r
		e := w.engines[d.Server.ID]
		e.runs = append(e.runs, r)
		w.at(c.asked.Add(patience), func() { w.leave(e, r) })
		w.step(e)
	}
}

// leave ends a run whose caller has had no event within its patience.
func (w *world) leave(e *simEngine, r *run) {
	if w.runs[r.id] != r || r.tokens > 0 {
		return
	}
	w.left++
	w.end(e, r, schedule.Cancelled)
}

func (w *world) end(e *simEngine, r *run, o schedule.Outcome) {
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	delete(w.runs, r.id)
	r.caller.ended = true
	w.used += w.now.Sub(r.sent)
	report := schedule.Report{ID: r.id, Server: e.id, Outcome: o, Events: (r.tokens + strideTokens - 1) / strideTokens}
	if o == schedule.Finished {
		r.caller.served = true
		report.First, report.Rest = r.first.Sub(r.sent), w.now.Sub(r.first)
	} else {
		w.wasted += w.now.Sub(r.sent)
	}
	w.s.Report(w.now, report)
}

func (w *world) refused(c *caller, after time.Duration) {
	left := c.since.Add(kinds[c.kind].deadline).Sub(w.now)
	after = min(after, left/3)
	if c.tries > callerRetries || left < 100*time.Millisecond {
		c.ended = true
		return
	}
	w.at(w.now.Add(after), func() { w.ask(c) })
}

// step begins the next step of an engine that is idle.
func (w *world) step(e *simEngine) {
	if e.busy || len(e.runs) == 0 {
		return
	}
	e.busy = true
	room, read, context := chunkTokens, 0, 0
	batch := slices.Clone(e.runs[:min(len(e.runs), engineSlots)])
	for _, r := range batch {
		part := min(r.prefill, room)
		r.prefill -= part
		room, read = room-part, read+part
		context += r.caller.prompt + r.tokens
	}
	took := time.Duration(e.speed * (float64(stepTime) + (float64(read)/tokensPerMs+0.0161*float64(context)/1000+0.0116*float64(len(batch)))*float64(time.Millisecond)))
	w.at(w.now.Add(took), func() {
		e.busy = false
		for _, r := range batch {
			if r.prefill == 0 && w.runs[r.id] == r {
				w.token(e, r)
			}
		}
		w.step(e)
	})
}

func (w *world) token(e *simEngine, r *run) {
	r.tokens++
	if r.tokens == 1 {
		r.first = w.now
		r.caller.late = w.now.Sub(r.caller.since) > kinds[r.caller.kind].aim
		w.s.Report(w.now, schedule.Report{ID: r.id, Server: e.id, Outcome: schedule.Began, First: w.now.Sub(r.sent)})
	}
	events := (r.tokens + strideTokens - 1) / strideTokens
	if r.tokens%strideTokens == 1 {
		if r.tokens > 1 && w.now.Sub(r.event) > gapAim {
			if !r.caller.late {
				w.paused++
			}
			r.caller.late = true
		}
		r.event = w.now
	}
	whole := events >= r.caller.events
	if !whole && w.now.Before(r.deadline) {
		return
	}
	outcome := schedule.Finished
	if !whole {
		outcome = schedule.Cancelled
	}
	w.end(e, r, outcome)
}

// outcome sums up what callers of a kind got.
type outcome struct {
	asked, served, timely int
	credit                float64
	// large and upper are the served shares of the largest tenth and the fifth below it.
	large, upper float64
}

func (o outcome) share() float64 { return float64(o.served) / float64(max(o.asked, 1)) }

func (w *world) outcome(k int) outcome {
	var o outcome
	var list []*caller
	var owed float64
	for _, c := range w.callers {
		if c.kind == k {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *caller) int { return a.prompt + 50*a.events - b.prompt - 50*b.events })
	mean := 0.0
	for _, c := range list {
		mean += float64(c.prompt+50*c.events) / float64(len(list))
	}
	part := func(from, to float64) float64 {
		n, served := 0, 0
		for _, c := range list[int(from*float64(len(list))):int(to*float64(len(list)))] {
			n++
			if c.served {
				served++
			}
		}
		return float64(served) / float64(max(n, 1))
	}
	for _, c := range list {
		size := min(0.3+0.7*float64(c.prompt+50*c.events)/mean, 4)
		o.asked++
		owed += size * kinds[k].worth
		switch {
		case c.served && !c.late:
			o.served++
			o.timely++
			o.credit += size * kinds[k].worth
		case c.served:
			o.served++
			o.credit += size * kinds[k].lateGain
		}
	}
	o.credit /= owed
	o.large, o.upper = part(0.9, 1), part(0.7, 0.9)
	return o
}

func (w *world) print(t *testing.T) {
	t.Helper()
	served, asked := 0, 0
	var credit, owed float64
	for k := range kinds {
		o := w.outcome(k)
		served, asked = served+o.served, asked+o.asked
		credit += o.credit * float64(o.asked) * kinds[k].worth
		owed += float64(o.asked) * kinds[k].worth
		t.Logf("%-9s asked %5d served %.3f timely %.3f credit %.3f, of the largest tenth %.3f, the fifth below %.3f",
			kinds[k].name, o.asked, o.share(), float64(o.timely)/float64(max(o.asked, 1)), o.credit, o.large, o.upper)
	}
	t.Logf("credit %.4f served %.4f; slot time used %.0f s, wasted %.0f s; %d refusals after %.2f s, %d callers left, %d answers late for a pause",
		credit/owed, float64(served)/float64(asked), w.used.Seconds(), w.wasted.Seconds(),
		w.refusals, w.held.Seconds()/float64(max(w.refusals, 1)), w.left, w.paused)
}

// between returns a load that is higher by a factor during a span, for one kind or, if that is
// negative, for all.
func between(from, to time.Duration, factor float64, only int) load {
	return func(kind int, at time.Duration) float64 {
		if at >= from && at < to && (only < 0 || kind == only) {
			return factor
		}
		return 1
	}
}

const chats = 2

// fleets are the deployments of the patterns: engines, and the part of the kinds' rates.
var fleets = []struct {
	engines int
	scale   float64
}{{60, 1}, {12, 0.2}}

// Guards, under a load a tenth above what the engines can do and with bursts on top, against refusals
// while slots are free and against a class of sizes that starves.
//
// The bounds are the users': no refusal while under half of the places are taken; the largest tenth
// of a kind and the fifth below it are served at least half as often as the kind.
func TestOverloadUsesTheSlotsAndServesAllSizes(t *testing.T) {
	patterns := map[string]load{
		"steady":         between(0, 0, 1, -1),
		"burst of all":   between(500*time.Millisecond, 5500*time.Millisecond, 1.6, -1),
		"long burst":     between(0, 30*time.Second, 1.5, -1),
		"urgent burst":   between(10*time.Second, 14*time.Second, 4, 0),
		"burst of chats": between(10*time.Second, 20*time.Second, 2.5, chats),
	}
	for name, l := range patterns {
		for _, f := range fleets {
			t.Run(fmt.Sprintf("%s on %d engines", name, f.engines), func(t *testing.T) {
				g := NewWithT(t)
				w := newWorld(1, f.engines)
				w.play(30*time.Second, f.scale, l)
				w.print(t)
				g.Expect(w.idle).To(BeZero(), "refusals while more than half of the slots were free, of %d", w.refusals)
				for k := range kinds {
					o := w.outcome(k)
					g.Expect(min(o.large, o.upper)).To(BeNumerically(">=", o.share()/2), kinds[k].name)
				}
			})
		}
	}
}

// Guards, under the same load, against urgent requests that pay for better used slots: at the sheets'
// rate and above it their credit stays within 4 in 100 of what is owed.
func TestOverloadOfChatsLeavesUrgentRequestsOnTime(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d engines", f.engines), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(2, f.engines)
			w.play(30*time.Second, f.scale, between(10*time.Second, 20*time.Second, 2.5, chats))
			w.print(t)
			for k := range chats {
				g.Expect(w.outcome(k).credit).To(BeNumerically(">=", 0.96), kinds[k].name)
			}
		})
	}
}

// BenchmarkOverload measures the time of the whole model, most of which is the scheduler's, for each
// request of a fleet of 140 engines under half as much again as it can do.
func BenchmarkOverload(b *testing.B) {
	for range b.N {
		w := newWorld(1, 140)
		w.play(10*time.Second, 4, between(0, 0, 1, -1))
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(w.callers)), "us/request")
	}
}
