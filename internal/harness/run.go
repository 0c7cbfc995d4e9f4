package harness

import (
	"briaryard/internal/port"
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

const (
	// maxTries bounds the immediate retries of a refused request.
	maxTries   = 4
	retryDelay = 10 * time.Millisecond
	// reportInterval and reportDelay make load reports stale; cacheDelay and cacheLoss make
	// cache events late and incomplete.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 300 * time.Millisecond
	cacheDelay     = 700 * time.Millisecond
	cacheLoss      = 0.05
	// goneDelay is the time until the membership removes a lost engine.
	goneDelay = 2 * time.Second
	tick      = 20 * time.Millisecond
	// leaseTime is the longest time without a dispatcher: the lease with clock drift, a tick
	// of the control leader, and the heartbeat that tells the next holder.
	leaseTime = port.LeaseDuration*(100+port.MaxClockDrift)/100 + 50*time.Millisecond + port.HeartbeatInterval
)

// Scenario is what happens in a run besides the load. Zero times mean never.
type Scenario struct {
	Load             float64
	Length           time.Duration
	Slow, Lost, Kill time.Duration
	// Extra is the factor by which the last team exceeds its demand; 0 means 1.
	Extra float64
	// ExtraTier restricts the extra requests to a tier; 0 means all tiers.
	ExtraTier model.Tier
}

type run struct {
	workload  Workload
	scenario  Scenario
	seed      uint64
	random    *rand.Rand
	clock     clock
	engines   []*engine
	byID      map[model.BackendServerID]*engine
	jobs      map[model.RequestID]*job
	seq       uint64
	start     time.Time
	policy    scheduler
	result    *Result
	leaseTime time.Duration
}

// Policies are the names that Run accepts.
var Policies = []string{"briaryard", "round-robin", "least-outstanding", "prefix-affinity"}

// Run drives a policy through a scenario.
func Run(policy string, law fleet.NewLaw, w Workload, sc Scenario, seed uint64) *Result {
	r := &run{
		workload: w, scenario: sc, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[model.BackendServerID]*engine), jobs: make(map[model.RequestID]*job),
		start: time.Unix(1_000_000, 0), result: newResult(policy, w.Name, seed), leaseTime: leaseTime,
	}
	r.clock.now = r.start
	r.build()
	r.policy = r.newPolicy(policy, law)
	r.script()
	r.clock.runUntil(r.start.Add(sc.Length))
	return r.result
}

func (r *run) newPolicy(name string, law fleet.NewLaw) scheduler {
	b := &baseline{run: r, outstanding: make(map[*engine]int), seen: make(map[*engine]map[uint64]bool)}
	switch name {
	case "round-robin":
		b.choose = roundRobin
	case "least-outstanding":
		b.choose = leastOutstanding
	case "prefix-affinity":
		b.choose = prefixAffinity
	default:
		s := &pooled{run: r, law: law}
		s.init(nil)
		return s
	}
	return b
}

func (r *run) build() {
	for i := range r.workload.Engines {
		e := &engine{
			clock: &r.clock, prefill: basePrefill, decode: baseDecode, speed: generationSpeed[i%3],
			changed: r.clock.now, cached: make(map[uint64]int), ended: r.ended,
			record: model.BackendServer{
				ID: model.BackendServerID(fmt.Sprintf("e%03d", i)), Incarnation: 1, Domain: r.workload.domain(i),
				Slots: slots, Generation: fmt.Sprint("g", i%3), Pools: []model.PoolID{"m"},
			},
		}
		r.engines = append(r.engines, e)
		r.byID[e.record.ID] = e
	}
}

func (r *run) records() []model.BackendServer {
	var out []model.BackendServer
	for _, e := range r.engines {
		if e.record.State != model.Gone {
			out = append(out, e.record)
		}
	}
	return out
}

// live lists the requests in progress in the order of arrival.
func (r *run) live() []*job {
	list := slices.Collect(maps.Values(r.jobs))
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.desc.ID.Seq, b.desc.ID.Seq) })
	return list
}

// script schedules arrivals, reports and failures.
func (r *run) script() {
	r.nextArrival(r.random, 1, "")
	if r.scenario.Extra > 1 {
		demand, sum := r.workload.Demand, 0.0
		for _, d := range demand {
			sum += d
		}
		// A separate source leaves the other arrivals as they are without the extra ones.
		last := len(demand) - 1
		r.nextArrival(rand.New(rand.NewPCG(r.seed, 2)), (r.scenario.Extra-1)*demand[last]/sum, model.TeamID(fmt.Sprint("t", last)))
	}
	r.every(tick, func() { r.policy.tick() })
	r.every(reportInterval, r.reports)
	at := func(d time.Duration, f func()) {
		if d > 0 {
			r.clock.after(d, f)
		}
	}
	at(r.scenario.Slow, func() { r.engines[0].setSpeed(r.engines[0].speed / 4) })
	at(r.scenario.Lost, func() { r.lose(r.engines[1]) })
	at(r.scenario.Kill, func() { r.policy.replace() })
}

