package frontoperator

import (
	"net/http"

	"briaryard/internal/httpserve"
	"briaryard/internal/model"
	"briaryard/internal/operator"
)

// getReady answers whether the instance takes new requests: the address list names it and it has
// a configuration. Health is another question: a withdrawn instance works and must not be restarted for it.
func (s *Service) getReady(w http.ResponseWriter, r *http.Request) {
	readiness := operator.Readiness{Reason: operator.ReasonBusy, Detail: "the operator duty does not answer"}
	if p, f := s.ask(r.Context()); f == nil {
		readiness = p.readiness(s.options.Instance)
	}
	status := http.StatusOK
	if !readiness.Ready {
		status = http.StatusServiceUnavailable
	}
	httpserve.WriteJSON(w, status, readiness)
}

func (p picture) readiness(id model.InstanceID) operator.Readiness {
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
