package model

import "time"

// Document is a configuration of routes: one whole version that takes the place of every version
// with a lower number. It is immutable.
type Document struct {
	Revision Revision
	Routes   []HTTPRoute
	Services map[PoolID]RoutedService
	Teams    []RoutedTeam
	Limits   CallerLimits
}

// RequestKind states what may be repeated.
type RequestKind uint8

// Kinds of requests.
const (
	// KindOnce runs at most once.
	KindOnce RequestKind = iota
	// KindRepeatable may run any number of times.
	KindRepeatable
	// KindStream is answered by a series of events and runs at most once, unless its route lets it
	// be resumed.
	KindStream
)

// String returns the kind's name.
func (k RequestKind) String() string {
	return [...]string{"once", "repeatable", "stream"}[min(k, KindStream)]
}

// HTTPRoute sends the requests of one host and path prefix to services.
type HTTPRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RequestKind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time until the answer, or its first event, that counts as on time.
	Objective time.Duration
	// GapObjective is the longest pause between events that counts as on time.
	GapObjective time.Duration
	// Patience is how long callers wait for the first event before they leave; zero means until
	// their deadline.
	Patience time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Split lists the services with their shares, which add up to more than 0.
	Split []Share
	// MaxServers is the number of backend servers to which one request may be sent.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams can go on at another backend server.
	Resumable bool
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *HTTPRoute) MayRepeat() bool { return r.Kind == KindRepeatable || r.Resumable }

// Share is a service's part of a route.
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

// EngineLimits describe each model engine of a service.
type EngineLimits struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens is the memory for running requests and cached prompts.
	MemoryTokens int
	// EventTokens is the number of output tokens in one event of an answer; 0 if it is not known.
	EventTokens int
}

// RoutedTeam is a team with its keys and its allotment.
type RoutedTeam struct {
	ID   TeamID
	Keys []string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Allotment is nil without a limit.
	Allotment *Allotment
}

// Allotment limits what the fleet lets through for a team.
type Allotment struct {
	// Rate is in units a second, Burst in units.
	Rate, Burst float64
	// CountTokens makes a request count as its tokens, else as one.
	CountTokens bool
	// PlainTokens is what a request without tokens counts as.
	PlainTokens int
}

// Cost returns what a request counts as.
func (a *Allotment) Cost(tokens int) float64 {
	switch {
	case !a.CountTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(a.PlainTokens)
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// HeaderField is one field of a header. A name may occur more than once.
type HeaderField struct{ Name, Value string }

// HTTPCall is a request as it goes to a backend server.
type HTTPCall struct {
	Method string
	// Target is the path with the query as the caller sent it.
	Target string
	Host   string
	Header []HeaderField
	Body   []byte
}

// HTTPAnswer is a whole answer of a backend server.
type HTTPAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
}
