package model

import (
	"net/netip"
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

// Member states. Within one incarnation a member may alternate between Alive and Suspect; a
// transition to Leaving or Gone is never reversed.
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

// BackendServer is the membership record of a backend server.
type BackendServer struct {
	ID          BackendServerID
	Incarnation Incarnation
	// Sequence orders the records of one incarnation.
	Sequence uint64
	State    MemberState
	// Home is the instance to which the server announces itself.
	Home    InstanceID
	Address string
	Domain  FailureDomain
	Kind    ServerKind
	// Pools are the models or the plain service that it serves.
	Pools    []PoolID
	Adapters []string
	// Version is the version of the program that the server runs, or empty.
	Version string
	// Models are the names of the models that a routed engine serves; empty means any.
	Models []string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Generation names the hardware generation; speeds are estimated per generation.
	Generation string
	// ChecksFencing reports whether it rejects orders with a stale fencing token.
	ChecksFencing bool
	// Order is the newest order that an engine has accepted, as announced by the engine.
	Order AnnouncedOrder
}

// Serves reports whether the server serves a pool.
func (s *BackendServer) Serves(pool PoolID) bool { return slices.Contains(s.Pools, pool) }

// HasAdapter reports whether an adapter is loaded.
func (s *BackendServer) HasAdapter(name string) bool { return slices.Contains(s.Adapters, name) }

// Usable reports whether the server may be given new work.
func (s *BackendServer) Usable() bool { return s.State == Alive }

// MaxServerHold bounds ServerNotice.HoldFor.
const MaxServerHold = 5 * time.Minute

// MinServerLimit and MaxServerLimit bound ServerNotice.Limit, in requests per second.
const (
	MinServerLimit = 0.1
	MaxServerLimit = 1e6
)

// ServerNotice is what a backend server has said about itself in an answer.
type ServerNotice struct {
	Server      BackendServerID
	Incarnation Incarnation
	// Leaving is set if the server is about to leave and wants no new request.
	Leaving bool
	// HoldFor is how long the server wants no request from the instance that it answered, or zero.
	HoldFor time.Duration
	// Invalid is the text that HoldFor replaces because it could not be read or was out of range.
	Invalid string
	// Limit is the number of requests a second that the server takes from all instances together, or zero if
	// the notice says nothing of it. LimitEnded is set if the server names no limit any more; SentAt is then
	// when the request was sent that it answered.
	Limit      float64
	LimitEnded bool
	SentAt     time.Time
	// InvalidLimit is a limit that could not be read. It changes nothing.
	InvalidLimit string
}

// Instance is the membership record of an instance of briaryard.
type Instance struct {
	ID          InstanceID
	Incarnation Incarnation
	Sequence    uint64
	State       MemberState
	Domain      FailureDomain
	// PeerAddress is the address for other instances.
	PeerAddress string
	// CallerAddress is the address for callers.
	CallerAddress string
	// ServerAddress is the address for announcements of backend servers.
	ServerAddress string
	// OperatorAddress is the address for operators.
	OperatorAddress string
	// Voter reports whether the instance has a data folder and takes part in the control group.
	Voter bool
	// Withdrawn means that the instance is alive but currently accepts no new work.
	Withdrawn bool
}

// View is an immutable snapshot of the membership.
type View struct {
	Version uint64
	// Settled means that this instance has received the whole membership from another instance, or
	// knows that there is no other. Before that, instances may be missing from the view.
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

// LoadReport is the load that a backend server reports. It may be out of date: At is the time at
// which the server measured it.
type LoadReport struct {
	Server      BackendServerID
	Incarnation Incarnation
	At          time.Time
	Running     int
	Queued      int
	// PrefillTokens is the number of prompt tokens that the engine has not computed yet.
	PrefillTokens int
	// CacheUsed is the fraction of the prefix cache in use, 0 to 1.
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

// AddressFault returns why no connection can be opened to an address, or "" for an IP address with a port
// from 1 to 65535 in canonical form.
func AddressFault(address string) string {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return "is no IP address with a port from 1 to 65535"
	case a.Port() == 0:
		return "has port 0"
	case a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return "is not the address of one host"
	case a.String() != address:
		return "is not in canonical form"
	}
	return ""
}
