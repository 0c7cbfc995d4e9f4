package dispatch

import (
	"maps"
	"slices"
	"time"

	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

const (
	// defaultMaxWaiting applies to pools that declare no bound.
	defaultMaxWaiting = 50_000
	// tokensPerWaiting sets the bound on waiting tokens from the bound on waiting requests.
	// It is far above the mean request, so that it acts only on unusually long ones.
	tokensPerWaiting = 4_000
	// keepDecisions bounds the lists that are used again. The grants after a change of
	// dispatcher fill a longer one, which would be held for ever.
	keepDecisions = 256
)

// Pool orders the waiting requests of one pool.
type Pool struct {
	lapsed      bool
	id          model.PoolID
	epoch       model.Epoch
	maxWaiting  int
	maxTokens   int64
	teams       map[model.TeamID]model.Team
	defaultTeam model.TeamID
	minimum     [model.TierCount]float64
	fleet       *fleet.Fleet
	domains     map[model.InstanceID]model.FailureDomain

	requests  map[model.RequestID]*request
	instances map[model.InstanceID]*request
	keys      map[model.KeyHash]*request
	tiers     [model.TierCount]tierOrder
	memory    memory
	spares    spares
	usages    usages
	// ahead is the request that goes before lower tiers of others though its team is above
	// its share; aheadLeft is the allowance for such grants at aheadAt.
	ahead     *request
	aheadLeft float64
	aheadAt   time.Time
	// totalWeight is the sum of the declared weights.
	totalWeight float64
	// tokens is the cost of all waiting requests.
	tokens      int64
	following   int
	outstanding int
	// demand counts all requests of each tier.
	demand [model.TierCount]int
	pace   pace
	// lastHeld is when held requests were last put back.
	lastHeld time.Time
	// passed counts the requests that the present call has held.
	passed int
	// expected lists the instances that have not been heard from since the pool was created.
	expected map[model.InstanceID]struct{}
	// sequences numbers the grants to each instance.
	sequences map[model.InstanceID]uint64
	out       []Decision
	// spare is the list that Take returned before; it is used again.
	spare []Decision
}

// NewPool returns a pool that decides nothing until it has heard from the expected instances.
func NewPool(id model.PoolID, epoch model.Epoch, expected []model.InstanceID) *Pool {
	return NewPoolWith(id, epoch, expected, fleet.NewGradient, uint64(epoch))
}

// NewPoolWith returns a pool with a control law and a seed for its random choices.
func NewPoolWith(id model.PoolID, epoch model.Epoch, expected []model.InstanceID, law fleet.NewLaw, seed uint64) *Pool {
	p := &Pool{
		id:         id,
		epoch:      epoch,
		maxWaiting: defaultMaxWaiting,
		maxTokens:  defaultMaxWaiting * tokensPerWaiting,
		fleet:      fleet.New(law, seed),
		domains:    make(map[model.InstanceID]model.FailureDomain),
		requests:   make(map[model.RequestID]*request),
		instances:  make(map[model.InstanceID]*request),
		keys:       make(map[model.KeyHash]*request),
		memory:     newMemory(),
		usages:     newUsages(),
		pace:       newPace(),
		expected:   make(map[model.InstanceID]struct{}),
		sequences:  make(map[model.InstanceID]uint64),
	}
	for i := range p.tiers {
		p.tiers[i].init()
	}
	for _, i := range expected {
		p.expected[i] = struct{}{}
	}
	return p
}

// Ready reports whether the pool has heard from every expected instance.
func (p *Pool) Ready() bool { return len(p.expected) == 0 }

// Counts returns the numbers of waiting and outstanding requests. Followers of a request
// with the same key take no place and are not counted.
func (p *Pool) Counts() (waiting, outstanding int) {
	return len(p.requests) - p.outstanding - p.following, p.outstanding
}

// Demand returns the number of waiting and outstanding requests of each tier.
func (p *Pool) Demand() [model.TierCount]int { return p.demand }

// SetLapsed states whether the lease has run out without news of another holder. A lapsed
// dispatcher still grants: another one grants nothing before every instance follows it, and
// an instance that follows another takes no grant from this one. It sheds nothing, because
// two orders at once could shed a request that is more urgent than one that is kept.
func (p *Pool) SetLapsed(now time.Time, lapsed bool) {
	p.lapsed = lapsed
	p.decide(now)
}

// SetConfig takes the pool's and the teams' declarations.
func (p *Pool) SetConfig(now time.Time, c *model.Config) {
	if pool, ok := c.Pools[p.id]; ok && pool.MaxWaiting > 0 {
		p.maxWaiting = pool.MaxWaiting
		p.maxTokens = int64(pool.MaxWaiting) * tokensPerWaiting
	}
	p.teams, p.defaultTeam, p.minimum = c.Teams, c.DefaultTeam, c.MinimumShare
	p.totalWeight = 0
	for _, id := range slices.Sorted(maps.Keys(c.Teams)) {
		p.totalWeight += p.weight(id)
	}
	for i := range p.tiers {
		p.tiers[i].reweigh(p.weight)
	}
	p.decide(now)
}

// SetServers takes the backend servers that serve the pool.
func (p *Pool) SetServers(now time.Time, servers []model.BackendServer) {
	p.fleet.Set(servers)
	p.decide(now)
}

// SetInstances takes the failure domains of the entry instances.
func (p *Pool) SetInstances(instances []model.Instance) {
	clear(p.domains)
	for _, i := range instances {
		p.domains[i.ID] = i.Domain
	}
}

// Load takes a load report. It may be old.
func (p *Pool) Load(now time.Time, r model.LoadReport) {
	p.fleet.Load(r)
	p.decide(now)
}

// Cache takes cache events of one server. They may be late and have gaps.
func (p *Pool) Cache(_ time.Time, events []model.CacheEvent) {
	for _, e := range events {
		p.fleet.Cache(e)
	}
}

// Register adds a waiting request. A repeat changes nothing, and neither does a
// registration that arrives after the request has ended.
func (p *Pool) Register(now time.Time, d model.Descriptor) {
	p.spares.recycle()
	if e, ok := p.memory.get(d.ID); ok && e.final {
		return
	}
	p.add(d)
	p.decide(now)
}

func (p *Pool) add(d model.Descriptor) {
	if p.requests[d.ID] != nil || d.Tier >= model.TierCount {
		return
	}
	r := p.track(d)
	if !p.join(r) {
		p.enqueue(r)
	}
}

// Withdraw removes a waiting request.
func (p *Pool) Withdraw(now time.Time, id model.RequestID) {
	r := p.requests[id]
	if r != nil && r.phase == granted {
		// The grant is on its way; the instance will return it.
		return
	}
	p.memory.add(id, ending{final: true})
	if r != nil {
		p.drop(r)
	}
	p.decide(now)
}

// Report takes the course of a granted request. A report about an earlier grant of the
// request, or after its end, changes nothing.
func (p *Pool) Report(now time.Time, g model.Progress) {
	r := p.requests[g.Request]
	if r == nil || r.phase != granted || r.run.grant.Server != g.Server || r.run.grant.Epoch != g.Epoch {
		return
	}
	if g.Kind == model.ProgressFailed {
		p.fleet.Failed(now, &r.run.work)
	}
	p.fleet.Progress(&r.run.work, g)
	if g.Kind.Final() {
		p.ended(now, r, g)
	}
	p.decide(now)
}

func (p *Pool) ended(now time.Time, r *request, g model.Progress) {
	// A returned or failed request may be registered again: it may not have run.
	final := g.Kind == model.ProgressFinished || g.Kind == model.ProgressCancelled
	p.memory.add(r.desc.ID, ending{final: final, place: placeOf(&r.run.grant)})
	if g.Kind == model.ProgressFinished {
		p.pace.finished(now, r, g.Tokens)
	}
	if g.Kind == model.ProgressReturned {
		p.drop(r)
		return
	}
	p.conclude(r)
	p.forget(r)
}

// Resync takes one instance's waiting and outstanding requests. It may be older than
// messages that have already arrived, so it only adds requests.
func (p *Pool) Resync(now time.Time, from model.InstanceID, waiting []model.Descriptor, outstanding []Outstanding) {
	for i := range outstanding {
		p.takeOver(now, &outstanding[i])
	}
	for _, d := range waiting {
		e, ended := p.memory.get(d.ID)
		switch {
		case ended && e.evicted:
			p.emit(Decision{Kind: e.kind, Descriptor: d, Reason: "repeated for an instance that still lists the request"})
		case !ended || !e.final || e.gone:
			p.add(d)
		}
	}
	delete(p.expected, from)
	p.decide(now)
}

// takeOver counts a request that another dispatcher granted.
func (p *Pool) takeOver(now time.Time, o *Outstanding) {
	id := o.Grant.Request
	if e, ok := p.memory.get(id); ok && (e.final && !e.gone || e.place == placeOf(&o.Grant)) {
		return
	}
	r := p.requests[id]
	if r != nil && r.phase == granted {
		return
	}
	if r != nil {
		// Listed as waiting by an older message than the grant.
		p.drop(r)
	}
	r = p.track(o.Descriptor)
	r.phase = granted
	r.run = p.spares.run()
	r.run.grant = o.Grant
	p.fleet.Resume(now, &r.run.work, &r.desc, o.Grant)
	p.outstanding++
	p.pace.began(now, r.desc.Tier)
	if r.desc.Key.IsZero() {
		return
	}
	switch first := p.keys[r.desc.Key]; {
	case first == nil:
		p.keys[r.desc.Key] = r
	case first.phase == waiting:
		p.supplant(first, r)
	}
}

// InstanceGone forgets the requests of an instance up to an incarnation.
func (p *Pool) InstanceGone(now time.Time, id model.InstanceID, incarnation model.Incarnation) {
	for r := p.instances[id]; r != nil; {
		// Dropping a request can only link others of this instance before it.
		next := r.next
		if r.desc.ID.Incarnation <= incarnation {
			p.lost(r)
		}
		r = next
	}
	delete(p.expected, id)
	p.decide(now)
}

func (p *Pool) lost(r *request) {
	p.memory.add(r.desc.ID, ending{final: true, gone: true})
	if r.phase == granted {
		p.fleet.Progress(&r.run.work, model.Progress{Request: r.desc.ID, Kind: model.ProgressCancelled})
	}
	p.drop(r)
}

// Tick applies time limits.
func (p *Pool) Tick(now time.Time) { p.decide(now) }

// Take returns the decisions since the last call. They are valid until the next call: a new
// list for each message was a quarter of the memory that a decision allocates.
func (p *Pool) Take() []Decision {
	if len(p.out) == 0 {
		return nil
	}
	out := p.out
	clear(p.spare)
	p.out = p.spare[:0]
	p.spare = out
	if cap(out) > keepDecisions {
		p.spare = nil
	}
	return out
}

func (p *Pool) emit(d Decision) {
	d.Waiting, d.Outstanding = p.Counts()
	p.out = append(p.out, d)
}

func (p *Pool) weight(team model.TeamID) float64 {
	t, ok := p.teams[team]
	if !ok {
		t = p.teams[p.defaultTeam]
	}
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}
