package app

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"

	"briaryard/internal/clock"
	"briaryard/internal/decide/allotment"
	"briaryard/internal/decide/retry"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/allocate"
	"briaryard/internal/service/control"
	"briaryard/internal/service/controlclient"
	"briaryard/internal/service/httpbackend"
	"briaryard/internal/service/logwriter"
	"briaryard/internal/service/peers"
	"briaryard/internal/service/presence"
	"briaryard/internal/service/registry"
	"briaryard/internal/service/relay"
	"briaryard/internal/service/roster"
	"briaryard/internal/service/routes"
	"briaryard/internal/service/scheduler"
	"briaryard/internal/service/topology"
	"briaryard/internal/wire/routedwire"
)

const (
	// compactLogBytes and trailingEntries keep the control group's log small beside
	// configurations of 100 KB and more, on disks of 64 MB.
	compactLogBytes = 4 << 20
	trailingEntries = 24
	// memoryShare is the part of the process's memory that the collector keeps the heap below; the
	// rest is for stacks, buffers of the system and the moment before a collection.
	memoryShare = 0.7
	// heartbeatInterval is that of the control client. A configuration must be in force within
	// 2 s of its acceptance, which leaves room for four of them.
	heartbeatInterval = 400 * time.Millisecond
	// routedStopTimeout bounds the stop of the services.
	routedStopTimeout = 3 * time.Second
)

// Role is what a process does for a fleet with routes.
type Role uint8

// Roles.
const (
	// EntryRole takes requests from callers.
	EntryRole Role = iota
	// CoreRole takes the announcements of backend servers and the changes of operators. With a disk
	// it is a member of the control group, and decides for the fleet while it leads.
	CoreRole
)

// RoutedSettings are the settings of a process of a fleet with routes. The adapter of a platform
// reads them.
type RoutedSettings struct {
	Role Role
	// ID is the peer address of a core instance, and unique among the others.
	ID     model.InstanceID
	Domain model.FailureDomain
	// PeerAddress is where a core instance accepts connections.
	PeerAddress string
	// Contacts reads the core instances that the settings name now.
	Contacts func() ([]model.InstanceID, error)
	// CallerAddress is where callers connect.
	CallerAddress string
	// DataFolder is where a core instance keeps its part of the control group; empty without a disk.
	DataFolder string
	// Found is set at the first start of the fleet.
	Found bool
	// Voters is the number of voters that the control group keeps.
	Voters int
	// ConfigLease is how long a configuration counts that was known to be the accepted one.
	ConfigLease time.Duration
	Tolerance   allotment.Tolerance
	Retries     retry.Limit
	// StopWithin is the time after the first signal at which the process is killed.
	StopWithin time.Duration
	// MemoryBytes is the memory of the process; 0 for no limit.
	MemoryBytes int64
	// LogLevel is the lowest level of log events: debug, info, warn or error.
	LogLevel string
}

// Member reports whether the process is a member of the control group.
func (s *RoutedSettings) Member() bool { return s.Role == CoreRole && s.DataFolder != "" }

// Routed is a running process of a fleet with routes.
type Routed struct {
	fx       *fx.App
	kernel   *kernel.Kernel
	log      *event.Log
	settings RoutedSettings
	lines    *logwriter.Service
	presence port.Presence
	failed   chan error
}

// Adapter makes the services that speak to the platform. They find the others by name.
type Adapter func(log *event.Log, m *metric.Set) []kernel.Service

// NewRouted constructs a process. Its log goes to out.
func NewRouted(s RoutedSettings, out io.Writer, adapter Adapter) (*Routed, error) {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	lines := logwriter.New(out)
	log, err := event.NewStream(lines, s.LogLevel)
	if err != nil {
		return nil, err
	}
	r := &Routed{settings: s, failed: make(chan error, 1), log: log}
	m := metric.NewSet()
	lines.Report(r.log, m)
	r.kernel = kernel.New(r.onPanic)
	r.lines = lines
	r.fx = fx.New(fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(routedStopTimeout),
		fx.Supply(r.log, m),
		r.common(), r.byRole(), adapted(adapter),
		fx.Invoke(fx.Annotate(r.register, fx.ParamTags(``, `group:"services"`))),
	)
	return r, nil
}

// adapted provides the services of the adapter.
func adapted(adapter Adapter) fx.Option {
	return fx.Provide(fx.Annotate(func(l *event.Log, m *metric.Set) []kernel.Service { return adapter(l, m) },
		fx.ResultTags(`group:"services,flatten"`)))
}

