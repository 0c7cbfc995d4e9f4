package controlclient

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"briaryard/internal/clock"
	"briaryard/internal/decide/controlcall"
	"briaryard/internal/decide/session"
	"briaryard/internal/decide/state"
	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
	"briaryard/internal/wire/controlwire"
)

const (
	// maxWaiting and maxWaitingBytes bound the number and the size of the commands that wait for an
	// answer. Finish carries answers of up to 256 KiB, so the number alone would allow 1 GiB.
	maxWaiting      = 4096
	maxWaitingBytes = 64 << 20
)

// remoteMessage is an entry of the control-client ring.
type remoteMessage interface{ remoteMessage() }

type doMessage struct {
	command state.Command
	reply   func(port.ControlReply)
}

type confirmMessage struct{ revision model.Revision }

type releaseMessage struct{ done func() }

type peerMessage struct{ message port.PeerMessage }

func (doMessage) remoteMessage()      {}
func (confirmMessage) remoteMessage() {}
func (releaseMessage) remoteMessage() {}
func (peerMessage) remoteMessage()    {}

// Remote is a control client that sends commands and heartbeats to the control group through the
// peers service and publishes what the answers say.
type Remote struct {
	log       *event.Log
	options   RemoteOptions
	ring      *ring.Ring[remoteMessage]
	peers     port.Peers
	leases    []func([]port.Lease)
	configs   []func(state.AcceptedConfig)
	confirmed []func(bool)
	asOf      []func(port.ConfigAsOf)
	members   []func(port.ControlMembers)
	statuses  []func(port.ControlStatus)
	rollouts  []func([]model.Rollout)
	// waiting and waitingBytes are the number and the size of the commands that were accepted by Do
	// and not answered yet.
	waiting      atomic.Int64
	waitingBytes atomic.Int64

	// The fields below belong to the control-client duty.
	machine          *controlcall.Machine
	pending          map[uint64]doMessage
	releaseCallbacks []func()
	// statusLeader is the leader of the last published status, and confirmations the last list that
	// it sent.
	statusLeader  model.InstanceID
	confirmations []port.Confirmation
}

// RemoteOptions configure Remote.
type RemoteOptions struct {
	// Voters are the instances to ask until the leader lists the current voters.
	Voters []model.InstanceID
	// Contacts, if set, reads the instances to ask that the settings name now. It is called when the
	// leader has not answered for a while.
	Contacts func() ([]model.InstanceID, error)
	// ConfirmWithin is the time without a confirmation of the configuration after which the instance
	// withdraws.
	ConfirmWithin time.Duration
	// HeartbeatInterval is the time between heartbeats; zero means port.HeartbeatInterval.
	HeartbeatInterval time.Duration
	// Now is the clock that all time limits are measured by; nil means time.Now.
	Now clock.Clock
}

// NewRemote returns a control client of a control group.
func NewRemote(log *event.Log, o RemoteOptions) *Remote {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = port.HeartbeatInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Remote{
		log: log, options: o,
		// Commands and replies are refused when the ring is full, and their senders retry. A confirmed
		// revision and the release of the leases are sent once, so they wait for room.
		ring:    ring.New[remoteMessage]("controlclient", ringCapacity, ring.Block),
		pending: make(map[uint64]doMessage),
	}
}

// Name implements kernel.Service.
func (r *Remote) Name() string { return port.ControlClientName }

// Needs implements kernel.Service.
func (r *Remote) Needs() []string { return []string{port.PeersName} }

// Provision implements kernel.Service.
func (r *Remote) Provision(res kernel.Resolver) error {
	var err error
	if r.peers, err = kernel.Resolve[port.Peers](res, port.PeersName); err != nil {
		return err
	}
	r.peers.Handle(port.ControlClientName, controlwire.Codec{}, func(m port.PeerMessage) error {
		return r.ring.Offer(peerMessage{m})
	})
	return nil
}

// Start implements kernel.Service.
func (r *Remote) Start(h *kernel.Host) error {
	h.Go("control-client", r.run, r.ring)
	return nil
}

// maxFirstNumber leaves room for the numbers that follow. It is large enough that two processes of an instance
// never use the same number.
const maxFirstNumber = 1 << 62

// firstNumber draws the number at which a process begins to count its commands and heartbeats.
func firstNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) % maxFirstNumber
}

