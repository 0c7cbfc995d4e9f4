package logscan

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Usage sums up what a group of requests asked for and got.
type Usage struct {
	// Name is the route, the team or the failure domain of the group, or the second since the first end.
	Name string
	// Asked counts the requests that ended; each of them is counted in one of the next four fields, or in
	// Failed. OnTime and Late were answered, Late after the objective of their route.
	Asked, OnTime, Late, Refused, GivenUp, Failed int
	// RefusedAgain counts the refused requests with the same fingerprint as an earlier refused one.
	RefusedAgain int
	// SlotSeconds is the time between sending a request to a backend server and the end of that call.
	SlotSeconds float64
}

// Results of requests in log lines.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	resultGone     = "caller gone"
)

// add counts one request.
func (u *Usage) add(s *requestSummary, again bool) {
	u.Asked++
	u.SlotSeconds += s.held.Seconds()
	switch {
	case s.result == resultAnswered && (s.objective == 0 || s.first <= s.objective):
		u.OnTime++
	case s.result == resultAnswered:
		u.Late++
	case s.result == resultRefused:
		u.Refused++
		if again {
			u.RefusedAgain++
		}
	case s.result == resultGone:
		u.GivenUp++
	default:
		u.Failed++
	}
}

// usageTable holds the usage of groups by their names.
type usageTable map[string]*Usage

func (t usageTable) add(name string, s *requestSummary, again bool) {
	if t[name] == nil {
		t[name] = &Usage{Name: name}
	}
	t[name].add(s, again)
}

// sorted returns the groups in the order of their names.
func (t usageTable) sorted() []Usage {
	out := make([]Usage, 0, len(t))
	for _, name := range slices.Sorted(maps.Keys(t)) {
		out = append(out, *t[name])
	}
	return out
}

// sumUsage sums up the requests by route, team, failure domain and second.
func (rep *Report) sumUsage(requests map[string]*requestSummary, begin time.Time) {
	ended := make([]*requestSummary, 0, len(requests))
	for _, s := range requests {
		if s.result != "" {
			ended = append(ended, s)
		}
	}
	slices.SortFunc(ended, func(a, b *requestSummary) int { return cmp.Or(a.ended.Compare(b.ended), cmp.Compare(a.route, b.route)) })
	refused := make(map[string]bool)
	byRoute, byTeam, byDomain := make(usageTable), make(usageTable), make(usageTable)
	for _, s := range ended {
		again := s.result == resultRefused && s.fingerprint != "" && refused[s.fingerprint]
		if s.result == resultRefused {
			refused[s.fingerprint] = true
		}
		byRoute.add(s.route, s, again)
		byTeam.add(s.team, s, again)
		byDomain.add(s.domain, s, again)
		second := int(s.ended.Sub(begin) / time.Second)
		for len(rep.UsageBySecond) <= second {
			rep.UsageBySecond = append(rep.UsageBySecond, Usage{})
		}
		rep.UsageBySecond[second].add(s, again)
	}
	rep.UsageByRoute, rep.UsageByTeam, rep.UsageByDomain = byRoute.sorted(), byTeam.sorted(), byDomain.sorted()
}
