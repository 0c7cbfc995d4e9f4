package app

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.uber.org/fx"

	"briaryard/internal/clock"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/intake"
	"briaryard/internal/decide/retry"
	"briaryard/internal/decide/rollout"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/allocate"
	"briaryard/internal/service/bodies"
	"briaryard/internal/service/control"
	"briaryard/internal/service/controlclient"
	"briaryard/internal/service/httpbackend"
	"briaryard/internal/service/logwriter"
	"briaryard/internal/service/peers"
	"briaryard/internal/service/presence"
	"briaryard/internal/service/quarantine"
	"briaryard/internal/service/referral"
	"briaryard/internal/service/registry"
	"briaryard/internal/service/relay"
	rolloutservice "briaryard/internal/service/rollout"
	"briaryard/internal/service/roster"
	"briaryard/internal/service/routes"
	"briaryard/internal/service/scheduler"
	"briaryard/internal/service/topology"
	"briaryard/internal/wire/routedwire"
)

const (
	// compactLogBytes is the size at which the control group's log is compacted, and
	// trailingEntries the number of entries that stay in memory after that. They keep the log small
	// although its entries hold configurations of 100 KB and more and the disks have 64 MB.
	compactLogBytes = 4 << 20
	trailingEntries = 24
	// memoryLimitShare is the share of the process's memory below which the garbage collector keeps
	// the heap. The rest is for stacks, system buffers and growth until the next collection.
	memoryLimitShare = 0.7
	// heartbeatInterval is the time between two heartbeats of the control client. A configuration
	// must be in force within 2 s of its acceptance, which allows for four heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// routedStopTimeout is the time limit for the stop of all services.
	routedStopTimeout = 3 * time.Second
)

// Role is the role of a process in a fleet with routes.
type Role uint8

// Roles of processes.
const (
	// EntryRole accepts requests from callers.
	EntryRole Role = iota
	// CoreRole accepts the announcements of backend servers and the changes of operators. With a
	// data folder it is a member of the control group, and schedules for the fleet while it is the
	// leader.
	CoreRole
)

// RoutedSettings are the settings of a process of a fleet with routes. The platform's adapter loads
// them.
type RoutedSettings struct {
	Role Role
	// ID is the peer address of a core instance. Other instances have any unique name.
	ID     model.InstanceID
	Domain model.FailureDomain
	// PeerAddress is the address on which a core instance accepts connections of other instances.
	PeerAddress string
	// Contacts reads the core instances that the settings currently name.
	Contacts func() ([]model.InstanceID, error)
	// CallerAddress is the address to which callers connect.
	CallerAddress string
	// DataFolder holds the control group state of a core instance. It is empty without a disk.
	DataFolder string
	// Bootstrap allows this process to take part in founding the control group. It is set at the
	// first start of the fleet.
	Bootstrap bool
	// Voters is the target number of voters of the control group.
	Voters int
	// ConfigLease is how long a configuration may be used after it was last confirmed to be the
	// accepted one.
	ConfigLease time.Duration
	Tolerance   allotment.Tolerance
	Retries     retry.Limit
	// HedgeFreeSlots is the share of a service's slots that must stay free after the second call of a request.
	HedgeFreeSlots float64
	// Rollouts bounds what an untrusted version of a service may get.
	Rollouts rollout.Limits
	// StopWithin is the time from the first stop signal until the process is killed.
	StopWithin time.Duration
	// MemoryBytes is the memory limit of the process in bytes; 0 means no limit.
	MemoryBytes int64
	// LogLevel is the lowest level of log events: debug, info, warn or error.
	LogLevel string
}

// Member reports whether the process is a member of the control group.
func (s *RoutedSettings) Member() bool { return s.Role == CoreRole && s.DataFolder != "" }

// firstVoters returns the instances that the control client asks first. A core instance begins with itself:
// a member has the voters in its log, and any other one knows the members that are connected to it, while
// the contacts of the settings may name no member.
func (s *RoutedSettings) firstVoters(contacts []model.InstanceID) []model.InstanceID {
	if s.Role != CoreRole {
		return contacts
	}
	return append([]model.InstanceID{s.ID}, slices.DeleteFunc(contacts, func(id model.InstanceID) bool { return id == s.ID })...)
}

// Routed is a running process of a fleet with routes.
type Routed struct {
	fx        *fx.App
	kernel    *kernel.Kernel
	log       *event.Log
	settings  RoutedSettings
	logWriter *logwriter.Service
	// presence is nil for a process that accepts no requests from callers.
	presence port.Presence
	// failures receives the error of the first duty that panicked.
	failures chan error
}

// Adapter constructs the services that communicate with the platform. These resolve the other
// services by name.
type Adapter func(log *event.Log, m *metric.Set) []kernel.Service

