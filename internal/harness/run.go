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
	// maxAttempts bounds the attempts of a request that is retried immediately when refused.
	maxAttempts = 4
	retryDelay  = 10 * time.Millisecond
	// reportInterval and reportDelay make load reports stale; cacheEventDelay and
	// cacheEventLoss make cache events late and incomplete.
	reportInterval  = 500 * time.Millisecond
	reportDelay     = 300 * time.Millisecond
	cacheEventDelay = 700 * time.Millisecond
	cacheEventLoss  = 0.05
	// removalDelay is the time until a lost engine is removed from the membership.
	removalDelay = 2 * time.Second
	tickInterval = 20 * time.Millisecond
	// failoverTime is the longest time without a dispatcher: the lease with clock drift, a tick
	// of the control leader, and the heartbeat that notifies the next holder.
	failoverTime = port.LeaseDuration*(100+port.MaxClockDrift)/100 + 50*time.Millisecond + port.HeartbeatInterval
)

// Scenario defines the load, the length and the failures of a run. Zero times mean never.
type Scenario struct {
	// Load is the offered load as a factor of the capacity of the workload.
	Load   float64
	Length time.Duration
	// SlowAt, EngineLostAt and DispatcherLostAt are the times at which the first engine slows down
	// to a quarter of its speed, the second engine is lost and the dispatcher is lost.
	SlowAt, EngineLostAt, DispatcherLostAt time.Duration
	// ExtraFactor is the factor by which the last team exceeds its demand; 0 means 1.
	ExtraFactor float64
	// ExtraTier restricts the extra requests to a tier; 0 means all tiers.
	ExtraTier model.Tier
}

// run is the state of one simulation.
type run struct {
	workload   Workload
	scenario   Scenario
	seed       uint64
	random     *rand.Rand
	clock      clock
	engines    []*engine
	engineByID map[model.BackendServerID]*engine
	// jobs holds the attempts in progress.
	jobs         map[model.RequestID]*job
	seq          uint64
	start        time.Time
	policy       scheduler
	result       *Result
	failoverTime time.Duration
}

// Policies are the names that Run accepts.
var Policies = []string{"briaryard", "round-robin", "least-outstanding", "prefix-affinity"}

// Run simulates a scenario with a policy and returns the result.
func Run(policy string, newLimiter fleet.NewLimiter, w Workload, sc Scenario, seed uint64) *Result {
	r := &run{
		workload: w, scenario: sc, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		engineByID: make(map[model.BackendServerID]*engine), jobs: make(map[model.RequestID]*job),
		start: time.Unix(1_000_000, 0), result: newResult(policy, w.Name, seed), failoverTime: failoverTime,
	}
	r.clock.now = r.start
	r.buildEngines()
	r.policy = r.newPolicy(policy, newLimiter)
	r.scheduleScenario()
	r.clock.runUntil(r.start.Add(sc.Length))
	return r.result
}

// newPolicy returns the scheduler for a name in Policies.
func (r *run) newPolicy(name string, newLimiter fleet.NewLimiter) scheduler {
	b := &baseline{run: r, outstanding: make(map[*engine]int), sentPrefixes: make(map[*engine]map[uint64]bool)}
	switch name {
	case "round-robin":
		b.choose = roundRobin
	case "least-outstanding":
		b.choose = leastOutstanding
	case "prefix-affinity":
		b.choose = prefixAffinity
	default:
		s := &dispatcher{run: r, newLimiter: newLimiter}
		s.startDispatcher(nil)
		return s
	}
	return b
}

// buildEngines creates the engines of the workload with the hardware generations in turn.
func (r *run) buildEngines() {
	for i := range r.workload.Engines {
		e := &engine{
			clock: &r.clock, prefillRate: basePrefillRate, decodeRate: baseDecodeRate, speed: generationSpeed[i%3],
			advancedTo: r.clock.now, cachedTokens: make(map[uint64]int), onProgress: r.handleProgress,
			server: model.BackendServer{
				ID: model.BackendServerID(fmt.Sprintf("e%03d", i)), Incarnation: 1, Domain: r.workload.domain(i),
				Slots: slots, Generation: fmt.Sprint("g", i%3), Pools: []model.PoolID{"m"},
			},
		}
		r.engines = append(r.engines, e)
		r.engineByID[e.server.ID] = e
	}
}

// servers returns the backend servers that the membership has not removed.
func (r *run) servers() []model.BackendServer {
	var servers []model.BackendServer
	for _, e := range r.engines {
		if e.server.State != model.Gone {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// inProgress returns the attempts in progress, ordered by sequence number.
func (r *run) inProgress() []*job {
	list := slices.Collect(maps.Values(r.jobs))
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.desc.ID.Seq, b.desc.ID.Seq) })
	return list
}

// scheduleScenario schedules arrivals, ticks, reports and failures.
func (r *run) scheduleScenario() {
	r.scheduleArrival(r.random, 1, "")
	if r.scenario.ExtraFactor > 1 {
		demand, sum := r.workload.Demand, 0.0
		for _, d := range demand {
			sum += d
		}
		// A separate random source keeps the other arrivals the same as without extra ones.
		last := len(demand) - 1
		r.scheduleArrival(rand.New(rand.NewPCG(r.seed, 2)), (r.scenario.ExtraFactor-1)*demand[last]/sum, model.TeamID(fmt.Sprint("t", last)))
	}
	r.every(tickInterval, func() { r.policy.tick() })
	r.every(reportInterval, r.sendReports)
	at := func(d time.Duration, f func()) {
		if d > 0 {
			r.clock.after(d, f)
		}
	}
	at(r.scenario.SlowAt, func() { r.engines[0].setSpeed(r.engines[0].speed / 4) })
	at(r.scenario.EngineLostAt, func() { r.failEngine(r.engines[1]) })
	at(r.scenario.DispatcherLostAt, func() { r.policy.replaceDispatcher() })
}