func (r *run) every(d time.Duration, f func()) {
	r.clock.after(d, func() {
		f()
		r.every(d, f)
	})
}

// nextArrival draws arrivals with bursts of three times the mean for 1.5 s in each 10 s.
// With a team, all of them are that team's.
func (r *run) nextArrival(random *rand.Rand, factor float64, team model.TeamID) {
	rate := factor * r.scenario.Load * r.workload.Capacity()
	if r.clock.now.Sub(r.start)%(10*time.Second) < 1500*time.Millisecond {
		rate *= 3
	} else {
		rate *= (1 - 0.15*3) / 0.85
	}
	r.clock.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		r.seq++
		j := r.workload.draw(random, r.clock.now, r.seq)
		if team != "" {
			for r.scenario.ExtraTier != 0 && j.desc.Tier != r.scenario.ExtraTier {
				j = r.workload.draw(random, r.clock.now, r.seq)
			}
			j.desc.Team = team
		}
		r.result.offer(r, j)
		r.submit(j)
		r.nextArrival(random, factor, team)
	})
}

func (r *run) submit(j *job) {
	r.jobs[j.desc.ID] = j
	r.result.Arrivals++
	r.clock.at(j.desc.Deadline, func() { r.expired(j) })
	r.clock.after(r.workload.Delay, func() {
		if !j.over {
			r.policy.arrive(j)
		}
	})
}

// granted sends the request to its engine.
func (r *run) granted(j *job, g model.Grant) {
	e := r.byID[g.Server]
	j.engine, j.grant = e, g
	r.clock.after(2*r.workload.Delay, func() {
		if j.over {
			return
		}
		j.sent = r.clock.now
		if e.lost {
			r.fail(j)
			return
		}
		e.admit(j)
	})
}

// refused retries a request at once with another id, as a partner's software does.
func (r *run) refused(j *job, kind dispatch.Kind) {
	r.finish(j)
	r.result.refuse(r, j, kind)
	if j.tries++; j.tries >= maxTries {
		return
	}
	again := &job{desc: j.desc, output: j.output, first: j.first, tries: j.tries}
	r.clock.after(retryDelay, func() {
		// Retries count down from the top so that they do not change later arrivals' ids.
		again.desc.ID.Seq = j.desc.ID.Seq + uint64(again.tries)<<40
		r.submit(again)
	})
}

// ended takes the news of an engine.
func (r *run) ended(j *job, kind model.ProgressKind) {
	if kind == model.ProgressFirstToken {
		r.result.first(r, j)
	} else {
		r.finish(j)
		r.result.done(r, j)
	}
	r.tell(j, kind)
}

func (r *run) tell(j *job, kind model.ProgressKind) {
	p := model.Progress{Request: j.desc.ID, Pool: "m", Server: j.grant.Server, Epoch: j.grant.Epoch, Kind: kind}
	if !j.firstToken.IsZero() {
		p.FirstToken = j.firstToken.Sub(j.sent)
		p.Tokens = 1
	}
	if kind == model.ProgressFinished {
		p.Tokens = j.output
		p.PerToken = r.clock.now.Sub(j.firstToken) / time.Duration(max(j.output-1, 1))
	}
	r.clock.after(r.workload.Delay, func() { r.policy.progress(j, p) })
}

func (r *run) finish(j *job) {
	j.over = true
	delete(r.jobs, j.desc.ID)
}

// expired ends a request whose caller has left at the deadline.
func (r *run) expired(j *job) {
	if j.over {
		return
	}
	r.finish(j)
	r.result.expire(r, j)
	if j.engine == nil {
		r.policy.withdraw(j)
		return
	}
	if !j.engine.lost {
		j.engine.cancel(j)
	}
	r.tell(j, model.ProgressCancelled)
}

func (r *run) fail(j *job) {
	r.finish(j)
	r.result.lose(j)
	r.tell(j, model.ProgressFailed)
}

func (r *run) lose(e *engine) {
	jobs := e.lose()
	r.clock.after(goneDelay, func() {
		e.record.State = model.Gone
		r.policy.servers()
		for _, j := range jobs {
			if !j.over {
				r.fail(j)
			}
		}
	})
}

// reports sends each engine's load and cache events, late and with losses.
func (r *run) reports() {
	for _, e := range r.engines {
		if e.lost {
			continue
		}
		load, events := e.report(), e.events
		e.events = nil
		kept := events[:0]
		for i := range events {
			if e.eventSeq*2654435761%1000+uint64(i) >= cacheLoss*1000 {
				kept = append(kept, events[i])
			}
		}
		r.clock.after(reportDelay, func() { r.policy.load(load) })
		r.clock.after(cacheDelay, func() { r.policy.cache(kept) })
	}
}