// NewRouted constructs a process that writes its log to out.
func NewRouted(s RoutedSettings, out io.Writer, adapter Adapter) (*Routed, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitShare))
	}
	writer := logwriter.New(out)
	log, err := event.NewStream(writer, s.LogLevel)
	if err != nil {
		return nil, err
	}
	r := &Routed{settings: s, failures: make(chan error, 1), log: log}
	m := metric.NewSet()
	writer.SetReporting(r.log, m)
	r.kernel = kernel.New(r.onPanic)
	r.logWriter = writer
	r.fx = fx.New(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(routedStopTimeout),
		fx.Supply(r.log, m),
		r.commonServices(), r.roleServices(), adapterServices(adapter),
		fx.Invoke(fx.Annotate(r.register, fx.ParamTags(``, `group:"services"`))),
	)
	return r, nil
}

// adapterServices provides the services that the adapter constructs.
func adapterServices(adapter Adapter) fx.Option {
	return fx.Provide(fx.Annotate(func(l *event.Log, m *metric.Set) []kernel.Service { return adapter(l, m) },
		fx.ResultTags(`group:"services,flatten"`)))
}

// commonServices provides the services of every process.
func (r *Routed) commonServices() fx.Option {
	s := &r.settings
	return fx.Provide(
		asService(func(l *event.Log, m *metric.Set) *peers.Service {
			return peers.New(l, peers.Options{
				Self: model.Instance{
					ID: s.ID, Incarnation: model.Incarnation(time.Now().UnixNano()), Domain: s.Domain,
					PeerAddress: s.PeerAddress, Voter: s.Member(),
				},
				ListenAddress: s.PeerAddress, RaiseIncarnation: true, Metrics: m,
				Codecs: map[string]port.Codec{
					port.ControlName: control.NewCodec(), port.SchedulerName: routedwire.Codec{}, port.AllocateName: routedwire.Codec{},
				},
			})
		}),
		asService(func(l *event.Log) (*controlclient.Remote, error) {
			contacts, err := s.Contacts()
			return controlclient.NewRemote(l, controlclient.RemoteOptions{
				Voters: s.firstVoters(contacts), Contacts: s.Contacts, ConfirmWithin: s.ConfigLease, HeartbeatInterval: heartbeatInterval, Now: clock.Boot,
			}), err
		}),
		asService(func(l *event.Log) *topology.Service {
			return topology.New(l, topology.Options{Contacts: s.Contacts, KeepContacts: s.Member()})
		}),
		asService(routes.New),
		asService(func(l *event.Log, m *metric.Set) *registry.Service {
			return registry.New(l, m, registry.Options{Core: s.Role == CoreRole, DetectsSilence: s.Member()})
		}),
		asService(func(l *event.Log, m *metric.Set) *quarantine.Service {
			return quarantine.New(l, m, s.Role == CoreRole)
		}),
		asService(func(l *event.Log) *roster.Service { return roster.New(l, s.Role == CoreRole) }),
	)
}

// roleServices provides the services of the process's role.
func (r *Routed) roleServices() fx.Option {
	s := &r.settings
	switch {
	case s.Member():
		return fx.Provide(
			asService(func(l *event.Log) (*control.Service, error) {
				contacts, err := s.Contacts()
				return control.New(control.Settings{
					Self: s.ID, Folder: s.DataFolder, Initial: contacts, Limits: state.DefaultLimits(), Now: clock.Boot,
					Unattended: &control.Unattended{MayFoundGroup: s.Bootstrap, Voters: s.Voters, MembersFrom: port.ControlClientName, CompactBytes: compactLogBytes, TrailingEntries: trailingEntries},
				}, control.WireCodecs{}, control.NewSessionsWithoutLeases(), l), err
			}),
			asService(func(l *event.Log, m *metric.Set) *scheduler.Service {
				return scheduler.New(l, m, scheduler.Options{Tolerance: s.Tolerance, LocalDecisionLimit: s.ConfigLease})
			}),
			asService(func(l *event.Log, m *metric.Set) *rolloutservice.Service { return rolloutservice.New(l, m, s.Rollouts) }),
		)
	case s.Role == CoreRole:
		// The common services forward what this instance accepts to the members of the control group.
		return fx.Provide(asService(func() *referral.Service { return referral.New(control.NewCodec()) }))
	}
	return fx.Provide(
		asService(func(l *event.Log) *allocate.Service { return allocate.New(l, s.ID, s.Tolerance) }),
		asService(func(l *event.Log, m *metric.Set) *httpbackend.Service {
			return httpbackend.New(l, m, httpbackend.Options{MaxEventBytes: s.maxEventBytes()})
		}),
		asService(func(l *event.Log, m *metric.Set) *relay.Service {
			return relay.New(l, m, relay.Options{Domain: s.Domain, ConfigLease: s.ConfigLease, Retries: s.Retries, HedgeFreeSlots: s.HedgeFreeSlots})
		}),
		asService(func(l *event.Log, m *metric.Set) *bodies.Service { return bodies.New(l, m, s.bodyBytes()) }),
		asService(func(l *event.Log) *presence.Service {
			p := presence.New(l, r.presenceOptions())
			r.presence = p
			return p
		}),
	)
}

const (
	// eventMemoryShare is the share of the process's memory that incomplete events of all open
	// requests may use together.
	eventMemoryShare = 0.15
	// defaultEventBytes is the limit for one event where the memory is not limited.
	defaultEventBytes = 256 << 10
)

