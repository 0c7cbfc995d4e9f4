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
	// tokensPerWaiting derives the bound on waiting tokens from the bound on waiting requests.
	// It is far above the mean request, so that it affects only unusually long ones.
	tokensPerWaiting = 4_000
	// maxReusedDecisions bounds the decision lists that are reused. The grants after a change
	// of dispatcher fill a longer one, which would never be freed.
	maxReusedDecisions = 256
)

// Pool schedules the waiting requests of one pool and tracks the outstanding ones.
type Pool struct {
	leaseLapsed     bool
	id              model.PoolID
	epoch           model.Epoch
	maxWaiting      int
	maxTokens       int64
	teams           map[model.TeamID]model.Team
	defaultTeam     model.TeamID
	minimumShares   [model.TierCount]float64
	fleet           *fleet.Fleet
	instanceDomains map[model.InstanceID]model.FailureDomain

	requests   map[model.RequestID]*request
	byInstance map[model.InstanceID]*request
	byKey      map[model.KeyHash]*request
	tiers      [model.TierCount]tierQueue
	ended      endedRequests
	freeLists  freeLists
	usages     teamUsages
	// overShareRequest is a request chosen ahead of other teams' lower tiers although its team
	// is above its share. overShareBudget is the cost left for such grants at
	// overShareRefilledAt.
	overShareRequest    *request
	overShareBudget     float64
	overShareRefilledAt time.Time
	// totalWeight is the sum of the declared team weights.
	totalWeight float64
	// waitingTokens is the estimated cost of all waiting requests.
	waitingTokens int64
	// followers counts the requests that follow another one with their key.
	followers   int
	outstanding int
	// demand counts the requests of each tier, waiting or outstanding.
	demand     [model.TierCount]int
	throughput throughput
	// lastRelease is when held requests were last released.
	lastRelease time.Time
	// skipped counts the requests that the current call has held.
	skipped int
	// awaited lists the instances that have not been heard from since the pool was created.
	awaited map[model.InstanceID]struct{}
	// grantSequences holds the sequence of the last grant to each instance.
	grantSequences map[model.InstanceID]uint64
	decisions      []Decision
	// taken is the list that Take returned before; its memory is reused.
	taken []Decision
}

// NewPool returns a pool that makes no decisions until it has heard from the expected
// instances.
func NewPool(id model.PoolID, epoch model.Epoch, expected []model.InstanceID) *Pool {
	return NewPoolWith(id, epoch, expected, fleet.NewGradient, uint64(epoch))
}

// NewPoolWith returns a pool with the given concurrency control law and random seed.
func NewPoolWith(id model.PoolID, epoch model.Epoch, expected []model.InstanceID, newLimiter fleet.NewLaw, seed uint64) *Pool {
	p := &Pool{
		id:              id,
		epoch:           epoch,
		maxWaiting:      defaultMaxWaiting,
		maxTokens:       defaultMaxWaiting * tokensPerWaiting,
		fleet:           fleet.New(newLimiter, seed),
		instanceDomains: make(map[model.InstanceID]model.FailureDomain),
		requests:        make(map[model.RequestID]*request),
		byInstance:      make(map[model.InstanceID]*request),
		byKey:           make(map[model.KeyHash]*request),
		ended:           newEndedRequests(),
		usages:          newTeamUsages(),
		throughput:      newThroughput(),
		awaited:         make(map[model.InstanceID]struct{}),
		grantSequences:  make(map[model.InstanceID]uint64),
	}
	for i := range p.tiers {
		p.tiers[i].init()
	}
	for _, i := range expected {
		p.awaited[i] = struct{}{}
	}
	return p
}

// Ready reports whether the pool has heard from every expected instance.
func (p *Pool) Ready() bool { return len(p.awaited) == 0 }

// Counts returns the numbers of waiting and outstanding requests. Followers of a request
// with the same key occupy no place in the queue and are not counted.
func (p *Pool) Counts() (waiting, outstanding int) {
	return len(p.requests) - p.outstanding - p.followers, p.outstanding
}

