package model

import "time"

// Document is one complete version of the route configuration. It replaces every version with a
// lower revision. It is immutable.
type Document struct {
	Revision Revision
	Routes   []HTTPRoute
	Services map[PoolID]RoutedService
	Teams    []RoutedTeam
	Limits   CallerLimits
}

// RequestKind states whether a request may run more than once.
type RequestKind uint8

// Kinds of requests.
const (
	// KindOnce runs at most once.
	KindOnce RequestKind = iota
	// KindRepeatable may run any number of times.
	KindRepeatable
	// KindStream is answered by an event stream and runs at most once, unless its route allows it to
	// be resumed.
	KindStream
)

// String returns the kind's name.
func (k RequestKind) String() string {
	return [...]string{"once", "repeatable", "stream"}[min(k, KindStream)]
}

// HTTPRoute routes the requests for one host and path prefix to services.
type HTTPRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Objective is the time within which the answer, or its first event, counts as on time.
	Objective time.Duration
	// GapObjective is the longest gap between two events that counts as on time.
	GapObjective time.Duration
	// Patience is how long callers wait for the first event before they disconnect; zero means until
	// their deadline.
	Patience time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Split distributes the requests over services; the sum of the weights is positive.
	Split []Share
	// MaxServers is the maximum number of backend servers to which one request may be sent.
	MaxServers int
	// Public routes need no API key.
	Public bool
	// Resumable streams can be continued by another backend server.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *HTTPRoute) MayRepeat() bool { return r.Kind == KindRepeatable || r.Resumable }

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service PoolID
	Weight  int
}

// RoutedService is a set of interchangeable backend servers.
type RoutedService struct {
	ID PoolID
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// EngineLimits holds the capacity of each model engine of a service.
type EngineLimits struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the memory for running requests and cached prompts.
	MemoryTokens int
	// EventTokens is the number of output tokens in one event of an answer; 0 if unknown.
	EventTokens int
}

// RoutedTeam is a team with its API keys and its allotment.
type RoutedTeam struct {
	ID   TeamID
	Keys []string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Allotment is nil if the team has no limit.
	Allotment *Allotment
}

// Allotment is the fleet-wide rate limit of a team.
type Allotment struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
	// CountTokens makes a request cost its number of tokens instead of one unit.
	CountTokens bool
	// PlainTokens is the cost of a request without tokens if CountTokens is set.
	PlainTokens int
}

// Cost returns the cost of a request in units.
func (a *Allotment) Cost(tokens int) float64 {
	switch {
	case !a.CountTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(a.PlainTokens)
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderField is one field of a header. A name may occur more than once.
type HeaderField struct{ Name, Value string }

// HTTPCall is an HTTP request to a backend server.
type HTTPCall struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header []HeaderField
	Body   []byte
}

// HTTPAnswer is a complete response of a backend server.
type HTTPAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
}
