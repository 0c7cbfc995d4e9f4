package dispatch

import (
	"strconv"
	"time"

	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

const (
	// expiryMargin scales the shortest possible response time that a waiting request must have
	// left. Below 1, a slightly high estimate evicts no request that could still be in time.
	expiryMargin = 0.8
	// estimateMargin is the estimation error that a grant allows for. Later grants to the same
	// engine slow the request down, and prompt work spent on a late answer is lost.
	estimateMargin = 1.8
	// holdInterval is the interval after which requests that no accepting server could answer
	// in time are tried again.
	holdInterval = 20 * time.Millisecond
	// maxSkipped bounds the requests that one call skips, and so its cost. The next call
	// continues after them.
	maxSkipped = 16
	// maxHeld bounds the held requests of one tier, and so the cost of releasing them. A tier
	// at the bound gets no grants until the release; lower tiers still do.
	maxHeld = 256
	// maxCredit bounds the minimum share that a tier can accumulate or overdraw, in tokens.
	maxCredit = 50_000
	// slackFactor covers errors of the completion rate when a lower tier goes first.
	slackFactor = 2
)

// schedule evicts expired requests, grants while servers have room, and sheds requests above
// the bounds unless the lease has lapsed. It does nothing until the pool is ready.
func (p *Pool) schedule(now time.Time) {
	if !p.Ready() {
		return
	}
	if now.Sub(p.lastRelease) >= holdInterval {
		p.lastRelease = now
		for i := range p.tiers {
			p.tiers[i].release()
		}
	}
	p.expire(now)
	p.skipped = 0
	for p.fleet.Free() > 0 {
		r := p.nextRequest(now)
		if r == nil {
			break
		}
		if !p.tryGrant(now, r) {
			break
		}
	}
	if !p.leaseLapsed {
		p.shed()
	}
}

// latestGrantTime returns the last time at which a grant could still meet the deadline, in
// nanoseconds since 1970.
func (p *Pool) latestGrantTime(d *model.Descriptor) int64 {
	if p.fleet.Usable() == 0 {
		return d.Deadline.UnixNano()
	}
	least := p.fleet.Least(d, float64(d.OutputTokens)*min(p.throughput.outputRatio[d.Tier], 1))
	return d.Deadline.UnixNano() - int64(float64(least)*expiryMargin*estimateMargin)
}

// expire evicts requests that can no longer meet their deadline. It recomputes the latest
// grant time first, because server speeds may have been learned since.
func (p *Pool) expire(now time.Time) {
	at := now.UnixNano()
	for i := range p.tiers {
		t := &p.tiers[i]
		for t.byLatestGrant.len() > 0 {
			r := t.byLatestGrant.top()
			if r.latestGrant >= at {
				break
			}
			r.latestGrant = p.latestGrantTime(&r.desc)
			if r.latestGrant >= at {
				t.byLatestGrant.fix(0)
				continue
			}
			p.removeAndPromote(r)
			if p.fleet.Usable() == 0 {
				p.evict(r, NoServer, "no backend server serves the pool")
			} else {
				p.evict(r, DeadlineUnreachable, "the fastest idle server could not answer in time")
			}
		}
	}
}

// nextRequest returns the next request to grant, or nil if none can be granted.
func (p *Pool) nextRequest(now time.Time) *request {
	first := -1
	for i := range p.tiers {
		t := &p.tiers[i]
		if t.byStart.len() > 0 && len(t.held) < maxHeld {
			first = i
			break
		}
	}
	if first < 0 {
		return nil
	}
	if lower := p.tierOwedMinimum(now, first); lower >= 0 {
		first = lower
	}
	return p.enforceTeamShare(now, p.tiers[first].byStart.top().byDeadline.top())
}

// tierOwedMinimum returns a tier below first that is owed part of its minimum share, if the
// requests of the more urgent tiers can wait for it without missing their deadlines; else -1.
func (p *Pool) tierOwedMinimum(now time.Time, first int) int {
	ahead := int64(0)
	slack := time.Duration(1<<63 - 1)
	for i := range p.tiers {
		t := &p.tiers[i]
		if i > first && t.byStart.len() > 0 && t.credit > 0 {
			cost := ahead + t.byStart.top().byDeadline.top().cost
			if p.throughput.costRate > 0 && slack.Seconds() > slackFactor*float64(cost)/p.throughput.costRate {
				return i
			}
		}
		if t.byLatestGrant.len() > 0 {
			slack = min(slack, time.Duration(t.byLatestGrant.top().latestGrant-now.UnixNano()))
		}
		ahead += t.backlog
	}
	return -1
}

// tryGrant grants a request if an accepting server is expected to answer it in time, else
// holds it. It reports whether to continue with the next request.
func (p *Pool) tryGrant(now time.Time, r *request) bool {
	d := &r.desc
	output := float64(d.OutputTokens) * p.throughput.outputRatio[d.Tier]
	e, inTime, found := p.fleet.Choose(now, d, p.instanceDomains[d.ID.Instance], output, time.Duration(float64(d.Deadline.Sub(now))/estimateMargin))
	if !found {
		return false
	}
	if !inTime {
		t := &p.tiers[d.Tier]
		if len(t.held) >= maxHeld || p.skipped >= maxSkipped {
			return false
		}
		p.skipped++
		t.hold(r)
		return true
	}
	p.grant(now, r, e)
	return true
}

// grant removes a request from its queue, charges its team and tier, and emits the grant.
func (p *Pool) grant(now time.Time, r *request, e fleet.Estimate) {
	t := &p.tiers[r.desc.Tier]
	t.charge(r.flow, r.cost)
	if p.overShareRequest == r {
		p.overShareBudget -= float64(r.cost)
	}
	p.overShareRequest = nil
	p.usages.charge(r.flow.usage, float64(r.cost)/r.flow.weight)
	p.updateCredits(r)
	p.dequeue(r)
	r.phase = granted
	p.grantSequences[r.desc.ID.Instance]++
	r.run = p.freeLists.run()
	r.run.grant = model.Grant{Request: r.desc.ID, Pool: p.id, Server: e.Server, Incarnation: e.Incarnation, Epoch: p.epoch}
	r.run.sequence = p.grantSequences[r.desc.ID.Instance]
	p.fleet.Begin(now, &r.run.work, &r.desc, r.run.grant)
	p.outstanding++
	p.throughput.observeGrant(now, r.desc.Tier)
	p.emit(Decision{Kind: Granted, Sequence: r.run.sequence, Descriptor: r.desc, Grant: r.run.grant, Reason: grantReason(e)})
}

// updateCredits adds a grant's minimum shares to the credits of the waiting tiers and deducts
// its cost from the credit of its own tier.
func (p *Pool) updateCredits(r *request) {
	for i := range p.tiers {
		t := &p.tiers[i]
		if t.waiting == 0 {
			t.credit = 0
			continue
		}
		t.credit = min(t.credit+p.minimumShares[i]*float64(r.cost), maxCredit)
		if i == int(r.desc.Tier) {
			t.credit = max(t.credit-float64(r.cost), -maxCredit)
		}
	}
}

// grantReason formats the estimate behind a grant for the log.
func grantReason(e fleet.Estimate) string {
	// Built without fmt, which took a tenth of the time of a decision.
	b := make([]byte, 0, 112)
	b = append(b, "estimated first token "...)
	b = strconv.AppendInt(b, e.FirstToken.Milliseconds(), 10)
	b = append(b, "ms, end "...)
	b = strconv.AppendInt(b, e.End.Milliseconds(), 10)
	b = append(b, "ms; prompt tokens cached "...)
	b = strconv.AppendInt(b, int64(e.Saved), 10)
	b = append(b, "; in flight "...)
	b = strconv.AppendInt(b, int64(e.InFlight+1), 10)
	b = append(b, " of "...)
	b = strconv.AppendInt(b, int64(e.Window), 10)
	return string(b)
}
