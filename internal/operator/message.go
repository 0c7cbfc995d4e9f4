package operator

import (
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
)

// Paths of the endpoint.
const (
	PathHealth  = "/operator/v1/health"
	PathReady   = "/operator/v1/ready"
	PathStatus  = "/operator/v1/status"
	PathDuties  = "/operator/v1/duties"
	PathMembers = "/operator/v1/members"
	PathLeases  = "/operator/v1/leases"
	PathVoters  = "/operator/v1/voters"
	PathConfig  = "/operator/v1/config"
	PathHistory = "/operator/v1/config/history"
	PathExplain = "/operator/v1/explain"
	PathMetrics = "/operator/v1/metrics"
	PathDrain   = "/operator/v1/drain"
	// PathText serves the metrics in the text exposition format.
	PathText = "/metrics"
)

// Health is the answer of PathHealth: status 200, or 503 if a service is unhealthy. An instance
// that accepts no new requests can be healthy; PathReady reports readiness.
type Health struct {
	Unhealthy map[string]string `json:"unhealthy"`
}

// Reasons why an instance is not ready.
const (
	ReasonStarting  = "starting"
	ReasonWithdrawn = "withdrawn"
	ReasonLeaving   = "leaving"
	ReasonBusy      = "busy"
)

// Readiness is the answer of PathReady: status 200 if the instance accepts new requests, or 503 with
// the reason why it does not. It is independent of the health of the process.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Duties is the answer of PathDuties.
type Duties struct {
	Duties []kernel.DutyInfo `json:"duties"`
}

// Instance is an instance as this one sees it.
type Instance struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	State         string `json:"state"`
	FailureDomain string `json:"failure_domain"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address,omitempty"`
	Voter         bool   `json:"voter"`
	Withdrawn     bool   `json:"withdrawn"`
}

// Server is a backend server as this instance sees it.
type Server struct {
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	State         string   `json:"state"`
	Kind          string   `json:"kind"`
	Pools         []string `json:"pools"`
	FailureDomain string   `json:"failure_domain"`
	Address       string   `json:"address"`
	Home          string   `json:"home"`
	Slots         int      `json:"slots"`
	Generation    string   `json:"generation,omitempty"`
}

// Members is the answer of PathMembers.
type Members struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"backend_servers"`
}

// Lease is a lease of the control group. Holder is empty while the lease is not held.
type Lease struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Placement is the state of placement. Orders and Missing are known only at the instance
// that holds the lease, where Here is true.
type Placement struct {
	Holder  string    `json:"holder"`
	Here    bool      `json:"here"`
	Loads   int       `json:"loads"`
	Orders  []Order   `json:"orders"`
	Missing []Missing `json:"missing"`
}

// Order is an order to an engine whose outcome the engine's announcements have not confirmed yet.
type Order struct {
	ID      string    `json:"id"`
	Kind    string    `json:"kind"`
	Server  string    `json:"backend_server"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Phase   string    `json:"phase"`
	Since   time.Time `json:"since"`
}

// Missing reports a pool that has fewer engines in a failure domain than declared.
type Missing struct {
	Pool          string    `json:"pool"`
	FailureDomain string    `json:"failure_domain"`
	Want          int       `json:"want"`
	Have          int       `json:"have"`
	Since         time.Time `json:"since"`
	Reason        string    `json:"reason,omitempty"`
}

// Leases is the answer of PathLeases.
type Leases struct {
	Leases []Lease `json:"leases"`
}

// Voters is the answer of GET PathVoters.
type Voters struct {
	Leader string   `json:"leader"`
	Voters []string `json:"voters"`
}

// VoterChange is the body of POST PathVoters.
type VoterChange struct {
	Instance string `json:"instance"`
	Remove   bool   `json:"remove"`
}

// Confirmation is the revision that an instance has in force.
type Confirmation struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	Stopping bool   `json:"stopping"`
}

// Config is the answer of GET PathConfig: the newest accepted configuration that this
// instance knows and the revision in force at each instance.
type Config struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change_id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Content  string    `json:"content"`
	InForce  uint64    `json:"in_force_here"`
	// Withdrawn means that the instance cannot confirm its configuration. A newer one may
	// exist.
	Withdrawn bool           `json:"withdrawn"`
	Confirmed []Confirmation `json:"confirmed"`
}

// Change is one accepted change.
type Change struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change_id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// History is the answer of PathHistory: the changes that the control group retains, oldest first.
// Complete is false if the control group did not answer; then the changes are those that the
// instance has received since it started.
type History struct {
	Complete bool     `json:"complete"`
	Changes  []Change `json:"changes"`
}

// Apply is the body of POST PathConfig. A change that is resent with the same id and content
// gets the same answer as the first time.
type Apply struct {
	ChangeID string `json:"change_id"`
	// Base is the revision on which the change is based.
	Base uint64 `json:"base_revision"`
	// Number is the requested revision of the change; zero means Base+1.
	Number   uint64 `json:"number,omitempty"`
	Operator string `json:"operator"`
	Content  string `json:"content"`
}

// Applied is the answer of POST PathConfig.
type Applied struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// Exception is an exception in force.
type Exception struct {
	Target string `json:"target"`
	Field  string `json:"field"`
	Value  string `json:"value"`
	Owner  string `json:"owner"`
	Reason string `json:"reason"`
	Until  string `json:"until,omitempty"`
	// Ended means that the end date has passed. The exception stays in force until the next
	// change. A change that still contains it is refused.
	Ended bool `json:"ended"`
}

// Status is the answer of PathStatus.
type Status struct {
	Instance      string            `json:"instance"`
	Incarnation   uint64            `json:"incarnation"`
	FailureDomain string            `json:"failure_domain"`
	Started       time.Time         `json:"started"`
	Unhealthy     map[string]string `json:"unhealthy"`
	Revision      uint64            `json:"revision_in_force"`
	Accepted      uint64            `json:"accepted_revision"`
	Confirmed     []Confirmation    `json:"confirmed"`
	Exceptions    []Exception       `json:"exceptions"`
	Leases        []Lease           `json:"leases"`
	Leader        string            `json:"leader"`
	Voters        []string          `json:"voters"`
	// Placement is absent while placement is not declared.
	Placement *Placement `json:"placement,omitempty"`
	Members
	Duties  []kernel.DutyInfo `json:"duties"`
	Metrics []metric.Value    `json:"metrics"`
}

// Explanation is the answer of PathExplain: the events of a request that this instance still
// retains, oldest first.
type Explanation struct {
	Request  string         `json:"request"`
	Instance string         `json:"instance"`
	Events   []event.Record `json:"events"`
}

// Metrics is the answer of PathMetrics.
type Metrics struct {
	Metrics []metric.Value `json:"metrics"`
}

// Draining is the answer of POST PathDrain.
type Draining struct {
	Instance string `json:"instance"`
}
