package fault

import (
	"fmt"
	"net/http"

	"briaryard/internal/model"
)

// Codes of failures between instances and of the membership.
var (
	CodePeerUnreachable = register("peer-unreachable", "Instance cannot be reached", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)
	CodePeerRefused     = register("peer-refused", "Instance refused the connection", http.StatusForbidden, model.NotRun, ExitUnavailable)
	CodePeerProtocol    = register("peer-protocol", "Invalid data from an instance", http.StatusBadGateway, model.NotRun, ExitUnavailable)
	CodeIncarnationGone = register("incarnation-gone", "Incarnation has been removed", http.StatusConflict, model.NotRun, ExitUnavailable)
	CodeIncarnationUsed = register("incarnation-used", "A later run of this instance is known", http.StatusConflict, model.NotRun, ExitUnavailable)
)

// PeerUnreachable reports a message that cannot be sent because the instance is not reachable.
type PeerUnreachable struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *PeerUnreachable) Code() Code { return CodePeerUnreachable }
func (e *PeerUnreachable) Error() string {
	return fmt.Sprintf("instance %q cannot be reached", e.Instance)
}

// RefusalReason is the reason why an instance refused a connection.
type RefusalReason string

// Reasons for a refused connection.
const (
	RefusedToken       RefusalReason = "wrong fleet token"
	RefusedVersion     RefusalReason = "unknown protocol version"
	RefusedIncarnation RefusalReason = "incarnation is not the latest"
	RefusedDuplicate   RefusalReason = "another connection is in use"
	RefusedSelf        RefusalReason = "the id is this instance's own"
)

// PeerRefused reports a connection that an instance refused.
type PeerRefused struct {
	Address string
	Reason  RefusalReason
	// Known is the latest known incarnation. It is set only for RefusedIncarnation.
	Known model.Incarnation
}

// Code implements Fault.
func (e *PeerRefused) Code() Code { return CodePeerRefused }
func (e *PeerRefused) Error() string {
	return fmt.Sprintf("connection with %s refused: %s", e.Address, e.Reason)
}

// PeerProtocol reports data from another instance that violates the protocol.
type PeerProtocol struct{ Reason string }

// Code implements Fault.
func (e *PeerProtocol) Code() Code    { return CodePeerProtocol }
func (e *PeerProtocol) Error() string { return "invalid data from an instance: " + e.Reason }

// IncarnationGone reports a heartbeat of a backend server whose incarnation has been removed
// permanently. The server must announce itself with an incarnation above Known.
type IncarnationGone struct {
	Server model.BackendServerID
	Known  model.Incarnation
}

// Code implements Fault.
func (e *IncarnationGone) Code() Code { return CodeIncarnationGone }
func (e *IncarnationGone) Error() string {
	return fmt.Sprintf("incarnation %d of backend server %q has been removed; announce a higher one", e.Known, e.Server)
}

// IncarnationUsed reports that an instance with the same id and a later incarnation than this
// process is known.
type IncarnationUsed struct {
	Instance model.InstanceID
	Known    model.Incarnation
}

// Code implements Fault.
func (e *IncarnationUsed) Code() Code { return CodeIncarnationUsed }
func (e *IncarnationUsed) Error() string {
	return fmt.Sprintf("instance %q runs elsewhere with incarnation %d", e.Instance, e.Known)
}
