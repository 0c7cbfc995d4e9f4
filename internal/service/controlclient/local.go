package controlclient

import (
	"context"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/declare"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

const (
	ringCapacity = 4096
	tickInterval = 100 * time.Millisecond
	// awaitTimeout is the longest time that an Await waits for its claim to end.
	awaitTimeout = 10 * time.Second
	// leaseDuration is longer than any process runs, because no other instance can acquire the leases.
	leaseDuration = 100 * 365 * 24 * time.Hour
)

// message is an entry of the control-client ring: a command, or a confirmation.
type message struct {
	command    state.Command
	reply      func(port.ControlReply)
	receivedAt time.Time
	// confirmed is the revision to confirm if command is nil.
	confirmed model.Revision
}

// Local is a control client that holds the replicated state in the memory of this process. It serves
// `briaryard dev`, where one instance runs without a control group and nothing has to survive the
// process.
type Local struct {
	self        model.InstanceID
	incarnation model.Incarnation
	initial     []byte
	ring        *ring.Ring[message]
	leases      []func([]port.Lease)
	configs     []func(state.AcceptedConfig)
	confirmed   []func(bool)
	statuses    []func(port.ControlStatus)

	// The fields below belong to the control-client duty.
	machine           *state.Machine
	index             uint64
	awaits            []message
	confirmedRevision model.Revision
}

// NewLocal returns a control client that applies an initial configuration at its start.
func NewLocal(self model.InstanceID, incarnation model.Incarnation, initial []byte) *Local {
	return &Local{
		self: self, incarnation: incarnation, initial: initial,
		ring:    ring.New[message]("controlclient", ringCapacity, ring.Refuse),
		machine: state.NewMachine(state.DefaultLimits()),
	}
}

// Name implements kernel.Service.
func (l *Local) Name() string { return port.ControlClientName }

// Needs implements kernel.Service.
func (l *Local) Needs() []string { return nil }

// Provision implements kernel.Service.
func (l *Local) Provision(kernel.Resolver) error { return nil }

// Start implements kernel.Service.
func (l *Local) Start(h *kernel.Host) error {
	h.Go("control-client", func(ctx context.Context, d *kernel.Duty) {
		l.apply(time.Now(), state.ApplyConfig{ChangeID: "initial", Number: 1, Operator: "dev", Content: l.initial})
		for _, sink := range l.confirmed {
			sink(true)
		}
		kernel.Loop[message]{Ring: l.ring, Tick: tickInterval, Handle: l.handle, OnTick: l.onTick}.Run(ctx, d)
	}, l.ring)
	return nil
}

// Stop implements kernel.Service.
func (l *Local) Stop(context.Context) error {
	l.ring.Close()
	return nil
}

// Do implements port.ControlClient.
func (l *Local) Do(c state.Command, reply func(port.ControlReply)) error {
	return l.ring.Offer(message{command: c, reply: reply, receivedAt: time.Now()})
}

// SubscribeLeases implements port.ControlClient.
func (l *Local) SubscribeLeases(sink func([]port.Lease)) { l.leases = append(l.leases, sink) }

// SubscribeConfig implements port.ControlClient.
func (l *Local) SubscribeConfig(sink func(state.AcceptedConfig)) { l.configs = append(l.configs, sink) }

// SubscribeConfirmed implements port.ControlClient.
func (l *Local) SubscribeConfirmed(sink func(bool)) { l.confirmed = append(l.confirmed, sink) }

// ReleaseLeases implements port.ControlClient.
func (l *Local) ReleaseLeases(done func()) { done() }

// ConfirmConfig implements port.ControlClient.
func (l *Local) ConfirmConfig(r model.Revision) { _ = l.ring.Offer(message{confirmed: r}) }

// SubscribeStatus implements port.ControlObserver.
func (l *Local) SubscribeStatus(sink func(port.ControlStatus)) { l.statuses = append(l.statuses, sink) }

func (l *Local) handle(now time.Time, m message) {
	if m.command == nil {
		l.confirmedRevision = max(l.confirmedRevision, m.confirmed)
		l.publishStatus()
		return
	}
	if _, ok := m.command.(state.Await); ok {
		l.awaits = append(l.awaits, m)
		l.answerAwaits(now)
		return
	}
	r := l.apply(now, m.command)
	m.reply(port.ControlReply{Result: r})
	l.answerAwaits(now)
}

func (l *Local) apply(now time.Time, c state.Command) state.Result {
	if r, ok := l.machine.Read(c); ok {
		return r
	}
	l.index++
	r := l.machine.Apply(l.index, now, c)
	switch c.(type) {
	case state.ApplyConfig:
		if r.Err == nil {
			l.publishConfig(now)
			l.publishStatus()
		}
	case state.AcquireLease, state.ReleaseLease:
		l.publishLeases()
	}
	return r
}

// publishConfig publishes the configuration in force and acquires the leases that it declares.
func (l *Local) publishConfig(now time.Time) {
	accepted := l.machine.Config()
	for _, sink := range l.configs {
		sink(accepted)
	}
	c, err := declare.Parse(accepted.Content)
	if err != nil {
		return
	}
	for _, name := range port.LeaseNames(c) {
		if l.machine.Leases()[name].Holder == "" {
			l.apply(now, state.AcquireLease{Name: name, Holder: l.self, Incarnation: l.incarnation, After: l.machine.Leases()[name].Epoch})
		}
	}
}

func (l *Local) publishLeases() {
	var out []port.Lease
	for _, lease := range l.machine.Leases() {
		out = append(out, port.Lease{Name: lease.Name, Holder: lease.Holder, Epoch: lease.Epoch, Until: time.Now().Add(leaseDuration)})
	}
	for _, sink := range l.leases {
		sink(out)
	}
	l.publishStatus()
}

func (l *Local) publishStatus() {
	status := port.ControlStatus{
		Leader: l.self, Voters: []model.InstanceID{l.self},
		Confirmed: []port.Confirmation{{Instance: l.self, Revision: l.confirmedRevision}},
	}
	for _, lease := range l.machine.Leases() {
		status.Leases = append(status.Leases, lease)
	}
	for _, sink := range l.statuses {
		sink(status)
	}
}

// answerAwaits answers the Awaits whose claim is no longer held or whose time is up.
func (l *Local) answerAwaits(now time.Time) {
	var remaining []message
	for _, m := range l.awaits {
		r := l.machine.Lookup(m.command.(state.Await).Lookup)
		if r.Claim == state.ClaimHeld && now.Sub(m.receivedAt) < awaitTimeout {
			remaining = append(remaining, m)
			continue
		}
		m.reply(port.ControlReply{Result: r})
	}
	l.awaits = remaining
}

func (l *Local) onTick(now time.Time) { l.answerAwaits(now) }