func (r *run) every(d time.Duration, f func()) {
	r.clock.after(d, func() {
		f()
		r.every(d, f)
	})
}

// scheduleArrival schedules the next arrival and those after it, with bursts of three times the
// mean rate for 1.5 s in each 10 s. If a team is given, all requests are from that team.
func (r *run) scheduleArrival(random *rand.Rand, factor float64, team model.TeamID) {
	rate := factor * r.scenario.Load * r.workload.Capacity()
	if r.clock.now.Sub(r.start)%(10*time.Second) < 1500*time.Millisecond {
		rate *= 3
	} else {
		rate *= (1 - 0.15*3) / 0.85
	}
	r.clock.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		r.seq++
		j := r.workload.drawRequest(random, r.clock.now, r.seq)
		if team != "" {
			for r.scenario.ExtraTier != 0 && j.desc.Tier != r.scenario.ExtraTier {
				j = r.workload.drawRequest(random, r.clock.now, r.seq)
			}
			j.desc.Team = team
		}
		r.result.addOffered(r, j)
		r.submit(j)
		r.scheduleArrival(random, factor, team)
	})
}

// submit sends an attempt to the scheduler and ends it at its deadline.
func (r *run) submit(j *job) {
	r.jobs[j.desc.ID] = j
	r.result.Arrivals++
	r.clock.schedule(j.desc.Deadline, func() { r.expire(j) })
	r.clock.after(r.workload.Delay, func() {
		if !j.ended {
			r.policy.arrive(j)
		}
	})
}

// sendToEngine sends a granted attempt to its engine.
func (r *run) sendToEngine(j *job, g model.Grant) {
	e := r.engineByID[g.Server]
	j.engine, j.grant = e, g
	r.clock.after(2*r.workload.Delay, func() {
		if j.ended {
			return
		}
		j.sent = r.clock.now
		if e.lost {
			r.failJob(j)
			return
		}
		e.enqueue(j)
	})
}

// handleRefusal ends a refused attempt and retries immediately with another request id, as the
// client software of a partner does.
func (r *run) handleRefusal(j *job, kind dispatch.Kind) {
	r.finish(j)
	r.result.addRefused(r, j, kind)
	if j.retries++; j.retries >= maxAttempts {
		return
	}
	again := &job{desc: j.desc, outputTokens: j.outputTokens, firstArrival: j.firstArrival, retries: j.retries}
	r.clock.after(retryDelay, func() {
		// Retries use the upper bits, so that they do not change the ids of later arrivals.
		again.desc.ID.Seq = j.desc.ID.Seq + uint64(again.retries)<<40
		r.submit(again)
	})
}

// handleProgress records the first token or the end of a stream and reports it to the scheduler.
func (r *run) handleProgress(j *job, kind model.ProgressKind) {
	if kind == model.ProgressFirstToken {
		r.result.addFirstToken(r, j)
	} else {
		r.finish(j)
		r.result.addFinished(r, j)
	}
	r.reportProgress(j, kind)
}

// reportProgress sends a progress message to the scheduler.
func (r *run) reportProgress(j *job, kind model.ProgressKind) {
	p := model.Progress{Request: j.desc.ID, Pool: "m", Server: j.grant.Server, Epoch: j.grant.Epoch, Kind: kind}
	if !j.firstToken.IsZero() {
		p.FirstToken = j.firstToken.Sub(j.sent)
		p.Tokens = 1
	}
	if kind == model.ProgressFinished {
		p.Tokens = j.outputTokens
		p.PerToken = r.clock.now.Sub(j.firstToken) / time.Duration(max(j.outputTokens-1, 1))
	}
	r.clock.after(r.workload.Delay, func() { r.policy.progress(j, p) })
}

// finish marks an attempt as ended and removes it from those in progress.
func (r *run) finish(j *job) {
	j.ended = true
	delete(r.jobs, j.desc.ID)
}

// expire ends an attempt at the deadline, when the caller disconnects, and cancels it at the
// scheduler or the engine.
func (r *run) expire(j *job) {
	if j.ended {
		return
	}
	r.finish(j)
	r.result.addExpired(r, j)
	if j.engine == nil {
		r.policy.withdraw(j)
		return
	}
	if !j.engine.lost {
		j.engine.cancel(j)
	}
	r.reportProgress(j, model.ProgressCancelled)
}

// failJob ends an attempt that was sent to a lost engine.
func (r *run) failJob(j *job) {
	r.finish(j)
	r.result.addLost(j)
	r.reportProgress(j, model.ProgressFailed)
}

// failEngine fails an engine. Its jobs fail when the membership removes it.
func (r *run) failEngine(e *engine) {
	jobs := e.fail()
	r.clock.after(removalDelay, func() {
		e.server.State = model.Gone
		r.policy.servers()
		for _, j := range jobs {
			if !j.ended {
				r.failJob(j)
			}
		}
	})
}

// sendReports sends the load and cache events of every engine, delayed and with lost events.
func (r *run) sendReports() {
	for _, e := range r.engines {
		if e.lost {
			continue
		}
		load, events := e.loadReport(), e.cacheEvents
		e.cacheEvents = nil
		kept := events[:0]
		for i := range events {
			if e.cacheEventSeq*2654435761%1000+uint64(i) >= cacheEventLoss*1000 {
				kept = append(kept, events[i])
			}
		}
		r.clock.after(reportDelay, func() { r.policy.load(load) })
		r.clock.after(cacheEventDelay, func() { r.policy.cache(kept) })
	}
}
