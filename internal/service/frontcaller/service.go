package frontcaller

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
)

// Options are the settings of the front end.
type Options struct {
	// Address is the listen address for callers.
	Address string
	// MaxBody bounds a request body in bytes. The pool's own limit is applied later.
	MaxBody int64
	// AddressTTL is how long callers may cache the list of addresses, in seconds.
	AddressTTL int
	Domain     model.FailureDomain
}

// Service is the front end for callers.
type Service struct {
	options  Options
	log      *event.Log
	entry    port.Entry
	server   *httpserve.Server
	security httpserve.Security
	// membership is the newest membership view. Only the list of addresses uses it.
	membership atomic.Pointer[model.View]
}

// New returns the service.
func New(log *event.Log, options Options) *Service {
	s := &Service{options: options, log: log}
	s.membership.Store(&model.View{})
	return s
}

// Secure sets the TLS configuration and the request checks of the listener. It must be called
// before Start.
func (s *Service) Secure(security httpserve.Security) { s.security = security }

// Name implements kernel.Service.
func (s *Service) Name() string { return port.CallerFrontName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return []string{port.EntryName, port.MembersName} }

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var members port.Members
	err := r.Bind(
		kernel.Into(port.EntryName, &s.entry),
		kernel.Into(port.MembersName, &members),
	)
	if err != nil {
		return err
	}
	members.Subscribe(func(v *model.View) { s.membership.Store(v) })
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(*kernel.Host) error {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/chat/completions", s.chat).Methods(http.MethodPost)
	routes.PathPrefix("/v1/services/{service}").HandlerFunc(s.plainService)
	routes.HandleFunc("/v1/addresses", s.addresses).Methods(http.MethodGet)
	var err error
	if s.server, err = httpserve.Listen(s.options.Address, routes, s.security); err != nil {
		return err
	}
	s.log.Emit(event.ListenerOpened, s.Name(), s.server.Address(), s.security.TLS != nil)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// Address returns the address that callers connect to.
func (s *Service) Address() string { return s.server.Address() }
