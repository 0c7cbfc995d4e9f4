package harness

import (
	"fmt"
	"time"

	"briaryard/internal/decide/dispatch"
	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

// scheduler is a policy under test.
type scheduler interface {
	arrive(j *job)
	progress(j *job, p model.Progress)
	withdraw(j *job)
	servers()
	load(r model.LoadReport)
	cache(events []model.CacheEvent)
	tick()
	replace()
}

// pooled is the real dispatch code.
type pooled struct {
	run   *run
	pool  *dispatch.Pool
	epoch model.Epoch
	law   fleet.NewLaw
	down  bool
}

func (s *pooled) init(expected []model.InstanceID) {
	s.epoch++
	s.pool = dispatch.NewPoolWith("m", s.epoch, expected, s.law, s.run.seed+uint64(s.epoch))
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

func (w *Workload) domain(i int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprint("d", i%w.Domains))
}

func (s *pooled) do(f func(now time.Time)) {
	if s.down {
		return
	}
	f(s.run.clock.now)
	s.run.result.Messages++
	for _, d := range s.pool.Take() {
		s.run.result.Decisions++
		j := s.run.jobs[d.Descriptor.ID]
		switch d.Kind {
		case dispatch.Granted:
			s.run.granted(j, d.Grant)
		case dispatch.Shed, dispatch.DeadlineUnreachable, dispatch.NoServer, dispatch.Duplicate:
			s.run.refused(j, d.Kind)
		}
	}
}

func (s *pooled) arrive(j *job) { s.do(func(now time.Time) { s.pool.Register(now, j.desc) }) }
func (s *pooled) withdraw(j *job) {
	s.do(func(now time.Time) { s.pool.Withdraw(now, j.desc.ID) })
}
func (s *pooled) progress(_ *job, p model.Progress) {
	s.do(func(now time.Time) { s.pool.Report(now, p) })
}
func (s *pooled) load(r model.LoadReport)    { s.do(func(now time.Time) { s.pool.Load(now, r) }) }
func (s *pooled) cache(e []model.CacheEvent) { s.do(func(now time.Time) { s.pool.Cache(now, e) }) }
func (s *pooled) tick() {
	s.do(func(now time.Time) { s.pool.Tick(now) })
	s.run.result.Messages--
}
func (s *pooled) servers() { s.do(func(now time.Time) { s.pool.SetServers(now, s.run.records()) }) }

// replace loses the dispatcher. Its lease runs out before the next one starts, which then
// hears from one instance after the other.
func (s *pooled) replace() {
	s.down = true
	s.run.clock.after(s.run.leaseTime, func() {
		s.down = false
		var expected []model.InstanceID
		for i := range s.run.workload.Instances {
			expected = append(expected, model.InstanceID(fmt.Sprint("i", i)))
		}
		s.init(expected)
		for n, i := range expected {
			s.run.clock.after(time.Duration(n)*time.Millisecond, func() { s.resync(i) })
		}
	})
}

func (s *pooled) resync(i model.InstanceID) {
	var waiting []model.Descriptor
	var outstanding []dispatch.Outstanding
	for _, j := range s.run.live() {
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

// baseline sends each request on arrival, first come first served.
type baseline struct {
	run         *run
	choose      func(b *baseline, j *job, usable []*engine) *engine
	next        int
	outstanding map[*engine]int
	seen        map[*engine]map[uint64]bool
}

func (b *baseline) arrive(j *job) {
	var usable []*engine
	for _, e := range b.run.engines {
		if e.record.State == model.Alive {
			usable = append(usable, e)
		}
	}
	e := b.choose(b, j, usable)
	b.outstanding[e]++
	b.run.granted(j, model.Grant{Request: j.desc.ID, Server: e.record.ID})
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
func (b *baseline) replace()                 {}

func roundRobin(b *baseline, _ *job, usable []*engine) *engine {
	b.next++
	return usable[b.next%len(usable)]
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

// prefixAffinity prefers an engine that has had the longest prefix, unless it is far busier
// than the least used one.
func prefixAffinity(b *baseline, j *job, usable []*engine) *engine {
	least := leastOutstanding(b, j, usable)
	best, length := least, 0
	for _, e := range usable {
		if b.outstanding[e] > 2*b.outstanding[least]+4 {
			continue
		}
		for i, h := range j.desc.Prefix {
			if b.seen[e][h] && i+1 > length {
				best, length = e, i+1
			}
		}
	}
	if b.seen[best] == nil {
		b.seen[best] = make(map[uint64]bool)
	}
	for _, h := range j.desc.Prefix {
		b.seen[best][h] = true
	}
	return best
}
