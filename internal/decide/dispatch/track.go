package dispatch

import (
	"briaryard/internal/model"
)

// track adds a request to the indexes by ID and by instance.
func (p *Pool) track(d model.Descriptor) *request {
	r := p.freeLists.request()
	*r = request{desc: d, cost: d.Cost(), deadlineIndex: -1, costIndex: -1, latestGrantIndex: -1}
	p.requests[d.ID] = r
	p.demand[d.Tier]++
	r.next = p.byInstance[d.ID.Instance]
	if r.next != nil {
		r.next.prev = r
	}
	p.byInstance[d.ID.Instance] = r
	return r
}

// untrack removes a request from every index. The caller must have handled its followers.
func (p *Pool) untrack(r *request) {
	if r.phase == granted {
		p.outstanding--
		p.throughput.observeEnd(r.desc.Tier)
	}
	p.dequeue(r)
	delete(p.requests, r.desc.ID)
	p.demand[r.desc.Tier]--
	switch {
	case r.prev != nil:
		r.prev.next = r.next
	case r.next != nil:
		p.byInstance[r.desc.ID.Instance] = r.next
	default:
		delete(p.byInstance, r.desc.ID.Instance)
	}
	if r.next != nil {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	p.freeLists.release(r)
}

// removeAndPromote removes a request that did not run; one of its followers takes its place.
func (p *Pool) removeAndPromote(r *request) {
	if r.leader != nil {
		p.removeFollower(r)
	}
	p.untrack(r)
	p.promoteFollower(r)
}

// enqueue adds a request to the queue of its tier.
func (p *Pool) enqueue(r *request) {
	r.phase = waiting
	r.latestGrant = p.latestGrantTime(&r.desc)
	t := &p.tiers[r.desc.Tier]
	t.insert(r, p.weight(r.desc.Team))
	p.waitingTokens += r.cost
	p.usages.add(r.flow)
}

// dequeue removes a request from the queue of its tier, if it is there.
func (p *Pool) dequeue(r *request) {
	if r.flow == nil {
		return
	}
	used := r.flow.usage
	p.tiers[r.desc.Tier].remove(r)
	p.waitingTokens -= r.cost
	p.usages.remove(used)
}

// evict records and emits the eviction of a request that has been removed.
func (p *Pool) evict(r *request, kind Kind, reason string) {
	p.ended.add(r.desc.ID, endRecord{final: true, evicted: true, kind: kind})
	p.emit(Decision{Kind: kind, Descriptor: r.desc, Reason: reason})
}

// shed evicts requests while a bound on waiting requests or tokens is exceeded: from the
// lowest tier present, the team furthest above its share, that team's most costly request.
func (p *Pool) shed() {
	for {
		waiting, _ := p.Counts()
		if waiting <= p.maxWaiting && p.waitingTokens <= p.maxTokens {
			return
		}
		for i := model.TierCount - 1; i >= 0; i-- {
			t := &p.tiers[i]
			if t.waiting == 0 {
				continue
			}
			r := t.byFinish.top().byCost.top()
			p.removeAndPromote(r)
			p.evict(r, Shed, "waiting set full: lowest tier, team furthest over its share, most costly")
			break
		}
	}
}