// common provides what every process has.
func (r *Routed) common() fx.Option {
	s := &r.settings
	return fx.Provide(
		service(func(l *event.Log, m *metric.Set) *peers.Service {
			return peers.New(l, peers.Options{
				Self: model.Instance{
					ID: s.ID, Incarnation: model.Incarnation(time.Now().UnixNano()), Domain: s.Domain,
					PeerAddress: s.PeerAddress, Voter: s.Member(),
				},
				Listen: s.PeerAddress, RaiseIncarnation: true, Metrics: m,
				Codecs: map[string]port.Codec{
					port.ControlName: control.NewCodec(), port.SchedulerName: routedwire.Codec{}, port.AllocateName: routedwire.Codec{},
				},
			})
		}),
		service(func(l *event.Log) (*controlclient.Remote, error) {
			contacts, err := s.Contacts()
			return controlclient.NewRemote(l, controlclient.RemoteOptions{
				Voters: contacts, ConfirmWithin: s.ConfigLease, HeartbeatInterval: heartbeatInterval, Now: clock.Boot,
			}), err
		}),
		service(func(l *event.Log) *topology.Service { return topology.New(l, s.Contacts) }),
		service(routes.New),
		service(func(l *event.Log) *registry.Service { return registry.New(l, s.Role == CoreRole) }),
		service(func(l *event.Log) *roster.Service { return roster.New(l, s.Role == CoreRole) }),
	)
}

func (r *Routed) byRole() fx.Option {
	s := &r.settings
	switch {
	case s.Member():
		return fx.Provide(
			service(func(l *event.Log) (*control.Service, error) {
				contacts, err := s.Contacts()
				return control.New(control.Settings{
					Self: s.ID, Folder: s.DataFolder, Initial: contacts, Limits: state.DefaultLimits(), Now: clock.Boot,
					Unattended: &control.Unattended{Found: s.Found, Voters: s.Voters, CompactBytes: compactLogBytes, Trailing: trailingEntries},
				}, control.WireCodecs{}, control.NewPlainSessions(), l), err
			}),
			service(func(l *event.Log, m *metric.Set) *scheduler.Service {
				return scheduler.New(l, m, scheduler.Options{Tolerance: s.Tolerance, AloneFor: s.ConfigLease})
			}),
		)
	case s.Role == CoreRole:
		// What this instance takes goes to the members through the services that all processes have.
		return fx.Options()
	}
	return fx.Provide(
		service(func(l *event.Log) *allocate.Service { return allocate.New(l, s.Tolerance) }),
		service(httpbackend.New),
		service(func(l *event.Log, m *metric.Set) *relay.Service {
			return relay.New(l, m, relay.Options{Domain: s.Domain, Lease: s.ConfigLease, Retries: s.Retries})
		}),
		service(func(l *event.Log) *presence.Service {
			p := presence.New(l, r.presenceOptions())
			r.presence = p
			return p
		}),
	)
}

const (
	// takeShare, stayShare and endShare are the parts of the time for a stop after which a process
	// refuses new requests, may end if nothing is open, and ends in any case. Callers use an old
	// list of addresses for some seconds; an answer that takes longer than the rest would be cut.
	takeShare, stayShare, endShare = 0.32, 0.38, 0.93
)

func (r *Routed) presenceOptions() presence.Options {
	s := &r.settings
	part := func(share float64) time.Duration { return time.Duration(share * float64(s.StopWithin)) }
	return presence.Options{
		Address: s.CallerAddress, Domain: s.Domain, Lease: s.ConfigLease,
		TakeFor: part(takeShare), StayFor: part(stayShare), EndAfter: part(endShare),
	}
}

// register hands the services to the kernel. The log is the first to start and the last to stop.
func (r *Routed) register(lc fx.Lifecycle, services []kernel.Service) error {
	for _, s := range append([]kernel.Service{r.lines}, services...) {
		if err := r.kernel.Register(s); err != nil {
			return err
		}
	}
	lc.Append(fx.Hook{OnStart: r.kernel.Start, OnStop: r.kernel.Stop})
	return nil
}

func (r *Routed) onPanic(err error) {
	if p, ok := err.(*kernel.DutyPanicError); ok {
		r.log.Emit(event.DutyPanicked, p.Error(), p.Stack)
	}
	select {
	case r.failed <- err:
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

// Leave begins the stop of a process that takes requests; finished is called once.
func (r *Routed) Leave(finished func()) {
	r.log.Emit(event.ProcessStopping, r.settings.ID)
	if r.presence == nil {
		finished()
		return
	}
	r.presence.Leave(finished)
}

// Run starts the process, waits for a signal and stops it. The result is the exit code. A hangup
// says that the settings have changed; what may change in them is read when it is needed.
func (r *Routed) Run(ctx context.Context) (int, error) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := r.Start(ctx); err != nil {
		return fault.ExitInternal, err
	}
	code, failure := r.wait(ctx, signals)
	stop, cancel := context.WithTimeout(context.Background(), routedStopTimeout)
	defer cancel()
	if err := r.Stop(stop); err != nil && failure == nil {
		return code, err
	}
	return code, failure
}

func (r *Routed) wait(ctx context.Context, signals <-chan os.Signal) (int, error) {
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				r.log.Emit(event.SettingsChanged, r.settings.ID)
				continue
			}
		case <-ctx.Done():
		case err := <-r.failed:
			return fault.ExitInternal, err
		}
		break
	}
	finished := make(chan struct{}, 1)
	r.Leave(func() { finished <- struct{}{} })
	select {
	case <-finished:
		return fault.ExitOK, nil
	case err := <-r.failed:
		return fault.ExitInternal, err
	}
}
