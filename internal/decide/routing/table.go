package routing

import (
	"cmp"
	"slices"
	"strings"

	"briaryard/internal/model"
)

// Table indexes the routes and the team keys of one configuration.
type Table struct {
	Document *model.RouteConfig
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*model.HTTPRoute
	teams map[string]*model.RoutedTeam
	// mostUrgentRank is the lowest rank of the routes.
	mostUrgentRank int
}

// New returns the table of a configuration.
func New(d *model.RouteConfig) *Table {
	t := &Table{Document: d, hosts: make(map[string][]*model.HTTPRoute), teams: make(map[string]*model.RoutedTeam)}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		if i == 0 || r.Rank < t.mostUrgentRank {
			t.mostUrgentRank = r.Rank
		}
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *model.HTTPRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Teams {
		for _, key := range d.Teams[i].Keys {
			t.teams[key] = &d.Teams[i]
		}
	}
	return t
}

// Revision returns the revision of the configuration.
func (t *Table) Revision() model.Revision { return t.Document.Revision }

// Route returns the route with the longest prefix of the path. The host may carry a port.
func (t *Table) Route(host, path string) (*model.HTTPRoute, bool) {
	host, _, _ = strings.Cut(host, ":")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests on a route must carry a key.
func (t *Table) NeedsKey(r *model.HTTPRoute) bool { return len(t.Document.Teams) > 0 && !r.Public }

// Team returns the team that holds a key.
func (t *Table) Team(key string) (*model.RoutedTeam, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// MostUrgent reports whether a request has the most urgent rank of all routes. One without a route has not.
func (t *Table) MostUrgent(host, path string) bool {
	route, ok := t.Route(host, path)
	return ok && route.Rank == t.mostUrgentRank
}

// Service chooses a service of a route by weight. The point is at least 0 and below 1; evenly distributed
// points give each service its share.
func Service(r *model.HTTPRoute, point float64) model.PoolID {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := int(point * float64(total))
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