func (r *Remote) run(ctx context.Context, d *kernel.Duty) {
	self, incarnation := r.peers.Self()
	now := r.options.Now()
	r.machine = controlcall.New(now, controlcall.Options{
		Self: self, Incarnation: incarnation, Voters: r.options.Voters,
		HeartbeatInterval: r.options.HeartbeatInterval, HolderInterval: port.HolderInterval, ConfirmWithin: r.options.ConfirmWithin,
		TargetTimeout: 2 * r.options.HeartbeatInterval,
		FirstNumber:   firstNumber(),
		Lease:         session.Options{LeaseDuration: port.LeaseDuration, DriftPercent: port.MaxClockDrift},
	})
	r.onTick(now)
	kernel.Loop[remoteMessage]{
		Ring: r.ring, TickInterval: controlcall.TickInterval, Handle: r.handle, OnTick: r.onTick,
		Idle: func() bool { return r.machine.Quiet(r.options.Now()) }, IdleTickInterval: controlcall.QuietTickInterval, Now: r.options.Now,
	}.Run(ctx, d)
	for {
		m, ok := r.ring.TryGet()
		if !ok {
			break
		}
		r.handle(r.options.Now(), m)
	}
	r.perform(r.machine.Close())
}

// Stop implements kernel.Service. The duty answers waiting commands with ControlUnavailable when it
// ends.
func (r *Remote) Stop(context.Context) error {
	r.ring.Close()
	return nil
}

// Do implements port.ControlClient.
func (r *Remote) Do(c state.Command, reply func(port.ControlReply)) error {
	waiting, size := r.waiting.Add(1), r.waitingBytes.Add(commandSize(c))
	if waiting > maxWaiting || size > maxWaitingBytes {
		r.releaseCapacity(c)
		return &ring.FullError{Ring: r.Name(), Capacity: maxWaiting}
	}
	err := r.ring.Offer(doMessage{c, reply})
	if err != nil {
		r.releaseCapacity(c)
	}
	return err
}

// releaseCapacity removes a command from waiting and waitingBytes.
func (r *Remote) releaseCapacity(c state.Command) {
	r.waiting.Add(-1)
	r.waitingBytes.Add(-commandSize(c))
}

// commandSize returns the size of the body or content that a command carries, in bytes.
func commandSize(c state.Command) int64 {
	switch c := c.(type) {
	case state.Finish:
		if c.Answer != nil {
			return int64(len(c.Answer.Body))
		}
	case state.ApplyConfig:
		return int64(len(c.Content))
	case state.ReplaceConfig:
		return int64(len(c.Content))
	}
	return 0
}

// SubscribeLeases implements port.ControlClient.
func (r *Remote) SubscribeLeases(sink func([]port.Lease)) { r.leases = append(r.leases, sink) }

// SubscribeConfig implements port.ControlClient.
func (r *Remote) SubscribeConfig(sink func(state.AcceptedConfig)) {
	r.configs = append(r.configs, sink)
}

// SubscribeConfirmed implements port.ControlClient.
func (r *Remote) SubscribeConfirmed(sink func(bool)) { r.confirmed = append(r.confirmed, sink) }

// SubscribeAsOf implements port.ConfigFreshness.
func (r *Remote) SubscribeAsOf(sink func(port.ConfigAsOf)) { r.asOf = append(r.asOf, sink) }

// ReleaseLeases implements port.ControlClient.
func (r *Remote) ReleaseLeases(done func()) {
	if r.ring.Put(context.Background(), releaseMessage{done}) != nil {
		done()
	}
}

// ConfirmConfig implements port.ControlClient.
func (r *Remote) ConfirmConfig(revision model.Revision) {
	_ = r.ring.Put(context.Background(), confirmMessage{revision})
}

func (r *Remote) handle(now time.Time, m remoteMessage) {
	switch m := m.(type) {
	case doMessage:
		id, effects := r.machine.Do(now, m.command)
		r.pending[id] = m
		r.perform(effects)
	case confirmMessage:
		r.machine.SetRevision(m.revision)
	case releaseMessage:
		r.releaseCallbacks = append(r.releaseCallbacks, m.done)
		r.perform(r.machine.Release(now))
	case peerMessage:
		r.handlePeerMessage(now, m.message)
	}
}

func (r *Remote) onTick(now time.Time) { r.perform(r.machine.Tick(now)) }

