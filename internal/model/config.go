package model

import "time"

// Config is the fleet configuration in force. It is immutable once accepted.
type Config struct {
	Revision Revision
	Teams    map[TeamID]Team
	Pools    map[PoolID]Pool
	// DefaultTeam applies to callers that name a team without a declaration; empty refuses them.
	DefaultTeam TeamID
	// MinimumShare is the share of each tier's capacity that lower tiers cannot lose while
	// no higher tier would miss a deadline, 0 to 1.
	MinimumShare [TierCount]float64
	// Placement is nil if placement is not declared; then no orders are given to engines.
	Placement *Placement
	// Exceptions are the declared deviations from the defaults. Their values are already
	// part of Teams and Pools where they apply.
	Exceptions []Exception
}

// Exception is a declared deviation of one field, with the person who answers for it.
type Exception struct {
	// Exactly one of Team and Pool is set. Instance or Domain narrows the exception.
	Team     TeamID
	Pool     PoolID
	Instance InstanceID
	Domain   FailureDomain
	Field    string
	Value    string
	Owner    string
	Reason   string
	// Until is the last day, UTC; zero means no end.
	Until time.Time
	// File and Line say where the exception is declared.
	File string
	Line int
}

// Ended reports whether the last day of the exception has passed.
func (x *Exception) Ended(now time.Time) bool {
	return !x.Until.IsZero() && !now.Before(x.Until.AddDate(0, 0, 1))
}

// Target names what the exception applies to.
func (x *Exception) Target() string {
	target := "team " + string(x.Team)
	if x.Team == "" {
		target = "pool " + string(x.Pool)
	}
	if x.Instance != "" {
		target += " at instance " + string(x.Instance)
	}
	if x.Domain != "" {
		target += " in failure domain " + string(x.Domain)
	}
	return target
}

// Team declares the share and the limits of a team.
type Team struct {
	ID TeamID
	// Weight is the team's share relative to other teams.
	Weight float64
	// HighestTier is the most urgent tier that the team may ask for.
	HighestTier Tier
	// LowerTier makes a request above HighestTier run at HighestTier instead of refusing it.
	LowerTier bool
	// RatePerSecond and Burst limit the team's requests at each instance; zero is unlimited.
	RatePerSecond float64
	Burst         int
	// Concurrency limits the team's requests in progress at each instance; zero is unlimited.
	Concurrency int
	// CallerRatePerSecond limits one caller of the team at each instance; zero is unlimited.
	CallerRatePerSecond float64
	// CallerConcurrency limits one caller's requests in progress at each instance.
	CallerConcurrency int
}

// Pool declares a model or a plain service.
type Pool struct {
	ID   PoolID
	Kind ServerKind
	// Routes apply to plain services; the first match counts.
	Routes []Route
	// DefaultTier and DefaultDeadline apply when the caller states none.
	DefaultTier     Tier
	DefaultDeadline time.Duration
	// MaxDeadline bounds what a caller may ask for.
	MaxDeadline time.Duration
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// MaxWaiting bounds the waiting requests of the pool in the fleet.
	MaxWaiting int
	// MaxTokens bounds and, if the caller states none, sets the length of an answer.
	MaxTokens int
	// ServersPerDomain is the number of engines placement keeps in each failure domain.
	ServersPerDomain int
	// DomainServers replaces ServersPerDomain in single failure domains.
	DomainServers map[FailureDomain]int
	// WeightBytes is the size of the model in the weight store; zero if it is not declared.
	WeightBytes int64
	// Adapters are loaded on each engine that serves the pool.
	Adapters []string
}

// Placement declares how engines are given their models and adapters.
type Placement struct {
	// LoadsAtOnce bounds the loads from the weight store that run at the same time.
	LoadsAtOnce int
	// BytesPerSecond bounds the declared bytes of models loaded per second; zero is unlimited.
	BytesPerSecond int64
	// ModelsPerEngine is the number of models that an engine holds at most.
	ModelsPerEngine int
	// Settle is how long engines must be missing before an order is given.
	Settle time.Duration
	// Hold is how long a model stays on an engine before it can be unloaded.
	Hold time.Duration
}

// Placed reports whether placement keeps engines for the pool.
func (p *Pool) Placed() bool {
	if p.Kind != EngineServer {
		return false
	}
	for _, n := range p.DomainServers {
		if n > 0 {
			return true
		}
	}
	return p.ServersPerDomain > 0
}

// Servers returns the number of engines that placement keeps in a failure domain.
func (p *Pool) Servers(d FailureDomain) int {
	if n, ok := p.DomainServers[d]; ok {
		return n
	}
	return p.ServersPerDomain
}

// Route declares one kind of call to a plain service.
type Route struct {
	// Method is an HTTP method or "*".
	Method string
	// PathPrefix selects calls by path.
	PathPrefix string
	// Idempotent calls may be repeated without harm. Others need an idempotency key.
	Idempotent bool
}

// Route returns the declaration that applies to a call. An undeclared call counts as
// idempotent only if its method is GET or HEAD, which HTTP defines as safe.
func (p *Pool) Route(method, path string) Route {
	for _, r := range p.Routes {
		if (r.Method == "*" || r.Method == method) && len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix {
			return r
		}
	}
	return Route{Method: method, PathPrefix: path, Idempotent: method == "GET" || method == "HEAD"}
}
