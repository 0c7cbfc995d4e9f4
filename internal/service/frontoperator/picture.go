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

type message interface{ message() }

type viewed struct{ view *model.View }

type inForce struct{ config *model.Config }

type accepted struct{ config acceptedConfig }

type leased struct{ leases []port.Lease }

type observed struct{ status port.ControlStatus }

type placed struct{ status port.PlacementStatus }

// query asks for the picture; the handler waits on its ring.
type query struct{ reply *ring.Ring[picture] }

func (viewed) message()   {}
func (inForce) message()  {}
func (accepted) message() {}
func (leased) message()   {}
func (observed) message() {}
func (placed) message()   {}
func (query) message()    {}

// maxSeen bounds the changes that an instance remembers by itself.
const maxSeen = 100

// picture is what the instance knows of the fleet. A copy of it is immutable: the duty
// replaces values and never changes them.
type picture struct {
	view     *model.View
	config   *model.Config
	accepted acceptedConfig
	leases   []port.Lease
	status   port.ControlStatus
	// placement is this instance's own; it gives orders only while it holds the lease.
	placement port.PlacementStatus
	// seen lists the accepted changes since the start, without content.
	seen   []acceptedConfig
	duties []kernel.DutyInfo
}

func (s *Service) handle(now time.Time, m message) {
	p := &s.picture
	switch m := m.(type) {
	case viewed:
		p.view = m.view
	case inForce:
		p.config = m.config
	case accepted:
		s.accepted(m.config)
	case leased:
		p.leases = m.leases
	case observed:
		p.status = m.status
	case placed:
		p.placement = m.status
	case query:
		p.duties = s.host.Duties()
		s.refresh(now)
		_ = m.reply.Offer(*p)
	}
}

func (s *Service) accepted(c acceptedConfig) {
	p := &s.picture
	if c.Revision <= p.accepted.Revision {
		return
	}
	p.accepted = c
	c.Content = nil
	seen := append(append([]acceptedConfig(nil), p.seen...), c)
	p.seen = seen[max(0, len(seen)-maxSeen):]
}

// ask gets the picture from the duty.
func (s *Service) ask(ctx context.Context) (picture, fault.Fault) {
	reply := ring.New[picture]("operator-answer", 1, ring.Refuse)
	if err := s.ring.Offer(query{reply}); err != nil {
		return picture{}, &fault.Overloaded{Resource: "operator ring"}
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p, err := reply.Get(ctx)
	if err != nil {
		return picture{}, &fault.Overloaded{Resource: "operator duty"}
	}
	return p, nil
}

// refresh brings the metrics that describe the present up to date. They are read when an
// operator asks, so that they cost nothing otherwise.
func (s *Service) refresh(now time.Time) {
	p := &s.picture
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
		if own := &p.view.Instances[i]; own.ID == s.options.Instance && own.Withdrawn {
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
