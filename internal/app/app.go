package app

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"briaryard/internal/event"
	"briaryard/internal/httpserve"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/service/config"
	"briaryard/internal/service/dispatch"
	"briaryard/internal/service/dispatcher"
	"briaryard/internal/service/engineclient"
	"briaryard/internal/service/entry"
	"briaryard/internal/service/frontannounce"
	"briaryard/internal/service/frontcaller"
	"briaryard/internal/service/frontoperator"
	"briaryard/internal/service/lifecycle"
	"briaryard/internal/service/members"
	"briaryard/internal/service/peers"
	"briaryard/internal/service/placement"
	"briaryard/internal/service/plainclient"
	"briaryard/internal/service/transfer"
	"briaryard/internal/trust"
)

// startTimeout is the time limit for the start of all services.
const startTimeout = 30 * time.Second

// Instance is a running instance.
type Instance struct {
	fx            *fx.App
	kernel        *kernel.Kernel
	log           *event.Log
	settings      Settings
	incarnation   model.Incarnation
	callerFront   *frontcaller.Service
	announceFront *frontannounce.Service
	operatorFront *frontoperator.Service
	lifecycle     *lifecycle.Service
	// failures receives the error of the first duty that panicked.
	failures chan error
	// drainRequests signals that an operator requested a graceful stop. Further requests are
	// ignored while one is pending.
	drainRequests chan struct{}
	// leaseHolder is the instance to which the local control client grants the leases.
	leaseHolder model.InstanceID
}

// Option changes how New assembles an instance.
type Option func(*Instance)

// WithLeaseHolder makes the local control client grant all leases to the given instance. It is for
// tests that run several instances without a control group.
func WithLeaseHolder(id model.InstanceID) Option { return func(i *Instance) { i.leaseHolder = id } }

// New constructs an instance. With an initial configuration it is a fleet of one that keeps the
// control state in memory. If initial is nil it is part of a fleet with a control group.
func New(settings Settings, out *slog.Logger, initial []byte, options ...Option) *Instance {
	i := &Instance{
		settings: settings, log: event.New(out),
		incarnation: model.Incarnation(time.Now().UnixNano()), failures: make(chan error, 1), drainRequests: make(chan struct{}, 1),
	}
	i.leaseHolder = model.InstanceID(settings.ID)
	for _, o := range options {
		o(i)
	}
	i.kernel = kernel.New(i.onPanic)
	i.fx = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(i.log, &i.settings, initial),
		fx.Provide(metric.NewSet, settings.loadSecurity, settings.loadOutgoing, settings.loadFleetTokens, i.newGate, i.newCallers, i.newAnnounce, i.newOperators, i.newLifecycle),
		fx.Provide(
			asService(func(l *event.Log, m *metric.Set, c trust.TLSConfigs, t *trust.FleetTokens) *peers.Service {
				options := settings.peers(i.incarnation, c, t)
				options.Metrics = m
				return peers.New(l, options)
			}),
			asService(func(l *event.Log) *members.Service { return members.New(l, settings.memberRecord(i.incarnation)) }),
			asService(i.newControlClient),
			asService(func(l *event.Log) *config.Service { return config.New(l, settings.place()) }), asService(dispatch.New), asService(dispatcher.New), asService(entry.New),
			asService(placement.New),
			asService(transfer.New), asService(func(l *event.Log, o *trust.Outgoing) kernel.Service { return engineclient.New(l, o) }),
			asService(func(o *trust.Outgoing) kernel.Service { return plainclient.New(o) }),
			asService(func(s *frontcaller.Service) kernel.Service { return s }),
			asService(func(s *frontannounce.Service) kernel.Service { return s }),
			asService(func(s *frontoperator.Service) kernel.Service { return s }),
			asService(func(s *lifecycle.Service) kernel.Service { return s }),
		),
		i.voter(),
		fx.Populate(&i.callerFront, &i.announceFront, &i.operatorFront, &i.lifecycle),
		fx.Invoke(fx.Annotate(i.register, fx.ParamTags(``, `group:"services"`))),
	)
	return i
}

// asService annotates a constructor so that fx adds its result to the services that the kernel runs.
func asService(constructor any) any {
	return fx.Annotate(constructor, fx.As(new(kernel.Service)), fx.ResultTags(`group:"services"`))
}

