package dispatch

import (
	"briaryard/internal/model"
)

// track enters a request in the indexes by id and by instance.
func (p *Pool) track(d model.Descriptor) *request {
	r := p.spares.request()
	*r = request{desc: d, cost: d.Cost(), byDeadline: -1, byCost: -1, byUseful: -1}
	p.requests[d.ID] = r
	p.demand[d.Tier]++
	r.next = p.instances[d.ID.Instance]
	if r.next != nil {
		r.next.prev = r
	}
	p.instances[d.ID.Instance] = r
	return r
}

// forget removes a request from every index. Its followers must have been dealt with.
func (p *Pool) forget(r *request) {
	if r.phase == granted {
		p.outstanding--
		p.pace.ended(r.desc.Tier)
	}
	p.dequeue(r)
	delete(p.requests, r.desc.ID)
	p.demand[r.desc.Tier]--
	switch {
	case r.prev != nil:
		r.prev.next = r.next
	case r.next != nil:
		p.instances[r.desc.ID.Instance] = r.next
	default:
		delete(p.instances, r.desc.ID.Instance)
	}
	if r.next != nil {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	p.spares.retire(r)
}

// drop removes a request that did not run; a follower takes its place.
func (p *Pool) drop(r *request) {
	if r.leader != nil {
		p.unfollow(r)
	}
	p.forget(r)
	p.succeed(r)
}

// enqueue adds a request to the order of its tier.
func (p *Pool) enqueue(r *request) {
	r.phase = waiting
	r.useful = p.lastUseful(&r.desc)
	t := &p.tiers[r.desc.Tier]
	t.insert(r, p.weight(r.desc.Team))
	p.tokens += r.cost
	p.usages.enter(r.flow)
}

// dequeue takes a request out of the order, if it is there.
func (p *Pool) dequeue(r *request) {
	if r.flow == nil {
		return
	}
	used := r.flow.usage
	p.tiers[r.desc.Tier].remove(r)
	p.tokens -= r.cost
	p.usages.leave(used)
}

// evict emits an eviction of a request that has been dropped.
func (p *Pool) evict(r *request, kind Kind, reason string) {
	p.memory.add(r.desc.ID, ending{final: true, evicted: true, kind: kind})
	p.emit(Decision{Kind: kind, Descriptor: r.desc, Reason: reason})
}

// shed evicts while the waiting set is over a bound: the lowest tier present, then the team
// furthest over its share, then that team's most costly request.
func (p *Pool) shed() {
	for {
		waiting, _ := p.Counts()
		if waiting <= p.maxWaiting && p.tokens <= p.maxTokens {
			return
		}
		for i := model.TierCount - 1; i >= 0; i-- {
			t := &p.tiers[i]
			if t.waiting == 0 {
				continue
			}
			r := t.excesses.top().costs.top()
			p.drop(r)
			p.evict(r, Shed, "waiting set full: lowest tier, team furthest over its share, most costly")
			break
		}
	}
}
