package dispatch

import (
	"time"

	"briaryard/internal/model"
)

// usageLead is the time, in seconds of the pool's throughput, by which a team may be ahead
// of the least served waiting team. It covers bursts: a team within its share is rarely
// ahead by more.
const usageLead = 2

// aheadShare is the part of the pool's throughput that teams above their share may take
// before lower tiers of other teams, for requests that have waited half of their time. With
// it, interactive goodput of a team at 20 times its share rises from 63% to 99.9% in
// workload A at no cost to the others; a twice as large part cost others their batch work
// when the team had the largest weight. docs/decisions/shares.md has the figures.
const aheadShare = 0.15

// usage is what a team has used over all tiers, as virtual time. Shares within a tier do
// not stop a team that sends everything in high tiers, so that lower tiers of the others
// never run. Usage changes the order of grants only; shedding stays strict by tier.
type usage struct {
	team    model.TeamID
	start   float64
	waiting int
	index   int
	// flows are the team's, by tier; nil or empty where nothing waits.
	flows [model.TierCount]*flow
}

// usages orders the teams that wait by what they have used.
type usages struct {
	teams   map[model.TeamID]*usage
	order   heap[*usage]
	virtual float64
}

func newUsages() usages {
	return usages{
		teams: make(map[model.TeamID]*usage),
		order: heap[*usage]{
			key:   func(u *usage) float64 { return u.start },
			less:  func(a, b *usage) bool { return a.team < b.team },
			place: func(u *usage, i int) { u.index = i },
		},
	}
}

// enter counts a request that has been added to a flow.
func (s *usages) enter(f *flow) {
	u := s.teams[f.team]
	if u == nil {
		u = &usage{team: f.team, index: -1}
		s.teams[f.team] = u
	}
	f.usage = u
	u.flows[f.tier] = f
	if u.waiting++; u.waiting == 1 {
		u.start = max(u.start, s.virtual)
		s.order.push(u)
	}
}

func (s *usages) leave(u *usage) {
	if u.waiting--; u.waiting == 0 {
		s.order.remove(u.index)
		if u.start <= s.virtual {
			delete(s.teams, u.team)
		}
	}
}

// charge accounts a grant to a team that waits.
func (s *usages) charge(u *usage, virtual float64) {
	s.virtual = max(s.virtual, s.order.top().start)
	u.start += virtual
	s.order.fix(u.index)
}

// fairer returns the request to grant instead of one of a team that is far ahead of the
// least served team: that team's most urgent request. The top tier is never put back.
func (p *Pool) fairer(now time.Time, r *request) *request {
	if r.desc.Tier == model.Urgent || p.pace.rate == 0 || p.totalWeight == 0 {
		return r
	}
	least := p.usages.order.top()
	if r.flow.usage.start-least.start <= usageLead*p.pace.rate/p.totalWeight {
		return r
	}
	for _, f := range least.flows {
		if f != nil && f.deadlines.len() > 0 {
			other := f.deadlines.top()
			if other.desc.Tier > r.desc.Tier && p.goesAhead(now, r, least) {
				return r
			}
			return other
		}
	}
	return r
}

// goesAhead reports whether a request of a team above its share goes before the lower tiers
// of the least served team: its time runs out, the other team's has not, and the allowance
// of the pool for this is not used up.
func (p *Pool) goesAhead(now time.Time, r *request, least *usage) bool {
	at := now.UnixNano()
	if 2*(r.useful-at) > r.useful-r.desc.Arrived.UnixNano() {
		return false
	}
	if p.aheadNow(now) <= 0 {
		return false
	}
	backlog := int64(0)
	for i, f := range least.flows {
		backlog += p.tiers[i].backlog
		if own := r.flow.usage.flows[i]; own != nil {
			backlog -= own.backlog
		}
		if f == nil || f.deadlines.len() == 0 || i <= int(r.desc.Tier) {
			continue
		}
		left := time.Duration(f.deadlines.top().useful - at)
		if left.Seconds() < slackFactor*float64(backlog)/p.pace.rate {
			return false
		}
	}
	p.ahead = r
	return true
}

// aheadNow returns the cost that teams above their share may still take before lower tiers
// of others.
func (p *Pool) aheadNow(now time.Time) float64 {
	most := aheadShare * usageLead * p.pace.rate
	p.aheadLeft = min(p.aheadLeft+now.Sub(p.aheadAt).Seconds()*aheadShare*p.pace.rate, most)
	p.aheadAt = now
	return p.aheadLeft
}