// newGate returns the gate that the listeners of the instance share.
func (i *Instance) newGate(l *event.Log, m *metric.Set) *httpserve.Gate {
	return httpserve.NewGate(l, m, i.settings.Limits, httpserve.MemoryFromRuntime())
}

func (i *Instance) newCallers(l *event.Log, c trust.TLSConfigs, t *trust.TokenSource, g *httpserve.Gate) *frontcaller.Service {
	s := frontcaller.New(l, frontcaller.Options{
		Address: i.settings.CallerAddress, MaxBody: i.settings.MaxBodyBytes,
		AddressTTL: int(i.settings.AddressTTL.Seconds()), Domain: model.FailureDomain(i.settings.FailureDomain),
	})
	s.Secure(listenerSecurity(l, s, g, c, t, trust.RoleTeam))
	return s
}

func (i *Instance) newAnnounce(l *event.Log, c trust.TLSConfigs, t *trust.TokenSource, g *httpserve.Gate) *frontannounce.Service {
	s := frontannounce.New(l, i.settings.ServerAddress)
	s.Secure(listenerSecurity(l, s, g, c, t, trust.RoleServer))
	return s
}

func (i *Instance) newOperators(l *event.Log, m *metric.Set, c trust.TLSConfigs, t *trust.TokenSource, g *httpserve.Gate) *frontoperator.Service {
	s := frontoperator.New(l, m, frontoperator.Options{
		Address: i.settings.OperatorAddress, Instance: model.InstanceID(i.settings.ID), Incarnation: i.incarnation,
		Domain: model.FailureDomain(i.settings.FailureDomain), Health: i.kernel.Health, Drain: i.drain,
	})
	s.Secure(listenerSecurity(l, s, g, c, t, trust.RoleOperator))
	return s
}

func (i *Instance) newLifecycle(l *event.Log) *lifecycle.Service {
	return lifecycle.New(l, i.settings.AddressTTL)
}

// register registers the services with the kernel and starts and stops the kernel with fx.
func (i *Instance) register(lc fx.Lifecycle, services []kernel.Service) error {
	for _, s := range services {
		if err := i.kernel.Register(s); err != nil {
			return err
		}
	}
	lc.Append(fx.Hook{OnStart: i.kernel.Start, OnStop: i.kernel.Stop})
	return nil
}

// onPanic logs the panic of a duty and sends its error to failures, so that Run returns it.
func (i *Instance) onPanic(err error) {
	if p, ok := err.(*kernel.DutyPanicError); ok {
		i.log.Emit(event.DutyPanicked, p.Error(), p.Stack)
	}
	select {
	case i.failures <- err:
	default:
	}
}

// drain requests a graceful stop without waiting for it.
func (i *Instance) drain() {
	select {
	case i.drainRequests <- struct{}{}:
	default:
	}
}

// Start starts all services.
func (i *Instance) Start(ctx context.Context) error {
	if err := i.fx.Start(ctx); err != nil {
		return err
	}
	i.log.Emit(event.ProcessStarted, i.settings.ID, i.incarnation, i.settings.FailureDomain)
	return nil
}

// BeginStop starts the graceful stop. finished is called when no request is left.
func (i *Instance) BeginStop(finished func()) {
	var stop port.Lifecycle = i.lifecycle
	stop.BeginStop(finished)
}

// Stop stops all services. It is called after the graceful stop has finished, or to abort it.
func (i *Instance) Stop(ctx context.Context) error { return i.fx.Stop(ctx) }

// Failed returns a channel that receives the error of a duty that panicked.
func (i *Instance) Failed() <-chan error { return i.failures }

// Log returns the log of the instance.
func (i *Instance) Log() *event.Log { return i.log }

// CallerAddress returns the address to which callers connect.
func (i *Instance) CallerAddress() string { return i.callerFront.Address() }

// ServerAddress returns the address at which backend servers announce themselves.
func (i *Instance) ServerAddress() string { return i.announceFront.Address() }

// OperatorAddress returns the address to which operators connect.
func (i *Instance) OperatorAddress() string { return i.operatorFront.Address() }