// Demand returns the number of waiting and outstanding requests of each tier.
func (p *Pool) Demand() [model.TierCount]int { return p.demand }

// SetLapsed sets whether the lease has expired without news of another holder. A lapsed
// dispatcher still grants: another one grants nothing before every instance follows it, and
// an instance that follows another dispatcher accepts no grant from this one. It sheds
// nothing, because two dispatchers with separate queues could shed a request that is more
// urgent than one that is kept.
func (p *Pool) SetLapsed(now time.Time, lapsed bool) {
	p.leaseLapsed = lapsed
	p.schedule(now)
}

// SetConfig applies the pool's bound and the teams' weights and minimum shares.
func (p *Pool) SetConfig(now time.Time, c *model.Config) {
	if pool, ok := c.Pools[p.id]; ok && pool.MaxWaiting > 0 {
		p.maxWaiting = pool.MaxWaiting
		p.maxTokens = int64(pool.MaxWaiting) * tokensPerWaiting
	}
	p.teams, p.defaultTeam, p.minimumShares = c.Teams, c.DefaultTeam, c.MinimumShare
	p.totalWeight = 0
	for _, id := range slices.Sorted(maps.Keys(c.Teams)) {
		p.totalWeight += p.weight(id)
	}
	for i := range p.tiers {
		p.tiers[i].setWeights(p.weight)
	}
	p.schedule(now)
}

// SetServers replaces the list of the backend servers that serve the pool.
func (p *Pool) SetServers(now time.Time, servers []model.BackendServer) {
	p.fleet.Set(servers)
	p.schedule(now)
}

// SetInstances replaces the failure domains of the entry instances.
func (p *Pool) SetInstances(instances []model.Instance) {
	clear(p.instanceDomains)
	for _, i := range instances {
		p.instanceDomains[i.ID] = i.Domain
	}
}

// Load applies a load report, which may be stale.
func (p *Pool) Load(now time.Time, r model.LoadReport) {
	p.fleet.Load(r)
	p.schedule(now)
}

// Cache applies cache events, which may be late and have gaps.
func (p *Pool) Cache(_ time.Time, events []model.CacheEvent) {
	for _, e := range events {
		p.fleet.Cache(e)
	}
}

// Register adds a waiting request. A duplicate registration has no effect, and neither has
// one that arrives after the request has ended.
func (p *Pool) Register(now time.Time, d model.Descriptor) {
	p.freeLists.recycle()
	if e, ok := p.ended.get(d.ID); ok && e.final {
		return
	}
	p.add(d)
	p.schedule(now)
}

// add tracks and enqueues a waiting request, or makes it follow another one with its key. It
// ignores a request that the pool already has or whose tier is unknown.
func (p *Pool) add(d model.Descriptor) {
	if p.requests[d.ID] != nil || d.Tier >= model.TierCount {
		return
	}
	r := p.track(d)
	if !p.coalesce(r) {
		p.enqueue(r)
	}
}

// Withdraw removes a waiting request.
func (p *Pool) Withdraw(now time.Time, id model.RequestID) {
	r := p.requests[id]
	if r != nil && r.phase == granted {
		// The grant is in transit; the instance will return it.
		return
	}
	p.ended.add(id, endRecord{final: true})
	if r != nil {
		p.removeAndPromote(r)
	}
	p.schedule(now)
}

// Report applies the progress of a granted request. A report about an earlier grant of the
// request, or after its end, has no effect.
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
		p.finish(now, r, g)
	}
	p.schedule(now)
}

