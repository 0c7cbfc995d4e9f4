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
	Timeout                                    time.Duration
	PromptTokens, OutputTokens, ExpectedTokens int
	Model                                      string
	Parts                                      []model.PromptPart
	Domain                                     model.FailureDomain
	// Fingerprint identifies the request over several attempts of its caller, or is zero.
	Fingerprint uint64
	// SplitPoint selects one of the services of a split route; see routing.Service.
	SplitPoint float64
	// Keyed is set if the request has an idempotency key.
	Keyed bool
}

// Admission holds the routing table that arrivals are admitted by, and how long it is valid.
type Admission struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// ConfirmedAt is when the table was last confirmed to be the accepted one, and Lease how long
	// that confirmation is valid.
	ConfirmedAt time.Time
	Lease       time.Duration
	// StopAt is when this instance ends its open requests because it is being stopped, or zero.
	StopAt time.Time
}

// Current reports whether the table may be used. A revoked key must not be admitted for longer than
// the lease, so a table that was not confirmed within the lease must not be used.
func (a *Admission) Current(now time.Time) bool {
	return a.Table != nil && now.Sub(a.ConfirmedAt) < a.Lease
}

// Admit resolves the route, the service and the team of an arrival and sets its deadline. A stopping
// instance refuses what may run beyond its stop.
func (a *Admission) Admit(now time.Time, r *Arrival) (Request, fault.Fault) {
	if a.Table == nil {
		return Request{}, &fault.Unconfirmed{}
	}
	revision := a.Table.Revision()
	if !a.Current(now) {
		return Request{}, &fault.Unconfirmed{Revision: revision, Age: now.Sub(a.ConfirmedAt)}
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
	deadline := arrived.Add(timeout)
	if !a.StopAt.IsZero() && deadline.After(a.StopAt) {
		// The expected length of an answer is no bound; only the deadline is.
		return Request{}, &fault.InstanceClosing{}
	}
	return Request{
		ID: r.ID, Attempt: r.Attempt, Route: route, Service: routing.Service(route, r.SplitPoint), Team: team, Revision: revision,
		Arrived: arrived, Deadline: deadline, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, ExpectedTokens: r.ExpectedTokens,
		Model: r.Model, Parts: r.Parts, Domain: r.Domain, Fingerprint: r.Fingerprint, Keyed: r.Keyed,
	}, nil
}

// Holds reports whether the table still admits a request with a key on its route. It says nothing of the time since
// the table was confirmed.
func (a *Admission) Holds(r *Request, host, path, key string) bool {
	route, ok := a.Table.Route(host, path)
	if !ok || route.Name != r.Route.Name {
		return false
	}
	if !a.Table.NeedsKey(route) {
		return true
	}
	t, ok := a.Table.Team(key)
	return ok && t.ID == r.Team
}
