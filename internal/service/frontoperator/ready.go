package frontoperator

import (
	"net/http"

	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/operator"
)

// getReady reports whether the instance takes new requests: the address list contains it and it has
// a configuration. Readiness is separate from health: a withdrawn instance works and must not be
// restarted for that reason.
func (s *Service) getReady(w http.ResponseWriter, r *http.Request) {
	readiness := operator.Readiness{Reason: operator.ReasonBusy, Detail: "the operator duty does not answer"}
	if p, f := s.requestSnapshot(r.Context()); f == nil {
		readiness = p.readiness(s.options.Instance)
	}
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	httpserve.WriteJSON(w, status, readiness)
}

// readiness returns the readiness of the instance and the reason if it is not ready.
func (p snapshot) readiness(id model.InstanceID) operator.Readiness {
	self, known := p.view.Instance(id)
	switch {
	case !known:
		return operator.Readiness{Reason: operator.ReasonStarting, Detail: "the instance has not started all services"}
	case self.State != model.Alive:
		return operator.Readiness{Reason: operator.ReasonLeaving, Detail: "the instance is " + self.State.String() + " and takes no new requests"}
	case self.Withdrawn:
		return operator.Readiness{Reason: operator.ReasonWithdrawn,
			Detail: "the control group has not confirmed the configuration of the instance in time"}
	case p.config.Revision == 0:
		return operator.Readiness{Reason: operator.ReasonStarting, Detail: "no configuration is in force"}
	}
	return operator.Readiness{Ready: true}
}
