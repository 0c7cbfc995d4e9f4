package frontoperator

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Service is the endpoint for operators.
type Service struct {
	address  string
	log      *event.Log
	metrics  *metric.Set
	health   func() map[string]error
	host     *kernel.Host
	server   *httpserve.Server
	security httpserve.Security
	view     atomic.Pointer[model.View]
}

// New returns the service. health reports the unhealthy services of the process.
func New(log *event.Log, metrics *metric.Set, address string, health func() map[string]error) *Service {
	s := &Service{address: address, log: log, metrics: metrics, health: health}
	s.view.Store(&model.View{})
	return s
}

// Secure sets what the listener checks. It is called before Start.
func (s *Service) Secure(security httpserve.Security) { s.security = security }

// Name implements kernel.Service.
func (s *Service) Name() string { return port.OperatorFrontName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.MembersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	members, err := kernel.Resolve[port.Members](r, port.MembersName)
	if err != nil {
		return err
	}
	members.Subscribe(func(v *model.View) { s.view.Store(v) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.host = h
	routes := mux.NewRouter()
	routes.HandleFunc("/operator/v1/health", s.getHealth).Methods(http.MethodGet)
	routes.HandleFunc("/operator/v1/duties", s.getDuties).Methods(http.MethodGet)
	routes.HandleFunc("/operator/v1/members", s.getMembers).Methods(http.MethodGet)
	routes.HandleFunc("/operator/v1/explain", s.getExplain).Methods(http.MethodGet)
	var err error
	if s.server, err = httpserve.Listen(s.address, routes, s.security); err != nil {
		return err
	}
	s.log.Emit(event.ListenerOpened, s.Name(), s.server.Address(), s.security.TLS != nil)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Address returns the address that operators connect to.
func (s *Service) Address() string { return s.server.Address() }

func (s *Service) getHealth(w http.ResponseWriter, _ *http.Request) {
	unhealthy := make(map[string]string)
	for name, err := range s.health() {
		unhealthy[name] = err.Error()
	}
	status := http.StatusOK
	if len(unhealthy) > 0 {
		status = http.StatusServiceUnavailable
	}
	httpserve.WriteJSON(w, status, map[string]any{"unhealthy": unhealthy})
}

func (s *Service) getDuties(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, s.host.Duties())
}

func (s *Service) getMembers(w http.ResponseWriter, _ *http.Request) {
	httpserve.WriteJSON(w, http.StatusOK, s.view.Load())
}

// getExplain returns the events about one request that this instance still has.
func (s *Service) getExplain(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("request")
	httpserve.WriteJSON(w, http.StatusOK, s.log.Recent(func(e event.Record) bool {
		return e.Fields["request"] == id
	}))
}
