package frontoperator

import (
	"encoding/json"
	"net/http"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/operator"
)

const (
	// answerTimeout bounds the wait for the operator duty.
	answerTimeout = 5 * time.Second
	// controlTimeout bounds the wait for the control group.
	controlTimeout = 10 * time.Second
	// maxBody bounds the body of a change in bytes. A configuration for the fleet size of the design
	// takes about 200 KB.
	maxBody = 8 << 20
)

// unhealthy returns the error text of each unhealthy service, by service name.
func (s *Service) unhealthy() map[string]string {
	unhealthy := make(map[string]string)
	for name, err := range s.options.Health() {
		unhealthy[name] = err.Error()
	}
	return unhealthy
}

// getHealth does not use the operator duty, so that it answers even if the duty is blocked.
func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	h := operator.Health{Unhealthy: s.unhealthy()}
	status := http.StatusOK
	if len(h.Unhealthy) > 0 {
		status = http.StatusServiceUnavailable
	}
	httpserve.WriteJSON(w, status, h)
}

// getDuties does not use the operator duty either.
func (s *Service) getDuties(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, operator.Duties{Duties: s.host.Duties()})
}

// writeSnapshot answers with the message that build makes from a snapshot.
func (s *Service) writeSnapshot(w http.ResponseWriter, r *http.Request, build func(snapshot) any) {
	p, f := s.requestSnapshot(r.Context())
	if f != nil {
		httpserve.WriteProblem(w, f, "")
		return
	}
	httpserve.WriteJSON(w, http.StatusOK, build(p))
}

func (s *Service) getStatus(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any { return s.status(p) })
}

func (s *Service) getMembers(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any { return p.members() })
}

func (s *Service) getLeases(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any { return operator.Leases{Leases: p.leaseList()} })
}

func (s *Service) getVoters(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any {
		return operator.Voters{Leader: string(p.status.Leader), Voters: p.voters()}
	})
}

func (s *Service) getConfig(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any {
		self, _ := p.view.Instance(s.options.Instance)
		return operator.Config{
			Revision: uint64(p.accepted.Revision), ChangeID: p.accepted.ChangeID, Operator: p.accepted.Operator,
			At: p.accepted.At, Content: string(p.accepted.Content), InForce: uint64(p.config.Revision), Confirmed: p.confirmed(), Withdrawn: self.Withdrawn,
		}
	})
}

func (s *Service) getHistory(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(p snapshot) any { return s.history(r.Context(), p, maxPages) })
}

func (s *Service) getMetrics(w http.ResponseWriter, r *http.Request) {
	s.writeSnapshot(w, r, func(snapshot) any { return operator.Metrics{Metrics: s.metrics.Values()} })
}

// getMetricsText answers with the metrics in the Prometheus text format. It requests a snapshot
// only because this updates the metrics.
func (s *Service) getMetricsText(w http.ResponseWriter, r *http.Request) {
	if _, f := s.requestSnapshot(r.Context()); f != nil {
		httpserve.WriteProblem(w, f, "")
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.metrics.WriteText(w)
}

// getExplain returns the events about one request that this instance still retains.
func (s *Service) getExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request")
	if id == "" {
		httpserve.WriteProblem(w, &fault.InvalidRequest{Field: "request", Reason: "must not be empty"}, "")
		return
	}
	httpserve.WriteJSON(w, http.StatusOK, operator.Explanation{
		Request: id, Instance: string(s.options.Instance),
		Events: s.log.Recent(func(e event.Record) bool { return e.Fields["request"] == id || e.Fields["joined"] == id }),
	})
}

func (s *Service) postDrain(w http.ResponseWriter, r *http.Request) {
	if !operator.RequireJSON(r) {
		httpserve.WriteProblem(w, &fault.InvalidHeader{Header: "Content-Type", Reason: "want application/json"}, "")
		return
	}
	s.log.Emit(event.OperatorDrain, s.options.Instance, r.RemoteAddr)
	s.options.Drain()
	httpserve.WriteJSON(w, http.StatusAccepted, operator.Draining{Instance: string(s.options.Instance)})
}

// readBody decodes the JSON body of a change. It refuses unknown fields.
func readBody(w http.ResponseWriter, r *http.Request, into any) fault.Fault {
	if !operator.RequireJSON(r) {
		return &fault.InvalidHeader{Header: "Content-Type", Reason: "want application/json"}
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &fault.InvalidRequest{Field: "body", Reason: err.Error()}
	}
	return nil
}
