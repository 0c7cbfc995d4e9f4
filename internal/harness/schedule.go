package harness

import (
	"fmt"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

// scheduler is a policy under test. The run calls arrive, progress and withdraw for messages of
// instances, servers when an engine is removed, load and cache for reports of engines, and
// replaceDispatcher when the dispatcher is lost.
type scheduler interface {
	arrive(j *job)
	progress(j *job, p model.Progress)
	withdraw(j *job)
	servers()
	load(r model.LoadReport)
	cache(events []model.CacheEvent)
	tick()
	replaceDispatcher()
}

// dispatcher runs the production dispatch code. It is down from the loss of a dispatcher to the
// start of the next.
type dispatcher struct {
	run        *run
	pool       *dispatch.Pool
	epoch      model.Epoch
	newLimiter fleet.NewLimiter
	down       bool
}

// startDispatcher creates the pool of the next epoch. It expects a resync from the given
// instances.
func (s *dispatcher) startDispatcher(expected []model.InstanceID) {
	s.epoch++
	s.pool = dispatch.NewPoolWithLimiter("m", s.epoch, expected, s.newLimiter, s.run.seed+uint64(s.epoch))
	w := &s.run.workload
	c := &model.Config{
		Teams: make(map[model.TeamID]model.Team), Pools: map[model.PoolID]model.Pool{"m": {ID: "m", MaxWaiting: 400 * w.Engines}},
		MinimumShare: [model.TierCount]float64{0, 0.05, 0.05, 0.05},
	}
	for i, weight := range w.Weights {
		id := model.TeamID(fmt.Sprint("t", i))
		c.Teams[id] = model.Team{ID: id, Weight: weight}
	}
	s.pool.SetConfig(s.run.clock.now, c)
	var instances []model.Instance
	for i := range w.Instances {
		instances = append(instances, model.Instance{ID: model.InstanceID(fmt.Sprint("i", i)), Domain: w.domain(i)})
	}
	s.pool.SetInstances(instances)
	s.servers()
}

// domain returns the failure domain of the engine or instance with an index.
func (w *Workload) domain(i int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprint("d", i%w.Domains))
}

// do passes an input to the pool and carries out its decisions. Inputs are lost while no
// dispatcher runs.
func (s *dispatcher) do(f func(now time.Time)) {
	if s.down {
		return
	}
	f(s.run.clock.now)
	s.run.result.Messages++
	for _, d := range s.pool.TakeDecisions() {
		s.run.result.Decisions++
		j := s.run.jobs[d.Descriptor.ID]
		switch d.Kind {
		case dispatch.Granted:
			s.run.sendToEngine(j, d.Grant)
		case dispatch.Shed, dispatch.DeadlineUnreachable, dispatch.NoBackendServer, dispatch.Duplicate:
			s.run.handleRefusal(j, d.Kind)
		}
	}
}

func (s *dispatcher) arrive(j *job) { s.do(func(now time.Time) { s.pool.Register(now, j.desc) }) }
func (s *dispatcher) withdraw(j *job) {
	s.do(func(now time.Time) { s.pool.Withdraw(now, j.desc.ID) })
}
func (s *dispatcher) progress(_ *job, p model.Progress) {
	s.do(func(now time.Time) { s.pool.ReportProgress(now, p) })
}
func (s *dispatcher) load(r model.LoadReport) { s.do(func(now time.Time) { s.pool.ApplyLoad(now, r) }) }
func (s *dispatcher) cache(e []model.CacheEvent) {
	s.do(func(now time.Time) { s.pool.ApplyCache(now, e) })
}
func (s *dispatcher) tick() {
	before := s.run.result.Messages
	s.do(func(now time.Time) { s.pool.Tick(now) })
	// A tick is no message; one that finds the dispatcher down is not counted at all.
	s.run.result.Messages = before
}
func (s *dispatcher) servers() { s.do(func(now time.Time) { s.pool.SetServers(now, s.run.servers()) }) }

// replaceDispatcher loses the dispatcher. Its lease expires before the next one starts; the
// instances then resync with the new one in turn, 1 ms apart.
func (s *dispatcher) replaceDispatcher() {
	s.down = true
	s.run.clock.after(s.run.failoverTime, func() {
		s.down = false
		var expected []model.InstanceID
		for i := range s.run.workload.Instances {
			expected = append(expected, model.InstanceID(fmt.Sprint("i", i)))
		}
		s.startDispatcher(expected)
		for n, i := range expected {
			s.run.clock.after(time.Duration(n)*time.Millisecond, func() { s.resync(i) })
		}
	})
}

// resync sends the waiting and outstanding requests of an instance.
func (s *dispatcher) resync(i model.InstanceID) {
	var waiting []model.Descriptor
	var outstanding []dispatch.Outstanding
	for _, j := range s.run.inProgress() {
		switch {
		case j.desc.ID.Instance != i:
		case j.engine != nil:
			outstanding = append(outstanding, dispatch.Outstanding{Grant: j.grant, Descriptor: j.desc})
		default:
			waiting = append(waiting, j.desc)
		}
	}
	s.do(func(now time.Time) { s.pool.Resync(now, i, waiting, outstanding) })
}

// baseline sends each request to an engine on arrival, first come, first served.
type baseline struct {
	run         *run
	choose      func(b *baseline, j *job, usable []*engine) *engine
	nextIndex   int
	outstanding map[*engine]int
	// sentPrefixes holds the prefix hashes of the requests sent to each engine.
	sentPrefixes map[*engine]map[uint64]bool
}

func (b *baseline) arrive(j *job) {
	var usable []*engine
	for _, e := range b.run.engines {
		if e.server.State == model.Alive {
			usable = append(usable, e)
		}
	}
	e := b.choose(b, j, usable)
	b.outstanding[e]++
	b.run.sendToEngine(j, model.Grant{Request: j.desc.ID, Server: e.server.ID})
}

func (b *baseline) progress(j *job, p model.Progress) {
	if p.Kind.Final() && j.engine != nil {
		b.outstanding[j.engine]--
	}
}
func (b *baseline) withdraw(*job)            {}
func (b *baseline) servers()                 {}
func (b *baseline) load(model.LoadReport)    {}
func (b *baseline) cache([]model.CacheEvent) {}
func (b *baseline) tick()                    {}
func (b *baseline) replaceDispatcher()       {}

func roundRobin(b *baseline, _ *job, usable []*engine) *engine {
	b.nextIndex++
	return usable[b.nextIndex%len(usable)]
}

func leastOutstanding(b *baseline, _ *job, usable []*engine) *engine {
	best := usable[0]
	for _, e := range usable {
		if b.outstanding[e] < b.outstanding[best] {
			best = e
		}
	}
	return best
}

// prefixAffinity chooses the engine that was sent the longest prefix of the prompt, or else the one
// with the fewest outstanding requests. It skips engines with more than twice that number plus 4.
func prefixAffinity(b *baseline, j *job, usable []*engine) *engine {
	least := leastOutstanding(b, j, usable)
	best, length := least, 0
	for _, e := range usable {
		if b.outstanding[e] > 2*b.outstanding[least]+4 {
			continue
		}
		for i, h := range j.desc.Prefix {
			if b.sentPrefixes[e][h] && i+1 > length {
				best, length = e, i+1
			}
		}
	}
	if b.sentPrefixes[best] == nil {
		b.sentPrefixes[best] = make(map[uint64]bool)
	}
	for _, h := range j.desc.Prefix {
		b.sentPrefixes[best][h] = true
	}
	return best
}
