package model

import "time"

// Config is the fleet configuration in force. It is immutable once accepted.
type Config struct {
	Revision Revision
	Teams    map[TeamID]Team
	Pools    map[PoolID]Pool
	// DefaultTeam applies to callers that name an undeclared team; if it is empty, their requests
	// are refused.
	DefaultTeam TeamID
	// MinimumShare is the share of each tier's capacity that lower tiers cannot lose while
	// no higher tier would miss a deadline, 0 to 1.
	MinimumShare [TierCount]float64
	// Placement is nil if placement is not declared; then no orders are sent to engines.
	Placement *Placement
	// Exceptions are the declared exceptions. Teams and Pools already contain the values of those
	// that apply.
	Exceptions []Exception
}

// Exception overrides one field of a team or pool and names the person responsible for it.
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
	// Until is the last day on which the exception is valid, in UTC; zero means no end date.
	Until time.Time
	// File and Line locate the declaration.
	File string
	Line int
}

// Ended reports whether the last day of the exception has passed.
func (x *Exception) Ended(now time.Time) bool {
	return !x.Until.IsZero() && !now.Before(x.Until.AddDate(0, 0, 1))
}

// Target describes the scope of the exception for messages.
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
	// HighestTier is the most urgent tier that the team may request.
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
	// Routes apply to plain services; the first match is used.
	Routes []Route
	// DefaultTier and DefaultDeadline apply when the caller sets none.
	DefaultTier     Tier
	DefaultDeadline time.Duration
	// MaxDeadline bounds the deadline that a caller may request.
	MaxDeadline time.Duration
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// MaxWaiting bounds the waiting requests of the pool in the fleet.
	MaxWaiting int
	// MaxTokens bounds the length of an answer and is its default if the caller sets none.
	MaxTokens int
	// ServersPerDomain is the number of engines that placement maintains in each failure domain.
	ServersPerDomain int
	// DomainServers overrides ServersPerDomain for individual failure domains.
	DomainServers map[FailureDomain]int
	// WeightBytes is the size of the model in the weight store; zero if it is not declared.
	WeightBytes int64
	// Adapters are loaded on each engine that serves the pool.
	Adapters []string
}

// Placement configures how models and adapters are assigned to engines.
type Placement struct {
	// LoadsAtOnce bounds the concurrent loads from the weight store.
	LoadsAtOnce int
	// BytesPerSecond bounds the declared bytes of models loaded per second; zero is unlimited.
	BytesPerSecond int64
	// ModelsPerEngine is the number of models that an engine holds at most.
	ModelsPerEngine int
	// Settle is how long engines must be missing before an order is sent.
	Settle time.Duration
	// Hold is the minimum time that a model stays on an engine before it can be unloaded.
	Hold time.Duration
}

// Placed reports whether placement maintains engines for the pool.
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

// Servers returns the number of engines that placement maintains in a failure domain.
func (p *Pool) Servers(d FailureDomain) int {
	if n, ok := p.DomainServers[d]; ok {
		return n
	}
	return p.ServersPerDomain
}

// Route declares whether matching calls to a plain service are idempotent.
type Route struct {
	// Method is an HTTP method or "*".
	Method string
	// PathPrefix selects calls by path.
	PathPrefix string
	// Idempotent calls may be executed more than once. Other calls need an idempotency key.
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
