package frontoperator

import (
	"context"
	"time"

	"briaryard/internal/decide/state"
	"briaryard/internal/fault"
	"briaryard/internal/kernel"
	"briaryard/internal/metric"
	"briaryard/internal/model"
	"briaryard/internal/port"
	"briaryard/internal/ring"
)

type acceptedConfig = state.AcceptedConfig

// message is a message to the operator duty.
type message interface{ message() }

type viewChanged struct{ view *model.View }

type configInForce struct{ config *model.Config }

type configAccepted struct{ config acceptedConfig }

type leasesChanged struct{ leases []port.Lease }

type controlStatusChanged struct{ status port.ControlStatus }

type placementChanged struct{ status port.PlacementStatus }

// snapshotRequest asks for a snapshot. The handler waits for it on the reply ring.
type snapshotRequest struct{ reply *ring.Ring[snapshot] }

func (viewChanged) message()          {}
func (configInForce) message()        {}
func (configAccepted) message()       {}
func (leasesChanged) message()        {}
func (controlStatusChanged) message() {}
func (placementChanged) message()     {}
func (snapshotRequest) message()      {}

// maxObservedChanges bounds the changes that an instance retains itself.
const maxObservedChanges = 100

// snapshot is the state of the fleet as this instance knows it. A copy may be used by another
// goroutine, because the duty replaces the values that it refers to and never modifies them.
type snapshot struct {
	view     *model.View
	config   *model.Config
	accepted acceptedConfig
	leases   []port.Lease
	status   port.ControlStatus
	// placement is the status of this instance's placement service, which sends orders only while
	// it holds the lease.
	placement port.PlacementStatus
	// observedChanges lists the newest changes accepted since the start, without content.
	observedChanges []acceptedConfig
	duties          []kernel.DutyInfo
}

func (s *Service) handle(now time.Time, m message) {
	p := &s.snapshot
	switch m := m.(type) {
	case viewChanged:
		p.view = m.view
	case configInForce:
		p.config = m.config
	case configAccepted:
		s.recordAccepted(m.config)
	case leasesChanged:
		p.leases = m.leases
	case controlStatusChanged:
		p.status = m.status
	case placementChanged:
		p.placement = m.status
	case snapshotRequest:
		p.duties = s.host.Duties()
		s.updateMetrics(now)
		_ = m.reply.Offer(*p)
	}
}

// recordAccepted stores a newly accepted configuration. It ignores an older revision.
func (s *Service) recordAccepted(c acceptedConfig) {
	p := &s.snapshot
	if c.Revision <= p.accepted.Revision {
		return
	}
	p.accepted = c
	c.Content = nil
	changes := append(append([]acceptedConfig(nil), p.observedChanges...), c)
	p.observedChanges = changes[max(0, len(changes)-maxObservedChanges):]
}

// requestSnapshot gets a snapshot from the operator duty.
func (s *Service) requestSnapshot(ctx context.Context) (snapshot, fault.Fault) {
	reply := ring.New[snapshot]("operator-answer", 1, ring.Refuse)
	if err := s.ring.Offer(snapshotRequest{reply}); err != nil {
		return snapshot{}, &fault.Overloaded{Resource: "operator ring"}
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p, err := reply.Get(ctx)
	if err != nil {
		return snapshot{}, &fault.Overloaded{Resource: "operator duty"}
	}
	return p, nil
}

// updateMetrics updates the metrics that describe the current state. It runs only when an operator
// asks, so that they cost nothing otherwise.
func (s *Service) updateMetrics(now time.Time) {
	p := &s.snapshot
	for _, d := range p.duties {
		for _, r := range d.Rings {
			s.metrics.Gauge(metric.RingDepth, r.Name).Update(int64(r.Depth))
			s.metrics.Gauge(metric.RingHighWater, r.Name).Update(int64(r.HighWater))
			// The operator duty is the only writer of this counter.
			refused := s.metrics.Counter(metric.RingRefused, r.Name)
			refused.Inc(max(int64(r.Refused)-refused.Count(), 0))
		}
	}
	for _, l := range p.leases {
		held := int64(0)
		if l.Holder == s.options.Instance {
			held = 1
		}
		s.metrics.Gauge(metric.LeaseHeld, l.Name).Update(held)
	}
	withdrawn := int64(0)
	for i := range p.view.Instances {
		if instance := &p.view.Instances[i]; instance.ID == s.options.Instance && instance.Withdrawn {
			withdrawn = 1
		}
	}
	s.metrics.Gauge(metric.Withdrawn, "").Update(withdrawn)
	ended := int64(0)
	for i := range p.config.Exceptions {
		if p.config.Exceptions[i].Ended(now) {
			ended++
		}
	}
	s.metrics.Gauge(metric.EndedException, "").Update(ended)
	s.metrics.Gauge(metric.Revision, "").Update(int64(p.config.Revision))
	s.metrics.Gauge(metric.Accepted, "").Update(int64(p.accepted.Revision))
	s.metrics.Gauge(metric.Unhealthy, "").Update(int64(len(s.options.Health())))
}