func (r *Remote) handlePeerMessage(now time.Time, m port.PeerMessage) {
	switch b := m.Body.(type) {
	case port.CommandReply:
		r.perform(r.machine.HandleReply(now, m.From, controlcall.Reply{
			ID: b.ID, Result: b.Result, NotLeader: b.NotLeader, Leader: b.Leader}))
	case port.HeartbeatReply:
		reply := controlcall.HeartbeatReply{Seq: b.Seq, NotLeader: b.NotLeader, Leader: b.Leader, Answer: session.Answer{
			Config: b.Config, Revision: b.Revision, Leases: b.Leases, Voters: b.Voters,
			Rollouts: b.Rollouts, RolloutsGeneration: b.RolloutsGeneration}}
		r.perform(r.machine.HandleHeartbeatReply(now, m.From, reply))
		r.publishMembers(b)
		r.publishStatus(m.From, b)
	}
}

func (r *Remote) perform(effects []controlcall.Effect) {
	for _, e := range effects {
		r.performOne(e)
	}
}

// performOne carries out an effect. A command that cannot be sent is resent by a later tick, so that
// error of Send is ignored here.
func (r *Remote) performOne(e controlcall.Effect) {
	switch e := e.(type) {
	case controlcall.SendCommand:
		_ = r.peers.Send(e.To, port.ControlName, port.CommandRequest{ID: e.ID, Command: e.Command})
	case controlcall.SendHeartbeat:
		h := e.Heartbeat
		// The peers service raises the incarnation when other instances know a later one of this
		// instance.
		_, h.Incarnation = r.peers.Self()
		err := r.peers.Send(e.To, port.ControlName, port.Heartbeat{Seq: e.Seq, Instance: h.Instance,
			Incarnation: h.Incarnation, Revision: h.Revision, Holds: h.Holds, Stopping: h.Stopping,
			Rollouts: h.Rollouts})
		if err != nil {
			r.machine.HeartbeatUnsent(e.Seq)
		}
	case controlcall.Answer:
		r.answerCommand(e)
	case controlcall.ForeignReply:
		r.log.Emit(event.ControlReplyForeign, e.From, e.ID)
	case controlcall.PublishLeases:
		r.publishLeases(e.Leases)
	case controlcall.PublishConfig:
		for _, sink := range r.configs {
			sink(e.Config)
		}
	case controlcall.PublishRollouts:
		for _, sink := range r.rollouts {
			sink(e.Rollouts)
		}
	case controlcall.PublishAcceptedAt:
		for _, sink := range r.asOf {
			sink(port.ConfigAsOf{Revision: e.Revision, At: e.At})
		}
	case controlcall.PublishConfirmed:
		r.publishConfirmed(e.OK)
	case controlcall.LeasesReleased:
		r.finishRelease(e.Err)
	case controlcall.LeaderChanged:
		r.log.Emit(event.ControlLeaderChanged, e.Leader)
	case controlcall.ReadContacts:
		r.readContacts()
	}
}

// readContacts adds the contacts of the settings to the instances that are asked.
func (r *Remote) readContacts() {
	if r.options.Contacts == nil {
		return
	}
	contacts, err := r.options.Contacts()
	if err != nil {
		r.log.Emit(event.ContactsUnreadable, err.Error())
		return
	}
	r.machine.AddVoters(contacts)
}

func (r *Remote) answerCommand(a controlcall.Answer) {
	d := r.pending[a.ID]
	delete(r.pending, a.ID)
	r.releaseCapacity(d.command)
	if a.Err != nil {
		r.log.Emit(event.ControlUnanswered, state.Name(d.command), a.Err.Error())
	}
	d.reply(port.ControlReply{Result: a.Result, Err: a.Err})
}

func (r *Remote) publishLeases(table []controlcall.Lease) {
	out := make([]port.Lease, 0, len(table))
	for _, l := range table {
		out = append(out, port.Lease{Name: l.Name, Holder: l.Holder, Epoch: l.Epoch, Lapsed: l.Lapsed, Until: l.Until})
	}
	for _, sink := range r.leases {
		sink(out)
	}
}

func (r *Remote) publishConfirmed(ok bool) {
	if ok {
		r.log.Emit(event.ControlConfirmed)
	} else {
		r.log.Emit(event.ControlUnconfirmed)
	}
	for _, sink := range r.confirmed {
		sink(ok)
	}
}

func (r *Remote) finishRelease(err error) {
	if err != nil {
		r.log.Emit(event.LeasesNotReleased, err.Error())
	}
	for _, done := range r.releaseCallbacks {
		done()
	}
	r.releaseCallbacks = nil
}
