package logscan

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"briaryard/internal/event"
)

// Report sums up what became of the requests in the logs.
type Report struct {
	Routes []RouteReport
	// Seconds holds the requests that ended in each second since the first one, by result.
	Seconds []map[string]int
	// UsageByRoute, UsageByTeam, UsageByDomain and UsageBySecond say who asked, who was served, and who held
	// the slots of the backend servers.
	UsageByRoute, UsageByTeam, UsageByDomain, UsageBySecond []Usage
	// Skipped counts the lines that were no log lines, Dropped the log.dropped lines.
	Skipped, Dropped int
}

// RouteReport sums up the requests of one route. Requests that were refused before their route was known
// are under the route "".
type RouteReport struct {
	Route string
	Asked int
	// Results counts the requests by the way they ended.
	Results map[string]int
	// Denials counts them by the reason of the scheduler, or by the code of the refusal.
	Denials map[string]int
	// Sends counts the calls to backend servers.
	Sends int
	// First holds the times to the first event of answered requests, Waited those from the arrival to the
	// grant, both sorted.
	First, Waited []time.Duration
}

// Quantile returns a quantile of sorted values, or zero.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// requestSummary collects the lines about one request.
type requestSummary struct {
	route, team, domain      string
	result, denial, code     string
	fingerprint              string
	ended                    time.Time
	sends                    int
	first, waited, objective time.Duration
	granted                  bool
	// sentAt is when the current call was sent, or zero; held is the time of all calls.
	sentAt time.Time
	held   time.Duration
}

// Summarize reads the logs and sums up the requests by route.
func Summarize(in io.Reader) (*Report, error) {
	requests := make(map[string]*requestSummary)
	rep := &Report{}
	var err error
	rep.Skipped, err = Scan(in, func([]byte) bool { return true }, func(r Record) {
		if r.is(event.LogDropped) {
			rep.Dropped++
		}
		id := r.Text("request")
		if id == "" {
			return
		}
		s := requests[id]
		if s == nil {
			s = &requestSummary{}
			requests[id] = s
		}
		s.add(&r)
	})
	if err != nil {
		return nil, err
	}
	rep.group(requests)
	return rep, nil
}

// add takes one line about the request.
func (s *requestSummary) add(r *Record) {
	switch {
	case r.is(event.ScheduleGranted):
		s.granted, s.waited = true, r.Duration("waited")
	case r.is(event.ScheduleDenied):
		s.denial = r.Text("reason")
	case r.is(event.RoutedSent):
		s.sends++
		if s.sentAt.IsZero() {
			s.sentAt = r.Time
		}
	case r.is(event.HedgeEnded):
		// The second call of a request runs beside the first one.
		s.held += r.Duration("ran")
	case r.is(event.RoutedAgain):
		s.endCall(r.Time)
	case r.is(event.RoutedRefused):
		s.code = r.Text("code")
		if s.result == "" {
			s.result, s.ended = "refused", r.Time
		}
	case r.is(event.RoutedEnded):
		s.endCall(r.Time)
		s.route, s.result, s.ended, s.first = r.Text("route"), r.Text("result"), r.Time, r.Duration("first")
		s.team, s.domain, s.objective, s.fingerprint = r.Text("team"), r.Text("domain"), r.Duration("objective"), r.Text("fingerprint")
	}
}

// endCall ends the current call, if there is one.
func (s *requestSummary) endCall(now time.Time) {
	if !s.sentAt.IsZero() {
		s.held += now.Sub(s.sentAt)
		s.sentAt = time.Time{}
	}
}

// group adds the requests up by route and by second.
func (rep *Report) group(requests map[string]*requestSummary) {
	routes := make(map[string]*RouteReport)
	var begin time.Time
	for _, s := range requests {
		if s.result != "" && (begin.IsZero() || s.ended.Before(begin)) {
			begin = s.ended
		}
	}
	for _, s := range requests {
		if s.result == "" {
			// The logs do not have its end.
			continue
		}
		r := routes[s.route]
		if r == nil {
			r = &RouteReport{Route: s.route, Results: make(map[string]int), Denials: make(map[string]int)}
			routes[s.route] = r
		}
		r.add(s)
		second := int(s.ended.Sub(begin) / time.Second)
		for len(rep.Seconds) <= second {
			rep.Seconds = append(rep.Seconds, make(map[string]int))
		}
		rep.Seconds[second][s.result]++
	}
	rep.sumUsage(requests, begin)
	for _, r := range routes {
		slices.Sort(r.First)
		slices.Sort(r.Waited)
	}
	rep.Routes = make([]RouteReport, 0, len(routes))
	for _, r := range slices.SortedFunc(maps.Values(routes), func(a, b *RouteReport) int { return cmp.Compare(a.Route, b.Route) }) {
		rep.Routes = append(rep.Routes, *r)
	}
}

// add counts one request.
func (r *RouteReport) add(s *requestSummary) {
	r.Asked++
	r.Results[s.result]++
	r.Sends += s.sends
	if s.granted {
		r.Waited = append(r.Waited, s.waited)
	}
	switch {
	case s.result == "answered":
		r.First = append(r.First, s.first)
	case s.denial != "":
		r.Denials[s.denial]++
	case s.code != "":
		r.Denials[s.code]++
	}
}
