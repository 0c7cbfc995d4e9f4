package relay

import (
	"time"

	"briaryard/internal/decide/routing"
	"briaryard/internal/fault"
	"briaryard/internal/model"
)

// Arrival is a request as received from its caller.
type Arrival struct {
	ID model.RequestID
	// At is the time of arrival; zero means now.
	At      time.Time
	Attempt string
	// Host, Path and Key select the route and the team.
	Host, Path, Key string
	// Timeout is the caller's timeout, or zero if it states none.
	Timeout                  time.Duration
	Prompt, Output, Expected int
	Model                    string
	Domain                   model.FailureDomain
	// Point selects one of the services of a split route; see routing.Service.
	Point float64
}

// Admission holds the routing table that arrivals are admitted by, and how long it is valid.
type Admission struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// AsOf is when the table was last confirmed to be the accepted one, and Lease how long that
	// confirmation is valid.
	AsOf  time.Time
	Lease time.Duration
}

// Current reports whether the table may be used. A revoked key must not be admitted for longer than
// the lease, so a table that was not confirmed within the lease must not be used.
func (a *Admission) Current(now time.Time) bool {
	return a.Table != nil && now.Sub(a.AsOf) < a.Lease
}

// Admit resolves the route, the service and the team of an arrival and sets its deadline.
func (a *Admission) Admit(now time.Time, r *Arrival) (Request, fault.Fault) {
	if a.Table == nil {
		return Request{}, &fault.Unconfirmed{}
	}
	revision := a.Table.Revision()
	if !a.Current(now) {
		return Request{}, &fault.Unconfirmed{Revision: revision, Age: now.Sub(a.AsOf)}
	}
	route, ok := a.Table.Route(r.Host, r.Path)
	if !ok {
		return Request{}, &fault.UnknownRoute{Host: r.Host, Path: r.Path, Revision: revision}
	}
	var team model.TeamID
	if a.Table.NeedsKey(route) {
		t, ok := a.Table.Team(r.Key)
		if !ok {
			return Request{}, &fault.UnknownKey{Missing: r.Key == "", Revision: revision}
		}
		team = t.ID
	}
	arrived := r.At
	if arrived.IsZero() {
		arrived = now
	}
	timeout := route.Timeout
	if r.Timeout > 0 && r.Timeout < timeout {
		timeout = r.Timeout
	}
	return Request{
		ID: r.ID, Attempt: r.Attempt, Route: route, Service: routing.Service(route, r.Point), Team: team, Revision: revision,
		Arrived: arrived, Deadline: arrived.Add(timeout), Prompt: r.Prompt, Output: r.Output, Expected: r.Expected,
		Model: r.Model, Domain: r.Domain,
	}, nil
}
