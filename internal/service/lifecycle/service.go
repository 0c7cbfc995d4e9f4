package lifecycle

import (
	"context"
	"time"

	"briaryard/internal/event"
	"briaryard/internal/kernel"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

// ringCapacity is enough for the few steps of one stop.
const ringCapacity = 16

// step is a step of the stop sequence.
type step uint8

const (
	stopRequested step = iota
	addressListsExpired
	requestsDrained
	leasesReleased
)

// Service runs the stop sequence.
type Service struct {
	log *event.Log
	// addressTTL is how long callers may keep an address list that contains this instance.
	addressTTL time.Duration
	ring       *ring.Ring[step]
	self       model.InstanceID
	entry      port.Entry
	members    port.Members
	control    port.ControlClient

	// finished is set before the first step is put in the ring.
	finished func()
	// pendingSteps counts the steps that must end before the stop is complete.
	pendingSteps int
}

// New returns the service.
func New(log *event.Log, addressTTL time.Duration) *Service {
	return &Service{log: log, addressTTL: addressTTL, ring: ring.New[step]("lifecycle", ringCapacity, ring.Block)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return port.LifecycleName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{port.PeersName, port.EntryName, port.MembersName, port.ControlClientName}
}

// Provision implements kernel.Service.
func (s *Service) Provision(r kernel.Resolver) error {
	var peers port.Peers
	err := r.Bind(
		kernel.Into(port.PeersName, &peers),
		kernel.Into(port.EntryName, &s.entry),
		kernel.Into(port.MembersName, &s.members),
		kernel.Into(port.ControlClientName, &s.control),
	)
	if err != nil {
		return err
	}
	s.self, _ = peers.Self()
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(h *kernel.Host) error {
	h.Go("stop-sequence", kernel.Loop[step]{Ring: s.ring, Handle: s.handle}.Run, s.ring)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.ring.Close()
	return nil
}

// BeginStop implements port.Lifecycle. It must be called once.
func (s *Service) BeginStop(finished func()) {
	s.finished = finished
	s.post(stopRequested)
}

func (s *Service) post(st step) { _ = s.ring.Put(context.Background(), st) }

func (s *Service) handle(_ time.Time, st step) {
	switch st {
	case stopRequested:
		s.log.Emit(event.ProcessStopping, s.self)
		s.members.SetSelf(model.Leaving, false)
		time.AfterFunc(s.addressTTL, func() { s.post(addressListsExpired) })
	case addressListsExpired:
		s.pendingSteps = 2
		s.entry.Drain(func() { s.post(requestsDrained) })
		s.control.ReleaseLeases(func() { s.post(leasesReleased) })
	case requestsDrained, leasesReleased:
		s.pendingSteps--
		if s.pendingSteps == 0 {
			s.finished()
		}
	}
}
