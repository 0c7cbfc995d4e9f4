package fault

import (
	"fmt"
	"net/http"

	"briaryard/internal/model"
)

// CodePeerUnreachable names a failure of the connection to another instance.
var CodePeerUnreachable = register("peer-unreachable", "Instance cannot be reached", http.StatusServiceUnavailable, model.NotRun, ExitUnavailable)

// PeerUnreachable reports a message that cannot be sent to an instance.
type PeerUnreachable struct{ Instance model.InstanceID }

// Code implements Fault.
func (e *PeerUnreachable) Code() Code { return CodePeerUnreachable }
func (e *PeerUnreachable) Error() string {
	return fmt.Sprintf("instance %q cannot be reached", e.Instance)
}
