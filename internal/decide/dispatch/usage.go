package dispatch

import (
	"time"

	"briaryard/internal/model"
)

// maxUsageLead is how far a team's usage may be ahead of that of the least served waiting
// team, in seconds of the pool's throughput. It covers bursts: a team within its share is
// rarely further ahead.
const maxUsageLead = 2

// overShareFraction is the fraction of the pool's throughput that teams above their share may
// use ahead of other teams' lower tiers, for requests that have waited half of their time. It
// raises the interactive goodput of a team at 20 times its share from 63% to 99.9% in workload
// A at no cost to other teams; twice the fraction cost others batch work when the team had the
// largest weight. See docs/decisions/shares.md.
const overShareFraction = 0.15

// teamUsage is a team's use over all tiers, as virtual time. Fair shares within a tier alone do
// not stop a team that sends all its requests in high tiers from starving the lower tiers of
// other teams. Usage affects the order of grants only; shedding stays strict by tier.
type teamUsage struct {
	team         model.TeamID
	virtualStart float64
	waiting      int
	index        int
	// flows are the team's flows by tier; nil or empty where no request waits.
	flows [model.TierCount]*flow
}

// teamUsages holds the usage of each team and orders the teams with waiting requests by it.
type teamUsages struct {
	teams       map[model.TeamID]*teamUsage
	byStart     heap[*teamUsage]
	virtualTime float64
}

func newTeamUsages() teamUsages {
	return teamUsages{
		teams: make(map[model.TeamID]*teamUsage),
		byStart: heap[*teamUsage]{
			key:      func(u *teamUsage) float64 { return u.virtualStart },
			less:     func(a, b *teamUsage) bool { return a.team < b.team },
			setIndex: func(u *teamUsage, i int) { u.index = i },
		},
	}
}

// add counts a request that has been added to a flow.
func (s *teamUsages) add(f *flow) {
	u := s.teams[f.team]
	if u == nil {
		u = &teamUsage{team: f.team, index: -1}
		s.teams[f.team] = u
	}
	f.usage = u
	u.flows[f.tier] = f
	if u.waiting++; u.waiting == 1 {
		u.virtualStart = max(u.virtualStart, s.virtualTime)
		s.byStart.push(u)
	}
}

// remove counts a request that has been removed from a flow. It deletes the usage of a team
// without waiting requests and without use beyond the virtual time.
func (s *teamUsages) remove(u *teamUsage) {
	if u.waiting--; u.waiting == 0 {
		s.byStart.remove(u.index)
		if u.virtualStart <= s.virtualTime {
			delete(s.teams, u.team)
		}
	}
}

// charge adds the cost of a grant to the usage of a team that still has waiting requests.
func (s *teamUsages) charge(u *teamUsage, virtual float64) {
	s.virtualTime = max(s.virtualTime, s.byStart.top().virtualStart)
	u.virtualStart += virtual
	s.byStart.fix(u.index)
}

// enforceTeamShare returns r, or the most urgent request of the least served team if r's team
// is too far ahead of that team. It never replaces a request of the top tier.
func (p *Pool) enforceTeamShare(now time.Time, r *request) *request {
	if r.desc.Tier == model.Urgent || p.throughput.costRate == 0 || p.totalWeight == 0 {
		return r
	}
	least := p.usages.byStart.top()
	if r.flow.usage.virtualStart-least.virtualStart <= maxUsageLead*p.throughput.costRate/p.totalWeight {
		return r
	}
	for _, f := range least.flows {
		if f != nil && f.byDeadline.len() > 0 {
			other := f.byDeadline.top()
			if other.desc.Tier > r.desc.Tier && p.mayExceedShare(now, r, least) {
				return r
			}
			return other
		}
	}
	return r
}

// mayExceedShare reports whether a request of a team above its share may go ahead of the lower
// tiers of the least served team: at least half of its time is used up, the other team's
// requests can wait, and budget for such grants is left.
func (p *Pool) mayExceedShare(now time.Time, r *request, least *teamUsage) bool {
	at := now.UnixNano()
	if 2*(r.latestGrant-at) > r.latestGrant-r.desc.Arrived.UnixNano() {
		return false
	}
	if p.refillOverShareBudget(now) <= 0 {
		return false
	}
	backlog := int64(0)
	for i, f := range least.flows {
		backlog += p.tiers[i].backlog
		if own := r.flow.usage.flows[i]; own != nil {
			backlog -= own.backlog
		}
		if f == nil || f.byDeadline.len() == 0 || i <= int(r.desc.Tier) {
			continue
		}
		left := time.Duration(f.byDeadline.top().latestGrant - at)
		if left.Seconds() < slackFactor*float64(backlog)/p.throughput.costRate {
			return false
		}
	}
	p.overShareRequest = r
	return true
}

// refillOverShareBudget refills the budget for the time since the last call and returns the
// cost that teams above their share may use ahead of other teams' lower tiers.
func (p *Pool) refillOverShareBudget(now time.Time) float64 {
	limit := overShareFraction * maxUsageLead * p.throughput.costRate
	p.overShareBudget = min(p.overShareBudget+now.Sub(p.overShareRefilledAt).Seconds()*overShareFraction*p.throughput.costRate, limit)
	p.overShareRefilledAt = now
	return p.overShareBudget
}
