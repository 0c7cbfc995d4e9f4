package dispatch

import (
	"strconv"
	"time"

	"briaryard/internal/decide/fleet"
	"briaryard/internal/model"
)

const (
	// refusalMargin is the part of the shortest possible time that a request must have left.
	// Below 1, an estimate that is somewhat high refuses nothing that could still be in time.
	refusalMargin = 0.8
	// grantMargin is the error of an estimate that a grant must allow for. Later grants to
	// the same engine slow the request down, and prompt work spent on a late answer is lost.
	grantMargin = 1.8
	// holdInterval is the time after which requests that no open server could answer in time
	// are tried again.
	holdInterval = 20 * time.Millisecond
	// maxPassed bounds the requests that one call passes over, and so its cost. The next
	// call goes on behind them.
	maxPassed = 16
	// maxHeld bounds the requests held in one tier, and so the cost of putting them back. A
	// tier at the bound gets no grants until then; the lower tiers go on.
	maxHeld = 256
	// creditLimit bounds what a tier can save of its minimum share, in tokens.
	creditLimit = 50_000
	// slackFactor covers errors of the completion rate when a lower tier goes first.
	slackFactor = 2
)

// decide grants and evicts as far as the state allows.
func (p *Pool) decide(now time.Time) {
	if !p.Ready() {
		return
	}
	if now.Sub(p.lastHeld) >= holdInterval {
		p.lastHeld = now
		for i := range p.tiers {
			p.tiers[i].release()
		}
	}
	p.expire(now)
	p.passed = 0
	for p.fleet.Free() > 0 {
		r := p.pick(now)
		if r == nil {
			break
		}
		if !p.place(now, r) {
			break
		}
	}
	if !p.lapsed {
		p.shed()
	}
}

// lastUseful returns the last time at which a grant could still meet the deadline.
func (p *Pool) lastUseful(d *model.Descriptor) int64 {
	if p.fleet.Usable() == 0 {
		return d.Deadline.UnixNano()
	}
	least := p.fleet.Least(d, float64(d.OutputTokens)*min(p.pace.output[d.Tier], 1))
	return d.Deadline.UnixNano() - int64(float64(least)*refusalMargin*grantMargin)
}

// expire refuses requests that can no longer meet their deadline. The estimate is made
// again first, because speeds may have been learned since.
func (p *Pool) expire(now time.Time) {
	at := now.UnixNano()
	for i := range p.tiers {
		t := &p.tiers[i]
		for t.useful.len() > 0 {
			r := t.useful.top()
			if r.useful >= at {
				break
			}
			r.useful = p.lastUseful(&r.desc)
			if r.useful >= at {
				t.useful.fix(0)
				continue
			}
			p.drop(r)
			if p.fleet.Usable() == 0 {
				p.evict(r, NoServer, "no backend server serves the pool")
			} else {
				p.evict(r, DeadlineUnreachable, "the fastest idle server could not answer in time")
			}
		}
	}
}

// pick returns the next request in order, or nil.
func (p *Pool) pick(now time.Time) *request {
	first := -1
	for i := range p.tiers {
		t := &p.tiers[i]
		if t.starts.len() > 0 && len(t.held) < maxHeld {
			first = i
			break
		}
	}
	if first < 0 {
		return nil
	}
	if lower := p.entitled(now, first); lower >= 0 {
		first = lower
	}
	return p.fairer(now, p.tiers[first].starts.top().deadlines.top())
}

// entitled returns a tier below the first that is owed part of its minimum share, if every
// more urgent request can wait for it without missing its deadline; else -1.
func (p *Pool) entitled(now time.Time, first int) int {
	ahead := int64(0)
	slack := time.Duration(1<<63 - 1)
	for i := range p.tiers {
		t := &p.tiers[i]
		if i > first && t.starts.len() > 0 && t.credit > 0 {
			cost := ahead + t.starts.top().deadlines.top().cost
			if p.pace.rate > 0 && slack.Seconds() > slackFactor*float64(cost)/p.pace.rate {
				return i
			}
		}
		if t.useful.len() > 0 {
			slack = min(slack, time.Duration(t.useful.top().useful-now.UnixNano()))
		}
		ahead += t.backlog
	}
	return -1
}

// place grants a request if an open server can answer it in time, else holds it back. It
// reports whether to go on.
func (p *Pool) place(now time.Time, r *request) bool {
	d := &r.desc
	output := float64(d.OutputTokens) * p.pace.output[d.Tier]
	e, inTime, found := p.fleet.Choose(now, d, p.domains[d.ID.Instance], output, time.Duration(float64(d.Deadline.Sub(now))/grantMargin))
	if !found {
		return false
	}
	if !inTime {
		t := &p.tiers[d.Tier]
		if len(t.held) >= maxHeld || p.passed >= maxPassed {
			return false
		}
		p.passed++
		t.hold(r)
		return true
	}
	p.grant(now, r, e)
	return true
}

func (p *Pool) grant(now time.Time, r *request, e fleet.Estimate) {
	t := &p.tiers[r.desc.Tier]
	t.charge(r.flow, r.cost)
	if p.ahead == r {
		p.aheadLeft -= float64(r.cost)
	}
	p.ahead = nil
	p.usages.charge(r.flow.usage, float64(r.cost)/r.flow.weight)
	p.credit(r)
	p.dequeue(r)
	r.phase = granted
	p.sequences[r.desc.ID.Instance]++
	r.run = p.spares.run()
	r.run.grant = model.Grant{Request: r.desc.ID, Pool: p.id, Server: e.Server, Incarnation: e.Incarnation, Epoch: p.epoch}
	r.run.sequence = p.sequences[r.desc.ID.Instance]
	p.fleet.Begin(now, &r.run.work, &r.desc, r.run.grant)
	p.outstanding++
	p.pace.began(now, r.desc.Tier)
	p.emit(Decision{Kind: Granted, Sequence: r.run.sequence, Descriptor: r.desc, Grant: r.run.grant, Reason: reason(e)})
}

// credit accounts a grant to the minimum shares of the tiers that wait.
func (p *Pool) credit(r *request) {
	for i := range p.tiers {
		t := &p.tiers[i]
		if t.waiting == 0 {
			t.credit = 0
			continue
		}
		t.credit = min(t.credit+p.minimum[i]*float64(r.cost), creditLimit)
		if i == int(r.desc.Tier) {
			t.credit = max(t.credit-float64(r.cost), -creditLimit)
		}
	}
}

func reason(e fleet.Estimate) string {
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