// finish removes a granted request after its final progress report.
func (p *Pool) finish(now time.Time, r *request, g model.Progress) {
	// A returned or failed request may be registered again: it may not have run.
	final := g.Kind == model.ProgressFinished || g.Kind == model.ProgressCancelled
	p.ended.add(r.desc.ID, endRecord{final: final, grant: grantKeyOf(&r.run.grant)})
	if g.Kind == model.ProgressFinished {
		p.throughput.observeFinished(now, r, g.Tokens)
	}
	if g.Kind == model.ProgressReturned {
		p.removeAndPromote(r)
		return
	}
	p.notifyFollowers(r)
	p.untrack(r)
}

// Resync applies the list of one instance's waiting and outstanding requests. It may be older
// than messages that have already arrived, so it only adds requests.
func (p *Pool) Resync(now time.Time, from model.InstanceID, waiting []model.Descriptor, outstanding []Outstanding) {
	for i := range outstanding {
		p.adopt(now, &outstanding[i])
	}
	for _, d := range waiting {
		e, ended := p.ended.get(d.ID)
		switch {
		case ended && e.evicted:
			p.emit(Decision{Kind: e.kind, Descriptor: d, Reason: "repeated for an instance that still lists the request"})
		case !ended || !e.final || e.instanceGone:
			p.add(d)
		}
	}
	delete(p.awaited, from)
	p.schedule(now)
}

// adopt tracks a request that another dispatcher granted.
func (p *Pool) adopt(now time.Time, o *Outstanding) {
	id := o.Grant.Request
	if e, ok := p.ended.get(id); ok && (e.final && !e.instanceGone || e.grant == grantKeyOf(&o.Grant)) {
		return
	}
	r := p.requests[id]
	if r != nil && r.phase == granted {
		return
	}
	if r != nil {
		// The message that listed it as waiting is older than the grant.
		p.removeAndPromote(r)
	}
	r = p.track(o.Descriptor)
	r.phase = granted
	r.run = p.freeLists.run()
	r.run.grant = o.Grant
	p.fleet.Resume(now, &r.run.work, &r.desc, o.Grant)
	p.outstanding++
	p.throughput.observeGrant(now, r.desc.Tier)
	if r.desc.Key.IsZero() {
		return
	}
	switch leader := p.byKey[r.desc.Key]; {
	case leader == nil:
		p.byKey[r.desc.Key] = r
	case leader.phase == waiting:
		p.replaceLeader(leader, r)
	}
}

// InstanceGone removes the requests of an instance up to an incarnation.
func (p *Pool) InstanceGone(now time.Time, id model.InstanceID, incarnation model.Incarnation) {
	for r := p.byInstance[id]; r != nil; {
		// Removing a request can only link others of this instance before it.
		next := r.next
		if r.desc.ID.Incarnation <= incarnation {
			p.removeOrphan(r)
		}
		r = next
	}
	delete(p.awaited, id)
	p.schedule(now)
}

// removeOrphan removes a request of an instance that is gone.
func (p *Pool) removeOrphan(r *request) {
	p.ended.add(r.desc.ID, endRecord{final: true, instanceGone: true})
	if r.phase == granted {
		p.fleet.Progress(&r.run.work, model.Progress{Request: r.desc.ID, Kind: model.ProgressCancelled})
	}
	p.removeAndPromote(r)
}

// Tick runs the scheduling that depends on time: expiry and the release of held requests.
func (p *Pool) Tick(now time.Time) { p.schedule(now) }

// Take returns the decisions since the last call. They are valid until the next call: a new
// list for each message was a quarter of the memory that a decision allocates.
func (p *Pool) Take() []Decision {
	if len(p.decisions) == 0 {
		return nil
	}
	out := p.decisions
	clear(p.taken)
	p.decisions = p.taken[:0]
	p.taken = out
	if cap(out) > maxReusedDecisions {
		p.taken = nil
	}
	return out
}

// emit appends a decision with the current counts for Take.
func (p *Pool) emit(d Decision) {
	d.Waiting, d.Outstanding = p.Counts()
	p.decisions = append(p.decisions, d)
}

// weight returns the weight of a team, that of the default team if it is not declared.
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
