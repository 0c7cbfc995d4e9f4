package frontannounce

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// maxBody bounds an announcement in bytes. 1000 cache events need about 100 KB.
const maxBody = 1 << 20

// replyTimeout bounds the wait for the members service. It is shorter than the heartbeat timeout
// of a backend server.
const replyTimeout = 800 * time.Millisecond

// Service is the endpoint for backend servers.
type Service struct {
	address  string
	log      *event.Log
	members  port.Members
	server   *httpserve.Server
	security httpserve.Security
}

// New returns the service.
func New(log *event.Log, address string) *Service { return &Service{address: address, log: log} }

// Secure sets the TLS configuration and the request checks of the listener. It must be called
// before Start.
func (s *Service) Secure(security httpserve.Security) { s.security = security }

// Name implements kernel.Service.
func (s *Service) Name() string { return port.AnnounceFrontName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.MembersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var err error
	s.members, err = kernel.Resolve[port.Members](r, port.MembersName)
	return err
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Host) error {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/backends", s.announce).Methods(http.MethodPost)
	var err error
	if s.server, err = httpserve.Listen(s.address, routes, s.security); err != nil {
		return err
	}
	s.log.Emit(event.ListenerOpened, s.Name(), s.server.Address(), s.security.TLS != nil)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Address returns the address that backend servers connect to.
func (s *Service) Address() string { return s.server.Address() }

func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	var body Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		httpserve.WriteProblem(w, &fault.InvalidRequest{Field: "body", Reason: err.Error()}, "")
		return
	}
	a, f := body.toModel(time.Now())
	if f != nil {
		httpserve.WriteProblem(w, f, "")
		return
	}
	outcome := ring.New[error]("announcement", 1, ring.Refuse)
	a.Reply = func(err error) { _ = outcome.Offer(err) }
	if err := s.members.Announce(a); err != nil {
		httpserve.WriteProblem(w, &fault.Overloaded{Resource: "members ring"}, "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replyTimeout)
	defer cancel()
	switch refusal, err := outcome.Get(ctx); {
	case err != nil:
		httpserve.WriteProblem(w, &fault.Overloaded{Resource: "members"}, "")
		return
	case refusal != nil:
		httpserve.WriteProblem(w, fault.Of(refusal), "")
		return
	}
	httpserve.WriteJSON(w, http.StatusOK, Reply{HeartbeatMS: heartbeatMS})
}

// heartbeatMS is the heartbeat interval that backend servers are asked to use, in milliseconds.
const heartbeatMS = 500

// Reply is the answer to an announcement.
type Reply struct {
	// HeartbeatMS is the time until the next heartbeat in milliseconds.
	HeartbeatMS int `json:"heartbeat_ms"`
}
