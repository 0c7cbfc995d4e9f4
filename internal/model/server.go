package model

import (
	"slices"
	"time"
)

// ServerKind distinguishes backend servers.
type ServerKind uint8

// Kinds of backend servers.
const (
	// EngineServer is a model engine.
	EngineServer ServerKind = iota
	// PlainServer is a plain service.
	PlainServer
)

// String returns the form used in announcements.
func (k ServerKind) String() string {
	if k == PlainServer {
		return "plain"
	}
	return "engine"
}

// MemberState is the state of a backend server or instance in a membership view.
type MemberState uint8

// Member states. Within one incarnation a member only moves from Alive to Suspect and back,
// or forward to Leaving and Gone.
const (
	Alive MemberState = iota
	Suspect
	Leaving
	Gone
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "leaving", "gone"}[min(s, Gone)]
}

// BackendServer is what the fleet knows of a backend server.
type BackendServer struct {
	ID          BackendServerID
	Incarnation Incarnation
	// Sequence orders the records of one incarnation.
	Sequence uint64
	State    MemberState
	// Home is the instance that the server announces itself to.
	Home    InstanceID
	Address string
	Domain  FailureDomain
	Kind    ServerKind
	// Pools are the models or the plain service that it serves.
	Pools    []PoolID
	Adapters []string
	// Models are the names of the models that a routed engine serves; empty for any.
	Models []string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Generation names the hardware generation; speeds are learned per generation.
	Generation string
	// ChecksFencing tells whether it refuses orders with an old fencing number.
	ChecksFencing bool
	// Order is the newest order that an engine has accepted, as it announces it.
	Order AnnouncedOrder
}

// Serves reports whether the server serves a pool.
func (s *BackendServer) Serves(pool PoolID) bool { return slices.Contains(s.Pools, pool) }

// HasAdapter reports whether an adapter is loaded.
func (s *BackendServer) HasAdapter(name string) bool { return slices.Contains(s.Adapters, name) }

// Usable reports whether new work may go to the server.
func (s *BackendServer) Usable() bool { return s.State == Alive }

// Instance is what the fleet knows of an instance of briaryard.
type Instance struct {
	ID          InstanceID
	Incarnation Incarnation
	Sequence    uint64
	State       MemberState
	Domain      FailureDomain
	// PeerAddress is where other instances connect.
	PeerAddress string
	// CallerAddress is where callers connect.
	CallerAddress string
	// ServerAddress is where backend servers announce themselves.
	ServerAddress string
	// OperatorAddress is where operators connect.
	OperatorAddress string
	// Voter tells whether the instance has a data folder and takes part in the control group.
	Voter bool
	// Withdrawn means that the instance takes no new work for now although it is alive.
	Withdrawn bool
}

// View is an immutable picture of the membership.
type View struct {
	Version uint64
	// Settled means that this instance has heard the whole membership from another one, or
	// knows that it is alone. Before that, instances may be missing from the view.
	Settled   bool
	Instances []Instance
	Servers   []BackendServer
}

// Server returns the record of a backend server.
func (v *View) Server(id BackendServerID) (BackendServer, bool) {
	for i := range v.Servers {
		if v.Servers[i].ID == id {
			return v.Servers[i], true
		}
	}
	return BackendServer{}, false
}

// Instance returns the record of an instance.
func (v *View) Instance(id InstanceID) (Instance, bool) {
	for i := range v.Instances {
		if v.Instances[i].ID == id {
			return v.Instances[i], true
		}
	}
	return Instance{}, false
}

// LoadReport is a backend server's own account of its load. It describes the past: At is
// when the server took the reading.
type LoadReport struct {
	Server      BackendServerID
	Incarnation Incarnation
	At          time.Time
	Running     int
	Queued      int
	// PrefillTokens is the prompt work that the engine has not computed yet.
	PrefillTokens int
	// CacheUsed is the used share of the prefix cache, 0 to 1.
	CacheUsed float64
	Adapters  []string
}

// CacheEvent is an engine's report that a prefix was stored in or evicted from its cache.
// Events are numbered per server; a gap means that events were lost.
type CacheEvent struct {
	Server      BackendServerID
	Incarnation Incarnation
	Seq         uint64
	Evicted     bool
	Prefix      uint64
	Tokens      int
}