// maxEventBytes returns the limit in bytes for one event of a stream.
func (s *RoutedSettings) maxEventBytes() int {
	if s.MemoryBytes <= 0 {
		return defaultEventBytes
	}
	// Each open request has a connection.
	requests := min(relay.MaxOpenRequests, max(intake.ConnectionsInMemory(s.MemoryBytes), 1))
	return min(int(eventMemoryShare*float64(s.MemoryBytes))/requests, defaultEventBytes)
}

const (
	// bodyMemoryShare is the share of the process's memory that the bodies of requests may use together. The table
	// in docs/CAPACITY.md has all shares.
	bodyMemoryShare = 0.33
	// defaultBodyBytes is the budget where the memory is not limited.
	defaultBodyBytes = 256 << 20
)

// bodyBytes returns the budget in bytes for the bodies of requests.
func (s *RoutedSettings) bodyBytes() int64 {
	if s.MemoryBytes <= 0 {
		return defaultBodyBytes
	}
	return int64(bodyMemoryShare * float64(s.MemoryBytes))
}

const (
	// acceptShare, stayShare and endShare are shares of the time for a stop. After them a process
	// refuses new requests, may exit if no request is open, and exits in any case. Callers use an
	// old list of addresses for some seconds, so requests still arrive at first. An answer that takes
	// longer than the remaining time is cut off.
	acceptShare, stayShare, endShare = 0.32, 0.38, 0.93
)

func (r *Routed) presenceOptions() presence.Options {
	s := &r.settings
	part := func(share float64) time.Duration { return time.Duration(share * float64(s.StopWithin)) }
	return presence.Options{
		Address: s.CallerAddress, Domain: s.Domain, Lease: s.ConfigLease,
		AcceptDuration: part(acceptShare), MinStopDuration: part(stayShare), MaxStopDuration: part(endShare),
	}
}

// register registers the services with the kernel and starts and stops the kernel with fx. The log
// writer is the first to start and the last to stop.
func (r *Routed) register(lc fx.Lifecycle, services []kernel.Service) error {
	for _, s := range append([]kernel.Service{r.logWriter}, services...) {
		if err := r.kernel.Register(s); err != nil {
			return err
		}
	}
	lc.Append(fx.Hook{OnStart: r.kernel.Start, OnStop: r.kernel.Stop})
	return nil
}

// onPanic logs the panic of a duty and sends its error to failures, so that Run returns it.
func (r *Routed) onPanic(err error) {
	if p, ok := err.(*kernel.DutyPanicError); ok {
		r.log.Emit(event.DutyPanicked, p.Error(), p.Stack)
	}
	select {
	case r.failures <- err:
	default:
	}
}

// Start starts all services.
func (r *Routed) Start(ctx context.Context) error {
	if err := r.fx.Start(ctx); err != nil {
		return err
	}
	r.log.Emit(event.ProcessStarted, r.settings.ID, 0, r.settings.Domain)
	return nil
}

// Stop stops all services.
func (r *Routed) Stop(ctx context.Context) error { return r.fx.Stop(ctx) }

// BeginStop starts the graceful stop and calls finished once when it is complete. A process that
// accepts no requests from callers has nothing to wait for.
func (r *Routed) BeginStop(finished func()) {
	r.log.Emit(event.ProcessStopping, r.settings.ID)
	if r.presence == nil {
		finished()
		return
	}
	r.presence.Leave(finished)
}

// Run starts the process, waits for a stop signal, stops the process and returns the exit code.
// SIGHUP means that the settings have changed. It is only logged: the settings that may change are
// read whenever they are needed.
func (r *Routed) Run(ctx context.Context) (int, error) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := r.Start(ctx); err != nil {
		return fault.ExitInternal, err
	}
	code, failure := r.wait(ctx, signals)
	stop, cancel := context.WithTimeout(context.Background(), r.stopTimeout())
	defer cancel()
	if err := r.Stop(stop); err != nil && failure == nil {
		return code, err
	}
	return code, failure
}

// stopTimeout returns the time limit for the stop of all services: callers may read their answers until the
// graceful stop ends.
func (r *Routed) stopTimeout() time.Duration {
	if r.presence == nil {
		return routedStopTimeout
	}
	end, ok := r.presence.StopEnd()
	if !ok {
		return routedStopTimeout
	}
	return max(end.Sub(clock.Boot()), 0) + routedStopTimeout
}

// wait returns the exit code after a graceful stop, or the error of a duty that panicked.
func (r *Routed) wait(ctx context.Context, signals <-chan os.Signal) (int, error) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				r.log.Emit(event.SettingsChanged, r.settings.ID)
				continue
			}
		case <-ctx.Done():
		case err := <-r.failures:
			return fault.ExitInternal, err
		}
		break
	}
	finished := make(chan struct{}, 1)
	r.BeginStop(func() { finished <- struct{}{} })
	select {
	case <-finished:
		return fault.ExitOK, nil
	case err := <-r.failures:
		return fault.ExitInternal, err
	}
}
