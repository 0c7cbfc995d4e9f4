package frontoperator

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/operator"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// ringCapacity is enough for the updates of one second and any plausible number of concurrent
// operator requests.
const ringCapacity = 1024

// Options describe the instance that the endpoint belongs to.
type Options struct {
	Address     string
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Domain      model.FailureDomain
	// Health returns the unhealthy services of the process with their errors.
	Health func() map[string]error
	// Drain asks the process to stop gracefully. It does not wait.
	Drain func()
}

// Service is the endpoint for operators.
type Service struct {
	options  Options
	log      *event.Log
	metrics  *metric.Set
	started  time.Time
	host     *kernel.Host
	server   *httpserve.Server
	security httpserve.Security
	control  port.ControlClient
	// voters is nil if the control client cannot change the voters.
	voters port.VoterChanger
	ring   *ring.Ring[message]

	// snapshot is accessed only by the operator duty. Handlers get copies.
	snapshot snapshot
}

// New returns the service.
func New(log *event.Log, metrics *metric.Set, options Options) *Service {
	return &Service{
		options: options, log: log, metrics: metrics, started: time.Now(),
		ring:     ring.New[message]("operator", ringCapacity, ring.Refuse),
		snapshot: snapshot{view: &model.View{}, config: &model.Config{}},
	}
}

// Secure sets the TLS configuration and the request checks of the listener. It must be called
// before Start.
func (s *Service) Secure(security httpserve.Security) { s.security = security }

// Name implements kernel.Service.
func (s *Service) Name() string { return port.OperatorFrontName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.MembersName, port.ControlClientName, port.ConfigName, port.PlacementName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var (
		members   port.Members
		config    port.Config
		placement port.Placement
	)
	err := r.Bind(
		kernel.Into(port.MembersName, &members),
		kernel.Into(port.ConfigName, &config),
		kernel.Into(port.ControlClientName, &s.control),
		kernel.Into(port.PlacementName, &placement),
	)
	if err != nil {
		return err
	}
	members.Subscribe(func(v *model.View) { s.offer(viewChanged{v}) })
	config.Subscribe(func(c *model.Config) { s.offer(configInForce{c}) })
	s.control.SubscribeConfig(func(c acceptedConfig) { s.offer(configAccepted{c}) })
	s.control.SubscribeLeases(func(l []port.Lease) { s.offer(leasesChanged{l}) })
	placement.SubscribePlacement(func(st port.PlacementStatus) { s.offer(placementChanged{st}) })
	if o, ok := s.control.(port.ControlObserver); ok {
		o.SubscribeStatus(func(st port.ControlStatus) { s.offer(controlStatusChanged{st}) })
	}
	s.voters, _ = s.control.(port.VoterChanger)
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	s.host = h
	h.Go("operator", kernel.Loop[message]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	var err error
	if s.server, err = httpserve.Listen(s.options.Address, s.routes(), s.security); err != nil {
		return err
	}
	s.log.Emit(event.ListenerOpened, s.Name(), s.server.Address(), s.security.TLS != nil)
	return nil
}

func (s *Service) routes() http.Handler {
	routes := mux.NewRouter()
	for path, handle := range map[string]http.HandlerFunc{
		operator.PathHealth: s.getHealth, operator.PathReady: s.getReady, operator.PathStatus: s.getStatus, operator.PathDuties: s.getDuties,
		operator.PathMembers: s.getMembers, operator.PathLeases: s.getLeases, operator.PathVoters: s.getVoters,
		operator.PathConfig: s.getConfig, operator.PathHistory: s.getHistory, operator.PathExplain: s.getExplain,
		operator.PathMetrics: s.getMetrics, operator.PathText: s.getMetricsText, "/": s.getPage,
	} {
		routes.HandleFunc(path, handle).Methods(http.MethodGet)
	}
	routes.HandleFunc(operator.PathConfig, s.postConfig).Methods(http.MethodPost)
	routes.HandleFunc(operator.PathVoters, s.postVoters).Methods(http.MethodPost)
	routes.HandleFunc(operator.PathDrain, s.postDrain).Methods(http.MethodPost)
	return routes
}

// Stop implements kernel.Service.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Stop(ctx)
	s.ring.Close()
	return err
}

// Address returns the address that operators connect to.
func (s *Service) Address() string { return s.server.Address() }

// offer gives an update to the operator duty without blocking. An update that does not fit is lost
// and logged.
func (s *Service) offer(m message) {
	if err := s.ring.Offer(m); err != nil {
		s.log.Emit(event.RingRefused, "operator", err.Error())
	}
}
