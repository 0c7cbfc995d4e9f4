package dispatch

import (
	"fmt"
	"slices"
	"time"

	"briaryard/internal/model"
)

// defaultMaxWaiting applies to pools that declare no bound.
const defaultMaxWaiting = 50_000

// Pool orders the waiting requests of one pool.
type Pool struct {
	id          model.PoolID
	epoch       model.Epoch
	maxWaiting  int
	waiting     []model.Descriptor
	servers     map[model.BackendServerID]model.BackendServer
	outstanding map[model.RequestID]Outstanding
	load        map[model.BackendServerID]int
	// expected lists the instances that have not been heard from since the pool was created.
	expected map[model.InstanceID]struct{}
	out      []Decision
}

// NewPool returns a pool that decides nothing until it has heard from the expected instances.
func NewPool(id model.PoolID, epoch model.Epoch, expected []model.InstanceID) *Pool {
	p := &Pool{
		id:          id,
		epoch:       epoch,
		maxWaiting:  defaultMaxWaiting,
		servers:     make(map[model.BackendServerID]model.BackendServer),
		outstanding: make(map[model.RequestID]Outstanding),
		load:        make(map[model.BackendServerID]int),
		expected:    make(map[model.InstanceID]struct{}),
	}
	for _, i := range expected {
		p.expected[i] = struct{}{}
	}
	return p
}

// Ready reports whether the pool has heard from every expected instance.
func (p *Pool) Ready() bool { return len(p.expected) == 0 }

// Counts returns the numbers of waiting and outstanding requests.
func (p *Pool) Counts() (waiting, outstanding int) { return len(p.waiting), len(p.outstanding) }

// SetConfig takes the pool's and the teams' declarations.
func (p *Pool) SetConfig(now time.Time, c *model.Config) {
	if pool, ok := c.Pools[p.id]; ok && pool.MaxWaiting > 0 {
		p.maxWaiting = pool.MaxWaiting
	}
	p.decide(now)
}

// SetServers takes the backend servers that serve the pool.
func (p *Pool) SetServers(now time.Time, servers []model.BackendServer) {
	clear(p.servers)
	for _, s := range servers {
		p.servers[s.ID] = s
	}
	p.decide(now)
}

// Load takes a load report. It may be old.
func (p *Pool) Load(time.Time, model.LoadReport) {}

// Cache takes cache events of one server. They may be late and have gaps.
func (p *Pool) Cache(time.Time, []model.CacheEvent) {}

// Register adds a waiting request. A repeat changes nothing.
func (p *Pool) Register(now time.Time, d model.Descriptor) {
	if _, ok := p.outstanding[d.ID]; ok || p.find(d.ID) >= 0 {
		return
	}
	p.waiting = append(p.waiting, d)
	p.decide(now)
}

// Withdraw removes a waiting request.
func (p *Pool) Withdraw(now time.Time, id model.RequestID) {
	if i := p.find(id); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.decide(now)
}

// Report takes the course of a granted request.
func (p *Pool) Report(now time.Time, g model.Progress) {
	if g.Kind.Final() {
		p.release(g.Request)
	}
	p.decide(now)
}

// Resync takes one instance's waiting and outstanding requests.
func (p *Pool) Resync(now time.Time, from model.InstanceID, waiting []model.Descriptor, outstanding []Outstanding) {
	for _, o := range outstanding {
		if _, ok := p.outstanding[o.Grant.Request]; !ok {
			p.outstanding[o.Grant.Request] = o
			p.load[o.Grant.Server]++
		}
	}
	for _, d := range waiting {
		if p.find(d.ID) < 0 {
			p.waiting = append(p.waiting, d)
		}
	}
	delete(p.expected, from)
	p.decide(now)
}

// InstanceGone forgets the requests of an instance up to an incarnation.
func (p *Pool) InstanceGone(now time.Time, id model.InstanceID, incarnation model.Incarnation) {
	gone := func(r model.RequestID) bool { return r.Instance == id && r.Incarnation <= incarnation }
	p.waiting = slices.DeleteFunc(p.waiting, func(d model.Descriptor) bool { return gone(d.ID) })
	for r := range p.outstanding {
		if gone(r) {
			p.release(r)
		}
	}
	delete(p.expected, id)
	p.decide(now)
}

// Tick applies time limits.
func (p *Pool) Tick(now time.Time) { p.decide(now) }

// Take returns the decisions since the last call.
func (p *Pool) Take() []Decision {
	out := p.out
	p.out = nil
	return out
}

func (p *Pool) release(id model.RequestID) {
	if o, ok := p.outstanding[id]; ok {
		delete(p.outstanding, id)
		p.load[o.Grant.Server]--
	}
}

func (p *Pool) find(id model.RequestID) int {
	return slices.IndexFunc(p.waiting, func(d model.Descriptor) bool { return d.ID == id })
}

// decide grants and evicts as far as the state allows.
func (p *Pool) decide(now time.Time) {
	if !p.Ready() {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b model.Descriptor) int {
		if a.Tier != b.Tier {
			return int(a.Tier) - int(b.Tier)
		}
		return a.Deadline.Compare(b.Deadline)
	})
	for len(p.waiting) > 0 {
		d := p.waiting[0]
		if now.After(d.Deadline) {
			p.waiting = p.waiting[1:]
			p.emit(Decision{Kind: DeadlineUnreachable, Descriptor: d, Reason: "deadline passed"})
			continue
		}
		s, ok := p.leastLoaded()
		if !ok {
			break
		}
		p.waiting = p.waiting[1:]
		p.grant(d, s)
	}
	for len(p.waiting) > p.maxWaiting {
		last := p.waiting[len(p.waiting)-1]
		p.waiting = p.waiting[:len(p.waiting)-1]
		p.emit(Decision{Kind: Shed, Descriptor: last, Reason: "waiting set full; lowest tier"})
	}
}

func (p *Pool) grant(d model.Descriptor, s model.BackendServer) {
	g := model.Grant{Request: d.ID, Pool: p.id, Server: s.ID, Incarnation: s.Incarnation, Epoch: p.epoch}
	p.outstanding[d.ID] = Outstanding{Grant: g, Descriptor: d}
	p.load[s.ID]++
	reason := fmt.Sprintf("least outstanding: %d of %d slots", p.load[s.ID], s.Slots)
	p.emit(Decision{Kind: Granted, Descriptor: d, Grant: g, Reason: reason})
}

func (p *Pool) emit(d Decision) {
	d.Waiting, d.Outstanding = p.Counts()
	p.out = append(p.out, d)
}

// leastLoaded returns the usable server with the smallest share of used slots.
func (p *Pool) leastLoaded() (model.BackendServer, bool) {
	var best model.BackendServer
	found := false
	for id, s := range p.servers {
		if !s.Usable() || p.load[id] >= s.Slots {
			continue
		}
		if !found || p.load[id] < p.load[best.ID] || p.load[id] == p.load[best.ID] && id < best.ID {
			best = s
			found = true
		}
	}
	return best, found
}
